"""Elections: when a replica stands, and whom it votes for."""

import random
from collections.abc import Iterable
from enum import Enum

from nutmegdrum_coord.logmessages import Member, Members
from nutmegdrum_coord.members import quorum


class Phase(Enum):
    """What a replica that stands for election is waiting for."""

    IDLE = "idle"
    PRE_VOTES = "pre-votes"
    VOTES = "votes"


class Election:
    """Timer and vote count of one replica.

    A replica asks for pre-votes first, so that one that hears nobody raises no term and
    unseats no leader. It votes for nobody until an election timeout after it last heard a
    leader, and after its own start, as it may have promised that before.

    Parameters
    ----------
    timeout_ms : int
        Election timeout; a replica stands after one to two of them, drawn anew each time.
    """

    def __init__(self, timeout_ms: int, rng: random.Random, now_ms: int):
        self.phase = Phase.IDLE
        self._timeout_ms = timeout_ms
        self._rng = rng
        self._votes: set[Member] = set()
        self.record_leader_contact(now_ms)

    def record_leader_contact(self, now_ms: int) -> None:
        """Note a message of the current leader."""
        self._promised_until_ms = now_ms + self._timeout_ms
        self.reset(now_ms)

    def reset(self, now_ms: int) -> None:
        """Stop standing and draw a new timeout."""
        self.phase = Phase.IDLE
        self._deadline_ms = now_ms + self._timeout_ms + self._rng.randrange(self._timeout_ms)

    def cancel(self) -> None:
        """Stop standing and leave the timer as it is."""
        self.phase = Phase.IDLE

    def is_due(self, now_ms: int) -> bool:
        """Return whether the replica should stand now."""
        return now_ms >= self._deadline_ms

    def has_promised(self, now_ms: int) -> bool:
        """Return whether a leader may still rely on this replica's promise."""
        return now_ms < self._promised_until_ms

    def campaign(self, phase: Phase, own: Member, now_ms: int) -> None:
        """Start to count votes of `phase`, the own one first."""
        self.reset(now_ms)
        self.phase = phase
        self._votes = {own}

    def count(self, member: Member) -> None:
        """Count a vote."""
        self._votes.add(member)

    def is_won(self, members: Members) -> bool:
        """Return whether a quorum of the voters has voted for this replica."""
        return self._counted(members.voters) >= quorum(members)

    def _counted(self, voters: Iterable[Member]) -> int:
        return sum(voter in self._votes for voter in voters)
