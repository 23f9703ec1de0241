"""Weighted fair queue of requests that wait for admission."""

from collections import defaultdict, deque
from collections.abc import Mapping
from typing import NamedTuple, Protocol

from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import DEADLINE_UNREACHABLE, OVERLOADED, Reason, Refusal, Verdict

DEFAULT_MAX_QUEUED = 12
"""Maximum number of requests in the queue."""

DEFAULT_MAX_WAIT_MS = 2_000
"""Longest wait of a request in the queue, in ms."""

REQUEST_COST_TOKENS = 100
"""Constant part of a request's cost, in tokens."""

RATE_WINDOW_MS = 5_000
"""Window over which the rate of admissions is computed, in ms."""

MIN_RETRY_MS = 250
"""Shortest backoff hint of a refusal, in ms."""

MAX_TAGS = 10_000
"""Workspaces' tags that are kept; beyond it, those that no longer delay a request are dropped."""


class QueuedRequest(Protocol):
    """Properties of a request that its place in the queue depends on."""

    @property
    def workspace(self) -> WorkspaceId:
        """Return the workspace whose share the request uses."""
        ...

    @property
    def urgency(self) -> int:
        """Return the rank of its priority; lower ranks go first."""
        ...

    @property
    def tokens(self) -> int:
        """Return the upper bound of the tokens of prompt and answer."""
        ...

    @property
    def deadline_ms(self) -> int | None:
        """Return the time from arrival until its answer must be complete, in ms."""
        ...

    @property
    def wait_limit_ms(self) -> int | None:
        """Return the time after which a refusal could come too late for its caller, in ms."""
        ...


class FairTags:
    """Start tags of start-time fair queueing between workspaces, for each priority.

    Parameters
    ----------
    weights : mapping
        Weight of each workspace; 1 by default.
    """

    def __init__(self, weights: Mapping[WorkspaceId, int]):
        self._weights = weights
        self._finish_tags: dict[tuple[int, WorkspaceId], float] = {}
        self._virtual: dict[int, float] = defaultdict(float)

    def charge(self, urgency: int, workspace: WorkspaceId, tokens: int) -> float:
        """Charge a request to its workspace and return its start tag."""
        key = urgency, workspace
        start_tag = max(self._virtual[urgency], self._finish_tags.get(key, 0.0))
        self._finish_tags[key] = start_tag + self._cost(workspace, tokens)
        return start_tag

    def refund(self, urgency: int, workspace: WorkspaceId, tokens: int) -> None:
        """Undo the charge of a request that was not served."""
        self._finish_tags[urgency, workspace] -= self._cost(workspace, tokens)

    def serve(self, urgency: int, start_tag: float) -> None:
        """Advance the virtual time to the start tag of a request that is served."""
        self._virtual[urgency] = max(self._virtual[urgency], start_tag)
        if len(self._finish_tags) > MAX_TAGS:
            self._finish_tags = {
                key: tag for key, tag in self._finish_tags.items() if tag > self._virtual[key[0]]
            }

    def _cost(self, workspace: WorkspaceId, tokens: int) -> float:
        return (tokens + REQUEST_COST_TOKENS) / max(1, self._weights.get(workspace, 1))


class QueueEntry(NamedTuple):
    """Queued request; entries are ordered by urgency, then start tag, then number.

    Attributes
    ----------
    urgency : int
        Rank of the priority; lower ranks go first.
    start_tag : float
        Start tag of start-time fair queueing: the virtual time at which the workspace's earlier
        requests have received their share.
    until_ms : int
        Elapsed time until which the request may wait, in ms.
    """

    urgency: int
    start_tag: float
    number: int
    request: QueuedRequest
    until_ms: int


class FairQueue:
    """Queue with start-time fair queueing within each priority; more urgent priorities go first.

    The cost of a request is its tokens plus a constant. A request with too long a predicted wait
    is refused on arrival rather than after the wait. A full queue drops its last entry when a more
    urgent request arrives.

    Parameters
    ----------
    weights : mapping
        Weight of each workspace; 1 by default.
    max_wait_ms : int
        Longest wait of a request, in ms.
    """

    def __init__(
        self,
        weights: Mapping[WorkspaceId, int],
        max_queued: int = DEFAULT_MAX_QUEUED,
        max_wait_ms: int = DEFAULT_MAX_WAIT_MS,
    ):
        self._tags = FairTags(weights)
        self._max_queued = max_queued
        self._max_wait_ms = max_wait_ms
        self._queue: list[QueueEntry] = []
        self._number = 0
        self._grants: deque[int] = deque()

    def __len__(self) -> int:
        return len(self._queue)

    def enter(self, req: QueuedRequest, service_ms: int, now_ms: int) -> tuple[int, list[int]]:
        """Queue a request; return its number and the numbers of the requests dropped for it.

        Parameters
        ----------
        service_ms : int
            Expected run time of the request after admission, in ms.

        Raises
        ------
        Refusal
            `OVERLOADED` or `DEADLINE_UNREACHABLE`, not run, with a backoff hint.
        """
        waiting = self._make_entry(req, now_ms)
        ahead = sum(other[:3] < waiting[:3] for other in self._queue)
        wait_ms = self._predict_ms(ahead, now_ms)
        late = req.deadline_ms is not None and wait_ms + service_ms > req.deadline_ms
        if late or wait_ms > self._max_wait_ms or ahead >= self._max_queued:
            self._tags.refund(req.urgency, req.workspace, req.tokens)
            raise self._refusal(DEADLINE_UNREACHABLE if late else OVERLOADED, wait_ms)
        self._queue.append(waiting)
        self._queue.sort(key=lambda other: other[:3])
        dropped = self._queue[self._max_queued :]
        self._remove(dropped)
        return waiting.number, [other.number for other in dropped]

    def leave(self, number: int) -> None:
        """Remove a request from the queue."""
        self._remove([waiting for waiting in self._queue if waiting.number == number])

    def expired(self, now_ms: int) -> list[int]:
        """Remove the requests that have waited too long and return their numbers."""
        late = [waiting for waiting in self._queue if waiting.until_ms <= now_ms]
        self._remove(late)
        return [waiting.number for waiting in late]

    def first(self) -> QueuedRequest | None:
        """Return the next request, or None if the queue is empty."""
        return self._queue[0].request if self._queue else None

    def pop(self, now_ms: int) -> int:
        """Remove the next request and return its number."""
        waiting = self._queue.pop(0)
        self._tags.serve(waiting.urgency, waiting.start_tag)
        self._grants.append(now_ms)
        return waiting.number

    def on_direct_grant(self, req: QueuedRequest, now_ms: int) -> None:
        """Account for a request that was admitted without queueing."""
        start_tag = self._tags.charge(req.urgency, req.workspace, req.tokens)
        self._tags.serve(req.urgency, start_tag)
        self._grants.append(now_ms)

    def refusal(self, now_ms: int) -> Refusal:
        """Return the refusal for a request that was dropped or has waited too long."""
        return self._refusal(OVERLOADED, self._predict_ms(len(self._queue), now_ms))

    def _make_entry(self, req: QueuedRequest, now_ms: int) -> QueueEntry:
        self._number += 1
        wait_ms = self._max_wait_ms
        if req.wait_limit_ms is not None:
            wait_ms = min(wait_ms, req.wait_limit_ms)
        start_tag = self._tags.charge(req.urgency, req.workspace, req.tokens)
        return QueueEntry(req.urgency, start_tag, self._number, req, now_ms + wait_ms)

    def _remove(self, entries: list[QueueEntry]) -> None:
        """Remove requests that were not served and undo their charge to the workspaces."""
        for waiting in entries:
            self._queue.remove(waiting)
            req = waiting.request
            self._tags.refund(req.urgency, req.workspace, req.tokens)

    def _predict_ms(self, ahead: int, now_ms: int) -> int:
        """Return the predicted wait of a request behind `ahead` others, in ms."""
        while self._grants and self._grants[0] <= now_ms - RATE_WINDOW_MS:
            self._grants.popleft()
        if not self._grants:
            return 0 if ahead == 0 else self._max_wait_ms
        return (ahead + 1) * RATE_WINDOW_MS // len(self._grants)

    def _refusal(self, reason: Reason, wait_ms: int) -> Refusal:
        return Refusal(reason, Verdict.NOT_RUN, max(MIN_RETRY_MS, wait_ms))
