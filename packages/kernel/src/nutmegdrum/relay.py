"""Relaying of one caller's generation, over as many attempts as it takes.

The caller's thread reads from the backend server, so a stream has one thread and one connection
at a time.
"""

from collections.abc import Callable, Iterator
from random import Random

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import Epoch, GenerationId
from nutmegdrum_coord.verdict import Reason, Refusal, Verdict

from nutmegdrum.backends import BackendProtocol, TokenSource
from nutmegdrum.messages import BackendLost, Finish, GenerationRequest, LossKind, Token
from nutmegdrum.plugins import Event, Registry
from nutmegdrum.routing_query import Choice, Choose
from nutmegdrum.settings import BackendSettings, Settings
from nutmegdrum.streams import UNHARMED, Stream, StreamState

Batch = list[Token | Finish]

FIRST_EPOCH = Epoch(1)
_RETRY_AFTER_MS = 1_000


class Relay:
    """Runs generations on backend servers and yields their tokens in one chain.

    Parameters
    ----------
    choose : Choose
        Routing: the backend server and version for an attempt, or why there is none.
    losses : callable or None
        Called with the request and each loss, to find requests that crash backend servers.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: Random,
        protocol: BackendProtocol,
        choose: Choose,
        registry: Registry,
        losses: Callable[[GenerationRequest, BackendLost], None] | None = None,
    ):
        self._cfg = cfg.streams
        self._clock = clock
        self._rng = rng
        self._protocol = protocol
        self._choose = choose
        self._registry = registry
        self._losses = losses

    def run(
        self, req: GenerationRequest, generation: GenerationId, first_index: int = 0
    ) -> Iterator[Batch]:
        """Yield batches of tokens from `first_index` on; the last batch ends with the finish.

        Raises
        ------
        Refusal
            If the generation can't go on.
        """
        stream = Stream(req, generation, FIRST_EPOCH, self._cfg.max_attempts)
        while stream.state is not StreamState.FINISHED:
            choice = self._next_choice(stream)
            for batch in self._attempt(stream, choice):
                yield [item for item in batch if _is_wanted(item, first_index)]

    def _next_choice(self, stream: Stream) -> Choice:
        why = stream.spent()
        choice = why if why is not None else self._choose(stream.query())
        if isinstance(choice, Reason):
            verdict = Verdict.MAY_HAVE_RUN if stream.losses else Verdict.NOT_RUN
            raise Refusal(choice, verdict, _RETRY_AFTER_MS)
        return choice

    def _attempt(self, stream: Stream, choice: Choice) -> Iterator[Batch]:
        call = stream.begin(choice.backend.id, choice.version)
        source = None
        try:
            source = self._protocol.open(choice.backend, call, self._cfg.connect_timeout)
            yield from self._accept_all(stream, call.attempt, source)
        except BackendLost as loss:
            self._lose(stream, choice.backend, call.attempt, loss)
        except GeneratorExit:
            self._cancel(stream, choice.backend, call.attempt)
            raise
        finally:
            if source is not None:
                source.close()

    def _accept_all(self, stream: Stream, attempt: int, source: TokenSource) -> Iterator[Batch]:
        timeout_ms = int(self._cfg.first_token_timeout)
        while stream.state is StreamState.RUNNING:
            items = source.next(timeout_ms)
            timeout_ms = int(self._cfg.max_token_timeout)
            dropped = stream.dropped
            batch = stream.accept(attempt, items)
            if batch:
                yield batch
            if stream.dropped != dropped:
                assert stream.backend is not None
                raise BackendLost(stream.backend, LossKind.ERROR, True, "tokens out of order")

    def _lose(
        self, stream: Stream, backend: BackendSettings, attempt: int, loss: BackendLost
    ) -> None:
        stream.lose(attempt, loss.kind, self._clock.elapsed_ms())
        if loss.kind is LossKind.SILENT:
            self._cancel(stream, backend, attempt)
        if loss.kind in UNHARMED - {LossKind.REFUSED}:
            return
        self._registry.send(Event.BACKEND_LOST, backend=backend.id, kind=loss.kind)
        if self._losses is not None:
            self._losses(stream.req, loss)

    def _cancel(self, stream: Stream, backend: BackendSettings, attempt: int) -> None:
        self._protocol.cancel(backend, stream.generation, attempt)


def _is_wanted(item: Token | Finish, first_index: int) -> bool:
    return isinstance(item, Finish) or item.index >= first_index
