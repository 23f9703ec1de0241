import pytest
from nutmegdrum.settings import CapacityPriority
from nutmegdrum_testing.bench.rollout_faults import CASES
from nutmegdrum_testing.bench.rollouts import run_table, summarise

MAX_STOP_MS = 2_000
MAX_AFTER_FAULT = 300
MAX_AFTER_FAULT_MEDIAN = 80
MIN_GOOD_IN_TIME = {CapacityPriority.RESUME_LATENCY: 7, CapacityPriority.MOVES_IN_TIME: 7}


@pytest.fixture(scope="module")
def outcomes():
    return run_table(CASES, [0])


@pytest.mark.parametrize("weigh", list(CapacityPriority))
class TestRollouts:
    def test_bad_versions_are_rolled_back_after_few_requests(self, outcomes, weigh):
        summary = summarise(outcomes, weigh)
        assert summary.taken_back == summary.bad
        assert summary.after_fault_max <= MAX_AFTER_FAULT
        assert summary.after_fault_median <= MAX_AFTER_FAULT_MEDIAN

    def test_no_requests_after_a_stop_or_without_a_grant(self, outcomes, weigh):
        summary = summarise(outcomes, weigh)
        assert summary.stop_max_ms <= MAX_STOP_MS
        assert summary.without_grant == 0

    def test_good_versions_complete_in_time_without_rollback(self, outcomes, weigh):
        summary = summarise(outcomes, weigh)
        assert summary.good_taken_back == 0
        assert summary.good_in_time >= MIN_GOOD_IN_TIME[weigh]
