"""Finds backend servers that hang: all their exchanges are silent, and so is their report.

A long prompt queue is silent too, so silence alone ends nothing. The engine is asked for its
report first, on a connection of its own, and given up only if that does not come either.
"""

from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, wait

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock

from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.running import RunningStreams
from nutmegdrum_relay.upstream import ConnectFailed, ConnectionLost, UpstreamPool

SILENCE = Duration(250)
"""Silence after which an engine is asked; docs/design/platform.md, silent engines."""

REPORT_TRIES = 3
"""Most connections on which the report is asked for, as packets may be lost on some."""

TRY_PERIOD = Duration(40)
"""Time between two tries, many round trips between data centres."""

REPORT_WAIT = Duration(150)
"""Time for all tries together. With the silence and the time in which the copy's engine goes on it
stays below the pause of 700 ms that callers take for a late answer (the users' sheets)."""

ASK_AGAIN = Duration(1_000)
"""Time after a report until the same engine is asked again."""

LONGEST_PERIOD = Duration(50)
"""Longest time between two looks at the running exchanges."""

_ASKERS = 4
_MS_PER_S = 1_000


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
        running: RunningStreams,
        upstream: UpstreamPool,
        report_path: str,
    ):
        self._clock = clock
        self._backends = backends
        self._running = running
        self._upstream = upstream
        self._report_path = report_path
        self._asked_ms: dict[Backend, int] = {}
        self._pool = ThreadPoolExecutor(_ASKERS, thread_name_prefix="silence")
        self._tries = ThreadPoolExecutor(_ASKERS * REPORT_TRIES, thread_name_prefix="report")
        self._asks: list[Future] = []
        self._loop = Loop("silence", self.poll)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def poll(self) -> Duration:
        """Ask the engines that have been silent for too long, and return when to look again."""
        now_ms = self._clock.elapsed_ms()
        pause_ms = int(LONGEST_PERIOD)
        self._asked_ms = {b: ms for b, ms in self._asked_ms.items() if now_ms - ms < ASK_AGAIN}
        self._forget_ended()
        for backend, since_ms in self._running.silent_since_ms():
            if backend in self._asked_ms:
                continue
            silent_ms = now_ms - since_ms
            if silent_ms >= SILENCE:
                self._asked_ms[backend] = now_ms
                self._asks.append(self._pool.submit(self._ask, backend, silent_ms))
            else:
                pause_ms = min(pause_ms, SILENCE - silent_ms)
        return Duration(pause_ms)

    def _forget_ended(self) -> None:
        ended = [ask for ask in self._asks if ask.done()]
        self._asks = [ask for ask in self._asks if ask not in ended]
        for ask in ended:
            if (exc := ask.exception()) is not None:
                log_decision("silence_unexplained", error=repr(exc))

    def asking(self) -> bool:
        """Return whether an engine is being asked now."""
        return any(not ask.done() for ask in list(self._asks))

    def _ask(self, backend: Backend, silent_ms: int) -> None:
        if self._reports(backend):
            log_decision("silence_explained", backend=backend.id, silent_ms=silent_ms)
            return
        self._backends.on_down(backend, "silent")
        self._upstream.close_idle(backend.id)
        aborted = self._running.abort_all(backend)
        log_decision(
            "silent_backend_given_up", backend=backend.id, silent_ms=silent_ms, exchanges=aborted
        )

    def _reports(self, backend: Backend) -> bool:
        """Return whether any try is answered; a further one starts while those before wait."""
        until_ms = self._clock.elapsed_ms() + int(REPORT_WAIT)
        tries: set[Future] = set()
        for number in range(REPORT_TRIES):
            tries.add(self._tries.submit(self._answers, backend, until_ms))
            last = number + 1 == REPORT_TRIES
            if self._any_answer(tries, until_ms, self._left(until_ms) if last else TRY_PERIOD):
                return True
        return False

    def _any_answer(self, tries: set[Future], until_ms: int, timeout: Duration) -> bool:
        waited_until_ms = min(until_ms, self._clock.elapsed_ms() + int(timeout))
        waiting = tries
        while waiting:
            left_ms = waited_until_ms - self._clock.elapsed_ms()
            if left_ms <= 0:
                return False
            done, waiting = wait(waiting, left_ms / _MS_PER_S, FIRST_COMPLETED)
            if any(ask.result() for ask in done):
                return True
        return False

    def _left(self, until_ms: int) -> Duration:
        return Duration(max(1, until_ms - self._clock.elapsed_ms()))

    def _answers(self, backend: Backend, until_ms: int) -> bool:
        try:
            # No kept connection: a silent one says nothing about the engine.
            exchange = self._upstream.connect(backend.address, self._left(until_ms))
        except ConnectFailed:
            return False
        try:
            exchange.send("GET", self._report_path, [("Host", backend.address)], b"")
            exchange.receive(self._left(until_ms))
        except (TimeoutError, ConnectionLost):
            return False
        finally:
            exchange.close()
        return True
