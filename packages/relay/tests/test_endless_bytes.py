"""Backend servers that send endless data without completing an answer."""

import http.client
import threading

import pytest
from nutmegdrum.bounded_http import MAX_HEAD
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_relay.upstream import MAX_BUFFERED, ConnectionLost, UpstreamPool
from nutmegdrum_testing.relay_world import HOST, KEY, RelayWorld, document
from nutmegdrum_testing.scripted_backend import ScriptedBackend

HEAD = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
PACE_S = 0.03
WAIT = Duration(600)
CLOSE_TIMEOUT_S = 8


class Endless:
    """Script that sends `start`, then repeats `more` until the peer closes the connection.

    Parameters
    ----------
    pace_s : float
        Pause between two repeats, in s.
    """

    def __init__(self, start=b"", more=b"x", pace_s=0.0):
        self.closed = threading.Event()
        self.sent = 0
        self._start = start
        self._more = more
        self._pace_s = pace_s

    def __call__(self, received):
        try:
            received.send_raw(self._start)
            while not received.gone.wait(self._pace_s):
                received.send_raw(self._more)
                self.sent += len(self._more)
        except OSError:
            self.closed.set()


@pytest.fixture
def serve():
    running = []

    def start(script):
        running.append(ScriptedBackend(script))
        return running[-1].address

    yield start
    for backend in running:
        backend.stop()


def send_request(address):
    """Return an exchange whose request was sent."""
    exchange = UpstreamPool(SystemClock()).open(BackendId("b"), address, fresh=False)
    exchange.send("GET", "/", [("Host", "h")], b"")
    return exchange


HEADS = {
    "no line's end": (b"HTTP/1.1 200 ", b"x" * 1_024),
    "header lines": (HEAD, b"X-More: y\r\n"),
    "long header lines": (HEAD, b"X-More: " + b"y" * 60_000 + b"\r\n"),
    "provisional answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}


class TestAnswerHead:
    @pytest.mark.parametrize("name", HEADS)
    def test_an_endless_one_is_aborted_at_the_size_limit(self, serve, name):
        script = Endless(*HEADS[name])
        exchange = send_request(serve(script))
        with pytest.raises(ConnectionLost):
            exchange.receive(Duration(5_000))
        assert exchange.received_bytes <= MAX_HEAD
        exchange.close()
        assert script.closed.wait(CLOSE_TIMEOUT_S)

    @pytest.mark.parametrize("name", HEADS)
    def test_one_that_trickles_is_aborted_at_the_time_out(self, serve, name):
        start, more = HEADS[name]
        exchange = send_request(serve(Endless(start, more[:32], PACE_S)))
        clock = SystemClock()
        started_ms = clock.elapsed_ms()
        with pytest.raises((TimeoutError, ConnectionLost)):
            exchange.receive(WAIT)
        assert clock.elapsed_ms() - started_ms < 2 * WAIT
        exchange.close()


BODIES = {
    "no length": (HEAD + b"\r\n", b"x" * 4_096),
    "chunks": (CHUNKED, b"4\r\nabcd\r\n" * 512),
    "a chunk's length": (CHUNKED, b"0" * 1_024),
    "one large chunk": (CHUNKED + b"ffffffffff\r\n", b"x" * 4_096),
    "large length": (HEAD + b"Content-Length: 1099511627776\r\n\r\n", b"x" * 4_096),
    "trailers": (CHUNKED + b"0\r\n", b"X-More: y\r\n"),
}


class TestAnswerBody:
    @pytest.mark.parametrize("name", BODIES)
    def test_an_endless_one_is_aborted_at_the_size_limit(self, serve, name):
        script = Endless(*BODIES[name])
        exchange = send_request(serve(script))
        exchange.receive(Duration(5_000))
        with pytest.raises(ConnectionLost):
            b"".join(exchange.chunks(Duration(20_000)))
        assert exchange.received_bytes <= MAX_HEAD + MAX_BUFFERED
        exchange.close()
        assert script.closed.wait(CLOSE_TIMEOUT_S)

    @pytest.mark.parametrize("name", BODIES)
    def test_one_that_trickles_is_aborted_at_the_time_out(self, serve, name):
        start, more = BODIES[name]
        exchange = send_request(serve(Endless(start, more[:9], PACE_S)))
        exchange.receive(Duration(5_000))
        clock = SystemClock()
        started_ms = clock.elapsed_ms()
        with pytest.raises((TimeoutError, ConnectionLost)):
            b"".join(exchange.chunks(WAIT))
        assert clock.elapsed_ms() - started_ms < 2 * WAIT
        exchange.close()


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


def post(world, path, **extra):
    conn = http.client.HTTPConnection(world.address.host, world.address.port, timeout=20)
    named = {name.replace("_", "-"): value for name, value in extra.items()}
    conn.request("POST", path, headers={"Host": HOST, "X-Id": "q1", "X-Key": KEY, **named})
    resp = conn.getresponse()
    answer = resp.status, resp.read()
    conn.close()
    return answer


def send_whole_stream(received):
    received.start_events(X_Id="q1")
    first = int(received.headers.get("x-last", "0")) + 1
    for number in range(first, 5):
        received.event(number)
    received.end_events()


EVENT = b"id: 1\ndata: a\n\n"


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


class TestStream:
    @pytest.mark.parametrize("more", [b"data: " + b"x" * 8_192, b":\n" * 4_096])
    def test_resumes_at_another_server_when_an_event_has_no_end(self, world, more):
        script = Endless(CHUNKED + chunk(EVENT), chunk(more))
        world.add(script)
        world.add(send_whole_stream)
        for _ in range(4):
            status, body = post(world, "/stream/x")
            assert (status, body.count(b"id: ")) == (200, 4)
        assert script.closed.wait(CLOSE_TIMEOUT_S)

    def test_resumes_at_another_server_when_only_comments_arrive(self, world):
        script = Endless(CHUNKED + chunk(EVENT), chunk(b":\n"), PACE_S)
        world.add(script)
        world.add(send_whole_stream)
        for _ in range(3):
            status, body = post(world, "/stream/x", X_Deadline="20000")
            assert (status, body.count(b"id: ")) == (200, 4)
        assert script.closed.wait(CLOSE_TIMEOUT_S)


class TestDeadline:
    def test_a_caller_is_answered_in_time_when_the_head_trickles(self, world):
        script = Endless(b"", b"HTTP/1.1 100 Continue\r\n\r\n", PACE_S)
        world.add(script)
        clock = SystemClock()
        started_ms = clock.elapsed_ms()
        status, _ = post(world, "/non-idempotent/x", X_Deadline="700")
        assert status in (502, 504)
        assert clock.elapsed_ms() - started_ms < 1_400
        assert script.closed.wait(CLOSE_TIMEOUT_S)
