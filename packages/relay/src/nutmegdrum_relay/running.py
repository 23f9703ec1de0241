"""Attempts in progress, so that those on a silent engine or under a quarantine can be aborted."""

import threading
from collections.abc import Collection
from typing import NamedTuple, Protocol

from nutmegdrum_coord.ids import BackendId, Fingerprint

from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.upstream import AbortReason, Exchange


class MovableStream(Protocol):
    """A caller's stream that may go on at another engine."""

    @property
    def copy(self) -> Backend | None:
        """Return the engine with a copy of its KV cache, if it has begun; else None."""
        ...

    def may_move(self) -> bool:
        """Return whether it may be sent once more because its engine is silent."""
        ...


class RunningStream(NamedTuple):
    """Exchange of a stream in progress."""

    exchange: Exchange
    backend: Backend
    sent_ms: int
    stream: MovableStream


class RunningStreams:
    """Exchanges of streams in progress by backend server; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._running: dict[BackendId, dict[Exchange, RunningStream]] = {}

    def add(self, running: RunningStream) -> None:
        """Register a stream."""
        with self._lock:
            self._running.setdefault(running.backend.id, {})[running.exchange] = running

    def remove(self, backend: Backend, exchange: Exchange) -> None:
        """Unregister an exchange that has ended."""
        with self._lock:
            running = self._running.get(backend.id, {})
            running.pop(exchange, None)
            if not running:
                self._running.pop(backend.id, None)

    def silent_since_ms(self) -> list[tuple[Backend, int]]:
        """Return each backend server with streams in progress, and since when it has been silent.

        The silence begins with the last data received, or with the oldest request in progress
        if that was sent later.
        """
        with self._lock:
            silent = []
            for running in self._running.values():
                backend = next(iter(running.values())).backend
                first_ms = min(each.sent_ms for each in running.values())
                silent.append((backend, max(backend.last_data_ms, first_ms)))
            return silent

    def at(self, backend: Backend) -> list[RunningStream]:
        """Return the streams in progress at a backend server."""
        with self._lock:
            return list(self._running.get(backend.id, {}).values())


class BeginningAttempts:
    """Attempts whose answers are not past their beginning yet; thread-safe.

    A quarantine aborts those that it concerns, as each would crash its backend server.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._named: dict[Exchange, frozenset[Fingerprint]] = {}

    def add(self, exchange: Exchange, named: Collection[Fingerprint]) -> None:
        """Register an attempt with its request's fingerprint and those of its prompt's parts."""
        with self._lock:
            self._named[exchange] = frozenset(named)

    def remove(self, exchange: Exchange) -> None:
        """Unregister an attempt that has ended or is past its beginning."""
        with self._lock:
            self._named.pop(exchange, None)

    def abort(self, quarantined: Fingerprint) -> int:
        """Abort the attempts that a quarantine concerns and return their number."""
        with self._lock:
            exchanges = [e for e, named in self._named.items() if quarantined in named]
        for exchange in exchanges:
            exchange.abort(AbortReason.QUARANTINED)
        return len(exchanges)
