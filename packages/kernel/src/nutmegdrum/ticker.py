"""Periodic calls from a separate thread."""

import threading
from collections.abc import Callable

from nutmegdrum.logs import log_change


class Ticker:
    """Calls `tick` every `period_ms` until it is stopped.

    A failing tick is logged and does not prevent the next one.
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
        """Stop ticking, without waiting for a running tick."""
        self._stopped.set()
