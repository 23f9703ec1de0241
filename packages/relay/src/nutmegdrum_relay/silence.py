"""Detection of silent backend servers, by their streams and a failed probe.

Streams are also silent while prompts queue, so silence alone proves nothing. The engine's report is
requested on a new connection first; only if that fails as well may its streams go on elsewhere, by
the silence policy.
"""

import threading
from collections.abc import Sequence
from concurrent.futures import Future, ThreadPoolExecutor, as_completed

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from prometheus_client import Counter

from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.engine_probes import PROBES_AT_ONCE, EngineProbes
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.running import RunningStream, RunningStreams
from nutmegdrum_relay.silence_policy import Contact, is_lost, leaves
from nutmegdrum_relay.upstream import AbortReason, UpstreamPool

SILENCE = Duration(250)
"""Silence after which an engine is probed; docs/design/platform.md, silent engines."""

PROBE_PERIOD = Duration(1_000)
"""Time after a probe before the same engine is probed again."""

SILENT_PROBE_PERIOD = Duration(400)
"""Time after an unanswered probe before the same engine is probed again."""

LONGEST_PERIOD = Duration(50)
"""Longest time between two checks of the streams in progress."""

OTHERS_PROBED = 3
"""Other engines that are probed at most, for copies or before streams leave a lost engine."""

SILENT_STREAMS = Counter(
    "nutmegdrum_silent_streams", "Streams at engines that did not answer a probe", ["outcome"]
)


class SilenceMonitor:
    """Thread that probes engines whose streams are silent."""

    def __init__(
        self,
        clock: Clock,
        backends: Backends,
        running: RunningStreams,
        upstream: UpstreamPool,
        probes: EngineProbes,
    ):
        self._clock = clock
        self._backends = backends
        self._running = running
        self._upstream = upstream
        self._engine_probes = probes
        self._lock = threading.Lock()
        self._next_probe_ms: dict[Backend, int] = {}
        self._probing: dict[Backend, Future] = {}
        self._pool = ThreadPoolExecutor(PROBES_AT_ONCE, thread_name_prefix="silence")
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
            if backend in self._next_probe_ms or backend in self._probing:
                continue
            silent_ms = now_ms - since_ms
            if silent_ms >= SILENCE:
                self._probe_after(backend, PROBE_PERIOD)
                if not self._engine_probes.may_send(backend.id):
                    log_decision("silence_not_probed", backend=backend.id, silent_ms=silent_ms)
                    continue
                self._probing[backend] = self._pool.submit(self._probe, backend, since_ms)
            else:
                pause_ms = min(pause_ms, SILENCE - silent_ms)
        return Duration(pause_ms)

    def _probe_after(self, backend: Backend, period: Duration) -> None:
        with self._lock:
            self._next_probe_ms[backend] = self._clock.elapsed_ms() + int(period)

    def _drop_finished(self) -> None:
        ended = [(backend, probe) for backend, probe in self._probing.items() if probe.done()]
        for backend, probe in ended:
            del self._probing[backend]
            if (exc := probe.exception()) is not None:
                log_decision("silence_unexplained", error=repr(exc))

    def probing(self) -> bool:
        """Return whether a probe is in progress."""
        return any(not probe.done() for probe in list(self._probing.values()))

    def _probe(self, backend: Backend, since_ms: int) -> None:
        """Probe a silent engine, and let the streams go on elsewhere that should leave it."""
        streams = self._running.at(backend)
        copy_probes = self._start_copy_probes(streams)
        contact = Contact.REPLACED if backend.gone else self._engine_probes.contact(backend)
        silence = Duration(self._clock.elapsed_ms() - since_ms)
        spoke = backend.last_data_ms > since_ms
        if spoke or contact in (Contact.ANSWERS, Contact.UNKNOWN):
            log_decision(
                "silence_explained",
                backend=backend.id,
                silent_ms=silence,
                contact=contact.value,
                spoke=spoke,
            )
            return
        if contact is Contact.REPLACED and not backend.gone:
            self._backends.on_replaced(backend)
        self._probe_after(backend, SILENT_PROBE_PERIOD)
        self._backends.on_down(backend, "silent", silent=not is_lost(silence))
        self._upstream.close_idle(backend.id)
        copies = {copy for copy, probe in copy_probes.items() if probe.result() is Contact.ANSWERS}
        others_answer = is_lost(silence) and self._any_other_answers(backend)
        leaving = [
            running
            for running in streams
            if leaves(contact, silence, running.stream.copy in copies, others_answer)
        ]
        moved = sum(self._move(running, since_ms) for running in leaving)
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

    def _move(self, running: RunningStream, since_ms: int) -> bool:
        """Let a stream go on elsewhere, unless its engine has sent something by now."""
        if not running.stream.may_move() or running.backend.last_data_ms > since_ms:
            return False
        return running.exchange.abort(AbortReason.SILENT_SERVER)

    def _start_copy_probes(self, streams: Sequence[RunningStream]) -> dict[Backend, Future]:
        """Start probes of engines with copies, so that streams can move in time."""
        copies = {running.stream.copy for running in streams} - {None}
        return {
            copy: self._engine_probes.start(self._backends.successor(copy))
            for copy in list(copies)[:OTHERS_PROBED]
            if copy is not None and self._engine_probes.may_send(copy.id)
        }

    def _any_other_answers(self, backend: Backend) -> bool:
        """Return whether another engine of the service has sent data lately or answers a probe."""
        others = [b for b in self._backends.of_service(backend.listed.service) if b is not backend]
        others.sort(key=lambda other: other.last_data_ms, reverse=True)
        if others and self._clock.elapsed_ms() - others[0].last_data_ms < SILENCE:
            return True
        probed = [b for b in others[:OTHERS_PROBED] if self._engine_probes.may_send(b.id)]
        tries = [self._engine_probes.start(other) for other in probed]
        return any(probe.result() is Contact.ANSWERS for probe in as_completed(tries))
