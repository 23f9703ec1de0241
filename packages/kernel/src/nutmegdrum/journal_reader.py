"""Reads streams' copies at entry VMs, for resumption, takeover and idempotency keys."""

from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import Executor, Future, ThreadPoolExecutor
from random import Random
from typing import Any, NamedTuple

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import Epoch, GenerationId, IdempotencyKey, VmId, WorkspaceId
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy, StreamOpen

from nutmegdrum.generation_ids import named_holders
from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_messages import (
    EpochStart,
    Position,
    Snapshot,
    StreamHead,
    covers,
    decode_head,
    encode_head,
    encode_snapshot,
    newest_copy,
    next_epoch,
)
from nutmegdrum.journal_service import JournalService
from nutmegdrum.messages import GenerationRequest
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import PeerSettings

_MAX_THREADS = 32
_MAX_TAKEOVERS = 3
_RETRY_AFTER_MS = 1_000


class Takeover(NamedTuple):
    """Newest copy of a stream, with the new owner's epoch.

    Attributes
    ----------
    holders : list of VmId
        VMs that have recorded the new epoch.
    owner : VmId
        VM that owned the stream before.
    """

    generation: GenerationId
    epoch: Epoch
    head: StreamHead
    tokens: list[str]
    finish_reason: str
    key: IdempotencyKey
    holders: list[VmId]
    owner: VmId


class CopyAnswers(NamedTuple):
    """Copies returned by several VMs; None for a VM that did not answer."""

    copies: dict[VmId, StreamCopy | None]

    @property
    def found(self) -> list[StreamCopy]:
        """Return the copies that were found."""
        return [copy for copy in self.copies.values() if copy is not None and copy.found]

    @property
    def holders(self) -> list[VmId]:
        """Return the VMs that have a copy."""
        return [vm for vm, copy in self.copies.items() if copy is not None and copy.found]

    @property
    def complete(self) -> bool:
        """Return whether every VM answered."""
        return None not in self.copies.values()


class JournalReader:
    """Client of the journals of all entry VMs, including this one.

    Parameters
    ----------
    peers : sequence of PeerSettings
        Other entry VMs.
    rng : Random
        Random source of the epochs' low bits.
    pool : Executor or None
        Runs calls to several VMs in parallel; a thread pool by default.
    """

    def __init__(
        self,
        vm: VmId,
        peers: Sequence[PeerSettings],
        rpc: RpcClient,
        service: JournalService,
        choice: HolderChoice,
        rng: Random,
        timeout_ms: int,
        pool: Executor | None = None,
    ):
        self._vm = vm
        self._addresses = {peer.vm: peer.address for peer in peers}
        self._rpc = rpc
        self._service = service
        self._choice = choice
        self._rng = rng
        self._timeout_ms = timeout_ms
        self._pool = pool or ThreadPoolExecutor(_MAX_THREADS, thread_name_prefix="journal-read")

    def fetch(self, generation: GenerationId, workspace: WorkspaceId) -> CopyAnswers:
        """Return the copies at the VMs that the id names, or at all VMs.

        All VMs are asked if the named ones have no copy or if one of them does not answer.
        """
        all_vms = [self._vm, *self._choice.others]
        named = named_holders(generation, all_vms)
        answers = self._ask(named, "fetch_stream", generation, workspace)
        if answers.found and answers.complete:
            return answers
        rest = [vm for vm in all_vms if vm not in named]
        return CopyAnswers(
            answers.copies | self._ask(rest, "fetch_stream", generation, workspace).copies
        )

    def answers(self, vm: VmId, generation: GenerationId, workspace: WorkspaceId) -> bool:
        """Return whether a VM answers, whether it has a copy of the generation or not."""
        known = vm == self._vm or vm in self._addresses
        return known and self._call(vm, "fetch_stream", generation, workspace) is not None

    def fetch_everywhere(self, generation: GenerationId, workspace: WorkspaceId) -> CopyAnswers:
        """Return the copies at all entry VMs."""
        all_vms = [self._vm, *self._choice.others]
        return self._ask(all_vms, "fetch_stream", generation, workspace)

    def take_over(
        self, generation: GenerationId, workspace: WorkspaceId, position: Position
    ) -> Takeover:
        """Become the owner of a stream, or read the complete stream if it has finished.

        Raises
        ------
        Refusal
            `NOT_FOUND` if the workspace has no such generation, `JOURNAL_LOST` if no reachable copy
            contains all that the caller has received, `STALE_EPOCH` if another VM takes it over.
        """
        answers = self.fetch(generation, workspace)
        best = self._newest_covering(answers, position)
        if best is None:
            answers = self.fetch_everywhere(generation, workspace)
            best = self._newest_covering(answers, position)
        if best is None:
            raise self._not_recoverable(answers)
        if best.finish_reason:
            return _takeover_of(best, Epoch(best.epoch), answers.holders)
        return self._raise_epoch(answers, generation, workspace, position)

    def _newest_covering(self, answers: CopyAnswers, position: Position) -> StreamCopy | None:
        best = newest_copy(answers.found)
        if best is None:
            return None
        lineage = decode_head(best.request).lineage
        return best if covers(lineage, len(best.tokens), position) else None

    def _not_recoverable(self, answers: CopyAnswers) -> v.Refusal:
        if answers.found or not answers.complete:
            detail = "no reachable copy contains all tokens that were sent"
            return v.Refusal(v.JOURNAL_LOST, v.Verdict.MAY_HAVE_RUN, _RETRY_AFTER_MS, detail)
        detail = "no such generation"
        return v.Refusal(v.NOT_FOUND, v.Verdict.MAY_HAVE_RUN, detail=detail)

    def _raise_epoch(
        self,
        answers: CopyAnswers,
        generation: GenerationId,
        workspace: WorkspaceId,
        position: Position,
    ) -> Takeover:
        for _ in range(_MAX_TAKEOVERS):
            newest = max(copy.epoch for copy in answers.found)
            epoch = next_epoch(Epoch(newest), self._rng)
            holders = answers.holders
            answers = self._ask(holders, "take_over_stream", generation, workspace, int(epoch))
            best = self._newest_covering(answers, position)
            if best is None:
                raise self._not_recoverable(answers)
            if all(copy.epoch == epoch for copy in answers.found):
                return _takeover_of(best, epoch, answers.holders)
        detail = "another VM is taking over this stream"
        raise v.Refusal(v.STALE_EPOCH, v.Verdict.MAY_HAVE_RUN, _RETRY_AFTER_MS, detail)

    def find(self, workspace: WorkspaceId, key: IdempotencyKey, count: int) -> StreamCopy | None:
        """Return the newest copy of the generation that a key is bound to, or None."""
        vms = self._choice.ranked_for_key(workspace, key)[:count]
        return newest_copy(self._ask(vms, "find_stream", workspace, key).found)

    def claim_key(
        self,
        generation: GenerationId,
        req: GenerationRequest,
        head: StreamHead,
        epoch: Epoch,
        count: int,
    ) -> StreamCopy | None:
        """Bind a request's key to `generation`; if another generation has it, return its copy.

        All VMs call the same VMs in the same order. If two VMs start a generation under one key,
        the second finds the first one's generation at the first VM that both reach.
        """
        snapshot = Snapshot(head=encode_head(head))
        opened = StreamOpen(
            generation=generation,
            workspace=req.workspace,
            epoch=int(epoch),
            idempotency_key=req.key,
            request=encode_snapshot(snapshot),
            owner=self._vm,
        )
        bound: list[VmId] = []
        for vm in self._choice.ranked_for_key(req.workspace, req.key):
            if len(bound) == count:
                break
            copy = self._call(vm, "open_stream", opened)
            if copy is None:
                continue
            if copy.generation != generation:
                self.close(generation, bound)
                return copy
            bound.append(vm)
        return None

    def close(self, generation: GenerationId, vms: Iterable[VmId]) -> None:
        """Close a generation at `vms`: this VM did not start it, or has taken it over."""
        for vm in vms:
            self._pool.submit(self._call, vm, "close_stream", generation)

    def open(self, opened: StreamOpen, vms: Sequence[VmId]) -> CopyAnswers:
        """Install a snapshot at `vms` and return their answers."""
        return self._ask(vms, "open_stream", opened)

    def _ask(self, vms: Sequence[VmId], method: str, *args: Any) -> CopyAnswers:
        futures: dict[VmId, Future[StreamCopy | None]] = {
            vm: self._pool.submit(self._call, vm, method, *args) for vm in vms
        }
        return CopyAnswers({vm: fut.result() for vm, fut in futures.items()})

    def _call(self, vm: VmId, method: str, *args: Any) -> StreamCopy | None:
        if vm == self._vm:
            return self._call_local(method, *args)
        try:
            return self._rpc.call(self._addresses[vm], method, *args, timeout_ms=self._timeout_ms)
        except (PeerUnreachable, v.Refusal):
            return None

    def _call_local(self, method: str, *args: Any) -> StreamCopy | None:
        if method == "take_over_stream":
            return self._service.take_over_stream(self._vm, *args)
        local_method: Callable[..., StreamCopy | None] = getattr(self._service, method)
        return local_method(*args)


def _takeover_of(copy: StreamCopy, epoch: Epoch, holders: list[VmId]) -> Takeover:
    head = decode_head(copy.request)
    return Takeover(
        generation=GenerationId(copy.generation),
        epoch=epoch,
        head=_extend(head, epoch, len(copy.tokens), copy.finish_reason),
        tokens=copy.tokens,
        finish_reason=copy.finish_reason,
        key=head.request.key,
        holders=holders,
        owner=VmId(copy.owner),
    )


def _extend(head: StreamHead, epoch: Epoch, length: int, finish_reason: str) -> StreamHead:
    if finish_reason:
        return head
    lineage = [*head.lineage, EpochStart(epoch, length)]
    return StreamHead(request=head.request, version=head.version, lineage=lineage)
