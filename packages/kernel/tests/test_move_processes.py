import pytest
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.operators import Operator
from nutmegdrum_testing.traffic import Traffic
from nutmegdrum_testing.waiting import wait_for

TIMEOUT_S = 120.0
FRESHNESS_LEASE_MS = 2_000
MAX_BAD_SHARE = 0.1
OPTIONS = Options(
    states=3,
    entries=2,
    engines=3,
    engine_options=("--token-ms", "5", "--first-token-ms", "5"),
    peer_links=True,
    settings={"moves": {"step_time": "1s", "bake_time": "3s"}},
)


@pytest.fixture
def deployment():
    with Deployment(OPTIONS) as running:
        yield running


@pytest.fixture
def operator(deployment):
    return Operator(deployment)


def requests_to(deployment, version):
    states = [engine.control.state() for engine in deployment.engines]
    return sum(state["counters"]["by_version"].get(version, 0) for state in states)


def requests_served(deployment):
    states = [engine.control.state() for engine in deployment.engines]
    return sum(state["counters"]["requests"] for state in states)


def view_fresh(daemon):
    return daemon.metric("nutmegdrum_view_fresh") == 1


def set_faults(deployment, *faults):
    for engine in deployment.engines:
        engine.control.set_faults(*faults)


class TestMove:
    def test_good_version_gets_all_traffic_in_time(self, deployment, operator):
        with Traffic(deployment.caller(), "m") as traffic:
            operator.change_version("2")
            move = wait_for(operator.ended_move, TIMEOUT_S)
        assert (move["state"], move["late"]) == ("done", False)
        assert set(traffic.ended) == {"done"}, traffic.problems
        before = requests_to(deployment, "1")
        deployment.caller().generate("m", "after the move", 3).check(3)
        assert requests_to(deployment, "1") == before

    def test_bad_version_is_rolled_back_without_failed_requests(self, deployment, operator):
        set_faults(deployment, Fault(kind=FaultKind.ERROR, version="2"))
        with Traffic(deployment.caller(), "m") as traffic:
            operator.change_version("2")
            move = wait_for(operator.ended_move, TIMEOUT_S)
        assert move["state"] == "taken back"
        assert move["reason"]
        assert requests_to(deployment, "2") <= MAX_BAD_SHARE * requests_served(deployment)
        assert set(traffic.ended) == {"done"}, traffic.problems

    def test_disconnected_entry_vm_stops_sending_to_a_version_under_trial(
        self, deployment, operator
    ):
        cut_off = deployment.entries[1]
        with Traffic(deployment.caller(), "m"):
            operator.change_version("2")
            wait_for(lambda: requests_to(deployment, "2") > 0, TIMEOUT_S)
            for replica in deployment.states:
                deployment.link(cut_off.vm, replica.vm).silence()
            wait_for(lambda: not view_fresh(cut_off), TIMEOUT_S)
        sent = requests_to(deployment, "2")
        for number in range(100):
            deployment.caller().generate("m", f"cut off {number}", 1, entry=1).check(1)
        assert requests_to(deployment, "2") == sent
