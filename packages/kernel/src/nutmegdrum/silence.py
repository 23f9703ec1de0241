"""Decisions about attempts whose backend server has been silent beyond its time-out.

A sound backend server may be silent for a while and go on, and a silence that all backend servers
share, such as that of a link, is not mended by a further attempt: it would cost a second prompt
prefill and meet the same silence. The module does no I/O.
"""

import threading
from collections import defaultdict
from enum import Enum
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId, ServiceName

QUIET_MS = 1_000
"""Time without output after which a backend server with attempts counts as silent, in ms."""

CATCH_UP_MS = 300
"""Time that the backend servers get to go on after the first one ends a shared silence, in ms."""

ASK_INTERVAL_MS = 1_000
"""Interval at which permission to send a request again is asked for after a refusal, in ms."""

SCOUT_INTERVAL_MS = 2_000
"""Interval at which one attempt of a service moves during a shared silence, in ms.

It finds a backend server that answers but has no running attempts.
"""


class Decision(Enum):
    """Decision about a silent attempt."""

    GIVE_UP = "give-up"
    HOLD_SHARED = "hold-shared"
    HOLD_LAST = "hold-last"
    HOLD_UNPERMITTED = "hold-unpermitted"


class SilentAttempt(NamedTuple):
    """Attempt that has been silent beyond its time-out.

    Attributes
    ----------
    deadline : ElapsedMs
        Time until which the attempt may be held.
    is_last : bool
        Whether the stream may start no further attempt.
    """

    service: ServiceName
    backend: BackendId
    deadline: ElapsedMs
    is_last: bool


class _Running:
    """Running attempts on one backend server; `since` is the start of its silence, if any."""

    __slots__ = ("count", "since")

    def __init__(self) -> None:
        self.count = 0
        self.since = ElapsedMs(0)


class _Service:
    def __init__(self) -> None:
        self.running: dict[BackendId, _Running] = {}
        self.heard_at: ElapsedMs | None = None
        self.resumed_at: ElapsedMs | None = None
        self.scouted_at: ElapsedMs | None = None


class Silences:
    """Record of the backend servers' output at one entry VM; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._services: defaultdict[ServiceName, _Service] = defaultdict(_Service)

    def on_start(self, service: ServiceName, backend: BackendId, now_ms: ElapsedMs) -> None:
        """Record the start of an attempt."""
        with self._lock:
            running = self._services[service].running.setdefault(backend, _Running())
            if running.count == 0:
                running.since = now_ms
            running.count += 1

    def on_output(self, service: ServiceName, backend: BackendId, now_ms: ElapsedMs) -> None:
        """Record that a backend server has sent something."""
        with self._lock:
            group = self._services[service]
            if group.heard_at is not None and now_ms - group.heard_at >= QUIET_MS:
                group.resumed_at = now_ms
            group.heard_at = now_ms
            running = group.running.get(backend)
            if running is not None:
                running.since = now_ms

    def on_end(self, service: ServiceName, backend: BackendId) -> None:
        """Record the end of an attempt that `on_start` has recorded."""
        with self._lock:
            group = self._services[service]
            running = group.running.get(backend)
            if running is None:
                return
            running.count -= 1
            if running.count == 0:
                del group.running[backend]

    def decide(self, silent: SilentAttempt, now_ms: ElapsedMs) -> Decision:
        """Return whether to give a silent attempt up or to hold it for now."""
        if now_ms >= silent.deadline:
            return Decision.GIVE_UP
        if silent.is_last:
            return Decision.HOLD_LAST
        with self._lock:
            group = self._services[silent.service]
            if not self._is_shared(group, silent.backend, now_ms):
                return Decision.GIVE_UP
            if group.scouted_at is None or now_ms - group.scouted_at >= SCOUT_INTERVAL_MS:
                group.scouted_at = now_ms
                return Decision.GIVE_UP
        return Decision.HOLD_SHARED

    def _is_shared(self, group: _Service, backend: BackendId, now_ms: ElapsedMs) -> bool:
        """Return whether the other backend servers are silent as well, or were until just now."""
        if group.resumed_at is not None and now_ms - group.resumed_at < CATCH_UP_MS:
            return True
        if group.heard_at is not None and now_ms - group.heard_at < QUIET_MS:
            return False
        others = [running for id, running in group.running.items() if id != backend]
        return any(now_ms - running.since >= QUIET_MS for running in others)
