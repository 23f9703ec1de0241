"""Registry of an entry VM's sessions."""

import threading
from collections import OrderedDict

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import GenerationId, WorkspaceId
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum.relay import Relay
from nutmegdrum.session import Session

MAX_SESSIONS = 4_096
"""Number of sessions above which ended ones without readers are dropped early."""


class Sessions:
    """Sessions by generation, kept for some time after their last reader disconnects.

    Parameters
    ----------
    grace_ms : int
        Time for which a running session without readers is kept, in ms.
    retention_ms : int
        Time for which a finished session without readers is kept, in ms.
    """

    def __init__(self, clock: Clock, relay: Relay, grace_ms: int, retention_ms: int):
        self._clock = clock
        self._relay = relay
        self._grace_ms = grace_ms
        self._retention_ms = retention_ms
        self._sessions: OrderedDict[GenerationId, Session] = OrderedDict()
        self._lock = threading.Lock()

    def put(self, session: Session) -> None:
        """Add a session; it replaces an earlier one of the same generation."""
        with self._lock:
            self._sessions[session.generation] = session
            self._sessions.move_to_end(session.generation)

    def get(self, generation: GenerationId, workspace: WorkspaceId) -> Session | None:
        """Return the workspace's session of a generation, or None."""
        with self._lock:
            session = self._sessions.get(generation)
        return session if session is not None and session.workspace == workspace else None

    def drop(self, session: Session) -> None:
        """Remove a session."""
        with self._lock:
            if self._sessions.get(session.generation) is session:
                del self._sessions[session.generation]

    def enter(self, session: Session) -> None:
        """Count a new reader of a session."""
        with self._lock:
            session.readers += 1

    def leave(self, session: Session) -> None:
        """Count the end of a reader."""
        with self._lock:
            session.readers -= 1
            session.idle_since = self._clock.elapsed_ms()
        if session.failure is not None:
            self.drop(session)

    def on_taken_over(self, generation: GenerationId) -> None:
        """End a session without readers after another VM has taken its stream over."""
        with self._lock:
            session = self._sessions.get(generation)
        if session is not None and session.readers == 0:
            self._close(session)

    def running(self) -> int:
        """Return the number of sessions that still fetch tokens."""
        with self._lock:
            return sum(not session.ended for session in self._sessions.values())

    def end_read(self, refusal: Refusal) -> None:
        """End the running sessions that have readers, which get `refusal`."""
        with self._lock:
            read = [s for s in self._sessions.values() if s.readers and not s.ended]
        for session in read:
            self._relay.fail(session, refusal)

    def reap(self) -> None:
        """Cancel running sessions without readers after the grace period, and drop old ones."""
        now_ms = self._clock.elapsed_ms()
        for session in self._idle():
            limit_ms = self._retention_ms if session.done else self._grace_ms
            if now_ms - session.idle_since >= limit_ms:
                self._close(session)
        with self._lock:
            surplus = max(0, len(self._sessions) - MAX_SESSIONS)
        for session in self._idle()[:surplus]:
            if session.ended:
                self._close(session)

    def _idle(self) -> list[Session]:
        with self._lock:
            return [session for session in self._sessions.values() if session.readers == 0]

    def _close(self, session: Session) -> None:
        self.drop(session)
        self._relay.abandon(session)
