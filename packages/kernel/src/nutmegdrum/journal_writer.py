"""Replication state of this VM's streams at their holders.

Each holder has a cursor in each stream. A stream's tokens count as replicated once the cursors of
all its live holders have passed them. A holder that does not answer is replaced by another one,
which receives a snapshot.
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
"""Submission number that is never reached."""


class Cursor:
    """Replication progress of one stream at one holder.

    Attributes
    ----------
    length : int or None
        Number of tokens that the holder has; None if it needs a snapshot first.
    number : int
        Number of the last submission that the holder has confirmed.
    """

    __slots__ = ("length", "number")

    def __init__(self, length: int | None = None, number: int = -1):
        self.length = length
        self.number = number


class JournalledStream:
    """Stream of this VM that is replicated to holders.

    Parameters
    ----------
    tokens : list of str
        The stream's own list of tokens, which only grows.
    notify : callable
        Called when the holders have confirmed more, or another VM has taken the stream over.

    Attributes
    ----------
    number : int
        Number of submissions so far.
    confirmed : int
        Number of the last submission that all holders have confirmed.
    replicated_length : int
        Number of tokens that all holders have, or had before one of them was replaced.
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
        self.replicated_length = 0
        self.cursors: dict[VmId, Cursor] = {}
        self.notify = notify

    @property
    def finish_replicated(self) -> bool:
        """Return whether all holders have confirmed the stream's finish."""
        return self.confirmed >= self.finish_number


class SentPosition(NamedTuple):
    """Length and submission number of a stream when it was sent to a holder."""

    stream: JournalledStream
    length: int
    number: int


class HolderBatch(NamedTuple):
    """Messages for one holder.

    `opened` and `appended` hold the sent positions for `opens` and `appends`, in the same order.
    """

    opens: list[StreamOpen]
    appends: list[StreamAppend]
    opened: list[SentPosition]
    appended: list[SentPosition]

    def __bool__(self) -> bool:
        return bool(self.opens or self.appends)


class JournalWriter:
    """State machine that replicates one VM's streams.

    Parameters
    ----------
    vm : VmId
        This VM.
    copies : int
        Number of holders of each stream.
    wake : callable
        Called with a holder when there are messages for it.
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
        """Start replicating a stream to `holders`, and to other VMs if too few of them are up."""
        self._streams[stream.generation] = stream
        live = [vm for vm in holders if vm not in self.down and vm != self._vm]
        for vm in self._choice.choose(self._copies, self.down, live):
            self._add(stream, vm)
        self._update_confirmed(stream)

    def stop(self, stream: JournalledStream) -> None:
        """Stop replicating a stream; its copies remain until they expire."""
        if self._streams.get(stream.generation) is stream:
            del self._streams[stream.generation]
        for vm in stream.cursors:
            self._dirty[vm].discard(stream)

    def submit(self, stream: JournalledStream, finish_reason: str = "") -> None:
        """Submit the stream's new tokens to the holders.

        Without new tokens, the holders confirm that the stream still has the newest epoch.
        """
        if stream.superseded:
            return
        stream.number += 1
        stream.length = len(stream.tokens)
        if finish_reason:
            stream.finish_reason = finish_reason
            stream.finish_number = stream.number
        for vm in stream.cursors:
            self._mark_dirty(stream, vm)
        self._update_confirmed(stream)

    def replace_head(self, stream: JournalledStream, head: StreamHead) -> None:
        """Replace a stream's head; the holders receive it in a new snapshot."""
        stream.head = head
        stream.number += 1
        stream.head_number = stream.number
        for vm, cursor in stream.cursors.items():
            cursor.length = None
            self._mark_dirty(stream, vm)
        self._update_confirmed(stream)

    def next_batch(self, vm: VmId) -> HolderBatch:
        """Return the next messages for `vm`."""
        batch = HolderBatch([], [], [], [])
        for stream in self._dirty.pop(vm, ()):
            cursor = stream.cursors[vm]
            position = SentPosition(stream, stream.length, stream.number)
            if cursor.length is None:
                batch.opens.append(self._open_message(stream))
                batch.opened.append(position)
            else:
                batch.appends.append(_append_message(stream, cursor.length))
                batch.appended.append(position)
        return batch

    def on_opened(self, vm: VmId, position: SentPosition, copy: StreamCopy) -> None:
        """Process a holder's answer to a snapshot."""
        cursor = position.stream.cursors.get(vm)
        if cursor is None:
            return
        if copy.generation != position.stream.generation:
            position.stream.key = IdempotencyKey("")
            self._mark_dirty(position.stream, vm)
        elif copy.epoch > position.stream.epoch:
            self._supersede(position.stream)
        elif position.number >= position.stream.head_number:
            self._advance(cursor, position)

    def on_appended(
        self, vm: VmId, positions: Sequence[SentPosition], results: Sequence[AppendResult]
    ) -> None:
        """Process a holder's answers to appends."""
        for position, result in zip(positions, results, strict=True):
            cursor = position.stream.cursors.get(vm)
            if cursor is None:
                continue
            if result.epoch > position.stream.epoch:
                self._supersede(position.stream)
            elif cursor.length is None:
                continue
            elif result.accepted:
                self._advance(cursor, position)
            else:
                cursor.length = None
                self._mark_dirty(position.stream, vm)

    def on_holder_lost(self, vm: VmId) -> None:
        """Mark a holder that did not answer as down, and replace it in all its streams."""
        self.down.add(vm)
        self._dirty.pop(vm, None)
        for stream in list(self._streams.values()):
            if stream.cursors.pop(vm, None) is not None:
                self.replaced += 1
                self._fill(stream)
                self._update_confirmed(stream)

    def on_holder_back(self, vm: VmId) -> None:
        """Use a VM as a holder again, first for the streams with too few holders."""
        self.down.discard(vm)
        for stream in list(self._streams.values()):
            self._fill(stream)

    def _fill(self, stream: JournalledStream) -> None:
        holders = list(stream.cursors)
        for vm in self._choice.choose(self._copies, self.down, holders)[len(holders) :]:
            self._add(stream, vm)

    def _add(self, stream: JournalledStream, vm: VmId) -> None:
        stream.cursors[vm] = Cursor()
        self._mark_dirty(stream, vm)

    def _mark_dirty(self, stream: JournalledStream, vm: VmId) -> None:
        if stream.superseded:
            return
        self._dirty[vm].add(stream)
        self._wake(vm)

    def _advance(self, cursor: Cursor, position: SentPosition) -> None:
        cursor.length = (
            position.length if cursor.length is None else max(cursor.length, position.length)
        )
        cursor.number = max(cursor.number, position.number)
        self._update_confirmed(position.stream)

    def _update_confirmed(self, stream: JournalledStream) -> None:
        if stream.superseded:
            return
        cursors = stream.cursors.values()
        confirmed = min((cursor.number for cursor in cursors), default=stream.number)
        length = min((cursor.length or 0 for cursor in cursors), default=stream.length)
        if confirmed <= stream.confirmed and length <= stream.replicated_length:
            return
        stream.confirmed = max(confirmed, stream.confirmed)
        stream.replicated_length = max(length, stream.replicated_length)
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
