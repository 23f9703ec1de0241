"""Admission of one service's requests at one entry VM: capacity, order of waiting and refusals."""

import random
from collections.abc import Hashable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import OVERLOADED, Refusal, Verdict

from nutmegdrum_scheduling.queueing.fair_queue import FairTags
from nutmegdrum_scheduling.queueing.return_times import ReturnTimes
from nutmegdrum_scheduling.queueing.served_share import ServedShares
from nutmegdrum_scheduling.queueing.service_load import Amount, ServiceLoad

URGENT_LIMIT = 1.02
"""Part of the capacity that the most urgent rank may use. Engines queue requests themselves and
admit the more urgent first; with a few there, none of their slots waits for the network."""

RECOVERY_LIMIT = 1.04
"""Part of the capacity up to which requests that have begun are sent again; more than new ones may
use, so that these cannot take it. What full engines get beyond it waits there, although lost ones
are back in a second: with 1.2, 61 % of the recoveries went on in time, and 94 % with this."""

HEADROOM = 0.02
"""Part of the capacity that each further rank leaves free for more urgent ones; several times what
arrives at all entry VMs within the age of their reports. With 0.05, less was served in time at the
capacity than without a queue: 0.93 of the requests against 0.96 (four seeds)."""

MIN_LIMIT = 0.7
"""Smallest part of the capacity that any rank may use, however many ranks there are."""

PROMOTED_RATIO = 0.4
"""Part of the requests, relative to the share of all that are served, that go first whatever their
priority or workspace. One that is served less than a quarter as often as all is starved; the rest
is for those of them that are refused nevertheless."""

STARVING_RATIO = 0.7
"""Ratio of a rank's served share to that of all below which some of its requests go first; more
than twice the bound, as small entry VMs see few requests."""

LOTTERY_FACTOR = 4
"""Refused part of the requests, as a multiple, at which the lottery counts fully."""

MIN_RATE_SHARE = 0.1
"""Smallest part of the freed capacity that a rank is expected to get, for predictions."""

DURATION_WEIGHT = 0.1
"""Weight of the newest request in the moving average of requests' durations."""

MAX_QUEUED = 64
"""Maximum number of waiting requests; each holds a thread."""

MAX_QUEUED_BYTES = 8 << 20
"""Maximum size of the waiting requests' bodies, in bytes; two of the largest."""


class Stage(Enum):
    """Whether a request has begun at a server that was lost."""

    NEW = "new"
    RESUMED = "resumed"
    """Its caller asks for the rest of a stream, at any entry VM."""
    BEGUN = "begun"
    """It was admitted by this VM and holds its capacity still."""


class ServiceRequest(NamedTuple):
    """Properties of a request that its admission depends on.

    Attributes
    ----------
    rank : int
        Place of its priority among those of the service; 0 is the most urgent.
    need : Amount
        Capacity that it occupies until it ends.
    size : int
        Bytes that it holds while it waits.
    max_wait_ms : int
        Longest useful wait, in ms.
    deadline_ms : int
        Elapsed time in ms at which its caller stops waiting.
    usual_ms : int
        Usual duration of such a request; 0 if unknown.
    draw : float
        The request's number in the lottery, from 0 to below 1. The higher, the shorter the wait
        that it accepts, so that a request which is refused is refused again if it asks at once.
        The lowest numbers go first, whatever their priority.
    """

    identity: Hashable
    workspace: WorkspaceId
    rank: int
    need: Amount
    size: int
    max_wait_ms: int
    deadline_ms: int
    usual_ms: int = 0
    draw: float = 0.0
    stage: Stage = Stage.NEW


class Ticket(NamedTuple):
    """Admission of one request, held until it ends."""

    number: int
    request: ServiceRequest
    admitted_ms: int


@dataclass
class _Waiting:
    number: int
    request: ServiceRequest
    start_tag: float
    until_ms: int
    returned: bool


class ServiceQueue:
    """State machine of the admission of one service's requests; not thread-safe.

    All entry VMs decide on their own. When little capacity is free, each admits a request with the
    probability that it is the one to get it, given the number that waits everywhere; if each VM
    took what it sees, all would take the same.

    Parameters
    ----------
    max_queued : int
        Maximum number of waiting requests that have not begun.
    """

    def __init__(self, rng: random.Random, max_queued: int = MAX_QUEUED):
        self._rng = rng
        self._max_queued = max_queued
        self._tags = FairTags({})
        self._served = ServedShares()
        self._returns = ReturnTimes(rng)
        self._waiting: dict[int, _Waiting] = {}
        self._tickets: dict[int, Ticket] = {}
        self._own = Amount()
        self._number = 0
        self._duration_ms = 0.0

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def usual_ms(self) -> int:
        """Return the mean duration of admitted requests in ms; 0 if it is not known."""
        return int(self._duration_ms)

    @property
    def own(self) -> Amount:
        """Return the capacity that admitted requests of this VM occupy."""
        return self._own

    def queued(self) -> tuple[int, ...]:
        """Return the number of waiting requests by rank."""
        ranks = [waiting.request.rank for waiting in self._waiting.values()]
        return tuple(ranks.count(rank) for rank in range(max(ranks, default=-1) + 1))

    def ask(self, req: ServiceRequest, load: ServiceLoad, now_ms: int) -> Ticket | int:
        """Return a ticket, or the request's number if it has to wait.

        Raises
        ------
        Refusal
            `OVERLOADED`, not run, with the time at which capacity is expected.
        """
        self._served.age(now_ms)
        if req.stage is Stage.NEW:
            early_ms = self._returns.early_by(req.identity, now_ms)
            if early_ms and not self._has_spare(req, load, now_ms):
                self._returns.on_early(req.identity, early_ms, now_ms)
                raise Refusal(OVERLOADED, Verdict.NOT_RUN, early_ms, "asked again before its time")
        waiting = self._make_waiting(req, now_ms)
        ahead = [other for other in self._waiting.values() if self._key(other) < self._key(waiting)]
        if not ahead and self._fits(req, load):
            return self._admit(waiting, now_ms)
        # Lost servers come back sooner than a prediction from those left tells.
        waits = req.stage is Stage.BEGUN and req.max_wait_ms > 0
        wait_ms = 0.0 if waits else self._predict_ms(req, len(ahead), load)
        if wait_ms > self._accepted_wait_ms(req) or not self._make_place(waiting):
            self._refund(req)
            raise self._refusal(req, load, wait_ms, now_ms)
        self._waiting[waiting.number] = waiting
        return waiting.number

    def grant(self, load: ServiceLoad, now_ms: int) -> list[Ticket]:
        """Admit waiting requests while there is capacity; numbers are those of `ask`."""
        granted = []
        while self._waiting:
            first = min(self._waiting.values(), key=self._key)
            if not self._may_go(first.request, load):
                break
            first = self._most_pressing(first, load)
            del self._waiting[first.number]
            granted.append(self._admit(first, now_ms))
        return granted

    def expired(self, load: ServiceLoad, now_ms: int) -> dict[int, Refusal]:
        """Remove the requests that have waited too long, and return their refusals."""
        late = [waiting for waiting in self._waiting.values() if waiting.until_ms <= now_ms]
        refusals = {}
        for waiting in late:
            self.leave(waiting.number)
            wait_ms = self._predict_ms(waiting.request, len(self._waiting), load)
            refusals[waiting.number] = self._refusal(waiting.request, load, wait_ms, now_ms)
        return refusals

    def is_waiting(self, number: int) -> bool:
        """Return whether a request still waits; if not, it was admitted or dropped."""
        return number in self._waiting

    def leave(self, number: int) -> None:
        """Remove a waiting request."""
        waiting = self._waiting.pop(number, None)
        if waiting is not None:
            self._refund(waiting.request)

    def release(self, ticket: Ticket, now_ms: int, complete: bool) -> None:
        """Release a ticket; releasing it again has no effect.

        Parameters
        ----------
        complete : bool
            Whether the request was answered completely, so that its duration counts.
        """
        if self._tickets.pop(ticket.number, None) is None:
            return
        if ticket.request.stage is not Stage.BEGUN:
            self._own = self._own.minus(ticket.request.need)
        if complete:
            took_ms = now_ms - ticket.admitted_ms
            weight = DURATION_WEIGHT if self._duration_ms else 1.0
            self._duration_ms += weight * (took_ms - self._duration_ms)

    def dropped_refusal(self, req: ServiceRequest, load: ServiceLoad, now_ms: int) -> Refusal:
        """Return the refusal of a request that was dropped for a more urgent one."""
        wait_ms = self._predict_ms(req, len(self._waiting), load)
        return self._refusal(req, load, wait_ms, now_ms)

    def _make_waiting(self, req: ServiceRequest, now_ms: int) -> _Waiting:
        self._number += 1
        returned = req.stage is Stage.NEW and self._returns.take(req.identity, now_ms)
        tag = self._tags.charge(req.rank, req.workspace, int(req.need.tokens))
        return _Waiting(self._number, req, tag, now_ms + req.max_wait_ms, returned)

    def _refund(self, req: ServiceRequest) -> None:
        self._tags.refund(req.rank, req.workspace, int(req.need.tokens))

    def _key(self, waiting: _Waiting) -> tuple[int, bool, float, int]:
        rank = self._effective_rank(waiting.request)
        return rank, not waiting.returned, waiting.start_tag, waiting.number

    def _effective_rank(self, req: ServiceRequest) -> int:
        """Return the rank by which a request is ordered and may use capacity."""
        if req.stage is not Stage.NEW:
            return -2
        share = self._served.share()
        starving = self._served.share(req.rank) < STARVING_RATIO * share
        return -1 if starving and req.draw < PROMOTED_RATIO * share else req.rank

    def _limit(self, req: ServiceRequest, load: ServiceLoad) -> float:
        rank = self._effective_rank(req)
        if rank == -2:
            return RECOVERY_LIMIT
        if rank <= 0:
            return URGENT_LIMIT
        # Where one request is most of the capacity, it may still use all of it.
        whole = min(1.0, 1 / max(1e-9, load.fits(req.need)))
        return max(MIN_LIMIT, 1 - HEADROOM * rank, whole)

    def _room(self, req: ServiceRequest, load: ServiceLoad) -> float:
        # The ticket of a request that has begun is counted in the VM's own work already.
        own = self._own.minus(req.need) if req.stage is Stage.BEGUN else self._own
        return load.room(own, req.need, self._limit(req, load))

    def _accepted_wait_ms(self, req: ServiceRequest) -> float:
        """Return the longest predicted wait with which a request is queued.

        A short burst is queued as far as the limits allow. The lottery counts the more, the more
        requests are refused, and fully if a quarter of them are.
        """
        if req.stage is not Stage.NEW:
            return req.max_wait_ms
        refused = min(1.0, LOTTERY_FACTOR * (1 - self._served.share()))
        return req.max_wait_ms * (1 - req.draw * refused)

    def _rivals(self, req: ServiceRequest, load: ServiceLoad) -> int:
        """Return how many requests, this one included, the free capacity is for."""
        return 1 + load.queued_up_to(max(0, self._effective_rank(req)))

    def _fits(self, req: ServiceRequest, load: ServiceLoad) -> bool:
        """Return whether there is room for a request and for all that wait elsewhere."""
        if not load.others_known and not self._own.slots:
            return True
        return self._room(req, load) >= self._rivals(req, load)

    def _may_go(self, req: ServiceRequest, load: ServiceLoad) -> bool:
        """Return whether a waiting request is admitted; a new one that asks often draws no more."""
        rivals = self._rivals(req, load)
        if self._fits(req, load):
            return True
        return rivals > 1 and self._rng.random() < self._room(req, load) / rivals

    def _has_spare(self, req: ServiceRequest, load: ServiceLoad, now_ms: int) -> bool:
        """Return whether there is room for all that wait, for all that return, and for this."""
        expected = len(self._waiting) + self._returns.booked(now_ms) + sum(load.others_queued)
        return self._room(req, load) > expected

    def _admit(self, waiting: _Waiting, now_ms: int) -> Ticket:
        req = waiting.request
        self._tags.serve(req.rank, waiting.start_tag)
        if req.stage is Stage.NEW:
            self._served.on_served(req.rank, now_ms)
        if req.stage is not Stage.BEGUN:
            self._own = self._own.plus(req.need)
        ticket = self._tickets[waiting.number] = Ticket(waiting.number, req, now_ms)
        return ticket

    def _most_pressing(self, first: _Waiting, load: ServiceLoad) -> _Waiting:
        """Return the waiting request of the first one's workspace and rank that expires first.

        It uses the room that was found for the first one, and must not need more.
        """
        room = self._room(first.request, load)
        same = [
            other
            for other in self._waiting.values()
            if other is first
            or (
                self._group(other) == self._group(first)
                and self._room(other.request, load) >= min(1, room)
            )
        ]
        pressing = min(same, key=lambda other: (other.until_ms, other.number))
        first.start_tag, pressing.start_tag = pressing.start_tag, first.start_tag
        return pressing

    def _group(self, waiting: _Waiting) -> tuple[WorkspaceId, int, int, Stage, bool]:
        """Return what requests that may change places have in common."""
        req = waiting.request
        rank = self._effective_rank(req)
        return req.workspace, req.rank, rank, req.stage, waiting.returned

    def _make_place(self, waiting: _Waiting) -> bool:
        """Return whether a request may wait; drops less urgent ones for it if that is enough.

        Requests that have begun hold their thread and body anyway, and are not counted.
        """
        if waiting.request.stage is Stage.BEGUN:
            return True
        new = [each for each in self._waiting.values() if each.request.stage is not Stage.BEGUN]
        queue = sorted(new, key=self._key)
        size = waiting.request.size + sum(other.request.size for other in queue)
        dropped = []
        while len(queue) >= self._max_queued or (queue and size > MAX_QUEUED_BYTES):
            last = queue.pop()
            if self._key(last)[0] <= self._key(waiting)[0]:
                return False
            size -= last.request.size
            dropped.append(last.number)
        for number in dropped:
            self.leave(number)
        return True

    def _gap_ms(self, req: ServiceRequest, load: ServiceLoad) -> float:
        """Return the time in which capacity for one such request becomes free, in ms."""
        duration_ms = self._duration_ms or req.usual_ms or req.max_wait_ms
        part = 1.0 if load.others_known else load.share
        gap_ms = duration_ms / max(1e-9, load.fits(req.need) * part)
        return gap_ms / self._rate_share(req)

    def _rate_share(self, req: ServiceRequest) -> float:
        """Return the part of freed capacity that other ranks leave to a request's rank."""
        if self._effective_rank(req) < 0:
            return 1.0
        promoted = PROMOTED_RATIO * self._served.decided_after(req.rank)
        return max(MIN_RATE_SHARE, 1 - self._served.served_before(req.rank) - promoted)

    def _predict_ms(self, req: ServiceRequest, ahead: int, load: ServiceLoad) -> float:
        rivals = ahead + self._rivals(req, load)
        return max(0.0, rivals - self._room(req, load)) * self._gap_ms(req, load)

    def _refusal(
        self, req: ServiceRequest, load: ServiceLoad, wait_ms: float, now_ms: int
    ) -> Refusal:
        if req.stage is Stage.BEGUN:
            return Refusal(OVERLOADED, Verdict.MAY_HAVE_RUN)
        self._served.on_refused(req.rank, now_ms)
        left_ms = max(0, req.deadline_ms - now_ms)
        hint = self._returns.book(
            req.identity, req.rank, now_ms + wait_ms, self._gap_ms(req, load), left_ms, now_ms
        )
        return Refusal(OVERLOADED, Verdict.NOT_RUN, hint, "the service has no capacity in time")
