"""In-memory part of a replica's log: the entries after its snapshot."""

from collections.abc import Sequence

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import LogPosition, Term
from nutmegdrum_coord.logmessages import (
    Base,
    Entry,
    EntryKind,
    LastEntry,
    Members,
    decode_members,
)


class EntryList:
    """Entries after a base, at consecutive positions.

    Parameters
    ----------
    base : Base
        Last entry that was compacted away.
    entries : sequence of Entry
        Entries from the position after the base on.
    """

    def __init__(self, base: Base, entries: Sequence[Entry] = ()):
        self.base = base
        self._entries = list(entries)
        self._members: list[tuple[LogPosition, Members]] = []
        self._record_members(self._entries)

    @property
    def last(self) -> LastEntry:
        """Return term and position of the last entry."""
        if self._entries:
            return LastEntry(self._entries[-1].term, self._entries[-1].position)
        return LastEntry(self.base.term, self.base.position)

    @property
    def last_at(self) -> LogMs:
        """Return the log time of the last entry, in ms."""
        return self._entries[-1].at if self._entries else self.base.at

    @property
    def members(self) -> Members:
        """Return the configuration in force: the newest one, committed or not."""
        return self._members[-1][1] if self._members else self.base.members

    @property
    def members_position(self) -> LogPosition:
        """Return the position of the configuration in force."""
        return self._members[-1][0] if self._members else self.base.position

    def term_at(self, position: LogPosition) -> Term | None:
        """Return the term of the entry at `position`, or None if it is not known here."""
        if position == self.base.position:
            return self.base.term
        index = position - self.base.position - 1
        if 0 <= index < len(self._entries):
            return self._entries[index].term
        return None

    def at(self, position: LogPosition) -> Entry:
        """Return the entry at `position`, which lies after the base."""
        return self._entries[position - self.base.position - 1]

    def after(self, position: LogPosition, max_bytes: int, max_count: int) -> list[Entry]:
        """Return entries after `position` within the limits, at least one if there is any."""
        taken: list[Entry] = []
        size = 0
        start = position - self.base.position
        for index in range(start, min(start + max_count, len(self._entries))):
            entry = self._entries[index]
            size += len(entry.data)
            if taken and size > max_bytes:
                break
            taken.append(entry)
        return taken

    def between(self, after: LogPosition, upto: LogPosition) -> list[Entry]:
        """Return the entries after `after` up to `upto` inclusive."""
        start = after - self.base.position
        return self._entries[start : upto - self.base.position]

    def replace(self, entries: Sequence[Entry]) -> None:
        """Append `entries` in place of all entries from the first one's position on."""
        position = entries[0].position
        del self._entries[position - self.base.position - 1 :]
        while self._members and self._members[-1][0] >= position:
            self._members.pop()
        self._entries.extend(entries)
        self._record_members(entries)

    def base_at(self, position: LogPosition) -> Base:
        """Return the base that a snapshot taken at `position` has."""
        if position == self.base.position:
            return self.base
        entry = self.at(position)
        members = self.base.members
        for where, value in self._members:
            if where <= position:
                members = value
        return Base(position, entry.term, entry.at, members)

    def compact(self, base: Base) -> None:
        """Drop all entries up to `base`."""
        del self._entries[: base.position - self.base.position]
        self.base = base
        self._members = [pair for pair in self._members if pair[0] > base.position]

    def _record_members(self, entries: Sequence[Entry]) -> None:
        for entry in entries:
            if entry.kind is EntryKind.MEMBERS:
                self._members.append((entry.position, decode_members(entry.data)))
