"""Queue in which streams' threads wait for permission to start a recovery."""

import threading
from typing import Protocol

from nutmegdrum_coord.clock import Clock, ElapsedMs

from nutmegdrum.messages import Priority
from nutmegdrum.recovery import RecoveryBudget

_MS_PER_S = 1_000


class SleepFunction(Protocol):
    """Signature of `time.sleep`; tests pass a function that advances a manual clock."""

    def __call__(self, seconds: float, /) -> object:
        """Sleep for `seconds`."""
        ...


class RecoveryQueue:
    """Thread-safe wrapper of `RecoveryBudget` that blocks until a recovery may start."""

    def __init__(self, clock: Clock, budget: RecoveryBudget):
        self._clock = clock
        self._budget = budget
        self._changed = threading.Condition()
        self._granted: set[int] = set()

    def wait(self, priority: Priority, silent_since: ElapsedMs, deadline: ElapsedMs) -> bool:
        """Wait until the recovery may start; return False if `deadline` passes first."""
        with self._changed:
            number = self._budget.enter(priority, silent_since)
            while not self._is_granted(number):
                now_ms = self._clock.elapsed_ms()
                if now_ms >= deadline:
                    self._budget.leave(number)
                    return False
                wait_ms = min(self._budget.ms_until_next(), deadline - now_ms)
                self._changed.wait(wait_ms / _MS_PER_S)
            self._granted.discard(number)
            return True

    def _is_granted(self, number: int) -> bool:
        self._granted.update(self._budget.grant(self._clock.elapsed_ms()))
        if self._granted - {number}:
            self._changed.notify_all()
        return number in self._granted
