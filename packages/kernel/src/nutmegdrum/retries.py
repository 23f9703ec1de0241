"""One retry budget over all layers of an entry VM."""

import threading

DEFAULT_RATIO = 0.1
DEFAULT_MIN_PER_S = 10
DEFAULT_BURST = 50
_MS_PER_S = 1_000


class RetryBudget:
    """Retries as a share of first attempts, whichever layer makes them.

    Each layer that retries on its own multiplies the load when backend servers fail; drawing on
    one budget, all of them together add at most the ratio, above a small constant rate.
    Recoveries of broken streams count first: while they use the budget up, nothing else is
    retried.

    Parameters
    ----------
    ratio : float
        Retries for each first attempt.
    min_per_s : int
        Retries a second that are allowed without any first attempt.
    burst : int
        Retries that can be saved up.
    """

    def __init__(
        self,
        ratio: float = DEFAULT_RATIO,
        min_per_s: int = DEFAULT_MIN_PER_S,
        burst: int = DEFAULT_BURST,
    ):
        self._ratio = ratio
        self._min_per_s = min_per_s
        self._burst = float(burst)
        self._credit = float(burst)
        self._filled_ms: int | None = None
        self._lock = threading.Lock()

    def on_first_attempt(self) -> None:
        """Earn credit by a request's first attempt."""
        with self._lock:
            self._credit = min(self._burst, self._credit + self._ratio)

    def on_recovery(self, now_ms: int) -> None:
        """Count a stream's new attempt, which has limits of its own and is never refused here."""
        with self._lock:
            self._fill(now_ms)
            self._credit = max(-self._burst, self._credit - 1)

    def take(self, now_ms: int) -> bool:
        """Return whether a retry may be made now; if so, it is counted."""
        with self._lock:
            self._fill(now_ms)
            if self._credit < 1:
                return False
            self._credit -= 1
            return True

    def _fill(self, now_ms: int) -> None:
        if self._filled_ms is not None:
            earned = (now_ms - self._filled_ms) * self._min_per_s / _MS_PER_S
            self._credit = min(self._burst, self._credit + earned)
        self._filled_ms = now_ms
