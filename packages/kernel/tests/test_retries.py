from nutmegdrum.retries import RetryBudget


def count_granted(budget, count, now_ms=0):
    return sum(budget.take(now_ms) for _ in range(count))


class TestRetryBudget:
    def test_retries_are_a_share_of_first_attempts(self):
        budget = RetryBudget(ratio=0.1, min_per_s=0, burst=10)
        assert count_granted(budget, 100) == 10
        for _ in range(50):
            budget.on_first_attempt()
        assert count_granted(budget, 100) in (4, 5)

    def test_min_rate_applies_without_traffic(self):
        budget = RetryBudget(ratio=0.1, min_per_s=2, burst=10)
        assert count_granted(budget, 100) == 10
        assert count_granted(budget, 100, now_ms=1_000) == 2

    def test_stream_recoveries_consume_the_budget_first(self):
        budget = RetryBudget(ratio=0.1, min_per_s=1, burst=10)
        for _ in range(15):
            budget.on_recovery(0)
        assert count_granted(budget, 100) == 0
        assert count_granted(budget, 100, now_ms=4_000) == 0
        assert count_granted(budget, 100, now_ms=7_000) == 2
