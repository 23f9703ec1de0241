"""Newest committed routing document on a state replica's disk, readable before an election.

A replica that restarts knows its log, but not which of its last entries are committed, until a
leader tells it. When all replicas restart together, that takes an election. What this file holds
was committed when it was written, so entry VMs may serve with it until a leader answers.
"""

import logging
import os
import threading
from pathlib import Path

import msgspec
import xxhash
from nutmegdrum_coord.logstore import sync_folder

from nutmegdrum_relay.revisions import Revision

log = logging.getLogger(__name__)

FILE = "newest-document"
_DIGEST_BYTES = 8


class DocumentCache:
    """File with one revision and its digest.

    Parameters
    ----------
    folder : Path
        The replica's data folder.
    """

    def __init__(self, folder: Path):
        self._path = folder / FILE

    def load(self) -> Revision:
        """Return the revision; version 0 if there is none or the file is torn."""
        try:
            data = self._path.read_bytes()
        except FileNotFoundError:
            return Revision()
        digest, encoded = data[:_DIGEST_BYTES], data[_DIGEST_BYTES:]
        if xxhash.xxh64_digest(encoded) != digest:
            log.warning("the cached routing document is torn, it is left out")
            return Revision()
        return msgspec.msgpack.decode(encoded, type=Revision)

    def save(self, revision: Revision) -> None:
        """Replace the file.

        Raises
        ------
        OSError
            If the disk refuses it.
        """
        encoded = msgspec.msgpack.encode(revision)
        arriving = self._path.with_suffix(".arriving")
        with arriving.open("wb") as file:
            file.write(xxhash.xxh64_digest(encoded) + encoded)
            file.flush()
            os.fsync(file.fileno())
        arriving.rename(self._path)
        sync_folder(self._path.parent)


class CacheWriter:
    """Thread that saves the newest revision; the log's thread never waits for it."""

    def __init__(self, cache: DocumentCache):
        self._cache = cache
        self._changed = threading.Condition()
        self._newest = Revision()
        self._saved_version = 0
        self._thread = threading.Thread(target=self._run, name="document-cache", daemon=True)

    def start(self) -> None:
        """Start writing."""
        self._thread.start()

    def put(self, revision: Revision) -> None:
        """Save a committed revision soon, unless a newer one comes first."""
        with self._changed:
            if revision.version > self._newest.version:
                self._newest = revision
                self._changed.notify()

    def _run(self) -> None:
        while True:
            with self._changed:
                self._changed.wait_for(lambda: self._newest.version > self._saved_version)
                revision = self._newest
            try:
                self._cache.save(revision)
            except OSError as exc:
                log.warning("the routing document is not cached: %s", exc)
            self._saved_version = revision.version
