"""Current slowness of a backend server, from its load reports."""

from nutmegdrum_coord.clock import Duration

SLOWNESS_VALID = Duration(400)
"""Age at which a reported slowness no longer counts; it counts less and less until then. A slow
period of 600 ms that is seen once lasts 300 ms more on average. The smoothing costs that a server
is still avoided for up to this time after its slow period, and half of that on average."""

MEAN_WEIGHT = 0.1
"""Weight of the newest report in a server's mean slowness; the last ten dominate it."""

USUAL_PERCENT = 100
MAX_PERCENT = 1_000
"""Bounds of the slowness that counts. A server gains nothing by reporting that it is fast: its
usual pace is measured, and only what it says of being slow counts at once."""

MIN_FACTOR = 0.8
"""Least factor. A server that is 2.5 times slower for a seventh of the time has one of 0.82 in
between on average. In the model of such servers and 69 entry VMs, the 99th percentile is 274 ms
with this bound and 275 without, but 291 with 0.9 and 301 with 1."""


class Slowness:
    """Slowness of one server relative to its own mean.

    A server that always reports the same has no current slowness: its requests show its pace.
    """

    def __init__(self) -> None:
        self._mean = 1.0
        self._reported = 1.0
        self._reported_ms: int | None = None

    def on_report(self, percent: int | None, now_ms: int) -> None:
        """Record a report, in percent of the usual time; None for no statement."""
        if percent is None:
            return
        self._reported = max(USUAL_PERCENT, min(MAX_PERCENT, percent)) / USUAL_PERCENT
        self._mean += MEAN_WEIGHT * (self._reported - self._mean)
        self._reported_ms = now_ms

    def age(self, now_ms: int) -> Duration | None:
        """Return the age of the last report; None if there is none."""
        return None if self._reported_ms is None else Duration(now_ms - self._reported_ms)

    def factor(self, now_ms: int, over: Duration) -> float:
        """Return the expected time relative to the usual one, over the next `over` ms."""
        if self._reported_ms is None:
            return 1.0
        age_ms = max(0, now_ms - self._reported_ms)
        weight = _left(age_ms)
        if over > 0:
            # The mean of the weight over the time, as `_left` is linear: half of its square is
            # its integral until it is zero.
            weight = (weight**2 - _left(age_ms + over) ** 2) * SLOWNESS_VALID / 2 / over
        return max(MIN_FACTOR, 1.0 + (self._reported / self._mean - 1.0) * weight)


def _left(age_ms: float) -> float:
    return max(0.0, 1.0 - age_ms / SLOWNESS_VALID)
