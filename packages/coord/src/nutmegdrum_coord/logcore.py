"""Raft-style consensus of one replica, as a state machine without I/O.

The caller passes in messages, proposals and the time, and carries out the returned effects: it
first writes and syncs all saves of a batch, then sends messages and applies entries. A message
therefore never claims anything that is not yet on disk.
"""

import random
from collections.abc import Callable, Collection
from typing import Any

from nutmegdrum_coord.election import Election, Phase
from nutmegdrum_coord.following import Following
from nutmegdrum_coord.ids import IncarnationId, LogPosition, Term, VmId
from nutmegdrum_coord.joining import Joining
from nutmegdrum_coord.logeffects import (
    Ballot,
    Compacted,
    Effect,
    MarkTrusted,
    Retire,
    Saved,
)
from nutmegdrum_coord.logmessages import (
    ANY_INCARNATION,
    NO_CLUSTER,
    AnyMessage,
    AppendReply,
    AppendRequest,
    Entry,
    EntryKind,
    Form,
    Hello,
    HelloReply,
    LastEntry,
    Mark,
    Member,
    Members,
    Message,
    SnapshotReply,
    SnapshotRequest,
    VoteReply,
    VoteRequest,
    decode_members,
    encode_members,
)
from nutmegdrum_coord.logstate import LogState, LogTiming
from nutmegdrum_coord.replication import Leadership

NOBODY = Member(VmId(""), IncarnationId(""))
"""Stored as the vote when the replica may have voted in the term but no longer knows for whom."""

CLUSTER_ID_BITS = 64
NONCE_BITS = 63


class LogCore:
    """Consensus state and message handlers of one replica.

    Parameters
    ----------
    identity : Member
        This replica.
    vms : collection of VmId
        VMs of all state replicas according to the settings, including this one.
    saved : Saved
        State loaded from this replica's files.
    founders : collection of VmId or None
        VMs that may form a new cluster, the same ones on all replicas; None for `vms`.
    """

    def __init__(
        self,
        identity: Member,
        vms: Collection[VmId],
        timing: LogTiming,
        rng: random.Random,
        saved: Saved,
        now_ms: int,
        founders: Collection[VmId] | None = None,
    ):
        self.identity = identity
        self.state = LogState(identity, saved)
        self.leader: Member | None = None
        self.retired = False
        self._vms = frozenset(vms) | {identity.vm}
        self._timing = timing
        self._rng = rng
        self._election = Election(timing.election_timeout_ms, rng, now_ms)
        nonce = rng.getrandbits(NONCE_BITS)
        self._joining = Joining(
            identity,
            self._vms,
            self._vms if founders is None else founders,
            saved,
            timing.confirm_ms,
            timing.found_ms,
            nonce,
            now_ms,
        )
        self._following = Following(self.state)
        self._leadership: Leadership | None = None
        self._next_hello_ms = now_ms
        self._caught_up_ms: int | None = None
        self._reported_leader: VmId | None = None
        self._handlers: dict[type, Callable[[int, Any], None]] = {
            VoteRequest: self._on_vote_request,
            VoteReply: self._on_vote_reply,
            AppendRequest: self._on_append_request,
            AppendReply: self._on_append_reply,
            SnapshotRequest: self._on_snapshot_request,
            SnapshotReply: self._on_snapshot_reply,
            Hello: self._on_hello,
            HelloReply: self._on_hello_reply,
            Form: self._on_form,
        }

    @property
    def leads(self) -> bool:
        """Return whether this replica is the leader of its term, with or without a valid lease."""
        return self._leadership is not None

    @property
    def may_vote(self) -> bool:
        """Return whether this replica has passed the check after a VM restart."""
        return self._joining.confirmed and not self.retired

    @property
    def members(self) -> Members:
        """Return the current configuration."""
        return self.state.entries.members

    def set_vms(self, vms: Collection[VmId]) -> None:
        """Set the VMs that should host the log; the leader changes the members one at a time.

        The VMs that may form a new cluster remain the founders. Where replicas are replaced at
        run time, the call applies to the current leadership only, and a leader makes no change
        before it.
        """
        self._vms = frozenset(vms) | {self.identity.vm}
        if self._leadership is not None:
            self._leadership.set_vms(self._vms)

    def join_requests(self) -> frozenset[VmId]:
        """Return the VMs that asked this leader for admission; empty if it does not lead."""
        return self._leadership.join_requests() if self._leadership is not None else frozenset()

    def silent_ms(self, now_ms: int) -> dict[Member, int]:
        """Return the time since this leader last had a reply from each other member, in ms."""
        return self._leadership.silent_ms(now_ms) if self._leadership is not None else {}

    def serves(self, now_ms: int) -> bool:
        """Return whether this replica leads, its lease is valid and its state is complete."""
        return self._leadership is not None and self._leadership.serves(now_ms)

    @property
    def caught_up_ms(self) -> int | None:
        """Return the elapsed time in ms up to which this follower has all committed entries.

        Entries committed later may be missing. None if it has not caught up since it started.
        """
        return self._caught_up_ms

    def serves_until_ms(self, now_ms: int) -> int:
        """Return the elapsed time in ms until which this replica may serve; 0 if it may not."""
        return self._leadership.serves_until_ms(now_ms) if self._leadership else 0

    def tick(self, now_ms: int) -> list[Effect]:
        """Run what is due: heartbeats, elections, stepping down."""
        if not self.retired:
            self._tick(now_ms)
        return self.state.take_effects()

    def receive(self, now_ms: int, message: AnyMessage) -> list[Effect]:
        """Handle one message; duplicate, stale and foreign messages have no effect."""
        self._note_leader(message)
        if not self.retired and self._is_for_us(message):
            self._leave_leaderless(now_ms, message)
            self._admit_term(now_ms, message)
            self._handlers[type(message)](now_ms, message)
        return self.state.take_effects()

    def propose(self, now_ms: int, command: bytes) -> Entry | None:
        """Append a command, or return None if this replica may not serve now.

        `flush` returns the effects.
        """
        if self._leadership is None or not self._leadership.serves(now_ms):
            return None
        return self._leadership.append(now_ms, EntryKind.COMMAND, command)

    def flush(self, now_ms: int) -> list[Effect]:
        """Send the entries appended since the last flush, and commit those a quorum has."""
        if self._leadership is not None:
            self._leadership.flush(now_ms)
        return self.state.take_effects()

    def compact(self, position: LogPosition, keep: int) -> Compacted:
        """Drop the entries covered by a snapshot at `position`, except the last `keep` of them."""
        entries = self.state.entries
        start = max(entries.base.position, LogPosition(position - keep))
        entries.compact(entries.base_at(start))
        return Compacted(entries.base, entries.between(start, entries.last.position))

    def _note_leader(self, message: Message) -> None:
        """Note a leader that writes to an earlier incarnation of this VM, to ask it for admission.

        After the loss of a disk, all VMs of the settings may be gone.
        """
        is_leaders = isinstance(message, AppendRequest | SnapshotRequest)
        if is_leaders and self.state.ballot.cluster == NO_CLUSTER:
            self._reported_leader = message.sender.vm

    def _is_for_us(self, message: Message) -> bool:
        if message.sender == self.identity:
            return False
        if message.to not in (ANY_INCARNATION, self.identity.incarnation):
            return False
        own = self.state.ballot.cluster
        if own == message.cluster:
            return True
        may_join = own == NO_CLUSTER or self.state.is_tentative
        if isinstance(message, Hello | HelloReply):
            return may_join or message.cluster == NO_CLUSTER
        return may_join and isinstance(message, AppendRequest | SnapshotRequest | Form)

    def _leave_leaderless(self, now_ms: int, message: Message) -> None:
        """Leave a cluster that has no leader if the message is from a leader of another one.

        The quorums of the two overlap, and this replica acknowledged nothing in its own.
        """
        ballot = self.state.ballot
        if ballot.cluster in (NO_CLUSTER, message.cluster):
            return
        if isinstance(message, AppendRequest | SnapshotRequest):
            self._election.cancel()
            self._follow(now_ms, None)
            self.state.drop_entries()
            self.state.save_ballot(Ballot(message.cluster, ballot.term, ballot.vote))

    def _admit_term(self, now_ms: int, message: Message) -> None:
        """Adopt a newer term if the message calls for it."""
        if isinstance(message, Hello | HelloReply | Form | VoteRequest):
            return
        if isinstance(message, VoteReply) and message.granted:
            return
        if message.term > self.state.term:
            self._enter_term(now_ms, message.term)

    def _enter_term(self, now_ms: int, term: Term) -> None:
        self._follow(now_ms, None)
        self._election.cancel()
        self.state.save_ballot(Ballot(self.state.ballot.cluster, term, None))

    def _follow(self, now_ms: int, leader: Member | None) -> None:
        if self._leadership is not None:
            self._leadership = None
            self._election.reset(now_ms)
        self.leader = leader

    def _tick(self, now_ms: int) -> None:
        self._send_hello(now_ms)
        if self.state.ballot.cluster == NO_CLUSTER:
            self._form(now_ms)
            return
        self._confirm(now_ms)
        if self._leadership is not None:
            self._lead(now_ms)
        elif self._election.is_due(now_ms):
            self._campaign(now_ms, Phase.PRE_VOTES)

    def _lead(self, now_ms: int) -> None:
        assert self._leadership is not None
        if self._leadership.is_lost(now_ms):
            self._follow(now_ms, None)
            return
        self._leadership.tick(now_ms)
        self._leadership.flush(now_ms)

    def _send_hello(self, now_ms: int) -> None:
        tentative = self.state.is_tentative
        admitted = self.identity in self.members.voters and not tentative
        if now_ms < self._next_hello_ms or (admitted and self._joining.confirmed):
            return
        # Other clusters answer only to replicas that belong to none.
        cluster = NO_CLUSTER if tentative else self.state.ballot.cluster
        self._next_hello_ms = now_ms + self._timing.heartbeat_ms
        recipients = (
            self._vms if self._reported_leader is None else self._vms | {self._reported_leader}
        )
        for vm in sorted(recipients - {self.identity.vm}):
            self.state.send_vm(
                vm,
                ANY_INCARNATION,
                Hello,
                cluster=cluster,
                last=self.state.entries.last,
                nonce=self._joining.nonce,
            )

    def _form(self, now_ms: int) -> None:
        members = self._joining.first_members(now_ms)
        if members is None:
            return
        cluster = f"{self._rng.getrandbits(CLUSTER_ID_BITS):016x}"
        self._found(now_ms, cluster, members)

    def _found(self, now_ms: int, cluster: str, members: Members) -> None:
        self.state.save_ballot(Ballot(cluster, Term(0), None))
        first = Entry(LogPosition(1), Term(0), 0, EntryKind.MEMBERS, encode_members(members))
        self.state.save_entries([first])
        self._election.reset(now_ms)
        self._offer_form()

    def _offer_form(self) -> None:
        for member in self.members.voters:
            if member != self.identity:
                self.state.send(member, Form, members=self.members)

    def _confirm(self, now_ms: int) -> None:
        joining = self._joining
        if joining.confirmed or not joining.has_enough_replies(now_ms):
            return
        if self.state.entries.last < joining.min_last_entry():
            return
        peer_term = joining.newest_peer_term()
        if peer_term >= self.state.term:
            vote = self.state.ballot.vote if peer_term == self.state.term else None
            self.state.save_ballot(Ballot(self.state.ballot.cluster, peer_term, vote or NOBODY))
        joining.confirmed = True
        self.state.emit(MarkTrusted())

    def _campaign(self, now_ms: int, phase: Phase) -> None:
        self._election.reset(now_ms)
        if self.identity not in self.members.voters or not self._joining.confirmed:
            return
        self._follow(now_ms, None)
        asked = Term(self.state.term + 1)
        if phase is Phase.VOTES:
            self.state.save_ballot(Ballot(self.state.ballot.cluster, asked, self.identity))
        self._election.campaign(phase, self.identity, now_ms)
        for member in self.members.voters:
            if member != self.identity:
                pre = phase is Phase.PRE_VOTES
                last = self.state.entries.last
                self.state.send(member, VoteRequest, term=asked, pre=pre, last=last)
        self._count_votes(now_ms)

    def _count_votes(self, now_ms: int) -> None:
        if not self._election.is_won(self.members):
            return
        if self._election.phase is Phase.PRE_VOTES:
            self._campaign(now_ms, Phase.VOTES)
        elif self._election.phase is Phase.VOTES:
            self._become_leader(now_ms)

    def _become_leader(self, now_ms: int) -> None:
        self._election.reset(now_ms)
        self.leader = self.identity
        # Where replicas are replaced at run time, the VMs of the settings may be out of date.
        replaced = self._timing.replace_after_ms is not None
        vms = None if replaced else self._vms
        self._leadership = Leadership(self.state, vms, self._timing, now_ms)
        self._leadership.tick(now_ms)
        self._leadership.flush(now_ms)

    def _on_vote_request(self, now_ms: int, req: VoteRequest) -> None:
        if self._leadership is not None:
            # A replica that was replaced while it was down does not know that it must rejoin.
            self._leadership.admit(req.sender)
        granted = self._may_grant(now_ms, req)
        if granted and not req.pre:
            if req.term > self.state.term:
                self._enter_term(now_ms, req.term)
            ballot = Ballot(self.state.ballot.cluster, req.term, req.sender)
            self.state.save_ballot(ballot)
            self._election.reset(now_ms)
        self.state.send(req.sender, VoteReply, pre=req.pre, asked=req.term, granted=granted)

    def _may_grant(self, now_ms: int, req: VoteRequest) -> bool:
        if self._leadership is not None or self._election.has_promised(now_ms):
            return False
        if (
            not self._joining.has_enough_replies(now_ms)
            or req.term <= self._joining.newest_peer_term()
        ):
            return False
        if req.last < max(self.state.entries.last, self._joining.min_last_entry()):
            return False
        if req.term == self.state.term:
            return not req.pre and self.state.ballot.vote in (None, req.sender)
        return req.term > self.state.term

    def _on_vote_reply(self, now_ms: int, reply: VoteReply) -> None:
        if not reply.granted:
            return
        phase = Phase.PRE_VOTES if reply.pre else Phase.VOTES
        campaign_term = self.state.term + (1 if reply.pre else 0)
        if self._election.phase is phase and reply.asked == campaign_term:
            self._election.count(reply.sender)
            self._count_votes(now_ms)

    def _accept_leader(self, now_ms: int, req: AppendRequest | SnapshotRequest) -> bool:
        """Follow the sender if its term is current; otherwise reply with the newer term."""
        if req.term < self.state.term:
            self.state.send(
                req.sender,
                AppendReply,
                accepted=False,
                position=LogPosition(0),
                sent_ms=req.sent_ms,
            )
            return False
        if self.state.ballot.cluster == NO_CLUSTER:
            self.state.save_ballot(Ballot(req.cluster, req.term, None))
        self._follow(now_ms, req.sender)
        self._election.record_leader_contact(now_ms)
        return True

    def _on_append_request(self, now_ms: int, req: AppendRequest) -> None:
        if self._accept_leader(now_ms, req):
            self._following.append(req, Mark(self._joining.nonce, now_ms))
            self._update_caught_up(req)

    def _update_caught_up(self, req: AppendRequest) -> None:
        """Advance `caught_up_ms` to the time of the echo, as the request may have been delayed."""
        if req.echo is None or req.echo.start != self._joining.nonce:
            return
        # A leader that has committed nothing in its term may not know the true commit position.
        leader_knows = self.state.entries.term_at(req.commit) == req.term
        if leader_knows and self.state.commit >= req.commit:
            self._caught_up_ms = max(self._caught_up_ms or 0, req.echo.ms)

    def _on_snapshot_request(self, now_ms: int, req: SnapshotRequest) -> None:
        if self._accept_leader(now_ms, req):
            self._following.receive_chunk(req)

    def _on_append_reply(self, now_ms: int, reply: AppendReply) -> None:
        if self._leadership is not None and reply.term == self.state.term:
            self._leadership.on_append_reply(now_ms, reply)

    def _on_snapshot_reply(self, now_ms: int, reply: SnapshotReply) -> None:
        if self._leadership is not None and reply.term == self.state.term:
            self._leadership.on_snapshot_reply(now_ms, reply)

    def _on_hello(self, now_ms: int, hello: Hello) -> None:
        self._joining.record_incarnation(hello.sender)
        acknowledged = LogPosition(0)
        if self._leadership is not None:
            acknowledged = self._leadership.acknowledged(hello.sender)
            self._leadership.admit(hello.sender)
        if hello.cluster == NO_CLUSTER and hello.sender in self.members.voters:
            self._offer_form_to(hello.sender)
        self.state.send(
            hello.sender,
            HelloReply,
            nonce=hello.nonce,
            last=self.state.entries.last,
            acknowledged=acknowledged,
            new=self._joining.new,
            leader=self.leader.vm if self.leader is not None else VmId(""),
        )

    def _offer_form_to(self, member: Member) -> None:
        """Send a voter the first configuration, as its `Form` may have been lost."""
        entries = self.state.entries
        members = Members()
        if entries.base.position == 0:
            members = decode_members(entries.at(LogPosition(1)).data)
        self.state.send(member, Form, members=members)

    def _on_hello_reply(self, now_ms: int, reply: HelloReply) -> None:
        if reply.nonce != self._joining.nonce:
            return
        self._reported_leader = reply.leader or self._reported_leader
        if self._has_lost_entries(reply):
            self.retired = True
            self._follow(now_ms, None)
            self.state.emit(Retire())
            return
        first_only = self.state.ballot.cluster != NO_CLUSTER
        self._joining.record_reply(reply, first_only, now_ms)

    def _has_lost_entries(self, reply: HelloReply) -> bool:
        if reply.acknowledged == 0 or reply.term < self.state.term:
            return False
        newest = LastEntry(self.state.term, self.state.entries.last.position)
        return newest < LastEntry(reply.term, reply.acknowledged)

    def _on_form(self, now_ms: int, form: Form) -> None:
        if not self._prefers(form) or not self._joining.accepts_form(form):
            return
        if form.members.voters:
            self._found(now_ms, form.cluster, form.members)
        else:
            self.state.save_ballot(Ballot(form.cluster, Term(0), None))

    def _prefers(self, form: Form) -> bool:
        """Return whether to join the cluster of `form`.

        Of several clusters without a leader, all replicas that have not voted prefer the lowest.
        """
        ballot = self.state.ballot
        if ballot.cluster == NO_CLUSTER:
            return True
        voted = ballot.term > 0 or ballot.vote is not None
        return bool(form.members.voters) and not voted and form.cluster < ballot.cluster
