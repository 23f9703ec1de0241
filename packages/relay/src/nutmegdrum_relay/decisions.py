"""Structured log lines for decisions, rate limited by kind."""

import threading
from typing import Any

from nutmegdrum.logs import log_change
from nutmegdrum_coord.clock import SystemClock
from prometheus_client import Counter

LINES_PER_S = 20
"""Maximum number of lines of one kind in a second; docs/OPERATIONS.md, volume of logs."""

_MS_PER_S = 1_000

DECISIONS = Counter("nutmegdrum_decisions", "Decisions by kind", ["kind"])
OMITTED = Counter("nutmegdrum_log_lines_omitted", "Log lines over their kind's budget", ["kind"])


class LineBudget:
    """Rate limit of log lines for each kind."""

    def __init__(self, lines_per_s: int = LINES_PER_S):
        self._lines_per_s = lines_per_s
        self._lock = threading.Lock()
        self._second = -1
        self._written: dict[str, int] = {}
        self._omitted: dict[str, int] = {}

    def take(self, kind: str, now_ms: int) -> tuple[bool, int]:
        """Return whether a line may be written, and how many of its kind were omitted before it."""
        with self._lock:
            second = now_ms // _MS_PER_S
            if second != self._second:
                self._second = second
                self._written.clear()
            written = self._written.get(kind, 0)
            if written >= self._lines_per_s:
                self._omitted[kind] = self._omitted.get(kind, 0) + 1
                return False, 0
            self._written[kind] = written + 1
            return True, self._omitted.pop(kind, 0)


_budget = LineBudget()
_clock = SystemClock()


def log_unlimited(kind: str, /, **inputs: Any) -> None:
    """Count and log a decision whatever its rate; for kinds whose number is bounded otherwise."""
    DECISIONS.labels(kind).inc()
    log_change(kind, **inputs)


def log_decision(kind: str, /, **inputs: Any) -> None:
    """Count a decision, and log it unless its kind is over the rate limit.

    The first line after omitted ones states their number.
    """
    DECISIONS.labels(kind).inc()
    allowed, omitted = _budget.take(kind, _clock.elapsed_ms())
    if not allowed:
        OMITTED.labels(kind).inc()
        return
    if omitted:
        inputs["omitted_before"] = omitted
    log_change(kind, **inputs)
