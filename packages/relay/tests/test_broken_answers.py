"""Backend servers whose answers break off or aren't HTTP responses."""

import random
import threading

import pytest
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.dialect import ListingPage
from nutmegdrum_relay.engine_probes import EngineProbes
from nutmegdrum_relay.list_reader import ListReader
from nutmegdrum_relay.silence_policy import Contact
from nutmegdrum_relay.upstream import ConnectionLost, UpstreamPool
from nutmegdrum_testing.raw_answers import (
    BROKEN_ANSWERS,
    CHUNKED,
    EARLY_HINTS,
    EMPTY_ANSWERS,
    HEAD,
    MALFORMED_HEADS,
    PLAIN,
    SOUND_ANSWERS,
    with_field,
    with_status_line,
)
from nutmegdrum_testing.raw_server import LARGE_UPLOAD, Ending, raw_servers
from nutmegdrum_testing.relay_calls import answers, get, numbers
from nutmegdrum_testing.relay_dialect import PlainDialect
from nutmegdrum_testing.relay_world import SERVICE, RelayWorld, document, listed

ANSWER_TIMEOUT = Duration(5_000)
UNFRAMED = HEAD + b"\r\nhal"


@pytest.fixture
def serve():
    with raw_servers() as start:
        yield start


@pytest.fixture
def world():
    world = RelayWorld(document())
    yield world
    world.stop()


def exchange(server, body=b""):
    """Return whether the connection can be reused, and status and body of the answer."""
    begun = UpstreamPool(SystemClock()).connect(server.address)
    try:
        begun.send("POST" if body else "GET", "/", [("Host", "h")], body)
        answer = begun.receive(ANSWER_TIMEOUT)
        whole = b"".join(begun.chunks(ANSWER_TIMEOUT))
        return begun.is_reusable(), answer.status, whole
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
        assert exchange(server, LARGE_UPLOAD) == (False, 200, b"early")

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


class TestExchange:
    @pytest.mark.parametrize("name", BROKEN_ANSWERS)
    def test_a_broken_answer_is_lost(self, serve, name):
        with pytest.raises(ConnectionLost):
            exchange(serve(BROKEN_ANSWERS[name]))

    @pytest.mark.parametrize("name", SOUND_ANSWERS)
    def test_a_sound_answer_is_read(self, serve, name):
        _, status, body = exchange(serve(SOUND_ANSWERS[name]))
        assert (status, body) == (200, b"ok")

    @pytest.mark.parametrize("name", EMPTY_ANSWERS)
    def test_an_answer_without_body_is_whole(self, serve, name):
        status, answer = EMPTY_ANSWERS[name]
        assert exchange(serve(answer))[1:] == (status, b"")


class TestRelay:
    """A backend server sends a broken answer to its first request, and sound ones after it."""

    NOT_RUN = with_field(b"X-Not-Run: 1\r\nX Odd: v", False).replace(b"200 OK", b"503 Full")
    BROKEN = {
        "blank, first": with_field(b"X Odd: v", True),
        "blank, last": with_field(b"X Odd: v", False),
        "says that it has not run": NOT_RUN,
        "status 000": with_status_line(b"HTTP/1.1 000 OK"),
    }

    @staticmethod
    def add_backends(world, broken, sound):
        sent = threading.Event()

        def script(received):
            if sent.is_set():
                sound(received)
            else:
                sent.set()
                received.send_raw(broken)

        return world.add(script, script)

    @pytest.mark.parametrize("name", BROKEN)
    def test_an_idempotent_request_is_sent_again(self, world, name):
        self.add_backends(world, self.BROKEN[name], answers(200, b"whole"))
        status, headers, body = get(world, "/idempotent/x")
        assert (status, body) == (200, b"whole")
        assert not any("odd" in header.lower() for header in headers)

    @pytest.mark.parametrize("name", BROKEN)
    def test_another_request_is_refused_as_perhaps_run(self, world, name):
        backends = self.add_backends(world, self.BROKEN[name], answers(200, b"whole"))
        status, _, body = get(world, "/non-idempotent/x", "POST")
        assert (status, b"ok" in body) == (502, False)
        assert sum(len(backend.received) for backend in backends) == 1

    @pytest.mark.parametrize("name", BROKEN)
    def test_a_stream_without_events_is_sent_again(self, world, name):
        def send_stream(received):
            received.start_events(X_Id="q1")
            received.event(1)
            received.end_events()

        self.add_backends(world, self.BROKEN[name], send_stream)
        status, _, body = get(world, "/stream/x", "POST")
        assert (status, numbers(body)) == (200, [1])

    def test_a_stream_goes_on_elsewhere_after_a_malformed_chunk(self, world):
        event = b"id: 1\ndata: t1\n\n"
        head = HEAD + CHUNKED + b"Content-Type: text/event-stream\r\n\r\n"
        torn = head + b"%x\r\n%s" % (len(event), event) + b"xx0\r\n\r\n"

        def send_rest(received):
            received.start_events(X_Id="q1")
            for number in range(int(received.headers.get("x-last", "0")) + 1, 4):
                received.event(number)
            received.end_events()

        self.add_backends(world, torn, send_rest)
        status, _, body = get(world, "/stream/x", "POST")
        assert (status, numbers(body)) == (200, [1, 2, 3])

    def test_the_answer_after_an_interim_one_is_passed_on(self, world):
        world.add(lambda r: r.send_raw(EARLY_HINTS + PLAIN))
        status, headers, body = get(world, "/non-idempotent/x", "POST")
        assert (status, body, "Link" in headers) == (200, b"ok", False)

    def test_values_are_passed_on_unchanged(self, world):
        value = bytes(range(0xA1, 0x100)) + b"\t:"
        world.add(lambda r: r.send_raw(with_field(b"X-Odd: \t" + value + b"x \t", True)))
        status, headers, body = get(world, "/idempotent/x")
        assert (status, body) == (200, b"ok")
        assert headers["X-Odd"].encode("latin-1") == value + b"x"


class Listing(PlainDialect):
    """Dialect whose listing is empty if its body is sound."""

    def listing_target(self, token):
        return "/list"

    def decode_listing(self, data):
        if data != b"ok":
            raise ValueError(f"unexpected listing {data!r}")
        return ListingPage([], "")


class TestListReader:
    @staticmethod
    def read(server):
        """Return the lists that one read has found."""
        lists = []
        reader = ListReader(
            server.address,
            SystemClock(),
            random.Random(1),
            Listing(),
            Duration(1_000),
            lambda: True,
            lambda listed, began_ms: lists.append(listed),
        )
        reader.read()
        return lists

    @pytest.mark.parametrize("name", BROKEN_ANSWERS)
    def test_a_broken_answer_is_no_list(self, serve, name):
        assert self.read(serve(BROKEN_ANSWERS[name])) == []

    @pytest.mark.parametrize("name", SOUND_ANSWERS)
    def test_a_sound_answer_is_read(self, serve, name):
        assert self.read(serve(SOUND_ANSWERS[name])) == [[]]


class TestEngineProbes:
    @staticmethod
    def contact(server):
        clock = SystemClock()
        backends = Backends(clock)
        backends.set_listing([listed("b1", server.address)])
        (backend,) = backends.of_service(SERVICE)
        probes = EngineProbes(clock, UpstreamPool(clock), PlainDialect(), lambda backend: True)
        return probes.contact(backend)

    @pytest.mark.parametrize("name", MALFORMED_HEADS)
    def test_a_malformed_head_is_no_answer(self, serve, name):
        server = serve(MALFORMED_HEADS[name])
        assert self.contact(server) in (Contact.MUTE, Contact.UNKNOWN)

    def test_a_sound_head_is_an_answer(self, serve):
        assert self.contact(serve(EARLY_HINTS + PLAIN)) is Contact.ANSWERS
