"""Division of the workspaces' limits among the entry VMs by demand."""

from collections import defaultdict
from typing import NamedTuple

from nutmegdrum_coord.ids import VmId, WorkspaceId

from nutmegdrum.units import PPM
from nutmegdrum.view import WorkspaceUse

EQUAL_FRACTION = 0.3
"""Fraction of each limit that is split equally, so that a new caller is admitted at any VM."""

DECAY_MS = 5_000
"""Time after which a reported demand no longer counts, in ms."""


class Demand(NamedTuple):
    """Requests and streams that callers asked an entry VM for, at one point in time."""

    amount: float
    at_ms: int

    def decayed(self, now_ms: int) -> float:
        """Return the demand after linear decay since `at_ms`."""
        return self.amount * max(0.0, 1.0 - (now_ms - self.at_ms) / DECAY_MS)


class LimitShares:
    """Shares of each workspace's limits, computed from the demand at each entry VM.

    A load balancer in front of the entry VMs need not spread a workspace's callers evenly. The
    shares follow the demand that the VMs report and add up to the whole limit.
    """

    def __init__(self) -> None:
        self._demand: dict[WorkspaceId, dict[VmId, Demand]] = defaultdict(dict)

    def on_report(self, vm: VmId, use: list[WorkspaceUse], now_ms: int) -> None:
        """Record an entry VM's report of its demand since its last report."""
        for item in use:
            demand = self._demand[item.workspace]
            before = demand.get(vm, Demand(0.0, now_ms)).decayed(now_ms)
            demand[vm] = Demand(before + item.requests + item.streams, now_ms)

    def shares(self, vm: VmId, vms: int, now_ms: int) -> dict[WorkspaceId, int]:
        """Return the shares of one of `vms` entry VMs, in ppm of each limit."""
        equal = EQUAL_FRACTION / max(1, vms)
        shares: dict[WorkspaceId, int] = {}
        for workspace, demands in self._demand.items():
            total = sum(demand.decayed(now_ms) for demand in demands.values())
            own = demands[vm].decayed(now_ms) if vm in demands else 0.0
            by_demand = own / total if total > 0 else 1 / max(1, vms)
            shares[workspace] = int(PPM * (equal + (1 - EQUAL_FRACTION) * by_demand))
        return shares
