"""Cache of the newest committed document and version shares on a state replica's disk.

A replica that restarts has its log, but learns only from a leader which of the last entries are
committed. If all replicas restart together, this takes an election. The cached state was committed
when it was written, so entry VMs can serve with it until a leader answers.
"""

import logging
import os
import threading
from pathlib import Path

import msgspec
import xxhash
from nutmegdrum.units import Duration
from nutmegdrum_coord.logstore import sync_folder

from nutmegdrum_relay.revisions import Revision
from nutmegdrum_relay.views import VersionShares

log = logging.getLogger(__name__)

FILE = "newest-document"
_DIGEST_BYTES = 8


class Cached(Revision, frozen=True):
    """Cached document and version shares.

    Files of earlier releases contain no shares.
    """

    shares: VersionShares = VersionShares()

    @property
    def revision(self) -> Revision:
        """Return the document without the shares."""
        return Revision(self.version, self.source)


class DocumentCache:
    """File with a document, its version shares and a checksum of both.

    Parameters
    ----------
    folder : Path
        The replica's data folder.
    """

    def __init__(self, folder: Path):
        self._path = folder / FILE

    def load(self) -> Cached:
        """Return the saved state; version 0 if there is none or the file is corrupt."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return Cached()
        digest, encoded = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        if xxhash.xxh64_digest(encoded) != digest:
            log.warning("the cached routing document is corrupt; it is ignored")
            return Cached()
        return msgspec.msgpack.decode(encoded, type=Cached)

    def save(self, cached: Cached) -> None:
        """Replace the file atomically.

        Raises
        ------
        OSError
            If the file cannot be written.
        """
        encoded = msgspec.msgpack.encode(cached)
        arriving = self._path.with_suffix(".arriving")
        with arriving.open("wb") as file:
            file.write(xxhash.xxh64_digest(encoded) + encoded)
            file.flush()
            os.fsync(file.fileno())
        arriving.rename(self._path)
        sync_folder(self._path.parent)


RETRY_PERIOD = Duration(500)
"""Time between tries to save state that could not be saved, for instance on a full disk."""

_MS_PER_S = 1_000


class CacheWriter:
    """Thread that saves the newest state, so that the log's thread never waits for the disk."""

    def __init__(self, cache: DocumentCache):
        self._cache = cache
        self._changed = threading.Condition()
        self._newest = Cached()
        self._saved = Cached()
        self._retry = threading.Event()
        self._thread = threading.Thread(target=self._run, name="document-cache", daemon=True)

    def start(self) -> None:
        """Start the thread."""
        self._thread.start()

    def put(self, revision: Revision, shares: VersionShares) -> None:
        """Schedule committed state to be saved; newer state replaces it if it arrives first."""
        with self._changed:
            document = max(self._newest.revision, revision, key=lambda r: r.version)
            newer = max(self._newest.shares, shares, key=lambda s: s.number)
            self._newest = Cached(document.version, document.source, newer)
            if self._is_behind():
                self._changed.notify()

    def _is_behind(self) -> bool:
        newest, saved = self._newest, self._saved
        return (newest.version, newest.shares.number) != (saved.version, saved.shares.number)

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(self._is_behind)
                cached = self._newest
            try:
                self._cache.save(cached)
            except OSError as exc:
                log.warning("cannot cache the routing document: %s", exc)
                self._retry.wait(RETRY_PERIOD / _MS_PER_S)
                continue
            self._saved = cached
