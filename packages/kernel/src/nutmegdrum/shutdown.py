"""Phases of a graceful shutdown of one entry VM."""

from enum import Enum

MAX_HAND_OVER_MS = 10_000
HAND_OVER_DIVISOR = 3


class Phase(Enum):
    """Phase of a shutdown."""

    SERVING = "serving"
    NOTICE = "notice"
    DRAINING = "draining"
    HANDING_OVER = "handing-over"
    DONE = "done"


class Shutdown:
    """State machine of a graceful shutdown.

    From the start of the shutdown the VM reports that it is not ready, but it serves all requests
    during the notice, while the balancer's list lags. Then it refuses new requests and drains the
    open ones. Streams still open shortly before the time-out are ended after a complete event, so
    that their callers continue on another VM.

    Parameters
    ----------
    notice_ms : int
        Time for which new requests are still served, in ms.
    timeout_ms : int
        Time after which the VM exits regardless of open requests, in ms.
    """

    def __init__(self, notice_ms: int, timeout_ms: int):
        self._notice_ms = notice_ms
        self._timeout_ms = timeout_ms
        self._hand_over_ms = min(MAX_HAND_OVER_MS, timeout_ms // HAND_OVER_DIVISOR)
        self._began_ms: int | None = None

    def begin(self, now_ms: int) -> None:
        """Start the shutdown; further calls have no effect."""
        if self._began_ms is None:
            self._began_ms = now_ms

    def after_signal_ms(self, now_ms: int) -> int | None:
        """Return the time in ms from the start of the shutdown, or None before it."""
        return None if self._began_ms is None else now_ms - self._began_ms

    def may_take(self, complete_ms: int) -> bool:
        """Return whether a request is served that was complete at `complete_ms`.

        Nothing bounds the time that a request takes, so that one that is complete only after the
        notice might not end in time.
        """
        return self._began_ms is None or complete_ms - self._began_ms < self._notice_ms

    def phase(self, now_ms: int, open_requests: int) -> Phase:
        """Return the phase at `now_ms` with `open_requests` unfinished requests."""
        if self._began_ms is None:
            return Phase.SERVING
        elapsed_ms = now_ms - self._began_ms
        if elapsed_ms >= self._timeout_ms:
            return Phase.DONE
        if elapsed_ms < self._notice_ms:
            return Phase.NOTICE
        if open_requests == 0:
            return Phase.DONE
        if elapsed_ms >= self._timeout_ms - self._hand_over_ms:
            return Phase.HANDING_OVER
        return Phase.DRAINING
