import pytest
from nutmegdrum_testing.bench.overload import Overload


@pytest.fixture(scope="module")
def outcomes():
    return {load: Overload(load).run() for load in (0.5, 1.0, 2.0, 4.0)}


class TestOverload:
    def test_no_request_is_refused_or_late_below_capacity(self, outcomes):
        assert outcomes[0.5].refused == outcomes[0.5].late == 0

    @pytest.mark.parametrize("load", [2.0, 4.0])
    def test_goodput_holds_under_overload(self, outcomes, load):
        assert outcomes[load].goodput >= 0.9

    @pytest.mark.parametrize("load", [1.0, 2.0, 4.0])
    def test_urgent_requests_are_served_and_shedding_follows_priority(self, outcomes, load):
        in_time = outcomes[load].in_time
        assert in_time["urgent"] >= 0.99
        assert in_time["urgent"] >= in_time["normal"] >= in_time["batch"]

    @pytest.mark.parametrize("load", [2.0, 4.0])
    def test_admitted_requests_meet_deadlines_and_refusals_are_fast(self, outcomes, load):
        assert outcomes[load].late <= 5
        assert outcomes[load].worst_wait_ms <= 2_200

    def test_small_workspaces_keep_their_share_beside_large_ones(self, outcomes):
        assert outcomes[4.0].small_in_time >= 2 * outcomes[4.0].large_in_time

    def test_goodput_collapses_without_admission(self):
        assert Overload(2.0, admits_all=True).run().goodput < 0.5
