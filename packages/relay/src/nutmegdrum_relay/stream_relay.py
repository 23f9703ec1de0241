"""Relay of event streams, which resume at another engine after a failure.

When an engine fails during a stream, the stream resumes at another engine after its last event, and
the caller's answer continues. An engine that holds a copy of the run's KV cache is preferred, since
it need not repeat the prefill.
"""

from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

from nutmegdrum.units import Duration, parse_count
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_scheduling.resends.kinds import Resend
from prometheus_client import Counter

from nutmegdrum_relay.attempt import FAILED_STATUS, Attempt, AttemptLost, check_status
from nutmegdrum_relay.attempts import Attempts, log_attempt_lost
from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.callers import Call, CallerDisconnected
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.headers import answer_headers
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.resends import WAITS, Lack, Resends, WaitEnd
from nutmegdrum_relay.retry_policy import (
    MAX_UNSENT_ATTEMPTS,
    MIN_TIME_TO_RESUME,
    FailedAttempts,
    Loss,
    may_retry,
    resend_wait_end_ms,
    silence_attempts,
)
from nutmegdrum_relay.selection import Selection
from nutmegdrum_relay.sse import Event, EventSplitter
from nutmegdrum_relay.upstream import ConnectionLost

FIRST_EVENT_TIMEOUT = Duration(9_000)
"""Time-out of an answer's head, after which another engine is tried; docs/design/platform.md,
silent engines."""

EVENT_TIMEOUT = Duration(3_000)
"""Longest gap between complete events before another engine is tried, even if comments or partial
events arrive; docs/design/platform.md, silent engines."""

_OK = 200

RESUMED = Counter("nutmegdrum_streams_resumed", "Streams that went on elsewhere", ["from_copy"])
ABORTED = Counter("nutmegdrum_streams_broken_off", "Streams that could not be finished")


@dataclass
class _StreamState:
    """State of one stream over its attempts.

    Attributes
    ----------
    copy : Backend or None
        Engine that the last attempt's KV cache was to be copied to.
    has_run : bool
        Whether the last attempt's engine has sent data of its stream. Engines copy the cache of a
        run only from its first token on.
    last_event_ms : int
        Elapsed time in ms when the caller got its last event, or when its request had arrived.
    unreached : set of BackendId
        Servers in `tried` that the request did not reach, which may be tried again once they are
        up.
    """

    last_event_id: str
    last_event_ms: int
    head_sent: bool = False
    media_type: str = ""
    failed_attempts: FailedAttempts = field(default_factory=FailedAttempts)
    tried: list[BackendId] = field(default_factory=list)
    unreached: set[BackendId] = field(default_factory=set)
    copy: Backend | None = None
    has_run: bool = False
    last_loss: Loss = Loss.NOT_SENT
    resumed_from_copy: bool = False


class _CopyUnused(Enum):
    """Why a stream does not resume at the engine that was to hold its copy.

    Attributes
    ----------
    NOT_BEGUN
        The attempt ended before its run began.
    UNAVAILABLE
        The engine is not up, or there is no permit to send to it in time.
    """

    NOT_BEGUN = "not-begun"
    UNAVAILABLE = "unavailable"


class _Movable:
    """A stream as the silence monitor sees it."""

    def __init__(self, copy: Callable[[], Backend | None], may_move: Callable[[], bool]):
        self._copy = copy
        self.may_move = may_move

    @property
    def copy(self) -> Backend | None:
        return self._copy()


class StreamRelay:
    """Relays event streams.

    Parameters
    ----------
    resends : Resends
        Allows or refuses to send a request again.
    """

    def __init__(self, selection: Selection, attempts: Attempts, clock: Clock, resends: Resends):
        self._selection = selection
        self._attempts = attempts
        self._clock = clock
        self._resends = resends

    def answer(self, call: Call, pending: PendingRequest) -> int:
        """Answer a call and return the status.

        Raises
        ------
        Refusal
            If no engine answered.
        CallerDisconnected
            If the caller disconnected, or the stream had to be aborted.
        """
        self._resends.on_request(pending)
        state = _StreamState(pending.terms.last_event_id, call.received_ms)
        while True:
            backend, copy_at = self._next_engine(pending, state)
            left = pending.time_to_deadline(self._clock)
            if backend is None and self._wait_for_server(pending, state):
                continue
            if backend is None or left <= 0:
                return self._give_up(call, pending, state, left)
            # The choice may have waited for longer than the permission is valid.
            if not self._resends.allows(pending, self._resend_kind(state)):
                if self._wait(pending, state, Lack.PERMIT):
                    continue
                return self._give_up(call, pending, state, left)
            try:
                return self._attempt(call, pending, state, backend, copy_at, left)
            except AttemptLost as lost:
                self._record_failure(pending, state, backend, lost)
            if pending.caller_gone:
                raise CallerDisconnected
            if not self._may_continue(pending, state):
                return self._give_up(call, pending, state, pending.time_to_deadline(self._clock))

    def _next_engine(
        self, pending: PendingRequest, state: _StreamState
    ) -> tuple[Backend | None, Backend | None]:
        """Return the engine for the next attempt, and the one whose KV copy it resumes from."""
        copy, state.copy = state.copy, None
        if copy is not None:
            # Parts that arrive after a restart of the copy's engine are kept by its successor.
            copy = self._selection.successor(copy)
            reason = self._why_not_at_copy(pending, state, copy)
            if reason is None:
                return copy, copy
            log_decision(
                "copy_not_used",
                request=pending.terms.request_id,
                copy=copy.id,
                reason=reason.value,
            )
        return self._selection.choose(pending, state.tried), None

    def _why_not_at_copy(
        self, pending: PendingRequest, state: _StreamState, copy: Backend
    ) -> _CopyUnused | None:
        """Return why a stream cannot resume at the engine named for its copy; None if it can."""
        if not state.has_run:
            return _CopyUnused.NOT_BEGUN
        if not self._selection.may_resume_at(pending, copy):
            return _CopyUnused.UNAVAILABLE
        return None

    def _copy_of(self, state: _StreamState) -> Backend | None:
        """Return the engine with a copy of a running stream that has begun; None if none can be."""
        return state.copy if state.head_sent and state.has_run else None

    def _attempt(
        self,
        call: Call,
        pending: PendingRequest,
        state: _StreamState,
        backend: Backend,
        copy_at: Backend | None,
        left: Duration,
    ) -> int:
        state.tried.append(backend.id)
        state.resumed_from_copy = copy_at is not None
        state.copy = self._selection.choose_copy(pending, backend, state.tried)
        state.has_run = False
        attempt = self._attempts.begin(
            pending,
            backend,
            Duration(min(left, FIRST_EVENT_TIMEOUT)),
            lambda: self._longer(pending, state),
            last_event_id=state.last_event_id,
            copy_to=state.copy,
            copy_at=copy_at,
            time_left=left,
            stream=_Movable(lambda: self._copy_of(state), lambda: self._may_move(pending, state)),
        )
        if state.failed_attempts.sent or state.failed_attempts.unsent:
            RESUMED.labels(str(copy_at is not None).lower()).inc()
        complete = failed = False
        loss: Loss | None = None
        try:
            status = self._forward(call, pending, state, attempt)
            complete = True
            failed = status >= FAILED_STATUS
            return status
        except AttemptLost as lost:
            failed, loss = True, lost.loss
            raise
        finally:
            self._attempts.end(pending, attempt, complete, failed, loss)

    def _forward(
        self, call: Call, pending: PendingRequest, state: _StreamState, attempt: Attempt
    ) -> int:
        status = attempt.answer.status
        if status != _OK:
            return self._forward_failure(call, pending, state, attempt)
        media_type = _media_type(attempt.answer.headers)
        if state.media_type and media_type and media_type != state.media_type:
            raise AttemptLost(Loss.FAILED, f"an answer of type {media_type!r} within a stream")
        if not state.head_sent:
            state.head_sent = True
            state.media_type = media_type
            call.start(status, answer_headers(attempt.answer.headers))
            pending.on_answer_begun()
        splitter = EventSplitter()
        try:
            left = pending.time_to_deadline(self._clock)
            timeout = Duration(max(1, min(left, EVENT_TIMEOUT)))
            for piece in attempt.exchange.chunks(timeout, lambda: self._longer(pending, state)):
                self._attempts.on_data(pending, attempt)
                state.has_run = True
                progressed = self._write(call, state, attempt, splitter.feed(piece))
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
            raise AttemptLost(Loss.BROKEN, str(exc), attempt.exchange.aborted) from exc
        if splitter.rest:
            raise AttemptLost(Loss.BROKEN, "the stream ended in the middle of an event")
        pending.answer_whole = True
        return status

    def _write(
        self, call: Call, state: _StreamState, attempt: Attempt, events: list[Event]
    ) -> bool:
        """Send new events to the caller; return whether any of them is more than a comment.

        Raises
        ------
        AttemptLost
            If the stream contains text that is no event of it, after the events before that.
        """
        own = []
        for event in events:
            if not self._is_own(event, state, attempt):
                break
            attempt.events += not event.is_comment
            own.append(event)
        new = [event for event in own if _is_new(event.id, state.last_event_id)]
        if new:
            call.write(b"".join(event.data for event in new))
            if not all(event.is_comment for event in new):
                state.last_event_ms = self._clock.elapsed_ms()
            state.last_event_id = new[-1].id or state.last_event_id
        if len(own) < len(events):
            raise AttemptLost(Loss.BROKEN, "text that is no event of the stream")
        return not all(event.is_comment for event in new)

    def _is_own(self, event: Event, state: _StreamState, attempt: Attempt) -> bool:
        """Return whether an event belongs to the stream; one that goes on begins with a number."""
        if event.is_comment:
            return True
        goes_on = not attempt.events and parse_count(state.last_event_id) is not None
        return event.has_field and not (goes_on and parse_count(event.id) is None)

    def _forward_failure(
        self, call: Call, pending: PendingRequest, state: _StreamState, attempt: Attempt
    ) -> int:
        body = self._attempts.read_body(pending, attempt, EVENT_TIMEOUT)
        may_continue = (
            state.failed_attempts.sent + 1 < pending.route.max_attempts and pending.route.resumable
        )
        status = attempt.answer.status
        if state.head_sent or (status >= FAILED_STATUS and may_continue):
            raise AttemptLost(Loss.FAILED, f"status {status}")
        check_status(pending.route, status)
        pending.answer_whole = True
        call.answer(status, answer_headers(attempt.answer.headers), body)
        return status

    def _record_failure(
        self, pending: PendingRequest, state: _StreamState, backend: Backend, lost: AttemptLost
    ) -> None:
        log_attempt_lost(pending, backend, lost, last_event=state.last_event_id)
        servers = self._attempts.servers_reached(pending, backend)
        state.failed_attempts.record(lost.loss, servers)
        pending.sent = state.failed_attempts.sent
        state.last_loss = lost.loss
        if lost.loss is Loss.NOT_SENT and not backend.is_entry_vm:
            state.unreached.add(backend.id)
        else:
            state.unreached.discard(backend.id)
        if lost.loss.verdict is v.Verdict.NOT_RUN:
            state.copy = None
            if state.resumed_from_copy and lost.loss is Loss.NOT_RUN:
                # The engine has no copy, but may accept the request without one.
                state.tried.remove(backend.id)

    def _may_move(self, pending: PendingRequest, state: _StreamState) -> bool:
        """Return whether a stream may leave an engine that is only silent.

        An attempt is kept for an engine that fails for certain.
        """
        attempts = state.failed_attempts.sent + 2
        if not pending.route.resumable or attempts > silence_attempts(pending.route):
            return False
        if not self._selection.has_other(pending, state.tried):
            return False
        return self._attempts.may_resend(pending) and self._resends.allows(pending, Resend.RECOVERY)

    def _longer(self, pending: PendingRequest, state: _StreamState) -> Duration:
        """Return how much longer to wait for an event; 0 if the stream moves, or at its end."""
        left = pending.time_to_deadline(self._clock)
        if left <= 0 or self._may_move(pending, state):
            return Duration(0)
        return Duration(min(left, EVENT_TIMEOUT))

    def _may_continue(self, pending: PendingRequest, state: _StreamState) -> bool:
        progress = state.failed_attempts.progress(pending.time_to_deadline(self._clock))
        # Servers that refuse connections come up again and again while the caller still waits.
        unreachable = progress.unsent >= MAX_UNSENT_ATTEMPTS and not state.last_loss.reached_backend
        if unreachable:
            progress = progress._replace(unsent=0)
        retry = may_retry(pending.route, state.last_loss, progress)
        retry = retry and progress.left >= MIN_TIME_TO_RESUME
        retry = retry and self._attempts.may_resend(pending)
        if not retry:
            return False
        # An entry VM to which the request was passed on does not wait, and tries any server.
        available = self._selection.has_untried if pending.passed_on else self._selection.can_send
        if unreachable or not available(pending, state.tried):
            # A permission taken now would be held while the stream waits for a server.
            return self._wait_for_server(pending, state)
        if self._resends.allows(pending, self._resend_kind(state)):
            return True
        return self._wait(pending, state, Lack.PERMIT)

    def _wait_for_server(self, pending: PendingRequest, state: _StreamState) -> bool:
        """Wait until a backend server is up; return False if there is none in time.

        A request that all servers have rejected is refused instead, with the time to retry.
        """
        ran = state.failed_attempts.verdict is not v.Verdict.NOT_RUN
        if not (state.head_sent or ran or state.unreached):
            return False
        return self._wait(pending, state, Lack.SERVER)

    def _reached(self, state: _StreamState) -> list[BackendId]:
        return [backend for backend in state.tried if backend not in state.unreached]

    def _wait(self, pending: PendingRequest, state: _StreamState, lacks: Lack) -> bool:
        """Wait until a stream may be sent again; return False if it may not be in time.

        Raises
        ------
        CallerDisconnected
            If the caller disconnected meanwhile.
        """
        until_ms = resend_wait_end_ms(pending.route, state.last_event_ms, pending.deadline_ms)
        began_ms = self._clock.elapsed_ms()
        if pending.passed_on or began_ms >= until_ms:
            # The entry VM that passed the request on knows how long its caller has waited.
            return False
        kind, tried = self._resend_kind(state), self._reached(state)
        has_server = {
            Lack.PERMIT: self._selection.can_send,
            Lack.SERVER: self._selection.has_server,
        }[lacks]
        end = self._resends.wait(
            pending,
            kind,
            until_ms,
            lambda: has_server(pending, tried),
            lambda: self._attempts.may_resend(pending),
        )
        now_ms = self._clock.elapsed_ms()
        WAITS.labels(lacks.value, end.value).inc()
        log_decision(
            "resend_waited",
            request=pending.terms.request_id,
            service=pending.service.name,
            resend=kind.value,
            lacks=lacks.value,
            end=end.value,
            waited_ms=now_ms - began_ms,
            since_event_ms=now_ms - state.last_event_ms,
            time_left_ms=int(pending.time_to_deadline(self._clock)),
        )
        if end is WaitEnd.CALLER_GONE:
            raise CallerDisconnected
        if end is WaitEnd.AVAILABLE:
            state.tried = tried
            state.failed_attempts.on_waited()
        return end is WaitEnd.AVAILABLE

    def _resend_kind(self, state: _StreamState) -> Resend:
        """Return a recovery for a stream that has begun, which is lost if it is not sent again."""
        begun = state.head_sent or state.failed_attempts.verdict is not v.Verdict.NOT_RUN
        return Resend.RECOVERY if begun else Resend.RETRY

    def _give_up(
        self, call: Call, pending: PendingRequest, state: _StreamState, left: Duration
    ) -> int:
        if state.head_sent:
            ABORTED.inc()
            log_decision(
                "stream_broken_off",
                request=pending.terms.request_id,
                attempts=state.failed_attempts.sent,
                last_event=state.last_event_id,
                time_left_ms=int(left),
            )
            raise CallerDisconnected
        backoff_left = self._selection.backoff_left(pending)
        raise state.failed_attempts.refusal(pending.route, left, v.BACKEND_LOST, backoff_left)


def _media_type(headers: Headers) -> str:
    types = [value for name, value in headers if name.lower() == "content-type"]
    return types[0].partition(";")[0].strip().lower() if types else ""


def _is_new(event_id: str, last_id: str) -> bool:
    """Return whether an event is new; engines number the events of a stream in rising order."""
    number, last = parse_count(event_id), parse_count(last_id)
    return number is None or last is None or number > last
