"""Replicated state of release notes, settled versions and moves."""

from collections.abc import Sequence
from typing import Any

import msgspec
from nutmegdrum_coord.clock import WallMs
from nutmegdrum_coord.ids import (
    AdapterName,
    LogPosition,
    ModelName,
    NoteNumber,
    ServiceName,
    VersionName,
)
from nutmegdrum_coord.parts import Answer, Command, Context

from nutmegdrum.errors import UserError
from nutmegdrum.moves import NEXT_STATES, Move, MoveId, MoveKind, MoveState, move_id
from nutmegdrum.notecheck import check_against_state
from nutmegdrum.notes import (
    DEFAULT_SHARE_STEPS_PPM,
    Added,
    Changed,
    ReleaseNote,
    Withdrawn,
    encode_note,
    parse_note,
    wall_ms,
)
from nutmegdrum.settings import ModelSettings


class ModelState(msgspec.Struct, kw_only=True):
    """One model, or one plain service, and its settled version.

    Attributes
    ----------
    serving : bool
        Whether callers may use it: not before it is loaded, nor once it is withdrawn.
    plain : bool
        Whether it is a plain service, whose versions the platform starts.
    """

    name: ModelName
    service: ServiceName
    settled: VersionName
    serving: bool = True
    plain: bool = False
    adapters: list[AdapterName] = []


class NoteRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Accepted release note.

    Attributes
    ----------
    note : bytes
        The document as JSON, as it was read.
    """

    number: NoteNumber
    operator: str
    note: bytes
    position: LogPosition
    accepted: WallMs


class SubmitNote(Command, frozen=True, kw_only=True):
    """Accept a release note, if its number is free and its changes are possible."""

    operator: str
    note: bytes


class AdvanceMove(Command, frozen=True, kw_only=True):
    """Bring a move from one state and step to the next."""

    move: MoveId
    from_state: MoveState
    from_step: int
    state: MoveState
    step: int = 0


class PauseMove(Command, frozen=True, kw_only=True):
    """Set a move's share to zero because a fault was reported."""

    move: MoveId
    reason: str


class ResumeMove(Command, frozen=True, kw_only=True):
    """Give a paused move its first share again."""

    move: MoveId


class TakeBack(Command, frozen=True, kw_only=True):
    """Return all traffic to the settled version and end the move."""

    move: MoveId
    reason: str


class PredictLate(Command, frozen=True, kw_only=True):
    """Report that a move will be complete only at `predicted`, after its time."""

    move: MoveId
    predicted: WallMs


class NoteAccepted(Answer, frozen=True, kw_only=True):
    """The note is in the log and in force."""

    number: NoteNumber
    position: LogPosition


class NoteConflict(Answer, frozen=True, kw_only=True):
    """Another note stands under the number."""

    number: NoteNumber
    operator: str
    standing: bytes


class NoteInvalid(Answer, frozen=True, kw_only=True):
    """The note cannot be accepted; `why` names the key's path."""

    why: str


class MoveChanged(Answer, frozen=True, kw_only=True):
    """The move took the step."""

    move: MoveId


class MoveUnchanged(Answer, frozen=True, kw_only=True):
    """The move was not where the command expected it."""

    move: MoveId


class _State(msgspec.Struct):
    notes: list[NoteRecord]
    models: list[ModelState]
    moves: list[Move]


class Releases:
    """Part of the replicated state that release notes change.

    Parameters
    ----------
    models : sequence of ModelSettings
        Models that are served from the start.
    plain_services : sequence of ServiceName
        Plain services, each of them known as a model of its own name.

    Attributes
    ----------
    revision : int
        Number that rises with each command on this replica; no part of the state.
    """

    name = "releases"
    commands: Sequence[type[Command]] = (
        SubmitNote,
        AdvanceMove,
        PauseMove,
        ResumeMove,
        TakeBack,
        PredictLate,
    )

    def __init__(self, models: Sequence[ModelSettings], plain_services: Sequence[ServiceName] = ()):
        self.revision = 0
        self.notes: dict[NoteNumber, NoteRecord] = {}
        self.models: dict[ModelName, ModelState] = {}
        self.moves: dict[MoveId, Move] = {}
        for model in models:
            self._add_model(model.name, model.service, model.version)
        for service in plain_services:
            self._add_model(ModelName(service), service, VersionName("")).plain = True
        self._handlers = {
            SubmitNote: self._submit,
            AdvanceMove: self._advance,
            PauseMove: self._pause,
            ResumeMove: self._resume,
            TakeBack: self._take_back,
            PredictLate: self._predict_late,
        }

    @property
    def newest(self) -> NoteNumber:
        """Return the number of the newest accepted note, 0 if there is none."""
        return max(self.notes, default=NoteNumber(0))

    def open_moves(self) -> list[Move]:
        """Return the moves that have not ended, in the order of acceptance."""
        return [move for move in self.moves.values() if not move.terminal]

    def trial_of(self, model: ModelName) -> Move | None:
        """Return the change of `model` that has not ended, if any."""
        for move in self.moves.values():
            if move.model == model and move.kind is MoveKind.CHANGE and not move.terminal:
                return move
        return None

    def apply(self, ctx: Context, command: Any) -> Answer:
        """Apply one of the part's commands."""
        self.revision += 1
        return self._handlers[type(command)](ctx, command)

    def snapshot(self) -> Any:
        """Return notes, models and moves."""
        return _State(
            notes=list(self.notes.values()),
            models=list(self.models.values()),
            moves=list(self.moves.values()),
        )

    def restore(self, state: bytes) -> None:
        """Replace notes, models and moves by the encoded ones."""
        self.revision += 1
        decoded = msgspec.msgpack.decode(state, type=_State)
        self.notes = {record.number: record for record in decoded.notes}
        self.models = {model.name: model for model in decoded.models}
        self.moves = {move.id: move for move in decoded.moves}

    def _add_model(self, name: ModelName, service: ServiceName, version: VersionName) -> ModelState:
        model = ModelState(name=name, service=service, settled=version, adapters=[])
        self.models[name] = model
        return model

    def _submit(self, ctx: Context, command: SubmitNote) -> Answer:
        try:
            note = parse_note(command.note)
        except UserError as exc:
            return NoteInvalid(why=str(exc))
        document = encode_note(note)
        standing = self.notes.get(note.number)
        if standing is not None:
            if (standing.operator, standing.note) == (command.operator, document):
                return NoteAccepted(number=note.number, position=standing.position)
            return NoteConflict(
                number=note.number, operator=standing.operator, standing=standing.note
            )
        problem = check_against_state(note, self.newest, self.models, self.moves.values())
        if problem is not None:
            return NoteInvalid(why=str(problem))
        self.notes[note.number] = NoteRecord(
            number=note.number,
            operator=command.operator,
            note=document,
            position=ctx.position,
            accepted=ctx.wall_ms,
        )
        ctx.audit("note accepted", str(note.number), operator=command.operator)
        self._start_moves(ctx, note)
        return NoteAccepted(number=note.number, position=ctx.position)

    def _start_moves(self, ctx: Context, note: ReleaseNote) -> None:
        for added in note.added:
            self._start_add(ctx, note.number, added)
        for changed in note.changed:
            self._start_change(ctx, note.number, changed)
        for withdrawn in note.withdrawn:
            self._start_withdrawal(ctx, note.number, withdrawn)

    def _start_add(self, ctx: Context, number: NoteNumber, added: Added) -> None:
        model = self.models.get(added.model)
        if not added.adapter:
            model = self._add_model(added.model, added.service, added.version)
            model.serving = False
        self._supersede(ctx, number, added.model, added.adapter)
        self._start(
            ctx,
            Move(
                id=move_id(number, added.model, added.adapter),
                note=number,
                kind=MoveKind.ADD,
                model=added.model,
                service=model.service,
                version=added.version,
                adapter=added.adapter,
                complete_by=wall_ms(added.complete_by),
                accepted=ctx.wall_ms,
                state=MoveState.PLANNED,
                since=ctx.at,
            ),
        )

    def _start_change(self, ctx: Context, number: NoteNumber, changed: Changed) -> None:
        model = self.models[changed.model]
        self._supersede(ctx, number, changed.model, AdapterName(""))
        move = Move(
            id=move_id(number, changed.model, AdapterName("")),
            note=number,
            kind=MoveKind.CHANGE,
            model=changed.model,
            service=model.service,
            version=changed.version,
            complete_by=wall_ms(changed.complete_by),
            accepted=ctx.wall_ms,
            state=MoveState.PLANNED,
            since=ctx.at,
            routes=list(changed.routes),
            share_steps=[int(share) for share in changed.share_steps or DEFAULT_SHARE_STEPS_PPM],
            bake_time_ms=None if changed.bake_time is None else int(changed.bake_time),
        )
        self._start(ctx, move)
        if changed.version == model.settled:
            self._end(ctx, move, MoveState.DONE, "already settled")

    def _start_withdrawal(self, ctx: Context, number: NoteNumber, withdrawn: Withdrawn) -> None:
        model = self.models[withdrawn.model]
        self._supersede(ctx, number, withdrawn.model, withdrawn.adapter)
        if withdrawn.adapter:
            model.adapters = [name for name in model.adapters if name != withdrawn.adapter]
        else:
            model.serving = False
            for move in self.open_moves():
                if move.model == withdrawn.model:
                    self._end(ctx, move, MoveState.SUPERSEDED, f"withdrawn by note {number}")
        self._start(
            ctx,
            Move(
                id=move_id(number, withdrawn.model, withdrawn.adapter),
                note=number,
                kind=MoveKind.WITHDRAW,
                model=withdrawn.model,
                service=model.service,
                version=model.settled,
                adapter=withdrawn.adapter,
                complete_by=wall_ms(withdrawn.complete_by),
                accepted=ctx.wall_ms,
                state=MoveState.DRAINING,
                since=ctx.at,
            ),
        )

    def _start(self, ctx: Context, move: Move) -> None:
        self.moves[move.id] = move
        ctx.audit("move planned", move.id, kind=move.kind.value, version=move.version)

    def _supersede(
        self, ctx: Context, number: NoteNumber, model: ModelName, adapter: AdapterName
    ) -> None:
        for move in self.open_moves():
            if (move.model, move.adapter) == (model, adapter):
                self._end(ctx, move, MoveState.SUPERSEDED, f"superseded by note {number}")

    def _advance(self, ctx: Context, command: AdvanceMove) -> Answer:
        move = self.moves.get(command.move)
        if move is None or not _expected(move, command):
            return MoveUnchanged(move=command.move)
        if command.state is MoveState.DONE:
            self._end(ctx, move, MoveState.DONE, "")
            return MoveChanged(move=move.id)
        move.state = command.state
        move.step = command.step
        move.since = ctx.at
        if move.state is MoveState.BAKING:
            move.completed = ctx.wall_ms
        ctx.audit("move advanced", move.id, state=move.state.value, share_ppm=str(move.share_ppm))
        return MoveChanged(move=move.id)

    def _pause(self, ctx: Context, command: PauseMove) -> Answer:
        move = self.moves.get(command.move)
        if move is None or move.share_ppm == 0:
            return MoveUnchanged(move=command.move)
        move.paused = True
        move.pauses += 1
        move.since = ctx.at
        ctx.audit("move paused", move.id, reason=command.reason)
        return MoveChanged(move=move.id)

    def _resume(self, ctx: Context, command: ResumeMove) -> Answer:
        move = self.moves.get(command.move)
        if move is None or not move.paused or move.terminal:
            return MoveUnchanged(move=command.move)
        move.paused = False
        move.state = MoveState.TRIAL
        move.step = 0
        move.completed = None
        move.since = ctx.at
        ctx.audit("move resumed", move.id)
        return MoveChanged(move=move.id)

    def _take_back(self, ctx: Context, command: TakeBack) -> Answer:
        move = self.moves.get(command.move)
        if move is None or move.terminal or move.kind is not MoveKind.CHANGE:
            return MoveUnchanged(move=command.move)
        move.completed = None
        self._end(ctx, move, MoveState.ROLLED_BACK, command.reason)
        return MoveChanged(move=move.id)

    def _predict_late(self, ctx: Context, command: PredictLate) -> Answer:
        move = self.moves.get(command.move)
        if move is None or move.terminal or move.predicted is not None:
            return MoveUnchanged(move=command.move)
        move.predicted = command.predicted
        ctx.audit("move late", move.id, predicted_ms=str(command.predicted))
        return MoveChanged(move=move.id)

    def _end(self, ctx: Context, move: Move, state: MoveState, reason: str) -> None:
        move.state = state
        move.reason = reason
        move.paused = False
        move.ended = ctx.wall_ms
        move.since = ctx.at
        if state is MoveState.DONE:
            move.completed = ctx.wall_ms if move.completed is None else move.completed
            self._settle(move)
        ctx.audit(f"move {state.value}", move.id, reason=reason)

    def _settle(self, move: Move) -> None:
        model = self.models.get(move.model)
        if model is None:
            return
        if move.kind is MoveKind.CHANGE:
            model.settled = move.version
        elif move.kind is MoveKind.ADD and move.adapter:
            model.adapters = [*model.adapters, move.adapter]
        elif move.kind is MoveKind.ADD:
            model.serving = True
        elif not move.adapter:
            del self.models[move.model]


def _expected(move: Move, command: AdvanceMove) -> bool:
    if (move.state, move.step) != (command.from_state, command.from_step) or move.paused:
        return False
    if command.state not in NEXT_STATES.get((move.kind, move.state), frozenset()):
        return False
    if command.state is MoveState.TRIAL:
        first = move.state is MoveState.LOADING
        return command.step == (0 if first else move.step + 1) < len(move.share_steps) - 1
    if command.state is MoveState.BAKING:
        return command.step == move.step + 1 == len(move.share_steps) - 1
    return command.step == 0
