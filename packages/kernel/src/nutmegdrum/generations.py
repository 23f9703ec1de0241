"""Start, join, resumption and cancellation of generations on an entry VM."""

import threading
from collections.abc import Callable, Generator, Iterator
from random import Random
from typing import NamedTuple

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import Epoch, GenerationId, VmId, WorkspaceId
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy, StreamOpen

from nutmegdrum import metrics
from nutmegdrum.admission import Admission, AdmissionRequest, Ticket
from nutmegdrum.deadlines import answer_by
from nutmegdrum.event_ids import parse_event_id
from nutmegdrum.follower import StreamFollower
from nutmegdrum.generation_ids import make_generation_id
from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_messages import (
    CANCELLED,
    START,
    EpochStart,
    Position,
    Snapshot,
    StreamHead,
    decode_head,
    encode_head,
    encode_snapshot,
    next_epoch,
)
from nutmegdrum.journal_reader import JournalReader, Takeover
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.messages import GenerationRequest
from nutmegdrum.recovery_queue import SleepFunction
from nutmegdrum.relay import Relay
from nutmegdrum.resends import Resends
from nutmegdrum.session import ReadBatch, Session, finish_of
from nutmegdrum.sessions import Sessions
from nutmegdrum.settings import StreamSettings, WorkspaceSettings
from nutmegdrum.streams import Stream

Items = Generator[ReadBatch, None, None]

CHARS_PER_TOKEN = 4
"""Estimated characters per token of a prompt."""

OWNER_MARGIN_MS = 1_000
"""Time after the recovery deadline that a live owner of a silent stream gets, in ms."""

_LOCK_STRIPES = 64
"""Number of locks shared by all generations and keys; two of them rarely map to the same one."""


class Answer(NamedTuple):
    """Generation with its request and an iterator over its items.

    Attributes
    ----------
    has_ended : callable
        Returns whether all items that are left are there.
    """

    generation: GenerationId
    request: GenerationRequest
    items: Items
    has_ended: Callable[[], bool] = lambda: False


class Generations:
    """All generations of one entry VM.

    Parameters
    ----------
    resends : Resends
        Retry budget, to which new generations are counted.
    rng : Random
        Source of ids and epochs; `random.SystemRandom` outside of tests.
    """

    def __init__(
        self,
        cfg: StreamSettings,
        clock: Clock,
        admission: Admission,
        relay: Relay,
        sessions: Sessions,
        reader: JournalReader,
        sender: JournalSender,
        choice: HolderChoice,
        resends: Resends,
        rng: Random,
        sleep: SleepFunction,
        vm: VmId,
    ):
        self._cfg = cfg
        self._clock = clock
        self._admission = admission
        self._relay = relay
        self._sessions = sessions
        self._reader = reader
        self._sender = sender
        self._choice = choice
        self._resends = resends
        self._rng = rng
        self._sleep = sleep
        self._vm = vm
        self._locks = [threading.Lock() for _ in range(_LOCK_STRIPES)]

    def start(
        self,
        workspace: WorkspaceSettings,
        req: GenerationRequest,
        last_event_id: str,
        passed_on: bool = False,
    ) -> Answer:
        """Start a generation, or continue the one that the key or `last_event_id` refers to.

        Parameters
        ----------
        passed_on : bool
            Whether another entry VM has passed the request on, and counts it.

        Raises
        ------
        Refusal
            If the request is not admitted, or the generation cannot be resumed.
        """
        arrived = self._clock.elapsed_ms()
        until = None if req.deadline_ms is None else answer_by(arrived, req.deadline_ms)
        admission_req = admission_request(req)._replace(resumed=bool(last_event_id))
        ticket = self._admission.admit(admission_req, arrived)
        try:
            answer = self._answer(workspace.id, req, last_event_id, passed_on, until)
        except BaseException:
            self._admission.release(ticket)
            raise
        return answer._replace(items=self._read_with_ticket(ticket, answer.items))

    def _answer(
        self,
        workspace: WorkspaceId,
        req: GenerationRequest,
        last_event_id: str,
        passed_on: bool,
        until: ElapsedMs | None,
    ) -> Answer:
        if last_event_id:
            generation, position = parse_event_id(last_event_id)
            session = self.resume(generation, workspace, position)
            return self._answer_from(session, position.next_index, until)
        if req.key:
            return self._join_or_start(req, passed_on, until)
        holders = self._choice.choose(self._cfg.journal_copies, self._sender.down())
        generation = make_generation_id(self._rng, holders)
        epoch = next_epoch(Epoch(0), self._rng)
        session = self._begin(req, generation, epoch, holders, passed_on, until)
        return self._answer_from(session, 0, until)

    def _read_with_ticket(self, ticket: Ticket, items: Iterator[ReadBatch]) -> Items:
        used = ticket.request.tokens - ticket.request.answer_tokens
        try:
            with metrics.STREAMS.track_inprogress():
                for part in items:
                    used += len(part.items)
                    yield part
        finally:
            self._admission.release(ticket, used)

    def _answer_from(
        self, session: Session, first_index: int, until: ElapsedMs | None = None
    ) -> Answer:
        items = self._read(session, first_index, until)
        return Answer(session.generation, session.stream.req, items, lambda: session.done)

    def _read(self, session: Session, first_index: int, until: ElapsedMs | None = None) -> Items:
        self._sessions.enter(session)
        try:
            yield from self._relay.read(session, first_index, until)
        except v.Refusal as refusal:
            if refusal.verdict is v.Verdict.NOT_RUN:
                self._reader.close(session.generation, [self._vm, *session.holders])
            raise
        finally:
            self._sessions.leave(session)

    def _begin(
        self,
        req: GenerationRequest,
        generation: GenerationId,
        epoch: Epoch,
        holders: list[VmId],
        passed_on: bool,
        until: ElapsedMs | None,
    ) -> Session:
        if not passed_on:
            self._resends.on_request(req.model)
        head = _new_head(req, epoch)
        stream = Stream(req, generation, epoch, self._cfg.max_attempts)
        session = Session(stream, head, holders, self._clock)
        session.answer_by = until
        return self._add(session)

    def _add(self, session: Session) -> Session:
        self._sessions.put(session)
        if not session.done:
            others = [vm for vm in session.holders if vm != self._vm]
            self._sender.begin(session.journalled, others[: self._cfg.journal_copies])
        return session

    def _join_or_start(
        self, req: GenerationRequest, passed_on: bool, until: ElapsedMs | None
    ) -> Answer:
        """Start a generation unless one is bound to its key; the VMs ranked by key decide."""
        count = self._cfg.journal_copies + 1
        down = self._sender.down()
        ranked = self._choice.ranked_for_key(req.workspace, req.key)
        holders = [vm for vm in ranked if vm not in down][:count]
        with self._lock_for(f"{req.workspace}/{req.key}"):
            known = self._reader.find(req.workspace, req.key, count)
            if known is None:
                generation = make_generation_id(self._rng, holders)
                epoch = next_epoch(Epoch(0), self._rng)
                known = self._reader.claim_key(generation, req, _new_head(req, epoch), epoch, count)
            if known is None:
                session = self._begin(req, generation, epoch, holders, passed_on, until)
                return self._answer_from(session, 0, until)
        return self._join(req, known, until)

    def _join(self, req: GenerationRequest, known: StreamCopy, until: ElapsedMs | None) -> Answer:
        """Read the generation that is bound to a key from its first token."""
        request = decode_head(known.request).request
        if not _same_request(req, request):
            raise v.Refusal(v.KEY_CONFLICT, detail="the key was used with another body")
        generation = GenerationId(known.generation)
        session = self._sessions.get(generation, req.workspace)
        if session is not None and session.failure is None:
            return self._answer_from(session, 0, until)
        follower = StreamFollower(
            self._clock,
            self._reader,
            generation,
            req.workspace,
            lambda position: self._continue(generation, req.workspace, position, until),
            self._sleep,
            int(self._cfg.recovery_deadline) + OWNER_MARGIN_MS,
            until,
        )
        return Answer(generation, request, follower.read())

    def _continue(
        self,
        generation: GenerationId,
        workspace: WorkspaceId,
        position: Position,
        until: ElapsedMs | None,
    ) -> Iterator[ReadBatch]:
        session = self.resume(generation, workspace, position)
        return self._read(session, position.next_index, until)

    def resume(
        self, generation: GenerationId, workspace: WorkspaceId, position: Position
    ) -> Session:
        """Return a session that continues after `position`, with a takeover if necessary.

        Raises
        ------
        Refusal
            `NOT_FOUND`, `JOURNAL_LOST` or `CANCELLED`.
        """
        with self._lock_for(generation):
            session = self._owned_session(generation, workspace)
            if session is not None and session.covers(position):
                return session
            takeover = self._reader.take_over(generation, workspace, position)
            if takeover.finish_reason == CANCELLED:
                raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
            if takeover.owner != self._vm:
                self._reader.close(generation, [takeover.owner])
            metrics.TAKEOVERS.labels("finished" if takeover.finish_reason else "running").inc()
            return self._add(self._session_of(takeover))

    def _owned_session(self, generation: GenerationId, workspace: WorkspaceId) -> Session | None:
        """Return this VM's session if the holders confirm that this VM still owns the stream."""
        session = self._sessions.get(generation, workspace)
        if session is None or session.failure is not None:
            return None
        if session.done:
            return session
        confirmed = not session.journalled.superseded and self._relay.confirm(session)
        return session if confirmed else None

    def _session_of(self, takeover: Takeover) -> Session:
        stream = Stream(
            takeover.head.request,
            takeover.generation,
            takeover.epoch,
            self._cfg.max_attempts,
            version=takeover.head.version,
            tokens=takeover.tokens,
            finish=finish_of(takeover.finish_reason, len(takeover.tokens)),
            taken_over=True,
        )
        session = Session(
            stream, takeover.head, takeover.holders, self._clock, len(takeover.tokens)
        )
        session.lost_at_ms = self._clock.elapsed_ms()
        return session

    def cancel(self, workspace: WorkspaceId, generation: GenerationId) -> None:
        """Cancel a generation of this workspace, whichever VM runs it.

        Raises
        ------
        Refusal
            `NOT_FOUND` if there is no such generation.
        """
        cancelled = v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
        session = self._sessions.get(generation, workspace)
        if session is not None and not session.ended:
            self._cancel_here(session, cancelled)
        try:
            takeover = self._reader.take_over(generation, workspace, START)
        except v.Refusal:
            if session is None:
                raise
            return
        if not takeover.finish_reason:
            self._mark_cancelled(takeover)

    def _cancel_here(self, session: Session, cancelled: v.Refusal) -> None:
        self._relay.fail(session, cancelled)
        if session.readers == 0:
            self._sessions.drop(session)

    def _mark_cancelled(self, takeover: Takeover) -> None:
        """Mark the copies as cancelled, which prevents a resume, and close the owner's session."""
        snapshot = Snapshot(
            head=encode_head(takeover.head), tokens=takeover.tokens, finish_reason=CANCELLED
        )
        opened = StreamOpen(
            generation=takeover.generation,
            workspace=takeover.head.request.workspace,
            epoch=int(takeover.epoch),
            idempotency_key=takeover.key,
            request=encode_snapshot(snapshot),
            owner=self._vm,
        )
        self._reader.open(opened, takeover.holders)
        if takeover.owner != self._vm:
            self._reader.close(takeover.generation, [takeover.owner])

    def _lock_for(self, name: str) -> threading.Lock:
        return self._locks[hash(name) % _LOCK_STRIPES]


def _new_head(req: GenerationRequest, epoch: Epoch) -> StreamHead:
    return StreamHead(request=req, lineage=[EpochStart(epoch, 0)])


def _same_request(first: GenerationRequest, second: GenerationRequest) -> bool:
    """Return whether two requests are equal apart from the seed, which may be random."""
    return all(
        getattr(first, name) == getattr(second, name)
        for name in ("model", "adapter", "prompt", "max_tokens", "temperature", "chat")
    )


def admission_request(req: GenerationRequest) -> AdmissionRequest:
    """Return the admission request of a generation."""
    return AdmissionRequest(
        workspace=req.workspace,
        tokens=len(req.prompt) // CHARS_PER_TOKEN + req.max_tokens,
        priority=req.priority,
        deadline_ms=req.deadline_ms,
        answer_tokens=req.max_tokens,
    )
