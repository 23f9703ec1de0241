"""Leader lease: how long a leader may serve without a reply from a quorum.

With each reply a follower promises to grant no vote until one election timeout after it received
the request. The leader counts from the time at which it sent the request, which is earlier, and
shortens the period by twice the drift bound, as its clock may be slow and the follower's fast.
No other leader can be elected, and thus serve, before the lease expires.
"""

from collections.abc import Iterable

from nutmegdrum_coord.logmessages import Member

PPM = 1_000_000
DRIFT_BOUND_PPM = 10_000
"""Largest rate error of a VM's elapsed clock, in parts per million (1%)."""


def lease_length_ms(election_timeout_ms: int) -> int:
    """Return the length of a lease, counted from when the request was sent, in ms."""
    return election_timeout_ms * (PPM - 2 * DRIFT_BOUND_PPM) // PPM


class Lease:
    """Lease of one leader in one term.

    Parameters
    ----------
    owner : Member
        The leader, which always counts towards its own quorum.
    election_timeout_ms : int
        Period during which a follower grants no vote after a reply, in ms.
    """

    def __init__(self, owner: Member, election_timeout_ms: int):
        self._owner = owner
        self._length_ms = lease_length_ms(election_timeout_ms)
        self._sent_ms: dict[Member, int] = {}

    def acknowledge(self, member: Member, sent_ms: int) -> None:
        """Record that `member` replied to a request sent at `sent_ms`."""
        self._sent_ms[member] = max(sent_ms, self._sent_ms.get(member, sent_ms))

    def until_ms(self, voters: Iterable[Member], now_ms: int) -> int:
        """Return the elapsed time in ms at which the lease expires; 0 without a quorum."""
        sent = [now_ms if v == self._owner else self._sent_ms.get(v) for v in voters]
        known = sorted((ms for ms in sent if ms is not None), reverse=True)
        quorum = len(sent) // 2 + 1
        if len(known) < quorum:
            return 0
        return known[quorum - 1] + self._length_ms
