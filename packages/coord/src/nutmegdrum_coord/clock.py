"""Clocks and types for time in milliseconds."""

import time
from typing import NewType, Protocol

ElapsedMs = NewType("ElapsedMs", int)
"""Milliseconds on one process's monotonic clock; not comparable between processes."""

WallMs = NewType("WallMs", int)
"""Milliseconds since the Unix epoch; used for complete-by times and logs only."""

LogMs = NewType("LogMs", int)
"""Milliseconds of a replicated log's own time, with which the leader stamps each command."""

_NS_PER_MS = 1_000_000


class Duration(int):
    """Length of time in ms, written with a unit: `250ms`, `3s`, `5min`, `1h`, `7d`."""


class Clock(Protocol):
    """Source of time for all decisions, which tests can replace."""

    def elapsed_ms(self) -> ElapsedMs:
        """Return monotonic time in ms, including time in which the VM was suspended."""
        ...

    def wall_ms(self) -> WallMs:
        """Return wall time in ms since the Unix epoch."""
        ...


class SystemClock:
    """Clock of the operating system.

    `CLOCK_BOOTTIME` includes suspended time, so that a lease also expires while the VM is
    suspended.
    """

    def elapsed_ms(self) -> ElapsedMs:
        """Return the time since boot in ms, including suspended time."""
        return ElapsedMs(time.clock_gettime_ns(time.CLOCK_BOOTTIME) // _NS_PER_MS)

    def wall_ms(self) -> WallMs:
        """Return the time since the Unix epoch in ms."""
        return WallMs(time.time_ns() // _NS_PER_MS)


class ManualClock:
    """Clock that a test or a benchmark advances by hand.

    Parameters
    ----------
    now_ms : int
        Initial elapsed time in ms.
    wall_offset_ms : int
        Wall time at elapsed time zero, in ms since the Unix epoch.
    """

    def __init__(self, now_ms: int = 0, wall_offset_ms: int = 1_700_000_000_000):
        self._now_ms = now_ms
        self._wall_offset_ms = wall_offset_ms

    def elapsed_ms(self) -> ElapsedMs:
        """Return the current elapsed time in ms."""
        return ElapsedMs(self._now_ms)

    def wall_ms(self) -> WallMs:
        """Return the current wall time in ms."""
        return WallMs(self._wall_offset_ms + self._now_ms)

    def advance(self, ms: int) -> ElapsedMs:
        """Move the clock forward by `ms` and return the new elapsed time."""
        self._now_ms += ms
        return self.elapsed_ms()
