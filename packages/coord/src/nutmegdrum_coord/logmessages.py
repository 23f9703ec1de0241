"""Typed records and messages of the replicated log."""

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
    """Configuration of the log: members that count for quorums, and members that catch up."""

    voters: tuple[Member, ...] = ()
    learners: tuple[Member, ...] = ()

    def everyone(self) -> tuple[Member, ...]:
        """Return voters and learners."""
        return self.voters + self.learners


class EntryKind(IntEnum):
    """What an entry holds."""

    COMMAND = 0
    NO_OP = 1
    MEMBERS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log.

    Attributes
    ----------
    at : LogMs
        Log time in ms, stamped by the leader; never falls from one position to the next.
    """

    position: LogPosition
    term: Term
    at: LogMs
    kind: EntryKind
    data: bytes


class LastEntry(NamedTuple):
    """Term and position of a log's last entry, compared as votes compare them."""

    term: Term
    position: LogPosition


class Base(msgspec.Struct, frozen=True, array_like=True):
    """What is known of the compacted start of a log: its last entry and the members there."""

    position: LogPosition = LogPosition(0)
    term: Term = Term(0)
    at: LogMs = LogMs(0)
    members: Members = Members()


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all messages between replicas.

    Attributes
    ----------
    cluster : str
        Identity of the cluster, drawn when it was formed; empty for a replica in none.
    to : IncarnationId
        Incarnation that the message is for; empty if any may read it.
    """

    cluster: str
    sender: Member
    to: IncarnationId
    term: Term


class VoteRequest(Message, frozen=True):
    """Request for a vote, or with `pre` the question whether one would be given."""

    pre: bool
    last: LastEntry


class VoteReply(Message, frozen=True):
    """Answer to the `VoteRequest` of term `asked`."""

    pre: bool
    asked: Term
    granted: bool


class Mark(NamedTuple):
    """A moment of one start of a replica.

    Attributes
    ----------
    start : int
        Random number drawn at the start.
    ms : int
        The replica's elapsed time in ms.
    """

    start: int
    ms: int


class AppendRequest(Message, frozen=True):
    """Entries after `previous`; without entries a heartbeat.

    Attributes
    ----------
    sent_ms : int
        Sender's elapsed time, returned in the reply; dates the lease.
    echo : Mark or None
        Mark of the receiver's last reply that had reached the sender; the request was sent later
        than that, however late it arrives.
    """

    previous: LastEntry
    entries: list[Entry]
    commit: LogPosition
    sent_ms: int
    echo: Mark | None = None


class AppendReply(Message, frozen=True):
    """Answer to an `AppendRequest`.

    Attributes
    ----------
    position : LogPosition
        If accepted, the position up to which the logs agree and are synced; if not, the
        position after which to try next.
    mark : Mark or None
        When the reply was sent.
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
        XXH64 of the whole snapshot; tells apart the snapshots of two leaders.
    offset, size : int
        Place of the chunk and length of the whole, in bytes.
    """

    base: Base
    digest: int
    offset: int
    size: int
    data: bytes
    sent_ms: int


class SnapshotReply(Message, frozen=True):
    """Number of bytes of the snapshot at `position` that are stored; the next chunk's offset."""

    position: LogPosition
    offset: int
    sent_ms: int


class Hello(Message, frozen=True):
    """Message of a replica that has just started, until it may vote or has been admitted.

    Attributes
    ----------
    nonce : int
        Number drawn at the start, which the reply must return.
    """

    last: LastEntry
    nonce: int


class HelloReply(Message, frozen=True):
    """State of a peer, for a replica that has just started.

    Attributes
    ----------
    acknowledged : LogPosition
        Position up to which the replica has acknowledged entries to the peer, if that leads.
    new : bool
        Whether the peer has never held any state, so that it may take part in a first start.
    leader : VmId
        VM of the leader as far as the peer knows, which alone admits members; empty if unknown.
    """

    nonce: int
    last: LastEntry
    acknowledged: LogPosition
    new: bool
    leader: VmId = VmId("")


class Form(Message, frozen=True):
    """First configuration of a new cluster, sent once all replicas were seen to be new.

    Later it tells a voter that missed it so; without members if that entry is compacted away.
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
        If the data is no message of this version.
    """
    return _decoder.decode(data)


def encode_members(members: Members) -> bytes:
    """Return the data of a `MEMBERS` entry."""
    return _encoder.encode(members)


def decode_members(data: bytes) -> Members:
    """Return the members in the data of a `MEMBERS` entry."""
    return _members_decoder.decode(data)
