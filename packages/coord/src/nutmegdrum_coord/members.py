"""Membership changes of the replicated log, one voter at a time."""

from collections.abc import Collection, Mapping

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.logmessages import Member, Members


def quorum(members: Members) -> int:
    """Return the number of voters in a majority."""
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
    """Return the next configuration, or None if no change is needed.

    Successive configurations differ by one voter at most, so that their quorums always overlap.
    A new incarnation first catches up as a learner. Then its VM's old incarnation is removed, and
    a separate change promotes the learner to a voter. The old incarnation's disk is gone, so the
    quorum without it needs no more live VMs than the one with it. A silent voter is likewise
    removed before a learner is promoted in its place: with both as voters, the quorum would be
    larger for the same number of live voters, and one more loss would stop the log. For the same
    reason no learner is promoted while a voter is unresponsive but may come back. A removed voter
    that was only down asks for admission when it is back.

    Parameters
    ----------
    vms : collection of VmId
        VMs that should host the log.
    join_requests : mapping
        Newest incarnation of each VM that asked for admission.
    caught_up : collection of Member
        Learners that have all committed entries and replied recently.
    silent : collection
        Voters without a reply for so long that a learner may replace them.
    unresponsive : collection
        Other voters without a recent reply.
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
    """Return the voter that must be removed before `learner` is promoted, or None."""
    for voter in members.voters:
        if voter.vm == learner.vm:
            return voter
    return next((voter for voter in members.voters if voter in silent), None)


def _promote(members: Members, learner: Member) -> Members:
    learners = tuple(other for other in members.learners if other != learner)
    return Members((*members.voters, learner), learners)


def _without(members: Members, voter: Member) -> Members:
    return Members(tuple(v for v in members.voters if v != voter), members.learners)
