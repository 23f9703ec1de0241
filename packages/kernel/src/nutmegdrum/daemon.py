"""The daemon `nutmegdrumd`: starts the roles that the settings name."""

import random
import sys
import threading
import uuid
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import pykka
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_coord.ids import IncarnationId
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum.entry import EntryRole
from nutmegdrum.errors import UserError
from nutmegdrum.handlers import OperatorsHandler, PeersHandler
from nutmegdrum.logs import log_change, start_logging
from nutmegdrum.ops import OpsListener
from nutmegdrum.plugins import Registry, load_plugins
from nutmegdrum.rpc import CheckedHandler, RpcClient, RpcServer, operators_server, peers_server
from nutmegdrum.settings import Role, Settings, load_settings
from nutmegdrum.signals import block_signals, wait_for_stop
from nutmegdrum.state_daemon import StateRole


@cappa.command(name="nutmegdrumd", help="Run one daemon.")
@dataclass
class Arguments:
    """Arguments of the daemon."""

    settings: Annotated[Path, cappa.Arg(long=True, help="Settings file (JSON).")]


class Daemon:
    """All roles of one process, and its listeners.

    Parameters
    ----------
    cfg : Settings
        Checked settings.
    """

    def __init__(self, cfg: Settings):
        self.cfg = cfg
        self.stopping = threading.Event()
        self._incarnation = IncarnationId(uuid.uuid4().hex)
        self._clock = SystemClock()
        self._rng = random.Random(random.SystemRandom().getrandbits(64))
        self._rpc = RpcClient(Sender(cfg.deployment, cfg.vm.id, self._incarnation))
        registry = load_plugins(cfg.plugins, cfg.plugin_settings)
        self.state = self._state_role(registry)
        self.entry = self._entry_role(registry)
        self._servers = self._rpc_servers()
        self._ops = OpsListener(cfg.listen.ops, self.unready_reason)

    def _state_role(self, registry: Registry) -> StateRole | None:
        if Role.STATE not in self.cfg.roles:
            return None
        return StateRole(self.cfg, self._clock, self._rng, self._rpc, registry)

    def _entry_role(self, registry: Registry) -> EntryRole | None:
        if Role.ENTRY not in self.cfg.roles:
            return None
        return EntryRole(self.cfg, self._clock, self._rng, self._rpc, registry, self._incarnation)

    def _rpc_servers(self) -> list[RpcServer]:
        cfg = self.cfg
        peers = PeersHandler(self.state, self.entry)
        servers = [
            peers_server(cfg.listen.peers, CheckedHandler(peers, cfg.deployment, peers.leader))
        ]
        if self.state is not None and cfg.listen.operators is not None:
            operators = OperatorsHandler(self.state)
            guard = CheckedHandler(operators, cfg.deployment, peers.leader)
            servers.append(operators_server(cfg.listen.operators, guard))
        return servers

    def unready_reason(self) -> str:
        """Return why the daemon is not ready, or an empty string."""
        if self.stopping.is_set():
            return "shutting down"
        reasons = [role.unready_reason() for role in (self.state, self.entry) if role is not None]
        return "; ".join(reason for reason in reasons if reason)

    def start(self) -> None:
        """Bind all listeners, start the roles, then serve other VMs.

        Raises
        ------
        OSError
            If an address cannot be bound.
        """
        for server in self._servers:
            server.bind()
        for role in (self.state, self.entry):
            if role is not None:
                role.start()
        self._ops.start()
        for server in self._servers:
            server.start()
        log_change("started", roles=[role.value for role in self.cfg.roles])

    def run(self) -> None:
        """Serve until a signal asks to stop, then shut down gracefully."""
        wait_for_stop()
        self.stopping.set()
        log_change("stopping")
        if self.entry is not None:
            self.entry.drain()
        self.stop()
        log_change("stopped")

    def stop(self) -> None:
        """Stop the roles and close the listeners."""
        for role in (self.entry, self.state):
            if role is not None:
                role.stop()
        for server in self._servers:
            server.stop()
        self._ops.stop()
        pykka.ActorRegistry.stop_all(timeout=1)


def main() -> None:
    """Run the daemon; the entry point of `nutmegdrumd`."""
    block_signals()
    args = cappa.parse(Arguments)
    try:
        cfg = load_settings(args.settings)
        start_logging(cfg.vm.id)
        daemon = Daemon(cfg)
        daemon.start()
    except UserError as exc:
        sys.exit(f"nutmegdrumd: {exc}")
    except OSError as exc:
        sys.exit(f"nutmegdrumd: cannot listen: {exc}")
    daemon.run()
