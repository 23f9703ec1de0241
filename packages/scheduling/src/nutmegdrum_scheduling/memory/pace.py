"""Measure of how far a peer lags behind a steady pace."""

from nutmegdrum_coord.clock import Duration

PACE_BYTES_PER_MS = 64
"""Pace that no caller within the limits is asked to exceed: a body of the default limit takes a
minute. It only ranks peers; a peer is not disconnected for missing it."""


class Pace:
    """Lag of one peer; a peer that is fast for a while earns no credit for a later pause.

    Parameters
    ----------
    now_ms : int
        Elapsed time in ms from which the lag counts.
    """

    __slots__ = ("_lag_ms", "_last_ms")

    def __init__(self, now_ms: int):
        self._lag_ms = 0.0
        self._last_ms = now_ms

    def on_bytes(self, count: int, now_ms: int) -> None:
        """Record `count` bytes that were moved since the last call."""
        lag_ms = self._lag_ms + now_ms - self._last_ms - count / PACE_BYTES_PER_MS
        self._lag_ms = max(0.0, lag_ms)
        self._last_ms = now_ms

    def lag(self, now_ms: int) -> Duration:
        """Return for how long the peer has been behind the pace."""
        return Duration(int(self._lag_ms) + now_ms - self._last_ms)
