"""What follows an attempt that did not bring an answer."""

from enum import Enum
from typing import NamedTuple

from nutmegdrum.units import Duration
from nutmegdrum_coord.verdict import (
    DEADLINE_UNREACHABLE,
    NO_BACKEND,
    Reason,
    Refusal,
    Verdict,
)

from nutmegdrum_relay.documents import Route, RouteKind

MAX_UNSENT_ATTEMPTS = 8
"""Attempts of one request that reach no backend server; a data centre's three, twice over."""

MAX_BACKOFF_HINT = Duration(1_000)
"""Longest time after which a refused caller should come back; a crashed engine is back sooner."""

OBJECTIVES_BEFORE_RETRY = 2
"""Latency objectives that an idempotent request waits before it is sent once more."""


class Loss(Enum):
    """How an attempt ended without an answer that can be passed on."""

    NOT_SENT = "not-sent"
    OTHER_BACKEND = "other-backend"
    NOT_RUN = "not-run"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"

    @property
    def reached_backend(self) -> bool:
        """Return whether the backend server that was meant took the request."""
        return self not in (Loss.NOT_SENT, Loss.OTHER_BACKEND)

    @property
    def verdict(self) -> Verdict:
        """Return whether the request may have run."""
        if self in (Loss.NOT_SENT, Loss.OTHER_BACKEND, Loss.NOT_RUN):
            return Verdict.NOT_RUN
        return Verdict.RAN if self is Loss.FAILED else Verdict.MAY_HAVE_RUN


class Progress(NamedTuple):
    """What became of a request so far.

    Attributes
    ----------
    sent : int
        Backend servers that took the request.
    unsent : int
        Attempts that reached no backend server, or another one than they were meant for.
    left : Duration
        Time until the request's deadline.
    """

    sent: int
    unsent: int
    left: Duration


class FailedAttempts:
    """Attempts of one request that ended without an answer that can be passed on.

    Attributes
    ----------
    verdict : Verdict
        Whether the request may have run.
    """

    def __init__(self) -> None:
        self.sent = 0
        self.unsent = 0
        self.verdict = Verdict.NOT_RUN

    def record(self, loss: Loss) -> None:
        """Count an attempt."""
        self.sent += loss.reached_backend
        self.unsent += not loss.reached_backend
        if loss.verdict is not Verdict.NOT_RUN:
            self.verdict = Verdict.MAY_HAVE_RUN

    def progress(self, left: Duration) -> Progress:
        """Return what became of the request, with the time that is left."""
        return Progress(self.sent, self.unsent, left)

    def refusal(
        self, route: Route, left: Duration, lost: Reason, backoff_left: Duration = Duration(0)
    ) -> Refusal:
        """Return the refusal of a request that is given up.

        Parameters
        ----------
        lost : Reason
            Why, if the request may have run and there is time left.
        backoff_left : Duration
            Time until the first backend server takes requests again.
        """
        if self.verdict is Verdict.NOT_RUN:
            hint = max(backoff_hint(route), backoff_left)
            return Refusal(NO_BACKEND, self.verdict, int(hint))
        return Refusal(DEADLINE_UNREACHABLE if left <= 0 else lost, self.verdict)


def may_retry(route: Route, loss: Loss, progress: Progress) -> bool:
    """Return whether a request may be sent to another backend server after a loss.

    The retry budget is asked besides, by the caller.
    """
    if progress.left <= 0 or progress.sent >= route.max_attempts:
        return False
    if not loss.reached_backend:
        return progress.unsent < MAX_UNSENT_ATTEMPTS
    if loss is Loss.NOT_RUN or route.idempotent:
        return True
    return route.kind is RouteKind.STREAM and route.resumable


def attempt_timeout(route: Route, progress: Progress) -> Duration:
    """Return how long the next attempt may take.

    An idempotent request that can still be sent elsewhere gets a part of the time only, so that
    a silent backend server does not use it up.
    """
    if not route.idempotent or progress.sent + 1 >= route.max_attempts:
        return progress.left
    wait = route.latency_objective * OBJECTIVES_BEFORE_RETRY
    if wait <= 0:
        return progress.left
    return Duration(min(progress.left, wait))


def backoff_hint(route: Route) -> Duration:
    """Return when a caller that was refused should come back.

    Backend servers that were full or down have answered others, or are back, within about one
    latency objective; callers whose objective is long need not wait as long as that.
    """
    return Duration(min(route.latency_objective or MAX_BACKOFF_HINT, MAX_BACKOFF_HINT))
