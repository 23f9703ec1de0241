"""An entry VM's relay in this process, with scripted backend servers as its upstream."""

import random
import socket
import threading
from collections.abc import Collection, Sequence
from functools import cached_property

from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.permits import Permits
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock, SystemClock
from nutmegdrum_coord.ids import BackendId, DataCentre, ServiceName, VersionName, VmId
from nutmegdrum_relay.admission import Admission
from nutmegdrum_relay.attempts import Attempts
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.callers import Call, CallerListener, DisconnectWatch
from nutmegdrum_relay.crash_watch import CrashWatch
from nutmegdrum_relay.dialect import ListedBackend
from nutmegdrum_relay.documents import (
    EngineLimits,
    Route,
    RouteKind,
    RouteName,
    RoutingDocument,
    Service,
    Target,
    Workspace,
)
from nutmegdrum_relay.engine_probes import EngineProbes
from nutmegdrum_relay.entry_peers import EntryPeers
from nutmegdrum_relay.fleet_work import UnsharedWork
from nutmegdrum_relay.links import LinkProber, Links
from nutmegdrum_relay.relay import Relay
from nutmegdrum_relay.routing_table import RoutingTable
from nutmegdrum_relay.running import RunningStreams
from nutmegdrum_relay.selection import Selection
from nutmegdrum_relay.silence import SilenceMonitor
from nutmegdrum_relay.upstream import UpstreamPool
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_scheduling.memory import ListenerLimits
from nutmegdrum_scheduling.resends.budget import RetryBudget, RetryLimits

from nutmegdrum_testing.relay_dialect import PlainDialect
from nutmegdrum_testing.scripted_backend import ScriptedBackend

HOST = "api.example"
SERVICE = ServiceName("svc")
KEY = "secret"


def listed(
    name: str, address: Address, dc: str = "dc1", leaving: bool = False, version: str = "v1"
) -> ListedBackend:
    """Return one entry of the platform's listing."""
    return ListedBackend(
        id=BackendId(name),
        service=SERVICE,
        address=address,
        data_centre=DataCentre(dc),
        version=VersionName(version),
        slots=8,
        leaving=leaving,
        warming_up=False,
    )


def route(kind: RouteKind, **changes) -> Route:
    """Return a route of `kind` whose prefix is the kind, with `changes` to the defaults."""
    fields = {
        "name": RouteName(f"r-{kind.value}"),
        "host": HOST,
        "prefix": f"/{kind.value}/",
        "kind": kind,
        "targets": (Target(service=SERVICE),),
        "timeout": Duration(5_000),
        "latency_objective": Duration(200),
        "max_attempts": 3,
        "resumable": kind is RouteKind.STREAM,
    }
    return Route(**{**fields, **changes})


def document(*routes: Route) -> RoutingDocument:
    """Return a routing document with `routes`, or with one route of each kind."""
    return RoutingDocument(
        version=1,
        routes=routes or tuple(route(kind) for kind in RouteKind),
        services=(
            Service(
                name=SERVICE,
                engine=EngineLimits(slots=8, cache_tokens=50_000, copies_runs=True),
            ),
        ),
        workspaces=(Workspace(id="team", keys=(KEY,)),),
    )


def lone_permits(clock: Clock, rng: random.Random, backends: Backends) -> Permits:
    """Return the permits of an entry VM that is the only one and has no state leader."""
    permits = Permits(VmId("vm"), clock, rng, backends.limits, lambda request: None, pause)
    permits.set_entry_vms(1)
    return permits


def pause(wait: Duration) -> None:
    """Wait for a permit's turn in real time."""
    threading.Event().wait(wait / 1_000)


def free_address() -> Address:
    """Return an address on which nothing listens."""
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return Address(f"127.0.0.1:{sock.getsockname()[1]}")


class RelayWorld:
    """Relay with its listener; callers connect to `address`.

    Parameters
    ----------
    monitor : bool
        Whether silent engines are looked for.
    retries : RetryLimits
        Limits of the retry budget, which this VM does not share.
    limits : ListenerLimits or None
        Limits on what callers hold; by default those that no caller within the others reaches.
    """

    def __init__(
        self,
        doc: RoutingDocument,
        *,
        monitor: bool = False,
        threads: int = 8,
        retries: RetryLimits = RetryLimits(),
        limits: ListenerLimits | None = None,
    ):
        self.clock = SystemClock()
        rng = random.Random(7)
        dialect = PlainDialect()
        self.backends = Backends(self.clock)
        self.gate = VersionGate(self.clock, rng)
        upstream = UpstreamPool(self.clock)
        running = RunningStreams()
        self.links = Links(self.clock)
        self.peers = EntryPeers(self.clock, rng, self.links)
        # Its own random source, as its thread would change the relay's choices.
        self.prober = LinkProber(random.Random(8), self.links, self.backends.of_service, upstream)
        self.prober.start()
        self.crash_watch = CrashWatch(self.clock)
        self.crash_watch.start()
        self.permits = lone_permits(self.clock, rng, self.backends)
        shared = UnsharedWork()
        selection = Selection(
            self.clock,
            rng,
            self.backends,
            DataCentre("dc1"),
            shared,
            self.gate,
            self.permits,
            self.peers,
            upstream.connected,
        )
        attempts = Attempts(
            self.clock,
            rng,
            dialect,
            self.backends,
            upstream,
            running,
            shared,
            self.gate,
            self.crash_watch,
            self.permits,
            self.links,
        )
        watch = DisconnectWatch()
        watch.start()
        self.table: RoutingTable | None = RoutingTable(doc)
        self.awaited = threading.Event()
        self.arrives = threading.Event()
        self.budget = RetryBudget(self.clock, rng, limits=retries)
        self.admission = Admission(self.clock, random.Random(9), self.backends, shared, threads)
        self.admission.set_entry_vms(1)
        self.relay = Relay(
            self.clock,
            rng,
            dialect,
            self._await_first_table,
            selection,
            attempts,
            watch,
            self.budget,
            self.crash_watch,
            self.admission,
        )
        self.address = free_address()
        self._threads = threads
        self.listener = CallerListener(
            self.address, self.clock, threads, self.relay.serve, limits=limits
        )
        self.listener.start()
        self._peer_listener: CallerListener | None = None
        probes = EngineProbes(self.clock, upstream, dialect, lambda backend: True)
        self.monitor = SilenceMonitor(self.clock, self.backends, running, upstream, probes)
        if monitor:
            self.monitor.start()
        self._scripted: list[ScriptedBackend] = []
        self._versions: list[str] = []
        self._replaced: set[str] = set()

    @cached_property
    def peer_address(self) -> Address:
        """Return the address for requests of other entry VMs, which is opened on first use."""
        address = free_address()
        self._peer_listener = CallerListener(
            address, self.clock, self._threads, self._serve_passed_on
        )
        self._peer_listener.start()
        return address

    def _serve_passed_on(self, call: Call) -> None:
        self.relay.serve(call, passed_on=True)

    def _await_first_table(self, timeout: Duration) -> RoutingTable | None:
        if self.table is None:
            self.awaited.set()
            self.arrives.wait(timeout / 1_000)
        return self.table

    def add(self, *scripts, version: str = "v1") -> list[ScriptedBackend]:
        """Start a backend server for each script, each in its own data centre."""
        new = [ScriptedBackend(script) for script in scripts]
        self.share(new, version)
        return new

    def share(self, backends: Sequence[ScriptedBackend], version: str = "v1") -> None:
        """Add running backend servers, which other relays may share."""
        self._scripted.extend(backends)
        self._versions.extend(version for _ in backends)
        self.list_backends()

    def replace(self, address: str) -> None:
        """List another incarnation at the address of a backend server."""
        self._replaced.add(address)
        self.list_backends()

    def lose_paths(self, addresses: Sequence[Address]) -> None:
        """List all backend servers at `addresses` instead, at which none answers."""
        self.backends.set_listing(
            [listed(f"b{i}", address, f"dc{i + 1}") for i, address in enumerate(addresses)]
        )

    def set_peers(self, *others: "RelayWorld") -> None:
        """Set the entry VMs to which requests can be passed on."""
        self.set_peer_addresses(*(other.peer_address for other in others))

    def set_peer_addresses(self, *addresses: Address) -> None:
        """Set the addresses to which requests can be passed on."""
        self.peers.set_peers([PeerAddress(VmId(address), address) for address in addresses])

    def list_backends(self, leaving: Collection[str] = ()) -> None:
        """List all backend servers, those whose address is in `leaving` as leaving."""
        self.backends.set_listing(
            [
                listed(
                    f"b{i}-new" if backend.address in self._replaced else f"b{i}",
                    backend.address,
                    f"dc{i + 1}",
                    backend.address in leaving,
                    version,
                )
                for i, (backend, version) in enumerate(
                    zip(self._scripted, self._versions, strict=True)
                )
            ]
        )

    def stop(self) -> None:
        """Close the listener and the backend servers."""
        self.monitor.stop()
        self.prober.stop()
        if self._peer_listener is not None:
            self._peer_listener.stop(Duration(0))
        self.listener.stop(Duration(0))
        for backend in self._scripted:
            backend.stop()
