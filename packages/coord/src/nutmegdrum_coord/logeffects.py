"""Effects that the replicated log's core asks its shell to carry out.

The order matters: all saves of a batch are written and synced before any message is sent
and before any entry is applied.
"""

from typing import NamedTuple

from nutmegdrum_coord.ids import Term, VmId
from nutmegdrum_coord.logmessages import Base, Entry, Member, Message, SnapshotRequest


class Ballot(NamedTuple):
    """What a replica must never forget apart from its entries.

    Attributes
    ----------
    cluster : str
        Cluster that the replica belongs to; empty for none.
    vote : Member or None
        Candidate that got this replica's vote in `term`.
    """

    cluster: str = ""
    term: Term = Term(0)
    vote: Member | None = None


class SaveBallot(NamedTuple):
    """Save cluster, term and vote."""

    ballot: Ballot


class SaveEntries(NamedTuple):
    """Save entries, which replace all entries from the first one's position on."""

    entries: list[Entry]


class SaveChunk(NamedTuple):
    """Save a chunk of an arriving snapshot at `offset` bytes."""

    base: Base
    offset: int
    data: bytes


class InstallSnapshot(NamedTuple):
    """Put the complete arriving snapshot in force; the log starts anew after it."""

    base: Base
    digest: int


class Send(NamedTuple):
    """Send a message to a VM."""

    to: VmId
    message: Message


class SendChunk(NamedTuple):
    """Read the chunk at `offset` of the own snapshot and send it to a member in `request`.

    Attributes
    ----------
    request : SnapshotRequest
        Message whose base, digest, size and data the shell fills in.
    """

    to: VmId
    request: SnapshotRequest


class Apply(NamedTuple):
    """Apply committed entries, in order."""

    entries: list[Entry]


class MarkTrusted(NamedTuple):
    """Note that the files are no older copy, for as long as the VM runs."""


class Retire(NamedTuple):
    """Give up this incarnation; its disk is older than what it has acknowledged."""


Effect = (
    SaveBallot
    | SaveEntries
    | SaveChunk
    | InstallSnapshot
    | Send
    | SendChunk
    | Apply
    | MarkTrusted
    | Retire
)


class Saved(NamedTuple):
    """What a replica finds in its files when it starts.

    Attributes
    ----------
    snapshot : Base
        Last entry that the snapshot covers; `base` may lie before it.
    new : bool
        Whether the folder never held any state, so that a cluster may be formed with it.
    trusted : bool
        Whether the VM has not been restarted since the files were last written, so that
        they cannot be an older copy.
    """

    ballot: Ballot = Ballot()
    snapshot: Base = Base()
    base: Base = Base()
    entries: list[Entry] = []
    trusted: bool = True
    new: bool = True


class Compacted(NamedTuple):
    """New start of the log after a snapshot, and the entries kept after it."""

    base: Base
    entries: list[Entry]
