"""Callers' connections: graceful stops under load, aborted answers, malformed requests."""

import contextlib
import http.client
import itertools
import socket
import threading
import time
from concurrent.futures import ThreadPoolExecutor
from types import SimpleNamespace

import pytest
from cheroot.workers import threadpool
from nutmegdrum.units import Duration
from nutmegdrum.wsgi import serve_pending_connections
from nutmegdrum_relay.callers import MIN_THREADS, DisconnectWatch
from nutmegdrum_relay.planned_stop import PlannedStop
from nutmegdrum_testing.relay_world import HOST, KEY, RelayWorld, document
from nutmegdrum_testing.waiting import wait_for

HEAD = f"Host: {HOST}\r\nX-Id: q1\r\nX-Key: {KEY}\r\n"
END = b"GET / HTTP/1.0\r\n\r\n"
NOTICE = Duration(2_700)
STOP_WAIT = Duration(8_000)


def begin_stop(world):
    stop = PlannedStop.begin(world.clock.elapsed_ms(), NOTICE, STOP_WAIT)
    world.relay.planned_stop = lambda: stop


def connected(world):
    return socket.create_connection((world.address.host, world.address.port), timeout=10)


def request(path, version="1.1", method="POST"):
    return f"{method} {path} HTTP/{version}\r\n{HEAD}\r\n".encode()


def read_all(sock):
    got = b""
    while part := sock.recv(65_536):
        got += part
    return got


class TestGracefulStop:
    """The listener is stopped while requests run, are queued for a thread, or have just arrived."""

    @pytest.fixture
    def world(self):
        return RelayWorld(document(), threads=4)

    def test_every_request_sent_before_the_stop_is_answered(self, world):
        may_answer = threading.Event()

        def wait_then_answer(received):
            may_answer.wait(8)
            received.answer(200, b"done", X_Id=received.headers["x-id"])

        (backend,) = world.add(wait_then_answer)
        callers = [connected(world) for _ in range(24)]
        for caller in callers:
            caller.sendall(request("/non-idempotent/x"))
        wait_for(lambda: backend.received)
        stopping = threading.Thread(target=world.listener.stop, args=(STOP_WAIT,))
        stopping.start()
        wait_for(lambda: refuses(world))
        may_answer.set()
        with ThreadPoolExecutor(len(callers)) as readers:
            answers = list(readers.map(read_all, callers))
        stopping.join()
        assert sum(b"done" in answer for answer in answers) == len(callers)

    def test_waits_for_a_call_on_a_thread_that_was_just_added(self):
        may_end = {"/non-idempotent/x": threading.Event(), "/non-idempotent/y": threading.Event()}

        def wait_then_answer(received):
            may_end[received.target].wait(8)
            received.answer(200, b"done", X_Id=received.headers["x-id"])

        world = RelayWorld(document(), threads=MIN_THREADS + 1)
        (backend,) = world.add(wait_then_answer)
        pool = world.listener._server.requests
        spawn, is_added = pool._spawn_worker, threading.Event()

        def spawn_slowly():
            worker = spawn()
            is_added.wait(8)
            return worker

        pool._spawn_worker = spawn_slowly
        callers = [connected(world) for _ in range(MIN_THREADS + 1)]
        for number, caller in enumerate(callers):
            caller.sendall(
                request("/non-idempotent/x" if number < MIN_THREADS else "/non-idempotent/y")
            )
            wait_for(lambda: len(backend.received) > number)  # noqa: B023
        stopping = threading.Thread(target=world.listener.stop, args=(STOP_WAIT,))
        stopping.start()
        with contextlib.suppress(TimeoutError):
            wait_for(lambda: not pool._threads, 1)
        is_added.set()
        may_end["/non-idempotent/x"].set()
        for caller in callers[:-1]:
            assert b"done" in read_all(caller)
        stopping.join(0.5)
        assert stopping.is_alive()
        may_end["/non-idempotent/y"].set()
        assert b"done" in read_all(callers[-1])
        stopping.join(8)
        assert not stopping.is_alive()
        backend.stop()

    def test_ends_threads_that_are_being_added(self):
        world = RelayWorld(document(), threads=MIN_THREADS + 1)
        pool = world.listener._server.requests
        spawn, added, is_added = pool._spawn_worker, [], threading.Event()

        def spawn_slowly():
            added.append(spawn())
            is_added.wait(8)
            return added[0]

        pool._spawn_worker = spawn_slowly
        world.listener._min_idle_threads = MIN_THREADS + 1
        wait_for(lambda: added)
        stopping = threading.Thread(target=world.listener.stop, args=(Duration(0),))
        stopping.start()
        with contextlib.suppress(TimeoutError):
            wait_for(lambda: not pool._threads, 0.5)
        is_added.set()
        stopping.join(8)
        assert not stopping.is_alive()
        wait_for(lambda: not added[0].is_alive())

    def test_a_jump_of_the_wall_clock_ends_no_call(self, world, monkeypatch):
        may_end, hour_s = threading.Event(), 3_600

        def wait_then_answer(received):
            may_end.wait(8)
            received.answer(200, b"done", X_Id=received.headers["x-id"])

        (backend,) = world.add(wait_then_answer)
        caller = connected(world)
        caller.sendall(request("/non-idempotent/x"))
        wait_for(lambda: backend.received)
        jumps = itertools.count(int(time.time()), hour_s)
        jumping = SimpleNamespace(time=lambda: next(jumps), sleep=time.sleep)
        monkeypatch.setattr(threadpool, "time", jumping)
        pool = world.listener._server.requests
        workers = list(pool._threads)
        stopping = threading.Thread(target=world.listener.stop, args=(STOP_WAIT,))
        stopping.start()
        wait_for(lambda: sum(worker.is_alive() for worker in workers) == 1)
        with contextlib.suppress(TimeoutError):
            wait_for(lambda: not world.relay._running, 0.2)
        may_end.set()
        assert b"done" in read_all(caller)
        stopping.join(8)
        assert not stopping.is_alive()

    def test_requests_in_the_listen_backlog_are_answered(self, world):
        world.add(lambda received: received.answer(200, b"done", X_Id=received.headers["x-id"]))
        for _ in range(8):
            stopped_world = RelayWorld(document(), threads=4)
            stopped_world.backends.set_listing(
                [each.listed for each in world.backends.of_service("svc")]
            )
            begin_stop(stopped_world)
            callers = [connected(stopped_world) for _ in range(12)]
            for caller in callers:
                caller.sendall(request("/non-idempotent/x"))
            stopped_world.listener.stop(STOP_WAIT)
            assert all(b"done" in read_all(caller) for caller in callers)
        world.stop()

    def test_a_request_on_an_idle_connection_is_answered_or_not_read(self, world):
        (backend,) = world.add(
            lambda received: received.answer(200, b"done", X_Id=received.headers["x-id"])
        )
        for _ in range(5):
            stopped_world = RelayWorld(document(), threads=4)
            stopped_world.backends.set_listing(
                [each.listed for each in world.backends.of_service("svc")]
            )
            callers = [connected(stopped_world) for _ in range(8)]
            for caller in callers:
                caller.sendall(request("/non-idempotent/x"))
                got = b""
                while b"done" not in got:
                    got += caller.recv(65_536)
            before = len(backend.received)
            begin_stop(stopped_world)
            for caller in callers:
                caller.sendall(request("/non-idempotent/x"))
            stopped_world.listener.stop(STOP_WAIT)
            answered = 0
            for caller in callers:
                with contextlib.suppress(ConnectionError):
                    answered += b"done" in read_all(caller)
            assert answered == len(backend.received) - before
        world.stop()


def refuses(world):
    try:
        connected(world).close()
    except ConnectionRefusedError:
        return True
    except ConnectionResetError:
        # The listener was closed right after the handshake.
        return False
    return False


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


class TestAbortedAnswer:
    """An aborted stream must not look complete, even if the end of the connection delimits it."""

    @pytest.mark.parametrize("version", ["1.0", "1.1"])
    def test_does_not_look_complete(self, world, version):
        def abort_stream(received):
            received.start_events(X_Id="q1")
            received.event(1)
            received.reset()

        world.add(abort_stream)
        with connected(world) as caller:
            caller.sendall(request("/stream/x", version))
            got = b""
            with pytest.raises((ConnectionError, http.client.IncompleteRead)):
                while part := caller.recv(65_536):
                    got += part
                if version == "1.1" and not got.endswith(b"0\r\n\r\n"):
                    raise http.client.IncompleteRead(got)


MALFORMED = [
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
    b"GET\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"G\xff\xfe / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"GET /\xff\xfe HTTP/1.1\r\nHost: api.example\r\n\r\n",
    b"POST /idempotent/x HTTP/1.1\r\nHost: api.example\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"POST /idempotent/x HTTP/1.1\r\nHost: api.example\r\nTransfer-Encoding: chunked\r\n\r\n-5\r\n",
    b"POST /idempotent/x HTTP/1.1\r\nHost: api.example\r\nContent-Length: 9999999999999\r\n\r\nx",
    b"GET /idempotent/x HTTP/1.1\r\nHost: api.example\r\nX-Key: \xff\xfe\r\n\r\n",
    b"GET /idempotent/x HTTP/1.1\r\n" + HEAD.encode() + b"X-Deadline: soon\r\n\r\n",
    b"GET /idempotent/x HTTP/1.1\r\n" + HEAD.encode() + b"X-Prompt: -9\r\nX-Output: 1e9\r\n\r\n",
    b"GET /idempotent/x HTTP/1.1\r\nA: " + b"y" * 200_000 + b"\r\n\r\n",
    b"\r\n" * 2_000,
    b"\x00" * 4_096,
]


BIG = b"x" * 400_000
CHUNKED = "Transfer-Encoding: chunked\r\n"
SLOW_READ_BYTES = 4_096


def slow_caller(world):
    """Return a connection that takes little at a time, so that answers wait in its send buffer."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8_192)
    sock.settimeout(10)
    sock.connect((world.address.host, world.address.port))
    return sock


def chunked_request(path, headers="", body=b"5\r\nswarm\r\n0\r\n\r\n"):
    head = f"POST {path} HTTP/1.1\r\n{HEAD}{headers}{CHUNKED}\r\n"
    return head.encode() + body


def read_slowly(sock, first=b""):
    got = first
    while part := sock.recv(SLOW_READ_BYTES):
        got += part
    return got


class TestAnswersOfClosedConnections:
    """The connection is closed after the answer, while bytes of its caller are unread."""

    @pytest.mark.parametrize(
        "unread",
        [request("/non-idempotent/x"), b"\r\n", b"x" * 200_000],
        ids=["next request", "line break", "much"],
    )
    @pytest.mark.parametrize("late", [False, True])
    def test_are_whole(self, world, unread, late):
        world.add(lambda received: received.answer(200, BIG, X_Id=received.headers["x-id"]))
        caller = slow_caller(world)
        closing = f"POST /non-idempotent/x HTTP/1.1\r\n{HEAD}Connection: close\r\n\r\n".encode()
        caller.sendall(closing if late else closing + unread)
        got = caller.recv(SLOW_READ_BYTES)
        if late:
            caller.sendall(unread)
        assert read_slowly(caller, got).endswith(BIG)

    def test_are_whole_while_the_listener_stops(self, world):
        may_answer = threading.Event()

        def answer(received):
            may_answer.wait(8)
            received.answer(200, BIG, X_Id=received.headers["x-id"])

        (backend,) = world.add(answer)
        caller = slow_caller(world)
        caller.sendall(request("/non-idempotent/x") + request("/non-idempotent/x"))
        wait_for(lambda: backend.received)
        begin_stop(world)
        stopping = threading.Thread(target=world.listener.stop, args=(STOP_WAIT,))
        stopping.start()
        wait_for(lambda: refuses(world))
        may_answer.set()
        assert read_slowly(caller).count(BIG) >= 1
        stopping.join()

    def test_a_body_that_is_too_large_is_told_so(self, world):
        caller = connected(world)
        size = 64 << 20
        head = f"POST /non-idempotent/x HTTP/1.1\r\n{HEAD}Content-Length: {size}\r\n\r\n"
        caller.sendall(head.encode())
        with contextlib.suppress(TimeoutError):
            caller.sendall(b"x" * (8 << 20))
        assert read_all(caller).startswith(b"HTTP/1.1 413")


class TestKeptConnectionOfAStoppingListener:
    def test_a_request_that_follows_an_answer_is_answered(self, world):
        may_end = threading.Event()

        def answer(received):
            received.start_events(X_Id=received.headers["x-id"])
            received.event(1)
            may_end.wait(8)
            received.end_events()

        world.add(answer)
        caller = connected(world)
        caller.sendall(request("/stream/x"))
        got = caller.recv(65_536)
        assert b"close" not in got
        stopping = threading.Thread(target=world.listener.stop, args=(STOP_WAIT,))
        stopping.start()
        wait_for(lambda: refuses(world))
        begin_stop(world)
        may_end.set()
        while not got.endswith(b"0\r\n\r\n"):
            got += caller.recv(65_536)
        caller.sendall(request("/non-idempotent/x"))
        assert read_all(caller).startswith(b"HTTP/1.1 ")
        stopping.join()


class TestChunkedBodies:
    def answers_to_two(self, world, first):
        world.add(lambda received: received.answer(200, received.body, X_Id="q1"))
        caller = connected(world)
        caller.sendall(first)
        got = b""
        while b"swarm" not in got:
            part = caller.recv(65_536)
            assert part, got
            got += part
        caller.sendall(request("/nowhere/x").replace(b"\r\n\r\n", b"\r\nConnection: close\r\n\r\n"))
        return read_all(caller)

    @pytest.mark.parametrize("trailers", [b"", b"Content-Digest: sha-256=:x:\r\nX-B: c\r\n"])
    def test_trailer_fields_are_not_taken_for_the_next_request(self, world, trailers):
        body = b"5\r\nswarm\r\n0\r\n" + trailers + b"\r\n"
        answer = self.answers_to_two(world, chunked_request("/non-idempotent/x", body=body))
        assert answer.startswith(b"HTTP/1.1 404")

    @pytest.mark.parametrize(
        ("body", "status"),
        [
            (b"zz\r\n", 400),
            (b"-5\r\nswarm\r\n0\r\n\r\n", 400),
            (b"5\r\nswarmX\r\n", 400),
            (b"f" * 9_000, 413),
            (b"fffffff\r\n", 413),
            (b"0\r\n" + b"a: b\r\n" * 8_000, 413),
        ],
        ids=["no size", "negative", "no line break", "long line", "huge chunk", "many trailers"],
    )
    def test_a_malformed_one_is_refused(self, world, body, status):
        (backend,) = world.add(lambda received: received.answer(200, b"", X_Id="q1"))
        caller = connected(world)
        caller.sendall(chunked_request("/non-idempotent/x", body=body))
        assert read_all(caller).startswith(f"HTTP/1.1 {status}".encode())
        assert not backend.received

    def test_a_caller_that_leaves_after_one_is_noticed(self, world):
        gone = threading.Event()
        (backend,) = world.add(lambda received: gone.wait(8))
        caller = connected(world)
        caller.sendall(chunked_request("/stream/x") + request("/non-idempotent/x"))
        wait_for(lambda: backend.received)
        (pending,) = world.relay._running
        caller.close()
        wait_for(lambda: pending.caller_gone)
        gone.set()


class TestMalformed:
    @pytest.mark.parametrize("data", MALFORMED)
    def test_a_malformed_request_affects_only_its_connection(self, world, data):
        world.add(lambda received: received.answer(200, b"ok", X_Id=received.headers["x-id"]))
        for _ in range(12):
            with connected(world) as caller, contextlib.suppress(OSError):
                caller.sendall(data)
                caller.shutdown(socket.SHUT_WR)
                read_all(caller)
        with connected(world) as caller:
            caller.sendall(request("/idempotent/x", method="GET") + END)
            assert b"ok" in read_all(caller)


class TestDisconnectWatch:
    def test_one_that_cannot_be_told_does_not_end_the_others(self):
        def fails():
            raise OSError(24, "Too many open files")

        gone = threading.Event()
        watch = DisconnectWatch()
        pairs = [socket.socketpair(), socket.socketpair()]
        watch.start()
        watch.add(pairs[0][0], fails)
        pairs[0][1].close()
        wait_for(lambda: not watch._gone)
        watch.add(pairs[1][0], gone.set)
        pairs[1][1].close()
        assert gone.wait(5)

    def test_an_event_of_an_earlier_connection_with_the_same_descriptor_has_no_effect(self):
        gone = threading.Event()
        watch = DisconnectWatch()
        ours, theirs = socket.socketpair()
        watch.add(ours, gone.set)
        watch._on_event(ours.fileno())
        assert not gone.is_set()
        watch.start()
        theirs.close()
        assert gone.wait(5)

    def test_a_caller_that_leaves_after_its_next_request_is_gone(self):
        gone = threading.Event()
        watch = DisconnectWatch()
        watch.start()
        ours, theirs = socket.socketpair()
        watch.add(ours, gone.set)
        theirs.sendall(b"GET")
        theirs.close()
        assert gone.wait(5)


class TestStopping:
    def test_the_serving_thread_waits_while_calls_are_still_running(self, world):
        manager = world.listener._server._connections
        runs, run_once = [], manager._run

        def count(interval):
            runs.append(interval)
            run_once(interval)

        manager._run = count
        serve_pending_connections(world.listener._server)
        until_ms = world.clock.elapsed_ms() + 200
        wait_for(lambda: world.clock.elapsed_ms() >= until_ms)
        assert len(runs) <= 1
