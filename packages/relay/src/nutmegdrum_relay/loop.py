"""Steps that a thread of their own repeats."""

import threading
from collections.abc import Callable

from nutmegdrum.units import Duration

from nutmegdrum_relay.decisions import log_decision

PAUSE_AFTER_FAILURE = Duration(200)
"""Pause after a step that failed, so that a lasting failure does not use up the processor."""

_MS_PER_S = 1_000


class Loop:
    """Calls `step` until it is stopped; one that fails is logged, and the next comes all the same.

    Parameters
    ----------
    step : callable
        Returns the pause until the next step.
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
        """Take no further step; one that runs is not waited for."""
        self._stopped.set()

    def _run(self) -> None:
        while not self._stopped.is_set():
            pause = self._take_step()
            if pause > 0:
                self._stopped.wait(pause / _MS_PER_S)

    def _take_step(self) -> Duration:
        try:
            return self._step()
        except Exception as exc:
            log_decision("step_failed", loop=self._name, error=repr(exc))
            return PAUSE_AFTER_FAILURE
