"""Election timer, vote promises and vote count."""

import random
from collections.abc import Iterable
from enum import Enum

from nutmegdrum_coord.logmessages import Member, Members
from nutmegdrum_coord.members import quorum


class Phase(Enum):
    """Kind of votes that a candidate is collecting."""

    IDLE = "idle"
    PRE_VOTES = "pre-votes"
    VOTES = "votes"


class Election:
    """Election timer and vote count of one replica.

    A replica asks for pre-votes first, so that an isolated one neither raises the term nor
    deposes a leader. It grants no vote until one election timeout after the last message of a
    leader. The same holds after its own start, as it may have made that promise before.

    Parameters
    ----------
    timeout_ms : int
        Election timeout; a replica campaigns after one to two timeouts, drawn at random each time.
    """

    def __init__(self, timeout_ms: int, rng: random.Random, now_ms: int):
        self.phase = Phase.IDLE
        self._timeout_ms = timeout_ms
        self._rng = rng
        self._votes: set[Member] = set()
        self.record_leader_contact(now_ms)

    def record_leader_contact(self, now_ms: int) -> None:
        """Restart the timers after a message of the current leader."""
        self._promised_until_ms = now_ms + self._timeout_ms
        self.reset(now_ms)

    def reset(self, now_ms: int) -> None:
        """End the campaign and draw a new timeout."""
        self.phase = Phase.IDLE
        self._deadline_ms = now_ms + self._timeout_ms + self._rng.randrange(self._timeout_ms)

    def cancel(self) -> None:
        """End the campaign without resetting the timer."""
        self.phase = Phase.IDLE

    def is_due(self, now_ms: int) -> bool:
        """Return whether the replica should start a campaign."""
        return now_ms >= self._deadline_ms

    def has_promised(self, now_ms: int) -> bool:
        """Return whether a leader may still rely on this replica's promise to grant no vote."""
        return now_ms < self._promised_until_ms

    def campaign(self, phase: Phase, own: Member, now_ms: int) -> None:
        """Start collecting votes of `phase`, beginning with the replica's own."""
        self.reset(now_ms)
        self.phase = phase
        self._votes = {own}

    def count(self, member: Member) -> None:
        """Count the vote of `member`."""
        self._votes.add(member)

    def is_won(self, members: Members) -> bool:
        """Return whether a quorum of voters has voted for this replica."""
        return self._counted(members.voters) >= quorum(members)

    def _counted(self, voters: Iterable[Member]) -> int:
        return sum(voter in self._votes for voter in voters)
