"""Planned stop of an entry VM: its times, and which requests it still takes."""

from typing import NamedTuple

from nutmegdrum.units import Duration

END_FRACTION = 0.9
"""Fraction of the time until the process is killed at which calls that wait for backend servers are
ended; docs/design/platform.md, shutdown."""

EXIT_FRACTION = 0.95
"""Fraction of that time at which the process begins to exit at the latest, whatever still runs."""


class PlannedStop(NamedTuple):
    """Planned stop in progress; times are elapsed times in ms.

    Attributes
    ----------
    began_ms : int
        When the stop signal was handled.
    admits_until_ms : int
        When requests must be complete to be taken although they may outlast the stop.
    ends_calls_ms : int
        When calls that wait for their backend servers are ended.
    exits_ms : int
        When the process exits at the latest.
    """

    began_ms: int
    admits_until_ms: int
    ends_calls_ms: int
    exits_ms: int

    @classmethod
    def begin(cls, now_ms: int, notice: Duration, within: Duration) -> "PlannedStop":
        """Return a stop that begins now.

        Parameters
        ----------
        notice : Duration
            Time until connections are no longer accepted or kept.
        within : Duration
            Time until the process is killed.
        """
        return cls(
            now_ms,
            now_ms + int(notice),
            now_ms + int(within * END_FRACTION),
            now_ms + int(within * EXIT_FRACTION),
        )

    def may_take(self, now_ms: int, usual: Duration, deadline_ms: int) -> bool:
        """Return whether to take a request that is complete now.

        After the notice only those are taken whose deadline comes before calls are ended. How long
        calls usually take is no promise: servers get slower as load moves away from this VM.

        Parameters
        ----------
        usual : Duration
            Time within which calls on the route usually end; 0 if it is not known.
        """
        if now_ms >= self.admits_until_ms:
            return deadline_ms < self.ends_calls_ms
        return min(now_ms + usual, deadline_ms) < self.ends_calls_ms
