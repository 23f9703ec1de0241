"""Log replicas in one process, for tests and benchmarks."""

import random
from pathlib import Path

from nutmegdrum.lognode import LogNode
from nutmegdrum.settings import (
    ControlSettings,
    ListenSettings,
    PeerSettings,
    Role,
    Settings,
    VmSettings,
)
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import LogMs, SystemClock
from nutmegdrum_coord.ids import DataCentre, DeploymentId, LogPosition, Region, VmId

_UNUSED = Address("127.0.0.1:0")
_SEED = 5


class ListMachine:
    """State machine that stores all commands in order and answers with their count."""

    def __init__(self) -> None:
        self.commands: list[bytes] = []

    def apply(self, position: LogPosition, at: LogMs, command: bytes) -> bytes:
        """Store the command and return the number of commands."""
        self.commands.append(command)
        return str(len(self.commands)).encode()

    def snapshot(self) -> bytes:
        """Return all commands joined by line breaks, which no command contains."""
        return b"\n".join(self.commands)

    def restore(self, snapshot: bytes) -> None:
        """Replace all commands by those of a snapshot."""
        self.commands = snapshot.split(b"\n") if snapshot else []


class DirectTransport:
    """Transport that calls the peers' nodes directly, unless the link is cut.

    Parameters
    ----------
    own : VmId
        Sender of all messages.
    cluster : LogCluster
        Cluster with the nodes and the cut links.
    """

    def __init__(self, own: VmId, cluster: "LogCluster"):
        self._own = own
        self._cluster = cluster

    def send(self, to: VmId, messages: list[bytes]) -> list[bytes]:
        """Pass messages to the peer's node and return its replies.

        Raises
        ------
        OSError
            If the node is stopped or the link is cut in either direction.
        """
        node = self._cluster.nodes.get(to)
        if node is None or (self._own, to) in self._cluster.cuts:
            raise ConnectionRefusedError(to)
        replies = node.exchange(self._own, messages)
        if (to, self._own) in self._cluster.cuts:
            raise ConnectionResetError(to)
        return replies


class LogCluster:
    """Log replicas, each with its own data folder under `folder`.

    Attributes
    ----------
    nodes : dict
        Running nodes by VM.
    cuts : set
        Pairs of VMs whose first cannot reach the second.
    """

    def __init__(self, folder: Path, size: int = 3, control: ControlSettings | None = None):
        self.vms = [VmId(f"s{number}") for number in range(1, size + 1)]
        self.nodes: dict[VmId, LogNode] = {}
        self.machines: dict[VmId, ListMachine] = {}
        self.cuts: set[tuple[VmId, VmId]] = set()
        self._folder = folder
        self._control = control or ControlSettings(
            election_timeout=Duration(300), log_heartbeat=Duration(50)
        )

    def folder(self, vm: VmId) -> Path:
        """Return a VM's data folder."""
        return self._folder / vm

    def settings(self, vm: VmId) -> Settings:
        """Return a VM's settings."""
        centre = DataCentre("pohi-a")
        return Settings(
            deployment=DeploymentId("test"),
            vm=VmSettings(
                id=vm, data_centre=centre, region=Region("r"), data_folder=str(self.folder(vm))
            ),
            roles=[Role.STATE],
            listen=ListenSettings(ops=_UNUSED, peers=_UNUSED, operators=_UNUSED),
            state_replicas=[
                PeerSettings(vm=other, address=_UNUSED, data_centre=centre) for other in self.vms
            ],
            control=self._control,
        )

    def start(self, *vms: VmId) -> None:
        """Start the nodes of `vms`, or all if none are given."""
        for vm in vms or self.vms:
            machine = ListMachine()
            transport = DirectTransport(vm, self)
            rng = random.Random(f"{_SEED}-{vm}")
            node = LogNode(self.settings(vm), SystemClock(), rng, machine, transport)
            node.start()
            self.machines[vm] = machine
            self.nodes[vm] = node

    def stop(self, *vms: VmId) -> None:
        """Stop the nodes of `vms`, or all if none are given."""
        for vm in vms or list(self.nodes):
            self.nodes.pop(vm).stop()

    def leader(self) -> LogNode | None:
        """Return the node that is leader and may serve, or None."""
        return next((node for node in list(self.nodes.values()) if node.is_leader()), None)
