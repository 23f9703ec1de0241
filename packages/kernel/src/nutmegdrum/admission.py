"""Admission control of an entry VM: workspace limits, capacity and a fair queue."""

import threading
from collections.abc import Callable, Mapping
from typing import NamedTuple, Protocol

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import OVERLOADED, Refusal, Verdict
from nutmegdrum_scheduling.queueing.fair_queue import FairQueue

from nutmegdrum import metrics
from nutmegdrum.deadlines import ANSWER_MARGIN_MS
from nutmegdrum.limits import equal_share_ppm, limits_of
from nutmegdrum.messages import Priority
from nutmegdrum.plugins import Kind, Registry
from nutmegdrum.settings import Settings
from nutmegdrum.view import WorkspaceUse

RETRY_AFTER_MS = 1_000
"""Backoff hint of a refusal when this VM holds its maximum of streams, in ms."""

POLL_MS = 50
"""Interval at which a waiting thread checks for free capacity, in ms."""

DEFAULT_TOKEN_MS = 15.0
"""Initial estimate of the time per output token, in ms."""

TOKEN_MS_WEIGHT = 0.05
"""Weight of a new sample in the moving average of the time per token."""

_MS_PER_S = 1_000
_URGENCY = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}


class AdmissionRequest(NamedTuple):
    """Properties of a request that admission depends on.

    Attributes
    ----------
    tokens : int
        Upper bound of the tokens of prompt and answer.
    deadline_ms : int or None
        Time from arrival within which the caller needs the complete answer, in ms.
    answer_tokens : int
        Part of `tokens` that is reserved for the answer.
    stream : bool
        Whether the request occupies a slot at a backend server until it ends.
    resumed : bool
        Whether the request resumes a generation that was admitted before.
    """

    workspace: WorkspaceId
    tokens: int = 0
    priority: Priority = Priority.NORMAL
    deadline_ms: int | None = None
    answer_tokens: int = 0
    stream: bool = True
    resumed: bool = False

    @property
    def urgency(self) -> int:
        """Return the rank of the priority; lower ranks go first."""
        return _URGENCY[self.priority]

    @property
    def wait_limit_ms(self) -> int | None:
        """Return the time after which a refusal could come too late for its caller, in ms."""
        return None if self.deadline_ms is None else max(0, self.deadline_ms - ANSWER_MARGIN_MS)


class Ticket(NamedTuple):
    """Admission of one request, held until it is released."""

    number: int
    request: AdmissionRequest
    admitted_ms: int


class AdmissionControl:
    """State machine of admission control at one entry VM.

    Parameters
    ----------
    cfg : Settings
        Limits of the workspaces and the maximum number of streams of this VM.
    queue : FairQueue
        Queue of the waiting requests.
    free_slots : callable
        Returns the estimated number of free slots at backend servers; the underlying reports lag.
    """

    def __init__(
        self, cfg: Settings, queue: FairQueue, free_slots: Callable[[], int], now_ms: int = 0
    ):
        self._max_streams = cfg.callers.max_streams
        self._queue = queue
        self._free_slots = free_slots
        share_ppm = equal_share_ppm(len(cfg.entry_vms))
        self._limits = limits_of(cfg.workspaces, share_ppm, now_ms)
        self._tickets: dict[int, Ticket] = {}
        self._streams = 0
        self._waiting: dict[int, AdmissionRequest] = {}
        self._use: dict[WorkspaceId, list[int]] = {}
        self._number = 0
        self._token_ms = DEFAULT_TOKEN_MS

    def set_shares(self, shares: Mapping[WorkspaceId, int]) -> None:
        """Set this VM's shares of the workspaces' limits, in ppm."""
        for workspace, share_ppm in shares.items():
            if workspace in self._limits:
                self._limits[workspace].share_ppm = share_ppm

    def request(self, req: AdmissionRequest, now_ms: int) -> Ticket | int:
        """Return a ticket, or the queue number of the request if it has to wait.

        Raises
        ------
        Refusal
            `LIMIT_REACHED`, `OVERLOADED` or `DEADLINE_UNREACHABLE`, not run, with a backoff hint.
        """
        use = self._use.setdefault(req.workspace, [0, 0])
        use[0] += 1
        use[1] += req.tokens
        limits = self._limits.get(req.workspace)
        if limits is not None and not req.resumed:
            limits.check(req.stream, now_ms)
        if req.stream and self._streams >= self._max_streams:
            raise Refusal(OVERLOADED, Verdict.NOT_RUN, RETRY_AFTER_MS)
        if not req.stream or req.resumed or self._may_start():
            self._queue.on_direct_grant(req, now_ms)
            return self._grant(req, now_ms)
        service_ms = int((req.answer_tokens or req.tokens) * self._token_ms)
        number, dropped = self._queue.enter(req, service_ms, now_ms)
        self._waiting[number] = req
        for other in dropped:
            self._waiting.pop(other, None)
        return number

    def is_waiting(self, number: int) -> bool:
        """Return whether a request is still queued; if not, it was admitted or dropped."""
        return number in self._waiting

    def leave(self, number: int) -> None:
        """Remove a waiting request from the queue."""
        self._queue.leave(number)
        self._waiting.pop(number, None)

    def grant(self, now_ms: int) -> dict[int, Ticket]:
        """Admit queued requests while there is capacity; return their tickets by queue number."""
        for number in self._queue.expired(now_ms):
            self._waiting.pop(number, None)
        granted: dict[int, Ticket] = {}
        while (req := self._queue.first()) is not None and self._has_capacity(len(granted)):
            number = self._queue.pop(now_ms)
            del self._waiting[number]
            granted[number] = self._grant(req, now_ms)
        return granted

    def refusal(self, now_ms: int) -> Refusal:
        """Return the refusal for a request that was dropped from the queue."""
        return self._queue.refusal(now_ms)

    def release(self, ticket: Ticket, now_ms: int, used_tokens: int | None = None) -> None:
        """Release a ticket; releasing it again has no effect."""
        if self._tickets.pop(ticket.number, None) is None:
            return
        req = ticket.request
        limits = self._limits.get(req.workspace)
        if req.stream:
            self._streams -= 1
        if limits is None:
            return
        limits.streams -= req.stream
        if used_tokens is not None:
            limits.refund(max(0, req.tokens - used_tokens))
            answered = used_tokens - req.tokens + (req.answer_tokens or req.tokens)
            self._update_token_ms(now_ms - ticket.admitted_ms, answered)

    def pop_usage(self) -> list[WorkspaceUse]:
        """Return the usage of the workspaces since the last call and reset it."""
        use, self._use = self._use, {}
        return [
            WorkspaceUse(
                workspace=workspace,
                requests=requests,
                tokens=tokens,
                streams=self._limits[workspace].streams if workspace in self._limits else 0,
            )
            for workspace, (requests, tokens) in use.items()
        ]

    def _may_start(self) -> bool:
        return len(self._queue) == 0 and self._has_capacity(0)

    def _has_capacity(self, taken: int) -> bool:
        return self._streams < self._max_streams and self._free_slots() - taken > 0

    def _grant(self, req: AdmissionRequest, now_ms: int) -> Ticket:
        self._number += 1
        ticket = Ticket(self._number, req, now_ms)
        self._tickets[ticket.number] = ticket
        self._streams += req.stream
        limits = self._limits.get(req.workspace)
        if limits is not None:
            limits.streams += req.stream
            if not req.resumed:
                limits.spend(req.tokens)
        return ticket

    def _update_token_ms(self, took_ms: int, tokens: int) -> None:
        if tokens > 0:
            self._token_ms += TOKEN_MS_WEIGHT * (took_ms / tokens - self._token_ms)


class QueueFactory(Protocol):
    """Factory of the admission queue, which a plug-in can provide."""

    def __call__(self, weights: Mapping[WorkspaceId, int]) -> FairQueue:
        """Return an empty queue for workspaces with the given weights."""
        ...


def new_control(
    cfg: Settings, registry: Registry, free_slots: Callable[[], int], now_ms: int
) -> AdmissionControl:
    """Return the admission control; its queue comes from the first plug-in that provides one."""
    provided = registry.all(Kind.ADMISSION)
    factory: QueueFactory = next(iter(provided.values()), FairQueue)
    queue = factory({workspace.id: workspace.weight for workspace in cfg.workspaces})
    return AdmissionControl(cfg, queue, free_slots, now_ms)


class Admission:
    """Thread-safe admission control that blocks a request's thread while the request is queued.

    Parameters
    ----------
    control : AdmissionControl
        State machine that makes the decisions.
    """

    def __init__(self, control: AdmissionControl, clock: Clock):
        self._control = control
        self._clock = clock
        self._changed = threading.Condition()
        self._granted: dict[int, Ticket] = {}

    def admit(self, req: AdmissionRequest, now_ms: int) -> Ticket:
        """Return a ticket for the request, after a short wait if necessary.

        Raises
        ------
        Refusal
            `LIMIT_REACHED`, `OVERLOADED` or `DEADLINE_UNREACHABLE`, not run, with a backoff hint.
        """
        with self._changed:
            result = self._control.request(req, now_ms)
            if isinstance(result, Ticket):
                metrics.ADMISSIONS.labels("at-once").inc()
                return result
            ticket = self._wait(result)
            metrics.ADMISSIONS.labels("after-waiting").inc()
            return ticket

    def release(self, ticket: Ticket, used_tokens: int | None = None) -> None:
        """Release a ticket; releasing it again has no effect."""
        with self._changed:
            self._control.release(ticket, self._clock.elapsed_ms(), used_tokens)
            self._grant()

    def set_shares(self, shares: Mapping[WorkspaceId, int]) -> None:
        """Set this VM's shares of the workspaces' limits, in ppm."""
        with self._changed:
            self._control.set_shares(shares)

    def pop_usage(self) -> list[WorkspaceUse]:
        """Return the usage of the workspaces since the last call and reset it."""
        with self._changed:
            return self._control.pop_usage()

    def _wait(self, number: int) -> Ticket:
        while number not in self._granted:
            self._grant()
            if number in self._granted:
                break
            if not self._control.is_waiting(number):
                raise self._control.refusal(self._clock.elapsed_ms())
            self._changed.wait(POLL_MS / _MS_PER_S)
        return self._granted.pop(number)

    def _grant(self) -> None:
        granted = self._control.grant(self._clock.elapsed_ms())
        if granted:
            self._granted.update(granted)
            self._changed.notify_all()
