"""Reading a stream that another entry VM owns, from the copies of its holders."""

from collections.abc import Callable, Iterator

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import GenerationId, VmId, WorkspaceId
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy

from nutmegdrum.deadlines import time_left
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
"""Time without new tokens after which the stream is taken over from a dead owner, in ms."""

RETRY_AFTER_MS = 1_000
"""Backoff hint when the journal of a stream is lost, in ms."""

_MS_PER_S = 1_000

ResumeStream = Callable[[Position], Iterator[ReadBatch]]


class StreamFollower:
    """Reads a running stream without starting a second attempt in parallel to its owner's.

    Parameters
    ----------
    resume : callable
        Takes the stream over and yields the rest; called when the owner adds nothing for
        `OWNER_SILENCE_MS` and does not answer.
    patience_ms : int
        Time without new tokens after which a stream with tokens is taken over from an owner that
        answers; longer than an owner needs for a recovery.
    until : ElapsedMs or None
        Time by which the finish must be yielded.
    """

    def __init__(
        self,
        clock: Clock,
        reader: JournalReader,
        generation: GenerationId,
        workspace: WorkspaceId,
        resume: ResumeStream,
        sleep: SleepFunction,
        patience_ms: int,
        until: ElapsedMs | None = None,
    ):
        self._patience_ms = patience_ms
        self._until = until
        self._clock = clock
        self._reader = reader
        self._generation = generation
        self._workspace = workspace
        self._resume = resume
        self._sleep = sleep

    def read(self) -> Iterator[ReadBatch]:
        """Yield the stream from its first token; the last item is the finish.

        Raises
        ------
        Refusal
            If the stream was cancelled, a part of it is lost, or it does not end in time.
        """
        position = Position(0)
        progress_ms = self._clock.elapsed_ms()
        while True:
            copies = self._reader.fetch(self._generation, self._workspace).found
            newest = newest_copy(copies)
            lineage = [] if newest is None else decode_head(newest.request).lineage
            batch = [] if newest is None else _common_tokens(copies, newest, lineage, position)
            if batch:
                yield from split_epochs(lineage, batch)
                if isinstance(batch[-1], Finish):
                    return
                position = _position_after(lineage, batch)
                progress_ms = self._clock.elapsed_ms()
            elif self._is_lost(newest, self._clock.elapsed_ms() - progress_ms):
                yield from self._resume(position)
                return
            wait_ms = time_left(self._until, self._clock.elapsed_ms(), POLL_MS)
            if wait_ms <= 0:
                raise v.Refusal(v.DEADLINE_UNREACHABLE, v.Verdict.MAY_HAVE_RUN)
            self._sleep(wait_ms / _MS_PER_S)

    def _is_lost(self, newest: StreamCopy | None, silent_ms: int) -> bool:
        """Return whether the owner has lost the stream, rather than waiting for an engine."""
        if silent_ms <= OWNER_SILENCE_MS:
            return False
        if newest is None or not newest.tokens or silent_ms > self._patience_ms:
            # An owner that has refused a request as not run may not have closed its copies yet.
            return True
        owner = VmId(newest.owner)
        return not self._reader.answers(owner, self._generation, self._workspace)


def _common_tokens(
    copies: list[StreamCopy], newest: StreamCopy, lineage: list[EpochStart], position: Position
) -> Batch:
    """Return the tokens from `position` on that all copies of the newest owner contain.

    Copies without tokens are ignored; they belong to VMs that only know the key.
    """
    if newest.finish_reason == CANCELLED:
        raise v.Refusal(v.CANCELLED, v.Verdict.MAY_HAVE_RUN)
    if not covers(lineage, len(newest.tokens), position):
        raise v.Refusal(v.JOURNAL_LOST, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
    epoch = lineage[-1].epoch
    current_copies = [
        copy for copy in copies if decode_head(copy.request).lineage[-1].epoch == epoch
    ]
    length = min((len(copy.tokens) for copy in current_copies if copy.tokens), default=0)
    texts = newest.tokens[position.next_index : length]
    batch: Batch = [Token(i, text) for i, text in enumerate(texts, position.next_index)]
    finish = finish_of(newest.finish_reason, len(newest.tokens))
    if finish is not None and length == finish.count:
        batch.append(finish)
    return batch


def _position_after(lineage: list[EpochStart], batch: Batch) -> Position:
    last = batch[-1]
    assert isinstance(last, Token)
    return Position(last.index + 1, epoch_at(lineage, last.index))
