"""Polling of cache events from backend servers."""

from concurrent.futures import ThreadPoolExecutor

from nutmegdrum_coord.ids import BackendId

from nutmegdrum.backends import BackendProtocol
from nutmegdrum.messages import BackendLost
from nutmegdrum.routing import Router
from nutmegdrum.settings import BackendSettings

POLL_MS = 500
"""Poll interval, in ms."""

READ_TIMEOUT_MS = 400
"""Time-out of one read, in ms."""

MAX_POLLED = 24
"""Maximum number of backend servers read per tick."""

_THREADS = 4


class CachePoller:
    """Reads the cache events of some backend servers at each tick, in round-robin order.

    Parameters
    ----------
    router : Router
        Lists the backend servers that this VM uses, and receives the events.
    """

    def __init__(self, protocol: BackendProtocol, router: Router):
        self._protocol = protocol
        self._router = router
        self._after: dict[BackendId, int] = {}
        self._next = 0
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix="cache-events")

    def tick(self) -> None:
        """Read the events of the next backend servers, in parallel, and wait for all of them."""
        backends = self._router.used_backends()
        if not backends:
            return
        count = min(MAX_POLLED, len(backends))
        batch = [backends[(self._next + offset) % len(backends)] for offset in range(count)]
        self._next = (self._next + count) % len(backends)
        list(self._pool.map(self._read, batch))

    def _read(self, backend: BackendSettings) -> None:
        after = self._after.get(backend.id, 0)
        try:
            events = self._protocol.cache_events(backend, after, READ_TIMEOUT_MS)
        except BackendLost:
            self._after.pop(backend.id, None)
            return
        if events:
            self._after[backend.id] = events[-1].sequence
            self._router.on_cache_events(backend.id, events)
