"""Admission control for loading weights, based on the spare capacity of backend servers."""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

from nutmegdrum.fleet import Fleet, FleetMember
from nutmegdrum.placement import FIRST, Load
from nutmegdrum.settings import CapacityPriority

PERMILLE = 1_000

SAME_LOSS_MS = 30_000
"""Time within which suspicions of one backend server count as the same loss, in ms."""

MAX_PARALLEL_RESTORES = 2
"""Maximum number of concurrent loads of settled versions; more would all end late, as they
share the store's rate.
"""


class LoadLimits(NamedTuple):
    """Limits for loads that moves require.

    Attributes
    ----------
    parallel : int
        Number of concurrent loads in the deployment at which no further load for a move starts.
    reserve_permille : int
        Part of a service's slots that must stay free while one of its backend servers loads.
    hold_ms : int
        Time after the loss of a backend server during which no load starts, in ms.
    allowance_permille : int
        Planned time of loads, relative to the time that the weight store needs.
    """

    parallel: int
    reserve_permille: int
    hold_ms: int
    allowance_permille: int


LIMITS = {
    CapacityPriority.RESUME_LATENCY: LoadLimits(
        parallel=1, reserve_permille=250, hold_ms=10_000, allowance_permille=3_000
    ),
    CapacityPriority.MOVES_IN_TIME: LoadLimits(
        parallel=2, reserve_permille=50, hold_ms=0, allowance_permille=2_000
    ),
}


class SpareCapacity:
    """Admission control for loads that compete with traffic and recovery.

    Loads that restore a settled version are admitted regardless of spare capacity.

    Parameters
    ----------
    weigh : CapacityPriority
        Purpose for which spare capacity is reserved.
    """

    def __init__(self, weigh: CapacityPriority):
        self._limits = LIMITS[weigh]
        self._lost_ms: dict[BackendId, ElapsedMs] = {}
        self._suspected_ms: dict[BackendId, ElapsedMs] = {}
        self._silent: set[BackendId] = set()

    def planned_ms(self, load_ms: int) -> int:
        """Return the planned time of loads for which the weight store needs `load_ms`."""
        return load_ms * self._limits.allowance_permille // PERMILLE

    def on_loss(self, now_ms: ElapsedMs, backend: BackendId) -> None:
        """Record that an entry VM suspects a backend server.

        A backend server that stays suspected, or is suspected repeatedly, counts as lost only
        once and does not hold up loads for longer.
        """
        suspected_ms = self._suspected_ms.get(backend)
        self._suspected_ms[backend] = now_ms
        if suspected_ms is None or now_ms - suspected_ms > SAME_LOSS_MS:
            self._lost_ms[backend] = now_ms

    def update(self, now_ms: ElapsedMs, fleet: Fleet) -> None:
        """Record backend servers that stopped reporting as lost, and drop old losses."""
        silent = {
            backend
            for backend, member in fleet.members.items()
            if member.report is not None and not member.reachable(now_ms)
        }
        for backend in silent - self._silent:
            self.on_loss(now_ms, backend)
        self._silent = silent
        hold_ms = self._limits.hold_ms
        self._lost_ms = {b: t for b, t in self._lost_ms.items() if now_ms - t < hold_ms}

    def allows(
        self, now_ms: ElapsedMs, fleet: Fleet, load: Load, loading: Sequence[BackendId]
    ) -> bool:
        """Return whether `load` may start while the backend servers in `loading` load."""
        if load.complete_by == FIRST:
            return len(loading) < MAX_PARALLEL_RESTORES
        if self._lost_ms or len(loading) >= self._limits.parallel:
            return False
        service = fleet.members[load.backend].cfg.service
        others = [
            member
            for member in fleet.serving(service)
            if member.cfg.id != load.backend
            and member.cfg.id not in loading
            and member.reachable(now_ms)
        ]
        return _free_slots(others) >= self._reserve(others)

    def _reserve(self, members: Sequence[FleetMember]) -> int:
        slots = sum(member.report.slots for member in members if member.report is not None)
        return slots * self._limits.reserve_permille // PERMILLE


def _free_slots(members: Sequence[FleetMember]) -> int:
    reports = [member.report for member in members if member.report is not None]
    return sum(report.slots - report.running - report.queued for report in reports)
