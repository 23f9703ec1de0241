"""List of backend servers that the state leader reads and publishes for all entry VMs."""

import threading
from collections.abc import Callable

from nutmegdrum.packing import pack
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ServiceName, VersionName

from nutmegdrum_relay.compressed import compress
from nutmegdrum_relay.dialect import ListedBackend
from nutmegdrum_relay.views import SharedListing


class ListingPublisher:
    """Holder of the newest list, which entry VMs get only when it has changed.

    Parameters
    ----------
    reader : str
        Prefix of the lists' names, unique for each replica start.
    term : callable
        Returns the log's current term. A list that was read in an earlier one is not published.
    """

    def __init__(self, clock: Clock, reader: str, term: Callable[[], int] = lambda: 0):
        self._term = term
        self._clock = clock
        self._reader = reader
        self._lock = threading.Lock()
        self._listed: tuple[ListedBackend, ...] = ()
        self._compressed = b""
        self._number = 0
        self._read_ms: int | None = None
        self._read_term = -1

    def publish(self, listing: list[ListedBackend]) -> None:
        """Publish a list that was just read."""
        listed = tuple(sorted(listing))
        with self._lock:
            self._read_term = self._term()
            if self._read_ms is None or listed != self._listed:
                self._number += 1
                self._listed = listed
                self._compressed = compress(pack(listed))
            self._read_ms = self._clock.elapsed_ms()

    def serves(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether the list has a backend server of this version that is not leaving."""
        with self._lock:
            return self._read_term == self._term() and any(
                listed.service == service and listed.version == version and not listed.leaving
                for listed in self._listed
            )

    def for_entry(self, known: str) -> SharedListing | None:
        """Return the list for an entry VM that has the list `known`; None before the first read."""
        with self._lock:
            if self._read_ms is None or self._read_term != self._term():
                return None
            name = f"{self._reader}/{self._number}"
            return SharedListing(
                name=name,
                age_ms=self._clock.elapsed_ms() - self._read_ms,
                compressed=None if known == name else self._compressed,
            )
