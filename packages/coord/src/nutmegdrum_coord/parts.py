"""Replicated state made of parts, each with its own commands."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Any, Protocol, Union

import msgspec

from nutmegdrum_coord.clock import LogMs, WallMs
from nutmegdrum_coord.ids import CommandId, LogPosition

MAX_REMEMBERED_ANSWERS = 10_000


class Command(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all commands; the type's name is the tag on disk."""


class Answer(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all answers to commands."""


class Envelope(msgspec.Struct, frozen=True, kw_only=True):
    """One command as it stands in the log.

    Attributes
    ----------
    command : msgspec.Raw
        Encoded command.
    command_id : CommandId
        Identity for resends; empty for commands that are idempotent by themselves.
    who : str
        VM or operator that asked for the command, for the audit trail.
    wall_ms : WallMs
        The proposer's wall time, for the audit trail only.
    """

    command: msgspec.Raw
    command_id: CommandId = CommandId("")
    who: str = ""
    wall_ms: WallMs = WallMs(0)


class AuditEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One line of the audit trail: a change of state."""

    position: LogPosition
    at: LogMs
    wall_ms: WallMs
    who: str
    command_id: CommandId
    action: str
    subject: str
    details: dict[str, str] = {}


class Context:
    """What a part may know while it applies a command."""

    def __init__(self, position: LogPosition, at: LogMs, envelope: Envelope):
        self.position = position
        self.at = at
        self.who = envelope.who
        self.command_id = envelope.command_id
        self.wall_ms = envelope.wall_ms
        self.events: list[AuditEvent] = []

    def audit(self, action: str, subject: str, **details: str) -> None:
        """Add a change of state to the audit trail."""
        self.events.append(
            AuditEvent(
                position=self.position,
                at=self.at,
                wall_ms=self.wall_ms,
                who=self.who,
                command_id=self.command_id,
                action=action,
                subject=subject,
                details=details,
            )
        )


class Part(Protocol):
    """One part of the replicated state, deterministic like the whole."""

    name: str
    commands: Sequence[type[Command]]

    def apply(self, ctx: Context, command: Any) -> Answer:
        """Apply one of the part's commands."""
        ...

    def snapshot(self) -> Any:
        """Return the part's state as an object that msgspec can encode."""
        ...

    def restore(self, state: bytes) -> None:
        """Replace the part's state by the encoded one."""
        ...


class Failed(Answer):
    """Answer to a command that no part of this version understands."""

    why: str


class _Snapshot(msgspec.Struct):
    parts: dict[str, bytes]
    answers: list[tuple[CommandId, bytes]]
    audit: list[AuditEvent]
    position: LogPosition


class CompositeState:
    """State machine that hands each command to the part that owns its type.

    The answers to commands with a command id are kept, so that a resend gets the first answer
    after a change of leader or a restart.

    Parameters
    ----------
    parts : sequence of Part
        Parts with distinct names and commands.
    """

    def __init__(self, parts: Sequence[Part]):
        self.parts = {part.name: part for part in parts}
        self.audit: list[AuditEvent] = []
        self.position = LogPosition(0)
        self._owners = {kind: part for part in parts for kind in part.commands}
        self._answers: OrderedDict[CommandId, bytes] = OrderedDict()
        self._envelopes = msgspec.msgpack.Decoder(Envelope)
        self._commands = msgspec.msgpack.Decoder(Union[tuple(self._owners)])  # noqa: UP007
        self._encoder = msgspec.msgpack.Encoder()

    def apply(self, position: LogPosition, at: LogMs, command: bytes) -> bytes:
        """Apply an encoded `Envelope` and return the encoded answer."""
        envelope = self._envelopes.decode(command)
        self.position = position
        known = self._answers.get(envelope.command_id) if envelope.command_id else None
        if known is not None:
            return known
        ctx = Context(position, at, envelope)
        answer = self._encoder.encode(self._dispatch(ctx, envelope))
        self.audit.extend(ctx.events)
        if envelope.command_id:
            self._remember(envelope.command_id, answer)
        return answer

    def _dispatch(self, ctx: Context, envelope: Envelope) -> Answer:
        try:
            command = self._commands.decode(envelope.command)
        except msgspec.MsgspecError as exc:
            return Failed(why=str(exc))
        return self._owners[type(command)].apply(ctx, command)

    def _remember(self, command_id: CommandId, answer: bytes) -> None:
        self._answers[command_id] = answer
        if len(self._answers) > MAX_REMEMBERED_ANSWERS:
            self._answers.popitem(last=False)

    def snapshot(self) -> bytes:
        """Return the encoded state of all parts, the answers and the audit trail."""
        return self._encoder.encode(
            _Snapshot(
                parts={name: self._encoder.encode(p.snapshot()) for name, p in self.parts.items()},
                answers=list(self._answers.items()),
                audit=self.audit,
                position=self.position,
            )
        )

    def restore(self, snapshot: bytes) -> None:
        """Replace the state by that of an encoded snapshot."""
        state = msgspec.msgpack.decode(snapshot, type=_Snapshot)
        for name, part in self.parts.items():
            if name in state.parts:
                part.restore(state.parts[name])
        self._answers = OrderedDict(state.answers)
        self.audit = state.audit
        self.position = state.position


_encoder = msgspec.msgpack.Encoder()


def encode_command(
    command: Command,
    command_id: CommandId = CommandId(""),
    who: str = "",
    wall_ms: WallMs = WallMs(0),
) -> bytes:
    """Return `command` in an encoded envelope."""
    raw = msgspec.Raw(_encoder.encode(command))
    return _encoder.encode(Envelope(command=raw, command_id=command_id, who=who, wall_ms=wall_ms))


def decode_answer(data: bytes, kinds: Any) -> Any:
    """Return the answer in `data`, which is one of the types `kinds` (a type or a union)."""
    return msgspec.msgpack.decode(data, type=kinds)
