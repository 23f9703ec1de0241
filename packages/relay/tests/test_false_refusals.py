"""Answers of backend servers whose status callers take for "has not run"."""

import json

import pytest
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.retry_policy import Loss
from nutmegdrum_testing.relay_calls import answers, cut_off, get
from nutmegdrum_testing.relay_world import RelayWorld, document, free_address, route
from nutmegdrum_testing.scripted_backend import ScriptedBackend
from nutmegdrum_testing.waiting import wait_for

NOT_RUN_STATUSES = [408, 421, 429, 503]
"""Statuses that promise callers that a request has not run (the users' page on answers)."""

NOT_REPEATABLE = ["/non-idempotent/x", "/stream/x"]


@pytest.fixture
def worlds():
    """Yield a function that starts entry VMs whose streams may not be resumed."""
    running = []

    def start():
        running.append(RelayWorld(document(*(route(k, resumable=False) for k in RouteKind))))
        return running[-1]

    yield start
    for world in running:
        world.stop()


@pytest.fixture
def world(worlds):
    return worlds()


@pytest.fixture
def peer():
    """Yield a function that starts another entry VM, of an earlier build, as a script."""
    running = []

    def start(script):
        running.append(ScriptedBackend(script))
        return running[-1]

    yield start
    for each in running:
        each.stop()


def assert_may_have_run(answer):
    status, sent, body = answer
    assert status == 502
    assert json.loads(body)["verdict"] == "may-have-run"
    assert "X-Seal" not in sent
    assert "Retry-After" not in sent


class TestRequestThatMayHaveRun:
    """Guards against a server's own 503 that told callers that a booking had not run.

    In review/7 its client booked again, so that one booking ran twice.
    """

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    @pytest.mark.parametrize("more", [{}, {"Retry_After": "1"}, {"X_Seal": "s"}], ids=str)
    def test_is_not_answered_as_not_run(self, world, status, path, more):
        (backend,) = world.add(answers(status, b"failed", **more))
        assert_may_have_run(get(world, path, "POST"))
        assert len(backend.received) == 1

    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_is_not_answered_as_not_run_after_a_rejection_by_another_server(self, world, path):
        rejecting, failing = world.add(answers(503, X_Not_Run="1"), answers(503, b"failed"))
        for _ in range(4):
            assert_may_have_run(get(world, path, "POST"))
        assert rejecting.received
        assert len(failing.received) == 4

    @pytest.mark.parametrize("status", [429, 503])
    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_is_not_answered_as_not_run_by_way_of_another_entry_vm(self, worlds, status, path):
        lost, other = worlds(), worlds()
        (backend,) = other.add(answers(status, b"failed", X_Seal="s"))
        lost.set_peers(other)
        cut_off(lost, [free_address()])
        assert_may_have_run(get(lost, path, "POST"))
        assert sum(r.target == path for r in backend.received) == 1

    @pytest.mark.parametrize("status", [429, 503])
    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_is_not_answered_as_not_run_by_way_of_an_earlier_build(self, world, peer, status, path):
        earlier = peer(answers(status, b"failed", X_Seal="s"))
        world.set_peer_addresses(earlier.address)
        cut_off(world, [free_address()])
        assert_may_have_run(get(world, path, "POST"))
        assert sum(r.target == path for r in earlier.received) == 1

    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_counts_as_a_failure_of_its_server(self, world, path):
        world.add(answers(429, b"failed"))
        (backend,) = world.backends.of_service("svc")
        get(world, path, "POST")
        wait_for(lambda: backend.failure_rate > 0)

    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_is_logged_with_the_servers_status(self, world, path, monkeypatch):
        logged = []
        for module in ("plain_relay", "stream_relay"):
            monkeypatch.setattr(
                f"nutmegdrum_relay.{module}.log_attempt_lost",
                lambda pending, backend, lost, **more: logged.append((lost.loss, str(lost))),
            )
        world.add(answers(429, b"failed"))
        get(world, path, "POST")
        assert logged == [(Loss.FAILED, "status 429 of a request that may have run")]


class TestSoundAnswers:
    @pytest.mark.parametrize("status", [400, 404, 409, 500, 502, 504])
    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_other_statuses_are_passed_on_unchanged(self, world, status, path):
        world.add(answers(status, b"sorry", X_Seal="s"))
        answered, sent, body = get(world, path, "POST")
        assert (answered, sent["X-Seal"], body) == (status, "s", b"sorry")

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    def test_an_answer_to_an_idempotent_request_is_passed_on(self, world, status):
        world.add(answers(status, b"sorry", X_Seal="s"))
        answered, sent, body = get(world, "/idempotent/x")
        assert (answered, sent["X-Seal"], body) == (status, "s", b"sorry")

    def test_an_answer_to_a_stream_that_may_be_resumed_is_passed_on(self):
        world = RelayWorld(document())
        world.add(answers(429, b"sorry", X_Seal="s"))
        answered, sent, body = get(world, "/stream/x", "POST")
        world.stop()
        assert (answered, sent["X-Seal"], body) == (429, "s", b"sorry")

    @pytest.mark.parametrize("status", NOT_RUN_STATUSES)
    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_a_rejection_by_all_servers_is_answered_as_not_run(self, world, status, path):
        world.add(*[answers(status, X_Not_Run="1")] * 2)
        answered, sent, body = get(world, path, "POST")
        assert (answered, float(sent["Retry-After"]) > 0) == (503, True)
        assert json.loads(body)["verdict"] == "not-run"

    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_a_rejection_is_answered_as_not_run_by_way_of_another_entry_vm(self, worlds, path):
        lost, other = worlds(), worlds()
        other.add(answers(503, X_Not_Run="1"))
        lost.set_peers(other)
        cut_off(lost, [free_address()])
        answered, _, body = get(lost, path, "POST")
        assert (answered, json.loads(body)["verdict"]) == (503, "not-run")

    @pytest.mark.parametrize("path", NOT_REPEATABLE)
    def test_a_server_that_has_the_address_of_another_has_not_run_it(self, world, path):
        world.add(answers(421, X_Other="1"))
        answered, _, body = get(world, path, "POST")
        assert (answered, json.loads(body)["verdict"]) == (503, "not-run")
