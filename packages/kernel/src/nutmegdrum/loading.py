"""Spare capacity of backend servers: how many may load weights at a time."""

from collections.abc import Sequence
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

from nutmegdrum.fleet import Fleet, FleetMember
from nutmegdrum.placement import FIRST, Load
from nutmegdrum.settings import CapacityPriority

PERMILLE = 1_000

SAME_LOSS_MS = 30_000
"""Time in which suspicions of one backend server are the same loss, in ms."""

MAX_PARALLEL = 2
"""Loads of settled versions at a time; more would share the store's rate and all end late."""


class LoadLimits(NamedTuple):
    """Limits of loads for moves.

    Attributes
    ----------
    parallel : int
        Loads at a time in the whole deployment beside which one for a move may begin.
    reserve_permille : int
        Slots of a service that must stay free while one of its backend servers loads.
    hold_ms : int
        Time after the loss of a backend server in which no load begins, in ms.
    allowance_permille : int
        Time that loads are planned to need, of the weight store's alone.
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
    """Admission of loads beside traffic and recovery.

    Loads that restore a settled version are admitted whatever is spare.

    Parameters
    ----------
    weigh : CapacityPriority
        What spare capacity is kept for.
    """

    def __init__(self, weigh: CapacityPriority):
        self._limits = LIMITS[weigh]
        self._lost_ms: dict[BackendId, ElapsedMs] = {}
        self._heard_ms: dict[BackendId, ElapsedMs] = {}
        self._silent: set[BackendId] = set()

    def planned_ms(self, load_ms: int) -> int:
        """Return the time to plan for loads that the weight store does in `load_ms`."""
        return load_ms * self._limits.allowance_permille // PERMILLE

    def on_loss(self, now_ms: ElapsedMs, backend: BackendId) -> None:
        """Take in that an entry VM suspects a backend server.

        One that stays suspected, or is so again and again, holds up no loads for that.
        """
        heard_ms = self._heard_ms.get(backend)
        self._heard_ms[backend] = now_ms
        if heard_ms is None or now_ms - heard_ms > SAME_LOSS_MS:
            self._lost_ms[backend] = now_ms

    def update(self, now_ms: ElapsedMs, fleet: Fleet) -> None:
        """Take in which backend servers stopped to report, and forget old losses."""
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
        """Return whether `load` may begin beside the backend servers that load already."""
        if load.complete_by == FIRST:
            return len(loading) < MAX_PARALLEL
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
