import itertools

import pytest
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.operators import Operator
from nutmegdrum_testing.traffic import Traffic
from nutmegdrum_testing.waiting import wait_for

TIMEOUT_S = 120.0


def options(*engine_options):
    return Options(
        states=3,
        entries=1,
        engines=3,
        engine_options=("--token-ms", "5", "--load-ms", "1500", *engine_options),
        settings={"moves": {"step_time": "1s", "bake_time": "2s", "order_deadline": "2s"}},
    )


@pytest.fixture(params=[(), ("--ignore-fencing",)], ids=["checks-fencing", "ignores-fencing"])
def deployment(request):
    with Deployment(options(*request.param)) as running:
        yield running


def leader(deployment, among):
    return next((vm for vm in among if vm.metric("nutmegdrum_log_leads") == 1), None)


def orders(engine):
    return [record["order"] for record in engine.control.state()["orders"]]


def loaded(engine):
    return [version["version"] for version in engine.control.get("/v1/load")["loaded"]]


class TestFrozenLeader:
    def test_its_orders_are_never_run_after_those_of_its_successor(self, deployment):
        operator = Operator(deployment)
        operator.change_version("2")
        with Traffic(deployment.caller(), "m") as traffic:
            wait_for(lambda: any(orders(engine) for engine in deployment.engines), TIMEOUT_S)
            frozen = leader(deployment, deployment.states)
            frozen.running.pause()
            others = [vm for vm in deployment.states if vm is not frozen]
            wait_for(lambda: leader(deployment, others), TIMEOUT_S)
            frozen.running.resume()
            move = wait_for(operator.ended_move, TIMEOUT_S)
        assert move["state"] == "done"
        assert set(traffic.ended) == {"done"}
        for engine in deployment.engines:
            fencing = [order["fencing"] for order in orders(engine)]
            assert all(old <= new for old, new in itertools.pairwise(fencing)), fencing
            wait_for(lambda engine=engine: loaded(engine) == ["2"], TIMEOUT_S)
