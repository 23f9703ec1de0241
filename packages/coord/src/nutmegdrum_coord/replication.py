"""The leader's side of the log: what each member has, and what to send it next."""

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import LogPosition, VmId
from nutmegdrum_coord.lease import Lease
from nutmegdrum_coord.logeffects import SendChunk
from nutmegdrum_coord.logmessages import (
    AppendReply,
    AppendRequest,
    Base,
    Entry,
    EntryKind,
    LastEntry,
    Mark,
    Member,
    SnapshotReply,
    SnapshotRequest,
    encode_members,
)
from nutmegdrum_coord.logstate import LogState, LogTiming
from nutmegdrum_coord.members import next_change, quorum

MAX_APPEND_BYTES = 1 << 20
MAX_APPEND_ENTRIES = 256
MAX_UNACKNOWLEDGED_ENTRIES = 1_024
START = LastEntry(0, 0)


class Progress:
    """What the leader knows of one other member.

    Attributes
    ----------
    match : LogPosition
        Position up to which the member's log is known to agree and to be synced.
    sent : LogPosition
        Position up to which entries were sent, in the hope that none is lost.
    heard_ms : int
        Time of the last reply, or of the first request if there is none.
    answered : bool
        Whether any reply has come.
    reset_ms : int
        Time at which `sent` was last lowered; refusals of older requests say nothing new.
    chunk : tuple of LogPosition and int
        Position of the snapshot that the member takes, and the offset that it wants next.
    mark : Mark or None
        Mark of the last reply.
    """

    def __init__(self, sent: LogPosition, now_ms: int):
        self.match = LogPosition(0)
        self.sent = sent
        self.heard_ms = now_ms
        self.answered = False
        self.reset_ms = now_ms
        self.chunk = (LogPosition(0), 0)
        self.chunk_sent_ms: int | None = None
        self.mark: Mark | None = None


class Leadership:
    """One replica's leadership in one term.

    Parameters
    ----------
    state : LogState
        The replica's own state.
    vms : collection of VmId or None
        VMs that are to keep the log; None until that is decided.
    """

    def __init__(
        self, state: LogState, vms: frozenset[VmId] | None, timing: LogTiming, now_ms: int
    ):
        self._state = state
        self._vms = vms
        self._timing = timing
        self._lease = Lease(state.identity, timing.election_timeout_ms)
        self._started_ms = now_ms
        self._started_at = state.entries.last_at
        self._next_heartbeat_ms = now_ms
        self._progress: dict[Member, Progress] = {}
        self._join_requests: dict[VmId, Member] = {}
        self._first = LogPosition(state.entries.last.position + 1)
        self.append(now_ms, EntryKind.NO_OP, b"")

    def append(self, now_ms: int, kind: EntryKind, data: bytes) -> Entry:
        """Add an entry to the own log; `flush` sends it."""
        state = self._state
        position = LogPosition(state.entries.last.position + 1)
        at = LogMs(self._started_at + now_ms - self._started_ms)
        entry = Entry(position, state.term, at, kind, data)
        state.save_entries([entry])
        return entry

    def serves(self, now_ms: int) -> bool:
        """Return whether the lease holds and all earlier leaders' entries are applied."""
        return now_ms < self.serves_until_ms(now_ms)

    def serves_until_ms(self, now_ms: int) -> int:
        """Return until when this replica may serve, in elapsed ms; 0 if not at all."""
        return self._lease_until_ms(now_ms) if self._state.commit >= self._first else 0

    def _lease_until_ms(self, now_ms: int) -> int:
        return self._lease.until_ms(self._state.entries.members.voters, now_ms)

    def is_lost(self, now_ms: int) -> bool:
        """Return whether no quorum has answered for so long that this replica must step down."""
        grace_ms = self._started_ms + self._timing.election_timeout_ms
        return now_ms >= max(grace_ms, self._lease_until_ms(now_ms))

    def acknowledged(self, member: Member) -> LogPosition:
        """Return the position up to which `member` has acknowledged entries in this term."""
        progress = self._progress.get(member)
        return progress.match if progress else LogPosition(0)

    def admit(self, member: Member) -> None:
        """Remember a replica that asked to be admitted."""
        if member not in self._state.entries.members.everyone():
            self._join_requests[member.vm] = member

    def set_vms(self, vms: frozenset[VmId]) -> None:
        """Replace the VMs that are to keep the log."""
        self._vms = vms

    def join_requests(self) -> frozenset[VmId]:
        """Return the VMs that asked to be admitted and are no members."""
        return frozenset(self._join_requests)

    def silent_ms(self, now_ms: int) -> dict[Member, int]:
        """Return for how long each other member has not been heard, in ms."""
        return {m: now_ms - self._progress_of(m, now_ms).heard_ms for m in self._others()}

    def tick(self, now_ms: int) -> None:
        """Send heartbeats that are due, and change the configuration if it is time to."""
        if now_ms < self._next_heartbeat_ms:
            return
        self._next_heartbeat_ms = now_ms + self._timing.heartbeat_ms
        self._change_members(now_ms)
        for member in self._others():
            self._send_append(member, now_ms)

    def flush(self, now_ms: int) -> None:
        """Send entries that were not sent yet, and commit what a quorum has."""
        self._advance_commit()
        last = self._state.entries.last.position
        for member in self._others():
            progress = self._progress_of(member, now_ms)
            known = self._state.entries.base.position <= progress.sent < last
            if known and _has_room(progress):
                self._send_append(member, now_ms)

    def on_append_reply(self, now_ms: int, reply: AppendReply) -> None:
        """Note what a member has, or where its log differs."""
        progress = self._record_reply(now_ms, reply.sender, reply.sent_ms)
        progress.mark = reply.mark
        if not reply.accepted:
            if reply.sent_ms >= progress.reset_ms:
                progress.reset_ms = now_ms
                progress.sent = max(progress.match, min(progress.sent, reply.position))
            return
        if reply.position > progress.match:
            progress.match = reply.position
            progress.chunk = (LogPosition(0), 0)
            progress.chunk_sent_ms = None
        progress.sent = max(progress.sent, progress.match)

    def on_snapshot_reply(self, now_ms: int, reply: SnapshotReply) -> None:
        """Send the next chunk, once for each that has arrived."""
        progress = self._record_reply(now_ms, reply.sender, reply.sent_ms)
        wanted = (reply.position, reply.offset)
        if progress.match >= reply.position or wanted == progress.chunk:
            return
        progress.chunk = wanted
        self._send_chunk(reply.sender, progress, now_ms)

    def _record_reply(self, now_ms: int, member: Member, sent_ms: int) -> Progress:
        progress = self._progress_of(member, now_ms)
        progress.heard_ms = now_ms
        progress.answered = True
        self._lease.acknowledge(member, sent_ms)
        return progress

    def _others(self) -> list[Member]:
        everyone = self._state.entries.members.everyone()
        return [member for member in everyone if member != self._state.identity]

    def _progress_of(self, member: Member, now_ms: int) -> Progress:
        progress = self._progress.get(member)
        if progress is None:
            before = max(self._first - 1, self._state.entries.base.position)
            progress = Progress(LogPosition(before), now_ms)
            self._progress[member] = progress
        return progress

    def _send_append(self, member: Member, now_ms: int) -> None:
        progress = self._progress_of(member, now_ms)
        entries = self._state.entries
        term = entries.term_at(progress.sent)
        if term is None:
            self._send_requests(member, START, [], now_ms)
            self._resend_chunk(member, progress, now_ms)
            return
        batch = self._next_batch(progress)
        self._send_requests(member, LastEntry(term, progress.sent), batch, now_ms)
        if batch:
            progress.sent = batch[-1].position

    def _next_batch(self, progress: Progress) -> list[Entry]:
        if not _has_room(progress):
            return []
        return self._state.entries.after(progress.sent, MAX_APPEND_BYTES, MAX_APPEND_ENTRIES)

    def _send_requests(
        self, member: Member, previous: LastEntry, entries: list[Entry], now_ms: int
    ) -> None:
        self._state.send(
            member,
            AppendRequest,
            previous=previous,
            entries=entries,
            commit=self._state.commit,
            sent_ms=now_ms,
            echo=self._progress_of(member, now_ms).mark,
        )

    def _resend_chunk(self, member: Member, progress: Progress, now_ms: int) -> None:
        sent_ms = progress.chunk_sent_ms
        if sent_ms is None or now_ms - sent_ms >= self._timing.election_timeout_ms:
            self._send_chunk(member, progress, now_ms)

    def _send_chunk(self, member: Member, progress: Progress, now_ms: int) -> None:
        progress.chunk_sent_ms = now_ms
        request = SnapshotRequest(
            cluster=self._state.ballot.cluster,
            sender=self._state.identity,
            to=member.incarnation,
            term=self._state.term,
            base=Base(),
            digest=0,
            offset=progress.chunk[1],
            size=0,
            data=b"",
            sent_ms=now_ms,
        )
        self._state.emit(SendChunk(member.vm, request))

    def _advance_commit(self) -> None:
        state = self._state
        members = state.entries.members
        matches = sorted((self._match(voter) for voter in members.voters), reverse=True)
        position = matches[quorum(members) - 1]
        if state.entries.term_at(position) == state.term:
            state.commit_upto(position)

    def _match(self, voter: Member) -> LogPosition:
        if voter == self._state.identity:
            return self._state.entries.last.position
        return self.acknowledged(voter)

    def _change_members(self, now_ms: int) -> None:
        entries = self._state.entries
        if self._vms is None or self._state.commit < max(self._first, entries.members_position):
            return
        members = entries.members
        everyone = members.everyone()
        self._join_requests = {vm: m for vm, m in self._join_requests.items() if m not in everyone}
        caught_up = [m for m in members.learners if self._is_caught_up(m, now_ms)]
        identity = self._state.identity
        silent, unresponsive = self._missing_voters(now_ms)
        change = next_change(
            members, self._vms, self._join_requests, caught_up, identity, silent, unresponsive
        )
        if change is not None:
            self.append(now_ms, EntryKind.MEMBERS, encode_members(change))

    def _missing_voters(self, now_ms: int) -> tuple[list[Member], list[Member]]:
        """Return the voters that are silent for good, and others that have not answered lately."""
        after_ms = self._timing.replace_after_ms
        silent: list[Member] = []
        unresponsive: list[Member] = []
        if after_ms is None:
            return silent, unresponsive
        for voter in self._state.entries.members.voters:
            if voter == self._state.identity or self._is_responsive(voter, now_ms):
                continue
            silent_ms = now_ms - self._progress_of(voter, now_ms).heard_ms
            (silent if silent_ms >= after_ms else unresponsive).append(voter)
        return silent, unresponsive

    def _is_responsive(self, member: Member, now_ms: int) -> bool:
        progress = self._progress_of(member, now_ms)
        recent = now_ms - progress.heard_ms < self._timing.election_timeout_ms
        return progress.answered and recent

    def _is_caught_up(self, member: Member, now_ms: int) -> bool:
        responsive = self._is_responsive(member, now_ms)
        return responsive and self.acknowledged(member) >= self._state.commit


def _has_room(progress: Progress) -> bool:
    return progress.sent - progress.match < MAX_UNACKNOWLEDGED_ENTRIES
