"""Finds backend servers that hang: all their exchanges are silent, and so is their report.

A long prompt queue is silent too, so silence alone ends nothing. The engine is asked for its
report first, on a connection of its own, and given up only if that does not come either.
"""

from concurrent.futures import ThreadPoolExecutor

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock

from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.running import Running
from nutmegdrum_relay.upstream import Broken, NotSent, Upstream

SILENCE = Duration(250)
"""Silence after which an engine is asked; docs/design/platform.md, silent engines."""

REPORT_TIMEOUTS = (Duration(130), Duration(130))
"""Time for each try of the report; a second one, since a packet may be lost. Silence and tries
together stay below the pause of 700 ms that callers take for a late answer (the users' sheet)."""

ASK_AGAIN = Duration(1_000)
"""Time after a report until the same engine is asked again."""

PERIOD = Duration(50)
_ASKERS = 4


class SilenceMonitor:
    """Thread that looks at the running exchanges.

    Parameters
    ----------
    report_path : str
        Path of an engine's report.
    """

    def __init__(
        self,
        clock: Clock,
        backends: Backends,
        running: Running,
        upstream: Upstream,
        report_path: str,
    ):
        self._clock = clock
        self._backends = backends
        self._running = running
        self._upstream = upstream
        self._report_path = report_path
        self._asked_ms: dict[Backend, int] = {}
        self._pool = ThreadPoolExecutor(_ASKERS, thread_name_prefix="report")
        self._loop = Loop("silence", self.look)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def look(self) -> Duration:
        """Ask the engines that have been silent for too long, and return when to look again."""
        now_ms = self._clock.elapsed_ms()
        self._asked_ms = {b: ms for b, ms in self._asked_ms.items() if now_ms - ms < ASK_AGAIN}
        for backend, since_ms in self._running.silent_since_ms():
            if now_ms - since_ms >= SILENCE and backend not in self._asked_ms:
                self._asked_ms[backend] = now_ms
                self._pool.submit(self._ask, backend, now_ms - since_ms)
        return PERIOD

    def _ask(self, backend: Backend, silent_ms: int) -> None:
        if self._reports(backend):
            log_decision("silence_explained", backend=backend.id, silent_ms=silent_ms)
            return
        self._backends.on_down(backend, "silent")
        self._upstream.forget(backend.id)
        aborted = self._running.abort_all(backend)
        log_decision(
            "silent_backend_given_up", backend=backend.id, silent_ms=silent_ms, exchanges=aborted
        )

    def _reports(self, backend: Backend) -> bool:
        return any(self._answers(backend, timeout) for timeout in REPORT_TIMEOUTS)

    def _answers(self, backend: Backend, timeout: Duration) -> bool:
        try:
            # No kept connection: a silent one says nothing about the engine.
            exchange = self._upstream.connect(backend.address, timeout)
        except NotSent:
            return False
        try:
            exchange.send("GET", self._report_path, [("Host", backend.address)], b"")
            exchange.receive(timeout)
        except (TimeoutError, Broken):
            return False
        finally:
            exchange.close()
        return True
