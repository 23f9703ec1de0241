"""Background thread that repeats a step."""

import threading
from collections.abc import Callable

from nutmegdrum.units import Duration

from nutmegdrum_relay.decisions import log_decision

PAUSE_AFTER_FAILURE = Duration(200)
"""Pause after a failed step, so that a permanent failure does not busy-loop."""

_MS_PER_S = 1_000


class Loop:
    """Thread that calls `step` until it is stopped; failures are logged and do not end it.

    Parameters
    ----------
    step : callable
        Performs one step and returns the pause before the next one.
    """

    def __init__(self, name: str, step: Callable[[], Duration]):
        self._name = name
        self._step = step
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=name, daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop after the current step, without waiting for it."""
        self._stopped.set()

    def join(self, timeout: Duration) -> None:
        """Wait until the last step has ended, at most for `timeout`."""
        self._thread.join(timeout / _MS_PER_S)

    def _run(self) -> None:
        while not self._stopped.is_set():
            pause = self._run_step()
            if pause > 0:
                self._stopped.wait(pause / _MS_PER_S)

    def _run_step(self) -> Duration:
        try:
            return self._step()
        except Exception as exc:
            log_decision("step_failed", loop=self._name, error=repr(exc))
            return PAUSE_AFTER_FAILURE
