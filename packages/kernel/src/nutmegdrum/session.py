"""One generation that this VM owns, with all that its readers share."""

import threading
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
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
from nutmegdrum.journal_sender import Waiter
from nutmegdrum.journal_writer import JournalledStream
from nutmegdrum.messages import Finish, FinishReason, Token
from nutmegdrum.routing_query import Choice
from nutmegdrum.streams import Stream

Batch = list[Token | Finish]


class Attempt:
    """Open exchange of a session with a backend server."""

    def __init__(self, choice: Choice, number: int, isolated: bool, began_ms: ElapsedMs):
        self.choice = choice
        self.number = number
        self.isolated = isolated
        self.began_ms = began_ms
        self.source: TokenSource | None = None
        self.has_token = False
        self.first_index = 0


class Session:
    """State that the readers of one generation share.

    Whichever reader needs more tokens holds `pump` while it fetches them; the others find them
    here afterwards.

    Parameters
    ----------
    released : int
        Tokens that the holders have, so that readers may get them.
    """

    def __init__(
        self,
        stream: Stream,
        head: StreamHead,
        holders: list[VmId],
        now_ms: ElapsedMs,
        released: int = 0,
    ):
        self.stream = stream
        self.holders = holders
        self.pump = threading.Lock()
        self.waiter = Waiter()
        self.journalled = JournalledStream(
            stream.generation,
            stream.req.workspace,
            stream.req.key,
            stream.epoch,
            head,
            stream.tokens,
            self.waiter.notify,
            stream.finish.reason.value if stream.finish else "",
        )
        self.released = released
        self.done = stream.finish is not None
        self.failure: Refusal | None = None
        self.attempt: Attempt | None = None
        self.readers = 0
        self.idle_since = now_ms
        self.last_output_ms = now_ms
        self.lost_at_ms: ElapsedMs | None = None
        self.confirmed_ms = now_ms

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
        """Return whether no more tokens will come."""
        return self.done or self.failure is not None

    def covers(self, position: Position) -> bool:
        """Return whether a caller at `position` can go on here."""
        return covers(self.lineage, self.released, position)

    def batch(self, first_index: int) -> Batch:
        """Return what readers may get from `first_index` on."""
        texts = self.stream.tokens[first_index : self.released]
        items: Batch = [Token(index, text) for index, text in enumerate(texts, first_index)]
        if self.done and self.stream.finish is not None:
            items.append(self.stream.finish)
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
