"""Relaying of one generation's tokens, over as many attempts as it takes.

The reader's own thread reads from the backend server and waits for the holders, so a stream has
one thread and one connection at a time. Tokens are released once all live holders have them.
"""

from collections.abc import Iterator
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, ElapsedMs

from nutmegdrum import metrics
from nutmegdrum.backends import BackendProtocol
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.journal_writer import Held
from nutmegdrum.messages import BackendLost, Finish, GenerationRequest, LossKind, Token
from nutmegdrum.plugins import Event, Registry
from nutmegdrum.routing_query import Choice, Routing
from nutmegdrum.session import Attempt, Batch, ReadBatch, Session, split_epochs
from nutmegdrum.settings import StreamSettings
from nutmegdrum.streams import StreamState
from nutmegdrum.suspicion import Suspicion
from nutmegdrum.turns import RecoveryTurns

OWNERSHIP_CHECK_MS = 1_000
HOLD_TIMEOUT_MS = 5_000
CHOOSE_POLL_MS = 50
RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000
_CANCEL_THREADS = 4
_ISOLATION_SHARE = 0.6


class Sleeper(Protocol):
    """Way to wait that a test can replace."""

    def __call__(self, seconds: float, /) -> object:
        """Wait."""
        ...


class StreamGuard(Protocol):
    """Finder of requests that crash backend servers, as streams see it."""

    def progressed(self, req: GenerationRequest, tokens: int, ended: bool) -> None:
        """Note that an attempt yielded `tokens` tokens so far."""
        ...

    def stream_lost(self, req: GenerationRequest, loss: BackendLost, tokens: int) -> None:
        """Note that an attempt was lost after it yielded `tokens` tokens.

        Raises
        ------
        Refusal
            If the request is named as the cause.
        """
        ...


class Relay:
    """Fetches the tokens of sessions from backend servers.

    Parameters
    ----------
    guard : StreamGuard or None
        Finds requests that crash backend servers.
    sleep : callable
        Waits some seconds between two questions to routing.
    """

    def __init__(
        self,
        cfg: StreamSettings,
        clock: Clock,
        protocol: BackendProtocol,
        routing: Routing,
        registry: Registry,
        sender: JournalSender,
        turns: RecoveryTurns,
        suspicion: Suspicion,
        sleep: Sleeper,
        guard: StreamGuard | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._protocol = protocol
        self._routing = routing
        self._registry = registry
        self._sender = sender
        self._turns = turns
        self._suspicion = suspicion
        self._sleep = sleep
        self._guard = guard
        self._cancels = ThreadPoolExecutor(_CANCEL_THREADS, thread_name_prefix="cancel")

    def read(self, session: Session, first_index: int = 0) -> Iterator[ReadBatch]:
        """Yield a session's items from `first_index` on; the last one is the finish.

        Raises
        ------
        Refusal
            If the generation can't go on here.
        """
        index = first_index
        while True:
            batch = self._next(session, index)
            if session.failure is not None:
                raise session.failure
            yield from split_epochs(session.lineage, batch)
            if isinstance(batch[-1], Finish):
                return
            index += len(batch)

    def _next(self, session: Session, index: int) -> Batch:
        while True:
            if session.released > index or session.ended:
                self._check_owner(session)
                return session.batch(index)
            with session.pump:
                if session.released <= index and not session.ended:
                    self.step(session)

    def _check_owner(self, session: Session) -> None:
        """Ask the holders after a pause whether another VM has taken the stream over."""
        if session.ended or not self._unconfirmed(session):
            return
        with session.pump:
            if self._unconfirmed(session):
                self.confirm(session)

    def _unconfirmed(self, session: Session) -> bool:
        return self._clock.elapsed_ms() - session.confirmed_ms > OWNERSHIP_CHECK_MS

    def confirm(self, session: Session) -> None:
        """Have the holders confirm that this VM owns the stream; the caller holds `pump`.

        The session has failed afterwards if they do not.
        """
        try:
            self._hold(session, "")
        except v.Refusal as refusal:
            self.fail(session, refusal)

    def step(self, session: Session) -> None:
        """Fetch a session's next items; the caller holds `pump`."""
        try:
            if session.attempt is None:
                self._begin(session)
            else:
                self._fetch(session, session.attempt)
        except v.Refusal as refusal:
            self.fail(session, refusal)

    def _begin(self, session: Session) -> None:
        stream = session.stream
        recovers = bool(stream.losses or stream.tokens)
        if recovers:
            self._await_turn(session)
        isolated, choice = self._choose(session, recovers)
        call = stream.begin(choice.backend.id, choice.version)
        attempt = Attempt(choice, call.attempt, isolated, self._clock.elapsed_ms())
        attempt.first_index = len(call.prefix)
        session.attempt = attempt
        self._routing.started(choice.backend.id, isolated)
        metrics.ATTEMPTS.labels("started").inc()
        if recovers:
            metrics.RECOVERY_PREFILL_TOKENS.inc(len(call.prefix))
            metrics.RECOVERY_PREFILL_CHARS.inc(len(call.prompt))
        connect_ms = int(self._cfg.connect_timeout)
        try:
            attempt.source = self._protocol.open(choice.backend, call, connect_ms)
        except BackendLost as loss:
            self._lose(session, attempt, loss)

    def _await_turn(self, session: Session) -> None:
        why = session.stream.spent()
        if why is not None:
            raise self._given_up(why)
        deadline = self._deadline(session)
        if not self._turns.wait(session.stream.req.priority, session.last_output_ms, deadline):
            raise self._given_up(v.RETRY_BUDGET_SPENT)

    def _deadline(self, session: Session) -> ElapsedMs:
        since = session.lost_at_ms or session.last_output_ms
        return ElapsedMs(since + int(self._cfg.recovery_deadline))

    def _given_up(self, why: v.Reason) -> v.Refusal:
        return v.Refusal(why, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)

    def _choose(self, session: Session, recovers: bool) -> tuple[bool, Choice]:
        """Return whether the attempt is kept apart, and where it goes.

        A recovery asks again until its deadline, at last without its own exclusions.
        """
        stream = session.stream
        deadline = self._deadline(session)
        asked = 0
        while True:
            left = deadline - self._clock.elapsed_ms()
            isolated = left > (1 - _ISOLATION_SHARE) * int(self._cfg.recovery_deadline)
            query = stream.query(isolated=isolated, exclude=asked % 2 == 0)
            choice = self._routing.choose(query)
            if not isinstance(choice, v.Reason):
                return query.isolated, choice
            if not recovers:
                raise v.Refusal(choice, v.Verdict.NOT_RUN, RETRY_AFTER_MS)
            if left <= 0:
                raise self._given_up(choice)
            asked += 1
            self._sleep(CHOOSE_POLL_MS / _MS_PER_S)

    def _fetch(self, session: Session, attempt: Attempt) -> None:
        assert attempt.source is not None
        timeout_ms = self._timeout_ms(session, attempt)
        waits_since = self._clock.elapsed_ms()
        try:
            items = attempt.source.next(timeout_ms)
        except BackendLost as loss:
            if loss.kind is LossKind.SILENT:
                now_ms = self._clock.elapsed_ms()
                self._suspicion.on_silence(attempt.choice.backend.id, timeout_ms, now_ms)
            self._lose(session, attempt, loss)
            return
        self._observe(attempt, waits_since)
        self._take(session, attempt, items)

    def _timeout_ms(self, session: Session, attempt: Attempt) -> int:
        now_ms = self._clock.elapsed_ms()
        backend = attempt.choice.backend.id
        if attempt.has_token:
            return self._suspicion.gap_timeout_ms(backend, now_ms)
        remaining = None
        if session.lost_at_ms is not None:
            remaining = self._deadline(session) - now_ms
        return self._suspicion.first_timeout_ms(backend, now_ms, remaining)

    def _observe(self, attempt: Attempt, waits_since: ElapsedMs) -> None:
        now_ms = self._clock.elapsed_ms()
        backend = attempt.choice.backend.id
        if attempt.has_token:
            self._suspicion.on_gap(backend, now_ms - waits_since, now_ms)
            return
        attempt.has_token = True
        self._suspicion.on_first_token(backend, now_ms - attempt.began_ms, now_ms)
        if attempt.isolated:
            self._routing.finished(backend, True, True)
            attempt.isolated = False
            self._routing.started(backend)

    def _take(self, session: Session, attempt: Attempt, items: Batch) -> None:
        stream = session.stream
        dropped = stream.dropped
        batch = stream.accept(attempt.number, items)
        if batch:
            self._release(session)
            if self._guard is not None:
                ended = stream.state is StreamState.FINISHED
                self._guard.progressed(stream.req, len(stream.tokens) - attempt.first_index, ended)
        if stream.state is StreamState.FINISHED:
            self._end_attempt(session, attempt, ok=True)
        elif stream.dropped != dropped:
            metrics.TOKENS_DROPPED.inc(stream.dropped - dropped)
            backend = attempt.choice.backend.id
            loss = BackendLost(backend, LossKind.ERROR, True, "tokens out of order")
            self._lose(session, attempt, loss)

    def _release(self, session: Session) -> None:
        stream = session.stream
        self._pin_version(session)
        finish = stream.finish
        self._hold(session, finish.reason.value if finish else "")
        session.released = len(stream.tokens)
        session.done = finish is not None
        session.last_output_ms = self._clock.elapsed_ms()
        if session.lost_at_ms is not None:
            waited_ms = session.last_output_ms - session.lost_at_ms
            metrics.RESUME_S.observe(waited_ms / _MS_PER_S)
            session.lost_at_ms = None
            self._registry.send(
                Event.STREAM_RECOVERED, generation=stream.generation, waited_ms=waited_ms
            )

    def _pin_version(self, session: Session) -> None:
        """Have the holders know the version that made the first token."""
        head = session.journalled.head
        if head.version == session.stream.version:
            return
        pinned = type(head)(
            request=head.request, version=session.stream.version, lineage=head.lineage
        )
        self._sender.replace_head(session.journalled, pinned)

    def _hold(self, session: Session, finish_reason: str) -> None:
        """Wait until all live holders have the stream as it is now."""
        held = self._sender.submit(session.journalled, finish_reason)
        if held is Held.WAITING:
            held = session.waiter.wait(session.journalled, HOLD_TIMEOUT_MS)
        if held is Held.SUPERSEDED:
            detail = "another VM goes on with this stream"
            raise v.Refusal(v.STALE_EPOCH, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS, detail)
        if held is Held.WAITING:
            raise v.Refusal(v.JOURNAL_LOST, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
        session.confirmed_ms = self._clock.elapsed_ms()

    def _lose(self, session: Session, attempt: Attempt, loss: BackendLost) -> None:
        now_ms = self._clock.elapsed_ms()
        if session.failure is not None:
            self._end_attempt(session, attempt, ok=True)
            return
        self._end_attempt(session, attempt, ok=False)
        session.stream.lose(attempt.number, loss.kind, now_ms)
        if session.lost_at_ms is None:
            session.lost_at_ms = session.last_output_ms if session.released else now_ms
        metrics.LOSSES.labels(loss.kind.value).inc()
        if loss.kind in (LossKind.SILENT, LossKind.ERROR):
            self._cancel(session, attempt)
        if loss.kind in (LossKind.BUSY, LossKind.NOT_LOADED):
            return
        self._routing.lost(loss.backend, loss.kind)
        self._registry.send(Event.BACKEND_LOST, backend=loss.backend, kind=loss.kind)
        if self._guard is not None:
            tokens = len(session.stream.tokens) - attempt.first_index
            self._guard.stream_lost(session.stream.req, loss, tokens)

    def _end_attempt(self, session: Session, attempt: Attempt, ok: bool) -> None:
        session.attempt = None
        self._routing.finished(attempt.choice.backend.id, ok, attempt.isolated)
        metrics.ATTEMPTS.labels("finished" if ok else "lost").inc()
        if attempt.source is not None:
            attempt.source.close()

    def _cancel(self, session: Session, attempt: Attempt) -> None:
        self._cancels.submit(
            self._protocol.cancel, attempt.choice.backend, session.generation, attempt.number
        )

    def cancel_attempt(self, session: Session) -> None:
        """Have the backend server end what a session runs, without waiting for `pump`."""
        attempt = session.attempt
        if attempt is not None:
            self._cancel(session, attempt)

    def fail(self, session: Session, refusal: v.Refusal) -> None:
        """End a session for all its readers; the caller holds `pump`."""
        session.failure = refusal
        self.abandon(session)

    def abandon(self, session: Session) -> None:
        """Cancel what a session runs and copy it no more; the caller holds `pump`."""
        attempt = session.attempt
        if attempt is not None:
            self._end_attempt(session, attempt, ok=attempt.has_token)
            self._cancel(session, attempt)
        session.stream.fail()
        self._sender.end(session.journalled)


def token_count(batch: Batch) -> int:
    """Return the number of tokens in a batch."""
    return sum(isinstance(item, Token) for item in batch)
