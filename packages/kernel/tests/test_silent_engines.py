import random
import socket
from types import SimpleNamespace

import pytest
from nutmegdrum.adaptive_timeouts import AdaptiveTimeouts
from nutmegdrum.attempt_starter import AttemptStarter
from nutmegdrum.attempts import Attempts
from nutmegdrum.journal_messages import EpochStart, StreamHead
from nutmegdrum.messages import (
    BackendLost,
    Finish,
    FinishReason,
    GenerationRequest,
    LossKind,
    Token,
)
from nutmegdrum.plugins import Registry
from nutmegdrum.routing import Router
from nutmegdrum.session import Session
from nutmegdrum.settings import parse_settings
from nutmegdrum.streams import Stream
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import Refusal, Verdict
from nutmegdrum_testing.waiting import wait_for

STEP_MS = 25
TOKEN_MS = 50
FIRST_TOKEN_MS = 200
COUNT = 300
FOREVER = 10**9
RESUME_LIMIT_MS = 5_000
RESET_LIMIT_MS = 3 * FIRST_TOKEN_MS  # suspects wait for isolated attempts
GIVE_UP_LIMIT_MS = 2_300
SILENCE_MS = 1_500

SETTINGS = """{
  "deployment": "d", "vm": {"id": "e1", "data_centre": "dc", "region": "r"}, "roles": ["entry"],
  "listen": {"ops": "127.0.0.1:0", "peers": "127.0.0.1:0", "callers": "127.0.0.1:0"},
  "state_replicas": [], "services": [{"name": "s", "kind": "model"}],
  "models": [{"name": "m", "service": "s", "version": "1"}],
  "backend_servers": [%s]}"""
BACKEND = '{"id": "b%d", "address": "127.0.0.1:%d", "service": "s", "data_centre": "dc"}'


class Source:
    """Token source of one attempt on a scripted engine."""

    def __init__(self, backend, first_index, due_ms):
        self.backend = backend
        self.index = first_index
        self.due_ms = due_ms
        self.items = []
        self.loss = None
        self.closed = False
        self._sockets = socket.socketpair()

    def fileno(self):
        return self._sockets[0].fileno()

    def pending(self):
        return bool(self.items)

    def next(self, timeout_ms):
        if self.loss is not None:
            raise self.loss
        items, self.items = self.items, []
        return items

    def close(self):
        self.closed = True
        for sock in self._sockets:
            sock.close()

    def produce(self, now_ms):
        if now_ms >= self.due_ms and self.index < COUNT:
            self.items.append(Token(self.index, "t"))
            self.index += 1
            self.due_ms = now_ms + TOKEN_MS
            if self.index == COUNT:
                self.items.append(Finish(FinishReason.LENGTH, COUNT))


class Engine:
    """Scripted engine.

    Parameters
    ----------
    silences : list of tuple
        Start and end of the times in which it sends nothing, in ms.
    hangs : bool
        Whether new connections hang meanwhile, rather than being accepted.
    """

    def __init__(self, *silences, hangs=False, reset_ms=FOREVER):
        self.silences = silences
        self.hangs = hangs
        self.reset_ms = reset_ms

    def silent(self, now_ms):
        return any(start <= now_ms < end for start, end in self.silences)


class Gateway:
    """Streams over scripted engines in model time."""

    def __init__(self, *engines, may_resend=None):
        self.engines = {f"b{number}": engine for number, engine in enumerate(engines)}
        backends = ", ".join(BACKEND % (n, n + 1) for n in range(len(engines)))
        cfg = parse_settings((SETTINGS % backends).encode())
        self.clock = ManualClock()
        self.began_ms = self.clock.elapsed_ms()
        self.sent = []
        self.streams = []
        registry = Registry()
        router = self.router = Router(cfg, self.clock, random.Random(1), registry)
        self.attempts = Attempts(
            cfg.streams,
            self.clock,
            SimpleNamespace(cancel=lambda *_: None),
            router,
            registry,
            SimpleNamespace(submit=lambda *_: None, replace_head=lambda *_: None),
            AdaptiveTimeouts(cfg.streams),
            SimpleNamespace(on_progress=lambda *_: None, on_stream_loss=lambda *_: None),
            SimpleNamespace(
                on_start=lambda *_: None,
                on_first_token=lambda *_: None,
                on_token_gap=lambda *_: None,
                on_loss=lambda *_: None,
                on_finish=lambda *_: None,
                on_abandon=lambda *_: None,
            ),
            may_resend=may_resend,
        )
        self.starter = AttemptStarter(
            cfg.streams,
            self.clock,
            protocol=SimpleNamespace(open=self.open),
            routing=router,
            recovery_queue=SimpleNamespace(wait=lambda *_: True),
            resends=SimpleNamespace(take=lambda *_: True, wait=lambda *_: True),
            attempts=self.attempts,
            sleep=lambda s: self.run(s * 1_000),
        )

    @property
    def now_ms(self):
        return self.clock.elapsed_ms() - self.began_ms

    def start(self, count, max_attempts=6):
        for _ in range(count):
            self.streams.append(RunningStream(self, len(self.streams), max_attempts))

    def open(self, backend, call, timeout_ms):
        """Start an attempt; each earlier one of its generation must have ended."""
        assert all(s.closed for generation, s in self.sent if generation == call.generation)
        engine = self.engines[backend.id]
        if self.now_ms >= engine.reset_ms:
            raise BackendLost(backend.id, LossKind.REFUSED, False)
        if engine.hangs and engine.silent(self.now_ms):
            self.run(timeout_ms)
            raise BackendLost(backend.id, LossKind.REFUSED, False)
        source = Source(backend.id, len(call.prefix), self.now_ms + FIRST_TOKEN_MS)
        self.sent.append((call.generation, source))
        return source

    def run(self, time_ms):
        """Let time pass without starting attempts."""
        until_ms = self.now_ms + time_ms
        while self.now_ms < until_ms:
            self.clock.advance(STEP_MS)
            for stream in self.streams:
                stream.step()
            wait_for(lambda: not any(stream.asking for stream in self.streams))

    def play(self, until_ms):
        while self.now_ms < until_ms:
            for stream in self.streams:
                stream.start_attempt()
            self.run(STEP_MS)

    def sends(self):
        """Return the number of attempts of each stream."""
        generations = [generation for generation, _ in self.sent]
        return [generations.count(stream.session.generation) for stream in self.streams]

    def gaps(self):
        """Return the longest time without output of each stream, in ms."""
        return [stream.longest_gap_ms() for stream in self.streams]


class RunningStream:
    def __init__(self, gateway, number, max_attempts):
        req = GenerationRequest(workspace="w", model="m", prompt="p", max_tokens=COUNT, seed=1)
        stream = Stream(req, f"g{number}", 1, max_attempts)
        head = StreamHead(request=req, lineage=[EpochStart(1, 0)])
        self.gateway = gateway
        self.session = Session(stream, head, [], gateway.clock)
        self.refusal = None
        self.starting = False
        self.arrivals = [gateway.now_ms]

    @property
    def running(self):
        return self.session.stream.finish is None and self.refusal is None

    @property
    def asking(self):
        attempt = self.session.attempt
        return attempt is not None and attempt.asking

    def start_attempt(self):
        if self.session.attempt is None and self.running and not self.starting:
            self.starting = True
            try:
                self.gateway.starter.begin(self.session)
            except Refusal as refusal:
                self.refusal = refusal
            self.starting = False

    def step(self):
        attempt = self.session.attempt
        if attempt is None or attempt.source is None:
            return
        now_ms = self.gateway.now_ms
        source, engine = attempt.source, self.gateway.engines[attempt.source.backend]
        if now_ms >= engine.reset_ms:
            source.loss = BackendLost(source.backend, LossKind.RESET, True)
            self.gateway.attempts.on_ready(attempt.key)
            return
        if not engine.silent(now_ms):
            source.produce(now_ms)
        if source.items:
            self.gateway.attempts.on_ready(attempt.key)
            self.arrivals.append(now_ms)
        if self.session.attempt is attempt:
            self.gateway.attempts.on_idle(attempt.key, self.gateway.clock.elapsed_ms())

    def longest_gap_ms(self):
        ends = self.arrivals if not self.running else [*self.arrivals, self.gateway.now_ms]
        pairs = zip(ends, ends[1:], strict=False)
        return max(end - start for start, end in pairs)


def every_4_s(silence_ms=SILENCE_MS):
    return [(start, start + silence_ms) for start in range(2_000, 40_000, 4_000)]


def assert_finished(gateway):
    assert [stream.refusal for stream in gateway.streams] == [None] * len(gateway.streams)
    assert all(len(stream.session.stream.tokens) == COUNT for stream in gateway.streams)


@pytest.mark.parametrize("hangs", [False, True], ids=["accepts", "hangs"])
class TestSoundSilentEngines:
    def play(self, *engines, streams=12):
        gateway = Gateway(*engines)
        gateway.start(streams)
        gateway.play(30_000)
        assert_finished(gateway)
        assert gateway.sends() == [1] * streams
        return gateway

    def test_one_silence(self, hangs):
        self.play(Engine((2_000, 2_000 + SILENCE_MS), hangs=hangs), Engine(), Engine())

    def test_all_silent_at_once(self, hangs):
        self.play(*[Engine((2_000, 2_000 + SILENCE_MS), hangs=hangs) for _ in range(3)])

    def test_silences_in_series(self, hangs):
        self.play(Engine(*every_4_s(), hangs=hangs), Engine(), Engine())

    def test_all_silent_in_series(self, hangs):
        self.play(*[Engine(*every_4_s(), hangs=hangs) for _ in range(3)])

    def test_silence_of_the_only_engine(self, hangs):
        self.play(Engine(*every_4_s(), hangs=hangs), streams=4)

    def test_silence_before_the_first_token(self, hangs):
        self.play(*[Engine((100, 100 + SILENCE_MS), hangs=hangs) for _ in range(2)])


@pytest.mark.parametrize("engines", [1, 2, 3, 6])
class TestNewRequest:
    def test_outlasts_a_silence_in_which_connections_hang(self, engines):
        gateway = Gateway(*[Engine((0, SILENCE_MS), hangs=True) for _ in range(engines)])
        gateway.start(1)
        gateway.play(30_000)
        assert_finished(gateway)
        assert gateway.sends() == [1]

    def test_is_refused_as_not_run_if_no_engine_takes_connections(self, engines):
        gateway = Gateway(*[Engine((0, FOREVER), hangs=True) for _ in range(engines)])
        gateway.start(1)
        gateway.play(3_000)
        assert [s.refusal.verdict for s in gateway.streams] == [Verdict.NOT_RUN]


class TestAfterAFalseAlarm:
    def test_the_other_streams_outlast_the_next_silence(self):
        gateway = Gateway(Engine((2_000, 4_300), (4_400, 4_400 + SILENCE_MS)), Engine())
        gateway.start(8)
        gateway.play(4_350)
        sends = gateway.sends()
        gateway.play(30_000)
        assert_finished(gateway)
        assert gateway.sends() == sends

    def test_new_streams_outlast_the_next_silence(self):
        gateway = Gateway(Engine((2_000, 4_300), (8_400, 8_400 + SILENCE_MS)), Engine())
        gateway.start(8)
        gateway.play(8_000)
        sends = gateway.sends()
        gateway.start(8)
        gateway.play(40_000)
        assert_finished(gateway)
        assert gateway.sends() == [*sends, *[1] * 8]


class TestDeadEngine:
    def test_reset_is_left_at_once(self):
        gateway = Gateway(Engine(reset_ms=2_000), Engine(), Engine())
        gateway.start(9)
        gateway.play(30_000)
        assert_finished(gateway)
        assert max(gateway.gaps()) <= RESET_LIMIT_MS
        assert max(gateway.sends()) == 2

    @pytest.mark.parametrize("hangs", [False, True], ids=["accepts", "dark"])
    def test_silent_for_good_is_given_up_in_time(self, hangs):
        gateway = Gateway(Engine((2_000, FOREVER), hangs=hangs), Engine(), Engine())
        gateway.start(9)
        gateway.play(30_000)
        assert_finished(gateway)
        assert max(gateway.gaps()) <= GIVE_UP_LIMIT_MS + FIRST_TOKEN_MS
        assert max(gateway.sends()) == 2

    def test_new_requests_at_a_hung_engine_go_on_elsewhere(self):
        gateway = Gateway(Engine((0, FOREVER)), Engine())
        gateway.start(8)
        gateway.play(30_000)
        assert_finished(gateway)
        assert max(gateway.gaps()) <= RESUME_LIMIT_MS

    def test_recovery_outlasts_a_silence_of_the_next_engine(self):
        gateway = Gateway(Engine((2_000, FOREVER)), Engine((3_900, 3_900 + SILENCE_MS)))
        gateway.start(8)
        gateway.play(30_000)
        assert_finished(gateway)
        assert max(gateway.sends()) == 2
        assert max(gateway.gaps()) <= RESUME_LIMIT_MS

    def test_two_dark_engines_with_an_idle_third(self):
        gateway = Gateway(Engine((2_000, FOREVER)), Engine((2_000, FOREVER)), Engine())
        gateway.router.lost("b2", LossKind.SILENT)
        gateway.start(4)
        gateway.play(1_500)
        assert {source.backend for _, source in gateway.sent} == {"b0", "b1"}
        gateway.play(30_000)
        assert_finished(gateway)
        assert max(gateway.gaps()) <= RESUME_LIMIT_MS


class TestLongSharedSilence:
    def test_few_streams_move_while_all_engines_are_silent(self):
        gateway = Gateway(*[Engine((2_000, 6_500)) for _ in range(3)])
        gateway.start(30)
        gateway.play(30_000)
        assert_finished(gateway)
        assert sum(gateway.sends()) - 30 <= 3


class TestLastAttempt:
    def test_waits_for_its_engine(self):
        gateway = Gateway(Engine((2_000, 6_500)), Engine())
        gateway.start(6, max_attempts=1)
        gateway.play(30_000)
        assert_finished(gateway)
        assert gateway.sends() == [1] * 6

    def test_ends_at_the_deadline_if_its_engine_is_dead(self):
        gateway = Gateway(Engine((2_000, FOREVER)))
        gateway.start(2, max_attempts=1)
        gateway.play(30_000)
        assert all(stream.refusal is not None for stream in gateway.streams)


class TestRetryBudget:
    def test_silent_engine_is_not_given_up_without_permission(self):
        gateway = Gateway(Engine((2_000, 6_500)), Engine(), may_resend=lambda service: False)
        gateway.start(8)
        gateway.play(30_000)
        assert_finished(gateway)
        assert gateway.sends() == [1] * 8

    def test_as_many_move_as_are_permitted(self):
        permissions = iter([True, True, *[False] * 1_000])
        gateway = Gateway(Engine((2_000, 6_500)), may_resend=lambda service: next(permissions))
        gateway.start(6)
        gateway.play(30_000)
        assert_finished(gateway)
        assert sum(gateway.sends()) == 6 + 2

    def test_dead_engine_is_given_up_at_the_deadline_without_permission(self):
        gateway = Gateway(Engine((2_000, FOREVER)), Engine(), may_resend=lambda service: False)
        gateway.start(8)
        gateway.play(2_000 + RESUME_LIMIT_MS - 200)
        assert gateway.sends() == [1] * 8
        gateway.play(30_000)
        assert_finished(gateway)

    def test_refusal_holds_only_for_its_silence(self):
        asked = []

        def grant_second(service):
            asked.append(service)
            return len(asked) > 1

        gateway = Gateway(
            Engine((2_000, 4_000), (8_000, FOREVER)), Engine(), may_resend=grant_second
        )
        gateway.start(1)
        gateway.play(30_000)
        assert_finished(gateway)
        assert max(gateway.gaps()) <= RESUME_LIMIT_MS

    def test_permission_is_not_kept_for_a_later_loss_if_the_engine_goes_on(self):
        gateway = Gateway(Engine((2_000, 3_900)), Engine(), may_resend=lambda service: False)
        gateway.start(1)
        gateway.play(1_000)
        (stream,) = gateway.streams
        attempt = stream.session.attempt
        gateway.attempts._on_permission(stream.session, attempt, attempt.last_ms - 1, True)
        assert not stream.session.stream.may_send_again
