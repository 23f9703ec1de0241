"""Reading of cache events from backend servers."""

from concurrent.futures import ThreadPoolExecutor

from nutmegdrum_coord.ids import BackendId

from nutmegdrum.backends import BackendProtocol
from nutmegdrum.messages import BackendLost
from nutmegdrum.routing import Router
from nutmegdrum.settings import BackendSettings

POLL_MS = 500
READ_TIMEOUT_MS = 400
MAX_POLLED = 24
_THREADS = 4


class CachePoller:
    """Reads some backend servers' cache events at each tick, all of them in turn.

    Parameters
    ----------
    router : Router
        Names the backend servers that this VM uses, and takes the events.
    """

    def __init__(self, protocol: BackendProtocol, router: Router):
        self._protocol = protocol
        self._router = router
        self._after: dict[BackendId, int] = {}
        self._next = 0
        self._pool = ThreadPoolExecutor(_THREADS, thread_name_prefix="cache-events")

    def tick(self) -> None:
        """Read the next backend servers' events and wait for them."""
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
