"""State of the copies that this VM's streams have at other VMs.

Each holder has a cursor in each stream. A stream's tokens are held once the cursors of all its
live holders have passed them. A holder that does not answer is replaced by another one, which
gets a whole copy.
"""

from collections import defaultdict
from collections.abc import Callable, Sequence
from typing import NamedTuple

from nutmegdrum_coord.ids import Epoch, GenerationId, IdempotencyKey, VmId, WorkspaceId
from nutmegdrum_wire.gen.messages.ttypes import (
    AppendResult,
    StreamAppend,
    StreamCopy,
    StreamOpen,
)

from nutmegdrum.holders import HolderChoice
from nutmegdrum.journal_messages import Snapshot, StreamHead, encode_head, encode_snapshot

NEVER = 1 << 62
"""Number of a submission that was not made."""


class Cursor:
    """How far one holder's copy of one stream is.

    Attributes
    ----------
    length : int or None
        Tokens that the holder has; None if it must get a snapshot first.
    number : int
        Last submission that the holder has confirmed.
    """

    __slots__ = ("length", "number")

    def __init__(self, length: int | None = None, number: int = -1):
        self.length = length
        self.number = number


class JournalledStream:
    """One stream of this VM, as its holders should have it.

    Parameters
    ----------
    tokens : list of str
        The stream's own list, which only grows.
    notify : callable
        Called when the holders have confirmed more, or another VM has the stream.

    Attributes
    ----------
    number : int
        Submissions so far.
    confirmed : int
        Last submission that all holders have confirmed.
    held_length : int
        Tokens that all holders have, or had before one of them was replaced.
    superseded : bool
        Whether another VM has taken the stream over.
    """

    def __init__(
        self,
        generation: GenerationId,
        workspace: WorkspaceId,
        key: IdempotencyKey,
        epoch: Epoch,
        head: StreamHead,
        tokens: list[str],
        notify: Callable[[], None],
        finish_reason: str = "",
    ):
        self.generation = generation
        self.workspace = workspace
        self.key = key
        self.epoch = epoch
        self.head = head
        self.tokens = tokens
        self.finish_reason = finish_reason
        self.superseded = False
        self.number = 0
        self.head_number = 0
        self.finish_number = 0 if finish_reason else NEVER
        self.confirmed = -1
        self.length = len(tokens)
        self.held_length = 0
        self.cursors: dict[VmId, Cursor] = {}
        self.notify = notify

    @property
    def finish_held(self) -> bool:
        """Return whether all holders know that the stream has finished."""
        return self.confirmed >= self.finish_number


class Mark(NamedTuple):
    """State of a stream at the time when it was sent to a holder."""

    stream: JournalledStream
    length: int
    number: int


class Work(NamedTuple):
    """What one holder must get next; marks stand for opens first, then for appends."""

    opens: list[StreamOpen]
    appends: list[StreamAppend]
    opened: list[Mark]
    appended: list[Mark]

    def __bool__(self) -> bool:
        return bool(self.opens or self.appends)


class JournalWriter:
    """State machine of all copies of one VM's streams.

    Parameters
    ----------
    vm : VmId
        This VM.
    copies : int
        Holders of each stream.
    wake : callable
        Called with a holder when there is work for it.
    """

    def __init__(
        self, vm: VmId, choice: HolderChoice, copies: int, wake: Callable[[VmId], None]
    ) -> None:
        self._vm = vm
        self._choice = choice
        self._copies = copies
        self._wake = wake
        self._dirty: defaultdict[VmId, set[JournalledStream]] = defaultdict(set)
        self._streams: dict[GenerationId, JournalledStream] = {}
        self.down: set[VmId] = set()
        self.replaced = 0

    def start(self, stream: JournalledStream, holders: Sequence[VmId]) -> None:
        """Copy a stream to `holders`, and to others if these are too few or down."""
        self._streams[stream.generation] = stream
        live = [vm for vm in holders if vm not in self.down and vm != self._vm]
        for vm in self._choice.choose(self._copies, self.down, live):
            self._add(stream, vm)
        self._settle(stream)

    def stop(self, stream: JournalledStream) -> None:
        """Forget a stream; its copies stay until they expire."""
        if self._streams.get(stream.generation) is stream:
            del self._streams[stream.generation]
        for vm in stream.cursors:
            self._dirty[vm].discard(stream)

    def submit(self, stream: JournalledStream, finish_reason: str = "") -> None:
        """Ask the holders to take what was added to the stream's tokens.

        Without new tokens the holders confirm that the stream still has the newest epoch.
        """
        if stream.superseded:
            return
        stream.number += 1
        stream.length = len(stream.tokens)
        if finish_reason:
            stream.finish_reason = finish_reason
            stream.finish_number = stream.number
        for vm in stream.cursors:
            self._mark(stream, vm)
        self._settle(stream)

    def replace_head(self, stream: JournalledStream, head: StreamHead) -> None:
        """Give a stream another head, which the holders get with a snapshot."""
        stream.head = head
        stream.number += 1
        stream.head_number = stream.number
        for vm, cursor in stream.cursors.items():
            cursor.length = None
            self._mark(stream, vm)
        self._settle(stream)

    def next_batch(self, vm: VmId) -> Work:
        """Return what `vm` must get next."""
        work = Work([], [], [], [])
        for stream in self._dirty.pop(vm, ()):
            cursor = stream.cursors[vm]
            mark = Mark(stream, stream.length, stream.number)
            if cursor.length is None:
                work.opens.append(self._open_message(stream))
                work.opened.append(mark)
            else:
                work.appends.append(_append_message(stream, cursor.length))
                work.appended.append(mark)
        return work

    def on_opened(self, vm: VmId, mark: Mark, copy: StreamCopy) -> None:
        """Take a holder's answer to a snapshot."""
        cursor = mark.stream.cursors.get(vm)
        if cursor is None:
            return
        if copy.generation != mark.stream.generation:
            mark.stream.key = IdempotencyKey("")
            self._mark(mark.stream, vm)
        elif copy.epoch > mark.stream.epoch:
            self._supersede(mark.stream)
        elif mark.number >= mark.stream.head_number:
            self._advance(cursor, mark)

    def on_appended(self, vm: VmId, marks: Sequence[Mark], results: Sequence[AppendResult]) -> None:
        """Take a holder's answers to appends."""
        for mark, result in zip(marks, results, strict=True):
            cursor = mark.stream.cursors.get(vm)
            if cursor is None:
                continue
            if result.epoch > mark.stream.epoch:
                self._supersede(mark.stream)
            elif cursor.length is None:
                continue
            elif result.accepted:
                self._advance(cursor, mark)
            else:
                cursor.length = None
                self._mark(mark.stream, vm)

    def on_holder_lost(self, vm: VmId) -> None:
        """Replace a holder that did not answer, in all streams, and ask it no more."""
        self.down.add(vm)
        self._dirty.pop(vm, None)
        for stream in list(self._streams.values()):
            if stream.cursors.pop(vm, None) is not None:
                self.replaced += 1
                self._fill(stream)
                self._settle(stream)

    def on_holder_back(self, vm: VmId) -> None:
        """Use a VM as a holder again, first for the streams that have too few."""
        self.down.discard(vm)
        for stream in list(self._streams.values()):
            self._fill(stream)

    def _fill(self, stream: JournalledStream) -> None:
        holders = list(stream.cursors)
        for vm in self._choice.choose(self._copies, self.down, holders)[len(holders) :]:
            self._add(stream, vm)

    def _add(self, stream: JournalledStream, vm: VmId) -> None:
        stream.cursors[vm] = Cursor()
        self._mark(stream, vm)

    def _mark(self, stream: JournalledStream, vm: VmId) -> None:
        if stream.superseded:
            return
        self._dirty[vm].add(stream)
        self._wake(vm)

    def _advance(self, cursor: Cursor, mark: Mark) -> None:
        cursor.length = mark.length if cursor.length is None else max(cursor.length, mark.length)
        cursor.number = max(cursor.number, mark.number)
        self._settle(mark.stream)

    def _settle(self, stream: JournalledStream) -> None:
        if stream.superseded:
            return
        cursors = stream.cursors.values()
        confirmed = min((cursor.number for cursor in cursors), default=stream.number)
        length = min((cursor.length or 0 for cursor in cursors), default=stream.length)
        if confirmed <= stream.confirmed and length <= stream.held_length:
            return
        stream.confirmed = max(confirmed, stream.confirmed)
        stream.held_length = max(length, stream.held_length)
        stream.notify()

    def _supersede(self, stream: JournalledStream) -> None:
        if stream.superseded:
            return
        stream.superseded = True
        self.stop(stream)
        stream.notify()

    def _open_message(self, stream: JournalledStream) -> StreamOpen:
        snapshot = Snapshot(
            head=encode_head(stream.head),
            tokens=stream.tokens[: stream.length],
            finish_reason=stream.finish_reason,
        )
        return StreamOpen(
            generation=stream.generation,
            workspace=stream.workspace,
            epoch=int(stream.epoch),
            idempotency_key=stream.key,
            request=encode_snapshot(snapshot),
            owner=self._vm,
        )


def _append_message(stream: JournalledStream, first_index: int) -> StreamAppend:
    return StreamAppend(
        generation=stream.generation,
        epoch=int(stream.epoch),
        first_index=first_index,
        tokens=stream.tokens[first_index : stream.length],
        finish_reason=stream.finish_reason,
    )
