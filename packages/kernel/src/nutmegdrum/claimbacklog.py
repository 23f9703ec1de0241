"""Backlog of commands that end claims and are not committed yet."""

from collections import OrderedDict, defaultdict
from typing import NamedTuple

from nutmegdrum_coord.claims import ClaimKey, FinishClaim, ReleaseClaim

MIN_RETRY_MS = 200
"""Backoff before the first repeated proposal, in ms."""

MAX_RETRY_MS = 5_000
"""Longest backoff between proposals, in ms."""

MAX_PENDING = 10_000
"""Maximum number of commands in the backlog."""


class ClaimEnd(NamedTuple):
    """Command that ends a claim, with its retry state.

    Attributes
    ----------
    due_ms : int
        Elapsed time from which the command may be proposed, in ms.
    retry_ms : int
        Current backoff, in ms.
    """

    command: FinishClaim | ReleaseClaim
    due_ms: int
    retry_ms: int


class ClaimBacklog:
    """Bounded backlog of commands that end claims, oldest first.

    All these commands may be applied twice. If one is dropped, its claim stays in the running
    state, and resends are refused as "may have run", which is true.
    """

    def __init__(self) -> None:
        self._pending: OrderedDict[str, ClaimEnd] = OrderedDict()
        self._tokens: defaultdict[ClaimKey, list[str]] = defaultdict(list)

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, command: FinishClaim | ReleaseClaim, now_ms: int) -> ClaimEnd:
        """Add a command, which stays until it is committed."""
        if command.token not in self._pending:
            self._tokens[command.key].append(command.token)
        end = ClaimEnd(command, now_ms + MIN_RETRY_MS, MIN_RETRY_MS)
        self._pending[command.token] = end
        if len(self._pending) > MAX_PENDING:
            self._drop(next(iter(self._pending.values())))
        return end

    def due(self, now_ms: int) -> ClaimEnd | None:
        """Return the oldest command that is due, or None."""
        return next((end for end in self._pending.values() if end.due_ms <= now_ms), None)

    def for_key(self, key: ClaimKey) -> list[ClaimEnd]:
        """Return the pending commands of a claim, so that a resend can have them proposed first."""
        return [self._pending[token] for token in self._tokens.get(key, [])]

    def on_committed(self, end: ClaimEnd) -> None:
        """Remove a committed command."""
        if end.command.token in self._pending:
            self._drop(end)

    def on_failed(self, end: ClaimEnd, now_ms: int) -> None:
        """Postpone a command with exponential backoff."""
        retry_ms = min(MAX_RETRY_MS, end.retry_ms * 2)
        if end.command.token in self._pending:
            self._pending[end.command.token] = ClaimEnd(end.command, now_ms + retry_ms, retry_ms)

    def _drop(self, end: ClaimEnd) -> None:
        command = end.command
        del self._pending[command.token]
        self._tokens[command.key].remove(command.token)
        if not self._tokens[command.key]:
            del self._tokens[command.key]
