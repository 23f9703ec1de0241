"""Automatic replacement of failed state replicas: which VMs should hold the log."""

from collections.abc import Collection, Mapping

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.logmessages import Member

REPLACED_AFTER_MS = 1_500
"""Silence in ms after which a replacement may take a voter's place; three election time-outs. A
short limit is safe if a replacement is available, as a replica that was only down can join again;
see docs/design/membership.md, replaced replicas."""


def wanted_vms(
    voters: Collection[Member],
    learners: Collection[Member],
    join_requests: Collection[VmId],
    silent_ms: Mapping[Member, int],
    size: int,
) -> frozenset[VmId]:
    """Return the VMs that should hold the log.

    A silent voter is removed only if at least `size` other voters are alive, so that a replica
    that is only down is not dropped without a replacement.

    Parameters
    ----------
    join_requests : collection of VmId
        VMs that have asked to join.
    silent_ms : mapping
        Time in ms since the leader last received a message from each other member.
    size : int
        Number of replicas needed for the tolerated losses.
    """
    alive = [v for v in voters if silent_ms.get(v, 0) < REPLACED_AFTER_MS]
    keep = {v.vm for v in voters}
    if len(alive) >= size:
        keep = {v.vm for v in alive}
    joining = {v.vm for v in learners if silent_ms.get(v, 0) < REPLACED_AFTER_MS}
    return frozenset(keep | joining | set(join_requests))
