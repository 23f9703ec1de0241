"""State role of a daemon: a replica of the log, and the leader's work."""

import random
import threading
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
import pykka
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.claims import Claims
from nutmegdrum_coord.clock import Clock, LogMs
from nutmegdrum_coord.ids import LogPosition, VmId
from nutmegdrum_coord.parts import PartedState, encode_command
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum.leader import Leader
from nutmegdrum.lognode import LogNode
from nutmegdrum.logs import log_change
from nutmegdrum.quarantine import Quarantine
from nutmegdrum.queries import Query, answer_query
from nutmegdrum.releases import Releases, SubmitNote
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import Settings
from nutmegdrum.state_client import RETRY_AFTER_NO_QUORUM_MS
from nutmegdrum.ticker import Ticker
from nutmegdrum.view import HeartbeatReport

PROPOSE_TIMEOUT_S = 3.0
LEADER_TICK_MS = 100


class SharedState:
    """State machine under a lock, so that queries can read it while the log applies commands."""

    def __init__(self, state: PartedState):
        self.lock = threading.RLock()
        self.state = state
        self.log_ms = LogMs(0)

    def apply(self, position: LogPosition, at: LogMs, command: bytes) -> bytes:
        """Apply one committed command."""
        with self.lock:
            self.log_ms = at
            return self.state.apply(position, at, command)

    def snapshot(self) -> bytes:
        """Return the whole state."""
        with self.lock:
            return self.state.snapshot()

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state."""
        with self.lock:
            self.state.restore(snapshot)


class RpcLogTransport:
    """Carries the log's messages to the other replicas by thrift."""

    def __init__(self, cfg: Settings, rpc: RpcClient):
        self._addresses = {peer.vm: peer.address for peer in cfg.state_replicas}
        self._timeout_ms = cfg.control.election_timeout
        self._rpc = rpc

    def send(self, to: VmId, messages: list[bytes]) -> list[bytes]:
        """Send messages and return those that came back.

        Raises
        ------
        PeerUnreachable
            If no answer came in time.
        """
        address = self._addresses[to]
        return self._rpc.call(address, "exchange_log", messages, timeout_ms=self._timeout_ms)
