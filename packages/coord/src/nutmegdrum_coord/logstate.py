"""State shared by the leader and follower code of one replica, and the effects it collects."""

from typing import Any, NamedTuple

from nutmegdrum_coord.entries import EntryList
from nutmegdrum_coord.ids import IncarnationId, LogPosition, Term, VmId
from nutmegdrum_coord.logeffects import (
    Apply,
    Ballot,
    DropEntries,
    Effect,
    SaveBallot,
    Saved,
    SaveEntries,
    Send,
)
from nutmegdrum_coord.logmessages import NO_CLUSTER, Base, Entry, LastEntry, Member, Message

FIRST_ENTRY = LastEntry(Term(0), LogPosition(1))
"""Entry with the first configuration, which precedes all terms with a leader."""


class LogTiming(NamedTuple):
    """Periods of the replicated log, in ms.

    Attributes
    ----------
    heartbeat_ms : int
        Period of the leader's heartbeats.
    election_timeout_ms : int
        Time without a message from the leader after which a replica may campaign or grant a vote.
    confirm_ms : int
        Time that a replica waits for the replies of all others after a VM restart; after that,
        the replies of a quorum suffice.
    replace_after_ms : int or None
        Time without a reply after which a caught-up learner may replace a voter; None if only a
        newer incarnation of the same VM may replace it.
    found_ms : int
        Time that the first start waits for founders that do not reply.
    """

    heartbeat_ms: int = 150
    election_timeout_ms: int = 1_000
    confirm_ms: int = 10_000
    replace_after_ms: int | None = None
    found_ms: int = 3_000


class LogState:
    """Ballot, entries and commit position of one replica.

    Parameters
    ----------
    identity : Member
        This replica.
    saved : Saved
        State loaded from its files.
    """

    def __init__(self, identity: Member, saved: Saved):
        self.identity = identity
        self.ballot = saved.ballot
        self.entries = EntryList(saved.base, saved.entries)
        self.commit = saved.snapshot.position
        self._effects: list[Effect] = []

    @property
    def term(self) -> Term:
        """Return the current term."""
        return self.ballot.term

    @property
    def is_tentative(self) -> bool:
        """Return whether this replica holds nothing but the first configuration of its cluster.

        It has acknowledged nothing then, and its cluster may be one that will never have a leader.
        """
        return (
            self.ballot.cluster != NO_CLUSTER
            and self.commit == 0
            and self.entries.last <= FIRST_ENTRY
        )

    def emit(self, effect: Effect) -> None:
        """Add an effect for the caller to carry out."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Return the effects added since the last call, in order."""
        effects, self._effects = self._effects, []
        return effects

    def send(self, to: Member, kind: type[Message], **fields: Any) -> None:
        """Send a message to one incarnation of a replica."""
        self.send_vm(to.vm, to.incarnation, kind, **fields)

    def send_vm(
        self, vm: VmId, incarnation: IncarnationId, kind: type[Message], **fields: Any
    ) -> None:
        """Send a message to `incarnation` on a VM; `ANY_INCARNATION` addresses whichever runs."""
        fields.setdefault("term", self.ballot.term)
        fields.setdefault("cluster", self.ballot.cluster)
        message = kind(sender=self.identity, to=incarnation, **fields)
        self.emit(Send(vm, message))

    def save_ballot(self, ballot: Ballot) -> None:
        """Replace the ballot; it is synced before any later message is sent."""
        if ballot != self.ballot:
            self.ballot = ballot
            self.emit(SaveBallot(ballot))

    def save_entries(self, entries: list[Entry]) -> None:
        """Append `entries`, replacing all entries from the first one's position on."""
        self.entries.replace(entries)
        self.emit(SaveEntries(entries))

    def drop_entries(self) -> None:
        """Drop all entries; none may be committed."""
        self.entries = EntryList(Base())
        self.emit(DropEntries())

    def commit_upto(self, position: LogPosition) -> None:
        """Commit and apply all entries up to `position` that have not been applied yet."""
        if position <= self.commit:
            return
        self.emit(Apply(self.entries.between(self.commit, position)))
        self.commit = position
