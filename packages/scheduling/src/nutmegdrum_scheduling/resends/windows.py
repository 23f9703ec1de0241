"""Counts of events in sliding windows."""

from nutmegdrum_coord.clock import Duration

WINDOW = Duration(10_000)
"""Time in which resends and requests are counted."""

PERMIT_VALID = Duration(1_000)
"""Time for which a permit that was taken may be used. The budget counts it when it is taken, for a
window and this time, as those kept and those used at once may come together in one window."""

_BUCKETS = 20
_HALF = _BUCKETS // 2


class _Buckets:
    """Numbers of events by twentieths of a window; not thread-safe."""

    def __init__(self, window: Duration, kept: int) -> None:
        self._window = window
        self._kept = kept
        self._counts: dict[int, int] = {}

    def add(self, now_ms: int, count: int = 1) -> None:
        """Count events."""
        bucket = self._bucket(now_ms)
        self._counts[bucket] = self._counts.get(bucket, 0) + count
        if len(self._counts) > 2 * self._kept:
            oldest = bucket - self._kept
            self._counts = {b: n for b, n in self._counts.items() if b >= oldest}

    def newest(self, now_ms: int) -> list[int]:
        """Return the numbers of the kept buckets, newest first."""
        bucket = self._bucket(now_ms)
        return [self._counts.get(bucket - age, 0) for age in range(self._kept)]

    def _bucket(self, now_ms: int) -> int:
        return now_ms * _BUCKETS // int(self._window)


class WindowCount:
    """Number of events within the last window; not thread-safe."""

    def __init__(self, window: Duration = WINDOW) -> None:
        self._buckets = _Buckets(window, _BUCKETS + 1)

    def add(self, now_ms: int, count: int = 1) -> None:
        """Count events."""
        self._buckets.add(now_ms, count)

    def add_up_to(self, limit: float, now_ms: int) -> bool:
        """Count an event, and return True, unless there would be more than `limit`."""
        if self.total(now_ms) + 1 > limit:
            return False
        self.add(now_ms)
        return True

    def total(self, now_ms: int) -> int:
        """Return the number of events."""
        return sum(self._buckets.newest(now_ms))


class RequestHistory:
    """Requests by which the resends of the last window are judged; not thread-safe.

    The bound on resends in any window counts the requests of that window, of the one half a window
    before or of the one before, whichever has most. A resend now belongs to all windows that begin
    within the last one; the fewest requests that any of these counts are certain by now.
    """

    def __init__(self, window: Duration = WINDOW) -> None:
        self._window = window
        self._buckets = _Buckets(window, 2 * _BUCKETS)
        self._next_spread = 0

    def add(self, now_ms: int, count: int) -> None:
        """Count requests that have just been reported."""
        self._buckets.add(now_ms, count)

    def add_spread(self, now_ms: int, count: int) -> None:
        """Count requests of the last window whose times are not known."""
        whole, rest = divmod(count, _BUCKETS)
        for part in range(_BUCKETS):
            # Many VMs with a single request each must not all count for the same time.
            more = (part - self._next_spread) % _BUCKETS < rest
            self._buckets.add(now_ms - part * int(self._window) // _BUCKETS, whole + more)
        self._next_spread += rest

    def counted(self, now_ms: int) -> int:
        """Return the requests that every window counts to which a resend now belongs."""
        newest = self._buckets.newest(now_ms)
        return min(
            max(
                sum(newest[:age]),
                sum(newest[max(0, age - _HALF) : age + _HALF]),
                sum(newest[age : age + _BUCKETS]),
            )
            for age in range(_BUCKETS + 1)
        )
