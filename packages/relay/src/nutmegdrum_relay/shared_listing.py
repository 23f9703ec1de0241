"""The list of backend servers that a state leader reads for all entry VMs."""

import threading

from nutmegdrum.packing import pack
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import ServiceName, VersionName

from nutmegdrum_relay.compressed import compress
from nutmegdrum_relay.dialect import ListedBackend
from nutmegdrum_relay.views import SharedListing


class ListingPublisher:
    """Names each list that was read, so that entry VMs get it only when it changed."""

    def __init__(self, clock: Clock, reader: str):
        self._clock = clock
        self._reader = reader
        self._lock = threading.Lock()
        self._listed: tuple[ListedBackend, ...] = ()
        self._compressed = b""
        self._number = 0
        self._read_ms: int | None = None

    def publish(self, listing: list[ListedBackend]) -> None:
        """Take a list that was just read."""
        listed = tuple(sorted(listing))
        with self._lock:
            if self._read_ms is None or listed != self._listed:
                self._number += 1
                self._listed = listed
                self._compressed = compress(pack(listed))
            self._read_ms = self._clock.elapsed_ms()

    def serves(self, service: ServiceName, version: VersionName) -> bool:
        """Return whether a backend server of this version is listed that takes requests."""
        with self._lock:
            return any(
                listed.service == service and listed.version == version and not listed.leaving
                for listed in self._listed
            )

    def for_entry(self, known: str) -> SharedListing | None:
        """Return the list for an entry VM that has the one named `known`; None before a reading."""
        with self._lock:
            if self._read_ms is None:
                return None
            name = f"{self._reader}/{self._number}"
            return SharedListing(
                name=name,
                age_ms=self._clock.elapsed_ms() - self._read_ms,
                compressed=None if known == name else self._compressed,
            )
