"""Plays the retry budgets of all entry VMs in model time, while servers are lost.

Streams arrive at random entry VMs. When a third of the servers is lost, each running stream is lost
with a probability of a third; it asks its VM's budget for a resend until its caller gives up.
"""

import random
from bisect import bisect_right
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from nutmegdrum.permits import PermitLedger, PermitRequest, ResendRequests
from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum_coord.clock import Duration, ManualClock
from nutmegdrum_coord.ids import IncarnationId, ServiceName, VmId
from nutmegdrum_relay.entry_reports import report_wait_ms
from nutmegdrum_scheduling.resends.budget import RetryBudget
from nutmegdrum_scheduling.resends.fleet_budget import BudgetRule, FleetBudget
from nutmegdrum_scheduling.resends.kinds import Resend

SERVICE = ServiceName("engines")
RULE = BudgetRule(ratio=0.8, window=Duration(10_000), slack=150)
"""The users' bound on resends."""

STEP_MS = 50
STREAM_MS = 12_000
PATIENCE_MS = 10_000
AT_MS = 30_000
SECOND_LOSS_MS = 4_000
END_MS = 55_000
NO_LEADER_MS = 5_000
ELECTIONS_MS = (500, 1_000, 1_300, 2_300, 2_900, 3_200)
"""Times of elections in quick succession, after the loss of servers."""


class Disturbance(Enum):
    """What happens beside the losses of servers."""

    NONE = "none"
    LEADER_LOST = "leader-lost"
    NEW_LEADER = "new-leader"
    VMS_RESTART = "vms-restart"
    CALLERS_MOVE = "callers-move"
    REPORTS_LOST = "reports-lost"
    LOAD_ENDS = "load-ends"
    ELECTIONS = "elections"
    SITE_LOST = "site-lost"
    """A third of the entry VMs is lost together with the leader and the servers."""


class PlayResult(NamedTuple):
    """Result of a play.

    Attributes
    ----------
    worst : int
        Resends above the bound in the window that comes closest to it; negative within it.
    most : int
        Resends in the window with most.
    lost, continued : int
        Streams that lost their server, and those of them that were sent again.
    """

    worst: float
    most: int
    lost: int
    continued: int


class _Vm:
    def __init__(self, name: str, budget: RetryBudget, incarnation: int):
        self.name = VmId(name)
        self.budget = budget
        self.incarnation = IncarnationId(f"{name}/{incarnation}")
        self.next_report_ms = 0


class ResendPlay:
    """One play.

    Parameters
    ----------
    rule : BudgetRule or None
        Bound that the leader keeps for all VMs; None for the limits of each VM by itself.
    greedy : bool
        Whether every VM asks for resends all the time, whatever it has lost.
    held_ms : int
        Time in ms for which such a VM keeps permits in every other window before it uses them.
    """

    def __init__(
        self,
        entry_vms: int,
        disturbance: Disturbance,
        rule: BudgetRule | None,
        per_s: float = 30.0,
        greedy: bool = False,
        seed: int = 1,
        held_ms: int = 0,
    ):
        self._clock = ManualClock(1_000_000)
        self._start_ms = self._clock.elapsed_ms()
        self._rng = random.Random(seed)
        self._rule, self._per_s, self._greedy = rule, per_s, greedy
        self._disturbance = disturbance
        self._held_ms = held_ms
        self._terms = 0
        self._ledger: PermitLedger | None = None
        self._fleet: FleetBudget | None = None
        self._elect()
        self._vms = [self._vm(number, 0, entry_vms) for number in range(entry_vms)]
        self._requests_ms: list[int] = []
        self._resends_ms: list[int] = []

    def run(self) -> PlayResult:
        """Play until the end, and compare the resends with the bound in every window."""
        running: list[tuple[int, _Vm]] = []
        waiting: list[tuple[int, _Vm]] = []
        lost = continued = 0
        for now_ms in range(0, END_MS, STEP_MS):
            self._disturb(now_ms)
            if self._disturbance is Disturbance.VMS_RESTART and now_ms == AT_MS + 1_000:
                # Their callers' connections end with them.
                lost -= len(waiting)
                running, waiting = [], []
            if self._disturbance is Disturbance.SITE_LOST and now_ms == AT_MS:
                self._vms = self._vms[len(self._vms) // 3 :]
                running = [each for each in running if each[1] in self._vms]
            self._report(now_ms)
            for vm in self._arrivals(now_ms):
                running.append((now_ms + STREAM_MS, vm))
            if now_ms in (AT_MS, AT_MS + SECOND_LOSS_MS):
                drawn = [(self._rng.random() < 1 / 3, each) for each in running]
                running = [each for is_hit, each in drawn if not is_hit]
                hit = [vm for is_hit, (_, vm) in drawn if is_hit]
                waiting += [(now_ms + PATIENCE_MS, vm) for vm in hit]
                lost += len(hit)
            running = [each for each in running if each[0] > now_ms]
            waiting, sent = self._resend(waiting, now_ms)
            running += [(now_ms + STREAM_MS, vm) for vm in sent]
            continued += len(sent)
            if self._greedy:
                self._ask_greedily(now_ms)
            self._clock.advance(STEP_MS)
        return PlayResult(*self._against_bound(), lost, continued)

    def _vm(self, number: int, incarnation: int, entry_vms: int) -> _Vm:
        name = f"vm{number}"
        budget = RetryBudget(
            self._clock, self._rng, ResendRequests(VmId(name), self._ask), rule=self._rule
        )
        if not incarnation:
            budget.set_entry_vms(entry_vms)
        return _Vm(name, budget, incarnation)

    def _elect(self) -> None:
        self._terms += 1
        retries = None
        if self._rule is not None:
            retries = self._fleet = FleetBudget(self._clock, self._rule)
            retries.begin_term(self._terms)
        limits = KnownLimits(self._clock)
        self._ledger = PermitLedger(self._clock, self._rng, limits, retries)

    def _ask(self, request: PermitRequest):
        return None if self._ledger is None else self._ledger.request(request)

    def _disturb(self, now_ms: int) -> None:
        kind = self._disturbance
        no_leader = {
            Disturbance.LEADER_LOST: (AT_MS - 500, AT_MS - 500 + NO_LEADER_MS),
            Disturbance.NEW_LEADER: (AT_MS + 1_000, AT_MS + 2_000),
            Disturbance.SITE_LOST: (AT_MS, AT_MS + 1_500),
        }.get(kind, (-1, -1))
        if now_ms == no_leader[0]:
            self._ledger = self._fleet = None
        if now_ms == no_leader[1]:
            self._elect()
        if kind is Disturbance.ELECTIONS and now_ms - AT_MS in ELECTIONS_MS:
            self._elect()
        if kind is Disturbance.VMS_RESTART and now_ms == AT_MS + 1_000:
            self._vms[:] = [self._vm(number, 1, 0) for number in range(len(self._vms))]

    def _report(self, now_ms: int) -> None:
        for vm in self._vms:
            if now_ms < vm.next_report_ms:
                continue
            wait_ms = report_wait_ms(len(self._vms))
            vm.next_report_ms = now_ms + wait_ms + self._rng.randrange(STEP_MS)
            lossy = self._disturbance is Disturbance.REPORTS_LOST
            if self._ledger is None or (lossy and self._rng.random() < 0.5):
                continue
            told = vm.budget.told_entry_vms
            vm.budget.set_entry_vms(len(self._vms))
            if self._fleet is None or vm.budget.leases is None:
                continue
            counts = vm.budget.leases.counts()
            self._fleet.record(vm.name, vm.incarnation, counts, told)
            leases = self._fleet.leases(vm.name)
            if not (lossy and self._rng.random() < 0.5):
                vm.budget.leases.apply(leases, self._clock.elapsed_ms())

    def _users(self, now_ms: int) -> list[_Vm]:
        """Return the VMs that callers use."""
        if self._disturbance is not Disturbance.CALLERS_MOVE:
            return self._vms
        half = len(self._vms) // 2
        return self._vms[half:] if now_ms >= AT_MS else self._vms[:half]

    def _arrivals(self, now_ms: int) -> list[_Vm]:
        if self._disturbance is Disturbance.LOAD_ENDS and now_ms >= AT_MS:
            return []
        users = self._users(now_ms)
        chance = self._per_s * STEP_MS / 1_000 / 4
        arrived = [self._rng.choice(users) for _ in range(4) if self._rng.random() < chance]
        for vm in arrived:
            vm.budget.on_request(SERVICE)
            self._requests_ms.append(now_ms)
        return arrived

    def _resend(
        self, waiting: list[tuple[int, _Vm]], now_ms: int
    ) -> tuple[list[tuple[int, _Vm]], list[_Vm]]:
        sent, left = [], []
        for until_ms, vm in waiting:
            if vm.budget.take(SERVICE, Resend.RECOVERY):
                self._resends_ms.append(now_ms)
                sent.append(vm)
            elif until_ms > now_ms:
                left.append((until_ms, vm))
        return left, sent

    def _ask_greedily(self, now_ms: int) -> None:
        held_ms = self._held_ms if now_ms // int(RULE.window) % 2 == 0 else 0
        for vm in self._rng.sample(self._vms, max(1, len(self._vms) // 4)):
            for kind in (Resend.RETRY, Resend.RECOVERY):
                while vm.budget.take(SERVICE, kind):
                    self._resends_ms.append(now_ms + held_ms)

    def _against_bound(self) -> tuple[float, int]:
        count = _counter(self._requests_ms)
        resends = _counter(self._resends_ms)
        window = int(RULE.window)
        worst, most = -float("inf"), 0
        for start in range(window, END_MS - window, 250):
            begins = (start, start - window // 2, start - window)
            bound = RULE.ratio * max(count(at, at + window) for at in begins) + RULE.slack
            sent = resends(start, start + window)
            worst, most = max(worst, sent - bound), max(most, sent)
        return worst, most


def _counter(times: list[int]) -> Callable[[int, int], int]:
    ordered = sorted(times)
    return lambda begin, end: bisect_right(ordered, end) - bisect_right(ordered, begin)
