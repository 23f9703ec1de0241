"""State role of a daemon: a replica of the log, and the leader actor."""

import random
from concurrent.futures import TimeoutError as FutureTimeoutError

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.claims import ClaimRunning, Claims, ClaimUnknown, decode_begin_claim
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import CommandId, VmId
from nutmegdrum_coord.parts import CompositeState, encode_command
from nutmegdrum_coord.quarantine import Quarantine

from nutmegdrum.leader_actor import LeaderActor
from nutmegdrum.lognode import LogNode
from nutmegdrum.orders import Orders
from nutmegdrum.packing import pack, unpack
from nutmegdrum.peer_directory import PeerDirectory
from nutmegdrum.permits import PermitLedger, PermitRequest
from nutmegdrum.plugins import Kind, Registry
from nutmegdrum.queries import (
    ClaimKnown,
    ClaimQuery,
    MemberStatus,
    StateAnswer,
    decode_query,
    encode_query,
)
from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum.releases import Releases, SubmitNote
from nutmegdrum.reports import answer_query
from nutmegdrum.rpc import RpcClient
from nutmegdrum.service_log import ServiceLog
from nutmegdrum.settings import ServiceKind, Settings
from nutmegdrum.shared_state import SharedState
from nutmegdrum.state_client import RETRY_AFTER_NO_QUORUM_MS
from nutmegdrum.ticker import Ticker
from nutmegdrum.units import Duration
from nutmegdrum.view import HeartbeatReport

PROPOSE_TIMEOUT_S = 3.0
LEADER_TICK_MS = 100
BACKEND_PROTOCOL = "http"
ROLLOUT_JUDGE = "sequential"

ENTRY_REPORT_VALID = Duration(3_000)
"""Time after its last report for which an entry VM counts as able to take calls from others."""


class RpcLogTransport:
    """Transport of the log's messages to the other replicas over thrift."""

    def __init__(self, cfg: Settings, rpc: RpcClient):
        self._addresses = {peer.vm: peer.address for peer in cfg.state_replicas}
        self._timeout_ms = int(cfg.control.election_timeout)
        self._rpc = rpc

    def send(self, to: VmId, messages: list[bytes]) -> list[bytes]:
        """Send messages and return the replies.

        Raises
        ------
        PeerUnreachable
            If no answer came in time.
        """
        address = self._addresses[to]
        return self._rpc.call(address, "exchange_log", messages, timeout_ms=self._timeout_ms)


def replicated_state(cfg: Settings) -> CompositeState:
    """Return a new replicated state with all parts."""
    plain = [service.name for service in cfg.services if service.kind is ServiceKind.PLAIN]
    claims = Claims(cfg.claims.retention, cfg.claims.max_per_workspace)
    return CompositeState(
        [Releases(cfg.models, plain), Orders(), claims, Quarantine(), ServiceLog()]
    )


class StateRole:
    """State replica: log node, replicated state and leader actor.

    Parameters
    ----------
    registry : Registry
        Loaded plug-ins; must provide the rollout judge and the backend servers' protocol.
    """

    def __init__(
        self, cfg: Settings, clock: Clock, rng: random.Random, rpc: RpcClient, registry: Registry
    ):
        self.cfg = cfg
        self._clock = clock
        self._shared = SharedState(replicated_state(cfg), clock)
        self._log = LogNode(cfg, clock, rng, self._shared, RpcLogTransport(cfg, rpc))
        protocol = registry.get(Kind.BACKEND_PROTOCOL, BACKEND_PROTOCOL)
        judges = registry.get(Kind.ROLLOUT_JUDGE, ROLLOUT_JUDGE)
        self._actor = LeaderActor.start(cfg, clock, rng, self._shared, self._log, protocol, judges)
        self._leader = self._actor.proxy()
        self._permits = PermitLedger(clock, rng, KnownLimits(clock))
        self._rng = rng
        self._peers = PeerDirectory(clock, ENTRY_REPORT_VALID)
        self._ticker = Ticker("leader", LEADER_TICK_MS, self._tick)

    def start(self) -> None:
        """Start the replica."""
        self._log.start()
        self._ticker.start()

    def stop(self) -> None:
        """Stop the replica."""
        self._ticker.stop()
        self._actor.stop(block=False)
        self._log.stop()

    def leader(self) -> VmId | None:
        """Return the leader known to this replica, or None."""
        return self._log.leader()

    def unready_reason(self) -> str:
        """Return why this replica is not ready, or an empty string."""
        leader = self._log.leader()
        if leader is None:
            return "the state replicas have no leader"
        if leader == self.cfg.vm.id and not self._log.is_leader():
            return "this replica leads but has no valid lease"
        return ""

    def exchange_log(self, sender: VmId, messages: list[bytes]) -> list[bytes]:
        """Handle the log's messages from another replica and return the replies."""
        return self._log.exchange(sender, messages)

    def propose(self, command: bytes) -> bytes:
        """Commit an encoded command and return the encoded answer.

        Raises
        ------
        Refusal
            If this replica does not lead, or the commit times out (`MAY_HAVE_RUN`).
        """
        fut = self._log.propose(command)
        try:
            return fut.result(PROPOSE_TIMEOUT_S).answer
        except FutureTimeoutError:
            verdict = v.Verdict.MAY_HAVE_RUN
            raise v.Refusal(v.NO_QUORUM, verdict, RETRY_AFTER_NO_QUORUM_MS) from None

    def submit_note(self, command_id: CommandId, operator: str, note: bytes) -> bytes:
        """Commit a release note and return the encoded answer.

        Raises
        ------
        Refusal
            As for `propose`.
        """
        command = SubmitNote(operator=operator, note=note)
        return self.propose(encode_command(command, command_id, operator, self._clock.wall_ms()))

    def heartbeat(self, report: bytes) -> bytes:
        """Answer an entry VM's heartbeat; a replica that does not lead sends a stale view."""
        decoded = unpack(report, HeartbeatReport)
        self._permits.limits.merge(decoded.limits)
        self._peers.record(decoded.vm, decoded.takes_calls_at)
        answer = self._leader.heartbeat(decoded).get()
        if answer.fresh and answer.view is not None:
            self._permits.retain({backend.id for backend in answer.view.backends})
        answer = msgspec.structs.replace(
            answer,
            limits=self._permits.limits.announced(),
            peers=self._peers.others(decoded.vm, self._rng),
        )
        return pack(answer)

    def request_permit(self, request: bytes) -> bytes:
        """Grant or deny a packed `PermitRequest`, and return a packed `Permit`.

        Raises
        ------
        Refusal
            `NOT_LEADER` if this replica does not lead.
        """
        if not self._log.is_leader():
            raise v.Refusal(v.NOT_LEADER)
        return pack(self._permits.request(unpack(request, PermitRequest)))

    def query(self, query: bytes, fresh: bool) -> bytes:
        """Answer an encoded query.

        Raises
        ------
        Refusal
            `NOT_LEADER` if `fresh` is true and this replica holds no valid lease.
        """
        decoded = decode_query(query)
        if isinstance(decoded, ClaimQuery):
            return encode_query(self._find_claim(decoded))
        if fresh and not self._log.is_leader():
            raise v.Refusal(v.NOT_LEADER)
        observed = self._leader.observed().get()
        with self._shared.lock:
            answer = answer_query(self._shared.state, observed, decoded)
        if fresh and not self._log.is_leader():
            raise v.Refusal(v.NOT_LEADER)
        if isinstance(answer, StateAnswer):
            answer = self._with_members(answer)
        return encode_query(answer)

    def _with_members(self, answer: StateAnswer) -> StateAnswer:
        members = self._log.members()
        return msgspec.structs.replace(
            answer,
            leader=self.cfg.vm.id,
            term=self._log.fencing_number(),
            members=[
                MemberStatus(vm=m.vm, incarnation=m.incarnation, votes=m in members.voters)
                for m in members.everyone()
            ],
        )

    def _find_claim(self, query: ClaimQuery) -> ClaimKnown:
        """Return the claim on a request in this replica's state and unapplied log entries.

        A replica that restarted or led without a quorum holds entries that it must not apply yet,
        although they may be committed. The age is an upper bound on the age of the oldest
        committed entry that this replica may lack.
        """
        caught_up_ms = self._log.caught_up_ms()
        with self._shared.lock:
            claims: Claims = self._shared.state.parts[Claims.name]
            answer = claims.look_up(query.key, query.digest)
            commands = self._log.unapplied()
        if isinstance(answer, ClaimUnknown):
            for begin in (decode_begin_claim(command) for command in commands):
                if begin is not None and begin.key == query.key and begin.token != query.token:
                    answer = ClaimRunning(
                        owner=begin.owner, incarnation=begin.incarnation, token=begin.token
                    )
        age_ms = None if caught_up_ms is None else self._clock.elapsed_ms() - caught_up_ms
        return ClaimKnown(answer=answer, age_ms=age_ms)

    def _tick(self) -> None:
        self._leader.tick().get()
