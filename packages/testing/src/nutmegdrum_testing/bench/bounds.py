"""Bounds on the figures of the measures, each with its source."""

from typing import NamedTuple


class Bound(NamedTuple):
    """Largest value that a figure may have, or smallest with `at_least`.

    Attributes
    ----------
    gated : bool
        Whether CI may fail on it: only where model time makes the figure the same on every run.
    """

    limit: float
    unit: str
    source: str
    at_least: bool = False
    gated: bool = False

    def holds(self, value: float) -> bool:
        """Return whether `value` is within the bound."""
        return value >= self.limit if self.at_least else value <= self.limit


TARGET = "target sizes, docs/CAPACITY.md"
PROMISES = "promises, docs/PROVED.md"
SETTINGS = "settings, docs/reference"

BOUNDS = {
    "first-token": Bound(1_600, "ms", TARGET),
    "token-gap": Bound(57, "ms", TARGET),
    "resume": Bound(5_000, "ms", TARGET),
    "note-in-force": Bound(17_000, "ms", TARGET),
    "control-cpu": Bound(4.1, "% of a core", TARGET),
    "control-memory": Bound(256, "MiB", TARGET),
    "control-bytes": Bound(5_000, "B/s", TARGET),
    "broken-streams": Bound(0, "streams", PROMISES),
    "false-not-run": Bound(0, "keys", PROMISES),
    "double-runs": Bound(0, "calls", PROMISES),
    "heartbeat-lateness": Bound(1_500, "ms", "freshness lease less one heartbeat, settings"),
    "goodput": Bound(0.9, "share", "goodput holds at 2x load and more", True, gated=True),
    "urgent-in-time": Bound(0.99, "share", "overload sheds the least urgent", True, gated=True),
    "refusal-wait": Bound(2_200, "ms", "bound of the fair queue's wait", gated=True),
    "bad-taken-back": Bound(1.0, "share", PROMISES, at_least=True, gated=True),
    "good-in-time": Bound(1.0, "share", PROMISES, at_least=True, gated=True),
}
