"""Steps before a replica may vote: forming a cluster, joining one, or the check after a restart.

A replica with a new data folder belongs to no cluster. It forms one only if every replica named
in the settings replies that it belongs to none either; otherwise it waits to be admitted.

After a restart of its VM, a replica may be running on an older copy of its disk. It grants no
vote until it knows the last entry and the term of all other replicas. After that it votes only
for candidates whose log reaches the newest of those entries, and only in terms newer than all of
those terms: one of the others has seen whatever it acknowledged or voted for and then lost.
"""

from collections.abc import Collection

from nutmegdrum_coord.ids import Term, VmId
from nutmegdrum_coord.logeffects import Saved
from nutmegdrum_coord.logmessages import NO_CLUSTER, Form, HelloReply, LastEntry, Member, Members


class Joining:
    """Replies to this replica's `Hello`, and the decisions that depend on them.

    Parameters
    ----------
    vms : collection of VmId
        VMs of all state replicas, including this one.
    saved : Saved
        State loaded from the replica's files.
    confirm_ms : int
        Time after which the replies of a quorum suffice for the check, in ms.
    nonce : int
        Random number that identifies this start; replies to earlier starts are ignored.
    """

    def __init__(
        self,
        identity: Member,
        vms: Collection[VmId],
        saved: Saved,
        confirm_ms: int,
        nonce: int,
        now_ms: int,
    ):
        self.confirmed = saved.trusted
        self.new = saved.new
        self.nonce = nonce
        self._identity = identity
        self._vms = frozenset(vms)
        self._quorum_suffices_ms = now_ms + confirm_ms
        self._replies: dict[VmId, HelloReply] = {}
        self._newest: dict[VmId, Member] = {identity.vm: identity}

    def record_incarnation(self, member: Member) -> None:
        """Record the newest incarnation of a VM that sent a `Hello`."""
        self._newest[member.vm] = member

    def record_reply(self, reply: HelloReply, first_only: bool) -> None:
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
        self._replies.setdefault(reply.sender.vm, reply)

    def founders(self) -> Members | None:
        """Return the first configuration if this replica should form the cluster, else None."""
        others = self._vms - {self._identity.vm}
        if self._identity.vm != min(self._vms) or others - self._replies.keys():
            return None
        formed = any(reply.cluster != NO_CLUSTER for reply in self._replies.values())
        if formed or not self.new or not all(reply.new for reply in self._replies.values()):
            return None
        return Members(tuple(sorted(self._newest[vm] for vm in self._vms)))

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
        return max((r.last for r in self._replies.values()), default=LastEntry(Term(0), 0))

    def newest_peer_term(self) -> Term:
        """Return the newest term in which this replica may have cast a vote that was lost."""
        if self.confirmed:
            return Term(0)
        return max((r.term for r in self._replies.values()), default=Term(0))
