"""Relaying of one generation's tokens to its readers, over as many attempts as it takes.

The reader's thread starts attempts and writes to its caller. One thread for all streams takes the
tokens from the backend servers; they are released once all live holders have them.
"""

import threading
from collections.abc import Iterator

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock

from nutmegdrum import metrics
from nutmegdrum.attempt_starter import RETRY_AFTER_MS, AttemptStarter
from nutmegdrum.attempts import Attempts
from nutmegdrum.journal_sender import JournalSender
from nutmegdrum.messages import Finish
from nutmegdrum.session import Batch, ReadBatch, Session, split_epochs

OWNERSHIP_CHECK_MS = 1_000
CONFIRM_TIMEOUT_MS = 3_000
LOOK_MS = 500
COUNT_EVERY = 32
_MS_PER_S = 1_000


class Relay:
    """Gives readers the tokens of sessions, and ends sessions."""

    def __init__(
        self, clock: Clock, sender: JournalSender, attempts: Attempts, starter: AttemptStarter
    ):
        self._clock = clock
        self._sender = sender
        self._attempts = attempts
        self._starter = starter

    def read(self, session: Session, first_index: int = 0) -> Iterator[ReadBatch]:
        """Yield a session's items from `first_index` on; the last one is the finish.

        Raises
        ------
        Refusal
            If the generation can't go on here.
        """
        gate = session.add_gate()
        index = first_index
        uncounted = 0
        try:
            while True:
                batch = self._next(session, index, gate)
                ended = isinstance(batch[-1], Finish)
                uncounted += len(batch) - ended
                if ended or uncounted >= COUNT_EVERY:
                    metrics.TOKENS.inc(uncounted)
                    uncounted = 0
                yield from split_epochs(session.lineage, batch)
                if ended:
                    return
                index += len(batch)
        finally:
            metrics.TOKENS.inc(uncounted)
            session.remove_gate(gate)

    def _next(self, session: Session, index: int, gate: threading.Lock) -> Batch:
        while True:
            self._check(session)
            if session.done or session.released > index:
                self._check_owner(session, gate)
                return session.batch(index)
            if session.attempt is None and session.stream.finish is None:
                self._start(session)
            else:
                gate.acquire(timeout=LOOK_MS / _MS_PER_S)

    def _check(self, session: Session) -> None:
        if session.failure is None and session.journalled.superseded and not session.done:
            detail = "another VM goes on with this stream"
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

    def _check_owner(self, session: Session, gate: threading.Lock) -> None:
        """Ask the holders after a pause whether another VM has taken the stream over."""
        paused_ms = self._clock.elapsed_ms() - session.confirmed_ms
        if paused_ms > OWNERSHIP_CHECK_MS and not session.done:
            self._confirm(session, gate)
            self._check(session)

    def confirm(self, session: Session) -> bool:
        """Return whether the holders confirm that this VM owns the stream."""
        gate = session.add_gate()
        try:
            self._confirm(session, gate)
        finally:
            session.remove_gate(gate)
        return not session.journalled.superseded

    def _confirm(self, session: Session, gate: threading.Lock) -> None:
        journalled = session.journalled
        deadline = self._clock.elapsed_ms() + CONFIRM_TIMEOUT_MS
        with session.lock:
            number = self._sender.submit(journalled)
        while journalled.confirmed < number and not journalled.superseded:
            left_ms = deadline - self._clock.elapsed_ms()
            if left_ms <= 0:
                raise v.Refusal(v.JOURNAL_LOST, v.Verdict.MAY_HAVE_RUN, RETRY_AFTER_MS)
            gate.acquire(timeout=left_ms / _MS_PER_S)

    def fail(self, session: Session, refusal: v.Refusal) -> None:
        """End a session for all its readers."""
        with session.lock:
            if session.failure is None:
                session.failure = refusal
        self.abandon(session)
        session.wake()

    def abandon(self, session: Session) -> None:
        """Cancel what a session runs and copy it no more."""
        with session.lock:
            attempt = session.attempt
            if attempt is not None:
                self._attempts.end(session, attempt, ok=attempt.has_token)
                self._attempts.cancel(session, attempt)
            session.stream.fail()
        self._sender.end(session.journalled)
