"""Entry role of a relay daemon: serves callers and relays their requests to backend servers."""

import random
import threading
import time
from collections.abc import Collection

import msgspec
from nutmegdrum.ops import PROBES_SHARE
from nutmegdrum.permits import Permits, ResendRequests
from nutmegdrum.rpc import RpcClient
from nutmegdrum.sockets import BacklogWriter
from nutmegdrum.units import Address, Duration
from nutmegdrum.wsgi import (
    LINGER_AT_STOP,
    NEXT_REQUEST_WAIT,
    Environ,
    HttpListener,
    Response,
    StartResponse,
)
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import IncarnationId, ServiceName, VmId
from nutmegdrum_scheduling.memory import ProcessLimits
from nutmegdrum_scheduling.resends.budget import RetryBudget
from nutmegdrum_scheduling.resends.leases import ResendCounts

from nutmegdrum_relay.admission import Admission
from nutmegdrum_relay.attempts import Attempts
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.callers import Call, CallerListener, DisconnectWatch
from nutmegdrum_relay.control_client import ControlClient
from nutmegdrum_relay.crash_watch import CrashWatch
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Dialect
from nutmegdrum_relay.document_follower import DocumentFollower
from nutmegdrum_relay.engine_probes import EngineProbes
from nutmegdrum_relay.entry_peers import EntryPeers
from nutmegdrum_relay.fleet_work import FleetWork, Reporter
from nutmegdrum_relay.links import LinkProber, Links
from nutmegdrum_relay.list_reader import ListReader
from nutmegdrum_relay.planned_stop import PlannedStop
from nutmegdrum_relay.relay import Relay
from nutmegdrum_relay.routing_table import RoutingTable
from nutmegdrum_relay.running import RunningStreams
from nutmegdrum_relay.selection import Selection
from nutmegdrum_relay.settings import RelaySettings
from nutmegdrum_relay.silence import SilenceMonitor
from nutmegdrum_relay.upstream import UpstreamPool
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_relay.views import ControlView

END_MARGIN = Duration(200)
"""Time for calls to end after they have been aborted."""

END_POLL = Duration(50)
"""Interval at which calls that wait for their callers are looked at, once calls are ended."""

READINESS_THREADS = 4
"""Two may wait for probes that are incomplete, and one for a reader."""

CALLERS_SHARE = 0.5
PEERS_SHARE = 0.375
"""Shares of the process's connections; the listeners for probes have the rest."""

PEER_THREADS = 4
"""Threads at the start for requests of other entry VMs, which are rare."""

ADDED_HEADERS = 1 << 10
"""Bytes of headers that another entry VM adds to a request at most."""

_MS_PER_S = 1_000


def _pause(wait: Duration) -> None:
    time.sleep(wait / _MS_PER_S)


class EntryRole:
    """One entry VM: callers' listener, relay, reports and readiness.

    Parameters
    ----------
    incarnation : IncarnationId
        Id of this process start.
    limits : ProcessLimits
        Limits of the process's listeners.
    """

    def __init__(
        self,
        cfg: RelaySettings,
        clock: Clock,
        rng: random.Random,
        rpc: RpcClient,
        dialect: Dialect,
        incarnation: IncarnationId,
        limits: ProcessLimits,
    ):
        assert cfg.listen.callers is not None
        assert cfg.listen.readiness is not None
        assert cfg.backend_list is not None
        self._cfg = cfg
        self._clock = clock
        self._backends = Backends(clock)
        self._upstream = UpstreamPool(clock)
        self._links = Links(clock)
        self._prober = LinkProber(rng, self._links, self._backends.of_service, self._upstream)
        self._peers = EntryPeers(clock, rng, self._links)
        running = RunningStreams()
        gate = VersionGate(clock, rng)
        self._crash_watch = CrashWatch(clock)
        self._control = ControlClient(rpc, cfg.seed_peers())
        vm = VmId(cfg.place.name)
        permits = self._permits = Permits(
            vm, clock, rng, self._backends.limits, self._control.request_permit, _pause
        )
        self._budget = RetryBudget(
            clock,
            rng,
            ResendRequests(vm, self._control.request_permit),
            log=log_decision,
            rule=cfg.budget_rule(),
        )
        reporter = Reporter(
            vm,
            incarnation,
            clock,
            self._control,
            self._backends,
            gate,
            self._crash_watch,
            self,
        )
        self._follower = DocumentFollower(
            reporter,
            dialect.decode_document,
            cfg.entry.document_wait,
            self._on_table,
        )
        self._list = ListReader(
            cfg.backend_list,
            clock,
            rng,
            dialect,
            cfg.entry.list_poll,
            lambda: self._backends.needs_listing(self._follower.report_wait()),
            self._backends.set_listing,
            backs_off=True,
        )
        self._work = FleetWork(reporter, self._follower.version)
        self._admission = Admission(clock, rng, self._backends, self._work, cfg.entry.max_requests)
        reporter.waiting = self._admission
        selection = Selection(
            clock,
            rng,
            self._backends,
            cfg.place.data_centre,
            self._work,
            gate,
            permits,
            self._peers,
            self._upstream.connected,
        )
        attempts = Attempts(
            clock,
            rng,
            dialect,
            self._backends,
            self._upstream,
            running,
            self._work,
            gate,
            self._crash_watch,
            permits,
            self._links,
        )
        self._watch = DisconnectWatch()
        self._relay = Relay(
            clock,
            rng,
            dialect,
            self._follower.wait_for_table,
            selection,
            attempts,
            self._watch,
            self._budget,
            self._crash_watch,
            self._admission,
        )
        self._relay.planned_stop = lambda: self._stop
        self._silence = SilenceMonitor(
            clock,
            self._backends,
            running,
            self._upstream,
            EngineProbes(
                clock,
                self._upstream,
                dialect,
                lambda backend: permits.acquire([backend]) is not None,
            ),
        )
        self._stop: PlannedStop | None = None
        self._calls = 0
        self._lock = threading.Lock()
        threads = limits.plan.max_requests
        backlogs = BacklogWriter()
        self._listener = CallerListener(
            cfg.listen.callers,
            clock,
            threads,
            self._serve,
            limits=limits.listener(threads, CALLERS_SHARE),
            backlogs=backlogs,
        )
        self._peer_listener = CallerListener(
            cfg.listen.peers,
            clock,
            threads,
            lambda call: self._serve(call, passed_on=True),
            min(PEER_THREADS, threads),
            limits.listener(threads, PEERS_SHARE),
            backlogs,
        )
        self._readiness = HttpListener(
            cfg.listen.readiness,
            self._ready_app,
            threads=READINESS_THREADS,
            limits=limits.listener(READINESS_THREADS, PROBES_SHARE),
        )

    def not_ready(self) -> str:
        """Return why this VM is not ready for callers, or an empty string if it is."""
        if self._stop is not None:
            return "shutting down"
        return "" if self._follower.table is not None else "no routing document yet"

    def start(self) -> None:
        """Open the listeners and start the background threads.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        self._listener.start()
        self._peer_listener.start()
        self._readiness.start()
        self._watch.start()
        self._follower.start()
        self._work.start()
        self._list.start()
        self._silence.start()
        self._prober.start()
        self._crash_watch.start()

    def apply_settings(self, cfg: RelaySettings) -> None:
        """Apply changed settings; running requests are not affected."""
        assert cfg.backend_list is not None
        self._control.set_seeds(cfg.seed_peers())
        self._list.set_address(cfg.backend_list)

    def drain(self) -> None:
        """Report not ready, then wait until requests have ended or their time is up.

        A listener's stop returns once its running calls have ended.
        """
        cfg = self._cfg.entry
        notice = Duration(cfg.shutdown_notice + NEXT_REQUEST_WAIT)
        stop = self._stop = PlannedStop.begin(self._clock.elapsed_ms(), notice, cfg.stop_within)
        time.sleep(cfg.shutdown_notice / _MS_PER_S)
        wait = self._left(stop.exits_ms)
        listeners = (self._listener, self._peer_listener)
        stops = [
            threading.Thread(target=each.stop, args=(wait,), daemon=True) for each in listeners
        ]
        for stopping in stops:
            stopping.start()
        for stopping in stops:
            stopping.join(self._left(stop.ends_calls_ms) / _MS_PER_S)
        self._end_calls(stop)
        # Calls that were ended still send their last bytes.
        answered_ms = min(self._clock.elapsed_ms() + END_MARGIN, stop.exits_ms)
        for stopping in stops:
            stopping.join(self._left(answered_ms) / _MS_PER_S)
        for each in listeners:
            each.linger(min(LINGER_AT_STOP, self._left(stop.exits_ms)))
        self._relay.abort_calls_left()
        log_decision("drained", calls_left=self._calls)

    def _end_calls(self, stop: PlannedStop) -> None:
        """End running calls; those that wait for their callers may go on until the exit."""
        calls = self._relay.end_calls()
        log_decision("calls_ended", calls=calls)
        while calls and self._left(stop.exits_ms):
            time.sleep(END_POLL / _MS_PER_S)
            calls = self._relay.end_calls()

    def _left(self, until_ms: int) -> Duration:
        return Duration(max(0, until_ms - self._clock.elapsed_ms()))

    def _serve(self, call: Call, passed_on: bool = False) -> None:
        with self._lock:
            self._calls += 1
        try:
            self._relay.serve(call, passed_on)
        finally:
            with self._lock:
                self._calls -= 1

    def cut_off_services(self) -> Collection[ServiceName]:
        """Return the services whose backend servers this VM cannot reach."""
        return self._links.cut_off_services()

    def takes_requests_at(self) -> Address | None:
        """Return the address for requests of other entry VMs; None if it takes none now."""
        takes = self._stop is None and not self._links.cut_off_services()
        return self._cfg.listen.peers if takes else None

    def resend_counts(self) -> dict[ServiceName, ResendCounts]:
        """Return the requests and resends by service; empty without a fleet-wide budget."""
        return self._budget.leases.counts() if self._budget.leases is not None else {}

    def told_entry_vms(self) -> int:
        """Return the number of entry VMs as a leader has told it last; 0 if unknown."""
        return self._budget.told_entry_vms

    def on_view(self, view: ControlView, sent_ms: int) -> None:
        """Apply what a fresh view, the answer to a report sent at `sent_ms`, says to this VM."""
        if self._budget.leases is not None:
            self._budget.leases.apply(view.leases, sent_ms)
        self._peers.set_peers(view.peers)
        if view.entry_vms:
            self._permits.set_entry_vms(view.entry_vms)
            self._budget.set_entry_vms(view.entry_vms)

    def _on_table(self, table: RoutingTable) -> None:
        self._backends.set_services(table.services)
        self._listener.set_limits(table.limits)
        larger = msgspec.structs.replace(
            table.limits, max_headers=table.limits.max_headers + ADDED_HEADERS
        )
        self._peer_listener.set_limits(larger)

    def _ready_app(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        why = self.not_ready()
        body = f"{why or 'ready'}\n".encode()
        return Response(503 if why else 200, body, None, "text/plain").send(start_response)
