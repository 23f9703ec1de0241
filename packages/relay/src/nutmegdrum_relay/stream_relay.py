"""Event streams: events are passed on as they arrive, over as many engines as it takes.

When an engine dies in the middle, the stream goes on at another one after its last event, within
the same answer. An engine that holds a copy of the run's KV cache goes first, since it need not
read the prompt again.
"""

from dataclasses import dataclass, field

from nutmegdrum.retries import RetryBudget
from nutmegdrum.units import Duration, parse_count
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from prometheus_client import Counter

from nutmegdrum_relay.attempts import (
    FAILED_STATUS,
    Attempt,
    AttemptLost,
    Attempts,
    PendingRequest,
    log_attempt_lost,
)
from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.callers import Call, CallerDisconnected
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.headers import answer_headers
from nutmegdrum_relay.retry_policy import FailedAttempts, Loss, may_retry
from nutmegdrum_relay.sse import Event, EventSplitter
from nutmegdrum_relay.upstream import ConnectionLost

FIRST_EVENT_TIMEOUT = Duration(9_000)
"""Wait for an answer's head, after which another engine is tried; docs/design/platform.md,
silent engines."""

EVENT_TIMEOUT = Duration(3_000)
"""Pause between whole events after which another engine is tried, whatever bytes come in it;
docs/design/platform.md, silent engines."""

_OK = 200

RESUMED = Counter("nutmegdrum_streams_resumed", "Streams that went on elsewhere", ["from_copy"])
BROKEN_OFF = Counter("nutmegdrum_streams_broken_off", "Streams that could not be finished")


@dataclass
class _Run:
    """What became of one stream so far."""

    last_event_id: str
    head_sent: bool = False
    failed_attempts: FailedAttempts = field(default_factory=FailedAttempts)
    tried: list[BackendId] = field(default_factory=list)
    copy: Backend | None = None
    last_loss: Loss = Loss.NOT_SENT
    went_on_from_copy: bool = False


class StreamRelay:
    """Relays event streams.

    Parameters
    ----------
    budget : RetryBudget
        Retries of this entry VM; recoveries count in it and are never refused by it.
    """

    def __init__(self, attempts: Attempts, clock: Clock, budget: RetryBudget):
        self._attempts = attempts
        self._clock = clock
        self._budget = budget

    def answer(self, call: Call, pending: PendingRequest) -> int:
        """Answer a call and return the status.

        Raises
        ------
        Refusal
            If no engine answered.
        CallerDisconnected
            If the caller left, or the stream had to be broken off.
        """
        self._budget.on_first_attempt()
        run = _Run(pending.terms.last_event_id)
        while True:
            left = pending.time_to_deadline(self._clock)
            backend, copy_at = self._next_engine(pending, run)
            if backend is None or left <= 0:
                return self._give_up(call, pending, run, left)
            try:
                return self._attempt(call, pending, run, backend, copy_at, left)
            except AttemptLost as lost:
                self._note(pending, run, backend, lost)
            if pending.caller_gone:
                raise CallerDisconnected
            if not self._goes_on(pending, run):
                return self._give_up(call, pending, run, pending.time_to_deadline(self._clock))

    def _next_engine(
        self, pending: PendingRequest, run: _Run
    ) -> tuple[Backend | None, Backend | None]:
        """Return the engine for the next attempt, and the one whose copy it goes on from."""
        copy, run.copy = run.copy, None
        if copy is not None:
            copy = self._attempts.successor(copy)
            if self._attempts.may_resume_at(pending, copy):
                return copy, copy
        return self._attempts.choose(pending, run.tried), None

    def _attempt(
        self,
        call: Call,
        pending: PendingRequest,
        run: _Run,
        backend: Backend,
        copy_at: Backend | None,
        left: Duration,
    ) -> int:
        run.tried.append(backend.id)
        run.went_on_from_copy = copy_at is not None
        run.copy = self._attempts.choose_copy(pending, backend, run.tried)
        attempt = self._attempts.begin(
            pending,
            backend,
            Duration(min(left, FIRST_EVENT_TIMEOUT)),
            last_event_id=run.last_event_id,
            copy_to=run.copy,
            copy_at=copy_at,
            time_left=left,
        )
        if run.failed_attempts.sent or run.failed_attempts.unsent:
            RESUMED.labels(str(copy_at is not None).lower()).inc()
        whole = failed = False
        try:
            status = self._forward(call, pending, run, attempt)
            whole = True
            failed = status >= FAILED_STATUS
            return status
        except AttemptLost:
            failed = True
            raise
        finally:
            self._attempts.end(pending, attempt, whole, failed)

    def _forward(self, call: Call, pending: PendingRequest, run: _Run, attempt: Attempt) -> int:
        status = attempt.answer.status
        if status != _OK:
            return self._forward_failure(call, pending, run, attempt)
        if not run.head_sent:
            run.head_sent = True
            call.start(status, answer_headers(attempt.answer.headers))
        splitter = EventSplitter()
        try:
            for piece in attempt.exchange.chunks(EVENT_TIMEOUT):
                self._attempts.on_data(attempt)
                progressed = self._write(call, run, attempt, splitter.feed(piece))
                left = pending.time_to_deadline(self._clock)
                if left <= 0:
                    raise AttemptLost(Loss.SILENT, "the deadline passed")
                if progressed:
                    attempt.exchange.extend(Duration(min(left, EVENT_TIMEOUT)))
        except TimeoutError as exc:
            raise AttemptLost(Loss.SILENT, "no event in time") from exc
        except ConnectionLost as exc:
            if not attempt.exchange.aborted:
                self._attempts.on_broken(attempt)
            raise AttemptLost(Loss.BROKEN, str(exc)) from exc
        if splitter.rest:
            raise AttemptLost(Loss.BROKEN, "the stream ended in the middle of an event")
        return status

    def _write(self, call: Call, run: _Run, attempt: Attempt, events: list[Event]) -> bool:
        """Pass new events on, and return whether any of them is more than a comment."""
        attempt.events += sum(not event.is_comment for event in events)
        new = [event for event in events if _follows(event.id, run.last_event_id)]
        if new:
            call.write(b"".join(event.data for event in new))
            run.last_event_id = new[-1].id or run.last_event_id
        return not all(event.is_comment for event in new)

    def _forward_failure(
        self, call: Call, pending: PendingRequest, run: _Run, attempt: Attempt
    ) -> int:
        body = self._attempts.read_body(pending, attempt, EVENT_TIMEOUT)
        may_go_on = (
            run.failed_attempts.sent + 1 < pending.route.max_attempts and pending.route.resumable
        )
        if run.head_sent or (attempt.answer.status >= FAILED_STATUS and may_go_on):
            raise AttemptLost(Loss.FAILED, f"status {attempt.answer.status}")
        call.answer(attempt.answer.status, answer_headers(attempt.answer.headers), body)
        return attempt.answer.status

    def _note(
        self, pending: PendingRequest, run: _Run, backend: Backend, lost: AttemptLost
    ) -> None:
        log_attempt_lost(pending, backend, lost, last_event=run.last_event_id)
        run.failed_attempts.record(lost.loss)
        run.last_loss = lost.loss
        if lost.loss.verdict is v.Verdict.NOT_RUN:
            run.copy = None
            if run.went_on_from_copy and lost.loss is Loss.NOT_RUN:
                # It has no copy, and may take the request without one.
                run.tried.remove(backend.id)
            return
        self._budget.on_recovery(self._clock.elapsed_ms())

    def _goes_on(self, pending: PendingRequest, run: _Run) -> bool:
        progress = run.failed_attempts.progress(pending.time_to_deadline(self._clock))
        again = may_retry(pending.route, run.last_loss, progress)
        return again and self._attempts.may_resend(pending)

    def _give_up(self, call: Call, pending: PendingRequest, run: _Run, left: Duration) -> int:
        if run.head_sent:
            BROKEN_OFF.inc()
            log_decision(
                "stream_broken_off",
                request=pending.terms.request_id,
                attempts=run.failed_attempts.sent,
                last_event=run.last_event_id,
                time_left_ms=int(left),
            )
            raise CallerDisconnected
        backoff_left = self._attempts.backoff_left(pending)
        raise run.failed_attempts.refusal(pending.route, left, v.BACKEND_LOST, backoff_left)


def _follows(event_id: str, last_id: str) -> bool:
    """Return whether an event is new; engines number a stream's events with rising numbers."""
    number, last = parse_count(event_id), parse_count(last_id)
    return number is None or last is None or number > last
