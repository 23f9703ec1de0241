"""State of one generation at the VM that relays it.

A stream accepts the next token of its current attempt and nothing else, so what a caller gets
is one chain of tokens whatever engines and links do. It has no I/O.
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
"""Attempt numbers of one owner; they rise with the epoch, so that two owners never share one."""

MAX_LOSSES = 8
"""Losses that a stream remembers, to avoid their backend servers."""

UNHARMED = frozenset({LossKind.BUSY, LossKind.NOT_LOADED, LossKind.REFUSED})
"""Losses in which the request can't have harmed the backend server."""

CRASHES = frozenset({LossKind.RESET, LossKind.TRUNCATED})
"""Losses that may be a crash, of which the request may be the cause."""


class StreamState(Enum):
    """Where a stream stands."""

    IDLE = "idle"
    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"


class Loss(NamedTuple):
    """Attempt that ended before its generation did."""

    attempt: int
    backend: BackendId
    kind: LossKind
    at: ElapsedMs


class Stream:
    """State machine of one generation: attempts, accepted tokens and their order.

    Parameters
    ----------
    epoch : Epoch
        Ownership of the stream; each takeover has a higher one.
    max_attempts : int
        Lost attempts in a row without a token before the stream fails.
    version : VersionName or None
        Version that served the tokens so far.
    tokens : sequence of str
        Tokens of earlier owners.
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
    ):
        self.req = req
        self.generation = generation
        self.epoch = epoch
        self.tokens = list(tokens)
        self.finish = finish
        self.state = StreamState.FINISHED if finish else StreamState.IDLE
        self.attempts = 0
        self.fruitless = 0
        self.losses: list[Loss] = []
        self.dropped = 0
        self.backend: BackendId | None = None
        self._max_attempts = max_attempts
        self._version = version

    @property
    def attempt(self) -> int:
        """Return the number of the current attempt."""
        return int(self.epoch) * ATTEMPTS_PER_EPOCH + self.attempts

    @property
    def version(self) -> VersionName | None:
        """Return the version that must serve the rest; None while no token was accepted."""
        return self._version if self.tokens else None

    def query(self, isolated: bool = True, exclude: bool = True) -> RouteQuery:
        """Return the question to routing for the next attempt.

        Parameters
        ----------
        isolated : bool
            Whether to run apart from other suspects if a backend server was lost.
        exclude : bool
            Whether to avoid the backend servers that this stream was lost on.
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

    def accept(self, attempt: int, items: Iterable[Token | Finish]) -> list[Token | Finish]:
        """Take items of an attempt and return those that continue the chain.

        Items of older attempts, repeated tokens and tokens after a gap are counted in `dropped`.
        A finish is taken only if it counts exactly the accepted tokens.
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
        self.fruitless = 0
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
        self.fruitless += kind not in UNHARMED
        self.state = StreamState.IDLE
        return True

    @property
    def recovers(self) -> bool:
        """Return whether the next attempt makes up for one that may have run.

        A request that backend servers only turned away has not begun.
        """
        return bool(self.tokens) or self.fruitless > 0

    def exhausted_reason(self) -> Reason | None:
        """Return why no further attempt may start, or None if one may."""
        return BACKEND_LOST if self.fruitless >= self._max_attempts else None

    def fail(self) -> None:
        """End the stream without a finish; nothing is accepted from now on."""
        if self.state is not StreamState.FINISHED:
            self.state = StreamState.FAILED
