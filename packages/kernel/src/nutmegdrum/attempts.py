"""Running attempts: tokens, time-outs, losses and ends."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from typing import Protocol

from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import ServiceName

from nutmegdrum import metrics
from nutmegdrum.adaptive_timeouts import LONG_GAP_MS, AdaptiveTimeouts
from nutmegdrum.backends import BackendProtocol
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.logs import log_change
from nutmegdrum.messages import BackendLost, GenerationRequest, LossKind
from nutmegdrum.plugins import Event, Registry
from nutmegdrum.routing_query import Routing
from nutmegdrum.session import Attempt, Batch, Loss, Session
from nutmegdrum.settings import StreamSettings
from nutmegdrum.silence import ASK_INTERVAL_MS, Decision, Silences, SilentAttempt
from nutmegdrum.streams import StreamState
from nutmegdrum.token_loop import TokenLoop
from nutmegdrum.version_watch import AttemptInfo, VersionWatch, route_of

READ_TIMEOUT_MS = 50
"""Time-out of a read from a source that is readable, in ms."""

_CANCEL_THREADS = 8
_MS_PER_S = 1_000
PERMILLE = 1_000

ResendPermission = Callable[[ServiceName], bool]
"""Function that returns whether a request to a service may be sent again, and counts it if so."""

_PERMISSION_THREADS = 4

GAP_SAMPLE_EVERY = 32
"""Number of token batches per sample of the inter-token latency."""


class StreamGuard(Protocol):
    """Interface that streams use to report progress and losses for crash detection."""

    def on_progress(self, req: GenerationRequest, tokens: int, ended: bool) -> None:
        """Record that an attempt has yielded `tokens` tokens so far."""
        ...

    def on_stream_loss(self, req: GenerationRequest, loss: BackendLost, tokens: int) -> None:
        """Record that an attempt was lost after it yielded `tokens` tokens; may block.

        Raises
        ------
        Refusal
            If the request is quarantined as the cause.
        """
        ...


class Attempts:
    """Reads the items of all sessions' attempts, on the thread of a token loop.

    Parameters
    ----------
    guard : StreamGuard
        Receives progress and losses, to find requests that crash backend servers.
    watch : VersionWatch
        Receives the outcome of each attempt, to judge versions.
    may_resend : callable or None
        Asks for permission to send a request again; may block.
    """

    def __init__(
        self,
        cfg: StreamSettings,
        clock: Clock,
        protocol: BackendProtocol,
        routing: Routing,
        registry: Registry,
        sender: JournalSender,
        timeouts: AdaptiveTimeouts,
        guard: StreamGuard,
        watch: VersionWatch,
        may_resend: ResendPermission | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._protocol = protocol
        self._routing = routing
        self._registry = registry
        self._sender = sender
        self._timeouts = timeouts
        self._guard = guard
        self._watch = watch
        self._silences = Silences()
        self._may_resend = may_resend
        self._permissions = ThreadPoolExecutor(_PERMISSION_THREADS, thread_name_prefix="resends")
        self._loop: TokenLoop[tuple[Session, Attempt]] = TokenLoop("tokens", clock, self)
        self._cancels = ThreadPoolExecutor(_CANCEL_THREADS, thread_name_prefix="cancel")

    def start(self) -> None:
        """Start the token loop's thread."""
        self._loop.start()

    def stop(self) -> None:
        """Signal the threads to end."""
        self._loop.stop()
        self._cancels.shutdown(wait=False, cancel_futures=True)
        self._permissions.shutdown(wait=False, cancel_futures=True)

    def record_start(self, session: Session, attempt: Attempt) -> None:
        """Record the start of an attempt."""
        req = session.stream.req
        backend = attempt.choice.backend.id
        load = self._routing.load(backend)
        self._timeouts.on_load(backend, load)
        attempt.info = AttemptInfo(
            req.model, attempt.choice.version, req.adapter, route_of(req), int(load * PERMILLE)
        )
        self._watch.on_start(attempt.info)
        self._routing.started(backend, attempt.isolated)
        self._silences.on_start(attempt.choice.backend.service, backend, attempt.began_ms)
        metrics.ATTEMPTS.labels("started").inc()

    def watch(self, session: Session, attempt: Attempt) -> None:
        """Start reading an attempt's items."""
        assert attempt.source is not None
        attempt.key = (session, attempt)
        attempt.descriptor = attempt.source.fileno()
        self._loop.add(attempt.descriptor, attempt.key)

    def on_ready(self, key: tuple[Session, Attempt]) -> None:
        """Read the items that have arrived."""
        session, attempt = key
        with session.lock:
            if session.attempt is not attempt or session.failure is not None:
                self._loop.remove(attempt.descriptor, key)
                return
            items: Batch = []
            loss = self._read(attempt, items)
            if items:
                self._accept(session, attempt, items)
            if loss is not None and session.attempt is attempt:
                self.lose(session, attempt, loss)

    def _read(self, attempt: Attempt, items: Batch) -> BackendLost | None:
        """Append all items that have arrived to `items`; return the loss after them, if any."""
        source = attempt.source
        assert source is not None
        try:
            items += source.next(READ_TIMEOUT_MS)
            while source.pending():
                items += source.next(READ_TIMEOUT_MS)
        except BackendLost as loss:
            return loss
        return None

    def _accept(self, session: Session, attempt: Attempt, items: Batch) -> None:
        stream = session.stream
        if not stream.tokens:
            waited_ms = self._clock.elapsed_ms() - session.began_ms
            metrics.FIRST_TOKEN_S.observe(waited_ms / _MS_PER_S)
        self._record_arrival(attempt)
        dropped = stream.dropped
        if stream.accept(attempt.number, items):
            self._submit(session)
            ended = stream.state is StreamState.FINISHED
            tokens = len(stream.tokens) - attempt.first_index
            self._guard.on_progress(stream.req, tokens, ended)
        if stream.state is StreamState.FINISHED:
            self.end(session, attempt, ok=True)
        elif stream.dropped != dropped:
            metrics.TOKENS_DROPPED.inc(stream.dropped - dropped)
            backend = attempt.choice.backend.id
            loss = BackendLost(backend, LossKind.ERROR, True, "tokens out of order")
            self.lose(session, attempt, loss)

    def _record_arrival(self, attempt: Attempt) -> None:
        now_ms = self._clock.elapsed_ms()
        backend = attempt.choice.backend.id
        gap_ms = now_ms - attempt.last_ms
        attempt.last_ms = now_ms
        self._silences.on_output(attempt.choice.backend.service, backend, now_ms)
        if attempt.decision is not None:
            attempt.decision = None
            metrics.SILENCES.labels("ended").inc()
        if self._timeouts.timed_out:
            self._timeouts.on_activity(backend, now_ms)
        if attempt.has_token:
            if gap_ms >= LONG_GAP_MS:
                self._timeouts.on_gap(backend, gap_ms, now_ms)
            self._sample_gap(attempt, gap_ms)
            return
        attempt.has_token = True
        attempt.first_token_ms = now_ms - attempt.began_ms
        if attempt.info is not None:
            self._watch.on_first_token(attempt.info, attempt.first_token_ms)
        self._timeouts.on_first_token(backend, now_ms - attempt.began_ms, now_ms)
        if attempt.isolated:
            self._routing.finished(backend, True, True)
            attempt.isolated = False
            self._routing.started(backend)

    def _sample_gap(self, attempt: Attempt, gap_ms: int) -> None:
        attempt.batches += 1
        if attempt.batches % GAP_SAMPLE_EVERY == 0 and attempt.info is not None:
            self._watch.on_token_gap(attempt.info, gap_ms)

    def _submit(self, session: Session) -> None:
        """Submit the new tokens to the journal, and with the first one the pinned version."""
        stream = session.stream
        head = session.journalled.head
        if head.version != stream.version:
            pinned = type(head)(request=head.request, version=stream.version, lineage=head.lineage)
            self._sender.replace_head(session.journalled, pinned)
        session.last_output_ms = self._clock.elapsed_ms()
        self._sender.submit(session.journalled, stream.finish.reason.value if stream.finish else "")
        if session.lost_at_ms is not None:
            self._count_recovery(session, session.last_output_ms - session.lost_at_ms)
            session.lost_at_ms = None

    def _count_recovery(self, session: Session, waited_ms: int) -> None:
        metrics.RESUME_S.observe(waited_ms / _MS_PER_S)
        self._registry.send(
            Event.STREAM_RECOVERED,
            generation=session.generation,
            workspace=session.stream.req.workspace,
            waited_ms=waited_ms,
            prefilled=len(session.stream.tokens),
        )

    def on_idle(self, key: tuple[Session, Attempt], now_ms: ElapsedMs) -> None:
        """Hold or end an attempt whose backend server has been silent beyond its time-out."""
        session, attempt = key
        waited_ms = now_ms - attempt.last_ms
        if waited_ms < self._timeout_ms(session, attempt, now_ms):
            return
        with session.lock:
            if session.attempt is not attempt or now_ms - attempt.last_ms < waited_ms:
                return
            decision = self._decide(session, attempt, now_ms)
            if decision is not Decision.GIVE_UP:
                self._record_decision(session, attempt, decision, now_ms)
            elif (
                self._may_resend is None
                or session.stream.may_send_again
                or now_ms >= self._hold_deadline(session, attempt)
            ):
                self._give_up(session, attempt, now_ms)
            elif not attempt.asking and now_ms >= attempt.ask_from_ms:
                attempt.asking = True
                self._permissions.submit(self._ask, session, attempt, attempt.last_ms)

    def _decide(self, session: Session, attempt: Attempt, now_ms: ElapsedMs) -> Decision:
        backend = attempt.choice.backend
        deadline = self._hold_deadline(session, attempt)
        is_last = session.stream.is_last_attempt
        silent = SilentAttempt(backend.service, backend.id, deadline, is_last)
        return self._silences.decide(silent, now_ms)

    def _hold_deadline(self, session: Session, attempt: Attempt) -> ElapsedMs:
        since_ms = attempt.last_ms if session.lost_at_ms is None else session.lost_at_ms
        return ElapsedMs(since_ms + int(self._cfg.recovery_deadline))

    def _give_up(self, session: Session, attempt: Attempt, now_ms: ElapsedMs) -> None:
        backend = attempt.choice.backend.id
        self._record_decision(session, attempt, Decision.GIVE_UP, now_ms)
        self._timeouts.on_timeout(backend, now_ms - attempt.last_ms)
        self.lose(session, attempt, BackendLost(backend, LossKind.SILENT, True))

    def _ask(self, session: Session, attempt: Attempt, last_ms: ElapsedMs) -> None:
        """Ask for permission to send a request again, and give its silent attempt up with it."""
        assert self._may_resend is not None
        granted = False
        try:
            granted = self._may_resend(attempt.choice.backend.service)
        finally:
            with session.lock:
                self._on_permission(session, attempt, last_ms, granted)
                attempt.asking = False

    def _on_permission(
        self, session: Session, attempt: Attempt, last_ms: ElapsedMs, granted: bool
    ) -> None:
        now_ms = self._clock.elapsed_ms()
        attempt.ask_from_ms = ElapsedMs(now_ms + ASK_INTERVAL_MS)
        if session.attempt is not attempt or attempt.last_ms != last_ms:
            # The permission is lost; kept for a later send, it would exceed that window's budget.
            return
        if granted:
            session.stream.may_send_again = True
        if granted or now_ms >= self._hold_deadline(session, attempt):
            self._give_up(session, attempt, now_ms)
        else:
            self._record_decision(session, attempt, Decision.HOLD_UNPERMITTED, now_ms)

    def _record_decision(
        self, session: Session, attempt: Attempt, decision: Decision, now_ms: ElapsedMs
    ) -> None:
        if decision is attempt.decision:
            return
        attempt.decision = decision
        metrics.SILENCES.labels(decision.value).inc()
        log_change(
            "silent_attempt",
            generation=session.generation,
            backend=attempt.choice.backend.id,
            silent_ms=now_ms - attempt.last_ms,
            decision=decision.value,
        )

    def on_pause(self, key: tuple[Session, Attempt], now_ms: ElapsedMs) -> None:
        """Restart the silence timer, since this process itself was paused."""
        key[1].last_ms = now_ms

    def _timeout_ms(self, session: Session, attempt: Attempt, now_ms: ElapsedMs) -> int:
        backend = attempt.choice.backend.id
        if attempt.has_token:
            return self._timeouts.gap_timeout_ms(backend, now_ms)
        left_ms = None
        if session.lost_at_ms is not None:
            deadline_ms = session.lost_at_ms + int(self._cfg.recovery_deadline)
            left_ms = deadline_ms - attempt.began_ms
        return self._timeouts.first_timeout_ms(backend, now_ms, left_ms)

    def lose(self, session: Session, attempt: Attempt, loss: BackendLost) -> None:
        """End a lost attempt; the caller must hold the session's lock."""
        if session.failure is not None:
            self.end(session, attempt, ok=True)
            return
        now_ms = self._clock.elapsed_ms()
        self.end(session, attempt, ok=False, lost=loss.kind)
        session.stream.lose(attempt.number, loss.kind, now_ms)
        if session.lost_at_ms is None:
            session.lost_at_ms = session.last_output_ms if session.stream.tokens else now_ms
        metrics.LOSSES.labels(loss.kind.value).inc()
        if loss.kind in (LossKind.SILENT, LossKind.ERROR):
            self.cancel(session, attempt)
        self._report(session, attempt, loss)
        session.wake()

    def _report(self, session: Session, attempt: Attempt, loss: BackendLost) -> None:
        if loss.kind in (LossKind.BUSY, LossKind.NOT_LOADED):
            return
        self._routing.lost(loss.backend, loss.kind)
        self._registry.send(Event.BACKEND_LOST, backend=loss.backend, kind=loss.kind)
        session.unreported_loss = Loss(loss, len(session.stream.tokens) - attempt.first_index)

    def report_loss(self, session: Session) -> None:
        """Report the last loss; called on a reader's thread, since the report may block.

        Raises
        ------
        Refusal
            If the request is quarantined as the cause.
        """
        with session.lock:
            unreported_loss, session.unreported_loss = session.unreported_loss, None
        if unreported_loss is not None:
            self._guard.on_stream_loss(
                session.stream.req, unreported_loss.loss, unreported_loss.tokens
            )

    def end(
        self, session: Session, attempt: Attempt, ok: bool, lost: LossKind | None = None
    ) -> None:
        """End an attempt; the caller must hold the session's lock."""
        session.attempt = None
        if attempt.key is not None:
            self._loop.remove(attempt.descriptor, attempt.key)
        backend = attempt.choice.backend
        self._routing.finished(backend.id, ok, attempt.isolated)
        self._silences.on_end(backend.service, backend.id)
        metrics.ATTEMPTS.labels("finished" if ok else "lost").inc()
        self._count_end(session, attempt, lost)
        if attempt.source is not None:
            attempt.source.close()

    def _count_end(self, session: Session, attempt: Attempt, lost: LossKind | None) -> None:
        info = attempt.info
        if info is None:
            return
        req = session.stream.req
        if lost is not None:
            self._watch.on_loss(info, req, lost, attempt.first_token_ms)
        elif session.stream.state is StreamState.FINISHED:
            self._watch.on_finish(info, req, attempt.first_token_ms)
        else:
            self._watch.on_abandon(info)

    def cancel(self, session: Session, attempt: Attempt) -> None:
        """Cancel an attempt at its backend server, on another thread."""
        self._cancels.submit(
            self._protocol.cancel, attempt.choice.backend, session.generation, attempt.number
        )
