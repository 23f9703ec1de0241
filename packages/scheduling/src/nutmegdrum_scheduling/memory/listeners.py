"""Limits of a process's listeners, which share one byte budget."""

from dataclasses import dataclass

from nutmegdrum_coord.clock import Clock, Duration
from prometheus_client import Counter, Gauge

from nutmegdrum_scheduling.memory.accounts import Account, Kind, Reason
from nutmegdrum_scheduling.memory.budget import MemoryBudget, OnEviction
from nutmegdrum_scheduling.memory.plan import (
    READERS_DIVISOR,
    ROOM_DIVISOR,
    WAITING_DIVISOR,
    Plan,
)
from nutmegdrum_scheduling.memory.threads import WaitingThreads

EVICTIONS = Counter(
    "nutmegdrum_evictions", "Requests and connections ended to free what they hold", ["reason"]
)
HELD = Gauge("nutmegdrum_held_bytes", "Bytes held for requests and responses", ["kind"])

LINGERING_DIVISOR = 4
"""Divisor of a listener's connections that gives those which may linger after their close."""


@dataclass(frozen=True)
class ListenerLimits:
    """Limits of one listener.

    Attributes
    ----------
    budget : MemoryBudget
        The process's byte budget.
    senders, readers : WaitingThreads
        Threads that wait for the rest of a request, and for a reader.
    connections, lingering : int
        Connections that may be open, and that may linger.
    """

    budget: MemoryBudget
    senders: WaitingThreads
    readers: WaitingThreads
    connections: int
    lingering: int
    on_eviction: OnEviction


class ProcessLimits:
    """Limits of one process.

    Parameters
    ----------
    on_eviction : callable
        Logs an eviction: its reason, the peer's lag, and the bytes that it held.
    """

    def __init__(self, clock: Clock, plan: Plan, on_eviction: OnEviction):
        self.plan = plan
        self._clock = clock
        self._log = on_eviction
        self.budget = MemoryBudget(
            clock,
            plan.budget,
            self._on_eviction,
            max_waiting=max(1, plan.max_requests // ROOM_DIVISOR),
        )
        for kind in Kind:
            HELD.labels(kind.value).set_function(lambda kind=kind: self.budget.held(kind))

    def listener(self, threads: int, connections: float) -> ListenerLimits:
        """Return the limits of a listener.

        Parameters
        ----------
        threads : int
            Its threads.
        connections : float
            Its share of the process's connections.
        """
        count = max(1, int(self.plan.connections * connections))
        return ListenerLimits(
            self.budget,
            self._waiting(threads // WAITING_DIVISOR, Reason.THREADS),
            self._waiting(threads // READERS_DIVISOR, Reason.SLOW_READER),
            count,
            max(1, count // LINGERING_DIVISOR),
            self._on_eviction,
        )

    def _waiting(self, share: int, reason: Reason) -> WaitingThreads:
        return WaitingThreads(self._clock, self.budget, max(1, share), reason)

    def _on_eviction(self, account: Account, reason: Reason, lag: Duration) -> None:
        EVICTIONS.labels(reason.value).inc()
        self._log(account, reason, lag)
