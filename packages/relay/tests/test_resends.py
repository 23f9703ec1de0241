"""All sends of a request but its first draw on the retry budget, whatever makes them."""

import contextlib
import http.client

import pytest
from nutmegdrum.retries import RetryLimits
from nutmegdrum_testing.relay_calls import get
from nutmegdrum_testing.relay_world import RelayWorld, document

REQUESTS = 20
ALLOWED = 2


@pytest.fixture
def world():
    world = RelayWorld(document(), retries=RetryLimits(ratio=ALLOWED / REQUESTS, shared=0))
    yield world
    world.stop()


def rejects(received):
    received.answer(503, b"full", X_Id=received.headers["x-id"], X_Not_Run="1")


def breaks_off(received):
    received.start_events(X_Id=received.headers["x-id"])
    received.event(int(received.headers.get("x-last", "0")) + 1)
    received.reset()


def fails(received):
    received.answer(500, b"failed", X_Id=received.headers["x-id"])


class TestEverySendIsCounted:
    @pytest.mark.parametrize(
        ("kind", "script"),
        [
            ("stream", rejects),
            ("stream", breaks_off),
            ("stream", fails),
            ("idempotent", rejects),
            ("idempotent", fails),
            ("non-idempotent", rejects),
        ],
    )
    def test_resends_stay_within_the_budget_while_all_servers_fail(self, world, kind, script):
        backends = world.add(*[script] * 5)
        for number in range(REQUESTS):
            # A stream that begins and is not sent again breaks off.
            with contextlib.suppress(http.client.IncompleteRead):
                get(world, f"/{kind}/x", "POST", b"", X_Id=f"q{number}")
        assert 0 < sum(len(b.received) for b in backends) - REQUESTS <= ALLOWED

    def test_a_rejected_stream_without_budget_is_refused_as_not_run(self, world):
        world.add(*[rejects] * 5)
        status, sent, _ = get(world, "/stream/x", "POST")
        assert (status, float(sent["Retry-After"]) > 0) == (503, True)
