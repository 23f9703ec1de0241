"""Entry VMs that admit callers' requests to the engines of one service, in model time.

Without admission, a request goes to the engine with the fewest requests, which queues 25 beyond its
slots by priority and rejects more. A second kind of caller asks again at once, at any entry VM.
"""

import heapq
import random
from collections import Counter
from collections.abc import Callable, Collection, Sequence
from typing import Any, NamedTuple

from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import Refusal
from nutmegdrum_scheduling.queueing.lottery import draw
from nutmegdrum_scheduling.queueing.service_load import Amount, ServiceLoad
from nutmegdrum_scheduling.queueing.service_queue import (
    ServiceQueue,
    ServiceRequest,
    Stage,
    Ticket,
)

SLOTS, ENGINE_QUEUE, CACHE_TOKENS = 12, 25, 55_000
NEED = Amount(1, 4_000)
RUN_MS, FIRST_MS = 1_500, 300
"""Mean time of a request at its engine, and from its start there to its first event, in ms."""

OBJECTIVE_MS, DEADLINE_MS = 1_000, 9_000
MAX_WAIT_MS = OBJECTIVE_MS // 2
RECOVERY_WAIT_MS = 2_000
"""Time that the caller of an interrupted stream waits for its next event, in ms."""

VIEW_MS, REPORT_MS = 100, 40
"""Intervals at which an entry VM with waiting requests looks at them again, and at which the leader
learns how many wait everywhere, which an arriving request fetches; in ms."""

REJECTED_HINT_MS = 1_000
"""Backoff hint of a full engine, in ms."""

PATIENT_TURNS, HASTY_TURNS, HASTY_PAUSE_MS = 2, 20, 20
HASTY_SHARE, URGENT_SHARE, LARGE_SHARE, SMALL_WORKSPACES = 0.1, 0.4, 0.5, 20


class Caller(NamedTuple):
    """Caller of one request over all its turns."""

    number: int
    rank: int
    workspace: str
    hasty: bool
    began_ms: int

    @property
    def kinds(self) -> tuple[str, ...]:
        """Return the kinds of callers by which outcomes are counted."""
        size = "large" if self.workspace == "large" else "small"
        return f"rank{self.rank}", size, "hasty" if self.hasty else "patient", "all"


class Job(NamedTuple):
    """One turn of a caller, from its arrival at an entry VM on."""

    caller: Caller
    turn: int
    asked_ms: int
    vm: int
    begun: bool = False
    held: Ticket | None = None


class AdmissionFleet:
    """Engines, entry VMs and callers, played in model time.

    Parameters
    ----------
    load : float
        Offered load as a multiple of the engines' capacity.
    admission : bool
        Whether entry VMs admit requests, or send all at once.

    Attributes
    ----------
    asked, served : Counter
        Callers, and those whose first event came within the objective of one of their turns.
    lost, continued : int
        Requests that ran on a lost engine, and those of them that ran again in time.
    peak : float
        Most requests at engines that were up, as a multiple of their slots.
    """

    def __init__(self, vms: int, engines: int, load: float, seed: int = 1, admission: bool = True):
        self._rng = random.Random(seed)
        self._admission = admission
        self._up = [True] * engines
        self._running: list[dict[int, Job]] = [{} for _ in range(engines)]
        self._queued: list[list[tuple[int, int, Job]]] = [[] for _ in range(engines)]
        self._queues = [ServiceQueue(random.Random(f"{seed}/{vm}")) for vm in range(vms)]
        self._waiting: dict[tuple[int, int], Job] = {}
        self._cut_off: set[int] = set()
        self._reported = [0, 0]
        self._rate = load * SLOTS * engines / RUN_MS
        self._events: list[tuple[float, int, Callable[..., None], tuple[Any, ...]]] = []
        self._number = 0
        self._exact_ms, self._now_ms = 0.0, 0
        self.asked: Counter[str] = Counter()
        self.served: Counter[str] = Counter()
        self.lost = self.continued = self.rounds = self.longest_wait_ms = 0
        self.peak = 0.0

    def play(self, until_ms: int, events: Sequence[tuple[Any, ...]] = ()) -> "AdmissionFleet":
        """Play until a time; each event is a time in ms, the name of a method and its arguments."""
        for at_ms, name, *args in events:
            self._at(at_ms, getattr(self, name), *args)
        self._at(0, self._arrive)
        self._at(0, self._view)
        self._at(0, self._report)
        while self._events and self._events[0][0] < until_ms:
            at_ms, _, run, arguments = heapq.heappop(self._events)
            # Rounded gaps between arrivals would be shorter, and the load higher.
            self._exact_ms, self._now_ms = at_ms, int(at_ms)
            run(*arguments)
        return self

    def share(self, kind: str) -> float:
        """Return the share of callers of a kind who were served in time."""
        return self.served[kind] / max(1, self.asked[kind])

    def figures(self) -> str:
        """Return all results in one line."""
        shares = " ".join(f"{kind} {self.share(kind):.2f}" for kind in sorted(self.asked))
        return (
            f"in time: {shares}; longest wait before a refusal {self.longest_wait_ms} ms; rounds"
            f" {self.rounds}; peak {self.peak:.2f}; continued {self.continued} of {self.lost}"
        )

    def lose(self, part: float, up_after_ms: int) -> None:
        """Lose a part of the engines with their requests; they are back after some time."""
        for engine in range(int(len(self._up) * part)):
            jobs = [*self._running[engine].values(), *(job for *_, job in self._queued[engine])]
            self._up[engine], self._running[engine], self._queued[engine] = False, {}, []
            self._at(up_after_ms, self._restore, engine)
            for job in jobs:
                self.lost += 1
                self._recover(job._replace(asked_ms=self._now_ms, begun=True))

    def cut_off(self, vms: Collection[int]) -> None:
        """Set the entry VMs that cannot reach a leader."""
        self._cut_off = set(vms)

    def restart(self, vm: int) -> None:
        """Restart an entry VM, which forgets what waits and what it has sent."""
        self._queues[vm] = ServiceQueue(self._rng)
        for key in [key for key in self._waiting if key[0] == vm]:
            self._refuse(self._waiting.pop(key), HASTY_PAUSE_MS)

    def _at(self, wait_ms: float, run: Callable[..., None], *args: Any) -> None:
        self._number += 1
        heapq.heappush(self._events, (self._exact_ms + wait_ms, self._number, run, args))

    def _restore(self, engine: int) -> None:
        self._up[engine] = True

    def _arrive(self) -> None:
        self._at(self._rng.expovariate(self._rate), self._arrive)
        rng = self._rng
        large = rng.random() < LARGE_SHARE
        caller = Caller(
            self._number,
            int(rng.random() >= URGENT_SHARE),
            "large" if large else f"small{rng.randrange(SMALL_WORKSPACES)}",
            rng.random() < HASTY_SHARE,
            self._now_ms,
        )
        self.asked.update(caller.kinds)
        self._ask(caller, 1)

    def _load(self, vm: int) -> ServiceLoad:
        up = [engine for engine, is_up in enumerate(self._up) if is_up]
        others = sum(map(self._busy, up)) - self._queues[vm].own.slots
        own = (*self._queues[vm].queued(), 0, 0)
        return ServiceLoad(
            Amount(SLOTS * len(up), CACHE_TOKENS * len(up)),
            Amount(others, NEED.tokens * others),
            vm not in self._cut_off,
            1 / len(self._queues),
            tuple(max(0, n - mine) for n, mine in zip(self._reported, own, strict=False)),
        )

    def _ask(self, caller: Caller, turn: int) -> None:
        job = Job(caller, turn, self._now_ms, self._rng.randrange(len(self._queues)))
        if not self._admission:
            self._send(job)
            return
        try:
            self._enter(job, self._request(job, MAX_WAIT_MS))
        except Refusal as refusal:
            self._refuse(job, refusal.retry_after_ms or 0)

    def _recover(self, job: Job) -> None:
        """Send a request that has begun once more."""
        if not self._admission:
            self._send(job)
            return
        try:
            self._enter(job, self._request(job, RECOVERY_WAIT_MS)._replace(stage=Stage.BEGUN))
        except Refusal:
            self._release(job, complete=False)

    def _request(self, job: Job, max_wait_ms: int) -> ServiceRequest:
        caller = job.caller
        return ServiceRequest(
            identity=caller.number,
            workspace=WorkspaceId(caller.workspace),
            rank=caller.rank,
            need=NEED,
            size=20_000,
            max_wait_ms=max_wait_ms,
            deadline_ms=caller.began_ms + DEADLINE_MS,
            draw=draw(str(caller.number), self._now_ms),
        )

    def _enter(self, job: Job, req: ServiceRequest) -> None:
        result = self._queues[job.vm].ask(req, self._load(job.vm), self._now_ms)
        if isinstance(result, Ticket):
            self._admit(job, result)
            return
        self._waiting[job.vm, result] = job
        self._at(req.max_wait_ms, self._wake, job.vm)

    def _admit(self, job: Job, ticket: Ticket) -> None:
        if job.begun:
            self._queues[job.vm].release(ticket, self._now_ms, complete=False)
            self._send(job)
        else:
            self._send(job._replace(held=ticket))

    def _refuse(self, job: Job, hint_ms: int) -> None:
        if job.begun:
            self._release(job, complete=False)
            return
        self.longest_wait_ms = max(self.longest_wait_ms, self._now_ms - job.asked_ms)
        caller, left_ms = job.caller, self._left_ms(job.caller)
        if job.turn < (HASTY_TURNS if caller.hasty else PATIENT_TURNS) and left_ms > FIRST_MS:
            pause_ms = HASTY_PAUSE_MS if caller.hasty else min(hint_ms, left_ms / 3)
            self._at(pause_ms, self._ask, caller, job.turn + 1)

    def _left_ms(self, caller: Caller) -> int:
        return DEADLINE_MS - (self._now_ms - caller.began_ms)

    def _send(self, job: Job) -> None:
        up = [engine for engine, is_up in enumerate(self._up) if is_up]
        engine = min(up, key=lambda engine: (self._busy(engine), self._rng.random()))
        if self._busy(engine) >= SLOTS + ENGINE_QUEUE:
            self._refuse(job, REJECTED_HINT_MS)
            self._release(job, complete=False)
            return
        self._number += 1
        heapq.heappush(self._queued[engine], (job.caller.rank, self._number, job))
        self._start(engine)
        self.peak = max(self.peak, sum(map(self._busy, up)) / (SLOTS * len(up)))

    def _busy(self, engine: int) -> int:
        return len(self._running[engine]) + len(self._queued[engine])

    def _start(self, engine: int) -> None:
        while self._queued[engine] and len(self._running[engine]) < SLOTS:
            _, number, job = heapq.heappop(self._queued[engine])
            self._running[engine][number] = job
            waited_ms = self._now_ms + FIRST_MS - job.asked_ms
            if job.begun:
                self.continued += waited_ms <= RECOVERY_WAIT_MS
            elif waited_ms <= OBJECTIVE_MS:
                self.served.update(job.caller.kinds)
                self.rounds = max(self.rounds, job.turn)
            self._at(RUN_MS * self._rng.uniform(0.7, 1.3), self._end, engine, number)

    def _end(self, engine: int, number: int) -> None:
        job = self._running[engine].pop(number, None)
        if job is not None:
            self._start(engine)
            self._release(job, complete=True)

    def _release(self, job: Job, complete: bool) -> None:
        if job.held is not None:
            self._queues[job.vm].release(job.held, self._now_ms, complete)
            self._wake(job.vm)

    def _wake(self, vm: int) -> None:
        load, queue = self._load(vm), self._queues[vm]
        for ticket in queue.grant(load, self._now_ms):
            self._admit(self._waiting.pop((vm, ticket.number)), ticket)
        for number, refusal in queue.expired(load, self._now_ms).items():
            self._refuse(self._waiting.pop((vm, number)), refusal.retry_after_ms or 0)

    def _view(self) -> None:
        self._at(VIEW_MS, self._view)
        for vm, queue in enumerate(self._queues):
            if len(queue):
                self._at(self._rng.random() * VIEW_MS, self._wake, vm)

    def _report(self) -> None:
        self._at(REPORT_MS, self._report)
        ranks = [(*queue.queued(), 0, 0) for queue in self._queues]
        self._reported = [sum(counts[rank] for counts in ranks) for rank in (0, 1)]
