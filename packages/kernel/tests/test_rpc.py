import contextlib
import socket

import pytest
from nutmegdrum.rpc import CheckedHandler, PeerUnreachable, RpcClient, peers_server
from nutmegdrum.units import Address
from nutmegdrum_coord import verdict as v
from nutmegdrum_testing.processes import free_ports
from nutmegdrum_wire.gen.messages.ttypes import Sender


class Handler:
    def propose(self, sender, command):
        if command == b"fail":
            raise ZeroDivisionError
        if command == b"refuse":
            raise v.Refusal(v.NO_QUORUM, v.Verdict.MAY_HAVE_RUN, 2_000, "why")
        return command


@pytest.fixture
def address():
    (port,) = free_ports(1)
    address = Address(f"127.0.0.1:{port}")
    server = peers_server(address, CheckedHandler(Handler(), "ours"))
    server.bind()
    server.start()
    yield address
    server.stop()


class TestRpcClient:
    def test_answer_comes_back(self, address):
        client = RpcClient(Sender("ours", "n1", "i"))
        assert client.call(address, "propose", b"x", timeout_ms=5_000) == b"x"

    def test_refusal_keeps_reason_verdict_and_time(self, address):
        client = RpcClient(Sender("ours", "n1", "i"))
        with pytest.raises(v.Refusal) as caught:
            client.call(address, "propose", b"refuse", timeout_ms=5_000)
        assert caught.value.why is v.NO_QUORUM
        assert caught.value.verdict is v.Verdict.MAY_HAVE_RUN
        assert caught.value.retry_after_ms == 2_000

    def test_other_deployment_is_refused(self, address):
        client = RpcClient(Sender("theirs", "n1", "i"))
        with pytest.raises(v.Refusal) as caught:
            client.call(address, "propose", b"x", timeout_ms=5_000)
        assert caught.value.why is v.WRONG_DEPLOYMENT

    def test_refused_connection_was_not_sent(self):
        (port,) = free_ports(1)
        client = RpcClient(Sender("ours", "n1", "i"))
        with pytest.raises(PeerUnreachable) as caught:
            client.call(Address(f"127.0.0.1:{port}"), "propose", b"x", timeout_ms=5_000)
        assert not caught.value.sent


def raw(address, data):
    """Send bytes, and return what comes until the other side closes."""
    got = b""
    with (
        contextlib.suppress(OSError),
        socket.create_connection((address.host, address.port), timeout=5) as sock,
    ):
        sock.sendall(data)
        sock.shutdown(socket.SHUT_WR)
        while part := sock.recv(4_096):
            got += part
    return got


CALL = b"\x80\x01\x00\x01"
MALFORMED = [
    b"GET / HTTP/1.1\r\nHost: x\r\n\r\n",
    b"\x00" * 4_096,
    b"\xff" * 4_096,
    CALL + b"\x7f\xff\xff\xff" + b"x" * 64,
    CALL + b"\xff\xff\xff\xff" + b"x" * 64,
    CALL + b"\x00\x00\x00\x07nothing\x00\x00\x00\x01\x00",
    CALL + b"\x00\x00\x00\x07propose\x00\x00\x00\x01\x00",
    CALL + b"\x00\x00\x00\x07propose\x00\x00\x00\x01\x0c\x00\x01\x00\x0b\x00\x02\x7f\xff\xff\xff",
    CALL + b"\x00\x00\x00\x07propose\x00\x00\x00\x01" + b"\x0c\x00\x01" * 4_000,
    CALL + b"\x00\x00\x00\x07propose\x00\x00\x00\x01\x0f\x00\x02\x0b\x7f\xff\xff\xff",
]


class TestMalformed:
    @pytest.mark.parametrize("data", MALFORMED)
    def test_a_malformed_message_ends_nothing_but_its_connection(self, address, data):
        for _ in range(5):
            raw(address, data)
        client = RpcClient(Sender("ours", "n1", "i"))
        assert client.call(address, "propose", b"x", timeout_ms=5_000) == b"x"

    def test_a_handler_that_fails_ends_nothing_but_its_call(self, address):
        client = RpcClient(Sender("ours", "n1", "i"))
        with pytest.raises((PeerUnreachable, v.Refusal)):
            client.call(address, "propose", b"fail", timeout_ms=5_000)
        assert client.call(address, "propose", b"x", timeout_ms=5_000) == b"x"
