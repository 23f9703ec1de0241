"""Detection of silent backend servers, by their streams and a failed probe.

Streams are also silent while prompts queue, so silence alone proves nothing. The engine's report is
requested on a new connection first; only if that fails as well may its streams go on elsewhere, by
the silence policy.
"""

import threading
from collections.abc import Callable, Sequence
from concurrent.futures import FIRST_COMPLETED, Future, ThreadPoolExecutor, as_completed, wait

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from prometheus_client import Counter

from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.running import RunningStream, RunningStreams
from nutmegdrum_relay.silence_policy import Contact, is_lost, leaves
from nutmegdrum_relay.upstream import AbortReason, ConnectFailed, ConnectionLost, UpstreamPool

SILENCE = Duration(250)
"""Silence after which an engine is probed; docs/design/platform.md, silent engines."""

REPORT_TRIES = 3
"""Most connections used for one probe, as packets may be lost on some."""

TRY_PERIOD = Duration(40)
"""Time before the next connection is tried; many round trips between data centres."""

REPORT_WAIT = Duration(150)
"""Time limit of a probe with all its tries. Together with `SILENCE` and the time to resume at the
copy's engine it stays below 700 ms, the pause that callers count as late (the users' sheets)."""

PROBE_PERIOD = Duration(1_000)
"""Time after a probe before the same engine is probed again."""

LONGEST_PERIOD = Duration(50)
"""Longest time between two checks of the streams in progress."""

OTHERS_PROBED = 3
"""Other engines that are probed at most before streams leave a lost one without a copy."""

SILENT_STREAMS = Counter(
    "nutmegdrum_silent_streams", "Streams at engines that did not answer a probe", ["outcome"]
)

SILENT_PROBE_PERIOD = Duration(400)
"""Time after an unanswered probe before the same engine is probed again."""

_MAX_PROBES = 4
_TRIES_PER_PROBE = 2 * REPORT_TRIES
_MS_PER_S = 1_000


class SilenceMonitor:
    """Thread that probes engines whose streams are silent.

    Parameters
    ----------
    report_path : str
        HTTP path of an engine's report.
    may_send : callable
        Returns whether a request may be sent to an engine now; engines have rate limits.
    """

    def __init__(
        self,
        clock: Clock,
        backends: Backends,
        running: RunningStreams,
        upstream: UpstreamPool,
        report_path: str,
        may_send: Callable[[BackendId], bool],
    ):
        self._clock = clock
        self._backends = backends
        self._running = running
        self._upstream = upstream
        self._report_path = report_path
        self._may_send = may_send
        self._lock = threading.Lock()
        self._next_probe_ms: dict[Backend, int] = {}
        self._pool = ThreadPoolExecutor(_MAX_PROBES, thread_name_prefix="silence")
        self._tries = ThreadPoolExecutor(
            _MAX_PROBES * _TRIES_PER_PROBE, thread_name_prefix="report"
        )
        self._probes: list[Future] = []
        self._loop = Loop("silence", self.poll)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def poll(self) -> Duration:
        """Start probes of engines that are silent for too long; return the time to wait."""
        now_ms = self._clock.elapsed_ms()
        pause_ms = int(LONGEST_PERIOD)
        with self._lock:
            self._next_probe_ms = {b: ms for b, ms in self._next_probe_ms.items() if now_ms < ms}
        self._drop_finished()
        for backend, since_ms in self._running.silent_since_ms():
            if backend in self._next_probe_ms:
                continue
            silent_ms = now_ms - since_ms
            if silent_ms >= SILENCE:
                self._probe_after(backend, PROBE_PERIOD)
                if not self._may_send(backend.id):
                    log_decision("silence_not_probed", backend=backend.id, silent_ms=silent_ms)
                    continue
                self._probes.append(self._pool.submit(self._probe, backend, since_ms))
            else:
                pause_ms = min(pause_ms, SILENCE - silent_ms)
        return Duration(pause_ms)

    def _probe_after(self, backend: Backend, period: Duration) -> None:
        with self._lock:
            self._next_probe_ms[backend] = self._clock.elapsed_ms() + int(period)

    def _drop_finished(self) -> None:
        ended = [probe for probe in self._probes if probe.done()]
        self._probes = [probe for probe in self._probes if probe not in ended]
        for probe in ended:
            if (exc := probe.exception()) is not None:
                log_decision("silence_unexplained", error=repr(exc))

    def probing(self) -> bool:
        """Return whether a probe is in progress."""
        return any(not probe.done() for probe in list(self._probes))

    def _probe(self, backend: Backend, since_ms: int) -> None:
        """Probe a silent engine, and let the streams go on elsewhere that should leave it."""
        streams = self._running.at(backend)
        until_ms = self._clock.elapsed_ms() + int(REPORT_WAIT)
        answering = self._start_copy_probes(streams, until_ms)
        contact = self._contact(backend, until_ms)
        now_ms = self._clock.elapsed_ms()
        silence = Duration(now_ms - since_ms)
        if contact is Contact.ANSWERS or backend.last_data_ms > since_ms:
            log_decision("silence_explained", backend=backend.id, silent_ms=silence)
            return
        self._probe_after(backend, SILENT_PROBE_PERIOD)
        self._backends.on_down(backend, "silent", silent=True)
        self._upstream.close_idle(backend.id)
        copies = {copy for copy, probe in answering.items() if probe.result() is Contact.ANSWERS}
        others_answer = is_lost(silence) and self._any_other_answers(backend)
        moved = 0
        for running in streams:
            copy_answers = running.stream.copy in copies
            if not leaves(contact, silence, copy_answers, others_answer):
                continue
            if running.stream.may_move():
                running.exchange.abort(AbortReason.SILENT_SERVER)
                moved += 1
        SILENT_STREAMS.labels("moved").inc(moved)
        SILENT_STREAMS.labels("waiting").inc(len(streams) - moved)
        log_decision(
            "silent_backend",
            backend=backend.id,
            contact=contact.value,
            silent_ms=silence,
            streams=len(streams),
            copies_answer=len(copies),
            others_answer=others_answer,
            moved=moved,
        )

    def _start_copy_probes(
        self, streams: Sequence[RunningStream], until_ms: int
    ) -> dict[Backend, Future]:
        """Start probes of the engines with copies, so that streams can move in time."""
        copies = {running.stream.copy for running in streams}
        return {
            copy: self._tries.submit(self._try_report, self._backends.successor(copy), until_ms)
            for copy in copies
            if copy is not None and self._may_send(copy.id)
        }

    def _any_other_answers(self, backend: Backend) -> bool:
        """Return whether another engine of the service has sent data lately or answers a probe."""
        others = [b for b in self._backends.of_service(backend.listed.service) if b is not backend]
        others.sort(key=lambda other: other.last_data_ms, reverse=True)
        now_ms = self._clock.elapsed_ms()
        if any(now_ms - other.last_data_ms < SILENCE for other in others[:1]):
            return True
        until_ms = now_ms + int(REPORT_WAIT)
        probed = [other for other in others[:OTHERS_PROBED] if self._may_send(other.id)]
        tries = {self._tries.submit(self._try_report, other, until_ms) for other in probed}
        return any(probe.result() is Contact.ANSWERS for probe in as_completed(tries))

    def _contact(self, backend: Backend, until_ms: int) -> Contact:
        """Probe an engine; a new try starts while earlier ones still wait."""
        tries: set[Future] = set()
        for number in range(REPORT_TRIES):
            tries.add(self._tries.submit(self._try_report, backend, until_ms))
            last = number + 1 == REPORT_TRIES
            if self._any_answer(tries, until_ms, self._left(until_ms) if last else TRY_PERIOD):
                return Contact.ANSWERS
        reached = any(probe.result() is not Contact.UNREACHABLE for probe in tries)
        return Contact.MUTE if reached else Contact.UNREACHABLE

    def _any_answer(self, tries: set[Future], until_ms: int, timeout: Duration) -> bool:
        waited_until_ms = min(until_ms, self._clock.elapsed_ms() + int(timeout))
        waiting = tries
        while waiting:
            left_ms = waited_until_ms - self._clock.elapsed_ms()
            if left_ms <= 0:
                return False
            done, waiting = wait(waiting, left_ms / _MS_PER_S, FIRST_COMPLETED)
            if any(probe.result() is Contact.ANSWERS for probe in done):
                return True
        return False

    def _left(self, until_ms: int) -> Duration:
        return Duration(max(1, until_ms - self._clock.elapsed_ms()))

    def _try_report(self, backend: Backend, until_ms: int) -> Contact:
        try:
            # Use a new connection: silence on a reused one may be a fault of the connection.
            exchange = self._upstream.connect(backend.address, self._left(until_ms))
        except ConnectFailed:
            return Contact.UNREACHABLE
        try:
            exchange.send("GET", self._report_path, [("Host", backend.address)], b"")
            exchange.receive(self._left(until_ms))
        except (TimeoutError, ConnectionLost):
            return Contact.MUTE
        finally:
            exchange.close()
        return Contact.ANSWERS
