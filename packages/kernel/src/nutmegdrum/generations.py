"""Generations that callers start, join, resume and cancel on this VM."""

import threading
from collections.abc import Generator, Iterator
from random import Random
from typing import NamedTuple

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import Epoch, GenerationId, VmId, WorkspaceId
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy, StreamOpen

from nutmegdrum import metrics
from nutmegdrum.admission import Admission, AdmissionRequest, Ticket
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
from nutmegdrum.journal_reader import JournalReader, TakenOver
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.messages import GenerationRequest
from nutmegdrum.recovery_queue import SleepFunction
from nutmegdrum.relay import Relay
from nutmegdrum.session import ReadBatch, Session, finish_of
from nutmegdrum.sessions import Sessions
from nutmegdrum.settings import StreamSettings, WorkspaceSettings
from nutmegdrum.streams import Stream

Items = Generator[ReadBatch, None, None]

CHARS_PER_TOKEN = 4
_GATES = 64


class Answer(NamedTuple):
    """A generation, its request, and its tokens as they come."""

    generation: GenerationId
    request: GenerationRequest
    items: Items


class Generations:
    """All generations of one entry VM.

    Parameters
    ----------
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
        self._rng = rng
        self._sleep = sleep
        self._vm = vm
        self._gates = [threading.Lock() for _ in range(_GATES)]

    def start(
        self, workspace: WorkspaceSettings, req: GenerationRequest, last_event_id: str
    ) -> Answer:
        """Start a generation, or go on with the one that the key or `last_event_id` names.

        Raises
        ------
        Refusal
            If the request is not admitted or cannot be resumed.
        """
        demand = admission_request(req)._replace(resumed=bool(last_event_id))
        ticket = self._admission.admit(demand, self._clock.elapsed_ms())
        try:
            answer = self._answer(workspace.id, req, last_event_id)
        except BaseException:
            self._admission.release(ticket)
            raise
        return answer._replace(items=self._admitted(ticket, answer.items))

    def _answer(self, workspace: WorkspaceId, req: GenerationRequest, last_event_id: str) -> Answer:
        if last_event_id:
            generation, position = parse_event_id(last_event_id)
            session = self.resume(generation, workspace, position)
            return self._reading(session, position.next_index)
        if req.key:
            return self._join_or_start(req)
        holders = self._choice.choose(self._cfg.journal_copies, self._sender.down())
        generation = make_generation_id(self._rng, holders)
        epoch = next_epoch(Epoch(0), self._rng)
        return self._reading(self._begin(req, generation, epoch, holders), 0)

    def _admitted(self, ticket: Ticket, items: Iterator[ReadBatch]) -> Items:
        used = ticket.request.tokens - ticket.request.answer_tokens
        try:
            with metrics.STREAMS.track_inprogress():
                for part in items:
                    used += len(part.items)
                    yield part
        finally:
            self._admission.release(ticket, used)

    def _reading(self, session: Session, first_index: int) -> Answer:
        items = self._read(session, first_index)
        return Answer(session.generation, session.stream.req, items)

    def _read(self, session: Session, first_index: int) -> Items:
        self._sessions.enter(session)
        try:
            yield from self._relay.read(session, first_index)
        except v.Refusal as refusal:
            if refusal.verdict is v.Verdict.NOT_RUN:
                self._reader.close(session.generation, [self._vm, *session.holders])
            raise
        finally:
            self._sessions.leave(session)

    def _begin(
        self, req: GenerationRequest, generation: GenerationId, epoch: Epoch, holders: list[VmId]
    ) -> Session:
        head = _new_head(req, epoch)
        stream = Stream(req, generation, epoch, self._cfg.max_attempts)
        return self._add(Session(stream, head, holders, self._clock))

    def _add(self, session: Session) -> Session:
        self._sessions.put(session)
        if not session.done:
            others = [vm for vm in session.holders if vm != self._vm]
            self._sender.begin(session.journalled, others[: self._cfg.journal_copies])
        return session

    def _join_or_start(self, req: GenerationRequest) -> Answer:
        """Start a generation unless its key has one; the first VMs by key decide."""
        count = self._cfg.journal_copies + 1
        down = self._sender.down()
        ranked = self._choice.by_key(req.workspace, req.key)
        holders = [vm for vm in ranked if vm not in down][:count]
        with self._gate(f"{req.workspace}/{req.key}"):
            known = self._reader.find(req.workspace, req.key, count)
            if known is None:
                generation = make_generation_id(self._rng, holders)
                epoch = next_epoch(Epoch(0), self._rng)
                known = self._reader.claim_key(generation, req, _new_head(req, epoch), epoch, count)
            if known is None:
                return self._reading(self._begin(req, generation, epoch, holders), 0)
        return self._join(req, known)

    def _join(self, req: GenerationRequest, known: StreamCopy) -> Answer:
        """Read the generation that a key has from its first token."""
        request = decode_head(known.request).request
        if not _same_request(req, request):
            raise v.Refusal(v.KEY_CONFLICT, detail="the key was used with another body")
        generation = GenerationId(known.generation)
        session = self._sessions.get(generation, req.workspace)
        if session is not None and session.failure is None:
            return self._reading(session, 0)
        follower = StreamFollower(
            self._clock,
            self._reader,
            generation,
            req.workspace,
            lambda position: self._go_on(generation, req.workspace, position),
            self._sleep,
        )
        return Answer(generation, request, follower.read())

    def _go_on(
        self, generation: GenerationId, workspace: WorkspaceId, position: Position
    ) -> Iterator[ReadBatch]:
        session = self.resume(generation, workspace, position)
        return self._read(session, position.next_index)

    def resume(
        self, generation: GenerationId, workspace: WorkspaceId, position: Position
    ) -> Session:
        """Return the session that goes on after `position`, taken over if need be.

        Raises
        ------
        Refusal
            `NOT_FOUND`, `JOURNAL_LOST` or `CANCELLED`.
        """
        with self._gate(generation):
            session = self._own(generation, workspace)
            if session is not None and session.covers(position):
                return session
            taken = self._reader.take_over(generation, workspace, position)
            if taken.finish_reason == CANCELLED:
                raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
            if taken.owner != self._vm:
                self._reader.close(generation, [taken.owner])
            metrics.TAKEOVERS.labels("finished" if taken.finish_reason else "running").inc()
            return self._add(self._session_of(taken))

    def _own(self, generation: GenerationId, workspace: WorkspaceId) -> Session | None:
        """Return this VM's session if the holders confirm that no other VM has the stream."""
        session = self._sessions.get(generation, workspace)
        if session is None or session.failure is not None:
            return None
        if session.done:
            return session
        confirmed = not session.journalled.superseded and self._relay.confirm(session)
        return session if confirmed else None

    def _session_of(self, taken: TakenOver) -> Session:
        stream = Stream(
            taken.head.request,
            taken.generation,
            taken.epoch,
            self._cfg.max_attempts,
            version=taken.head.version,
            tokens=taken.tokens,
            finish=finish_of(taken.finish_reason, len(taken.tokens)),
        )
        session = Session(stream, taken.head, taken.holders, self._clock, len(taken.tokens))
        session.lost_at_ms = self._clock.elapsed_ms()
        return session

    def cancel(self, workspace: WorkspaceId, generation: GenerationId) -> None:
        """Cancel a generation of this workspace at once, whichever VM runs it.

        Raises
        ------
        Refusal
            `NOT_FOUND` if there is none.
        """
        cancelled = v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
        session = self._sessions.get(generation, workspace)
        if session is not None and not session.ended:
            self._cancel_here(session, cancelled)
        try:
            taken = self._reader.take_over(generation, workspace, START)
        except v.Refusal:
            if session is None:
                raise
            return
        if not taken.finish_reason:
            self._mark_cancelled(taken)

    def _cancel_here(self, session: Session, cancelled: v.Refusal) -> None:
        self._relay.fail(session, cancelled)
        if session.readers == 0:
            self._sessions.drop(session)

    def _mark_cancelled(self, taken: TakenOver) -> None:
        """Have the holders refuse the stream to everyone, and its owner end it."""
        snapshot = Snapshot(
            head=encode_head(taken.head), tokens=taken.tokens, finish_reason=CANCELLED
        )
        opened = StreamOpen(
            generation=taken.generation,
            workspace=taken.head.request.workspace,
            epoch=int(taken.epoch),
            idempotency_key=taken.key,
            request=encode_snapshot(snapshot),
            owner=self._vm,
        )
        self._reader.open(opened, taken.holders)
        if taken.owner != self._vm:
            self._reader.close(taken.generation, [taken.owner])

    def _gate(self, name: str) -> threading.Lock:
        return self._gates[hash(name) % _GATES]


def _new_head(req: GenerationRequest, epoch: Epoch) -> StreamHead:
    return StreamHead(request=req, lineage=[EpochStart(epoch, 0)])


def _same_request(first: GenerationRequest, second: GenerationRequest) -> bool:
    """Return whether two requests ask for the same; a drawn seed may differ."""
    return all(
        getattr(first, name) == getattr(second, name)
        for name in ("model", "adapter", "prompt", "max_tokens", "temperature", "chat")
    )


def admission_request(req: GenerationRequest) -> AdmissionRequest:
    """Return what admission needs to know of a generation."""
    return AdmissionRequest(
        workspace=req.workspace,
        tokens=len(req.prompt) // CHARS_PER_TOKEN + req.max_tokens,
        priority=req.priority,
        deadline_ms=req.deadline_ms,
        answer_tokens=req.max_tokens,
    )
