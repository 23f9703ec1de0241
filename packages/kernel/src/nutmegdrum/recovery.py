"""Rate limit of recoveries at one daemon, which prevents a storm after the loss of many engines."""

import heapq
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs

from nutmegdrum.messages import Priority

MIN_BURST = 16
"""Number of recoveries that may start at once even if the rate is lower."""

_MS_PER_S = 1_000
_RANKS = {Priority.URGENT: 0, Priority.NORMAL: 1, Priority.BATCH: 2}


class _QueuedRecovery(NamedTuple):
    rank: int
    silent_since: ElapsedMs
    number: int


class RecoveryBudget:
    """Token bucket of recoveries; waiting ones start by priority, then longest silence first.

    Parameters
    ----------
    per_s : int
        Recoveries that may start per second; after a quiet period as many, but at least
        `MIN_BURST`, may start at once.
    """

    def __init__(self, per_s: int):
        self._per_s = per_s
        self._burst = float(max(per_s, MIN_BURST))
        self._credit = self._burst
        self._filled_ms: int | None = None
        self._queue: list[_QueuedRecovery] = []
        self._withdrawn: set[int] = set()
        self._number = 0

    def enter(self, priority: Priority, silent_since: ElapsedMs) -> int:
        """Queue the recovery of a stream that is silent since `silent_since`; return its number."""
        self._number += 1
        heapq.heappush(self._queue, _QueuedRecovery(_RANKS[priority], silent_since, self._number))
        return self._number

    def leave(self, number: int) -> None:
        """Withdraw a queued recovery."""
        self._withdrawn.add(number)

    def grant(self, now_ms: ElapsedMs) -> list[int]:
        """Return the numbers of the recoveries that may start now."""
        self._fill(now_ms)
        granted = []
        while self._queue and self._credit >= 1:
            number = heapq.heappop(self._queue).number
            if number in self._withdrawn:
                self._withdrawn.discard(number)
                continue
            self._credit -= 1
            granted.append(number)
        return granted

    def ms_until_next(self) -> int:
        """Return the time until the next recovery may start, in ms."""
        missing = max(0.0, 1 - self._credit)
        return int(missing * _MS_PER_S / self._per_s) + 1

    def _fill(self, now_ms: ElapsedMs) -> None:
        if self._filled_ms is not None:
            earned = (now_ms - self._filled_ms) * self._per_s / _MS_PER_S
            self._credit = min(self._burst, self._credit + earned)
        self._filled_ms = now_ms
