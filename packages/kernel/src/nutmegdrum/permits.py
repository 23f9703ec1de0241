"""Permits to send to backend servers with a limit that all entry VMs share.

The state leader grants a permit for each request, retries and probes included, so that entry VMs
without traffic hold no part of a limit. While no leader answers, each entry VM sends an equal part
of the limit at times of its own. A server that can reject only a few requests gets a few at a time,
so that a rejection is known before many more are sent, and hardly any after one.
"""

import random
import threading
from collections.abc import Callable, Collection, Sequence
from typing import NamedTuple, Protocol

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, ServiceName, VmId
from nutmegdrum_scheduling.resends.budget import SharedRetryBudget
from nutmegdrum_scheduling.resends.kinds import Resend
from prometheus_client import Counter

from nutmegdrum.rate_limits import NO_LIMITS, AnnouncedLimit, KnownLimits, ServerLimits
from nutmegdrum.units import Duration

BURST = Duration(1_000)
"""Time over which an unused rate accumulates; a quarter of the users' window for limits."""

MIN_PER_S = 0.25
"""Rate of a server whose limit is lower, or 0; without any request its limit would never end."""

REJECTED_SHARE = 0.25
"""Share of the rejections that a server can bear, sent within `REJECTION_KNOWN` or, to a full
server, in a second; the rest is for requests on their way and for changes of leader."""

REJECTION_KNOWN = Duration(20)
"""Time within which the leader knows of a rejection; several round trips between data centres."""

FULL_VALID = Duration(1_000)
"""Time after a rejection for which a server counts as full."""

LEADER_RETRY = Duration(300)
"""Time after an unanswered request for a permit in which the leader is not asked again."""

DENIED_VALID = Duration(1_000)
"""Time for which an entry VM that was denied a permit counts as waiting for one."""

UNKNOWN_ENTRY_VMS = 32
"""Assumed number of entry VMs before the leader has told it."""

_MS_PER_S = 1_000

PERMITS = Counter("nutmegdrum_permits", "Permits for servers with limits by outcome", ["outcome"])


class WantedServer(msgspec.Struct, frozen=True, array_like=True):
    """Backend server that a request may be sent to, with its limit as the entry VM knows it."""

    backend: BackendId
    limit: AnnouncedLimit


class PermitRequest(msgspec.Struct, frozen=True, kw_only=True):
    """Request of an entry VM to send one request to one of several backend servers.

    Attributes
    ----------
    wanted : tuple of WantedServer
        Backend servers in the order of preference; none only to report `rejected_by`.
    max_wait_ms : int
        Longest time that the request can wait for its turn, in ms.
    rejected_by : BackendId or None
        Backend server that has just rejected a request for want of room.
    resend_to : ServiceName
        Service to which a request is to be sent again, from the shared retry budget; empty if the
        request is for a backend server with a limit.
    resend : Resend
        Reason to send it again.
    """

    vm: VmId
    wanted: tuple[WantedServer, ...] = ()
    max_wait_ms: int = 0
    rejected_by: BackendId | None = None
    resend_to: ServiceName = ServiceName("")
    resend: Resend = Resend.RETRY


class Permit(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to a `PermitRequest`.

    Attributes
    ----------
    backend : BackendId or None
        Backend server to send to; None if the permit is denied.
    wait_ms : int
        Time until the request may be sent, or until a denied VM should ask again, in ms.
    may_resend : bool or None
        Answer to `resend_to`; None from a leader of an earlier version, which knows no budget.
    """

    backend: BackendId | None
    wait_ms: int
    may_resend: bool | None = None


class Pace(NamedTuple):
    """Rate of requests a second, and the time over which an unused rate accumulates."""

    per_s: float
    burst: Duration

    @property
    def interval_ms(self) -> float:
        """Return the time between two requests at this rate."""
        return _MS_PER_S / self.per_s

    @property
    def allowance_ms(self) -> float:
        """Return by how much a request may come before its turn."""
        return max(0.0, self.burst - self.interval_ms)


def pace_of(limits: ServerLimits, is_full: bool) -> Pace | None:
    """Return the pace that keeps a backend server's limits; None if it has none."""
    paces = []
    if limits.per_s is not None:
        paces.append(Pace(max(MIN_PER_S, limits.per_s), BURST))
    if limits.max_rejected is not None:
        part = max(1, limits.max_rejected) * REJECTED_SHARE
        if is_full:
            paces.append(Pace(part, Duration(0)))
        else:
            paces.append(Pace(part * _MS_PER_S / REJECTION_KNOWN, REJECTION_KNOWN))
    return min(paces, key=lambda pace: pace.per_s, default=None)


class Pacer:
    """Spaces requests at a pace (generic cell rate algorithm); not thread-safe.

    Parameters
    ----------
    first_ms : int
        Elapsed time in ms of the first request's turn.
    """

    def __init__(self, first_ms: int):
        self._next_ms: float | None = None
        self._first_ms = first_ms

    def wait_ms(self, pace: Pace, now_ms: int) -> int:
        """Return the time until the next request's turn, in ms."""
        return max(0, int(self._due_ms(pace) - pace.allowance_ms) - now_ms)

    def take(self, pace: Pace, now_ms: int) -> int:
        """Use the next turn, and return the time until then in ms."""
        wait_ms = self.wait_ms(pace, now_ms)
        self._next_ms = max(self._due_ms(pace), now_ms + wait_ms) + pace.interval_ms
        return wait_ms

    def delay(self, pace: Pace, now_ms: int) -> None:
        """Put the next turn off by one interval from now, as the pace has become slower."""
        due_ms = now_ms + pace.interval_ms + pace.allowance_ms
        self._next_ms = max(self._due_ms(pace), due_ms)

    def _due_ms(self, pace: Pace) -> float:
        if self._next_ms is None:
            return self._first_ms + pace.allowance_ms
        return self._next_ms


class _Turns:
    """Turns of requests at each backend server with a limit; not thread-safe.

    Parameters
    ----------
    sharers : callable
        Returns the number of VMs that give out an equal part of each limit, without telling each
        other of rejections.
    first_wait_ms : callable
        Returns the time until the first turn at a pace, in ms.
    """

    def __init__(
        self,
        clock: Clock,
        limits: KnownLimits,
        sharers: Callable[[], int] = lambda: 1,
        first_wait_ms: Callable[[Pace], int] = lambda pace: 0,
    ):
        self._clock = clock
        self._limits = limits
        self._sharers = sharers
        self._first_wait_ms = first_wait_ms
        self._pacers: dict[BackendId, Pacer] = {}
        self._full_until_ms: dict[BackendId, int] = {}

    def pace(self, backend: BackendId) -> Pace | None:
        """Return the pace of requests to a backend server now; None if it has no limit."""
        now_ms = self._clock.elapsed_ms()
        limits, sharers = self._limits.of(backend), self._sharers()
        is_full = now_ms < self._full_until_ms.get(backend, now_ms)
        # If each VM had to learn it by a rejection of its own, these could be too many.
        is_full = is_full or sharers > max(1, limits.max_rejected or 0)
        pace = pace_of(limits, is_full)
        return None if pace is None else Pace(pace.per_s / sharers, pace.burst)

    def wait_ms(self, backend: BackendId) -> int:
        """Return the time until the next turn at a backend server, in ms."""
        pace = self.pace(backend)
        now_ms = self._clock.elapsed_ms()
        return 0 if pace is None else self._pacer(backend, pace).wait_ms(pace, now_ms)

    def take(self, backend: BackendId) -> int:
        """Use the next turn at a backend server, and return the time until then in ms."""
        pace = self.pace(backend)
        now_ms = self._clock.elapsed_ms()
        return 0 if pace is None else self._pacer(backend, pace).take(pace, now_ms)

    def on_rejected(self, backend: BackendId) -> None:
        """Record that a backend server has no room."""
        now_ms = self._clock.elapsed_ms()
        self._full_until_ms[backend] = now_ms + int(FULL_VALID)
        pace = self.pace(backend)
        if pace is not None:
            self._pacer(backend, pace).delay(pace, now_ms)

    def retain(self, listed: Collection[BackendId]) -> None:
        """Forget backend servers that are not listed any more."""
        self._pacers = {b: pacer for b, pacer in self._pacers.items() if b in listed}
        self._full_until_ms = {b: ms for b, ms in self._full_until_ms.items() if b in listed}

    def clear(self) -> None:
        """Forget all turns, as another VM gives them out."""
        self._pacers.clear()

    def _pacer(self, backend: BackendId, pace: Pace) -> Pacer:
        pacer = self._pacers.get(backend)
        if pacer is None:
            first_ms = self._clock.elapsed_ms() + self._first_wait_ms(pace)
            pacer = self._pacers[backend] = Pacer(first_ms)
        return pacer


class ResendGrants(Protocol):
    """Grants resends to entry VMs."""

    def grant(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it."""
        ...


class PermitLedger:
    """Permits granted by the state leader; thread-safe.

    Parameters
    ----------
    limits : KnownLimits
        Limits that entry VMs have reported.
    retries : ResendGrants or None
        Grants resends; None for those of the usual limits.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        limits: KnownLimits,
        retries: ResendGrants | None = None,
    ):
        self.limits = limits
        self._clock = clock
        self._rng = rng
        self._lock = threading.Lock()
        self._turns = _Turns(clock, limits)
        self._retries = retries or SharedRetryBudget(clock)
        self._denied_ms: dict[VmId, int] = {}

    def request(self, request: PermitRequest) -> Permit:
        """Grant or deny a request, after recording what it says about backend servers."""
        if request.resend_to:
            may_resend = self._retries.grant(request.resend_to, request.resend)
            return Permit(backend=None, wait_ms=0, may_resend=may_resend)
        self.limits.merge({wanted.backend: wanted.limit for wanted in request.wanted})
        with self._lock:
            if request.rejected_by is not None:
                self._turns.on_rejected(request.rejected_by)
            if not request.wanted:
                return Permit(backend=None, wait_ms=0)
            waits = {w.backend: self._turns.wait_ms(w.backend) for w in request.wanted}
            best = min(waits, key=lambda backend: waits[backend])
            if waits[best] > request.max_wait_ms:
                return Permit(backend=None, wait_ms=self._deny(request.vm, waits[best], best))
            self._denied_ms.pop(request.vm, None)
            return Permit(backend=best, wait_ms=self._turns.take(best))

    def retain(self, listed: Collection[BackendId]) -> None:
        """Forget backend servers that are not listed any more."""
        self.limits.retain(listed)
        with self._lock:
            self._turns.retain(listed)

    def _deny(self, vm: VmId, wait_ms: int, backend: BackendId) -> int:
        """Return when a denied VM should ask again; VMs that wait share the turns evenly."""
        now_ms = self._clock.elapsed_ms()
        oldest_ms = now_ms - DENIED_VALID
        self._denied_ms = {v: ms for v, ms in self._denied_ms.items() if ms >= oldest_ms}
        waiting = len(self._denied_ms.keys() - {vm})
        pace = self._turns.pace(backend)
        spread_ms = 0.0 if pace is None else waiting * pace.interval_ms * self._rng.random()
        self._denied_ms[vm] = now_ms
        return wait_ms + min(int(spread_ms), DENIED_VALID)


class ResendRequests:
    """Requests of one entry VM for resends from the shared retry budget.

    Parameters
    ----------
    ask : callable
        Asks the leader; returns None if it does not answer.
    """

    def __init__(self, vm: VmId, ask: Callable[[PermitRequest], Permit | None]):
        self._vm = vm
        self._ask = ask

    def __call__(self, service: ServiceName, kind: Resend) -> bool | None:
        """Return whether the leader grants a resend; None if it does not answer."""
        permit = self._ask(PermitRequest(vm=self._vm, resend_to=service, resend=kind))
        return None if permit is None else permit.may_resend


class Permits:
    """Permits of one entry VM; thread-safe.

    Parameters
    ----------
    limits : KnownLimits
        Limits that this VM knows.
    ask : callable
        Asks the leader for a permit; returns None if it does not answer.
    pause : callable
        Waits until a request's turn.
    """

    def __init__(
        self,
        vm: VmId,
        clock: Clock,
        rng: random.Random,
        limits: KnownLimits,
        ask: Callable[[PermitRequest], Permit | None],
        pause: Callable[[Duration], None],
    ):
        self._entry_vms = UNKNOWN_ENTRY_VMS
        self._vm = vm
        self._clock = clock
        self._limits = limits
        self._ask = ask
        self._pause = pause
        self._lock = threading.Lock()
        self._denied_until_ms: dict[BackendId, int] = {}
        self._leader_silent_until_ms = 0
        # A random first turn, or all entry VMs would send at the moment the leader is lost.
        self._own_turns = _Turns(
            clock,
            limits,
            sharers=lambda: self._entry_vms,
            first_wait_ms=lambda pace: int(rng.random() * pace.interval_ms),
        )

    def set_entry_vms(self, count: int) -> None:
        """Set the number of entry VMs that share the limits while no leader answers."""
        self._entry_vms = count

    def is_needed(self, backend: BackendId) -> bool:
        """Return whether a request to this backend server needs a permit."""
        return self._limits.of(backend) != NO_LIMITS

    def denied_for(self, backend: BackendId) -> Duration:
        """Return the time for which a backend server is closed to this VM for want of permits."""
        if not self.is_needed(backend):
            return Duration(0)
        left_ms = self._denied_until_ms.get(backend, 0) - self._clock.elapsed_ms()
        return Duration(max(0, left_ms))

    def acquire(
        self, backends: Sequence[BackendId], max_wait: Duration = Duration(0)
    ) -> BackendId | None:
        """Get a permit for one of `backends`, and wait for its turn.

        Returns
        -------
        BackendId or None
            Backend server to send one request to; None if no permit is to be had in time.
        """
        for backend in backends:
            if not self.is_needed(backend):
                return backend
        open_now = [backend for backend in backends if self.denied_for(backend) <= max_wait]
        if not open_now:
            return None
        permit = self._request(open_now, max_wait)
        if permit.backend is None:
            PERMITS.labels("denied").inc()
            until_ms = self._clock.elapsed_ms() + max(1, permit.wait_ms)
            for backend in open_now:
                self._denied_until_ms[backend] = until_ms
            return None
        PERMITS.labels("granted").inc()
        if permit.wait_ms > 0:
            self._pause(Duration(permit.wait_ms))
        return permit.backend

    def on_rejected(self, backend: BackendId) -> None:
        """Record that a backend server has rejected a request for want of room."""
        if self._limits.of(backend).max_rejected is None:
            return
        PERMITS.labels("rejected").inc()
        with self._lock:
            self._own_turns.on_rejected(backend)
        if self._clock.elapsed_ms() >= self._leader_silent_until_ms:
            self._ask_leader(PermitRequest(vm=self._vm, rejected_by=backend))

    def _request(self, backends: Sequence[BackendId], max_wait: Duration) -> Permit:
        if self._clock.elapsed_ms() >= self._leader_silent_until_ms:
            known = self._limits.announced()
            wanted = tuple(WantedServer(b, known[b]) for b in backends if b in known)
            request = PermitRequest(vm=self._vm, wanted=wanted, max_wait_ms=int(max_wait))
            permit = self._ask_leader(request)
            if permit is not None:
                return permit
        with self._lock:
            return self._own_permit(backends, max_wait)

    def _ask_leader(self, request: PermitRequest) -> Permit | None:
        permit = self._ask(request)
        if permit is None:
            self._leader_silent_until_ms = self._clock.elapsed_ms() + int(LEADER_RETRY)
            PERMITS.labels("leader-silent").inc()
            return None
        with self._lock:
            self._own_turns.clear()
        return permit

    def _own_permit(self, backends: Sequence[BackendId], max_wait: Duration) -> Permit:
        """Return a permit from this VM's equal part of the limits."""
        waits = {backend: self._own_turns.wait_ms(backend) for backend in backends}
        best = min(waits, key=lambda backend: waits[backend])
        if waits[best] > max_wait:
            return Permit(backend=None, wait_ms=waits[best])
        return Permit(backend=best, wait_ms=self._own_turns.take(best))
