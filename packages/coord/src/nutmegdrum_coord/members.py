"""Changes of the log's configuration, one at a time."""

from collections.abc import Collection, Mapping

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.logmessages import Member, Members


def quorum(members: Members) -> int:
    """Return how many voters are a majority."""
    return len(members.voters) // 2 + 1


def next_change(
    members: Members,
    vms: Collection[VmId],
    join_requests: Mapping[VmId, Member],
    caught_up: Collection[Member],
    leader: Member,
    silent: Collection[Member] = (),
    unresponsive: Collection[Member] = (),
) -> Members | None:
    """Return the next configuration, or None if nothing is to be changed.

    Two successive configurations differ by one voter at most, so that their quorums always
    share a member. A new incarnation first catches up as a learner; only then does its VM's
    old incarnation leave, and in a change of its own the new one is made a voter. The old
    one's disk is gone, so the quorum without it needs no more live VMs than the one with it.
    A silent voter leaves in the same way before a newcomer is made a voter: with both, the
    quorum would be larger and the live voters the same, and one more loss would stop the log.
    For the same reason a newcomer waits while a voter may be gone and is not known to be.
    A voter that was merely down asks to be admitted when it is back.

    Parameters
    ----------
    vms : collection of VmId
        VMs that are to keep the log, from the settings.
    join_requests : mapping
        Newest incarnation of each VM that asked to be admitted.
    caught_up : collection of Member
        Learners that have all committed entries and answered lately.
    silent : collection
        Voters that have not answered for so long that a newcomer takes their place.
    unresponsive : collection
        Other voters that have not answered lately.
    """
    for learner in members.learners:
        if learner in caught_up and learner.vm in vms:
            replaced = _replaced_by(learner, members, silent)
            if replaced is not None:
                return _without(members, replaced)
            if not unresponsive:
                return _promote(members, learner)
    for member in join_requests.values():
        if member.vm in vms and member not in members.everyone():
            kept = tuple(other for other in members.learners if other.vm != member.vm)
            return Members(members.voters, (*kept, member))
    for voter in members.voters:
        if voter.vm not in vms and voter != leader:
            return _without(members, voter)
    return None


def _replaced_by(learner: Member, members: Members, silent: Collection[Member]) -> Member | None:
    """Return the voter that must leave before `learner` may vote."""
    for voter in members.voters:
        if voter.vm == learner.vm:
            return voter
    return next((voter for voter in members.voters if voter in silent), None)


def _promote(members: Members, learner: Member) -> Members:
    learners = tuple(other for other in members.learners if other != learner)
    return Members((*members.voters, learner), learners)


def _without(members: Members, voter: Member) -> Members:
    return Members(tuple(v for v in members.voters if v != voter), members.learners)
