"""Leases: permits to send again that an entry VM holds in advance.

The state leader counts a leased permit as used until the VM has returned it or can use it no more,
so that the VM may use it at any time without asking.
"""

import threading
from collections import defaultdict

import msgspec
from nutmegdrum_coord.clock import Clock, Duration
from nutmegdrum_coord.ids import ServiceName

from nutmegdrum_scheduling.resends.kinds import Resend
from nutmegdrum_scheduling.resends.windows import PERMIT_VALID, WINDOW, WindowCount

LEASE_VALID = WINDOW
"""Time for which a VM may use a lease without hearing from the leader; longer than any change of
leader."""

LEASE_RESERVE = 1
"""Leased permits that a VM keeps for recoveries."""


class ResendCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests and resends to one service, as an entry VM reports them to the state leader.

    Sums since the start of its process, so that a lost report is made up for by the next one.

    Attributes
    ----------
    requests : int
        Callers' requests.
    leased : int
        Leased permits that were used.
    lease_limit : int
        Number up to which `leased` may rise by the VM's present lease.
    unasked : int
        Resends without any permit of a leader.
    recent_requests, recent_resends : int
        Requests of the last window, and resends with whatever permit that still count; for a
        leader that does not know the sums of the last report.
    """

    requests: int = 0
    leased: int = 0
    lease_limit: int = 0
    unasked: int = 0
    recent_requests: int = 0
    recent_resends: int = 0

    def is_no_earlier_than(self, other: "ResendCounts") -> bool:
        """Return whether no sum is lower than in another report of the same process."""
        return (
            self.requests >= other.requests
            and self.leased >= other.leased
            and self.unasked >= other.unasked
        )


class _HeldLease:
    def __init__(self, window: Duration) -> None:
        self.requests = self.leased = self.limit = self.unasked = 0
        self.recent_requests = WindowCount(window)
        self.recent_resends = WindowCount(Duration(window + PERMIT_VALID))


class LeaseHolder:
    """Leases and counts of one entry VM; thread-safe.

    Attributes
    ----------
    in_force : bool
        Whether the leader gives leases; one of an earlier build or without the settings does not.
    """

    def __init__(self, clock: Clock, window: Duration):
        self.in_force = True
        self._clock = clock
        self._lock = threading.Lock()
        self._applied_ms = 0
        self._services: defaultdict[ServiceName, _HeldLease] = defaultdict(
            lambda: _HeldLease(window)
        )

    def on_request(self, service: ServiceName) -> None:
        """Count a caller's request."""
        with self._lock:
            held = self._services[service]
            held.requests += 1
            held.recent_requests.add(self._clock.elapsed_ms())

    def on_resend(self, service: ServiceName, *, asked: bool) -> None:
        """Count a resend that used no lease; `asked` if the leader granted it."""
        with self._lock:
            held = self._services[service]
            held.unasked += not asked
            held.recent_resends.add(self._clock.elapsed_ms())

    def take(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a leased permit is left for a resend of this kind; if so, use it."""
        now_ms = self._clock.elapsed_ms()
        kept = 0 if kind is Resend.RECOVERY else LEASE_RESERVE
        with self._lock:
            held = self._services[service]
            if held.leased + kept >= self._limit(held, now_ms):
                return False
            held.leased += 1
            held.recent_resends.add(now_ms)
            return True

    def counts(self) -> dict[ServiceName, ResendCounts]:
        """Return the counts to report, by service."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            return {
                service: ResendCounts(
                    requests=held.requests,
                    leased=held.leased,
                    lease_limit=self._limit(held, now_ms),
                    unasked=held.unasked,
                    recent_requests=held.recent_requests.total(now_ms),
                    recent_resends=held.recent_resends.total(now_ms),
                )
                for service, held in self._services.items()
            }

    def _limit(self, held: _HeldLease, now_ms: int) -> int:
        """Return the limit in force; after the lease has expired, what was used."""
        return held.limit if now_ms < self._applied_ms + LEASE_VALID else held.leased

    def apply(self, limits: dict[ServiceName, int] | None, sent_ms: int) -> None:
        """Apply the leases of an answer; None from a leader that gives none.

        Parameters
        ----------
        sent_ms : int
            Elapsed time in ms at which the report was sent that was answered.
        """
        with self._lock:
            if sent_ms < self._applied_ms:
                return
            # Leases that have expired were reported as none, so that no leader counts them.
            now_ms = self._clock.elapsed_ms()
            for held in self._services.values():
                held.limit = self._limit(held, now_ms)
            self._applied_ms = sent_ms
            self.in_force = limits is not None
            for service, limit in (limits or {}).items():
                self._services[service].limit = limit
