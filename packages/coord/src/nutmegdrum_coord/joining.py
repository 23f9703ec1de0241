"""Steps before a replica may vote: forming a cluster, joining one, or the check after a restart.

A replica with a new data folder belongs to no cluster. Only a founder (a replica that all others
are told of) forms one: the lowest, once most founders have never held any state and none that
replies belongs to a cluster. It waits for the founders that have not replied, but not for ever.
All other replicas wait to be admitted. Every first configuration names all founders, so the
quorums of two clusters that are formed at the same time overlap, and only one can get a leader.

After a restart of its VM, a replica may be running on an older copy of its disk. It grants no
vote until it knows the last entry and the term of all other replicas. After that it votes only
for candidates whose log reaches the newest of those entries, and only in terms newer than all of
those terms: one of the others has seen whatever it acknowledged or voted for and then lost.
"""

from collections.abc import Collection
from typing import NamedTuple

from nutmegdrum_coord.ids import IncarnationId, Term, VmId
from nutmegdrum_coord.logeffects import Saved
from nutmegdrum_coord.logmessages import NO_CLUSTER, Form, HelloReply, LastEntry, Member, Members

NOT_SEEN = IncarnationId("not-seen")
"""Incarnation of a founder that has not been heard of. The one that comes replaces it, as any newer
incarnation of a VM does."""


class _Heard(NamedTuple):
    reply: HelloReply
    at_ms: int


class Joining:
    """Replies to this replica's `Hello`, and the decisions that depend on them.

    Parameters
    ----------
    vms : collection of VmId
        VMs of all state replicas, including this one.
    founders : collection of VmId
        VMs that may form the cluster; the same ones on all replicas.
    saved : Saved
        State loaded from the replica's files.
    confirm_ms : int
        Time after which the replies of a quorum suffice for the check, in ms.
    found_ms : int
        Time after which a cluster is formed without the founders that have not replied, and
        after which a reply no longer counts for that, in ms.
    nonce : int
        Random number that identifies this start; replies to earlier starts are ignored.
    """

    def __init__(
        self,
        identity: Member,
        vms: Collection[VmId],
        founders: Collection[VmId],
        saved: Saved,
        confirm_ms: int,
        found_ms: int,
        nonce: int,
        now_ms: int,
    ):
        self.confirmed = saved.trusted
        self.new = saved.new
        self.nonce = nonce
        self._identity = identity
        self._vms = frozenset(vms)
        self._founders = frozenset(founders)
        self._found_ms = found_ms
        self._found_incomplete_ms = now_ms + found_ms
        self._quorum_suffices_ms = now_ms + confirm_ms
        self._replies: dict[VmId, _Heard] = {}
        self._newest: dict[VmId, Member] = {identity.vm: identity}

    def record_incarnation(self, member: Member) -> None:
        """Record the newest incarnation of a VM that sent a `Hello`."""
        self._newest[member.vm] = member

    def record_reply(self, reply: HelloReply, first_only: bool, now_ms: int) -> None:
        """Record a peer's latest reply, or with `first_only` only its first one.

        The first reply already covers all that was acknowledged before the start; later ones
        would only raise the required position further. Replies from VMs that are not in the
        settings are ignored.
        """
        if reply.sender.vm not in self._vms:
            return
        self._newest[reply.sender.vm] = reply.sender
        if not first_only:
            self._replies.pop(reply.sender.vm, None)
        self._replies.setdefault(reply.sender.vm, _Heard(reply, now_ms))

    def first_members(self, now_ms: int) -> Members | None:
        """Return the first configuration if this replica should form the cluster, else None."""
        if not self.new or self._identity.vm not in self._founders:
            return None
        recent = self._recent_replies(now_ms)
        if any(reply.cluster != NO_CLUSTER for reply in recent):
            return None
        # A founder that lost its disk may have helped to acknowledge something before. Most of the
        # founders never held state, so no quorum of them ever did.
        new = {self._identity.vm, *(reply.sender.vm for reply in recent if reply.new)}
        if len(new) <= len(self._founders) // 2 or self._identity.vm != min(new):
            return None
        if new != self._founders and now_ms < self._found_incomplete_ms:
            return None
        unseen = {vm: Member(vm, NOT_SEEN) for vm in self._founders}
        return Members(tuple(sorted(self._newest.get(vm, unseen[vm]) for vm in self._founders)))

    def _recent_replies(self, now_ms: int) -> list[HelloReply]:
        return [
            heard.reply
            for vm, heard in self._replies.items()
            if vm in self._founders and now_ms - heard.at_ms < self._found_ms
        ]

    def accepts_form(self, form: Form) -> bool:
        """Return whether this replica is new and `form` is from its sender's newest incarnation."""
        return self.new and self._newest.get(form.sender.vm, form.sender) == form.sender

    def has_enough_replies(self, now_ms: int) -> bool:
        """Return whether enough peers replied for `min_last_entry` and `newest_peer_term`."""
        if self.confirmed:
            return True
        others = len(self._vms) - 1
        needed = (len(self._vms) // 2) if now_ms >= self._quorum_suffices_ms else others
        return len(self._replies) >= needed

    def min_last_entry(self) -> LastEntry:
        """Return the last entry a log must reach to hold all that this replica acknowledged."""
        if self.confirmed:
            return LastEntry(Term(0), 0)
        return max((h.reply.last for h in self._replies.values()), default=LastEntry(Term(0), 0))

    def newest_peer_term(self) -> Term:
        """Return the newest term in which this replica may have cast a vote that was lost."""
        if self.confirmed:
            return Term(0)
        return max((h.reply.term for h in self._replies.values()), default=Term(0))
