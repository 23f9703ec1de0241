"""The three diagnoses of docs/OPERATIONS.md, from a request's id to the cause."""

import http.client

import eliot
import pytest
from nutmegdrum_relay.routing_table import RoutingTable
from nutmegdrum_testing.relay_world import HOST, KEY, RelayWorld, document
from nutmegdrum_testing.waiting import wait_for

PREFIX = "nutmegdrum:"


@pytest.fixture
def lines():
    written = []
    eliot.add_destinations(written.append)
    yield written
    eliot.remove_destination(written.append)


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


def post(world, path, request_id):
    conn = http.client.HTTPConnection(world.address.host, world.address.port, timeout=10)
    headers = {"Host": HOST, "X-Id": request_id, "X-Key": KEY}
    conn.request("POST", path, b"", headers)
    status = conn.getresponse().status
    conn.close()
    return status


def lines_of(lines, request_id):
    """Return the log lines of a request with their kinds, once its end has been logged."""

    def found():
        matching = [line for line in lines if line.get("request") == request_id]
        kinds = [line["message_type"].removeprefix(PREFIX) for line in matching]
        return list(zip(kinds, matching, strict=True)) if "request_ended" in kinds else None

    return wait_for(found)


class TestDiagnosis:
    def test_a_broken_stream(self, world, lines):
        world.add(lambda r: r.reset(), lambda r: r.reset(), lambda r: r.reset())
        assert post(world, "/stream/x", "broken-1") == 502
        steps = lines_of(lines, "broken-1")
        kinds = [kind for kind, _ in steps]
        assert kinds[:2] == ["attempt_sent", "attempt_lost"]
        assert kinds[-2:] == ["request_refused", "request_ended"]
        sent = steps[0][1]
        assert {"backend", "unread", "others_unread", "time_left_ms"} <= sent.keys()
        losses = [line["loss"] for kind, line in steps if kind == "attempt_lost"]
        assert losses == ["broken"] * 3
        assert steps[-2][1]["verdict"] == "may-have-run"

    def test_a_refused_request(self, world, lines):
        (backend,) = world.add(lambda r: r.answer(200, X_Id="x"))
        backend.stop()
        assert post(world, "/non-idempotent/x", "refused-1") == 503
        steps = dict(lines_of(lines, "refused-1"))
        assert steps["attempt_lost"]["loss"] == "not-sent"
        assert steps["request_refused"]["reason"] == "no-backend"
        assert steps["request_refused"]["retry_after_ms"] == 200
        paused = [line for line in lines if line.get("message_type") == f"{PREFIX}backend_paused"]
        assert paused[-1]["reason"] == "no-connection"

    def test_a_404_around_a_change(self, world, lines):
        world.table = RoutingTable(document(document().routes[0]))
        assert post(world, "/stream/x", "gone-1") == 404
        refused = dict(lines_of(lines, "gone-1"))["request_refused"]
        assert (refused["reason"], refused["path"], refused["host"]) == (
            "not-found",
            "/stream/x",
            HOST,
        )
