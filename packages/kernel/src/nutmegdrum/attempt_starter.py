"""Start of attempts: turn, choice of a backend server, connection."""

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import ModelName

from nutmegdrum import metrics
from nutmegdrum.attempts import Attempts
from nutmegdrum.backends import BackendProtocol
from nutmegdrum.messages import BackendLost
from nutmegdrum.recovery_queue import RecoveryQueue, SleepFunction
from nutmegdrum.routing_query import Choice, Routing
from nutmegdrum.session import Attempt, Session
from nutmegdrum.settings import StreamSettings

CHOOSE_POLL_MS = 50
RETRY_AFTER_MS = 1_000
MAX_EXCLUDING = 4
"""Questions after which one is asked without the stream's own exclusions."""

MAX_TURNED_AWAY = 4
"""Backend servers that may turn a request away before it is refused."""

ISOLATION_SHARE = 0.6
"""Share of the recovery deadline for which a suspect waits to be kept apart."""

_MS_PER_S = 1_000


class AttemptStarter:
    """Starts the attempts of sessions, on their readers' threads.

    Parameters
    ----------
    sleep : callable
        Waits some seconds between two questions to routing.
    """

    def __init__(
        self,
        cfg: StreamSettings,
        clock: Clock,
        protocol: BackendProtocol,
        routing: Routing,
        recovery_queue: RecoveryQueue,
        attempts: Attempts,
        sleep: SleepFunction,
    ):
        self._cfg = cfg
        self._clock = clock
        self._protocol = protocol
        self._routing = routing
        self._recovery_queue = recovery_queue
        self._attempts = attempts
        self._sleep = sleep

    def begin(self, session: Session) -> None:
        """Start a session's next attempt; the caller holds its `starting` lock.

        Raises
        ------
        Refusal
            If the session cannot go on.
        """
        stream = session.stream
        recovers = stream.recovers
        self._attempts.report_loss(session)
        if recovers:
            self._await_turn(session)
        isolated, choice = self._choose(session, recovers)
        with session.lock:
            if session.ended:
                return
            call = stream.begin(choice.backend.id, choice.version)
            attempt = Attempt(choice, call.attempt, isolated, self._clock.elapsed_ms())
            attempt.first_index = len(call.prefix)
            session.attempt = attempt
            self._attempts.began(session, attempt)
        if recovers:
            metrics.RECOVERY_PREFILL_TOKENS.inc(len(call.prefix))
            metrics.RECOVERY_PREFILL_CHARS.inc(len(call.prompt))
        try:
            source = self._protocol.open(choice.backend, call, int(self._cfg.connect_timeout))
        except BackendLost as loss:
            with session.lock:
                self._attempts.lose(session, attempt, loss)
            return
        with session.lock:
            attempt.source = source
            if session.attempt is attempt:
                self._attempts.watch(session, attempt)
            else:
                source.close()

    def _await_turn(self, session: Session) -> None:
        why = session.stream.exhausted_reason()
        if why is not None:
            raise _given_up(why)
        deadline = self._deadline(session)
        if not self._recovery_queue.wait(
            session.stream.req.priority, session.last_output_ms, deadline
        ):
            raise _given_up(v.RETRY_BUDGET_SPENT)

    def _deadline(self, session: Session) -> ElapsedMs:
        since = session.last_output_ms if session.lost_at_ms is None else session.lost_at_ms
        return ElapsedMs(since + int(self._cfg.recovery_deadline))

    def _choose(self, session: Session, recovers: bool) -> tuple[bool, Choice]:
        """Return whether the attempt is kept apart, and where it goes.

        A recovery asks until its deadline, after a while without its own exclusions. A request
        that has not begun is refused at once if nothing can take it, or too many turned it away.
        """
        stream = session.stream
        if not recovers and stream.attempts >= MAX_TURNED_AWAY:
            raise v.Refusal(v.OVERLOADED, v.Verdict.NOT_RUN, RETRY_AFTER_MS)
        deadline = self._deadline(session)
        shared_ms = int((1 - ISOLATION_SHARE) * int(self._cfg.recovery_deadline))
        none_left = 0
        while True:
            left = deadline - self._clock.elapsed_ms()
            exclude = none_left % MAX_EXCLUDING != MAX_EXCLUDING - 1
            query = stream.query(isolated=left > shared_ms, exclude=exclude)
            choice = self._routing.choose(query)
            if not isinstance(choice, v.Reason):
                return query.isolated, choice
            if not recovers:
                raise _refusal(choice, query.model)
            if choice is v.NOT_FOUND:
                # The model was withdrawn while the request ran, which it may have done to its end.
                choice = v.NO_BACKEND
            if left <= 0:
                raise _given_up(choice)
            if session.ended:
                raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
            none_left += choice is v.NO_BACKEND
            self._sleep(CHOOSE_POLL_MS / _MS_PER_S)


def _refusal(why: v.Reason, model: ModelName) -> v.Refusal:
    if why is v.NOT_FOUND:
        return v.Refusal(why, v.Verdict.NOT_RUN, detail=f"no model {model}")
    return v.Refusal(why, v.Verdict.NOT_RUN, RETRY_AFTER_MS)


def _given_up(why: v.Reason) -> v.Refusal:
    return v.Refusal(why, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
