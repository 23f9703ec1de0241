"""Ends of claims that could not be committed yet, and are proposed again."""

from collections import OrderedDict, defaultdict
from typing import NamedTuple

from nutmegdrum_coord.claims import ClaimKey, FinishClaim, ReleaseClaim

MIN_RETRY_MS = 200
MAX_RETRY_MS = 5_000
MAX_PENDING = 10_000


class ClaimEnd(NamedTuple):
    """One command to propose again.

    Attributes
    ----------
    due_ms : int
        Elapsed time from which on it may be proposed, in ms.
    """

    command: FinishClaim | ReleaseClaim
    due_ms: int
    retry_ms: int


class ClaimBacklog:
    """Commands that end claims, oldest first and bounded in number.

    All of them may be applied twice. One that is dropped leaves its claim running, which resends
    are told truthfully as "may have run".
    """

    def __init__(self) -> None:
        self._pending: OrderedDict[str, ClaimEnd] = OrderedDict()
        self._tokens: defaultdict[ClaimKey, list[str]] = defaultdict(list)

    def __len__(self) -> int:
        return len(self._pending)

    def add(self, command: FinishClaim | ReleaseClaim, now_ms: int) -> ClaimEnd:
        """Keep a command until it is committed."""
        if command.token not in self._pending:
            self._tokens[command.key].append(command.token)
        end = ClaimEnd(command, now_ms + MIN_RETRY_MS, MIN_RETRY_MS)
        self._pending[command.token] = end
        if len(self._pending) > MAX_PENDING:
            self._drop(next(iter(self._pending.values())))
        return end

    def due(self, now_ms: int) -> ClaimEnd | None:
        """Return one command whose time has come."""
        return next((end for end in self._pending.values() if end.due_ms <= now_ms), None)

    def for_key(self, key: ClaimKey) -> list[ClaimEnd]:
        """Return the pending ends of a claim, so that a resend can have them proposed first."""
        return [self._pending[token] for token in self._tokens.get(key, [])]

    def on_committed(self, end: ClaimEnd) -> None:
        """Forget a command that was committed."""
        if end.command.token in self._pending:
            self._drop(end)

    def on_failed(self, end: ClaimEnd, now_ms: int) -> None:
        """Put a command off, longer each time."""
        retry_ms = min(MAX_RETRY_MS, end.retry_ms * 2)
        if end.command.token in self._pending:
            self._pending[end.command.token] = ClaimEnd(end.command, now_ms + retry_ms, retry_ms)

    def _drop(self, end: ClaimEnd) -> None:
        command = end.command
        del self._pending[command.token]
        self._tokens[command.key].remove(command.token)
        if not self._tokens[command.key]:
            del self._tokens[command.key]
