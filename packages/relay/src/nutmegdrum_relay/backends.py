"""Backend servers that an entry VM knows, from the platform's list and its own exchanges."""

import threading
from collections.abc import Iterable
from enum import Enum

from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, DataCentre, ServiceName

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Listed, Load

FIRST_PAUSE = Duration(300)
"""Pause after a backend server was found down; docs/design/platform.md, failing servers."""

MAX_PAUSE = Duration(2_400)
"""Longest pause before a backend server is tried again; docs/design/platform.md, failing
servers."""

FAILURE_WEIGHT = 0.25
"""Weight of the newest exchange in a backend server's failure rate; four in a row count most."""

LOAD_VALID = Duration(400)
"""Age up to which a told load counts; docs/design/platform.md, placement."""


class Health(Enum):
    """Whether a backend server gets requests."""

    UP = "up"
    PAUSED = "paused"


class Backend:
    """One incarnation of a backend server. The registry's lock guards it.

    Attributes
    ----------
    tokens : int
        Tokens that this VM's running requests need there, copies included.
    requests : int
        This VM's running requests.
    others_tokens : int
        Tokens that other entry VMs' requests need there.
    failure_rate : float
        Share of recent exchanges that failed, 0 to 1.
    """

    def __init__(self, listed: Listed):
        self.listed = listed
        self.id: BackendId = listed.id
        self.address: Address = listed.address
        self.data_centre: DataCentre = listed.data_centre
        self.tokens = 0
        self.requests = 0
        self.others_tokens = 0
        self.failure_rate = 0.0
        self.load: Load | None = None
        self.load_ms = 0
        self.paused_until_ms = 0
        self.pause_ms = 0
        self.heard_ms = 0

    def health(self, now_ms: int) -> Health:
        """Return whether it gets requests now."""
        return Health.PAUSED if now_ms < self.paused_until_ms else Health.UP


class Backends:
    """All known backend servers; thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._backends: dict[BackendId, Backend] = {}
        self._others: dict[BackendId, int] = {}

    def set_listing(self, listing: Iterable[Listed]) -> None:
        """Replace the list; what is known of a backend server is kept while it is listed."""
        with self._lock:
            known = self._backends
            self._backends = {}
            for listed in listing:
                backend = known.get(listed.id)
                if backend is None or backend.address != listed.address:
                    backend = Backend(listed)
                    backend.others_tokens = self._others.get(listed.id, 0)
                    log_decision("backend_listed", backend=listed.id, service=listed.service)
                elif listed.leaving and not backend.listed.leaving:
                    log_decision("backend_leaving", backend=listed.id, service=listed.service)
                backend.listed = listed
                self._backends[listed.id] = backend
            for backend_id in known.keys() - self._backends.keys():
                log_decision("backend_gone", backend=backend_id)

    def set_others(self, tokens: dict[BackendId, int]) -> None:
        """Take the tokens that other entry VMs' requests need."""
        with self._lock:
            self._others = tokens
            for backend in self._backends.values():
                backend.others_tokens = tokens.get(backend.id, 0)

    def own_tokens(self) -> dict[BackendId, int]:
        """Return the tokens that this VM's requests need on each backend server."""
        with self._lock:
            return {b.id: b.tokens for b in self._backends.values() if b.tokens}

    def of_service(self, service: ServiceName) -> list[Backend]:
        """Return the service's backend servers that are not leaving."""
        with self._lock:
            return [
                backend
                for backend in self._backends.values()
                if backend.listed.service == service and not backend.listed.leaving
            ]

    def add(self, backend: Backend, tokens: int) -> None:
        """Count a request that is sent to `backend`."""
        with self._lock:
            backend.requests += 1
            backend.tokens += tokens

    def remove(self, backend: Backend, tokens: int) -> None:
        """Count the end of a request."""
        with self._lock:
            backend.requests -= 1
            backend.tokens -= tokens

    def add_copy(self, backend: Backend, tokens: int) -> None:
        """Count a copy of a run's KV cache at `backend`; a negative number ends one."""
        with self._lock:
            backend.tokens += tokens

    def on_heard(self, backend: Backend) -> None:
        """Note that bytes came from `backend`."""
        backend.heard_ms = self._clock.elapsed_ms()

    def on_load(self, backend: Backend, load: Load | None) -> None:
        """Note the load that an answer told."""
        if load is not None:
            with self._lock:
                backend.load = load
                backend.load_ms = self._clock.elapsed_ms()

    def on_answer(self, backend: Backend, failed: bool) -> None:
        """Note an exchange that ended with an answer."""
        with self._lock:
            self._note(backend, failed)
            if not failed:
                backend.pause_ms = 0

    def on_down(self, backend: Backend, reason: str) -> None:
        """Pause `backend`: it refused a connection, broke off an exchange or is silent."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._note(backend, failed=True)
            if now_ms < backend.paused_until_ms:
                return
            backend.pause_ms = min(MAX_PAUSE, backend.pause_ms * 2 or FIRST_PAUSE)
            backend.paused_until_ms = now_ms + backend.pause_ms
        log_decision("backend_paused", backend=backend.id, reason=reason, pause_ms=backend.pause_ms)

    def _note(self, backend: Backend, failed: bool) -> None:
        backend.failure_rate += FAILURE_WEIGHT * (float(failed) - backend.failure_rate)
