import pytest
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_relay.upstream import CLOSING_PERIOD, DEFAULT_IDLE, UpstreamPool
from nutmegdrum_testing.scripted_backend import ScriptedBackend

LEFT, OTHER = BackendId("left"), BackendId("other")
ANSWER_TIMEOUT = Duration(5_000)


@pytest.fixture
def backend():
    running = ScriptedBackend(lambda req: req.answer(200, b"ok"))
    yield running
    running.stop()


def exchange(upstream, name, address):
    """Return the connection's socket after a whole exchange."""
    used = upstream.open(name, address, fresh=False)
    used.send("GET", "/", [("Host", "h")], b"")
    used.receive(ANSWER_TIMEOUT)
    assert b"".join(used.chunks(ANSWER_TIMEOUT)) == b"ok"
    sock = used.connection.sock
    upstream.keep(name, used)
    return sock


class TestKeptConnections:
    def test_a_kept_connection_is_used_again(self, backend):
        upstream = UpstreamPool(ManualClock())
        first = exchange(upstream, OTHER, backend.address)
        assert exchange(upstream, OTHER, backend.address) is first

    def test_those_of_a_backend_server_that_is_never_asked_again_are_closed(self, backend):
        clock = ManualClock()
        upstream = UpstreamPool(clock)
        kept = exchange(upstream, LEFT, backend.address)
        clock.advance(DEFAULT_IDLE + CLOSING_PERIOD)
        exchange(upstream, OTHER, backend.address)
        assert kept.fileno() == -1

    def test_one_that_was_just_used_stays_open(self, backend):
        clock = ManualClock()
        upstream = UpstreamPool(clock)
        exchange(upstream, OTHER, backend.address)
        clock.advance(DEFAULT_IDLE // 2)
        kept = exchange(upstream, LEFT, backend.address)
        clock.advance(DEFAULT_IDLE // 2 + 1)
        exchange(upstream, OTHER, backend.address)
        assert kept.fileno() != -1
