"""Interface to backend servers, whatever protocol they speak."""

from typing import Protocol

from nutmegdrum_coord.ids import GenerationId

from nutmegdrum.messages import (
    CacheEvent,
    EngineCall,
    Finish,
    LoadReport,
    Order,
    OrderStatus,
    Token,
)
from nutmegdrum.settings import BackendSettings


class TokenSource(Protocol):
    """Open exchange with a backend server that yields one attempt's tokens."""

    def next(self, timeout_ms: int) -> list[Token | Finish]:
        """Return items that have arrived; none if only a part of one has.

        Raises
        ------
        BackendLost
            After `timeout_ms` of silence, or when the exchange broke.
        """
        ...

    def pending(self) -> bool:
        """Return whether `next` has something without waiting."""
        ...

    def fileno(self) -> int:
        """Return the descriptor that is readable once items arrive and none are pending."""
        ...

    def close(self) -> None:
        """Abandon the exchange; its connection is not used again."""
        ...


class BackendProtocol(Protocol):
    """Protocol that backend servers speak."""

    def open(self, backend: BackendSettings, call: EngineCall, timeout_ms: int) -> TokenSource:
        """Start one attempt, allowing `timeout_ms` to connect.

        Raises
        ------
        BackendLost
            If no connection was made or the backend server refused the call.
        """
        ...

    def cancel(self, backend: BackendSettings, generation: GenerationId, attempt: int) -> None:
        """Tell the backend server that an attempt's tokens are no longer wanted."""
        ...

    def load_report(self, backend: BackendSettings, timeout_ms: int) -> LoadReport:
        """Read the load report.

        Raises
        ------
        BackendLost
            If it cannot be read.
        """
        ...

    def cache_events(
        self, backend: BackendSettings, after: int, timeout_ms: int
    ) -> list[CacheEvent]:
        """Read the cache events after sequence number `after`.

        Raises
        ------
        BackendLost
            If they cannot be read.
        """
        ...

    def order(self, backend: BackendSettings, order: Order, timeout_ms: int) -> OrderStatus:
        """Give an order.

        Raises
        ------
        BackendLost
            If no answer came; the order may have been taken.
        """
        ...
