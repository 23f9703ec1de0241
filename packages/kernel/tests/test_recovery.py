from nutmegdrum.messages import Priority
from nutmegdrum.recovery import RecoveryBudget
from nutmegdrum.recovery_queue import RecoveryQueue
from nutmegdrum_coord.clock import ElapsedMs, ManualClock


def drained(per_s=20):
    budget = RecoveryBudget(per_s)
    for _ in range(per_s):
        budget.enter(Priority.BATCH, ElapsedMs(0))
    assert len(budget.grant(ElapsedMs(0))) == per_s
    return budget


class TestRecoveryBudget:
    def test_a_storm_is_spread_over_time(self):
        budget = drained()
        for _ in range(100):
            budget.enter(Priority.NORMAL, ElapsedMs(0))
        assert budget.grant(ElapsedMs(0)) == []
        assert len(budget.grant(ElapsedMs(500))) == 10

    def test_urgent_ones_first_then_those_that_wait_longest(self):
        budget = drained()
        late = budget.enter(Priority.NORMAL, ElapsedMs(90))
        early = budget.enter(Priority.NORMAL, ElapsedMs(10))
        batch = budget.enter(Priority.BATCH, ElapsedMs(1))
        urgent = budget.enter(Priority.URGENT, ElapsedMs(99))
        assert budget.grant(ElapsedMs(1_000)) == [urgent, early, late, batch]

    def test_withdrawn_ones_cost_nothing(self):
        budget = drained()
        first = budget.enter(Priority.NORMAL, ElapsedMs(0))
        second = budget.enter(Priority.NORMAL, ElapsedMs(1))
        budget.leave(first)
        assert budget.grant(ElapsedMs(50)) == [second]


class TestRecoveryTurns:
    def test_gives_up_at_the_deadline(self):
        queue = RecoveryQueue(ManualClock(0), drained())
        assert not queue.wait(Priority.NORMAL, ElapsedMs(0), ElapsedMs(0))

    def test_grants_at_once_within_the_budget(self):
        queue = RecoveryQueue(ManualClock(100), RecoveryBudget(20))
        assert queue.wait(Priority.NORMAL, ElapsedMs(0), ElapsedMs(100))
