"""Expected cost of requests, learned from complete ones by route and workspace."""

import math
import threading
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import NamedTuple, TypeVar

from nutmegdrum_coord.clock import Duration
from nutmegdrum_coord.ids import RouteName, WorkspaceId

_Key = TypeVar("_Key")
_Value = TypeVar("_Value")

NEWEST_WEIGHT = 0.1
"""Weight of the newest request in the moving averages; the last ten dominate them."""

FIRST_VARIANCE = 1.0
"""Variance of the logarithm before anything is learned: a factor of e in either direction."""

MIN_VARIANCE = 0.01
"""Smallest variance of the logarithm, a tenth in either direction, so that no estimate is final."""

TOKENS_PER_EVENT = 5.5
"""Output tokens of one event of a stream; events hold five or six."""

MAX_KNOWN = 4_096
"""Routes and workspaces of which something is kept, about 2 MB; those recorded last. Documents
change while an entry VM runs, so that names that are no longer used would pile up."""


class Asked(NamedTuple):
    """What a request states of its output.

    Attributes
    ----------
    max_tokens : int
        Output tokens at most; 0 if unknown.
    hint : int
        The client's estimate of the output tokens; 0 for none.
    """

    max_tokens: int
    hint: int = 0


@dataclass
class _Ratio:
    """Logarithm of actual to stated outputs: moving mean and variance."""

    mean: float = 0.0
    variance: float = FIRST_VARIANCE
    known: bool = False

    def add(self, value: float) -> None:
        if not self.known:
            self.mean, self.known = value, True
            return
        deviation = value - self.mean
        self.mean += NEWEST_WEIGHT * deviation
        self.variance += NEWEST_WEIGHT * (deviation**2 - self.variance)

    def weight(self) -> float:
        return 1.0 / max(MIN_VARIANCE, self.variance)


@dataclass
class _Outputs:
    of_max: _Ratio = field(default_factory=_Ratio)
    of_hint: _Ratio = field(default_factory=_Ratio)


class ExpectedOutputs:
    """Expected output of generations by route and workspace; thread-safe.

    The share of the maximum and the client's hint are two estimates. Each is corrected by its mean
    error so far, and the more exact one counts more.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._known: OrderedDict[tuple[RouteName, WorkspaceId | None], _Outputs] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of routes and workspaces of which something is kept."""
        return len(self._known)

    def record(
        self, route: RouteName, workspace: WorkspaceId | None, asked: Asked, events: int
    ) -> None:
        """Record a complete generation of this many events."""
        if events <= 0 or asked.max_tokens <= 0:
            return
        tokens = events * TOKENS_PER_EVENT
        with self._lock:
            known = self._known.get((route, workspace), _Outputs())
            _keep_newest(self._known, (route, workspace), known)
            known.of_max.add(math.log(tokens / asked.max_tokens))
            if asked.hint > 0:
                known.of_hint.add(math.log(tokens / asked.hint))

    def tokens(self, route: RouteName, workspace: WorkspaceId | None, asked: Asked) -> int:
        """Return the expected output tokens; the maximum if nothing is known."""
        with self._lock:
            known = self._known.get((route, workspace))
            if asked.max_tokens <= 0:
                return 0
            estimates = []
            if known is not None and known.of_max.known:
                estimates.append((known.of_max, asked.max_tokens))
            if known is not None and known.of_hint.known and asked.hint > 0:
                estimates.append((known.of_hint, asked.hint))
            if not estimates:
                return min(asked.max_tokens, asked.hint or asked.max_tokens)
            total = sum(ratio.weight() for ratio, _ in estimates)
            mean = sum(r.weight() * (math.log(stated) + r.mean) for r, stated in estimates) / total
        return max(1, min(asked.max_tokens, round(math.exp(mean))))


class ExpectedTimes:
    """Expected time of plain requests by route; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._means: OrderedDict[RouteName, float] = OrderedDict()

    def __len__(self) -> int:
        """Return the number of routes of which something is kept."""
        return len(self._means)

    def record(self, route: RouteName, took: Duration) -> None:
        """Record the time of a complete answer from its server."""
        with self._lock:
            mean = self._means.get(route, float(took))
            _keep_newest(self._means, route, mean + NEWEST_WEIGHT * (took - mean))

    def time(self, route: RouteName) -> Duration:
        """Return the time that a request of this route takes; 0 if it is not known."""
        return Duration(int(self._means.get(route, 0.0)))


def _keep_newest(known: OrderedDict[_Key, _Value], key: _Key, value: _Value) -> None:
    """Set a value as the newest one, and drop the oldest ones beyond `MAX_KNOWN`."""
    known[key] = value
    known.move_to_end(key)
    while len(known) > MAX_KNOWN:
        known.popitem(last=False)
