"""Reading of a stream that another entry VM runs, from its holders' copies."""

from collections.abc import Callable, Iterator

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import GenerationId, WorkspaceId
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy

from nutmegdrum.journal_messages import (
    CANCELLED,
    EpochStart,
    Position,
    covers,
    decode_head,
    epoch_at,
    newest_copy,
)
from nutmegdrum.journal_reader import JournalReader
from nutmegdrum.messages import Finish, Token
from nutmegdrum.recovery_queue import SleepFunction
from nutmegdrum.session import Batch, ReadBatch, finish_of, split_epochs

POLL_MS = 100
OWNER_SILENCE_MS = 2_500
RETRY_AFTER_MS = 1_000
_MS_PER_S = 1_000

ResumeStream = Callable[[Position], Iterator[ReadBatch]]


class StreamFollower:
    """Follows a running stream without starting a second attempt beside its owner's.

    Parameters
    ----------
    resume : callable
        Takes the stream over and yields the rest; used once the owner adds nothing any more.
    """

    def __init__(
        self,
        clock: Clock,
        reader: JournalReader,
        generation: GenerationId,
        workspace: WorkspaceId,
        resume: ResumeStream,
        sleep: SleepFunction,
    ):
        self._clock = clock
        self._reader = reader
        self._generation = generation
        self._workspace = workspace
        self._resume = resume
        self._sleep = sleep

    def read(self) -> Iterator[ReadBatch]:
        """Yield the stream from its first token on; the last item is the finish.

        Raises
        ------
        Refusal
            If the stream can't go on.
        """
        position = Position(0)
        grown_ms = self._clock.elapsed_ms()
        while True:
            copies = self._reader.fetch(self._generation, self._workspace).found
            newest = newest_copy(copies)
            lineage = [] if newest is None else decode_head(newest.request).lineage
            batch = [] if newest is None else _common(copies, newest, lineage, position)
            if batch:
                yield from split_epochs(lineage, batch)
                if isinstance(batch[-1], Finish):
                    return
                position = _after(lineage, batch)
                grown_ms = self._clock.elapsed_ms()
            elif self._clock.elapsed_ms() - grown_ms > OWNER_SILENCE_MS:
                yield from self._resume(position)
                return
            self._sleep(POLL_MS / _MS_PER_S)


def _common(
    copies: list[StreamCopy], newest: StreamCopy, lineage: list[EpochStart], position: Position
) -> Batch:
    """Return what all copies of the newest owner have from `position` on.

    VMs that only know the key have a copy without tokens, which does not count.
    """
    if newest.finish_reason == CANCELLED:
        raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
    if not covers(lineage, len(newest.tokens), position):
        raise v.Refusal(v.JOURNAL_LOST, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
    epoch = lineage[-1].epoch
    held = [copy for copy in copies if decode_head(copy.request).lineage[-1].epoch == epoch]
    length = min((len(copy.tokens) for copy in held if copy.tokens), default=0)
    texts = newest.tokens[position.next_index : length]
    batch: Batch = [Token(i, text) for i, text in enumerate(texts, position.next_index)]
    finish = finish_of(newest.finish_reason, len(newest.tokens))
    if finish is not None and length == finish.count:
        batch.append(finish)
    return batch


def _after(lineage: list[EpochStart], batch: Batch) -> Position:
    last = batch[-1]
    assert isinstance(last, Token)
    return Position(last.index + 1, epoch_at(lineage, last.index))
