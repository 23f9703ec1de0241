"""Journal service that an entry VM offers to its peers."""

import threading
from collections.abc import Callable, Sequence

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import GenerationId
from nutmegdrum_wire.gen.messages.ttypes import (
    AppendResult,
    StreamAppend,
    StreamCopy,
    StreamOpen,
)

from nutmegdrum import metrics
from nutmegdrum.journal import Journal

MAX_JOURNAL_BYTES = 512 << 20
"""Memory limit of the journal, in bytes."""


class JournalService:
    """Thread-safe wrapper of `Journal` that reads the time from the VM's clock.

    Parameters
    ----------
    on_close : callable
        Called with a generation that another VM has taken over.
    """

    def __init__(
        self, clock: Clock, retention_ms: int, on_close: Callable[[GenerationId], None]
    ) -> None:
        self._clock = clock
        self._journal = Journal(retention_ms, MAX_JOURNAL_BYTES)
        self._lock = threading.Lock()
        self._on_close = on_close
        metrics.JOURNAL_BYTES.set_function(lambda: self._journal.bytes)
        metrics.JOURNAL_COPIES.set_function(lambda: len(self._journal))

    def open_stream(self, opened: StreamOpen) -> StreamCopy:
        """Install an owner's snapshot and return the resulting copy."""
        with self._lock:
            return self._journal.open(opened, self._clock.elapsed_ms())

    def append_streams(self, appends: Sequence[StreamAppend]) -> list[AppendResult]:
        """Append tokens to several streams."""
        with self._lock:
            return self._journal.append(appends, self._clock.elapsed_ms())

    def fetch_stream(self, generation: str, workspace: str) -> StreamCopy:
        """Return the copy of a generation of the workspace."""
        with self._lock:
            return self._journal.fetch(generation, workspace)

    def take_over_stream(
        self, owner: str, generation: str, workspace: str, epoch: int
    ) -> StreamCopy:
        """Raise the epoch of a copy for its new owner, and return the copy."""
        with self._lock:
            now_ms = self._clock.elapsed_ms()
            return self._journal.take_over(generation, workspace, epoch, now_ms)

    def find_stream(self, workspace: str, idempotency_key: str) -> StreamCopy:
        """Return the copy of the generation that an idempotency key is bound to."""
        with self._lock:
            return self._journal.find(workspace, idempotency_key)

    def close_stream(self, generation: str) -> None:
        """Drop a copy without tokens, and let a former owner end its session."""
        with self._lock:
            self._journal.close(generation)
        self._on_close(GenerationId(generation))

    def expire(self) -> None:
        """Drop the copies whose retention time has passed."""
        with self._lock:
            self._journal.expire(self._clock.elapsed_ms())
