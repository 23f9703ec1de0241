"""Plain services and other entry VMs whose answers break off or aren't HTTP responses."""

import pytest
from nutmegdrum.messages import BackendLost, LossKind
from nutmegdrum.open_exchanges import OpenExchanges
from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.peer_exchange import CallerRequest, PeerExchange
from nutmegdrum.plain_http import HttpPlainSender, PlainCall
from nutmegdrum.platform import PlatformClient
from nutmegdrum.problems import VERDICT_HEADER
from nutmegdrum.schedule import Weights
from nutmegdrum.settings import BackendSettings, PlatformSettings
from nutmegdrum.sse import EventReader
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_coord.ids import ModelName, VersionName, VmId
from nutmegdrum_coord.verdict import Refusal, Verdict
from nutmegdrum_testing.raw_answers import (
    BROKEN_ANSWERS,
    CHUNKED,
    EARLY_HINTS,
    EMPTY_ANSWERS,
    HEAD,
    MALFORMED_FIELDS,
    MALFORMED_STATUS_LINES,
    SOUND_ANSWERS,
    with_field,
    with_status_line,
)
from nutmegdrum_testing.raw_server import LARGE_UPLOAD, Ending, raw_servers

TIMEOUT_MS = 5_000
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\nhal"


@pytest.fixture
def serve():
    with raw_servers() as start:
        yield start


def call_service(server, body=b"x"):
    """Return status and body of a plain service's answer."""
    backend = BackendSettings(id="b", address=server.address, service="s", data_centre="dc")
    call = PlainCall("POST", "/book", {}, body, 1)
    reply = HttpPlainSender(SystemClock()).send(backend, call, lambda: True, TIMEOUT_MS, TIMEOUT_MS)
    return reply.status, reply.body


def ask_peer(server, body=b"x"):
    """Return the answer of another entry VM."""
    exchange = PeerExchange(VmId("n1"), SystemClock(), Duration(TIMEOUT_MS), OpenExchanges())
    req = CallerRequest("POST", "/book", {}, body, 0)
    return exchange.send(PeerAddress(VmId("n2"), server.address), req)


def call_peer(server, body=b"x"):
    """Return status and body of another entry VM's answer."""
    answer = ask_peer(server, body)
    return answer.status, answer.read()


class TestPlainService:
    def test_a_reset_during_an_upload_is_a_loss(self, serve):
        with pytest.raises(BackendLost) as raised:
            call_service(serve(UNFRAMED, Ending.RESET_DURING_UPLOAD), LARGE_UPLOAD)
        assert (raised.value.kind, raised.value.sent) == (LossKind.RESET, True)

    def test_a_reset_after_the_upload_is_a_loss(self, serve):
        with pytest.raises(BackendLost):
            call_service(serve(UNFRAMED, Ending.RESET))

    def test_an_answer_that_ends_with_its_connection_is_whole(self, serve):
        assert call_service(serve(UNFRAMED)) == (200, b"hal")

    @pytest.mark.parametrize("name", BROKEN_ANSWERS)
    def test_a_broken_answer_is_a_loss(self, serve, name):
        with pytest.raises(BackendLost) as raised:
            call_service(serve(BROKEN_ANSWERS[name]))
        assert (raised.value.kind, raised.value.sent) == (LossKind.RESET, True)

    @pytest.mark.parametrize("name", SOUND_ANSWERS)
    def test_a_sound_answer_is_read(self, serve, name):
        assert call_service(serve(SOUND_ANSWERS[name])) == (200, b"ok")

    @pytest.mark.parametrize("name", EMPTY_ANSWERS)
    def test_an_answer_without_body_is_whole(self, serve, name):
        status, answer = EMPTY_ANSWERS[name]
        assert call_service(serve(answer)) == (status, b"")


class TestOtherEntryVm:
    @pytest.mark.parametrize(
        "ending, body", [(Ending.RESET_DURING_UPLOAD, LARGE_UPLOAD), (Ending.RESET, b"x")]
    )
    def test_a_reset_loses_the_answer(self, serve, ending, body):
        with pytest.raises(Refusal) as raised:
            call_peer(serve(UNFRAMED, ending), body)
        assert raised.value.verdict is Verdict.MAY_HAVE_RUN

    def test_an_answer_that_ends_with_its_connection_is_whole(self, serve):
        assert call_peer(serve(UNFRAMED)) == (200, b"hal")

    @pytest.mark.parametrize("name", BROKEN_ANSWERS)
    def test_a_broken_answer_is_refused_as_perhaps_run(self, serve, name):
        with pytest.raises(Refusal) as raised:
            call_peer(serve(BROKEN_ANSWERS[name]))
        assert raised.value.verdict is Verdict.MAY_HAVE_RUN

    @pytest.mark.parametrize("name", SOUND_ANSWERS)
    def test_a_sound_answer_is_read(self, serve, name):
        assert call_peer(serve(SOUND_ANSWERS[name])) == (200, b"ok")

    @pytest.mark.parametrize("name", EMPTY_ANSWERS)
    def test_an_answer_without_body_is_whole(self, serve, name):
        status, answer = EMPTY_ANSWERS[name]
        assert call_peer(serve(answer)) == (status, b"")

    def test_a_refusal_in_a_broken_head_counts_as_perhaps_run(self, serve):
        refusal = f"{VERDICT_HEADER}: {Verdict.NOT_RUN.value}".encode()
        with pytest.raises(Refusal) as raised:
            call_peer(serve(with_field(refusal + b"\r\nX Odd: v", True)))
        assert raised.value.verdict is Verdict.MAY_HAVE_RUN

    def test_a_stream_ends_at_a_malformed_chunk(self, serve):
        event = b"id: 1\ndata: a\n\n"
        chunk = b"%x\r\n%s" % (len(event), event)
        head = HEAD + CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
        answer = ask_peer(serve(head + chunk + b"\r\n" + chunk + b"xx" + chunk + b"\r\n"))
        assert b"".join(answer.events(EventReader())) == 2 * event


class TestPlatform:
    @staticmethod
    def weights(server):
        """Return the weights that a client reads."""
        client = PlatformClient(PlatformSettings(live_list=server.address), SystemClock())
        return client.weights(ModelName("m"), VersionName("1"))

    BODY = b'{"bytes": 3, "rate_bytes_per_s": 2}'

    @pytest.mark.parametrize("name", MALFORMED_FIELDS)
    def test_a_malformed_field_is_no_answer(self, serve, name):
        assert self.weights(serve(with_field(MALFORMED_FIELDS[name], True, self.BODY))) is None

    @pytest.mark.parametrize("name", MALFORMED_STATUS_LINES)
    def test_a_malformed_status_line_is_no_answer(self, serve, name):
        assert (
            self.weights(serve(with_status_line(MALFORMED_STATUS_LINES[name], self.BODY))) is None
        )

    @pytest.mark.parametrize("before", [b"", EARLY_HINTS])
    def test_a_sound_answer_is_read(self, serve, before):
        assert self.weights(serve(before + with_field(b"X-Odd: \xe4", True, self.BODY))) == Weights(
            3, 2
        )
