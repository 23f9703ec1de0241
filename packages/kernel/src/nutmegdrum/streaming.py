"""Composition of an entry VM's streaming components: relay, journal and their threads."""

import time
from random import Random

from nutmegdrum_coord.clock import Clock
from nutmegdrum_scheduling.resends.kinds import Resend

from nutmegdrum.adaptive_timeouts import AdaptiveTimeouts
from nutmegdrum.admission import Admission
from nutmegdrum.attempt_starter import AttemptStarter
from nutmegdrum.attempts import Attempts, StreamGuard
from nutmegdrum.backends import BackendProtocol
from nutmegdrum.generations import Generations
from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_reader import JournalReader
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.journal_service import JournalService
from nutmegdrum.plugins import Registry
from nutmegdrum.reach import ServiceReach
from nutmegdrum.recovery import RecoveryBudget
from nutmegdrum.recovery_queue import RecoveryQueue
from nutmegdrum.relay import Relay
from nutmegdrum.resends import Resends
from nutmegdrum.routing_query import Routing
from nutmegdrum.rpc import RpcClient
from nutmegdrum.sessions import Sessions
from nutmegdrum.settings import Settings
from nutmegdrum.ticker import Ticker
from nutmegdrum.version_watch import VersionWatch

REAP_PERIOD_MS = 500
"""Interval at which expired sessions and copies are dropped, in ms."""


class Streaming:
    """Streaming components of one entry VM.

    Parameters
    ----------
    rng : Random
        Random source of unguessable ids and of epochs.
    guard : StreamGuard
        Receives lost attempts, to find requests that crash backend servers.
    watch : VersionWatch
        Receives the outcomes of all attempts, to judge versions.
    resends : Resends
        Retry budget of the generations.
    reach : ServiceReach
        Tells from which models' backend servers this VM is cut off.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: Random,
        rpc: RpcClient,
        protocol: BackendProtocol,
        routing: Routing,
        registry: Registry,
        admission: Admission,
        guard: StreamGuard,
        watch: VersionWatch,
        resends: Resends,
        reach: ServiceReach,
    ):
        streams = cfg.streams
        vm = cfg.vm.id
        peers = [peer for peer in cfg.entry_vms if peer.vm != vm]
        choice = HolderChoice(vm, cfg.vm.data_centre, cfg.entry_vms)
        recovery_queue = RecoveryQueue(clock, RecoveryBudget(streams.recoveries_per_s))
        self.timeouts = AdaptiveTimeouts(streams)
        self._sender = JournalSender(vm, streams, rpc, peers, choice)
        self._attempts = Attempts(
            streams,
            clock,
            protocol,
            routing,
            registry,
            self._sender,
            self.timeouts,
            guard,
            watch,
            lambda service: resends.take(service, Resend.RECOVERY),
        )
        starter = AttemptStarter(
            streams,
            clock,
            protocol,
            routing,
            recovery_queue,
            resends,
            self._attempts,
            time.sleep,
            reach.is_cut_off,
        )
        self.relay = Relay(clock, self._sender, self._attempts, starter)
        self.sessions = Sessions(clock, self.relay, streams.caller_grace, streams.journal_retention)
        self.journal = JournalService(clock, streams.journal_retention, self.sessions.on_taken_over)
        reader = JournalReader(vm, peers, rpc, self.journal, choice, rng, streams.journal_timeout)
        self.generations = Generations(
            streams,
            clock,
            admission,
            self.relay,
            self.sessions,
            reader,
            self._sender,
            choice,
            resends,
            rng,
            time.sleep,
            vm,
        )
        self._reaper = Ticker("streams", REAP_PERIOD_MS, self._reap)

    def start(self) -> None:
        """Start the threads."""
        self._sender.start()
        self._attempts.start()
        self._reaper.start()

    def stop(self) -> None:
        """Stop the threads."""
        self._reaper.stop()
        self._attempts.stop()
        self._sender.stop()

    def _reap(self) -> None:
        self.sessions.reap()
        self.journal.expire()
