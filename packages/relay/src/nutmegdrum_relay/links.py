"""Detection of an entry VM that has lost its paths to the backend servers of a service.

A few backend servers that refuse connections have crashed; if all that were tried lately do, the
fault may be this VM's own links. Only new connections count, since old ones may live on.
"""

import random
import threading
from collections.abc import Callable, Sequence
from concurrent.futures import ThreadPoolExecutor

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, ServiceName
from prometheus_client import Gauge

from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.upstream import CONNECT_TIMEOUT, ConnectFailed, UpstreamPool

FAILURES_CUT_OFF = 6
"""Backend servers in a row that must refuse a connection, or all if there are fewer."""

FAILURE_VALID = Duration(3_000)
"""Time for which a refused connection counts; several probe periods."""

PROBE_PERIOD = Duration(400)
"""Time between two probes of a service that this VM is cut off from."""

PROBED_AT_ONCE = 3
"""Backend servers that are probed at once; few, as connections cost the servers time."""

CUT_OFF = Gauge("nutmegdrum_services_cut_off", "Services whose servers this VM cannot reach")


class Links:
    """Record of new connections to backend servers; thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._failed_ms: dict[ServiceName, dict[BackendId, int]] = {}
        self._cut_off: set[ServiceName] = set()
        self._doubted: set[ServiceName] = set()
        self._answered_ms: dict[ServiceName, int] = {}
        self.on_failure: Callable[[], None] = lambda: None

    def on_connect(self, backend: Backend, connected: bool) -> None:
        """Record the outcome of a new connection."""
        service = backend.listed.service
        with self._lock:
            if connected:
                self._failed_ms.pop(service, None)
                return
            failed = self._failed_ms.setdefault(service, {})
            failed[backend.id] = self._clock.elapsed_ms()
        self.on_failure()

    def on_answer(self, backend: Backend) -> None:
        """Record an answer."""
        with self._lock:
            self._answered_ms[backend.listed.service] = self._clock.elapsed_ms()

    def on_silence(self, backend: Backend, since_ms: int) -> None:
        """Record an exchange without an answer; the connection may be cut, though it is open.

        It is not if any server of the service has answered since `since_ms`, when the request was
        sent; such a request only takes long.
        """
        service = backend.listed.service
        with self._lock:
            if self._answered_ms.get(service, since_ms) > since_ms:
                return
            self._doubted.add(service)
        self.on_failure()

    def cut_off_services(self) -> frozenset[ServiceName]:
        """Return the services found cut off whose servers have refused a connection lately."""
        with self._lock:
            return frozenset(s for s in self._cut_off if self._valid_failures(s))

    def is_cut_off(self, service: ServiceName, servers: Sequence[Backend]) -> bool:
        """Return whether no new connection to any of a service's `servers` can be opened."""
        with self._lock:
            failed = self._valid_failures(service)
            count = sum(backend.id in failed for backend in servers)
            cut_off = 0 < min(len(servers), FAILURES_CUT_OFF) <= count
            changed = cut_off != (service in self._cut_off)
            if changed:
                self._cut_off ^= {service}
                CUT_OFF.set(len(self._cut_off))
        if changed:
            kind = "service_cut_off" if cut_off else "service_reached"
            log_decision(kind, service=service, servers=len(servers), failed=count)
        return cut_off

    def take_suspected(self) -> list[ServiceName]:
        """Return the services with servers that refused a connection or did not answer."""
        with self._lock:
            failed = {service for service in list(self._failed_ms) if self._valid_failures(service)}
            suspected, self._doubted = failed | self._doubted, set()
        return sorted(suspected)

    def is_reached(self, service: ServiceName) -> bool:
        """Return whether no connection to the service's servers has failed lately."""
        with self._lock:
            return not self._valid_failures(service)

    def untested(self, service: ServiceName, servers: Sequence[Backend]) -> list[Backend]:
        """Return the servers that have refused no connection lately."""
        with self._lock:
            failed = self._valid_failures(service)
            return [backend for backend in servers if backend.id not in failed]

    def _valid_failures(self, service: ServiceName) -> dict[BackendId, int]:
        oldest_ms = self._clock.elapsed_ms() - FAILURE_VALID
        failed = self._failed_ms.get(service, {})
        valid = {backend: ms for backend, ms in failed.items() if ms > oldest_ms}
        if valid:
            self._failed_ms[service] = valid
        else:
            self._failed_ms.pop(service, None)
        return valid


class LinkProber:
    """Thread that opens connections to backend servers to tell a cut from crashes, and its end.

    Parameters
    ----------
    servers : callable
        Returns a service's backend servers that may get requests.
    """

    def __init__(
        self,
        rng: random.Random,
        links: Links,
        servers: Callable[[ServiceName], Sequence[Backend]],
        upstream: UpstreamPool,
    ):
        self._rng = rng
        self._links = links
        self._servers = servers
        self._upstream = upstream
        self._failed = threading.Event()
        self._pool = ThreadPoolExecutor(PROBED_AT_ONCE, thread_name_prefix="link-probe")
        self._loop = Loop("links", self._step)
        self.start = self._loop.start
        links.on_failure = self._failed.set

    def stop(self) -> None:
        """Stop the thread."""
        self._loop.stop()
        self._failed.set()

    def _step(self) -> Duration:
        self._failed.wait()
        self._failed.clear()
        pause = Duration(0)
        for service in self._links.take_suspected():
            servers = self._servers(service)
            self._probe(service, servers)
            if self._links.is_cut_off(service, servers) or self._links.is_reached(service):
                pause = PROBE_PERIOD
        return pause

    def _probe(self, service: ServiceName, servers: Sequence[Backend]) -> None:
        candidates = self._links.untested(service, servers) or list(servers)
        probed = self._rng.sample(candidates, min(PROBED_AT_ONCE, len(candidates)))
        list(self._pool.map(self._try, probed))

    def _try(self, backend: Backend) -> None:
        try:
            self._upstream.connect(backend.address, CONNECT_TIMEOUT).close()
        except ConnectFailed:
            self._links.on_connect(backend, connected=False)
        else:
            self._links.on_connect(backend, connected=True)
