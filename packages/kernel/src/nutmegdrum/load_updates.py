"""Loads of backend servers as the state leader spreads them to entry VMs.

The leader alone reads load reports; entry VMs get with each heartbeat the loads that changed
since the one before, so that a VM's traffic grows with changes and not with backend servers.
"""

from nutmegdrum_coord.ids import BackendId, VmId

from nutmegdrum.messages import LoadReport
from nutmegdrum.view import BackendLoad

MIN_CHANGE = 0.05
"""Change of load, as a share of the slots, below which a report is not spread."""


class LoadUpdates:
    """Newest loads, each with the number of the change that brought it."""

    def __init__(self) -> None:
        self._loads: dict[BackendId, tuple[int, BackendLoad]] = {}
        self._sent: dict[VmId, int] = {}
        self._change = 0

    def on_report(self, backend: BackendId, report: LoadReport) -> None:
        """Take in a backend server's load report."""
        load = BackendLoad(
            id=backend,
            sequence=report.sequence,
            running=report.running,
            queued=report.queued,
            slots=report.slots,
            role=report.role,
        )
        known = self._loads.get(backend)
        if known is not None and not _differs(known[1], load):
            return
        self._change += 1
        self._loads[backend] = (self._change, load)

    def since_last(self, vm: VmId) -> list[BackendLoad]:
        """Return the loads that changed since the last call for `vm`; all of them at first."""
        last = self._sent.get(vm, 0)
        self._sent[vm] = self._change
        return [load for change, load in self._loads.values() if change > last]

    def forget(self, vm: VmId) -> None:
        """Send everything to `vm` next, since it has started anew."""
        self._sent.pop(vm, None)


def _differs(old: BackendLoad, new: BackendLoad) -> bool:
    if (old.role, old.slots) != (new.role, new.slots) or new.sequence < old.sequence:
        return True
    change = abs(new.running + new.queued - old.running - old.queued)
    return change >= max(1, MIN_CHANGE * new.slots)
