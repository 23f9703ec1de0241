"""Replicated state as the daemon's threads share it."""

import threading

from nutmegdrum_coord.clock import Clock, LogMs
from nutmegdrum_coord.ids import LogPosition
from nutmegdrum_coord.parts import CompositeState
from nutmegdrum_coord.quarantine import Quarantine

from nutmegdrum.view import QuarantineView

REMAINING_STEP_MS = 60_000
"""Rounding of quarantines' remaining time, so that views do not differ each moment."""


class SharedState:
    """State machine under a lock, so that queries can read it while the log applies commands."""

    def __init__(self, state: CompositeState, clock: Clock):
        self.lock = threading.RLock()
        self.state = state
        self._clock = clock
        self._log_ms = LogMs(0)
        self._applied_ms = clock.elapsed_ms()

    def apply(self, position: LogPosition, at: LogMs, command: bytes) -> bytes:
        """Apply one committed command."""
        with self.lock:
            self._log_ms = at
            self._applied_ms = self._clock.elapsed_ms()
            return self.state.apply(position, at, command)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        with self.lock:
            return self.state.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        with self.lock:
            self.state.restore(snapshot)

    def log_now_ms(self) -> LogMs:
        """Return the log's time now: that of the last command, and the ms since it was applied."""
        return LogMs(self._log_ms + self._clock.elapsed_ms() - self._applied_ms)

    def quarantines(self) -> list[QuarantineView]:
        """Return the requests that are refused now."""
        quarantine: Quarantine = self.state.parts[Quarantine.name]
        with self.lock:
            held = quarantine.quarantines(self.log_now_ms())
        return [
            QuarantineView(
                fingerprint=f, remaining_ms=-(-ms // REMAINING_STEP_MS) * REMAINING_STEP_MS
            )
            for f, ms in held.items()
        ]
