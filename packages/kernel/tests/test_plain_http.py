"""Plain services whose responses are slow, endless, incomplete or not HTTP."""

import contextlib
import threading

import pytest
from nutmegdrum.bounded_http import MAX_HEAD
from nutmegdrum.messages import BackendLost, LossKind
from nutmegdrum.plain_http import MAX_REPLY_BYTES, HttpPlainSender, PlainCall
from nutmegdrum.settings import BackendSettings
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_testing.endless_server import ENDLESS_HEADS, EndlessServer
from nutmegdrum_testing.scripted_backend import ScriptedBackend

HEAD = b"HTTP/1.1 200 OK\r\n"
CALL = PlainCall("POST", "/book", {}, b"x", 1)
CALL_TIMEOUT_S = 8
BYTE_INTERVAL_S = 0.03


def backend_of(server):
    return BackendSettings(id="b", address=server.address, service="s", data_centre="dc")


@pytest.fixture
def serve():
    running = []

    def start(*args, **options):
        running.append(EndlessServer(*args, **options))
        return running[-1]

    yield start
    for service in running:
        service.stop()


def call(service, timeout_ms=600):
    """Return the loss or the reply of a call; fail if the call does not end."""
    result = []

    def run():
        try:
            reply = HttpPlainSender(SystemClock()).send(
                backend_of(service), CALL, lambda: True, 500, timeout_ms
            )
            result.append(reply)
        except BackendLost as loss:
            result.append(loss)

    thread = threading.Thread(target=run, daemon=True)
    thread.start()
    thread.join(CALL_TIMEOUT_S)
    assert result, "the call has not ended"
    return result[0]


class TestTruncatedHead:
    @pytest.mark.parametrize("status", [b"200 OK", b"503 Unavailable"])
    @pytest.mark.parametrize("rest", [b"", b"Content-Le", b"Content-Length: 0\r\n"])
    def test_is_a_loss_whatever_its_status(self, status, rest):
        service = ScriptedBackend(lambda r: r.send_raw(b"HTTP/1.1 %b\r\n%b" % (status, rest)))
        with contextlib.ExitStack() as stack:
            stack.callback(service.stop)
            assert call(service).kind is LossKind.RESET


class TestReplyHeaders:
    @pytest.mark.parametrize(
        "name", ["Nutmegdrum-Verdict", "Nutmegdrum-Sent", "Idempotency-Replayed"]
    )
    @pytest.mark.parametrize("status", [200, 429, 503])
    def test_a_service_cannot_state_in_the_gateways_name_what_became_of_a_call(self, name, status):
        # Guards against a call that ran and reaches its caller, or another entry VM, as not run.
        service = ScriptedBackend(lambda r: r.answer(status, **{name: "not-run", "ETag": "e"}))
        reply = call(service)
        service.stop()
        assert reply.status == status
        assert name not in reply.headers
        assert reply.headers["ETag"] == "e"


class TestEndlessResponses:
    @pytest.mark.parametrize("name", ENDLESS_HEADS)
    def test_endless_head_is_rejected(self, serve, name):
        service = serve(*ENDLESS_HEADS[name])
        loss = call(service, timeout_ms=60_000)
        assert loss.kind is LossKind.RESET
        assert service.closed.wait(CALL_TIMEOUT_S)

    @pytest.mark.parametrize("name", ENDLESS_HEADS)
    def test_slow_head_times_out(self, serve, name):
        assert isinstance(call(serve(*ENDLESS_HEADS[name], pace_s=BYTE_INTERVAL_S)), BackendLost)

    @pytest.mark.parametrize("length", [b"", b"Content-Length: 9999999\r\n"])
    def test_slow_body_times_out(self, serve, length):
        service = serve(HEAD + length + b"\r\n", b"x", pace_s=BYTE_INTERVAL_S)
        assert call(service).kind is LossKind.SILENT

    def test_endless_body_is_rejected(self, serve):
        service = serve(HEAD + b"\r\n", b"x" * 65_536)
        assert call(service, timeout_ms=60_000).kind is LossKind.RESET
        assert service.closed.wait(CALL_TIMEOUT_S)
        assert service.sent < MAX_REPLY_BYTES + (32 << 20)

    def test_head_of_maximum_length_is_read(self, serve):
        line = b"X-Long: " + b"y" * 30_000 + b"\r\n"
        head = HEAD + line + line + b"Content-Length: 2\r\n\r\nok"
        assert len(head) <= MAX_HEAD
        assert call(serve(head)).body == b"ok"


class TestIncompleteResponses:
    @pytest.mark.parametrize(
        "data",
        [
            HEAD + b"Content-Length: 10\r\n\r\nhalf",
            HEAD + b"Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
            HEAD + b"Content-Length: 4\r\n",
            HEAD + b"X-Cut: y",
            b"\x00\xff garbage",
        ],
    )
    def test_incomplete_response_is_a_loss(self, serve, data):
        assert call(serve(data)).kind is LossKind.RESET
