"""State machine of one generation at the VM that owns it.

A stream accepts only the next token of its current attempt, so the caller receives one consistent
sequence of tokens whatever engines and links do. The module does no I/O.
"""

from collections.abc import Iterable, Sequence
from enum import Enum
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId, Epoch, GenerationId, VersionName
from nutmegdrum_coord.verdict import BACKEND_LOST, Reason

from nutmegdrum.messages import EngineCall, Finish, GenerationRequest, LossKind, Token
from nutmegdrum.routing_query import RouteQuery

ATTEMPTS_PER_EPOCH = 1_000
"""Attempt numbers reserved for each epoch, so that two owners never use the same number."""

MAX_LOSSES = 8
"""Number of latest losses that a stream keeps, to avoid their backend servers."""

HARMLESS_LOSSES = frozenset({LossKind.BUSY, LossKind.NOT_LOADED, LossKind.REFUSED})
"""Kinds of loss in which the request cannot have harmed the backend server."""

CRASHES = frozenset({LossKind.RESET, LossKind.TRUNCATED})
"""Kinds of loss that may be a crash caused by the request."""


class StreamState(Enum):
    """State of a stream; idle between two attempts."""

    IDLE = "idle"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


class Loss(NamedTuple):
    """Attempt that ended before its generation finished."""

    attempt: int
    backend: BackendId
    kind: LossKind
    at: ElapsedMs


class Stream:
    """State machine of one generation: its attempts and accepted tokens.

    Parameters
    ----------
    epoch : Epoch
        Fencing token of the owner; each takeover raises it.
    max_attempts : int
        Consecutive lost attempts without a token before the stream fails.
    version : VersionName or None
        Version that produced `tokens`.
    tokens : sequence of str
        Tokens accepted by earlier owners.
    taken_over : bool
        Whether an earlier owner may have begun it.

    Attributes
    ----------
    sent : bool
        Whether a backend server may have got the request, from this owner or an earlier one.
    may_send_again : bool
        Whether the retry budget allows the next send.
    unreached_in_row : int
        Consecutive attempts without a connection to a backend server.
    """

    def __init__(
        self,
        req: GenerationRequest,
        generation: GenerationId,
        epoch: Epoch,
        max_attempts: int,
        version: VersionName | None = None,
        tokens: Sequence[str] = (),
        finish: Finish | None = None,
        taken_over: bool = False,
    ):
        self.req = req
        self.generation = generation
        self.epoch = epoch
        self.tokens = list(tokens)
        self.finish = finish
        self.state = StreamState.FINISHED if finish else StreamState.IDLE
        self.attempts = 0
        self.failures_in_row = 0
        self.unreached_in_row = 0
        self.losses: list[Loss] = []
        self.dropped = 0
        self.sent = taken_over
        self.may_send_again = False
        self.backend: BackendId | None = None
        self._max_attempts = max_attempts
        self._taken_over = taken_over
        self._version = version

    @property
    def attempt(self) -> int:
        """Return the number of the current attempt."""
        return int(self.epoch) * ATTEMPTS_PER_EPOCH + self.attempts

    @property
    def version(self) -> VersionName | None:
        """Return the version that must serve the remaining tokens; None before the first token."""
        return self._version if self.tokens else None

    def query(self, isolated: bool = True, exclude: bool = True) -> RouteQuery:
        """Return the routing query for the next attempt.

        Parameters
        ----------
        isolated : bool
            Whether to isolate the attempt from other suspects if a loss may have been a crash.
        exclude : bool
            Whether to exclude the backend servers on which this stream lost attempts.
        """
        excluded = {loss.backend for loss in self.losses} if exclude else ()
        suspect = any(loss.kind in CRASHES for loss in self.losses)
        return RouteQuery(
            model=self.req.model,
            workspace=self.req.workspace,
            prompt=self.req.prompt,
            generation=self.generation,
            version=self.version,
            adapter=self.req.adapter,
            priority=self.req.priority,
            excluded=frozenset(excluded),
            isolated=isolated and suspect,
        )

    def begin(self, backend: BackendId, version: VersionName) -> EngineCall:
        """Start the next attempt and return the call that continues after the accepted tokens.

        Raises
        ------
        ValueError
            If the stream has ended, or another version than the pinned one is given.
        """
        if self.state in (StreamState.FINISHED, StreamState.FAILED):
            raise ValueError(f"stream is {self.state.value}")
        if self.version not in (None, version):
            raise ValueError(f"stream is pinned to version {self.version}, not {version}")
        self.attempts += 1
        self.state = StreamState.RUNNING
        self.backend = backend
        self._version = version
        return EngineCall(
            generation=self.generation,
            attempt=self.attempt,
            model=self.req.model,
            version=version,
            adapter=self.req.adapter,
            prompt=self.req.prompt,
            prefix=list(self.tokens),
            max_tokens=self.req.max_tokens,
            seed=self.req.seed,
            temperature=self.req.temperature,
            priority=self.req.priority,
        )

    def on_sent(self) -> None:
        """Record that a backend server may have got the current attempt's call."""
        self.sent = True
        self.may_send_again = False

    def accept(self, attempt: int, items: Iterable[Token | Finish]) -> list[Token | Finish]:
        """Accept items of an attempt and return those that continue the token sequence.

        Items of older attempts, repeated tokens and tokens after a gap are dropped and counted in
        `dropped`. A finish is accepted only if its count equals the number of accepted tokens.
        """
        accepted: list[Token | Finish] = []
        for item in items:
            if attempt == self.attempt and self.state is StreamState.RUNNING and self._take(item):
                accepted.append(item)
            else:
                self.dropped += 1
        return accepted

    def _take(self, item: Token | Finish) -> bool:
        if isinstance(item, Finish):
            return self._end(item)
        if item.index != len(self.tokens):
            return False
        self.tokens.append(item.text)
        self.failures_in_row = 0
        self.unreached_in_row = 0
        return True

    def _end(self, finish: Finish) -> bool:
        if finish.count != len(self.tokens):
            return False
        self.finish = finish
        self.state = StreamState.FINISHED
        return True

    def lose(self, attempt: int, kind: LossKind, now_ms: ElapsedMs) -> bool:
        """Record that an attempt ended early and return whether it was the current one."""
        if attempt != self.attempt or self.state is not StreamState.RUNNING:
            return False
        assert self.backend is not None
        self.losses.append(Loss(attempt, self.backend, kind, now_ms))
        del self.losses[:-MAX_LOSSES]
        self.failures_in_row += kind not in HARMLESS_LOSSES
        self.unreached_in_row = self.unreached_in_row + 1 if kind is LossKind.REFUSED else 0
        self.state = StreamState.IDLE
        return True

    @property
    def is_recovery(self) -> bool:
        """Return whether the next attempt follows one that may have run.

        A request that backend servers have only rejected has not begun.
        """
        return self._taken_over or bool(self.tokens) or self.failures_in_row > 0

    def exhausted_reason(self) -> Reason | None:
        """Return the reason why no further attempt may start, or None if one may."""
        return BACKEND_LOST if self.failures_in_row >= self._max_attempts else None

    @property
    def is_last_attempt(self) -> bool:
        """Return whether no further attempt may start if the current one is lost."""
        return self.failures_in_row + 1 >= self._max_attempts

    def fail(self) -> None:
        """End the stream without a finish; it accepts no more items."""
        if self.state is not StreamState.FINISHED:
            self.state = StreamState.FAILED
