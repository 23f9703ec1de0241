"""Start of attempts: recovery rate, retry budget, selection of a backend server, connection."""

from collections.abc import Callable

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import ModelName
from nutmegdrum_scheduling.resends.kinds import Resend

from nutmegdrum import metrics
from nutmegdrum.attempts import Attempts
from nutmegdrum.backends import BackendProtocol
from nutmegdrum.deadlines import time_left
from nutmegdrum.logs import log_change
from nutmegdrum.messages import BackendLost, LossKind
from nutmegdrum.recovery_queue import RecoveryQueue, SleepFunction
from nutmegdrum.resends import Resends
from nutmegdrum.routing_query import Choice, Routing
from nutmegdrum.session import Attempt, Session
from nutmegdrum.settings import StreamSettings
from nutmegdrum.streams import Stream

CHOOSE_POLL_MS = 50
"""Interval at which a recovery asks routing again, in ms."""

RETRY_AFTER_MS = 1_000
"""Backoff hint of refusals, in ms."""

IGNORE_EXCLUSIONS_EVERY = 4
"""Interval at which a query ignores the stream's own exclusions, counted in queries that found no
eligible backend server."""

MAX_REJECTIONS = 4
"""Number of backend servers that may reject a request, or refuse a connection, before the caller is
refused."""

ISOLATION_SHARE = 0.6
"""Share of the recovery deadline during which a suspect waits for an isolated attempt."""

_MS_PER_S = 1_000


class AttemptStarter:
    """Starts the attempts of sessions on their readers' threads.

    Parameters
    ----------
    resends : Resends
        Allows or refuses to send a request again.
    sleep : callable
        Sleeps between two queries to routing or to the retry budget.
    is_cut_off : callable
        Returns whether other entry VMs reach a model's backend servers though this one does not.
    """

    def __init__(
        self,
        cfg: StreamSettings,
        clock: Clock,
        protocol: BackendProtocol,
        routing: Routing,
        recovery_queue: RecoveryQueue,
        resends: Resends,
        attempts: Attempts,
        sleep: SleepFunction,
        is_cut_off: Callable[[ModelName], bool] = lambda model: False,
    ):
        self._is_cut_off = is_cut_off
        self._cfg = cfg
        self._clock = clock
        self._protocol = protocol
        self._routing = routing
        self._recovery_queue = recovery_queue
        self._resends = resends
        self._attempts = attempts
        self._sleep = sleep

    def begin(self, session: Session) -> None:
        """Start a session's next attempt; the caller must hold its `starting` lock.

        Raises
        ------
        Refusal
            If the session cannot continue.
        """
        try:
            self._begin(session)
        except v.Refusal as refusal:
            refusal.sent = session.stream.sent
            raise

    def _begin(self, session: Session) -> None:
        stream = session.stream
        is_recovery = stream.is_recovery
        self._attempts.report_loss(session)
        if is_recovery:
            self._await_recovery_slot(session)
        elif stream.attempts >= MAX_REJECTIONS:
            raise _rejected_refusal(stream)
        if stream.sent and not stream.may_send_again:
            self._await_resend(session, is_recovery)
        isolated, choice = self._choose(session, is_recovery)
        with session.lock:
            if session.ended:
                return
            call = stream.begin(choice.backend.id, choice.version)
            attempt = Attempt(choice, call.attempt, isolated, self._clock.elapsed_ms())
            attempt.first_index = len(call.prefix)
            session.attempt = attempt
            self._attempts.record_start(session, attempt)
        if is_recovery:
            metrics.RECOVERY_PREFILL_TOKENS.inc(len(call.prefix))
            metrics.RECOVERY_PREFILL_CHARS.inc(len(call.prompt))
        connect_ms = time_left(
            session.answer_by, self._clock.elapsed_ms(), int(self._cfg.connect_timeout)
        )
        try:
            source = self._protocol.open(choice.backend, call, max(1, connect_ms))
        except BackendLost as loss:
            if loss.sent and loss.kind is not LossKind.REFUSED:
                self._on_sent(stream, is_recovery)
            with session.lock:
                self._attempts.lose(session, attempt, loss)
            return
        self._on_sent(stream, is_recovery)
        with session.lock:
            attempt.source = source
            if session.attempt is attempt:
                self._attempts.watch(session, attempt)
            else:
                source.close()

    def _await_recovery_slot(self, session: Session) -> None:
        reason = session.stream.exhausted_reason()
        if reason is not None:
            raise _recovery_refusal(reason)
        deadline = self._deadline(session)
        if self._reaches_no_server(session, deadline):
            raise _recovery_refusal(v.NO_BACKEND)
        if not self._recovery_queue.wait(
            session.stream.req.priority, session.last_output_ms, deadline
        ):
            raise _recovery_refusal(v.RETRY_BUDGET_SPENT)

    def _await_resend(self, session: Session, is_recovery: bool) -> None:
        """Wait for the retry budget; a request that has not begun is refused at once."""
        stream = session.stream
        model = stream.req.model
        if is_recovery:
            deadline = self._deadline(session)
            granted = self._resends.wait(
                model,
                Resend.RECOVERY,
                deadline,
                self._sleep,
                lambda: session.ended or stream.may_send_again,
            )
            with session.lock:
                stream.may_send_again = stream.may_send_again or granted
            if session.ended:
                raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
            if not stream.may_send_again:
                raise _recovery_refusal(v.RETRY_BUDGET_SPENT)
            return
        stream.may_send_again = self._resends.take(model, Resend.RETRY)
        if not stream.may_send_again:
            raise v.Refusal(v.RETRY_BUDGET_SPENT, v.Verdict.NOT_RUN, RETRY_AFTER_MS)

    def _on_sent(self, stream: Stream, is_recovery: bool) -> None:
        if stream.sent:
            reached = [loss.kind for loss in stream.losses if loss.kind is not LossKind.REFUSED]
            log_change(
                "generation-sent-again",
                generation=stream.generation,
                attempt=stream.attempt,
                backend=stream.backend,
                after=reached[-1].value if reached else "takeover",
                resend=(Resend.RECOVERY if is_recovery else Resend.RETRY).value,
            )
        stream.on_sent()

    def _reaches_no_server(self, session: Session, deadline: ElapsedMs) -> bool:
        stream = session.stream
        if stream.unreached_in_row >= MAX_REJECTIONS and self._is_cut_off(stream.req.model):
            return True
        return stream.unreached_in_row > 0 and self._clock.elapsed_ms() >= deadline

    def _deadline(self, session: Session) -> ElapsedMs:
        since = session.last_output_ms if session.lost_at_ms is None else session.lost_at_ms
        deadline = ElapsedMs(since + int(self._cfg.recovery_deadline))
        return deadline if session.answer_by is None else min(deadline, session.answer_by)

    def _choose(self, session: Session, is_recovery: bool) -> tuple[bool, Choice]:
        """Return whether the attempt is isolated, and its backend server and version.

        A recovery polls until its deadline, from time to time without its own exclusions. A
        request that has not begun is refused at once if no backend server is eligible.
        """
        stream = session.stream
        deadline = self._deadline(session)
        shared_ms = int((1 - ISOLATION_SHARE) * int(self._cfg.recovery_deadline))
        no_backend_count = 0
        while True:
            left = deadline - self._clock.elapsed_ms()
            exclude = no_backend_count % IGNORE_EXCLUSIONS_EVERY != IGNORE_EXCLUSIONS_EVERY - 1
            query = stream.query(isolated=left > shared_ms, exclude=exclude)
            choice = self._routing.choose(query)
            if not isinstance(choice, v.Reason):
                return query.isolated, choice
            if not is_recovery and stream.attempts and choice is v.NO_BACKEND:
                return query.isolated, self._choose_unreached(stream)
            if not is_recovery:
                raise _first_attempt_refusal(choice, query.model)
            if choice is v.NOT_FOUND:
                # The model was withdrawn during the request, which may have run to its end.
                choice = v.NO_BACKEND
            if left <= 0:
                raise _recovery_refusal(choice)
            if session.ended:
                raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
            no_backend_count += choice is v.NO_BACKEND
            self._sleep(CHOOSE_POLL_MS / _MS_PER_S)

    def _choose_unreached(self, stream: Stream) -> Choice:
        """Return a backend server to which no connection was established, but may be by now.

        Raises
        ------
        Refusal
            If another one has rejected the request.
        """
        if stream.unreached_in_row == stream.attempts:
            choice = self._routing.choose(stream.query(exclude=False))
            if not isinstance(choice, v.Reason):
                return choice
        raise _rejected_refusal(stream)


def _rejected_refusal(stream: Stream) -> v.Refusal:
    """Return the refusal of a request that has not begun on any backend server it was sent to."""
    reached = stream.unreached_in_row < stream.attempts
    why = v.OVERLOADED if reached else v.NO_BACKEND
    return v.Refusal(why, v.Verdict.NOT_RUN, RETRY_AFTER_MS)


def _first_attempt_refusal(reason: v.Reason, model: ModelName) -> v.Refusal:
    if reason is v.NOT_FOUND:
        return v.Refusal(reason, v.Verdict.NOT_RUN, detail=f"no model {model}")
    return v.Refusal(reason, v.Verdict.NOT_RUN, RETRY_AFTER_MS)


def _recovery_refusal(reason: v.Reason) -> v.Refusal:
    return v.Refusal(reason, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
