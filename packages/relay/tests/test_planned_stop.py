"""Requests that come or are still running while an entry VM is being stopped."""

import socket
import threading
from collections import Counter
from concurrent.futures import ThreadPoolExecutor

import eliot
import pytest
from nutmegdrum.sockets import RESET_ON_CLOSE, is_readable
from nutmegdrum.units import Duration
from nutmegdrum_relay.call_durations import CallDurations
from nutmegdrum_relay.callers import LAST_CHUNK, Call
from nutmegdrum_relay.decisions import LINES_PER_S
from nutmegdrum_relay.planned_stop import PlannedStop
from nutmegdrum_testing.relay_calls import answers, connect, get, headers, numbers
from nutmegdrum_testing.relay_world import RelayWorld, document
from nutmegdrum_testing.waiting import wait_for

EVENTS, EVENT_BYTES, SMALL_BUFFER = 30, 4_000, 4_096
"""Events of a stream, and sizes in bytes with which it does not fit into its caller's buffers."""

UNFRAMED = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Id: q1\r\n\r\nid: 1\ndata: t\n\n"
)
"""Stream whose end only the end of its connection tells."""

NOTICE = Duration(2_700)
WITHIN = Duration(8_000)
AFTER_NOTICE_MS = 3_000


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


def takes(ms):
    def script(received):
        threading.Event().wait(ms / 1_000)
        if "/stream/" in received.target:
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            received.end_events()
            return
        received.answer(200, b"done", X_Id=received.headers["x-id"])

    return script


def stop_in(world, ms):
    now_ms = world.clock.elapsed_ms()
    world.relay.planned_stop = lambda: PlannedStop(now_ms, now_ms + ms, now_ms + ms, now_ms + ms)


def stop_began(world, ago_ms, within):
    """Let a planned stop be in progress since `ago_ms`, in a process killed `within` its start."""
    stop = PlannedStop.begin(world.clock.elapsed_ms() - ago_ms, NOTICE, within)
    world.relay.planned_stop = lambda: stop


def call_once(world, kind):
    """Make one call, and wait until its duration counts; its caller may be ahead of that."""
    get(world, f"/{kind}/x", "POST")
    wait_for(lambda: world.relay._durations.usual(f"r-{kind}"))


class TestLateRequests:
    @pytest.mark.parametrize("kind", ["idempotent", "non-idempotent", "stream"])
    def test_one_that_cannot_end_in_time_is_refused_at_once_as_not_run(self, world, kind):
        (backend,) = world.add(takes(300))
        call_once(world, kind)
        stop_in(world, 200)
        status, sent, _ = get(world, f"/{kind}/x", "POST")
        assert (status, len(backend.received)) == (503, 1)
        assert float(sent["Retry-After"]) > 0

    @pytest.mark.parametrize("kind", ["idempotent", "non-idempotent", "stream"])
    def test_one_that_can_end_in_time_is_served(self, world, kind):
        world.add(takes(20))
        call_once(world, kind)
        stop_in(world, 2_000)
        assert get(world, f"/{kind}/x", "POST")[0] == 200

    def test_one_whose_deadline_comes_first_is_served(self, world):
        world.add(takes(300))
        call_once(world, "non-idempotent")
        stop_in(world, 400)
        assert get(world, "/non-idempotent/x", "POST", X_Deadline="390")[0] == 200

    def test_without_an_earlier_call_on_the_route_it_is_served(self, world):
        world.add(takes(20))
        stop_in(world, 1_000)
        assert get(world, "/non-idempotent/x", "POST")[0] == 200


class TestRequestsCompleteAfterTheNotice:
    """Streams with a long deadline that this VM could not see through if their server is slow."""

    def test_one_that_the_stop_may_cut_is_refused_as_not_run(self, world):
        (backend,) = world.add(takes(20))
        stop_began(world, AFTER_NOTICE_MS, WITHIN)
        status, sent, _ = get(world, "/stream/x", "POST")
        assert (status, len(backend.received)) == (503, 0)
        assert float(sent["Retry-After"]) > 0

    def test_one_whose_body_ends_late_is_refused_as_not_run(self, world):
        (backend,) = world.add(takes(20))
        conn = connect(world)
        conn.putrequest("POST", "/stream/x", skip_host=True)
        for name, value in headers(Content_Length="4").items():
            conn.putheader(name, value)
        conn.endheaders(b"bo")
        stop_began(world, AFTER_NOTICE_MS, WITHIN)
        conn.send(b"dy")
        assert conn.getresponse().status == 503
        assert backend.received == []

    def test_the_next_one_on_a_kept_connection_is_refused_as_not_run(self, world):
        (backend,) = world.add(takes(20))
        conn = connect(world)
        for status in (200, 503):
            conn.request("POST", "/stream/x", headers=headers())
            resp = conn.getresponse()
            resp.read()
            assert resp.status == status
            stop_began(world, AFTER_NOTICE_MS, WITHIN)
        assert len(backend.received) == 1

    def test_one_whose_deadline_comes_before_the_end_is_served(self, world):
        world.add(takes(20))
        stop_began(world, AFTER_NOTICE_MS, WITHIN)
        assert get(world, "/non-idempotent/x", "POST", X_Deadline="1000")[0] == 200

    def test_one_whose_answer_may_take_until_after_the_end_is_refused(self, world, monkeypatch):
        (backend,) = world.add(takes(20))
        check = world.relay._check_can_end

        def check_at_end(pending):
            # An answer that has begun may go on for the time that its caller waits.
            ends_ms = pending.deadline_ms + int(pending.answer_margin)
            stop = PlannedStop(0, 0, ends_ms, ends_ms)
            world.relay.planned_stop = lambda: stop
            check(pending)

        monkeypatch.setattr(world.relay, "_check_can_end", check_at_end)
        status, _, _ = get(world, "/stream/x", "POST", X_Deadline="1000")
        assert (status, len(backend.received)) == (503, 0)

    def test_those_complete_within_the_notice_are_served(self, world):
        world.add(takes(20))
        stop_began(world, AFTER_NOTICE_MS - 1_000, WITHIN)
        assert get(world, "/stream/x", "POST")[0] == 200


class TestEndOfTheGrace:
    @pytest.mark.parametrize("kind", ["idempotent", "non-idempotent"])
    def test_a_call_without_an_answer_is_told_that_it_may_have_run(self, world, kind):
        hangs = threading.Event()
        (backend,) = world.add(lambda received: hangs.wait(10))
        got = []
        caller = threading.Thread(target=lambda: got.append(get(world, f"/{kind}/x", "POST")))
        caller.start()
        wait_for(lambda: backend.received)
        world.relay.end_calls()
        caller.join(5)
        hangs.set()
        assert got[0][0] == 502
        assert len(backend.received) == 1

    @pytest.mark.parametrize("kind", ["idempotent", "non-idempotent", "stream"])
    def test_a_call_that_has_not_been_sent_is_refused_as_not_run(self, world, monkeypatch, kind):
        (backend,) = world.add(answers(200))
        selection = world.relay._plain._selection
        choose = selection.choose

        def choose_late(pending, tried):
            chosen = choose(pending, tried)
            world.relay.end_calls()
            return chosen

        monkeypatch.setattr(selection, "choose", choose_late)
        status, sent, _ = get(world, f"/{kind}/x", "POST")
        assert (status, len(backend.received)) == (503, 0)
        assert float(sent["Retry-After"]) > 0

    def test_a_stream_that_its_caller_takes_slowly_is_not_cut(self, world):
        may_send, sent = threading.Event(), threading.Event()

        def send_at_once(received):
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            may_send.wait(10)
            for number in range(2, EVENTS + 1):
                received.piece(b"id: %d\ndata: %b\n\n" % (number, b"t" * EVENT_BYTES))
            received.end_events()
            sent.set()

        world.add(send_at_once)
        conn = connect(world)
        conn.connect()
        conn.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER)
        conn.request("POST", "/stream/x", headers=headers())
        resp = conn.getresponse()
        (call,) = world.relay._running.values()
        call.socket.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER)
        may_send.set()
        assert sent.wait(10)
        stop_in(world, 0)
        world.relay.end_calls()
        assert numbers(resp.read()) == list(range(1, EVENTS + 1))

    def test_a_stream_counts_as_running_until_its_last_chunk_is_sent(self, world):
        may_end, calls_at_last_chunk = threading.Event(), []

        def send(received):
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            may_end.wait(10)
            received.end_events()

        world.add(send)
        conn = connect(world)
        conn.request("POST", "/stream/x", headers=headers())
        resp = conn.getresponse()
        (call,) = world.relay._running.values()
        file = call._req.conn.wfile
        write = file.write

        def write_and_count(data):
            if data == LAST_CHUNK:
                calls_at_last_chunk.append(world.relay.end_calls())
            return write(data)

        file.write = write_and_count
        may_end.set()
        assert numbers(resp.read()) == [1]
        assert calls_at_last_chunk == [1]

    def test_a_stream_whose_server_has_closed_its_connection_is_not_cut(self, world, monkeypatch):
        world.add(lambda received: received.send_raw(UNFRAMED))
        write = Call.write

        def write_late(call, data):
            (pending,) = world.relay._running
            exchange = pending._exchange
            wait_for(lambda: is_readable(exchange._sock) and exchange.unread_bytes == 0)
            world.relay.end_calls()
            write(call, data)

        monkeypatch.setattr(Call, "write", write_late)
        status, _, body = get(world, "/stream/x", "POST")
        assert (status, numbers(body)) == (200, [1])

    def test_an_answer_without_chunks_that_is_left_at_the_exit_is_reset(self, world):
        may_end = threading.Event()

        def send(received):
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            may_end.wait(10)

        world.add(send)
        with socket.create_connection((world.address.host, world.address.port), 10) as caller:
            fields = "".join(f"{name}: {value}\r\n" for name, value in headers().items())
            caller.sendall(f"POST /stream/x HTTP/1.0\r\n{fields}\r\n".encode())
            wait_for(lambda: b"id: 1" in caller.recv(65_536, socket.MSG_PEEK))
            (call,) = world.relay._running.values()
            world.relay.abort_calls_left()
            linger = call.socket.getsockopt(socket.SOL_SOCKET, socket.SO_LINGER, 8)
            may_end.set()
        assert linger == RESET_ON_CLOSE

    def test_calls_that_come_later_are_not_sent(self, world):
        (backend,) = world.add(answers(200))
        world.relay.end_calls()
        assert get(world, "/non-idempotent/x", "POST")[0] == 503
        assert backend.received == []


class TestLogOfAStop:
    """The log tells of each call that a stop ends what it waited for."""

    CALLS = LINES_PER_S + 5

    @pytest.fixture
    def world(self):
        world = RelayWorld(document(), threads=2 * self.CALLS)
        yield world
        world.stop()

    @pytest.fixture
    def lines(self):
        written = []
        eliot.add_destinations(written.append)
        yield written
        eliot.remove_destination(written.append)

    @pytest.mark.parametrize(
        ("kind", "phase"), [("stream", "answering"), ("non-idempotent", "sent")]
    )
    def test_names_each_call_that_was_ended(self, world, lines, kind, phase):
        ended = threading.Event()

        def begin(received):
            if "/stream/" in received.target:
                received.start_events(X_Id=received.headers["x-id"])
                received.event(1)
            ended.wait(10)

        (backend,) = world.add(begin)
        with ThreadPoolExecutor(self.CALLS) as callers:
            for number in range(self.CALLS):
                callers.submit(get, world, f"/{kind}/x", "POST", X_Id=f"{kind}-{number}")
            wait_for(lambda: phases(world) == {phase: self.CALLS})
            stop_in(world, 100)
            world.relay.end_calls()
            ended.set()
        ids = {f"{kind}-{number}" for number in range(self.CALLS)}
        # Lines of earlier tests come first.
        told = [
            line
            for line in lines
            if line["message_type"] == "nutmegdrum:call_ended_by_stop" and line["request"] in ids
        ]
        assert {line["request"] for line in told} == ids
        assert {line["phase"] for line in told} == {phase}
        assert all(line["taken_after_signal_ms"] <= 0 for line in told)


def phases(world):
    """Return how many running calls are in each phase."""
    return Counter(pending.progress().phase.value for pending in list(world.relay._running))


class TestUsualDuration:
    def test_follows_the_last_calls_and_their_spread(self):
        durations = CallDurations()
        assert durations.usual("r") == 0
        for number in range(200):
            durations.record("r", Duration(1_000 + 500 * (number % 2)))
        assert 1_500 <= durations.usual("r") <= 2_000
        for _ in range(100):
            durations.record("r", Duration(100))
        assert durations.usual("r") <= 200
