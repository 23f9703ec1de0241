"""Interface to backend servers, independent of their protocol."""

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
    """Open exchange with a backend server that yields the tokens of one attempt."""

    def next(self, timeout_ms: int) -> list[Token | Finish]:
        """Return the items that have arrived; an empty list if one has arrived only in part.

        Raises
        ------
        BackendLost
            After `timeout_ms` of silence, or if the exchange broke.
        """
        ...

    def pending(self) -> bool:
        """Return whether `next` would return without waiting."""
        ...

    def fileno(self) -> int:
        """Return the descriptor that becomes readable when items arrive and none are pending."""
        ...

    def close(self) -> None:
        """Close the exchange; its connection is not reused."""
        ...


class BackendProtocol(Protocol):
    """Protocol that backend servers speak."""

    def open(self, backend: BackendSettings, call: EngineCall, timeout_ms: int) -> TokenSource:
        """Start one attempt, with `timeout_ms` as the connect time-out.

        Raises
        ------
        BackendLost
            If the connection failed or the backend server refused the call.
        """
        ...

    def cancel(self, backend: BackendSettings, generation: GenerationId, attempt: int) -> None:
        """Cancel an attempt at the backend server."""
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
        """Send an order.

        Raises
        ------
        BackendLost
            If there was no answer; the order may still have been accepted.
        """
        ...
