"""Retry budget: how often requests to a service may be sent again, by all entry VMs together.

Retries, recoveries of streams, hand-overs to other entry VMs and resends after a rejection all
multiply the load while backend servers fail, so that one budget for each service covers them all.
Each entry VM may resend a share of the requests that it sends; a further number, for entry VMs that
have few requests when a backend server is lost, is granted by the state leader to all of them.
"""

import random
import threading
from collections import defaultdict
from collections.abc import Callable
from enum import Enum
from typing import NamedTuple

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ServiceName
from prometheus_client import Counter

from nutmegdrum.logs import log_change
from nutmegdrum.units import Duration

WINDOW = Duration(10_000)
"""Time in which resends and requests are counted."""

LEADER_RETRY = Duration(300)
"""Time after an unanswered request in which the leader is not asked again."""

RETRY_SHARE = 0.5
"""Share of the budget that retries may use; the rest is left to recoveries."""

REFUSAL_MEMORY = Duration(1_000)
"""Time after a refusal in which no resend is expected from the shared budget."""

_BUCKETS = 20
_MS_PER_S = 1_000

RESENDS = Counter(
    "nutmegdrum_resends", "Requests to send again by kind and outcome", ["kind", "outcome"]
)


class Resend(Enum):
    """Reason to send a request again."""

    RETRY = "retry"
    RECOVERY = "recovery"

    @property
    def share(self) -> float:
        """Return the share of the budget that resends of this kind may use."""
        return 1.0 if self is Resend.RECOVERY else RETRY_SHARE


class RetryLimits(NamedTuple):
    """Limits on the resends to one service in `WINDOW`.

    Attributes
    ----------
    ratio : float
        Resends for each request, at the entry VM that sends it.
    shared : int
        Further resends of all entry VMs together.
    """

    ratio: float = 0.6
    shared: int = 75


class WindowCount:
    """Number of events within the last `WINDOW`; not thread-safe."""

    def __init__(self) -> None:
        self._counts: dict[int, int] = {}

    def add(self, now_ms: int) -> None:
        """Count an event."""
        bucket = self._bucket(now_ms)
        self._counts[bucket] = self._counts.get(bucket, 0) + 1

    def add_up_to(self, limit: float, now_ms: int) -> bool:
        """Count an event, and return True, unless there would be more than `limit`."""
        if self.total(now_ms) + 1 > limit:
            return False
        self.add(now_ms)
        return True

    def total(self, now_ms: int) -> int:
        """Return the number of events."""
        oldest = self._bucket(now_ms) - _BUCKETS
        if any(bucket < oldest for bucket in self._counts):
            self._counts = {b: count for b, count in self._counts.items() if b >= oldest}
        return sum(self._counts.values())

    @staticmethod
    def _bucket(now_ms: int) -> int:
        return now_ms * _BUCKETS // int(WINDOW)


class SharedRetryBudget:
    """Resends that the state leader grants to entry VMs; thread-safe."""

    def __init__(self, clock: Clock, limits: RetryLimits = RetryLimits()):
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._granted: defaultdict[ServiceName, WindowCount] = defaultdict(WindowCount)

    def grant(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it."""
        limit = kind.share * self._limits.shared
        with self._lock:
            return self._granted[service].add_up_to(limit, self._clock.elapsed_ms())


class _OwnPart:
    """An entry VM's equal part of the shared budget, for while no leader answers.

    A part of less than one resend in `WINDOW` is used at turns, from a random first one, as all
    entry VMs lose the leader at once.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._resends = WindowCount()
        self._next_ms: int | None = None

    def take(self, now_ms: int, per_window: float) -> bool:
        if per_window >= 1:
            return self._resends.add_up_to(per_window, now_ms)
        if per_window <= 0:
            return False
        interval_ms = int(WINDOW / per_window)
        if self._next_ms is None:
            self._next_ms = now_ms + int(self._rng.random() * interval_ms)
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + interval_ms
        return True


class _ServiceBudget:
    def __init__(self, rng: random.Random) -> None:
        self.requests = WindowCount()
        self.resends = WindowCount()
        self.own_part = _OwnPart(rng)
        self.reserved = 0
        self.refused_until_ms = 0


class RetryBudget:
    """Retry budget of one entry VM; thread-safe.

    Parameters
    ----------
    ask_leader : callable
        Asks the state leader for a resend from the shared budget; returns None if it does not
        answer.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        ask_leader: Callable[[ServiceName, Resend], bool | None] = lambda service, kind: None,
        limits: RetryLimits = RetryLimits(),
    ):
        self._clock = clock
        self._rng = rng
        self._ask_leader = ask_leader
        self._limits = limits
        self._lock = threading.Lock()
        self._entry_vms = 1
        self._leader_silent_until_ms = 0
        self._services: dict[ServiceName, _ServiceBudget] = {}

    def set_entry_vms(self, count: int) -> None:
        """Set the number of entry VMs, which share the further resends while no leader answers."""
        self._entry_vms = max(1, count)

    def on_request(self, service: ServiceName) -> None:
        """Count a caller's request, at the entry VM that got it from the caller."""
        with self._lock:
            self._service(service).requests.add(self._clock.elapsed_ms())

    def take(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it.

        May wait for the state leader's answer.
        """
        granted = self._take_local(service, kind) or self._take_shared(service, kind)
        RESENDS.labels(kind.value, "granted" if granted else "refused").inc()
        if not granted:
            log_change("resend_refused", service=service, resend=kind.value)
            with self._lock:
                until_ms = self._clock.elapsed_ms() + int(REFUSAL_MEMORY)
                self._service(service).refused_until_ms = until_ms
        return granted

    def reserve(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a resend is likely to be granted; if so, count it until `release`.

        Does not ask the leader. The resend itself must still be taken, and may be refused.
        """
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            counts = self._service(service)
            room = kind.share * self._limits.ratio * counts.requests.total(now_ms)
            if now_ms >= counts.refused_until_ms:
                room += kind.share * self._limits.shared / self._entry_vms
            if counts.resends.total(now_ms) + counts.reserved + 1 > room:
                return False
            counts.reserved += 1
            return True

    def release(self, service: ServiceName) -> None:
        """End a reservation."""
        with self._lock:
            self._service(service).reserved -= 1

    def _take_local(self, service: ServiceName, kind: Resend) -> bool:
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            counts = self._service(service)
            allowed = kind.share * self._limits.ratio * counts.requests.total(now_ms)
            return counts.resends.add_up_to(allowed, now_ms)

    def _take_shared(self, service: ServiceName, kind: Resend) -> bool:
        if self._clock.elapsed_ms() >= self._leader_silent_until_ms:
            granted = self._ask_leader(service, kind)
            if granted is not None:
                return granted
            self._leader_silent_until_ms = self._clock.elapsed_ms() + int(LEADER_RETRY)
        now_ms = self._clock.elapsed_ms()
        per_window = kind.share * self._limits.shared / self._entry_vms
        with self._lock:
            return self._service(service).own_part.take(now_ms, per_window)

    def _service(self, service: ServiceName) -> _ServiceBudget:
        return self._services.setdefault(service, _ServiceBudget(self._rng))
