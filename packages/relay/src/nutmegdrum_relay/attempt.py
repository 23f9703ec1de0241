"""One attempt to send a request to a backend server, and its loss."""

from dataclasses import dataclass, field

from nutmegdrum_scheduling.placement.stream_pace import StreamPace

from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.documents import Route
from nutmegdrum_relay.refusals import denies_run
from nutmegdrum_relay.retry_policy import Loss
from nutmegdrum_relay.upstream import AbortReason, AnswerHead, Exchange
from nutmegdrum_relay.version_tally import FirstEventWait, TallyKey
from nutmegdrum_relay.views import NO_WORK, Work

FAILED_STATUS = 500
"""Lowest HTTP status that counts as a failure of the backend server."""


class AttemptLost(Exception):
    """Raised when an attempt ends without an answer that can be forwarded.

    Attributes
    ----------
    aborted : AbortReason or None
        Why this VM ended it; None if it did not.
    """

    def __init__(self, loss: Loss, detail: str = "", aborted: AbortReason | None = None):
        super().__init__(detail or loss.value)
        self.loss = loss
        self.aborted = aborted

    @property
    def reason(self) -> str:
        """Return the loss, or why this VM ended the attempt."""
        return self.loss.value if self.aborted is None else self.aborted.value


def check_status(route: Route, status: int) -> None:
    """Check that an answer with this status may be passed on.

    Raises
    ------
    AttemptLost
        If it would tell the caller falsely that its request has not run.
    """
    if denies_run(route, status):
        raise AttemptLost(Loss.FAILED, f"status {status} of a request that may have run")


@dataclass(eq=False)
class Attempt:
    """An attempt whose response headers have arrived.

    Attributes
    ----------
    tally_key : TallyKey or None
        Service, route and version that it counts for; None outside a trial.
    wait : FirstEventWait or None
        Its wait for the first event; None if that wait does not count.
    sent_ms, first_data_ms, last_data_ms : int
        Elapsed time in ms when it was sent, and when the first and the last chunk of its stream
        arrived.
    events : int
        Complete events of its stream received so far.
    pace : StreamPace
        Times between the events of its stream.
    past_beginning : bool
        Whether its answer got past its beginning, on which deadly parts crash the engine.
    """

    backend: Backend
    exchange: Exchange
    answer: AnswerHead
    copy: Backend | None = None
    work: Work = NO_WORK
    tally_key: TallyKey | None = None
    wait: FirstEventWait | None = None
    sent_ms: int = 0
    first_data_ms: int | None = None
    last_data_ms: int | None = None
    events: int = 0
    past_beginning: bool = False
    pace: StreamPace = field(default_factory=StreamPace)
