"""The follower's side of the log: what it takes from the leader."""

from nutmegdrum_coord.entries import EntryList
from nutmegdrum_coord.ids import LogPosition
from nutmegdrum_coord.logeffects import InstallSnapshot, SaveChunk
from nutmegdrum_coord.logmessages import (
    AppendReply,
    AppendRequest,
    Base,
    Entry,
    LastEntry,
    Mark,
    SnapshotReply,
    SnapshotRequest,
)
from nutmegdrum_coord.logstate import LogState


class Following:
    """Log and arriving snapshot of a replica that follows a leader.

    Parameters
    ----------
    state : LogState
        The replica's own state.
    """

    def __init__(self, state: LogState):
        self._state = state
        self._incoming: tuple[Base, int] | None = None
        self._received_bytes = 0

    def append(self, req: AppendRequest, mark: Mark) -> None:
        """Take entries of the current leader and answer once they are saved."""
        agreed = self._agreed(req.previous)
        if not agreed:
            self._reply(req, False, self._retry_after(req.previous), mark)
            return
        upto = LogPosition(req.previous.position + len(req.entries))
        new = self._missing(req.entries)
        if new:
            self._state.save_entries(new)
        upto = max(upto, self._state.entries.base.position)
        self._state.commit_upto(min(req.commit, upto))
        self._reply(req, True, upto, mark)

    def _agreed(self, previous: LastEntry) -> bool:
        entries = self._state.entries
        if previous.position <= self._state.commit:
            return True
        return entries.term_at(previous.position) == previous.term

    def _retry_after(self, previous: LastEntry) -> LogPosition:
        """Return the last position before `previous` that may agree."""
        entries = self._state.entries
        position = min(entries.last.position, LogPosition(previous.position - 1))
        term = entries.term_at(position)
        while position > self._state.commit and entries.term_at(position) == term != previous.term:
            position = LogPosition(position - 1)
        return max(position, self._state.commit)

    def _missing(self, entries: list[Entry]) -> list[Entry]:
        """Return the entries from the first on that the own log lacks or has otherwise."""
        own = self._state.entries
        for index, entry in enumerate(entries):
            if entry.position <= self._state.commit:
                continue
            if own.term_at(entry.position) != entry.term:
                return entries[index:]
        return []

    def _reply(self, req: AppendRequest, accepted: bool, position: LogPosition, mark: Mark) -> None:
        self._state.send(
            req.sender,
            AppendReply,
            accepted=accepted,
            position=position,
            sent_ms=req.sent_ms,
            mark=mark,
        )

    def receive_chunk(self, req: SnapshotRequest) -> None:
        """Take a chunk of the leader's snapshot, and install the whole after the last one."""
        base = req.base
        if self._has(base):
            self._state.commit_upto(base.position)
            self._reply_position(req, base.position)
            return
        if self._incoming != (base, req.digest):
            self._incoming = (base, req.digest)
            self._received_bytes = 0
        if req.offset == self._received_bytes:
            self._state.emit(SaveChunk(base, req.offset, req.data))
            self._received_bytes += len(req.data)
        if self._received_bytes == req.size:
            self._install(base, req.digest)
            self._reply_position(req, base.position)
            return
        self._state.send(
            req.sender,
            SnapshotReply,
            position=base.position,
            offset=self._received_bytes,
            sent_ms=req.sent_ms,
        )

    def _has(self, base: Base) -> bool:
        if base.position <= self._state.commit:
            return True
        return self._state.entries.term_at(base.position) == base.term

    def _install(self, base: Base, digest: int) -> None:
        self._incoming = None
        self._state.entries = EntryList(base)
        self._state.commit = base.position
        self._state.emit(InstallSnapshot(base, digest))

    def _reply_position(self, req: SnapshotRequest, position: LogPosition) -> None:
        self._state.send(
            req.sender, AppendReply, accepted=True, position=position, sent_ms=req.sent_ms
        )
