"""Session of one generation that this VM owns, shared by its readers."""

from __future__ import annotations

import contextlib
import threading
from typing import NamedTuple

from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import GenerationId, VmId, WorkspaceId
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum.backends import TokenSource
from nutmegdrum.journal_messages import (
    EpochStart,
    Position,
    StreamHead,
    covers,
    epoch_at,
)
from nutmegdrum.journal_writer import JournalledStream
from nutmegdrum.messages import BackendLost, Finish, FinishReason, Token
from nutmegdrum.routing_query import Choice
from nutmegdrum.silence import Decision
from nutmegdrum.streams import Stream
from nutmegdrum.version_watch import AttemptInfo

Batch = list[Token | Finish]


class Attempt:
    """Exchange of a session with a backend server."""

    def __init__(self, choice: Choice, number: int, isolated: bool, began_ms: ElapsedMs):
        self.choice = choice
        self.number = number
        self.isolated = isolated
        self.began_ms = began_ms
        self.last_ms = began_ms
        self.source: TokenSource | None = None
        self.key: tuple[Session, Attempt] | None = None
        self.descriptor = -1
        self.has_token = False
        self.first_index = 0
        self.first_token_ms: int | None = None
        self.batches = 0
        self.info: AttemptInfo | None = None
        self.decision: Decision | None = None
        self.asking = False
        self.ask_from_ms = began_ms


class Loss(NamedTuple):
    """Loss of an attempt after it yielded `tokens` tokens."""

    loss: BackendLost
    tokens: int


class Session:
    """State of one generation that its readers share.

    Parameters
    ----------
    clock : Clock
        Clock for the time of the holders' confirmations.
    released : int
        Number of tokens that the holders have confirmed, so that readers may get them.

    Attributes
    ----------
    starting : Lock
        Held by the reader that starts an attempt; acquired before `lock`.
    lock : RLock
        Held while items are read and while an attempt ends.
    answer_by : ElapsedMs or None
        Time by which the caller that started the generation must be answered.
    """

    def __init__(
        self,
        stream: Stream,
        head: StreamHead,
        holders: list[VmId],
        clock: Clock,
        released: int = 0,
    ):
        self.stream = stream
        self.holders = holders
        self.starting = threading.Lock()
        self.lock = threading.RLock()
        self.journalled = JournalledStream(
            stream.generation,
            stream.req.workspace,
            stream.req.key,
            stream.epoch,
            head,
            stream.tokens,
            self._on_replicated,
            stream.finish.reason.value if stream.finish else "",
        )
        self.released = released
        self.done = stream.finish is not None
        self.failure: Refusal | None = None
        self.attempt: Attempt | None = None
        self.unreported_loss: Loss | None = None
        self.answer_by: ElapsedMs | None = None
        self.readers = 0
        self.lost_at_ms: ElapsedMs | None = None
        self.began_ms = clock.elapsed_ms()
        self.idle_since = self.last_output_ms = self.confirmed_ms = self.began_ms
        self._clock = clock
        self._wakeups: list[threading.Lock] = []

    def add_wakeup(self) -> threading.Lock:
        """Return a lock for one reader that is released whenever the session's state changes."""
        wakeup = threading.Lock()
        wakeup.acquire()
        with self.lock:
            self._wakeups = [*self._wakeups, wakeup]
        return wakeup

    def remove_wakeup(self, wakeup: threading.Lock) -> None:
        """Remove a reader's lock."""
        with self.lock:
            self._wakeups = [other for other in self._wakeups if other is not wakeup]

    def wake(self) -> None:
        """Wake all readers."""
        for wakeup in self._wakeups:
            if wakeup.locked():
                with contextlib.suppress(RuntimeError):
                    wakeup.release()

    def _on_replicated(self) -> None:
        """Release the tokens that the holders have confirmed; called by the journal's threads."""
        journalled = self.journalled
        if not journalled.superseded:
            self.confirmed_ms = self._clock.elapsed_ms()
            self.released = max(self.released, journalled.replicated_length)
            self.done = self.done or journalled.finish_replicated
        self.wake()

    @property
    def generation(self) -> GenerationId:
        """Return the generation's id."""
        return self.stream.generation

    @property
    def workspace(self) -> WorkspaceId:
        """Return the workspace that the generation belongs to."""
        return self.stream.req.workspace

    @property
    def lineage(self) -> list[EpochStart]:
        """Return the epochs of the owners so far, each with its first token."""
        return self.journalled.head.lineage

    @property
    def ended(self) -> bool:
        """Return whether this session will yield no more tokens."""
        return self.done or self.failure is not None or self.journalled.superseded

    def covers(self, position: Position) -> bool:
        """Return whether a caller at `position` can continue with this session."""
        return covers(self.lineage, self.released, position)

    def batch(self, first_index: int) -> Batch:
        """Return the released items from `first_index` on.

        Once the holders have the finish, they also have all tokens before it. `released` may still
        lag behind `done`, as another thread sets the two one after the other.
        """
        finish = self.stream.finish if self.done else None
        end = self.released if finish is None else finish.count
        texts = self.stream.tokens[first_index:end]
        items: Batch = [Token(index, text) for index, text in enumerate(texts, first_index)]
        if finish is not None:
            items.append(finish)
        return items


class ReadBatch(NamedTuple):
    """Items for a caller, and the epoch of the owner that produced them."""

    epoch: int
    items: Batch


def split_epochs(lineage: list[EpochStart], batch: Batch) -> list[ReadBatch]:
    """Split a batch into parts of one epoch each."""
    last = lineage[-1]
    first = batch[0]
    if isinstance(first, Finish) or first.index >= last.first_index:
        return [ReadBatch(int(last.epoch), batch)]
    parts: list[ReadBatch] = []
    for item in batch:
        index = item.count - 1 if isinstance(item, Finish) else item.index
        epoch = int(epoch_at(lineage, max(index, 0)))
        if not parts or parts[-1].epoch != epoch:
            parts.append(ReadBatch(epoch, []))
        parts[-1].items.append(item)
    return parts


def finish_of(reason: str, count: int) -> Finish | None:
    """Return the finish for a journalled reason, or None if the reason is empty."""
    return Finish(FinishReason(reason), count) if reason else None
