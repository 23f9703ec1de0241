import random

import pytest
from nutmegdrum.packing import pack, unpack
from nutmegdrum.permits import Permit, PermitLedger, PermitRequest, ResendRequests
from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum.retries import (
    LEADER_RETRY,
    REFUSAL_MEMORY,
    WINDOW,
    Resend,
    RetryBudget,
    RetryLimits,
)
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import VmId

BUDGET_RATIO, BUDGET_SLACK, WINDOW_MS = 0.8, 150, 10_000
"""The users' bound on retries in a window, over all entry VMs: ratio of requests, and slack."""

LIMITS = RetryLimits(ratio=0.5, shared=10)


def count_granted(budget, count, service="svc", kind=Resend.RECOVERY):
    return sum(budget.take(service, kind) for _ in range(count))


@pytest.fixture
def clock():
    return ManualClock(100_000)


@pytest.fixture
def denied(clock):
    """Return the budget of an entry VM whose leader grants nothing."""
    return RetryBudget(clock, random.Random(1), lambda service, kind: False, LIMITS)


class TestOwnRequests:
    def test_resends_are_a_share_of_the_requests_in_the_window(self, clock, denied):
        assert count_granted(denied, 5) == 0
        for _ in range(20):
            denied.on_request("svc")
        assert count_granted(denied, 100) == 10
        clock.advance(WINDOW + 1_000)
        assert count_granted(denied, 100) == 0

    def test_requests_to_a_service_earn_no_resends_to_another_one(self, denied):
        for _ in range(20):
            denied.on_request("plain")
        assert count_granted(denied, 100, "engines") == 0

    def test_retries_leave_half_of_the_budget_to_recoveries(self, denied):
        for _ in range(20):
            denied.on_request("svc")
        assert count_granted(denied, 100, kind=Resend.RETRY) == 5
        assert count_granted(denied, 100) == 5

    def test_recoveries_use_up_what_retries_could_use(self, denied):
        for _ in range(20):
            denied.on_request("svc")
        assert count_granted(denied, 5) == 5
        assert count_granted(denied, 5, kind=Resend.RETRY) == 0


class TestSharedBudget:
    def test_an_entry_vm_without_requests_gets_resends_from_the_leader(self, clock):
        ledger = PermitLedger(clock, random.Random(1), KnownLimits(clock))
        ask = ResendRequests(VmId("vm"), lambda request: ledger.request(_sent(request)))
        budget = RetryBudget(clock, random.Random(1), ask)
        assert count_granted(budget, 200) == RetryLimits().shared
        clock.advance(WINDOW + 1_000)
        assert count_granted(budget, 20) == 20

    def test_without_an_answer_the_leader_is_asked_again_after_a_while(self, clock):
        asked = []
        budget = RetryBudget(clock, random.Random(1), lambda *wanted: asked.append(wanted))
        count_granted(budget, 3)
        assert len(asked) == 1
        clock.advance(LEADER_RETRY)
        count_granted(budget, 3)
        assert len(asked) == 2

    def test_an_answer_of_a_leader_without_a_budget_counts_as_none(self, clock):
        old = pack({"backend": None, "wait_ms": 0})
        ask = ResendRequests(VmId("vm"), lambda request: unpack(old, Permit))
        budget = RetryBudget(clock, random.Random(1), ask, LIMITS)
        assert count_granted(budget, 100) == LIMITS.shared


class TestBound:
    """Sums over all entry VMs while everything fails."""

    @pytest.mark.parametrize("has_leader", [True, False])
    @pytest.mark.parametrize("entry_vms", [1, 6, 9, 40, 191])
    @pytest.mark.parametrize(("per_s", "least"), [(1, 0), (40, 0.2)])
    def test_all_entry_vms_together_keep_the_bound(
        self, clock, entry_vms, per_s, least, has_leader
    ):
        rng = random.Random(1)
        ledger = PermitLedger(clock, rng, KnownLimits(clock))
        answer = ledger.request if has_leader else lambda request: None
        budgets = [
            RetryBudget(clock, rng, ResendRequests(VmId(f"vm{number}"), answer))
            for number in range(entry_vms)
        ]
        for budget in budgets:
            budget.set_entry_vms(entry_vms)
        start_ms = clock.elapsed_ms()
        resends_ms = []
        while (now_ms := clock.elapsed_ms() - start_ms) < 40_000:
            budget = rng.choice(budgets)
            budget.on_request("svc")
            for other in (budget, rng.choice(budgets)):
                for kind in Resend:
                    resends_ms += [now_ms] * count_granted(other, 2, kind=kind)
            clock.advance(1 + int(rng.expovariate(per_s) * 1_000))
        windows = [sum(t < at <= t + WINDOW_MS for at in resends_ms) for t in range(0, 30_000, 500)]
        assert max(windows) <= BUDGET_RATIO * per_s * WINDOW_MS / 1_000 + BUDGET_SLACK
        assert min(windows) >= least * per_s * WINDOW_MS / 1_000


def _sent(request):
    return unpack(pack(request), PermitRequest)


class TestReservation:
    def test_no_more_are_reserved_than_may_be_granted(self, denied):
        denied.take("svc", Resend.RETRY)
        for _ in range(20):
            denied.on_request("svc")
        assert sum(denied.reserve("svc", Resend.RETRY) for _ in range(100)) == 5
        assert count_granted(denied, 100, kind=Resend.RETRY) == 5

    def test_a_reservation_ends_with_its_release(self, denied):
        denied.take("svc", Resend.RETRY)
        for _ in range(4):
            denied.on_request("svc")
        assert denied.reserve("svc", Resend.RETRY)
        assert not denied.reserve("svc", Resend.RETRY)
        denied.release("svc")
        assert denied.reserve("svc", Resend.RETRY)

    def test_the_shared_budget_counts_until_it_refuses(self, clock, denied):
        assert sum(denied.reserve("svc", Resend.RETRY) for _ in range(100)) == 5
        for _ in range(5):
            denied.release("svc")
        denied.take("svc", Resend.RETRY)
        assert not denied.reserve("svc", Resend.RETRY)
        clock.advance(REFUSAL_MEMORY)
        assert denied.reserve("svc", Resend.RETRY)

    def test_entry_vms_share_the_shared_budget(self, denied):
        denied.set_entry_vms(5)
        assert sum(denied.reserve("svc", Resend.RETRY) for _ in range(100)) == 1
