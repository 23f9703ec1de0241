"""In-memory copies of other VMs' streams, from which a caller can resume at another VM.

A takeover raises the copy's epoch, which fences off appends of earlier owners.
"""

from collections import OrderedDict
from collections.abc import Sequence

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_wire.gen.messages.ttypes import (
    AppendResult,
    StreamAppend,
    StreamCopy,
    StreamOpen,
)

from nutmegdrum.journal_messages import decode_snapshot

_TOKEN_OVERHEAD_BYTES = 64
_ENTRY_OVERHEAD_BYTES = 1_024


class _Entry:
    """Copy of one stream.

    `epoch` is the highest epoch requested so far; `installed` is the epoch of the owner that wrote
    the tokens.
    """

    def __init__(self, opened: StreamOpen):
        self.generation: str = opened.generation
        self.workspace: str = opened.workspace
        self.key: str = opened.idempotency_key
        self.epoch = 0
        self.installed = 0
        self.owner = ""
        self.head = b""
        self.tokens: list[str] = []
        self.finish_reason = ""
        self.bytes = 0
        self.touched_ms = 0

    def install(self, opened: StreamOpen) -> None:
        snapshot = decode_snapshot(opened.request)
        self.epoch = self.installed = opened.epoch
        self.owner = opened.owner
        self.head = snapshot.head
        self.tokens = snapshot.tokens
        self.finish_reason = snapshot.finish_reason
        self.bytes = _ENTRY_OVERHEAD_BYTES + len(self.head) + _size(self.tokens)

    def copy(self) -> StreamCopy:
        return StreamCopy(
            generation=self.generation,
            workspace=self.workspace,
            epoch=self.epoch,
            request=self.head,
            tokens=list(self.tokens),
            finish_reason=self.finish_reason,
            owner=self.owner,
            found=True,
        )


def _size(tokens: Sequence[str]) -> int:
    return sum(map(len, tokens)) + _TOKEN_OVERHEAD_BYTES * len(tokens)


def not_found(generation: str) -> StreamCopy:
    """Return the answer of a VM without a copy."""
    return StreamCopy(
        generation=generation,
        workspace="",
        epoch=0,
        request=b"",
        tokens=[],
        finish_reason="",
        owner="",
        found=False,
    )


class Journal:
    """Store of the copies at one VM.

    Parameters
    ----------
    retention_ms : int
        Time for which a copy is kept after its last change, in ms.
    max_bytes : int
        Memory limit for all copies; above it the least recently changed ones are dropped.
    """

    def __init__(self, retention_ms: int, max_bytes: int):
        self._retention_ms = retention_ms
        self._max_bytes = max_bytes
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._keys: dict[tuple[str, str], str] = {}
        self.bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def open(self, opened: StreamOpen, now_ms: ElapsedMs) -> StreamCopy:
        """Install an owner's snapshot and return the resulting copy.

        If another generation has the idempotency key, its copy is returned; if the sender is no
        longer the owner, the returned copy has a higher epoch. Nothing is installed in either case.
        """
        other = self._other_key_owner(opened)
        if other is not None:
            return other.copy()
        entry = self._entries.get(opened.generation) or _Entry(opened)
        if self._is_stale(entry, opened):
            return entry.copy()
        self.bytes -= entry.bytes
        entry.install(opened)
        self.bytes += entry.bytes
        self._entries[opened.generation] = entry
        if opened.idempotency_key:
            entry.key = opened.idempotency_key
            self._keys[opened.workspace, entry.key] = opened.generation
        self._touch(entry, now_ms)
        self._trim()
        return entry.copy()

    def _other_key_owner(self, opened: StreamOpen) -> _Entry | None:
        """Return the copy of another generation that has the key, or None."""
        generation = self._keys.get((opened.workspace, opened.idempotency_key))
        if generation in (None, opened.generation):
            return None
        return self._entries[generation]

    def _is_stale(self, entry: _Entry, opened: StreamOpen) -> bool:
        if opened.epoch != entry.installed:
            return opened.epoch < entry.epoch
        if entry.epoch > entry.installed:
            return True
        return len(decode_snapshot(opened.request).tokens) < len(entry.tokens)

    def append(self, appends: Sequence[StreamAppend], now_ms: ElapsedMs) -> list[AppendResult]:
        """Append tokens to several streams and return one result for each append.

        An append is refused if its stream is unknown, if its epoch differs from the copy's, or if
        it would leave a gap.
        """
        return [self._append(append, now_ms) for append in appends]

    def _append(self, append: StreamAppend, now_ms: ElapsedMs) -> AppendResult:
        entry = self._entries.get(append.generation)
        if entry is None:
            return AppendResult(append.generation, 0, False)
        current = append.epoch == entry.epoch == entry.installed
        if not current or append.first_index > len(entry.tokens):
            return AppendResult(append.generation, entry.epoch, False)
        fresh = append.tokens[len(entry.tokens) - append.first_index :]
        entry.tokens += fresh
        entry.finish_reason = append.finish_reason or entry.finish_reason
        added = _size(fresh)
        entry.bytes += added
        self.bytes += added
        self._touch(entry, now_ms)
        if self.bytes > self._max_bytes:
            self._trim()
        return AppendResult(append.generation, entry.epoch, True)

    def fetch(self, generation: str, workspace: str) -> StreamCopy:
        """Return the copy of a generation of the workspace."""
        entry = self._entries.get(generation)
        if entry is None or entry.workspace != workspace:
            return not_found(generation)
        return entry.copy()

    def take_over(
        self, generation: str, workspace: str, epoch: int, now_ms: ElapsedMs
    ) -> StreamCopy:
        """Raise the epoch, which fences off earlier owners, and return the copy.

        The copy's epoch is higher than `epoch` if another takeover came first.
        """
        entry = self._entries.get(generation)
        if entry is None or entry.workspace != workspace:
            return not_found(generation)
        entry.epoch = max(entry.epoch, epoch)
        self._touch(entry, now_ms)
        return entry.copy()

    def find(self, workspace: str, key: str) -> StreamCopy:
        """Return the copy of the generation that an idempotency key is bound to."""
        generation = self._keys.get((workspace, key))
        return not_found("") if generation is None else self._entries[generation].copy()

    def close(self, generation: str) -> None:
        """Drop a copy without tokens; its owner did not start the generation."""
        entry = self._entries.get(generation)
        if entry is not None and not entry.tokens and not entry.finish_reason:
            self._drop(entry)

    def expire(self, now_ms: ElapsedMs) -> None:
        """Drop the copies that have not changed within the retention time."""
        while self._entries:
            oldest = next(iter(self._entries.values()))
            if now_ms - oldest.touched_ms < self._retention_ms:
                return
            self._drop(oldest)

    def _touch(self, entry: _Entry, now_ms: ElapsedMs) -> None:
        entry.touched_ms = now_ms
        self._entries.move_to_end(entry.generation)

    def _trim(self) -> None:
        while self.bytes > self._max_bytes and len(self._entries) > 1:
            self._drop(next(iter(self._entries.values())))

    def _drop(self, entry: _Entry) -> None:
        del self._entries[entry.generation]
        self.bytes -= entry.bytes
        if self._keys.get((entry.workspace, entry.key)) == entry.generation:
            del self._keys[entry.workspace, entry.key]
