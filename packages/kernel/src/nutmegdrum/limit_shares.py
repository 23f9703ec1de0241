"""Parts of the workspaces' limits that each entry VM may use, by what it was asked for."""

from collections import defaultdict
from typing import NamedTuple

from nutmegdrum_coord.ids import VmId, WorkspaceId

from nutmegdrum.units import PPM
from nutmegdrum.view import WorkspaceUse

EVEN_PART = 0.3
"""Part of each limit that is split evenly, so that a new caller is admitted at any VM."""

DECAY_MS = 5_000


class Demand(NamedTuple):
    """Requests and streams that an entry VM was asked for, as of one moment."""

    amount: float
    at_ms: int

    def now(self, now_ms: int) -> float:
        """Return what is left of the demand, which fades with time."""
        return self.amount * max(0.0, 1.0 - (now_ms - self.at_ms) / DECAY_MS)


class LimitShares:
    """Demand of each workspace at each entry VM.

    A balancer need not spread a workspace's callers evenly. The parts follow the demand that the
    VMs report, and sum up to the whole limit.
    """

    def __init__(self) -> None:
        self._demand: dict[WorkspaceId, dict[VmId, Demand]] = defaultdict(dict)

    def on_report(self, vm: VmId, use: list[WorkspaceUse], now_ms: int) -> None:
        """Take an entry VM's report of what it was asked for since the last one."""
        for item in use:
            demand = self._demand[item.workspace]
            before = demand.get(vm, Demand(0.0, now_ms)).now(now_ms)
            demand[vm] = Demand(before + item.requests + item.streams, now_ms)

    def shares(self, vm: VmId, vms: int, now_ms: int) -> dict[WorkspaceId, int]:
        """Return the parts of an entry VM among `vms` in all, in ppm of each limit."""
        even = EVEN_PART / max(1, vms)
        shares: dict[WorkspaceId, int] = {}
        for workspace, demands in self._demand.items():
            total = sum(demand.now(now_ms) for demand in demands.values())
            own = demands[vm].now(now_ms) if vm in demands else 0.0
            by_demand = own / total if total > 0 else 1 / max(1, vms)
            shares[workspace] = int(PPM * (even + (1 - EVEN_PART) * by_demand))
        return shares
