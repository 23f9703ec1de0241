"""Requests whose time ends while a backend server is silent."""

import contextlib
import http.client
import threading

import pytest
from nutmegdrum_relay.stream_relay import EVENT_TIMEOUT
from nutmegdrum_testing.relay_calls import answers, get
from nutmegdrum_testing.relay_world import RelayWorld, document


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


@pytest.fixture
def finish():
    finish = threading.Event()
    yield finish
    finish.set()


class TestSilentStream:
    @pytest.fixture
    def silent(self, world, finish):
        def script(received):
            received.start_events(X_Id="q1")
            received.event(0)
            finish.wait(10)

        world.add(script)

    def call(self, world):
        started_ms = world.clock.elapsed_ms()
        with contextlib.suppress(http.client.IncompleteRead):
            get(world, "/stream/x", "POST", X_Deadline="600")
        return world.clock.elapsed_ms() - started_ms

    @pytest.mark.usefixtures("silent")
    def test_ends_with_its_callers_deadline(self, world):
        assert 600 <= self.call(world) < EVENT_TIMEOUT

    @pytest.mark.usefixtures("silent")
    def test_is_not_taken_for_a_crash(self, world):
        crashes = []
        world.crash_watch.on_broken = crashes.append
        self.call(world)
        assert crashes == []


class TestRejection:
    def test_with_a_body_that_stalls_does_not_hold_the_request(self, world, finish):
        def stalls(received):
            received.add_header("X-Not-Run", "1")
            received._head(503, {"X-Id": "q1", "Content-Length": "10"})
            received._handler.end_headers()
            received._handler.wfile.flush()
            finish.wait(10)

        (stalling,) = world.add(stalls)
        assert get(world, "/non-idempotent/x", "POST", X_Deadline="3000")[0] != 200
        world.add(answers(200))
        assert get(world, "/non-idempotent/x", "POST", X_Deadline="3000")[0] == 200
        assert len(stalling.received) <= 2
