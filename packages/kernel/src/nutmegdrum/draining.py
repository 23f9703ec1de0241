"""Decide when a version that gets no new requests may be unloaded."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId, VmId

from nutmegdrum.fleet import FleetMember
from nutmegdrum.messages import LoadedVersion
from nutmegdrum.observed import EntryVmObservation


class Instance(NamedTuple):
    """Version in the memory of one backend server."""

    backend: BackendId
    version: LoadedVersion


class DrainTracker:
    """Instances that are no longer wanted, and since when.

    A change of leader begins the waits anew.

    Parameters
    ----------
    settle_ms : int
        Time after which no entry VM sends new requests to an unwanted version, in ms.
    limit_ms : int
        Time after which an instance counts as drained whatever is known, in ms.
    """

    def __init__(self, settle_ms: int, limit_ms: int):
        self._settle_ms = settle_ms
        self._limit_ms = limit_ms
        self._since: dict[Instance, ElapsedMs] = {}

    def update(self, now_ms: ElapsedMs, unwanted: Iterable[Instance]) -> None:
        """Replace the set of unwanted instances."""
        self._since = {instance: self._since.get(instance, now_ms) for instance in unwanted}

    def drained(
        self,
        now_ms: ElapsedMs,
        instance: Instance,
        member: FleetMember,
        entries: Mapping[VmId, EntryVmObservation],
    ) -> bool:
        """Return whether no request can be running on an unwanted instance."""
        since = self._since.get(instance)
        if since is None or now_ms - since < self._settle_ms:
            return False
        if now_ms - since >= self._limit_ms:
            return True
        report = member.report
        reported_ms = member.reported_ms - since
        if report is not None and report.running + report.queued == 0 and reported_ms > 0:
            return True
        return all(_idle(entry, now_ms, instance.version) for entry in entries.values())


def _idle(entry: EntryVmObservation, now_ms: ElapsedMs, version: LoadedVersion) -> bool:
    if entry.silent(now_ms) or entry.running is None:
        return False
    return entry.running.get(version, 0) == 0
