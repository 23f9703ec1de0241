"""Replicated counts of outcomes for callers, by day and workspace."""

from collections.abc import Sequence
from typing import Any, NewType

import msgspec
from nutmegdrum_coord.clock import ElapsedMs, WallMs
from nutmegdrum_coord.ids import IncarnationId, VmId, WorkspaceId
from nutmegdrum_coord.parts import Answer, Command, Context

from nutmegdrum.service_tally import ServiceCounts

Day = NewType("Day", int)
"""Number of days since the Unix epoch, in UTC."""

DAY_MS = 86_400_000
RECORD_PERIOD_MS = 30_000
"""Interval at which the leader records counts, in ms; if a VM is lost, so are its counts since
the last recording."""


class VmService(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of one incarnation of an entry VM, since its start."""

    vm: VmId
    incarnation: IncarnationId
    counts: dict[WorkspaceId, ServiceCounts]


class RecordService(Command, frozen=True, kw_only=True):
    """Record counts; duplicate or older counts add nothing."""

    rows: list[VmService]


class ServiceRecorded(Answer, frozen=True, kw_only=True):
    """The counts are committed."""


class _Row(msgspec.Struct):
    day: Day
    workspace: WorkspaceId
    counts: ServiceCounts


class _State(msgspec.Struct):
    newest: list[VmService]
    days: list[_Row]


class ServiceLog:
    """Part of the replicated state that stores counts for reports."""

    name = "service"
    commands: Sequence[type[Command]] = (RecordService,)

    def __init__(self) -> None:
        self._newest: dict[VmId, VmService] = {}
        self._days: dict[tuple[Day, WorkspaceId], ServiceCounts] = {}

    def apply(self, ctx: Context, command: RecordService) -> Answer:
        """Add the counts since the last recording to the day of the command."""
        day = Day(ctx.wall_ms // DAY_MS)
        for row in command.rows:
            self._record(day, row)
        return ServiceRecorded()

    def snapshot(self) -> Any:
        """Return the counts to encode."""
        rows = [_Row(day, name, counts) for (day, name), counts in self._days.items()]
        return _State(list(self._newest.values()), rows)

    def restore(self, state: bytes) -> None:
        """Replace the counts with those in `state`."""
        decoded = msgspec.msgpack.decode(state, type=_State)
        self._newest = {row.vm: row for row in decoded.newest}
        self._days = {(row.day, row.workspace): row.counts for row in decoded.days}

    def between(
        self,
        since_ms: WallMs | None,
        until_ms: WallMs | None,
        workspace: WorkspaceId | None,
    ) -> dict[WorkspaceId, ServiceCounts]:
        """Return the counts by workspace for all days from that of `since_ms` up to `until_ms`."""
        first = 0 if since_ms is None else since_ms // DAY_MS
        totals: dict[WorkspaceId, ServiceCounts] = {}
        for (day, name), counts in sorted(self._days.items()):
            late = until_ms is not None and day * DAY_MS >= until_ms
            if day < first or late or workspace not in (None, name):
                continue
            totals[name] = totals.get(name, ServiceCounts()).plus(counts)
        return totals

    def _record(self, day: Day, row: VmService) -> None:
        newest = self._newest.get(row.vm)
        same = newest is not None and newest.incarnation == row.incarnation
        known = newest.counts if same else {}
        merged = dict(known)
        for name, counts in row.counts.items():
            before = known.get(name, ServiceCounts())
            if counts.total <= before.total:
                continue
            merged[name] = counts
            total = self._days.get((day, name), ServiceCounts())
            self._days[day, name] = total.plus(counts.plus(before, -1))
        self._newest[row.vm] = VmService(vm=row.vm, incarnation=row.incarnation, counts=merged)


class ServiceRecorder:
    """Newest counts of the entry VMs on the leader, to be recorded periodically."""

    def __init__(self, now_ms: ElapsedMs):
        self._rows: dict[VmId, VmService] = {}
        self._recorded_ms = now_ms

    def update(self, row: VmService) -> None:
        """Store one VM's counts for the next recording."""
        if row.counts:
            self._rows[row.vm] = row

    def due(self, now_ms: ElapsedMs) -> RecordService | None:
        """Return the next recording if it is due, else None."""
        if not self._rows or now_ms - self._recorded_ms < RECORD_PERIOD_MS:
            return None
        rows, self._rows = list(self._rows.values()), {}
        self._recorded_ms = now_ms
        return RecordService(rows=rows)
