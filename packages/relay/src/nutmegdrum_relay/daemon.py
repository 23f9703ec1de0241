"""Relay daemon: one process with its role, listeners and signals."""

import gc
import os
import random
import signal
import sys
import threading
import uuid

import pykka
from nutmegdrum.ops import OpsListener
from nutmegdrum.plugins import Kind, load_plugins
from nutmegdrum.rpc import CheckedHandler, RpcClient, RpcServer, peers_server
from nutmegdrum.signals import wait_for_stop
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_coord.ids import IncarnationId
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Dialect
from nutmegdrum_relay.entry_role import EntryRole
from nutmegdrum_relay.process_limits import process_limits
from nutmegdrum_relay.replica_log import replica_vm
from nutmegdrum_relay.settings import RelayRole, RelaySettings
from nutmegdrum_relay.settings_watch import SettingsWatch
from nutmegdrum_relay.state_role import StatePeers, StateRole

SEED_BITS = 64

PEER_CONNECT_TIMEOUT = Duration(150)
"""Time-out of a connection to another VM, many round trips; a VM without power must not delay the
call of the next one for long."""


class RelayDaemon:
    """Relay daemon in this process.

    Parameters
    ----------
    dialect : Dialect
        Formats of the platform that the daemon runs on.

    Attributes
    ----------
    limits : ProcessLimits
        Limits of the process's listeners.
    """

    def __init__(self, cfg: RelaySettings, dialect: Dialect):
        self.cfg = cfg
        self._stopping = threading.Event()
        clock = SystemClock()
        rng = random.Random(random.SystemRandom().getrandbits(SEED_BITS))
        state_vm = replica_vm(cfg.listen.peers)
        vm = state_vm if cfg.role is RelayRole.STATE else cfg.place.name
        incarnation = IncarnationId(uuid.uuid4().hex)
        sender = Sender(cfg.deployment, vm, incarnation)
        rpc = RpcClient(sender, connect_timeout_ms=int(PEER_CONNECT_TIMEOUT))
        self.limits = process_limits(cfg, clock)
        self.entry: EntryRole | None = None
        self.state: StateRole | None = None
        self._peers: RpcServer | None = None
        if cfg.role is RelayRole.STATE:
            registry = load_plugins(list(cfg.plugins), cfg.plugin_settings)
            judges = registry.get(Kind.ROLLOUT_JUDGE, cfg.rollout_judge)
            self.state = StateRole(cfg, clock, rng, rpc, dialect, incarnation, judges)
            guard = CheckedHandler(StatePeers(self.state), cfg.deployment, self.state.leader)
            self._peers = peers_server(cfg.listen.peers, guard)
        else:
            self.entry = EntryRole(cfg, clock, rng, rpc, dialect, incarnation, self.limits)
        self._ops = OpsListener(cfg.listen.metrics, self._not_ready, self.limits)

    def _not_ready(self) -> str:
        if self._stopping.is_set():
            return "shutting down"
        role = self.entry or self.state
        assert role is not None
        return role.not_ready()

    def start(self) -> None:
        """Bind all listeners and start the role.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        if self._peers is not None:
            self._peers.bind()
        for role in (self.state, self.entry):
            if role is not None:
                role.start()
        if self._peers is not None:
            self._peers.start()
        self._ops.start()
        gc.freeze()
        log_decision("started", role=self.cfg.role.value)

    def apply_settings(self, cfg: RelaySettings) -> None:
        """Apply changed settings."""
        for role in (self.state, self.entry):
            if role is not None:
                role.apply_settings(cfg)

    def run(self, watch: SettingsWatch) -> None:
        """Serve until a stop signal, then shut down gracefully.

        SIGHUP triggers a check of the settings file. Signals must be blocked.
        """
        wait_for_stop({signal.SIGHUP: watch.on_signal})
        self._stopping.set()
        log_decision("stopping")
        if self.entry is not None:
            self.entry.drain()
        if self.state is not None:
            self.state.stop()
            pykka.ActorRegistry.stop_all(timeout=1)
        log_decision("stopped")

    def run_and_exit(self, watch: SettingsWatch) -> None:
        """Serve until a stop signal, then exit the process.

        Exits without joining the threads of the HTTP server, which may still wait for callers that
        never close their connections.
        """
        self.run(watch)
        sys.stdout.flush()
        os._exit(0)
