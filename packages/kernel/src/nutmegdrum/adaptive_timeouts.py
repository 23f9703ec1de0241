"""Adaptive time-outs for detecting lost backend servers.

A busy backend server is slow, not dead, and a sound one may be silent for a while and go on. The
time-out of each backend server therefore follows its longest recent gaps between tokens and its
load, and is never shorter than a tolerated silence after its usual gap.
"""

import math

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

from nutmegdrum.settings import StreamSettings

GAP_FACTOR = 4.0
"""Time-out between tokens as a multiple of the recent peak gap."""

FIRST_TOKEN_FACTOR = 3.0
"""Time-out of the first token as a multiple of the recent peak time to first token."""

LONG_GAP_MS = 150
"""Shortest gap between tokens that is recorded, in ms."""

PEAK_DECAY_MS = 15_000
"""Time constant with which a peak decays, in ms."""

FALSE_TIMEOUT_FACTOR = 1.5
"""Factor by which the time-out between tokens grows after a false one."""

RECOVERY_SHARE = 0.5
"""Share of a recovery's remaining time that one attempt may take."""


class DecayingPeak:
    """Maximum of recent samples with exponential decay."""

    __slots__ = ("_at_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at_ms = 0

    def add(self, sample: float, now_ms: ElapsedMs) -> None:
        """Add a sample."""
        if sample >= self._value or sample > self.at(now_ms):
            self._value = sample
            self._at_ms = now_ms

    def at(self, now_ms: ElapsedMs) -> float:
        """Return the decayed peak at `now_ms`."""
        return self._value * math.exp((self._at_ms - now_ms) / PEAK_DECAY_MS)


class _BackendStats:
    """Timing samples and load of one backend server."""

    __slots__ = ("alarm_ms", "first", "gap", "load")

    def __init__(self) -> None:
        self.first = DecayingPeak()
        self.gap = DecayingPeak()
        self.load = 0.0
        self.alarm_ms = 0


class AdaptiveTimeouts:
    """Estimates the token time-outs of all backend servers.

    Parameters
    ----------
    cfg : StreamSettings
        Bounds of the time-outs.

    Attributes
    ----------
    timed_out : set of BackendId
        Backend servers that have sent nothing since an attempt on them timed out.
    """

    def __init__(self, cfg: StreamSettings):
        self.timed_out: set[BackendId] = set()
        self._cfg = cfg
        self._backends: dict[BackendId, _BackendStats] = {}

    def on_first_token(self, backend: BackendId, waited_ms: int, now_ms: ElapsedMs) -> None:
        """Record a sample of a backend server's time to first token."""
        self._get(backend).first.add(waited_ms, now_ms)

    def on_gap(self, backend: BackendId, gap_ms: int, now_ms: ElapsedMs) -> None:
        """Record the gap between two arrivals of tokens."""
        self._get(backend).gap.add(gap_ms, now_ms)

    def on_timeout(self, backend: BackendId, waited_ms: int) -> None:
        """Record a time-out; other streams on the backend server get the shortest time-out."""
        stats = self._get(backend)
        stats.alarm_ms = max(stats.alarm_ms, waited_ms)
        self.timed_out.add(backend)

    def on_activity(self, backend: BackendId, now_ms: ElapsedMs) -> None:
        """Record that a backend server has sent something; after a false time-out, extend it."""
        if backend not in self.timed_out:
            return
        self.timed_out.discard(backend)
        stats = self._get(backend)
        stats.gap.add(stats.alarm_ms * FALSE_TIMEOUT_FACTOR / GAP_FACTOR, now_ms)
        stats.alarm_ms = 0

    def on_load(self, backend: BackendId, load: float) -> None:
        """Record the load of a backend server as a share of its slots; may exceed 1."""
        self._get(backend).load = load

    def gap_timeout_ms(self, backend: BackendId, now_ms: ElapsedMs) -> int:
        """Return the time-out between tokens, in ms."""
        stats = self._backends.get(backend)
        low, high = int(self._cfg.min_token_timeout), int(self._cfg.max_token_timeout)
        if stats is None:
            return high
        usual = stats.gap.at(now_ms) * max(1.0, stats.load)
        shortest = low + int(usual)
        if backend in self.timed_out:
            return min(high, shortest)
        return min(high, max(shortest, int(GAP_FACTOR * usual)))

    def first_timeout_ms(
        self, backend: BackendId, now_ms: ElapsedMs, remaining_ms: int | None = None
    ) -> int:
        """Return the time-out of the first token, in ms.

        Parameters
        ----------
        remaining_ms : int or None
            For a recovery, the time until its deadline; half of it is reserved for a further
            attempt, unless the rest is shorter than a tolerated silence.
        """
        stats = self._backends.get(backend)
        low, high = int(self._cfg.min_token_timeout), int(self._cfg.first_token_timeout)
        usual = stats.first.at(now_ms) * max(1.0, stats.load) if stats is not None else 0.0
        shortest = low + int(usual)
        expected = max(shortest, int(FIRST_TOKEN_FACTOR * usual)) if usual > 0 else high
        if remaining_ms is not None:
            expected = min(expected, max(shortest, int(remaining_ms * RECOVERY_SHARE)))
        return min(high, expected)

    def _get(self, backend: BackendId) -> _BackendStats:
        return self._backends.setdefault(backend, _BackendStats())
