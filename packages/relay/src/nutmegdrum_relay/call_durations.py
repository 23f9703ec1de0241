"""Usual durations of calls by route, to tell which of them can end before a shutdown."""

import threading

from nutmegdrum.units import Duration
from nutmegdrum_coord.ids import RouteName

NEWEST_WEIGHT = 0.1
"""Weight of the newest call in the moving averages; the last ten calls dominate them."""

DEVIATIONS = 2.0
"""Mean deviations above the mean duration up to which a call is usual."""


class CallDurations:
    """Moving averages of the durations of complete answers; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._averages: dict[RouteName, tuple[float, float]] = {}

    def record(self, route: RouteName, duration: Duration) -> None:
        """Record a call that was answered completely."""
        with self._lock:
            mean, deviation = self._averages.get(route, (float(duration), 0.0))
            deviation += NEWEST_WEIGHT * (abs(duration - mean) - deviation)
            mean += NEWEST_WEIGHT * (duration - mean)
            self._averages[route] = (mean, deviation)

    def usual(self, route: RouteName) -> Duration:
        """Return the time within which calls on a route usually end; 0 if it is not known."""
        mean, deviation = self._averages.get(route, (0.0, 0.0))
        return Duration(int(mean + DEVIATIONS * deviation))
