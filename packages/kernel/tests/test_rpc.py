import pytest
from nutmegdrum.rpc import Guard, PeerUnreachable, RpcClient, peers_server
from nutmegdrum.units import Address
from nutmegdrum_coord import verdict as v
from nutmegdrum_testing.processes import free_ports
from nutmegdrum_wire.gen.messages.ttypes import Sender


class Handler:
    def propose(self, sender, command):
        if command == b"refuse":
            raise v.Refusal(v.NO_QUORUM, v.Verdict.MAY_HAVE_RUN, 2_000, "why")
        return command


@pytest.fixture
def address():
    (port,) = free_ports(1)
    address = Address(f"127.0.0.1:{port}")
    server = peers_server(address, Guard(Handler(), "ours"))
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
