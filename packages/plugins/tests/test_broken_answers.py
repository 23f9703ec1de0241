"""Engines whose answers break off or aren't HTTP responses."""

import pytest
from nutmegdrum.messages import BackendLost, EngineCall, LossKind
from nutmegdrum.settings import BackendSettings
from nutmegdrum_coord.ids import GenerationId, ModelName, VersionName
from nutmegdrum_plugins.http_engine import HttpEngineProtocol
from nutmegdrum_testing.raw_answers import (
    CHUNKED,
    EARLY_HINTS,
    HEAD,
    MALFORMED_FIELDS,
    MALFORMED_STATUS_LINES,
    with_field,
    with_status_line,
)
from nutmegdrum_testing.raw_server import LARGE_UPLOAD, Ending, raw_servers

TIMEOUT_MS = 5_000
EVENTS = b'{"events": []}'
LINES = b'{"index": 0, "text": "t"}\n{"finish": "stop", "count": 1}\n'


@pytest.fixture
def serve():
    with raw_servers() as start:
        yield start


def backend_of(server):
    return BackendSettings(id="b", address=server.address, service="s", data_centre="dc")


def cache_events(server):
    return HttpEngineProtocol().cache_events(backend_of(server), 0, TIMEOUT_MS)


def generate(server, prompt="p"):
    """Return the items of a generation up to its end."""
    call = EngineCall(
        generation=GenerationId("g"),
        attempt=1,
        model=ModelName("m"),
        version=VersionName("1"),
        prompt=prompt,
        max_tokens=4,
        seed=7,
        temperature=1.0,
    )
    source = HttpEngineProtocol().open(backend_of(server), call, TIMEOUT_MS)
    items = []
    while len(items) < 2:
        items += source.next(TIMEOUT_MS)
    return items


def malformed_answers(body):
    """Return answers with this body whose heads or chunks are malformed."""
    chunk = b"%x\r\n%s" % (len(body), body)
    return {
        **{name: with_field(line, True, body) for name, line in MALFORMED_FIELDS.items()},
        **{name: with_status_line(line, body) for name, line in MALFORMED_STATUS_LINES.items()},
        "two lengths": with_field(b"Content-Length: %d" % len(body), True, body),
        "length and chunks": with_field(CHUNKED[:-2], True, chunk + b"\r\n0\r\n\r\n"),
        "two encodings": HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n" + body,
        "signed size": HEAD + CHUNKED + b"\r\n+" + chunk + b"\r\n0\r\n\r\n",
        "negative size": HEAD + CHUNKED + b"\r\n-" + chunk + b"\r\n0\r\n\r\n",
    }


class TestGeneration:
    @pytest.mark.parametrize("name", malformed_answers(LINES))
    def test_a_malformed_answer_is_a_loss(self, serve, name):
        server = serve(malformed_answers(LINES)[name])
        with pytest.raises(BackendLost):
            generate(server)
        assert server.requests == 1

    @pytest.mark.parametrize("end", [b"xx", b"\n\n"])
    def test_a_torn_chunk_is_a_loss(self, serve, end):
        first, second = LINES.splitlines(keepends=True)
        chunks = [b"%x\r\n%s" % (len(line), line) for line in (first, second)]
        with pytest.raises(BackendLost):
            generate(serve(HEAD + CHUNKED + b"\r\n" + end.join(chunks)))

    @pytest.mark.parametrize("before", [b"", EARLY_HINTS])
    def test_a_sound_answer_is_read(self, serve, before):
        assert len(generate(serve(before + with_field(b"X-Odd: \xe4", True, LINES)))) == 2

    def test_a_reset_during_the_upload_is_a_loss(self, serve):
        server = serve(b"HTTP/1.1 200 OK\r\n\r\n" + LINES, Ending.RESET_DURING_UPLOAD)
        with pytest.raises(BackendLost) as raised:
            generate(server, LARGE_UPLOAD.decode())
        assert raised.value.kind is LossKind.RESET
        assert server.requests == 1


class TestCacheEvents:
    @pytest.mark.parametrize("name", malformed_answers(EVENTS))
    def test_a_malformed_answer_is_a_loss(self, serve, name):
        with pytest.raises(BackendLost):
            cache_events(serve(malformed_answers(EVENTS)[name]))

    @pytest.mark.parametrize("end", [b"xx0\r\n\r\n", b"\r\n0\r\n", b"\r\n0\r\nX Odd: v\r\n\r\n"])
    def test_a_malformed_end_of_chunks_is_a_loss(self, serve, end):
        chunk = b"%x\r\n%s" % (len(EVENTS), EVENTS)
        with pytest.raises(BackendLost):
            cache_events(serve(HEAD + CHUNKED + b"\r\n" + chunk + end))

    @pytest.mark.parametrize("before", [b"", EARLY_HINTS])
    def test_a_sound_answer_is_read(self, serve, before):
        assert cache_events(serve(before + with_field(b"X-Odd: \xe4", True, EVENTS))) == []
