"""Entry role of a daemon: serves callers and keeps its view of the state up to date."""

import random
import time
from collections.abc import Mapping
from concurrent.futures import ThreadPoolExecutor

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.claims import BeginClaim, ClaimAnswer
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, IncarnationId
from nutmegdrum_coord.parts import Command, decode_answer, encode_command
from nutmegdrum_coord.quarantine import QuarantineAnswer
from nutmegdrum_scheduling.resends.budget import RetryBudget

from nutmegdrum.admission import Admission, new_control
from nutmegdrum.cache_poller import POLL_MS as CACHE_POLL_MS
from nutmegdrum.cache_poller import CachePoller
from nutmegdrum.claimed_calls import ClaimAccess
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.entry_peers import EntryPeers
from nutmegdrum.gateway import Gateway
from nutmegdrum.guarded_routing import GuardedRouting
from nutmegdrum.heartbeat import Heartbeater
from nutmegdrum.limited_routing import LimitedRouting
from nutmegdrum.logs import log_change
from nutmegdrum.open_exchanges import OpenExchanges
from nutmegdrum.passing_on import PassingOn
from nutmegdrum.permits import Permits, ResendRequests
from nutmegdrum.plain import PlainHandler
from nutmegdrum.plain_http import HttpPlainSender
from nutmegdrum.plugins import Event, Kind, Registry
from nutmegdrum.queries import ClaimKnown, ClaimQuery, decode_query_answer, encode_query
from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum.reach import ServiceReach
from nutmegdrum.resends import Resends
from nutmegdrum.routing import Router
from nutmegdrum.rpc import RpcClient
from nutmegdrum.service_tally import ServiceTally
from nutmegdrum.settings import Settings
from nutmegdrum.shutdown import Shutdown
from nutmegdrum.shutdown_gate import ShutdownGate
from nutmegdrum.state_client import StateClient
from nutmegdrum.streaming import Streaming
from nutmegdrum.ticker import Ticker
from nutmegdrum.units import Duration
from nutmegdrum.version_watch import VersionWatch
from nutmegdrum.wsgi import HttpListener

BACKEND_PROTOCOL = "http"
"""Name of the plug-in that provides the backend servers' protocol."""

CLAIM_TIMEOUT_MS = 2_000
"""Time-out of proposals about claims, in ms."""

SUSPICION_TIMEOUT_MS = 1_000
"""Time-out of proposals about suspects, in ms."""

LOOK_UP_TIMEOUT_MS = 300
"""Time-out of claim look-ups without a quorum, in ms."""

PLAIN_TICK_MS = 100
"""Interval at which ends of claims are retried, in ms."""


REJECTED_STATUSES = frozenset({429, 503})
"""Statuses with which a backend server rejects a request for want of room."""

_MS_PER_S = 1_000


def longest_silence(cfg: Settings) -> Duration:
    """Return the longest time that an entry VM takes to send anything of an answer."""
    deadline = cfg.streams.recovery_deadline
    stream = max(deadline, cfg.streams.first_token_timeout) + deadline
    return Duration(max(cfg.claims.call_timeout, stream))


def _pause(wait: Duration) -> None:
    time.sleep(wait / _MS_PER_S)


class EntryRole:
    """Entry role: composes and runs the components of an entry VM.

    Parameters
    ----------
    registry : Registry
        Loaded plug-ins; one of them must provide the backend servers' protocol.
    incarnation : IncarnationId
        Id of this run of the daemon process.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        rpc: RpcClient,
        registry: Registry,
        incarnation: IncarnationId,
    ):
        self.cfg = cfg
        self.clock = clock
        self.rng = rng
        self.registry = registry
        protocol = registry.get(Kind.BACKEND_PROTOCOL, BACKEND_PROTOCOL)
        self.watch = VersionWatch(clock)
        self.tally = ServiceTally()
        registry.listen(Event.STREAM_RECOVERED, self.tally.on_recovered)
        self.router = Router(cfg, clock, rng, registry, self.watch.allows)
        control = new_control(cfg, registry, self.router.free_slots, clock.elapsed_ms())
        self.admission = Admission(control, clock)
        self.state = StateClient(rpc, cfg.state_replicas)
        peers = EntryPeers(cfg, rpc, rng, cfg.entry_vms)
        self.guard = CrashGuard(
            cfg.vm.id,
            clock,
            self._propose_suspicion,
            self.router.is_down,
            notify_peers=peers.broadcast_suspect,
        )
        self._limits = KnownLimits(clock)
        registry.listen(Event.BACKEND_ANSWERED, self._on_backend_answer)
        self._permits = Permits(
            cfg.vm.id, clock, rng, self._limits, self.state.request_permit, _pause
        )
        self._permits.set_entry_vms(len(cfg.entry_vms))
        self._rejections = ThreadPoolExecutor(1, thread_name_prefix="rejections")
        routing = GuardedRouting(LimitedRouting(self.router, self._permits), self.guard)
        budget = RetryBudget(
            clock, rng, ResendRequests(cfg.vm.id, self.state.request_permit), log=log_change
        )
        budget.set_entry_vms(len(cfg.entry_vms))
        resends = Resends(budget, self.router.service_of)
        reach = ServiceReach(clock)
        self.streaming = Streaming(
            cfg,
            clock,
            random.SystemRandom(),
            rpc,
            protocol,
            routing,
            registry,
            self.admission,
            self.guard,
            self.watch,
            resends,
            reach,
        )
        self.generations = self.streaming.generations
        self.journal = self.streaming.journal
        claims = ClaimAccess(
            cfg.vm.id,
            incarnation,
            self._propose_claim,
            self._look_up_claim,
            peers.query_sent_key,
        )
        self._exchanges = OpenExchanges()
        sender = HttpPlainSender(clock, self._on_backend_answer, self._exchanges)
        self.plain = PlainHandler(cfg, clock, routing, self.guard, claims, budget, sender)
        self.passing_on = PassingOn(
            cfg.vm.id, clock, rng, longest_silence(cfg), reach, resends, self._exchanges
        )
        self.heartbeater = Heartbeater(
            cfg,
            clock,
            self.state,
            self.router,
            self.admission,
            self.guard,
            self.watch,
            self.tally,
            peers,
            incarnation,
            self.plain.sent_key_record,
            self._limits,
            self.passing_on,
        )
        self.gossip = self.heartbeater.gossip
        self._ticker = Ticker("heartbeat", cfg.control.heartbeat, self.heartbeater.send_heartbeat)
        self._plain_ticker = Ticker("plain", PLAIN_TICK_MS, self.plain.tick)
        poller = CachePoller(protocol, self.router)
        self._cache_ticker = Ticker("cache-events", CACHE_POLL_MS, poller.tick)
        shutdown = Shutdown(cfg.callers.shutdown_notice, cfg.callers.shutdown_timeout)
        self._gate = ShutdownGate(Gateway(self), clock, shutdown, self.plain.pending_claims)
        self._listener = HttpListener(
            cfg.listen.callers,
            self._gate,
            threads=cfg.callers.max_streams + cfg.callers.spare_threads,
            idle_timeout_ms=cfg.callers.idle_timeout,
            max_body=cfg.callers.max_body,
            max_headers=cfg.callers.max_headers,
        )

    def _on_backend_answer(
        self, backend: BackendId, status: int, headers: Mapping[str, str]
    ) -> None:
        self._limits.on_headers(backend, headers)
        if status in REJECTED_STATUSES and self._limits.of(backend).max_rejected is not None:
            # The report to the leader may block, and the caller may read all streams.
            self._rejections.submit(self._permits.on_rejected, backend)

    def _propose_claim(self, command: Command) -> ClaimAnswer:
        encoded = encode_command(command, who=self.cfg.vm.id, wall_ms=self.clock.wall_ms())
        return decode_answer(self.state.propose(encoded, CLAIM_TIMEOUT_MS), ClaimAnswer)

    def _look_up_claim(self, begin: BeginClaim) -> list[ClaimKnown]:
        query = ClaimQuery(key=begin.key, digest=begin.digest, token=begin.token)
        answers = self.state.query_replicas(encode_query(query), LOOK_UP_TIMEOUT_MS)
        return [decode_query_answer(answer) for answer in answers]

    def _propose_suspicion(self, command: Command) -> QuarantineAnswer:
        encoded = encode_command(command, who=self.cfg.vm.id, wall_ms=self.clock.wall_ms())
        return decode_answer(self.state.propose(encoded, SUSPICION_TIMEOUT_MS), QuarantineAnswer)

    def start(self) -> None:
        """Start the heartbeats and open the callers' listener.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._ticker.start()
        self._plain_ticker.start()
        self._cache_ticker.start()
        self.streaming.start()
        self._listener.start()

    def unready_reason(self) -> str:
        """Return the reason why this VM is not ready for callers, or an empty string."""
        return "" if self.heartbeater.has_view() else "no view of the state yet"

    def drain(self) -> None:
        """Wait until requests have ended or the shutdown time-out of the settings has passed.

        Callers that still wait then get an answer that says that their request may have run.
        """
        self._gate.drain()
        detail = "this VM is shutting down"
        self.streaming.sessions.end_read(
            v.Refusal(v.SHUTTING_DOWN, v.Verdict.MAY_HAVE_RUN, None, detail)
        )
        self._exchanges.end()

    def stop(self) -> None:
        """Stop all threads and close the callers' listener."""
        self._ticker.stop()
        self._plain_ticker.stop()
        self._cache_ticker.stop()
        self._listener.stop()
        self._gate.log_left()
        self.streaming.stop()
