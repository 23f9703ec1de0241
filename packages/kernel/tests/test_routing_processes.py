import pytest
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_testing.callers import RunningStream
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.traffic import Traffic
from nutmegdrum_testing.waiting import wait_for

LEAVING_MS = 3_000
TOKENS = 200
OPTIONS = Options(
    states=3,
    entries=2,
    engines=3,
    engine_options=("--token-ms", "20"),
    platform=True,
    platform_lag_ms=0,
)


@pytest.fixture
def deployment():
    with Deployment(OPTIONS) as running:
        yield running


def publish(deployment, leaving=()):
    vms = [
        {
            "id": engine.id,
            "address": engine.address,
            "kind": "backend",
            "service": "llm",
            "data_centre": "dc-a",
            "state": "leaving" if engine.id in leaving else "live",
        }
        for engine in deployment.engines
    ]
    deployment.platform.post({"vms": vms})


def requests_of(engine):
    return engine.control.state()["counters"]["requests"]


def pass_time(ms):
    clock = SystemClock()
    until_ms = clock.elapsed_ms() + ms
    wait_for(lambda: clock.elapsed_ms() >= until_ms)


class TestLeavingBackendServer:
    def test_gets_no_new_work_and_its_streams_finish(self, deployment):
        publish(deployment)
        first = deployment.engines[0]
        caller = deployment.caller()
        streams = [RunningStream(caller, "m", f"s{n}", TOKENS, entry=n % 2) for n in range(6)]
        with Traffic(caller, "m") as traffic:
            wait_for(lambda: requests_of(first) > 5)
            publish(deployment, leaving=[first.id])
            pass_time(LEAVING_MS)
            before = requests_of(first)
            served = traffic.ended.total()
            wait_for(lambda: traffic.ended.total() > served + 50)
            assert requests_of(first) == before
        for stream in streams:
            stream.join().check(TOKENS)
        assert set(traffic.ended) == {"done"}
