"""Admission of requests to one entry VM: limits per workspace, and a bound on all."""

import threading
from typing import NamedTuple

from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import LIMIT_REACHED, OVERLOADED, Refusal, Verdict

from nutmegdrum.messages import Priority
from nutmegdrum.settings import Settings

RETRY_AFTER_MS = 1_000


class AdmissionRequest(NamedTuple):
    """What admission needs to know of a request.

    Attributes
    ----------
    tokens : int
        Tokens that it may cost: of its prompt, and at most of its answer.
    deadline_ms : int or None
        Time within which the whole answer is wanted, in ms from arrival.
    """

    workspace: WorkspaceId
    tokens: int = 0
    priority: Priority = Priority.NORMAL
    deadline_ms: int | None = None
    stream: bool = True


class Ticket(NamedTuple):
    """Place that an admitted request holds until it is released."""

    number: int
    request: AdmissionRequest
    admitted_ms: int


class Admission:
    """Places of one entry VM.

    Parameters
    ----------
    cfg : Settings
        Workspaces' limits, and the streams that this VM holds at most.
    """

    def __init__(self, cfg: Settings):
        self._max_streams = cfg.callers.max_streams
        self._limits = {workspace.id: workspace for workspace in cfg.workspaces}
        self._held: dict[int, Ticket] = {}
        self._number = 0
        self._lock = threading.Lock()

    def admit(self, req: AdmissionRequest, now_ms: int) -> Ticket:
        """Return a place for the request.

        Raises
        ------
        Refusal
            `LIMIT_REACHED` or `OVERLOADED`, not run, with the time to come back.
        """
        with self._lock:
            self._check(req)
            self._number += 1
            ticket = Ticket(self._number, req, now_ms)
            self._held[ticket.number] = ticket
            return ticket

    def release(self, ticket: Ticket) -> None:
        """Give a place back; a second time has no effect."""
        with self._lock:
            self._held.pop(ticket.number, None)

    def _check(self, req: AdmissionRequest) -> None:
        if not req.stream:
            return
        streams = [t.request for t in self._held.values() if t.request.stream]
        if len(streams) >= self._max_streams:
            raise Refusal(OVERLOADED, Verdict.NOT_RUN, RETRY_AFTER_MS)
        own = sum(held.workspace == req.workspace for held in streams)
        limits = self._limits.get(req.workspace)
        if limits is not None and own >= limits.max_streams:
            raise Refusal(LIMIT_REACHED, Verdict.NOT_RUN, RETRY_AFTER_MS)
