"""Which VMs are to keep the log, when replicas are replaced without an operator."""

from collections.abc import Collection, Mapping

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.logmessages import Member

REPLACED_AFTER_MS = 1_500
"""Silence in ms after which a newcomer takes a replica's place; three election timeouts. With a
successor at hand nothing is lost by it, as a replica that was merely down is admitted again; see
docs/design/membership.md, replaced replicas."""


def wanted_vms(
    voters: Collection[Member],
    learners: Collection[Member],
    join_requests: Collection[VmId],
    silent_ms: Mapping[Member, int],
    size: int,
) -> frozenset[VmId]:
    """Return the VMs that are to keep the log.

    A silent voter leaves only once as many others vote as the tolerated losses need, so a replica
    that is merely down is not dropped without a successor.

    Parameters
    ----------
    join_requests : collection of VmId
        VMs that asked to be admitted.
    silent_ms : mapping
        Time since the leader last heard each other member, in ms.
    size : int
        Number of replicas that the tolerated losses need.
    """
    alive = [v for v in voters if silent_ms.get(v, 0) < REPLACED_AFTER_MS]
    keep = {v.vm for v in voters}
    if len(alive) >= size:
        keep = {v.vm for v in alive}
    joining = {v.vm for v in learners if silent_ms.get(v, 0) < REPLACED_AFTER_MS}
    return frozenset(keep | joining | set(join_requests))
