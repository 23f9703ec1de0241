"""Attempts in progress, so that those on a silent engine or under a quarantine can be aborted."""

import threading
from collections.abc import Collection

from nutmegdrum_coord.ids import BackendId, Fingerprint

from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.upstream import AbortReason, Exchange


class RunningStreams:
    """Exchanges of streams in progress by backend server; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._exchanges: dict[BackendId, dict[Exchange, tuple[Backend, int]]] = {}

    def add(self, backend: Backend, exchange: Exchange, now_ms: int) -> None:
        """Register an exchange that was sent at `now_ms`."""
        with self._lock:
            self._exchanges.setdefault(backend.id, {})[exchange] = (backend, now_ms)

    def remove(self, backend: Backend, exchange: Exchange) -> None:
        """Unregister an exchange that has ended."""
        with self._lock:
            exchanges = self._exchanges.get(backend.id, {})
            exchanges.pop(exchange, None)
            if not exchanges:
                self._exchanges.pop(backend.id, None)

    def silent_since_ms(self) -> list[tuple[Backend, int]]:
        """Return each backend server with streams in progress, and since when it has been silent.

        The silence begins with the last data received, or with the oldest request in progress
        if that was sent later.
        """
        with self._lock:
            silent = []
            for exchanges in self._exchanges.values():
                backend, _ = next(iter(exchanges.values()))
                first_ms = min(sent_ms for _, sent_ms in exchanges.values())
                silent.append((backend, max(backend.last_data_ms, first_ms)))
            return silent

    def abort_all(self, backend: Backend) -> int:
        """Abort all exchanges with a backend server and return their number."""
        with self._lock:
            exchanges = list(self._exchanges.get(backend.id, {}))
        for exchange in exchanges:
            exchange.abort(AbortReason.SILENT_SERVER)
        return len(exchanges)


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
