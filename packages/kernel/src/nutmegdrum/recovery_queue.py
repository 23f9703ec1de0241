"""Waiting of streams' threads for their turn to recover."""

import threading
from typing import Protocol

from nutmegdrum_coord.clock import Clock, ElapsedMs

from nutmegdrum.messages import Priority
from nutmegdrum.recovery import RecoveryBudget

_MS_PER_S = 1_000


class SleepFunction(Protocol):
    """Way to wait that a test can replace."""

    def __call__(self, seconds: float, /) -> object:
        """Wait."""
        ...


class RecoveryQueue:
    """Thread-safe recovery budget."""

    def __init__(self, clock: Clock, budget: RecoveryBudget):
        self._clock = clock
        self._budget = budget
        self._changed = threading.Condition()
        self._granted: set[int] = set()

    def wait(self, priority: Priority, silent_since: ElapsedMs, deadline: ElapsedMs) -> bool:
        """Wait for a turn and return whether it came before `deadline`."""
        with self._changed:
            number = self._budget.enter(priority, silent_since)
            while not self._is_granted(number):
                now_ms = self._clock.elapsed_ms()
                if now_ms >= deadline:
                    self._budget.leave(number)
                    return False
                wait_ms = min(self._budget.next_ms(), deadline - now_ms)
                self._changed.wait(wait_ms / _MS_PER_S)
            self._granted.discard(number)
            return True

    def _is_granted(self, number: int) -> bool:
        self._granted.update(self._budget.grant(self._clock.elapsed_ms()))
        if self._granted - {number}:
            self._changed.notify_all()
        return number in self._granted
