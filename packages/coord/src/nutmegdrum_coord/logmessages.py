"""Entries, configurations and messages of the replicated log."""

from enum import IntEnum
from typing import NamedTuple

import msgspec

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import IncarnationId, LogPosition, Term, VmId

ANY_INCARNATION = IncarnationId("")
NO_CLUSTER = ""


class Member(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identity of a replica: a VM and the incarnation of its data folder."""

    vm: VmId
    incarnation: IncarnationId


class Members(msgspec.Struct, frozen=True, array_like=True):
    """Configuration of the log: voters, which count for quorums, and learners."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def everyone(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners


class EntryKind(IntEnum):
    """Kind of an entry's data."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes
    ----------
    at : LogMs
        Log time in ms, stamped by the leader; never decreases from one position to the next.
    """

    position: LogPosition
    term: Term
    at: LogMs
    kind: EntryKind
    data: bytes


class LastEntry(NamedTuple):
    """Term and position of a log's last entry, in the order that decides on votes."""

    term: Term
    position: LogPosition


class Base(msgspec.Struct, frozen=True, array_like=True):
    """Last entry of the compacted start of a log, and the configuration at that position."""

    position: LogPosition = LogPosition(0)
    term: Term = Term(0)
    at: LogMs = LogMs(0)
    members: Members = Members()


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all messages between replicas.

    Attributes
    ----------
    cluster : str
        Identity of the cluster, drawn when it was formed; empty if the sender is in none.
    to : IncarnationId
        Incarnation that the message is for; empty for any incarnation.
    """

    cluster: str
    sender: Member
    to: IncarnationId
    term: Term


class VoteRequest(Message, frozen=True):
    """Request for a vote, or with `pre` for a pre-vote."""

    pre: bool
    last: LastEntry


class VoteReply(Message, frozen=True):
    """Reply to the `VoteRequest` of term `asked`."""

    pre: bool
    asked: Term
    granted: bool


class Mark(NamedTuple):
    """Point in time on the elapsed clock of one run of a replica.

    Attributes
    ----------
    start : int
        Random number drawn when the replica started, which identifies the run.
    ms : int
        The replica's elapsed time in ms.
    """

    start: int
    ms: int


class AppendRequest(Message, frozen=True):
    """Entries after `previous`; a heartbeat if there are none.

    Attributes
    ----------
    sent_ms : int
        Sender's elapsed time, returned in the reply; the lease is counted from it.
    echo : Mark or None
        Mark of the last reply that the sender had from the receiver; the request was sent after
        that time, however long it was delayed.
    """

    previous: LastEntry
    entries: list[Entry]
    commit: LogPosition
    sent_ms: int
    echo: Mark | None = None


class AppendReply(Message, frozen=True):
    """Reply to an `AppendRequest`.

    Attributes
    ----------
    position : LogPosition
        If accepted, the position up to which the logs agree and are synced; if rejected, the
        position after which the leader should retry.
    mark : Mark or None
        Time at which the reply was sent.
    """

    accepted: bool
    position: LogPosition
    sent_ms: int
    mark: Mark | None = None


class SnapshotRequest(Message, frozen=True):
    """Chunk of the leader's snapshot, for a member that lacks entries compacted away.

    Attributes
    ----------
    digest : int
        XXH64 of the whole snapshot; distinguishes the snapshots of different leaders.
    offset, size : int
        Offset of the chunk and length of the whole snapshot, in bytes.
    """

    base: Base
    digest: int
    offset: int
    size: int
    data: bytes
    sent_ms: int


class SnapshotReply(Message, frozen=True):
    """Bytes stored of the snapshot at `position`, which is the offset of the next chunk."""

    position: LogPosition
    offset: int
    sent_ms: int


class Hello(Message, frozen=True):
    """Query that a replica repeats after its start until it may vote and has been admitted.

    Attributes
    ----------
    nonce : int
        Random number drawn at the start, which the reply must return.
    """

    last: LastEntry
    nonce: int


class HelloReply(Message, frozen=True):
    """Reply to a `Hello` with the state of the peer.

    Attributes
    ----------
    acknowledged : LogPosition
        Position up to which the replica has acknowledged entries to the peer, if that leads.
    new : bool
        Whether the peer has never held any state, so that it may take part in forming a cluster.
    leader : VmId
        VM of the leader that the peer knows of; empty if unknown. Only a leader admits members.
    """

    nonce: int
    last: LastEntry
    acknowledged: LogPosition
    new: bool
    leader: VmId = VmId("")


class Form(Message, frozen=True):
    """First configuration of a new cluster, sent once all replicas have said that they are new.

    It is sent again to a voter that missed it, without members if that entry is compacted away.
    """

    members: Members


AnyMessage = (
    VoteRequest
    | VoteReply
    | AppendRequest
    | AppendReply
    | SnapshotRequest
    | SnapshotReply
    | Hello
    | HelloReply
    | Form
)

_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(AnyMessage)
_members_decoder = msgspec.msgpack.Decoder(Members)


def encode_message(message: Message) -> bytes:
    """Return the encoded message."""
    return _encoder.encode(message)


def decode_message(data: bytes) -> AnyMessage:
    """Return the message in `data`.

    Raises
    ------
    msgspec.MsgspecError
        If the data is not a message of this version.
    """
    return _decoder.decode(data)


def encode_members(members: Members) -> bytes:
    """Return the data of a `MEMBERS` entry."""
    return _encoder.encode(members)


def decode_members(data: bytes) -> Members:
    """Return the members in the data of a `MEMBERS` entry."""
    return _members_decoder.decode(data)
