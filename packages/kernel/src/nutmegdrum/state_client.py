"""Client of the state replicas that finds the leader and follows leader changes."""

import threading
from collections.abc import Sequence

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import VmId

from nutmegdrum.logs import log_change
from nutmegdrum.packing import pack, unpack
from nutmegdrum.permits import Permit, PermitRequest
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import PeerSettings
from nutmegdrum.view import HeartbeatAnswer, HeartbeatReport

RETRY_AFTER_NO_QUORUM_MS = 2_000

PERMIT_TIMEOUT_MS = 100
"""Wait for the leader's answer before an entry VM uses its own part of a rate limit, in ms."""


class StateClient:
    """Client of the state replicas; thread-safe.

    Parameters
    ----------
    rpc : RpcClient
        Client of the `Peers` service.
    replicas : sequence of PeerSettings
        All state replicas.
    """

    def __init__(self, rpc: RpcClient, replicas: Sequence[PeerSettings]):
        self._rpc = rpc
        self._replicas = {peer.vm: peer for peer in replicas}
        self._leader: VmId | None = None
        self._lock = threading.Lock()

    def propose(self, command: bytes, timeout_ms: int) -> bytes:
        """Commit an encoded command and return the encoded answer.

        Raises
        ------
        Refusal
            `NO_QUORUM` with `NOT_RUN` if no replica accepted the command, or with `MAY_HAVE_RUN`
            if one received it and the result is unknown.
        """
        for vm in self._leader_first():
            try:
                answer = self._call(vm, "propose", command, timeout_ms=timeout_ms)
            except PeerUnreachable as exc:
                if exc.sent:
                    raise self._no_quorum(v.Verdict.MAY_HAVE_RUN) from None
                continue
            except v.Refusal as refusal:
                if refusal.why is not v.NOT_LEADER:
                    raise
                continue
            self._remember_leader(vm)
            return answer
        raise self._no_quorum(v.Verdict.NOT_RUN)

    def query_replicas(self, query: bytes, timeout_ms: int) -> list[bytes]:
        """Return the encoded answers of all reachable replicas; these may lag."""
        answers: list[bytes] = []
        for vm in self._leader_first():
            try:
                answers.append(self._call(vm, "read", query, False, timeout_ms=timeout_ms))
            except (PeerUnreachable, v.Refusal):
                continue
        return answers

    def heartbeat(self, report: HeartbeatReport, timeout_ms: int) -> HeartbeatAnswer:
        """Send a heartbeat to the leader, or else to any replica, and return the answer.

        Raises
        ------
        PeerUnreachable
            If no replica answers.
        """
        encoded = pack(report)
        stale: HeartbeatAnswer | None = None
        for vm in self._leader_first():
            try:
                data = self._call(vm, "heartbeat", encoded, timeout_ms=timeout_ms)
            except (PeerUnreachable, v.Refusal):
                continue
            answer = unpack(data, HeartbeatAnswer)
            if answer.fresh:
                self._remember_leader(vm)
                return answer
            stale = stale or answer
        if stale is None:
            raise PeerUnreachable(next(iter(self._replicas.values())).address, sent=True)
        return stale

    def request_permit(self, request: PermitRequest) -> Permit | None:
        """Ask the leader for a permit; return None if none is known, or it does not answer."""
        with self._lock:
            leader = self._leader
        if leader is None:
            return None
        try:
            data = self._call(leader, "request_permit", pack(request), timeout_ms=PERMIT_TIMEOUT_MS)
            return unpack(data, Permit)
        except (PeerUnreachable, v.Refusal, msgspec.MsgspecError) as exc:
            log_change("permit-unanswered", leader=leader, error=str(exc))
            return None

    def _call(self, vm: VmId, method: str, *args: object, timeout_ms: int) -> bytes:
        return self._rpc.call(self._replicas[vm].address, method, *args, timeout_ms=timeout_ms)

    def _leader_first(self) -> list[VmId]:
        with self._lock:
            first = self._leader
        others = [vm for vm in self._replicas if vm != first]
        return others if first is None else [first, *others]

    def _remember_leader(self, vm: VmId) -> None:
        with self._lock:
            self._leader = vm

    def _no_quorum(self, verdict: v.Verdict) -> v.Refusal:
        detail = "the state replicas have no quorum"
        return v.Refusal(v.NO_QUORUM, verdict, RETRY_AFTER_NO_QUORUM_MS, detail)
