"""Times of a planned stop of an entry VM."""

from typing import NamedTuple

from nutmegdrum.units import Duration

END_FRACTION = 0.9
"""Fraction of the time until the process is killed at which running calls are ended;
docs/design/platform.md, shutdown."""


class PlannedStop(NamedTuple):
    """Planned stop in progress; times are elapsed times in ms.

    Attributes
    ----------
    began_ms : int
        When the stop signal was handled.
    ends_calls_ms : int
        When calls that still run are ended.
    """

    began_ms: int
    ends_calls_ms: int

    @classmethod
    def begin(cls, now_ms: int, within: Duration) -> "PlannedStop":
        """Return a stop that begins now, in a process that is killed `within` this time."""
        return cls(now_ms, now_ms + int(within * END_FRACTION))
