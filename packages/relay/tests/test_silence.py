"""Engines that become silent while streams are in progress."""

import threading

import pytest
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import ManualClock, SystemClock
from nutmegdrum_relay.backends import Backends, Health
from nutmegdrum_relay.running import RunningStreams
from nutmegdrum_relay.silence import LONGEST_PERIOD, REPORT_WAIT, SILENCE, SilenceMonitor
from nutmegdrum_relay.upstream import ConnectFailed, UpstreamPool
from nutmegdrum_testing.dark_address import dark_address
from nutmegdrum_testing.relay_world import SERVICE, listed
from nutmegdrum_testing.scripted_backend import ScriptedBackend
from nutmegdrum_testing.waiting import wait_for

MAX_PAUSE_MS = 700
"""Longest pause between events that callers accept as in time (the users' sheets)."""

RESUME_MS = 220
"""Time from giving up an engine to the first event from the copy's engine: a connection, admission,
and six tokens decoded during a prefill (30 ms a step)."""


class StandInExchange:
    """Stream in progress that only records its abort."""

    def __init__(self):
        self.aborted = threading.Event()

    def abort(self, reason):
        self.aborted.set()


class LossyUpstream(UpstreamPool):
    """Loses the first `lost` connections, as lost packets would."""

    def __init__(self, clock, lost):
        super().__init__(clock)
        self.lost = lost
        self.lock = threading.Lock()

    def connect(self, address, timeout):
        with self.lock:
            self.lost -= 1
            lost = self.lost >= 0
        if lost:
            threading.Event().wait(timeout / 1_000)
            raise ConnectFailed("no answer")
        return super().connect(address, timeout)


class World:
    """Silence monitor of an entry VM with one stream on one engine."""

    def __init__(self, address, upstream, clock):
        self.clock = clock
        self.backends = Backends(clock)
        self.backends.set_listing([listed("b", address)])
        (self.backend,) = self.backends.of_service(SERVICE)
        running = RunningStreams()
        self.exchange = StandInExchange()
        running.add(self.backend, self.exchange, clock.elapsed_ms())
        self.backends.on_data(self.backend)
        self.may_send = True
        self.monitor = SilenceMonitor(
            clock, self.backends, running, upstream, "/x-report", lambda backend: self.may_send
        )


@pytest.fixture
def dark():
    with dark_address() as address:
        yield address


@pytest.fixture
def reporting():
    backend = ScriptedBackend(lambda received: received.answer(200))
    yield backend
    backend.stop()


class TestUnreachableEngine:
    def test_time_to_resume_stays_below_the_accepted_pause(self):
        assert SILENCE + LONGEST_PERIOD + REPORT_WAIT + RESUME_MS <= MAX_PAUSE_MS

    def test_streams_are_aborted_once_all_tries_failed(self, dark):
        clock = SystemClock()
        world = World(dark, UpstreamPool(clock), clock)
        started_ms = clock.elapsed_ms()
        world.monitor.start()
        assert world.exchange.aborted.wait(5)
        taken_ms = clock.elapsed_ms() - started_ms
        world.monitor.stop()
        assert taken_ms >= SILENCE + REPORT_WAIT
        assert world.backend.health(clock.elapsed_ms()) is Health.PAUSED


class TestHealthyEngine:
    @pytest.mark.parametrize("lost", [1, 2])
    def test_streams_continue_when_some_tries_are_lost(self, reporting, lost):
        clock = SystemClock()
        world = World(reporting.address, LossyUpstream(clock, lost), clock)
        world.monitor.start()
        wait_for(lambda: reporting.received)
        wait_for(lambda: not world.monitor.probing())
        world.monitor.stop()
        assert not world.exchange.aborted.is_set()

    def test_an_engine_that_answers_at_once_is_probed_once(self, reporting):
        clock = SystemClock()
        world = World(reporting.address, UpstreamPool(clock), clock)
        world.monitor.start()
        wait_for(lambda: reporting.received)
        wait_for(lambda: not world.monitor.probing())
        world.monitor.stop()
        assert len(reporting.received) == 1


class TestRateLimit:
    def test_a_probe_is_not_sent_without_a_permit(self, reporting):
        clock = ManualClock(10_000)
        world = World(reporting.address, UpstreamPool(clock), clock)
        world.may_send = False
        clock.advance(SILENCE)
        world.monitor.poll()
        assert not world.monitor.probing()
        assert not world.exchange.aborted.is_set()


class TestPeriod:
    """The next poll is due when the next engine may have been silent for too long."""

    def test_the_next_poll_is_when_the_silence_limit_is_reached(self):
        clock = ManualClock(10_000)
        world = World(Address("127.0.0.1:1"), UpstreamPool(clock), clock)
        clock.advance(SILENCE - 13)
        assert world.monitor.poll() == 13

    def test_without_streams_the_next_poll_is_after_the_longest_period(self):
        clock = ManualClock(10_000)
        world = World(Address("127.0.0.1:1"), UpstreamPool(clock), clock)
        world.monitor._running.remove(world.backend, world.exchange)
        assert world.monitor.poll() == LONGEST_PERIOD
        assert isinstance(world.monitor.poll(), Duration | int)
