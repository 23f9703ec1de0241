import os
import signal
import socket
from concurrent.futures import ThreadPoolExecutor

import msgspec
import pytest
from nutmegdrum_testing.callers import RunningStream
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.waiting import wait_for

TOKENS = 150


def options(timeout):
    return Options(
        states=3,
        entries=2,
        engines=2,
        plains=1,
        engine_options=("--token-ms", "30"),
        settings={"callers": {"shutdown_notice": "1s", "shutdown_timeout": timeout}},
    )


class LateBody:
    """Request for a generation at the first entry VM, of which the last byte is not sent yet."""

    def __init__(self, caller, model, chunked):
        body = msgspec.json.encode(
            {"model": model, "prompt": "late", "max_tokens": 3, "stream": True}
        )
        length = f"Content-Length: {len(body)}"
        if chunked:
            length = "Transfer-Encoding: chunked"
            body = b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
        head = (
            f"POST /v1/completions HTTP/1.1\r\nHost: h\r\n"
            f"Authorization: Bearer {caller._key}\r\n{length}\r\n\r\n"
        )
        host, _, port = caller.addresses[0].removeprefix("http://").rpartition(":")
        self._sock = socket.create_connection((host, int(port)), 8)
        self._last = body[-1:]
        self._sock.sendall(head.encode() + body[:-1])

    def end(self):
        """Send the last byte and return the whole answer."""
        self._sock.sendall(self._last)
        with self._sock, self._sock.makefile("rb") as file:
            return file.read()


def terminate(daemon):
    os.kill(daemon.pid, signal.SIGTERM)


def exited(daemon):
    return daemon.running.exit_code is not None


class TestGracefulShutdown:
    @pytest.fixture
    def deployment(self):
        with Deployment(options("30s")) as running:
            yield running

    def test_streams_finish_and_late_requests_are_served_or_refused_as_not_run(self, deployment):
        daemon = deployment.daemon("n1")
        caller = deployment.caller()
        streams = [RunningStream(caller, "m", f"p{n}", TOKENS, entry=0) for n in range(4)]
        wait_for(lambda: all(stream.count > 5 for stream in streams))
        terminate(daemon)
        wait_for(lambda: daemon.ops("/readyz").status == 503)
        booked = deployment.booking_caller().book("farm", "late", entry=0)
        assert booked.status == 201
        refused = wait_for(lambda: _problem(caller.generate("m", "late", 3, entry=0)))
        assert (refused.reason, refused.verdict) == ("shutting-down", "not-run")
        for stream in streams:
            stream.join().check(TOKENS)
        wait_for(lambda: exited(daemon))
        assert daemon.running.exit_code == 0

    @pytest.mark.parametrize("chunked", [False, True], ids=["length", "chunks"])
    def test_a_request_whose_body_ends_after_the_notice_is_refused_as_not_run(
        self, deployment, chunked
    ):
        daemon = deployment.daemon("n1")
        caller = deployment.caller()
        stream = RunningStream(caller, "m", "p", TOKENS, entry=0)
        wait_for(lambda: stream.count > 5)
        late = LateBody(caller, "m", chunked)
        terminate(daemon)
        wait_for(lambda: _problem(caller.generate("m", "late", 3, entry=0)))
        answer = late.end()
        assert answer.startswith(b"HTTP/1.1 503"), answer
        assert b"shutting-down" in answer
        assert b"not-run" in answer
        assert b"connection: close" in answer.lower()
        stream.join().check(TOKENS)
        wait_for(lambda: exited(daemon))

    def test_streams_running_at_the_timeout_resume_at_another_vm(self):
        with Deployment(options("3s")) as deployment:
            daemon = deployment.daemon("n1")
            caller = deployment.caller()
            streams = [
                RunningStream(caller, "m", f"p{n}", TOKENS, entries=[0, 1]) for n in range(4)
            ]
            wait_for(lambda: all(stream.count > 5 for stream in streams))
            terminate(daemon)
            wait_for(lambda: exited(daemon))
            assert daemon.running.exit_code == 0
            for stream in streams:
                stream.join().check(TOKENS)

    @pytest.mark.parametrize("kind", ["booking", "lookup", "generation"])
    def test_calls_running_at_the_timeout_are_answered_not_cut(self, kind):
        with Deployment(options("3s")) as deployment:
            daemon = deployment.daemon("n1")
            bookings = deployment.booking_caller()
            for plain in deployment.plains:
                plain.control.set_faults(Fault(kind=FaultKind.HANG, after_execution=True))
            calls = {
                "booking": lambda: bookings.book("farm", "late"),
                "lookup": lambda: bookings.look_up("none"),
                "generation": lambda: bookings.complete("m", "p", 4_000),
            }
            with ThreadPoolExecutor(1) as pool:
                fut = pool.submit(calls[kind])
                wait_for(lambda: has_begun(deployment, kind))
                terminate(daemon)
                answer = fut.result(30)
            assert answer.status in (502, 503)
            assert answer.problem.verdict == "may-have-run"
            assert answer.total_ms < 8_000
            wait_for(lambda: exited(daemon))
            assert daemon.running.exit_code == 0


def has_begun(deployment, kind):
    if kind == "generation":
        return any(engine.control.state()["running"] for engine in deployment.engines)
    return any(plain.control.state()["calls"] for plain in deployment.plains)


def _problem(result):
    if result.ended == "done":
        return None
    return result.problem
