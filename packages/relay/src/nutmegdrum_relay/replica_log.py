"""Set-up of a state replica's node of the replicated log."""

import random
from collections.abc import Callable

from nutmegdrum.lognode import LogNode
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import ListenSettings, PeerSettings, Role, Settings, VmSettings
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.statemachine import StateMachine

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.membership import REPLACED_AFTER_MS
from nutmegdrum_relay.settings import RelaySettings


def replica_vm(address: Address) -> VmId:
    """Return a state replica's VM id, which is the address of its listener for peers.

    Replicas discover each other at run time; with an address as id they need no directory.
    """
    return VmId(str(address))


class _LogTransport:
    """Transport of the log's messages to the replicas, whose ids are their addresses."""

    def __init__(self, rpc: RpcClient, timeout: Duration):
        self._rpc = rpc
        self._timeout_ms = int(timeout)
        self._unreachable: set[VmId] = set()

    def send(self, to: VmId, messages: list[bytes]) -> list[bytes]:
        """Send messages and return the replies.

        Raises
        ------
        PeerUnreachable
            If there was no answer in time.
        """
        try:
            replies = self._rpc.call(
                Address(to), "exchange_log", messages, timeout_ms=self._timeout_ms
            )
        except PeerUnreachable as exc:
            if to not in self._unreachable:
                self._unreachable.add(to)
                log_decision("replica_lost", replica=to, error=repr(exc.__cause__))
            raise
        if to in self._unreachable:
            self._unreachable.discard(to)
            log_decision("replica_regained", replica=to)
        return replies


class _NotifyingStateMachine:
    """State machine that calls `changed` after each change of the state."""

    def __init__(self, inner: StateMachine, changed: Callable[[], None]):
        self._inner = inner
        self._changed = changed
        self.snapshot = inner.snapshot

    def apply(self, position, at, command: bytes) -> bytes:
        """Apply one committed command."""
        answer = self._inner.apply(position, at, command)
        self._changed()
        return answer

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by a snapshot."""
        self._inner.restore(snapshot)
        self._changed()


def open_log(
    cfg: RelaySettings,
    clock: Clock,
    rng: random.Random,
    rpc: RpcClient,
    machine: StateMachine,
    changed: Callable[[], None],
) -> LogNode:
    """Return this replica's node of the log, which is not started yet.

    Parameters
    ----------
    changed : callable
        Called after each change of the state.
    """
    return LogNode(
        _log_settings(cfg, replica_vm(cfg.listen.peers)),
        clock,
        rng,
        _NotifyingStateMachine(machine, changed),
        _LogTransport(rpc, cfg.control.election_timeout),
        replace_after_ms=REPLACED_AFTER_MS,
        founders=[replica_vm(address) for address in cfg.seed_peers()],
    )


def _log_settings(cfg: RelaySettings, vm: VmId) -> Settings:
    """Return the log node's settings; the replicas known at first are the seeds and this VM."""
    known = {replica_vm(address) for address in cfg.seed_peers()} | {vm}
    return Settings(
        deployment=cfg.deployment,
        vm=VmSettings(
            id=vm,
            data_centre=cfg.place.data_centre,
            region=cfg.place.region,
            data_folder=cfg.data_folder,
        ),
        roles=[Role.STATE],
        listen=ListenSettings(ops=cfg.listen.metrics, peers=cfg.listen.peers),
        state_replicas=[
            PeerSettings(vm=peer, address=Address(peer), data_centre=cfg.place.data_centre)
            for peer in sorted(known)
        ],
        control=cfg.control,
    )
