"""Share of a listener's threads that may wait for peers."""

import threading

from nutmegdrum_coord.clock import Clock, Duration

from nutmegdrum_scheduling.memory.accounts import Account, Reason
from nutmegdrum_scheduling.memory.budget import MemoryBudget

GRACE = Duration(500)
"""Lag up to which a waiting peer is not evicted, so that a burst of requests in several packets
loses none; well above a round trip between regions."""


class WaitingThreads:
    """Threads that wait for the rest of a request, or for a reader; thread-safe.

    Beyond the share, the peer that has lagged behind the pace for longest is evicted. A waiting
    thread calls `check` now and then, as a peer exceeds `GRACE` by waiting.

    Parameters
    ----------
    share : int
        Threads that may wait at once.
    reason : Reason
        Reason that evicted accounts get.
    """

    def __init__(self, clock: Clock, budget: MemoryBudget, share: int, reason: Reason):
        self._clock = clock
        self._budget = budget
        self._share = share
        self._reason = reason
        self._lock = threading.Lock()
        self._waiting: set[Account] = set()

    def enter(self, account: Account) -> None:
        """Record that a thread waits."""
        with self._lock:
            self._waiting.add(account)
        self.check()

    def leave(self, account: Account) -> None:
        """Record that the thread waits no more."""
        with self._lock:
            self._waiting.discard(account)

    def check(self) -> None:
        """Evict the peers that have lagged for longest while the share is exceeded."""
        while (victim := self._over_share()) is not None:
            self._budget.evict(victim, self._reason)

    def evict_slowest(self, reason: Reason) -> bool:
        """Evict the peer that has lagged for longest; return whether any waits."""
        with self._lock:
            victim = self._take_slowest(self._clock.elapsed_ms())
        if victim is not None:
            self._budget.evict(victim, reason)
        return victim is not None

    def _over_share(self) -> Account | None:
        with self._lock:
            if len(self._waiting) <= self._share:
                return None
            return self._take_slowest(self._clock.elapsed_ms(), GRACE)

    def _take_slowest(self, now_ms: int, grace: Duration = Duration(-1)) -> Account | None:
        slowest = max(self._waiting, key=lambda each: each.pace.lag(now_ms), default=None)
        if slowest is None or slowest.pace.lag(now_ms) <= grace:
            return None
        self._waiting.discard(slowest)
        return slowest
