"""Admission of requests to services whose requests differ in priority.

Such a request is sent once its service has capacity, waits in its thread until then, or is refused
at once as not run if that would be too late. Other services' requests pass at no cost.
"""

import random
import threading
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field

from nutmegdrum.units import PPM, Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ServiceName, WorkspaceId
from nutmegdrum_scheduling.queueing.lottery import draw
from nutmegdrum_scheduling.queueing.service_load import ServiceLoad
from nutmegdrum_scheduling.queueing.service_queue import (
    MAX_QUEUED,
    ServiceQueue,
    ServiceRequest,
    Stage,
    Ticket,
)
from prometheus_client import Counter, Gauge, Histogram

from nutmegdrum_relay.backends import LOAD_VALID, Backends
from nutmegdrum_relay.callers import CallerDisconnected
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.fleet_work import WORK_VALID, SharedWork
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.refusals import STOPPED_BACKOFF
from nutmegdrum_relay.service_capacity import ServiceCapacity
from nutmegdrum_relay.views import ControlView

FRESH_WORK = Duration(100)
"""Age of other entry VMs' work beyond which it is fetched before a decision; the shortest interval
of regular reports."""

RECHECK = Duration(250)
"""Longest time after which waiting requests are looked at again if nothing wakes them: servers that
are up again, or the passing of a report's validity, are no events."""

REFRESH_PAUSE = Duration(500)
"""Time without attempts to fetch others' work after one that failed. Each request waits as long as
a frozen leader's time-out, and its placement tries again anyway."""

OBJECTIVE_DIVISOR = 2
"""Divisor of the latency objective that gives the longest wait; the rest is for the server."""

WAITING_DIVISOR = 4
"""Divisor of the VM's concurrent requests that gives how many may wait for one service, so that
requests to others find a thread."""

_MS_PER_S = 1_000

ADMISSIONS = Counter(
    "nutmegdrum_relay_admissions",
    "Requests to services with priorities, by rank (0: most urgent) and outcome",
    ["service", "rank", "outcome"],
)
WAITED = Histogram(
    "nutmegdrum_relay_admission_seconds",
    "Time that requests waited for capacity until they were admitted or refused, in s",
    ["service", "rank"],
    buckets=(0.01, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10),
)
WAITING = Gauge("nutmegdrum_relay_waiting", "Requests that wait for capacity", ["service"])


@dataclass(eq=False)
class _Waiter:
    """A waiting request; its thread sleeps until the event is set."""

    request: ServiceRequest
    until_ms: int
    woken: threading.Event = field(default_factory=threading.Event)
    outcome: Ticket | v.Refusal | None = None

    def decide(self, outcome: Ticket | v.Refusal) -> None:
        """Set the outcome and wake the thread."""
        self.outcome = outcome
        self.woken.set()


class _Service:
    """Queue and capacity of one service."""

    def __init__(self, rng: random.Random, max_queued: int):
        self.queue = ServiceQueue(rng, max_queued)
        self.capacity = ServiceCapacity()
        self.waiters: dict[int, _Waiter] = {}
        self.asked = 0


class Admission:
    """Blocks a request's thread until the request may be sent; thread-safe.

    Parameters
    ----------
    shared : SharedWork
        Fetches the other entry VMs' work from the leader, and learns when more requests wait.
    max_requests : int
        Maximum number of concurrent requests of this VM, of which a part may wait.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        backends: Backends,
        shared: SharedWork,
        max_requests: int,
    ):
        self._clock = clock
        self._rng = rng
        self._backends = backends
        self._shared = shared
        self._max_queued = min(MAX_QUEUED, max(1, max_requests // WAITING_DIVISOR))
        self._lock = threading.Lock()
        self._services: dict[ServiceName, _Service] = {}
        self._entry_vms = 0
        self._refresh_from_ms = 0
        self._stopped = False
        self._shares: dict[ServiceName, int] = {}
        self._others_queued: dict[ServiceName, tuple[int, ...]] = {}
        self._others_queued_ms = 0

    @contextmanager
    def admitted(self, pending: PendingRequest) -> Iterator[None]:
        """Admit a request, after a wait if necessary, and hold its capacity while it runs.

        Raises
        ------
        Refusal
            If it could not be served in time, or this VM is being stopped; it has not run.
        CallerDisconnected
            If its caller left while it waited.
        """
        if not _is_controlled(pending):
            yield
            return
        ticket = self._admit(pending)
        try:
            yield
        finally:
            if ticket is not None:
                self._release(pending.service.name, ticket, pending.answer_whole)

    def readmit(self, pending: PendingRequest, max_wait: Duration) -> bool:
        """Wait until a stream that has begun and lost its server may be sent again.

        It goes before all requests that have not begun. It keeps the capacity that it was admitted
        with, so that it only waits while the servers that are left are full.

        Returns
        -------
        bool
            False if the wait has passed, or the caller has left, or this VM is being stopped.
        """
        if not _is_controlled(pending):
            return True
        req = self._request(pending, max_wait, Stage.BEGUN)
        try:
            ticket = self._wait_for_ticket(pending, req)
        except (v.Refusal, CallerDisconnected):
            return False
        if ticket is not None:
            self._release(pending.service.name, ticket, complete=False)
        return True

    def stop(self) -> None:
        """Refuse the requests that wait; else the end of other calls would let them be sent."""
        with self._lock:
            self._stopped = True
            for service in self._services.values():
                for waiter in service.waiters.values():
                    waiter.woken.set()

    def wants_work(self) -> bool:
        """Return whether requests wait, so that reports should ask for others' work."""
        return any(service.waiters for service in list(self._services.values()))

    def queued(self) -> dict[ServiceName, tuple[int, ...]]:
        """Return this VM's waiting requests by service and rank."""
        with self._lock:
            return {
                name: each.queue.queued() for name, each in self._services.items() if each.queue
            }

    def take_asked(self) -> dict[ServiceName, int]:
        """Return the number of requests by service since the last call."""
        with self._lock:
            asked = {name: each.asked for name, each in self._services.items() if each.asked}
            for name in asked:
                self._services[name].asked = 0
            return asked

    def set_entry_vms(self, entry_vms: int) -> None:
        """Set the number of entry VMs; without shares from the leader, all have equal ones."""
        self._entry_vms = entry_vms

    def on_view(self, view: ControlView) -> None:
        """Apply a fresh view and admit the requests for which there is capacity now."""
        if view.entry_vms:
            self._entry_vms = view.entry_vms
        if view.capacity_shares:
            self._shares = view.capacity_shares
        self._others_queued = view.queued
        self._others_queued_ms = self._clock.elapsed_ms()
        if self.wants_work():
            with self._lock:
                for name, service in self._services.items():
                    self._wake(name, service)

    def _admit(self, pending: PendingRequest) -> Ticket | None:
        stage = Stage.RESUMED if pending.terms.last_event_id else Stage.NEW
        return self._wait_for_ticket(pending, self._request(pending, None, stage))

    def _request(
        self, pending: PendingRequest, max_wait: Duration | None, stage: Stage
    ) -> ServiceRequest:
        name = pending.service.name
        with self._lock:
            service = self._services.get(name)
            if service is None:
                service = self._services[name] = _Service(self._rng, self._max_queued)
            service.capacity.set_service(pending.service)
            usual_ms = service.queue.usual_ms
        left_ms = max(0, pending.time_to_deadline(self._clock))
        if max_wait is None:
            max_wait = Duration(max(0, left_ms - usual_ms))
            if pending.route.latency_objective:
                half = pending.route.latency_objective // OBJECTIVE_DIVISOR
                max_wait = Duration(min(max_wait, half))
        return ServiceRequest(
            identity=pending.fingerprint,
            workspace=pending.workspace or WorkspaceId(""),
            rank=pending.priorities.index(pending.urgency),
            need=service.capacity.need(pending.demand),
            size=len(pending.body),
            max_wait_ms=int(max_wait),
            deadline_ms=pending.deadline_ms,
            usual_ms=usual_ms,
            draw=draw(pending.fingerprint, self._clock.wall_ms()),
            stage=stage,
        )

    def _wait_for_ticket(self, pending: PendingRequest, req: ServiceRequest) -> Ticket | None:
        """Return a ticket; None if nothing is known of the capacity, as without a server."""
        name, began_ms = pending.service.name, self._clock.elapsed_ms()
        service = self._services[name]
        if req.need.tokens:
            self._refresh_work()
        asked_ms = self._clock.elapsed_ms()
        req = req._replace(max_wait_ms=max(0, req.max_wait_ms - (asked_ms - began_ms)))
        waiter = _Waiter(req, asked_ms + req.max_wait_ms)
        with self._lock:
            service.asked += 1
            load = self._load(name, service)
            if not load.is_known and req.stage is not Stage.BEGUN:
                return None
            try:
                result = service.queue.ask(req, load, asked_ms)
            except v.Refusal as refusal:
                self._log(pending, req, load, service, "refused", began_ms, refusal)
                raise
            if isinstance(result, Ticket):
                ADMISSIONS.labels(name, str(req.rank), "at-once").inc()
                return result
            service.waiters[result] = waiter
            WAITING.labels(name).inc()
        # Others predict their waits by what waits here, and leave room for it.
        self._shared.on_work_changed()
        pending.on_wake = waiter.woken.set
        try:
            return self._wait(pending, service, result, waiter, began_ms)
        finally:
            pending.on_wake = None
            WAITING.labels(name).dec()
            self._shared.on_work_changed()

    def _refresh_work(self) -> None:
        recent = self._backends.others_age() <= FRESH_WORK
        if recent or self._clock.elapsed_ms() < self._refresh_from_ms:
            return
        if not self._shared.refresh(places=False):
            self._refresh_from_ms = self._clock.elapsed_ms() + int(REFRESH_PAUSE)

    def _wait(
        self,
        pending: PendingRequest,
        service: _Service,
        number: int,
        waiter: _Waiter,
        began_ms: int,
    ) -> Ticket:
        outcome = None
        while outcome is None and not self._is_over(pending):
            left_ms = max(1, waiter.until_ms - self._clock.elapsed_ms())
            waiter.woken.wait(min(left_ms, RECHECK) / _MS_PER_S)
            with self._lock:
                self._wake(pending.service.name, service)
                outcome = waiter.outcome
        with self._lock:
            outcome = waiter.outcome
            service.waiters.pop(number, None)
            service.queue.leave(number)
            load = self._load(pending.service.name, service)
            if self._is_over(pending):
                if isinstance(outcome, Ticket):
                    service.queue.release(outcome, self._clock.elapsed_ms(), complete=False)
                self._wake(pending.service.name, service)
                word = "caller-gone" if pending.caller_gone else "stopped"
                self._log(pending, waiter.request, load, service, word, began_ms)
                if pending.caller_gone:
                    raise CallerDisconnected
                raise v.Refusal(v.SHUTTING_DOWN, retry_after_ms=int(STOPPED_BACKOFF))
        if isinstance(outcome, Ticket):
            self._log(pending, waiter.request, load, service, "after-waiting", began_ms)
            return outcome
        assert outcome is not None
        self._log(pending, waiter.request, load, service, "expired", began_ms, outcome)
        raise outcome

    def _is_over(self, pending: PendingRequest) -> bool:
        return pending.caller_gone or pending.ended or self._stopped

    def _wake(self, name: ServiceName, service: _Service) -> None:
        """Decide on the waiting requests of a service and wake those that are decided."""
        if not service.waiters or self._stopped:
            return
        now_ms = self._clock.elapsed_ms()
        load = self._load(name, service)
        for ticket in service.queue.grant(load, now_ms):
            service.waiters.pop(ticket.number).decide(ticket)
        for number, refusal in service.queue.expired(load, now_ms).items():
            service.waiters.pop(number).decide(refusal)
        for number in [n for n in service.waiters if not service.queue.is_waiting(n)]:
            waiter = service.waiters.pop(number)
            waiter.decide(service.queue.dropped_refusal(waiter.request, load, now_ms))

    def _release(self, name: ServiceName, ticket: Ticket, complete: bool) -> None:
        with self._lock:
            service = self._services[name]
            service.queue.release(ticket, self._clock.elapsed_ms(), complete)
            self._wake(name, service)

    def _load(self, name: ServiceName, service: _Service) -> ServiceLoad:
        now_ms, age_ms = self._clock.elapsed_ms(), int(self._backends.others_age())
        # Plain servers' requests need no work of others, so that its age tells nothing of these.
        queued_valid = now_ms - self._others_queued_ms <= WORK_VALID
        share_ppm = self._shares.get(name, PPM // self._entry_vms if self._entry_vms else 0)
        return service.capacity.load(
            self._backends.of_service(name),
            now_ms,
            others_known=age_ms <= WORK_VALID,
            share=share_ppm / PPM,
            others_queued=self._others_queued.get(name, ()) if queued_valid else (),
            age_ms=age_ms,
        )

    def _log(
        self,
        pending: PendingRequest,
        req: ServiceRequest,
        load: ServiceLoad,
        service: _Service,
        outcome: str,
        began_ms: int,
        refusal: v.Refusal | None = None,
    ) -> None:
        waited_ms = self._clock.elapsed_ms() - began_ms
        ADMISSIONS.labels(pending.service.name, str(req.rank), outcome).inc()
        WAITED.labels(pending.service.name, str(req.rank)).observe(waited_ms / _MS_PER_S)
        log_decision(
            "admission",
            request=pending.terms.request_id,
            service=pending.service.name,
            rank=req.rank,
            stage=req.stage.value,
            outcome=outcome,
            waited_ms=waited_ms,
            max_wait_ms=req.max_wait_ms,
            queued=len(service.queue),
            others_queued=sum(load.others_queued),
            capacity=load.capacity,
            own=service.queue.own,
            others=load.others if load.others_known else None,
            share=None if load.others_known else round(load.share, 4),
            work_age_ms=load.age_ms,
            retry_after_ms=refusal.retry_after_ms if refusal is not None else None,
        )


def _is_controlled(pending: PendingRequest) -> bool:
    """Return whether a request passes admission control.

    What load reports tell of plain servers is older than short requests last, so that a wait for
    their end would be a wait for nothing.
    """
    if len(pending.priorities) < 2 or pending.passed_on:
        return False
    return pending.service.engine is not None or pending.demand.time() > LOAD_VALID


class NoAdmission:
    """Null implementation, which admits every request at once."""

    @contextmanager
    def admitted(self, pending: PendingRequest) -> Iterator[None]:
        """Admit a request."""
        yield

    def stop(self) -> None:
        """Do nothing."""


NO_ADMISSION = NoAdmission()
