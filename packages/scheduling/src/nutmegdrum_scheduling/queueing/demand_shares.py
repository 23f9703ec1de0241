"""Division of limits and capacities among the entry VMs by demand."""

from collections import defaultdict
from collections.abc import Mapping
from typing import Generic, NamedTuple, TypeVar

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.lease import PPM

EQUAL_FRACTION = 0.3
"""Fraction of each limit that is split equally, so that a new caller is admitted at any VM."""

DECAY_MS = 5_000
"""Time after which a reported demand no longer counts, in ms."""

Key = TypeVar("Key")


class Demand(NamedTuple):
    """What callers asked an entry VM for, at one point in time."""

    amount: float
    at_ms: int

    def decayed(self, now_ms: int) -> float:
        """Return the demand after linear decay since `at_ms`."""
        return self.amount * max(0.0, 1.0 - (now_ms - self.at_ms) / DECAY_MS)


class DemandShares(Generic[Key]):
    """Shares of several limits, computed from the demand for each at each entry VM.

    A load balancer in front of the entry VMs need not spread callers evenly. The shares follow the
    demand that the VMs report and add up to the whole limit.

    Parameters
    ----------
    total_valid_ms : int
        Time for which the sum of all VMs' demand is kept, in ms. Adding it up for each VM's answer
        costs quadratic time in the number of VMs.
    """

    def __init__(self, total_valid_ms: int = 0) -> None:
        self._total_valid_ms = total_valid_ms
        self._demand: dict[Key, dict[VmId, Demand]] = defaultdict(dict)
        self._totals: dict[Key, Demand] = {}

    def on_report(self, vm: VmId, amounts: Mapping[Key, float], now_ms: int) -> None:
        """Record an entry VM's report of its demand since its last report."""
        for key, amount in amounts.items():
            demand = self._demand[key]
            before = demand.get(vm, Demand(0.0, now_ms)).decayed(now_ms)
            demand[vm] = Demand(before + amount, now_ms)

    def remove(self, vm: VmId) -> None:
        """Forget the demand of an entry VM that no longer reports."""
        for demand in self._demand.values():
            demand.pop(vm, None)
        self._totals.clear()

    def shares(self, vm: VmId, vms: int, now_ms: int) -> dict[Key, int]:
        """Return the shares of one of `vms` entry VMs, in ppm of each limit."""
        equal = EQUAL_FRACTION / max(1, vms)
        shares: dict[Key, int] = {}
        for key, demands in self._demand.items():
            total = self._total(key, now_ms)
            own = demands[vm].decayed(now_ms) if vm in demands else 0.0
            by_demand = min(1.0, own / total) if total > 0 else 1 / max(1, vms)
            shares[key] = int(PPM * (equal + (1 - EQUAL_FRACTION) * by_demand))
        return shares

    def _total(self, key: Key, now_ms: int) -> float:
        total = self._totals.get(key)
        if total is None or now_ms - total.at_ms >= self._total_valid_ms:
            amount = sum(demand.decayed(now_ms) for demand in self._demand[key].values())
            total = self._totals[key] = Demand(amount, now_ms)
        return total.amount
