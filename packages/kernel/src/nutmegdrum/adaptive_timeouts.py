"""Time of silence after which a backend server is taken for lost.

A busy backend server is slow and not dead, so the time follows the longest gaps that each one
showed lately, and its load, within bounds.
"""

import math

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

from nutmegdrum.settings import StreamSettings

GAP_FACTOR = 4.0
FIRST_TOKEN_FACTOR = 3.0
PEAK_DECAY_MS = 15_000
FALSE_ALARM_FACTOR = 1.5
RECOVERY_SHARE = 0.5
MIN_RECOVERY_TIMEOUT_MS = 500


class DecayingPeak:
    """Largest sample of late; a sample counts less as it grows older."""

    __slots__ = ("_at_ms", "_value")

    def __init__(self) -> None:
        self._value = 0.0
        self._at_ms = 0

    def add(self, sample: float, now_ms: ElapsedMs) -> None:
        """Take a sample."""
        if sample >= self._value or sample > self.at(now_ms):
            self._value = sample
            self._at_ms = now_ms

    def at(self, now_ms: ElapsedMs) -> float:
        """Return the peak as of now."""
        return self._value * math.exp((self._at_ms - now_ms) / PEAK_DECAY_MS)


class _Backend:
    """Gaps of one backend server."""

    __slots__ = ("alarm_ms", "first", "gap", "load")

    def __init__(self) -> None:
        self.first = DecayingPeak()
        self.gap = DecayingPeak()
        self.load = 0.0
        self.alarm_ms = 0


class AdaptiveTimeouts:
    """Timeouts of all backend servers.

    Parameters
    ----------
    cfg : StreamSettings
        Bounds of the timeouts.

    Attributes
    ----------
    alarmed : set of BackendId
        Backend servers that have not been heard since a silence ended an attempt.
    """

    def __init__(self, cfg: StreamSettings):
        self.alarmed: set[BackendId] = set()
        self._cfg = cfg
        self._backends: dict[BackendId, _Backend] = {}

    def on_first_token(self, backend: BackendId, waited_ms: int, now_ms: ElapsedMs) -> None:
        """Take the time that a backend server needed for a first token."""
        self._get(backend).first.add(waited_ms, now_ms)

    def on_gap(self, backend: BackendId, gap_ms: int, now_ms: ElapsedMs) -> None:
        """Take the time between two arrivals of tokens."""
        self._get(backend).gap.add(gap_ms, now_ms)

    def on_silence(self, backend: BackendId, waited_ms: int) -> None:
        """Take a silence that ended an attempt; other streams there wait the shortest time."""
        seen = self._get(backend)
        seen.alarm_ms = max(seen.alarm_ms, waited_ms)
        self.alarmed.add(backend)

    def on_activity(self, backend: BackendId, now_ms: ElapsedMs) -> None:
        """Take a sign of life; if an alarm was false, the next silence may last longer."""
        if backend not in self.alarmed:
            return
        self.alarmed.discard(backend)
        seen = self._get(backend)
        seen.gap.add(seen.alarm_ms * FALSE_ALARM_FACTOR / GAP_FACTOR, now_ms)
        seen.alarm_ms = 0

    def on_load(self, backend: BackendId, load: float) -> None:
        """Take the work of a backend server, as a share of its slots; may exceed 1."""
        self._get(backend).load = load

    def gap_timeout_ms(self, backend: BackendId, now_ms: ElapsedMs) -> int:
        """Return how long a backend server may be silent between tokens."""
        seen = self._backends.get(backend)
        low, high = int(self._cfg.min_token_timeout), int(self._cfg.max_token_timeout)
        if seen is None:
            return high
        if backend in self.alarmed:
            return low
        expected = GAP_FACTOR * seen.gap.at(now_ms) * max(1.0, seen.load)
        return min(high, max(low, int(expected)))

    def first_timeout_ms(
        self, backend: BackendId, now_ms: ElapsedMs, remaining_ms: int | None = None
    ) -> int:
        """Return how long a backend server may take for its first token.

        Parameters
        ----------
        remaining_ms : int or None
            For a recovery, the time until the caller must have output again; half of it is left
            for a further attempt.
        """
        seen = self._backends.get(backend)
        low, high = int(self._cfg.min_token_timeout), int(self._cfg.first_token_timeout)
        expected = high
        if seen is not None and seen.first.at(now_ms) > 0:
            load = max(1.0, seen.load)
            expected = int(FIRST_TOKEN_FACTOR * seen.first.at(now_ms) * load)
            expected = max(expected, 2 * low)
        if remaining_ms is not None:
            share = max(MIN_RECOVERY_TIMEOUT_MS, int(remaining_ms * RECOVERY_SHARE))
            expected = min(expected, share)
        return min(high, max(min(low, MIN_RECOVERY_TIMEOUT_MS), expected))

    def _get(self, backend: BackendId) -> _Backend:
        return self._backends.setdefault(backend, _Backend())
