"""Retry policy: whether and when a request is sent again after a failed attempt."""

from collections.abc import Collection
from enum import Enum
from typing import NamedTuple

from nutmegdrum.units import Duration
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_coord.verdict import (
    DEADLINE_UNREACHABLE,
    NO_BACKEND,
    Reason,
    Refusal,
    Verdict,
)

from nutmegdrum_relay.documents import Route, RouteKind

MAX_UNSENT_ATTEMPTS = 8
"""Attempts of one request that may fail to reach a backend server; enough to try
each of a data centre's three twice."""

MAX_BACKOFF_HINT = Duration(1_000)
"""Longest backoff hint for a refused caller; a crashed engine restarts faster."""

OBJECTIVES_BEFORE_RETRY = 2
"""Time-out of an attempt that can be retried, in latency objectives of the route."""


PERMIT_WAIT_DIVISOR = 2
"""Divisor of the latency objective that gives the longest wait for a permit; the rest is for the
backend server."""

MAX_STREAM_WAIT = Duration(1_500)
"""Longest wait of an interrupted stream for a permit; callers give up after a gap of two seconds
or more (the users' page on requests)."""


DEADLINE_MARGIN = Duration(25)
"""Time before a caller's deadline at which it is answered at the latest; several round trips to
callers in the region."""

DEADLINE_MARGIN_DIVISOR = 10
"""Divisor of a short deadline that gives its margin."""


MIN_CALLER_PATIENCE = Duration(2_000)
"""Shortest gap between two events, or before the first one, after which a stream's caller gives
up."""

PATIENCE_OBJECTIVES = 4
PATIENCE_GAP_OBJECTIVES = 8
"""Gap after which it gives up, if that is longer: in latency objectives, and in event gap
objectives."""

MIN_TIME_TO_RESUME = Duration(100)
"""Time left below which a stream is not sent again, as no event would come in it."""


class Loss(Enum):
    """Reason why an attempt ended without an answer that can be forwarded."""

    NOT_SENT = "not-sent"
    OTHER_BACKEND = "other-backend"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"

    @property
    def reached_backend(self) -> bool:
        """Return whether the request reached the backend server it was sent to."""
        return self not in (Loss.NOT_SENT, Loss.OTHER_BACKEND)

    @property
    def verdict(self) -> Verdict:
        """Return what is known of whether the request ran."""
        if self in (Loss.NOT_SENT, Loss.OTHER_BACKEND, Loss.NOT_RUN):
            return Verdict.NOT_RUN
        return Verdict.RAN if self is Loss.FAILED else Verdict.MAY_HAVE_RUN


class Progress(NamedTuple):
    """Attempts of a request so far, and its remaining time.

    Attributes
    ----------
    sent : int
        Attempts that reached their backend server.
    unsent : int
        Attempts that reached no backend server or the wrong one, since the last wait for a resend.
    left : Duration
        Time until the request's deadline.
    """

    sent: int
    unsent: int
    left: Duration


class FailedAttempts:
    """Attempts of one request that ended without an answer that can be forwarded.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.unsent = 0
        self.verdict = Verdict.NOT_RUN
        self._unsent_before_wait = 0

    def record(self, loss: Loss, servers: int = 1) -> None:
        """Count a failed attempt.

        Parameters
        ----------
        servers : int
            Backend servers that it may have reached: several if it was passed on.
        """
        self.sent += servers * loss.reached_backend
        self.unsent += not loss.reached_backend
        if loss.verdict is not Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

    def on_waited(self) -> None:
        """Allow as many unsent attempts again, as a server has come up since the last ones."""
        self._unsent_before_wait = self.unsent

    def progress(self, left: Duration) -> Progress:
        """Return the attempts so far, the unsent ones since a wait, and the remaining time."""
        return Progress(self.sent, self.unsent - self._unsent_before_wait, left)

    def refusal(
        self, route: Route, left: Duration, lost: Reason, backoff_left: Duration = Duration(0)
    ) -> Refusal:
        """Return the refusal for a request that is not retried any further.

        Parameters
        ----------
        lost : Reason
            Reason if the request may have run and its deadline has not passed.
        backoff_left : Duration
            Time until the first backend server takes requests again.
        """
        if self.verdict is Verdict.NOT_RUN:
            hint = max(backoff_hint(route), backoff_left)
            return Refusal(NO_BACKEND, self.verdict, int(hint))
        return Refusal(DEADLINE_UNREACHABLE if left <= 0 else lost, self.verdict)


class AnswerTime(NamedTuple):
    """Time within which a caller is answered, and the time that it waits beyond that."""

    within: Duration
    margin: Duration


def answer_time(route: Route, deadline: Duration | None) -> AnswerTime:
    """Return when a caller is answered at the latest, so that a refusal reaches it in time.

    Parameters
    ----------
    deadline : Duration or None
        Time that the caller waits.
    """
    if deadline is None:
        return AnswerTime(route.timeout, Duration(0))
    margin = min(DEADLINE_MARGIN, deadline // DEADLINE_MARGIN_DIVISOR)
    within = min(route.timeout, deadline - margin)
    return AnswerTime(Duration(within), Duration(min(route.timeout, deadline) - within))


def may_retry(route: Route, loss: Loss, progress: Progress) -> bool:
    """Return whether a request may be sent to another backend server after a failed attempt.

    The caller checks the retry budget as well.
    """
    if progress.left <= 0 or progress.sent >= route.max_attempts:
        return False
    if not loss.reached_backend:
        return progress.unsent < MAX_UNSENT_ATTEMPTS
    return loss is Loss.NOT_RUN or route.repeatable


def silence_attempts(route: Route) -> int:
    """Return the attempts that a stream may use up because engines are silent.

    One is left, if possible, for an engine that breaks it off.
    """
    return min(route.max_attempts, max(2, route.max_attempts - 1))


def passed_on_attempts(route: Route, sent: int) -> int:
    """Return the attempts that another entry VM may make for a request that was sent before.

    One is kept, if possible, to pass the request on once more if that VM is lost.
    """
    return max(1, route.max_attempts - sent - 1)


def resend_wait_end_ms(route: Route, last_event_ms: int, deadline_ms: int) -> int:
    """Return until when a stream may wait for a resend, in elapsed time in ms.

    Its next event must arrive before its caller gives up, and takes about the latency objective.

    Parameters
    ----------
    last_event_ms : int
        Elapsed time in ms of the last event that its caller got, or of the request.
    """
    patience = max(
        MIN_CALLER_PATIENCE,
        PATIENCE_OBJECTIVES * route.latency_objective,
        PATIENCE_GAP_OBJECTIVES * route.event_gap_objective,
    )
    time_to_event = max(MIN_TIME_TO_RESUME, route.latency_objective)
    return min(last_event_ms + patience, deadline_ms) - time_to_event


def attempt_timeout(route: Route, progress: Progress) -> Duration:
    """Return the time-out of the next attempt.

    An idempotent request that can be retried gets only part of the remaining time, so that a
    silent backend server does not use up all of it.
    """
    if not route.idempotent or progress.sent + 1 >= route.max_attempts:
        return progress.left
    wait = route.latency_objective * OBJECTIVES_BEFORE_RETRY
    if wait <= 0:
        return progress.left
    return Duration(min(progress.left, wait))


def permit_wait(route: Route, left: Duration, tried: Collection[BackendId]) -> Duration:
    """Return how long a request may wait for its turn at a backend server with a rate limit.

    A first attempt waits only while its answer can still come within the latency objective. A
    stream that was sent before waits longer, since it may have begun.
    """
    if tried and route.kind is RouteKind.STREAM:
        return Duration(max(0, min(left, MAX_STREAM_WAIT)))
    return Duration(max(0, min(left, route.latency_objective) // PERMIT_WAIT_DIVISOR))


def backoff_hint(route: Route) -> Duration:
    """Return the backoff hint for a refused caller.

    Within about one latency objective, full backend servers have finished other requests and
    crashed ones have restarted; the hint is capped for routes with a long objective.
    """
    return Duration(min(route.latency_objective or MAX_BACKOFF_HINT, MAX_BACKOFF_HINT))
