"""Periodic calls from a thread of their own."""

import threading
from collections.abc import Callable

from nutmegdrum.logs import log_change


class Ticker:
    """Calls `tick` every `period_ms` until it is stopped.

    A tick that fails is logged and the next one comes all the same.
    """

    def __init__(self, name: str, period_ms: int, tick: Callable[[], None]):
        self._name = name
        self._period_s = period_ms / 1_000
        self._tick = tick
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"tick-{name}", daemon=True)

    def start(self) -> None:
        """Start ticking."""
        self._thread.start()

    def _run(self) -> None:
        while not self._stopped.wait(self._period_s):
            try:
                self._tick()
            except Exception as exc:
                log_change("tick-failed", ticker=self._name, error=repr(exc))

    def stop(self) -> None:
        """Stop ticking; a tick that runs is not waited for."""
        self._stopped.set()
