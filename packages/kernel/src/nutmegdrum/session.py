"""One generation that this VM owns, with all that its readers share."""

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
from nutmegdrum.streams import Stream
from nutmegdrum.version_watch import AttemptInfo

Batch = list[Token | Finish]


class Attempt:
    """Open exchange of a session with a backend server."""

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


class Loss(NamedTuple):
    """Loss of an attempt after it had yielded `tokens` tokens."""

    loss: BackendLost
    tokens: int


class Session:
    """State that the readers of one generation share.

    Parameters
    ----------
    clock : Clock
        Source of the time of the holders' answers.
    released : int
        Tokens that the holders have, so that readers may get them.

    Attributes
    ----------
    starting : Lock
        Held by the reader that starts an attempt; taken before `lock`.
    lock : RLock
        Held while items are taken and while an attempt ends.
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
            self._on_held,
            stream.finish.reason.value if stream.finish else "",
        )
        self.released = released
        self.done = stream.finish is not None
        self.failure: Refusal | None = None
        self.attempt: Attempt | None = None
        self.unreported: Loss | None = None
        self.readers = 0
        self.lost_at_ms: ElapsedMs | None = None
        self.began_ms = clock.elapsed_ms()
        self.idle_since = self.last_output_ms = self.confirmed_ms = self.began_ms
        self._clock = clock
        self._gates: list[threading.Lock] = []

    def add_gate(self) -> threading.Lock:
        """Return a lock that is released whenever there is something new for readers."""
        gate = threading.Lock()
        gate.acquire()
        with self.lock:
            self._gates = [*self._gates, gate]
        return gate

    def remove_gate(self, gate: threading.Lock) -> None:
        """Forget a reader's lock."""
        with self.lock:
            self._gates = [other for other in self._gates if other is not gate]

    def wake(self) -> None:
        """Let all readers look again."""
        for gate in self._gates:
            if gate.locked():
                with contextlib.suppress(RuntimeError):
                    gate.release()

    def _on_held(self) -> None:
        """Release what the holders have confirmed; called by the journal's threads."""
        journalled = self.journalled
        if not journalled.superseded:
            self.confirmed_ms = self._clock.elapsed_ms()
            self.released = max(self.released, journalled.held_length)
            self.done = self.done or journalled.finish_held
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
        """Return the epochs of the tokens so far."""
        return self.journalled.head.lineage

    @property
    def ended(self) -> bool:
        """Return whether no more tokens will come from here."""
        return self.done or self.failure is not None or self.journalled.superseded

    def covers(self, position: Position) -> bool:
        """Return whether a caller at `position` can go on here."""
        return covers(self.lineage, self.released, position)

    def batch(self, first_index: int) -> Batch:
        """Return what readers may get from `first_index` on.

        Once the finish is held, so are all tokens before it; `released` may still lag, as other
        threads set the two one after the other.
        """
        finish = self.stream.finish if self.done else None
        upto = self.released if finish is None else finish.count
        texts = self.stream.tokens[first_index:upto]
        items: Batch = [Token(index, text) for index, text in enumerate(texts, first_index)]
        if finish is not None:
            items.append(finish)
        return items


class ReadBatch(NamedTuple):
    """Items for a caller, and the epoch of the owner that made the tokens."""

    epoch: int
    items: Batch


def split_epochs(lineage: list[EpochStart], batch: Batch) -> list[ReadBatch]:
    """Return the batch in parts of one epoch each."""
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
    """Return the finish that a journalled reason stands for, or None."""
    return Finish(FinishReason(reason), count) if reason else None
