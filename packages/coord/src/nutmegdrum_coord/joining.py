"""What a replica does before it may vote: forming a cluster, joining one, or a check.

A replica with a new data folder belongs to no cluster. It forms one only if every replica of
the settings answers that it belongs to none either; otherwise it waits to be admitted.

A replica whose VM was restarted may have got an older copy of its disk. It votes for nobody
until it knows the last entry and the term of all others, and then only for candidates whose
log reaches the newest of these, in terms that are newer than all of these: whatever it may
have acknowledged or voted for, and forgotten, one of the others has seen.
"""

from collections.abc import Collection

from nutmegdrum_coord.ids import Term, VmId
from nutmegdrum_coord.logeffects import Saved
from nutmegdrum_coord.logmessages import NO_CLUSTER, Form, HelloReply, LastEntry, Member, Members


class Joining:
    """Answers to this replica's `Hello`, and what they allow.

    Parameters
    ----------
    vms : collection of VmId
        VMs of all state replicas, this one included.
    saved : Saved
        What the replica's files hold.
    confirm_ms : int
        Time after which the answers of a quorum are enough for the check, in ms.
    nonce : int
        Number that tells apart the answers to this start's questions and earlier ones.
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
        """Remember the newest incarnation of a VM that said hello."""
        self._newest[member.vm] = member

    def record_reply(self, reply: HelloReply, first_only: bool) -> None:
        """Remember a peer's answer, or with `first_only` each peer's first one.

        The first one is newer than all that was acknowledged before the start; later ones
        would only move the goal. A VM that the settings do not name does not count.
        """
        if reply.sender.vm not in self._vms:
            return
        self._newest[reply.sender.vm] = reply.sender
        if not first_only:
            self._replies.pop(reply.sender.vm, None)
        self._replies.setdefault(reply.sender.vm, reply)

    def founders(self) -> Members | None:
        """Return the first configuration if this replica is the one to form the cluster."""
        others = self._vms - {self._identity.vm}
        if self._identity.vm != min(self._vms) or others - self._replies.keys():
            return None
        formed = any(reply.cluster != NO_CLUSTER for reply in self._replies.values())
        if formed or not self.new or not all(reply.new for reply in self._replies.values()):
            return None
        return Members(tuple(sorted(self._newest[vm] for vm in self._vms)))

    def accepts_form(self, form: Form) -> bool:
        """Return whether `form` comes from a replica whose VM has not lost that disk since."""
        return self.new and self._newest.get(form.sender.vm, form.sender) == form.sender

    def has_enough_replies(self, now_ms: int) -> bool:
        """Return whether enough peers replied for `min_last_entry` and `newest_peer_term`."""
        if self.confirmed:
            return True
        others = len(self._vms) - 1
        needed = (len(self._vms) // 2) if now_ms >= self._quorum_suffices_ms else others
        return len(self._replies) >= needed

    def min_last_entry(self) -> LastEntry:
        """Return the last entry that a log needs to hold all that was acknowledged here."""
        if self.confirmed:
            return LastEntry(Term(0), 0)
        return max((r.last for r in self._replies.values()), default=LastEntry(Term(0), 0))

    def newest_peer_term(self) -> Term:
        """Return the newest term in which this replica may have voted and forgotten it."""
        if self.confirmed:
            return Term(0)
        return max((r.term for r in self._replies.values()), default=Term(0))
