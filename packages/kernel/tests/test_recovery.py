from nutmegdrum.messages import Priority
from nutmegdrum.recovery import RecoveryBudget
from nutmegdrum.recovery_queue import RecoveryQueue
from nutmegdrum_coord.clock import ElapsedMs, ManualClock


def exhausted_budget(per_s=20):
    budget = RecoveryBudget(per_s)
    for _ in range(per_s):
        budget.enter(Priority.BATCH, ElapsedMs(0))
    assert len(budget.grant(ElapsedMs(0))) == per_s
    return budget


class TestRecoveryBudget:
    def test_rate_limits_many_recoveries(self):
        budget = exhausted_budget()
        for _ in range(100):
            budget.enter(Priority.NORMAL, ElapsedMs(0))
        assert budget.grant(ElapsedMs(0)) == []
        assert len(budget.grant(ElapsedMs(500))) == 10

    def test_orders_by_priority_then_by_longest_silence(self):
        budget = exhausted_budget()
        late = budget.enter(Priority.NORMAL, ElapsedMs(90))
        early = budget.enter(Priority.NORMAL, ElapsedMs(10))
        batch = budget.enter(Priority.BATCH, ElapsedMs(1))
        urgent = budget.enter(Priority.URGENT, ElapsedMs(99))
        assert budget.grant(ElapsedMs(1_000)) == [urgent, early, late, batch]

    def test_withdrawn_recovery_is_not_charged(self):
        budget = exhausted_budget()
        first = budget.enter(Priority.NORMAL, ElapsedMs(0))
        second = budget.enter(Priority.NORMAL, ElapsedMs(1))
        budget.leave(first)
        assert budget.grant(ElapsedMs(50)) == [second]


class TestRecoveryQueue:
    def test_returns_false_at_the_deadline(self):
        queue = RecoveryQueue(ManualClock(0), exhausted_budget())
        assert not queue.wait(Priority.NORMAL, ElapsedMs(0), ElapsedMs(0))

    def test_grants_at_once_within_the_budget(self):
        queue = RecoveryQueue(ManualClock(100), RecoveryBudget(20))
        assert queue.wait(Priority.NORMAL, ElapsedMs(0), ElapsedMs(100))
