"""Copies of other VMs' streams, kept in memory so that a caller can go on elsewhere.

A takeover raises a copy's epoch at once; from then on appends of earlier owners are refused.
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
    """One copy.

    `epoch` is the highest that was asked for, `installed` that of the owner whose tokens these are.
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
    """Return the answer of a VM that holds no copy."""
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
    """Store of copies at one VM.

    Parameters
    ----------
    retention_ms : int
        Time after its last change for which a copy is kept, in ms.
    max_bytes : int
        Memory for all copies; those that changed longest ago are dropped above it.
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
        """Install an owner's snapshot and return the copy that is here then.

        The copy is of another generation if that one has the idempotency key, and has a higher
        epoch if the sender is no longer the owner; nothing was installed in these cases.
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
        """Return the other generation that has the key."""
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
        """Add tokens of several streams and return one result for each append.

        An append is refused if its stream is unknown here, if its epoch is not that of the copy,
        or if tokens before it are missing.
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
        """Return the copy of a workspace's generation."""
        entry = self._entries.get(generation)
        if entry is None or entry.workspace != workspace:
            return not_found(generation)
        return entry.copy()

    def take_over(
        self, generation: str, workspace: str, epoch: int, now_ms: ElapsedMs
    ) -> StreamCopy:
        """Raise the epoch, so that earlier owners cannot append, and return the copy.

        The copy's epoch is above `epoch` if another takeover was first.
        """
        entry = self._entries.get(generation)
        if entry is None or entry.workspace != workspace:
            return not_found(generation)
        entry.epoch = max(entry.epoch, epoch)
        self._touch(entry, now_ms)
        return entry.copy()

    def find(self, workspace: str, key: str) -> StreamCopy:
        """Return the copy of the generation that was started under a key."""
        generation = self._keys.get((workspace, key))
        return not_found("") if generation is None else self._entries[generation].copy()

    def close(self, generation: str) -> None:
        """Drop a copy that has no tokens, since its owner never started."""
        entry = self._entries.get(generation)
        if entry is not None and not entry.tokens and not entry.finish_reason:
            self._drop(entry)

    def expire(self, now_ms: ElapsedMs) -> None:
        """Drop the copies that have not changed within the retention period."""
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
