"""Backend servers whose answers break off or aren't HTTP responses."""

import pytest
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_relay.upstream import ConnectionLost, UpstreamPool
from nutmegdrum_testing.raw_server import LARGE_UPLOAD, Ending, RawServer
from nutmegdrum_testing.relay_calls import get
from nutmegdrum_testing.relay_world import RelayWorld, document, listed

ANSWER_TIMEOUT = Duration(5_000)
HEAD = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\n"
UNFRAMED = HEAD + b"\r\nhal"


@pytest.fixture
def serve():
    running = []

    def start(answer, ending=Ending.CLOSE):
        running.append(RawServer(answer, ending))
        return running[-1]

    yield start
    for server in running:
        server.stop()


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


def exchange(server, body=b""):
    """Return the exchange, and status and body of its answer."""
    begun = UpstreamPool(SystemClock()).connect(server.address)
    try:
        begun.send("POST" if body else "GET", "/", [("Host", "h")], body)
        answer = begun.receive(ANSWER_TIMEOUT)
        return begun, answer.status, b"".join(begun.chunks(ANSWER_TIMEOUT))
    finally:
        begun.close()


EARLY_ANSWERS = {
    "length": HEAD + b"Content-Length: 5\r\n\r\nearly",
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n5\r\nearly\r\n0\r\n\r\n",
}


class TestResetDuringUpload:
    def test_an_answer_without_length_is_lost(self, serve):
        with pytest.raises(ConnectionLost):
            exchange(serve(UNFRAMED, Ending.RESET_DURING_UPLOAD), LARGE_UPLOAD)

    @pytest.mark.parametrize("name", EARLY_ANSWERS)
    def test_part_of_an_answer_is_lost(self, serve, name):
        part = EARLY_ANSWERS[name].partition(b"ly")[0]
        with pytest.raises(ConnectionLost):
            exchange(serve(part, Ending.RESET_DURING_UPLOAD), LARGE_UPLOAD)

    @pytest.mark.parametrize("name", EARLY_ANSWERS)
    def test_a_whole_answer_is_read_and_its_connection_is_not_reused(self, serve, name):
        server = serve(EARLY_ANSWERS[name], Ending.RESET_DURING_UPLOAD)
        ended, status, body = exchange(server, LARGE_UPLOAD)
        assert (status, body) == (200, b"early")
        assert not ended.is_reusable()

    def test_a_request_that_may_not_repeat_is_refused_as_lost(self, serve, world):
        server = serve(UNFRAMED, Ending.RESET_DURING_UPLOAD)
        world.backends.set_listing([listed("b1", server.address)])
        status, _, body = get(world, "/non-idempotent/x", "POST", LARGE_UPLOAD[: 4 << 20])
        assert (status, b"hal" in body) == (502, False)
        assert server.requests == 1


class TestResetAfterUpload:
    def test_an_answer_without_length_is_lost(self, serve):
        with pytest.raises(ConnectionLost):
            exchange(serve(UNFRAMED, Ending.RESET), b"small")

    def test_an_answer_that_ends_with_its_connection_is_whole(self, serve):
        _, status, body = exchange(serve(UNFRAMED), b"small")
        assert (status, body) == (200, b"hal")
