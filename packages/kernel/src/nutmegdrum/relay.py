"""Relay of a generation's tokens to its readers, over as many attempts as necessary.

A reader's thread starts attempts and writes to its caller. One thread for all streams reads the
tokens from the backend servers; they are released once all live holders have confirmed them.
"""

import threading
from collections.abc import Iterator

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock, ElapsedMs

from nutmegdrum import metrics
from nutmegdrum.attempt_starter import RETRY_AFTER_MS, AttemptStarter
from nutmegdrum.attempts import Attempts
from nutmegdrum.deadlines import time_left
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.messages import Finish
from nutmegdrum.session import Batch, ReadBatch, Session, split_epochs

OWNERSHIP_CHECK_MS = 1_000
"""Age of the last confirmation above which the ownership is checked again, in ms."""

CONFIRM_TIMEOUT_MS = 3_000
"""Time-out of an ownership check, in ms."""

WAKEUP_TIMEOUT_MS = 500
"""Longest wait of a reader for a wake-up, in ms."""

METRICS_BATCH = 32
"""Number of tokens that a reader collects before it updates the metrics."""

_MS_PER_S = 1_000


class Relay:
    """Relays the tokens of sessions to their readers, and ends sessions."""

    def __init__(
        self, clock: Clock, sender: JournalSender, attempts: Attempts, starter: AttemptStarter
    ):
        self._clock = clock
        self._sender = sender
        self._attempts = attempts
        self._starter = starter

    def read(
        self, session: Session, first_index: int = 0, answer_by: ElapsedMs | None = None
    ) -> Iterator[ReadBatch]:
        """Yield a session's items from `first_index` on; the last one is the finish.

        Parameters
        ----------
        answer_by : ElapsedMs or None
            Time by which the last item must be yielded.

        Raises
        ------
        Refusal
            If the generation cannot continue on this VM, or does not end by `answer_by`.
        """
        wakeup = session.add_wakeup()
        index = first_index
        uncounted = 0
        try:
            while True:
                batch = self._next(session, index, wakeup, answer_by)
                ended = isinstance(batch[-1], Finish)
                uncounted += len(batch) - ended
                if ended or uncounted >= METRICS_BATCH:
                    metrics.TOKENS.inc(uncounted)
                    uncounted = 0
                yield from split_epochs(session.lineage, batch)
                if ended:
                    return
                index += len(batch)
        finally:
            metrics.TOKENS.inc(uncounted)
            session.remove_wakeup(wakeup)

    def _next(
        self,
        session: Session,
        index: int,
        wakeup: threading.Lock,
        answer_by: ElapsedMs | None,
    ) -> Batch:
        while True:
            self._raise_if_ended(session)
            left_ms = time_left(answer_by, self._clock.elapsed_ms(), WAKEUP_TIMEOUT_MS)
            if left_ms <= 0 and not session.done:
                raise self._deadline_refusal(session)
            if session.done or session.released > index:
                self._check_owner(session, wakeup)
                return session.batch(index)
            if session.attempt is None and session.stream.finish is None:
                self._start(session)
            else:
                wakeup.acquire(timeout=left_ms / _MS_PER_S)

    def _deadline_refusal(self, session: Session) -> v.Refusal:
        """Return the refusal for a deadline; ends a session that has sent nothing for others."""
        with session.lock:
            began = session.attempt is not None or session.stream.is_recovery
            if began or session.readers > 1 or len(session.lineage) > 1:
                return v.Refusal(v.DEADLINE_UNREACHABLE, v.Verdict.MAY_HAVE_RUN)
        refusal = v.Refusal(v.DEADLINE_UNREACHABLE, v.Verdict.NOT_RUN)
        refusal.sent = session.stream.sent
        self.fail(session, refusal)
        return refusal

    def _raise_if_ended(self, session: Session) -> None:
        if session.failure is None and session.journalled.superseded and not session.done:
            detail = "another VM has taken over this stream"
            stale = v.Refusal(v.STALE_EPOCH, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS, detail)
            self.fail(session, stale)
        if session.failure is not None:
            raise session.failure

    def _start(self, session: Session) -> None:
        with session.starting:
            if session.attempt is not None or session.ended or session.stream.finish is not None:
                return
            try:
                self._starter.begin(session)
            except v.Refusal as refusal:
                self.fail(session, refusal)

    def _check_owner(self, session: Session, wakeup: threading.Lock) -> None:
        """Check with the holders, after a pause, that no other VM has taken the stream over."""
        paused_ms = self._clock.elapsed_ms() - session.confirmed_ms
        if paused_ms > OWNERSHIP_CHECK_MS and not session.done:
            self._confirm(session, wakeup)
            self._raise_if_ended(session)

    def confirm(self, session: Session) -> bool:
        """Return whether the holders confirm that this VM still owns the stream."""
        wakeup = session.add_wakeup()
        try:
            self._confirm(session, wakeup)
        finally:
            session.remove_wakeup(wakeup)
        return not session.journalled.superseded

    def _confirm(self, session: Session, wakeup: threading.Lock) -> None:
        journalled = session.journalled
        deadline = self._clock.elapsed_ms() + CONFIRM_TIMEOUT_MS
        with session.lock:
            number = self._sender.submit(journalled)
        while journalled.confirmed < number and not journalled.superseded:
            left_ms = deadline - self._clock.elapsed_ms()
            if left_ms <= 0:
                raise v.Refusal(v.JOURNAL_LOST, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
            wakeup.acquire(timeout=left_ms / _MS_PER_S)

    def fail(self, session: Session, refusal: v.Refusal) -> None:
        """End a session with `refusal` for all its readers."""
        with session.lock:
            if session.failure is None:
                session.failure = refusal
        self.abandon(session)
        session.wake()

    def abandon(self, session: Session) -> None:
        """Cancel a session's attempt and stop replicating its stream."""
        with session.lock:
            attempt = session.attempt
            if attempt is not None:
                self._attempts.end(session, attempt, ok=attempt.has_token)
                self._attempts.cancel(session, attempt)
            session.stream.fail()
        self._sender.end(session.journalled)
