"""Single attempts to send a request to a backend server, with their accounting."""

import random

from nutmegdrum.bounded_http import Extend, give_up
from nutmegdrum.permits import Permits
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.quarantine import EARLY_TOKENS
from nutmegdrum_coord.verdict import Refusal
from prometheus_client import Counter

from nutmegdrum_relay.attempt import Attempt, AttemptLost
from nutmegdrum_relay.attempt_tally import AttemptTally
from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.crash_watch import BEGINNING, BrokenAttempt, CrashWatch
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import AnswerTerms, AttemptTerms, Dialect, Headers
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.entry_peers import other_vm_sent
from nutmegdrum_relay.fleet_work import SharedWork
from nutmegdrum_relay.links import Links
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.request_costs import RequestCosts
from nutmegdrum_relay.retry_policy import Loss
from nutmegdrum_relay.running import MovableStream, RunningStream, RunningStreams
from nutmegdrum_relay.stored_answer import NoRoom, StoredAnswer, declared_length
from nutmegdrum_relay.targets import EntryVmTarget, ServerTarget, Target
from nutmegdrum_relay.upstream import (
    CONNECT_TIMEOUT,
    AbortReason,
    AnswerHead,
    ConnectFailed,
    ConnectionLost,
    Exchange,
    UpstreamPool,
)
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_relay.views import NO_WORK, Work

BODY_GRACE = Duration(150)
"""Extra time after the deadline to read the rest of an answer that has begun, so that finished
answers are still delivered; requests may be held 250 ms too long (the users' price list)."""


DISCARD_TIMEOUT = Duration(100)
"""Time-out of the body of an answer that is not forwarded."""

RESENT = Counter(
    "nutmegdrum_requests_resent", "Requests sent again, by the loss before", ["service", "reason"]
)


def log_attempt_lost(
    pending: PendingRequest, backend: Backend, lost: AttemptLost, **more: object
) -> None:
    """Log an attempt that ended without an answer to forward, and record why it is repeated."""
    if lost.loss is not Loss.NOT_SENT:
        pending.resend_reason = lost.reason
    log_decision(
        "attempt_lost",
        request=pending.terms.request_id,
        fingerprint=pending.fingerprint,
        backend=backend.id,
        loss=lost.loss.value,
        reason=lost.reason,
        **more,
        detail=str(lost),
    )


def _copy_work(pending: PendingRequest) -> Work:
    return Work(0, pending.demand.tokens, copied=pending.demand.tokens)


class Attempts:
    """Sends requests to backend servers; thread-safe.

    Parameters
    ----------
    shared : SharedWork
        Learns when this VM's work has changed.
    gate : VersionGate
        Counts the results of versions under trial.
    crash_watch : CrashWatch
        Detects requests that crash backend servers.
    permits : Permits
        Learns of rejections by servers that can bear only a few.
    links : Links
        Learns which backend servers this VM can reach.

    Attributes
    ----------
    costs : RequestCosts
        Expected costs of requests, learned from complete answers.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        dialect: Dialect,
        backends: Backends,
        upstream: UpstreamPool,
        running: RunningStreams,
        shared: SharedWork,
        gate: VersionGate,
        crash_watch: CrashWatch,
        permits: Permits,
        links: Links,
    ):
        self._clock = clock
        self._dialect = dialect
        self._servers = ServerTarget(rng, dialect, backends, permits, links)
        self._entry_vms = EntryVmTarget(dialect)
        self._backends = backends
        self._upstream = upstream
        self._running = running
        self._shared = shared
        self._tally = AttemptTally(clock, gate)
        self._crash_watch = crash_watch
        self.costs = RequestCosts(clock, backends)

    def may_resend(self, pending: PendingRequest) -> bool:
        """Return whether a request may be sent once more; it may be quarantined by now."""
        if pending.ended:
            return False
        try:
            self._crash_watch.check(pending.fingerprint, pending.terms.request_id, pending.parts)
        except Refusal:
            return False
        return True

    def begin(
        self,
        pending: PendingRequest,
        backend: Backend,
        timeout: Duration,
        extend: Extend = give_up,
        last_event_id: str = "",
        copy_to: Backend | None = None,
        copy_at: Backend | None = None,
        time_left: Duration | None = None,
        stream: MovableStream | None = None,
    ) -> Attempt:
        """Send the request and wait for the response headers.

        The caller must finish the attempt with `end`.

        Parameters
        ----------
        timeout : Duration
            Longest wait for the response headers.
        time_left : Duration or None
            Time limit passed to the backend server; `timeout` if None.
        extend : callable
            Returns how much longer to wait after the time-out; 0 to give up.
        copy_to, copy_at : Backend or None
            Engine that is to get a copy of the run's KV cache, and engine that holds one.
        stream : MovableStream or None
            Stream that may leave the engine if it falls silent.

        Raises
        ------
        AttemptLost
            If no answer arrived that can be forwarded.
        """
        work = Work(
            0 if copy_at is not None else pending.demand.prompt_tokens, pending.demand.tokens
        )
        pace = self.costs.begin_pace(pending, backend)
        # Count it before connecting, as other entry VMs place requests in the meantime.
        self._backends.add(backend, work)
        self._report_changed(work)
        tally_key = self._tally.key(pending, backend)
        sent_ms = self._clock.elapsed_ms()
        wait = self._tally.begin_wait(backend, tally_key, sent_ms)
        try:
            exchange = self._open(pending, backend)
        except AttemptLost as lost:
            self._tally.end_wait(wait, answered=False)
            self._tally.on_loss(pending, tally_key, lost)
            self._backends.remove(backend, work)
            self._report_changed(work)
            raise
        if stream is not None and not backend.is_entry_vm:
            now_ms = self._clock.elapsed_ms()
            self._running.add(RunningStream(exchange, backend, now_ms, stream))
        pending.set_exchange(exchange)
        self._crash_watch.beginning.add(exchange, (pending.fingerprint, *pending.parts))
        try:
            terms = AttemptTerms(
                backend=backend.id,
                time_left=time_left or timeout,
                workspace=pending.workspace,
                urgency=pending.urgency,
                last_event_id=last_event_id,
                copy_to=copy_to.address if copy_to else None,
                copy_at=copy_at.address if copy_at else None,
            )
            headers = self._target(backend).headers(pending, terms)
            if pending.ended:
                raise AttemptLost(Loss.NOT_SENT, "this VM is being stopped", exchange.aborted)
            self._count_send(pending)
            log_decision(
                "attempt_sent",
                request=pending.terms.request_id,
                backend=backend.id,
                send=pending.sends,
                resend_reason=pending.resend_reason,
                route=pending.route.name,
                unread=backend.work.unread,
                resident=backend.work.resident,
                others_unread=backend.others_work.unread,
                others_resident=backend.others_work.resident,
                others_age_ms=self._backends.others_age(),
                expected_output=pending.demand.expected_output,
                expected_ms=int(pending.demand.time()),
                pace=backend.usual_pace,
                slowness=backend.slowness_factor(sent_ms, pending.demand.time()),
                slowness_age_ms=backend.slowness.age(sent_ms),
                kept_connection=exchange.reused,
                time_left_ms=int(time_left or timeout),
                last_event=last_event_id,
                copy_to=copy_to.id if copy_to else None,
                copy_at=copy_at.id if copy_at else None,
            )
            attempt = self._exchange(
                pending, backend, exchange, headers, timeout, extend, from_copy=copy_at is not None
            )
        except AttemptLost as lost:
            self._tally.end_wait(wait, answered=False)
            self._tally.on_loss(pending, tally_key, lost)
            if lost.loss is Loss.BROKEN and not exchange.aborted:
                self._report_broken(pending, backend, sent_ms)
            self._end(pending, backend, exchange, work, keep=lost.loss is Loss.NOT_RUN)
            raise
        except Exception:
            self._tally.end_wait(wait, answered=False)
            self._end(pending, backend, exchange, work, keep=False)
            raise
        attempt.work = work
        attempt.tally_key = tally_key
        attempt.wait = wait
        attempt.sent_ms = sent_ms
        attempt.pace = pace
        if copy_to is not None:
            attempt.copy = copy_to
            self._backends.change_work(copy_to, _copy_work(pending), NO_WORK)
        return attempt

    def _count_send(self, pending: PendingRequest) -> None:
        if pending.sends:
            RESENT.labels(pending.service.name, pending.resend_reason).inc()
        pending.sends += 1
        pending.may_send_again = False

    def _target(self, backend: Backend) -> Target:
        return self._entry_vms if backend.is_entry_vm else self._servers

    def servers_reached(self, pending: PendingRequest, backend: Backend) -> int:
        """Return how many backend servers one attempt may reach: several if it is passed on."""
        return self._target(backend).servers_reached(pending)

    def _report_changed(self, work: Work) -> None:
        if work:
            self._shared.on_work_changed()

    def _open(self, pending: PendingRequest, backend: Backend) -> Exchange:
        fresh = pending.route.kind is not RouteKind.IDEMPOTENT
        left = max(1, pending.time_to_deadline(self._clock))
        began_ms = self._clock.elapsed_ms()
        try:
            exchange = self._upstream.open(
                backend.id,
                backend.address,
                fresh,
                timeout=Duration(min(CONNECT_TIMEOUT, left)),
                request_id=pending.terms.request_id,
            )
        except ConnectFailed as exc:
            if left < CONNECT_TIMEOUT and pending.time_to_deadline(self._clock) <= 0:
                # The server had less time than a lost packet takes, which says nothing about it.
                raise AttemptLost(Loss.NOT_SENT, str(exc)) from exc
            self._target(backend).on_connect(backend, connected=False)
            timed_out = self._clock.elapsed_ms() - began_ms >= CONNECT_TIMEOUT
            self._backends.on_down(backend, "no-connection", silent=timed_out)
            self._upstream.close_idle(backend.id)
            raise AttemptLost(Loss.NOT_SENT, str(exc)) from exc
        if not exchange.reused:
            self._target(backend).on_connect(backend, connected=True)
        return exchange

    def _exchange(
        self,
        pending: PendingRequest,
        backend: Backend,
        exchange: Exchange,
        headers: Headers,
        timeout: Duration,
        extend: Extend,
        from_copy: bool,
    ) -> Attempt:
        sent_ms = self._clock.elapsed_ms()
        try:
            exchange.send(pending.method, pending.target, pending.headers + headers, pending.body)
            answer = exchange.receive(timeout, extend)
        except TimeoutError as exc:
            self._backends.on_answer(backend, failed=True)
            self._target(backend).on_silence(backend, sent_ms)
            raise AttemptLost(Loss.SILENT, "no response headers in time") from exc
        except ConnectionLost as exc:
            self._backends.on_answer(backend, failed=True)
            raise AttemptLost(Loss.BROKEN, str(exc), exchange.aborted) from exc
        self._backends.on_data(backend)
        loss = self._target(backend).refusal_loss(answer.headers)
        if loss is not None:
            if loss is Loss.NOT_SENT and not other_vm_sent(answer.headers):
                pending.sends -= 1
                pending.may_send_again = pending.sends > 0
            self._discard_body(exchange)
            raise AttemptLost(loss, f"the entry VM refused it with status {answer.status}")
        terms = self._dialect.answer_terms(answer.status, dict(answer.headers))
        self._target(backend).on_answer(backend, terms)
        self._check(pending, backend, exchange, answer, terms, from_copy)
        return Attempt(backend, exchange, answer)

    def _check(
        self,
        pending: PendingRequest,
        backend: Backend,
        exchange: Exchange,
        answer: AnswerHead,
        terms: AnswerTerms,
        from_copy: bool,
    ) -> None:
        own = terms.request_id == pending.terms.request_id
        # On a kept connection, an answer without an id may be an earlier one sent once more.
        own = own or (not terms.request_id and not exchange.reused)
        if terms.other_backend and own:
            self._backends.on_replaced(backend)
            self._upstream.close_idle(backend.id)
            raise AttemptLost(Loss.OTHER_BACKEND, "another backend server has the address")
        if terms.not_run and own:
            if not from_copy:
                # An engine without the copy rejects the resumption whether it is full or not.
                self._target(backend).on_rejected(backend)
            exchange.refused = pending.terms.request_id
            self._discard_body(exchange)
            raise AttemptLost(Loss.NOT_RUN, f"status {answer.status}")
        if terms.request_id != pending.terms.request_id:
            exchange.abort(AbortReason.UNUSABLE_ANSWER)
            raise AttemptLost(Loss.BROKEN, "the answer belongs to another request")

    def _discard_body(self, exchange: Exchange) -> None:
        """Read a short answer to its end so that the connection can be reused."""
        try:
            for _ in exchange.chunks(DISCARD_TIMEOUT):
                pass
        except (TimeoutError, ConnectionLost):
            exchange.abort(AbortReason.UNUSABLE_ANSWER)

    def on_broken(self, attempt: Attempt) -> None:
        """Pause an engine that broke off a stream; most such engines have crashed."""
        self._backends.on_down(attempt.backend, "stream-broken")

    def read_body(
        self, pending: PendingRequest, attempt: Attempt, timeout: Duration
    ) -> bytes | bytearray:
        """Return the whole body; wait at most `BODY_GRACE` beyond the deadline.

        Raises
        ------
        AttemptLost
            If the body broke off or did not end in time, or no memory was left for it.
        """
        left = Duration(max(0, pending.time_to_deadline(self._clock)) + BODY_GRACE)
        stored = StoredAnswer(pending.memory, declared_length(attempt.answer.headers))
        try:
            stored.reserve(Duration(min(timeout, left)))
            for piece in attempt.exchange.chunks(Duration(min(timeout, left))):
                stored.add(piece)
            return stored.keep()
        except TimeoutError as exc:
            raise AttemptLost(Loss.SILENT, "the body did not end in time") from exc
        except ConnectionLost as exc:
            raise AttemptLost(Loss.BROKEN, str(exc), attempt.exchange.aborted) from exc
        except NoRoom as exc:
            log_decision(
                "answer_not_stored",
                request=pending.terms.request_id,
                backend=attempt.backend.id,
                stored_bytes=exc.stored,
                declared_bytes=exc.declared,
            )
            reason = AbortReason.NO_MEMORY
            attempt.exchange.abort(reason)
            raise AttemptLost(Loss.SILENT, "no memory was left for the answer", reason) from exc
        finally:
            stored.close()

    def on_data(self, pending: PendingRequest, attempt: Attempt) -> None:
        """Record a received chunk of the answer; the first one ends the prompt's prefill."""
        self._backends.on_data(attempt.backend)
        if attempt.first_data_ms is None:
            attempt.first_data_ms = self._clock.elapsed_ms()
        if self._clock.elapsed_ms() - attempt.first_data_ms >= BEGINNING:
            self._check_past_beginning(pending, attempt)
        self._tally.on_chunk(attempt)
        attempt.pace.on_chunk(self._clock.elapsed_ms(), attempt.events)
        if attempt.work.unread:
            read = Work(attempt.work.unread, 0)
            attempt.work -= read
            self._backends.change_work(attempt.backend, NO_WORK, read)
            self._shared.on_work_changed()

    def end(
        self,
        pending: PendingRequest,
        attempt: Attempt,
        keep: bool,
        failed: bool,
        loss: Loss | None = None,
    ) -> None:
        """Finish an attempt.

        Parameters
        ----------
        keep : bool
            Whether the answer was read to its end, so that the connection can be reused.
        failed : bool
            Whether the attempt counts as a failure of the backend server.
        loss : Loss or None
            How the answer was lost, if it was.
        """
        self._backends.on_answer(attempt.backend, failed)
        self._tally.end_wait(attempt.wait, answered=not failed)
        self._tally.on_end(pending, attempt, failed)
        if not failed:
            self._crash_watch.on_success(pending.fingerprint)
            self._check_past_beginning(pending, attempt)
            if keep:
                self.costs.record(pending, attempt)
        elif loss is Loss.BROKEN and not attempt.exchange.aborted:
            self._report_broken(
                pending, attempt.backend, attempt.sent_ms, attempt.events, attempt.first_data_ms
            )
        if attempt.copy is not None:
            self._backends.change_work(attempt.copy, NO_WORK, _copy_work(pending))
        self._end(pending, attempt.backend, attempt.exchange, attempt.work, keep)

    def _check_past_beginning(self, pending: PendingRequest, attempt: Attempt) -> None:
        if attempt.events > EARLY_TOKENS and not attempt.past_beginning:
            attempt.past_beginning = True
            self._crash_watch.beginning.remove(attempt.exchange)
            self._crash_watch.on_sound_start(pending.parts)

    def _report_broken(
        self,
        pending: PendingRequest,
        backend: Backend,
        sent_ms: int,
        events: int = 0,
        first_event_ms: int | None = None,
    ) -> None:
        if pending.caller_gone or backend.is_entry_vm:
            return
        self._crash_watch.on_broken(
            BrokenAttempt(
                fingerprint=pending.fingerprint,
                backend=backend.id,
                address=backend.address,
                sent_ms=sent_ms,
                events=events,
                first_event_ms=first_event_ms,
                parts=pending.parts,
            )
        )

    def _end(
        self, pending: PendingRequest, backend: Backend, exchange: Exchange, work: Work, keep: bool
    ) -> None:
        pending.set_exchange(None)
        self._crash_watch.beginning.remove(exchange)
        self._running.remove(backend, exchange)
        self._backends.remove(backend, work)
        self._report_changed(work)
        if keep:
            self._upstream.keep(backend.id, exchange)
        else:
            exchange.close()
