"""What the state leader observes of entry VMs, from their heartbeats."""

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import NoteNumber, VmId

from nutmegdrum.messages import LoadedVersion
from nutmegdrum.queries import EntryVmStatus
from nutmegdrum.view import HeartbeatReport

SILENT_MS = 3_000
"""Time without a heartbeat after which an entry VM counts as cut off, in ms."""


class EntryVmObservation(msgspec.Struct, kw_only=True):
    """One entry VM and its newest heartbeat; `heard_ms` is None before the first one."""

    heard_ms: ElapsedMs | None = None
    note: NoteNumber = NoteNumber(0)
    generation: int = 0
    ready: bool = False
    running: dict[LoadedVersion, int] | None = None

    def take(self, now_ms: ElapsedMs, report: HeartbeatReport) -> None:
        """Take in a heartbeat."""
        self.heard_ms = now_ms
        self.note = report.note
        self.generation = report.generation
        self.ready = report.ready
        if report.running is not None:
            self.running = {use.version: use.running for use in report.running}

    def silent(self, now_ms: ElapsedMs) -> bool:
        """Return whether the VM counts as cut off."""
        return self.heard_ms is None or now_ms - self.heard_ms > SILENT_MS

    def behind(self, now_ms: ElapsedMs, note: NoteNumber) -> str:
        """Return why `note` is not known to be in force on the VM; empty if it is."""
        if self.heard_ms is None:
            return "no heartbeat since this leader began"
        if self.silent(now_ms):
            return f"no heartbeat for {now_ms - self.heard_ms} ms; serves settled versions only"
        if not self.ready:
            return "starting"
        if self.note < note:
            return f"has note {self.note} in force"
        return ""

    def status(self, vm: VmId, now_ms: ElapsedMs) -> EntryVmStatus:
        """Return the VM as operators see it."""
        return EntryVmStatus(
            vm=vm,
            heard_ms_ago=None if self.heard_ms is None else now_ms - self.heard_ms,
            note=self.note,
            generation=self.generation,
            ready=self.ready,
        )
