"""Effects that `LogCore` returns and its caller carries out.

The order matters: all saves of a batch are written and synced before any message is sent
and before any entry is applied.
"""

from typing import NamedTuple

from nutmegdrum_coord.ids import Term, VmId
from nutmegdrum_coord.logmessages import Base, Entry, Member, Message, SnapshotRequest


class Ballot(NamedTuple):
    """State that a replica must keep on disk besides its entries.

    Attributes
    ----------
    cluster : str
        Cluster that the replica belongs to; empty for none.
    vote : Member or None
        Candidate that received this replica's vote in `term`.
    """

    cluster: str = ""
    term: Term = Term(0)
    vote: Member | None = None


class SaveBallot(NamedTuple):
    """Save cluster, term and vote."""

    ballot: Ballot


class SaveEntries(NamedTuple):
    """Save entries, replacing all entries from the first one's position on."""

    entries: list[Entry]


class DropEntries(NamedTuple):
    """Drop all entries of the log, none of which is committed."""


class SaveChunk(NamedTuple):
    """Save a chunk of the incoming snapshot at byte `offset`."""

    base: Base
    offset: int
    data: bytes


class InstallSnapshot(NamedTuple):
    """Install the complete incoming snapshot and restart the log after it."""

    base: Base
    digest: int


class Send(NamedTuple):
    """Send a message to a VM."""

    to: VmId
    message: Message


class SendChunk(NamedTuple):
    """Read a chunk of the replica's own snapshot and send it to a member.

    Attributes
    ----------
    request : SnapshotRequest
        Message with the chunk's offset; the caller fills in base, digest, size and data.
    """

    to: VmId
    request: SnapshotRequest


class Apply(NamedTuple):
    """Apply committed entries, in order."""

    entries: list[Entry]


class MarkTrusted(NamedTuple):
    """Record that the files are not an older copy; valid until the VM restarts."""


class Retire(NamedTuple):
    """Retire this incarnation, as its disk lacks entries that it has acknowledged."""


Effect = (
    SaveBallot
    | SaveEntries
    | DropEntries
    | SaveChunk
    | InstallSnapshot
    | Send
    | SendChunk
    | Apply
    | MarkTrusted
    | Retire
)


class Saved(NamedTuple):
    """State that a replica loads from its files when it starts.

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
