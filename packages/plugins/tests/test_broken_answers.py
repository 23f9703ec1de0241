"""Engines whose answers break off or aren't HTTP responses."""

import pytest
from nutmegdrum.messages import BackendLost, EngineCall, LossKind
from nutmegdrum.settings import BackendSettings
from nutmegdrum_coord.ids import GenerationId, ModelName, VersionName
from nutmegdrum_plugins.http_engine import HttpEngineProtocol
from nutmegdrum_testing.raw_server import LARGE_UPLOAD, Ending, RawServer

TIMEOUT_MS = 5_000
LINES = b'{"index": 0, "text": "t"}\n{"finish": "stop", "count": 1}\n'


@pytest.fixture
def serve():
    running = []

    def start(answer, ending=Ending.CLOSE):
        running.append(RawServer(answer, ending))
        return running[-1]

    yield start
    for server in running:
        server.stop()


def generate(server, prompt="p"):
    """Return the items of a generation up to its end."""
    backend = BackendSettings(id="b", address=server.address, service="s", data_centre="dc")
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
    source = HttpEngineProtocol().open(backend, call, TIMEOUT_MS)
    items = []
    while len(items) < 2:
        items += source.next(TIMEOUT_MS)
    return items


class TestGeneration:
    def test_a_reset_during_the_upload_is_a_loss(self, serve):
        server = serve(b"HTTP/1.1 200 OK\r\n\r\n" + LINES, Ending.RESET_DURING_UPLOAD)
        with pytest.raises(BackendLost) as raised:
            generate(server, LARGE_UPLOAD.decode())
        assert raised.value.kind is LossKind.RESET
        assert server.requests == 1
