"""Files of one replica of the log.

The folder holds:

- `identity`: incarnation, and the boot of the VM in which the files were last known to be good.
- `ballot`: cluster, term and vote. Replaced as a whole: a new file is written and synced,
  renamed over the old one, and the folder is synced.
- `log`: a base record, then one record for each entry. The file is append-only; an entry whose
  position is not after the last one replaces all entries from that position on. `append` syncs
  once for all entries of a call. A compaction replaces the file in the same way as the ballot.
- `log.synced`: number of bytes of `log` that have been synced; a hint that is itself not synced.
- `snapshot`: state of the state machine, followed by a record that describes it.
- `snapshot.arriving`: incomplete snapshot from the leader, unused until it is renamed.

Reading `log` stops at the first invalid record. If nothing proves that this part had been synced,
it is the torn tail of a write that was never acknowledged, and is truncated. Otherwise the file
is corrupt, and this incarnation cannot go on.
"""

import contextlib
import os
import struct
from collections.abc import Callable, Iterator, Sequence
from pathlib import Path
from typing import NamedTuple, TypeVar

import msgspec
import xxhash

from nutmegdrum_coord.entries import EntryList
from nutmegdrum_coord.ids import IncarnationId
from nutmegdrum_coord.logeffects import Ballot, Compacted, Saved
from nutmegdrum_coord.logmessages import Base, Entry
from nutmegdrum_coord.records import encode_record, proven_synced, read_records, record_at

CHUNK_BYTES = 256 << 10

_SYNCED_SIZE = struct.Struct("<QQQ")
_TRAILER_LENGTH = struct.Struct("<Q")
_encoder = msgspec.msgpack.Encoder()
_entry_decoder = msgspec.msgpack.Decoder(Entry)
_T = TypeVar("_T")


class CorruptStore(Exception):
    """The files lack data that was synced, or are a copy from another time."""


class Identity(msgspec.Struct, frozen=True):
    """Content of `identity`."""

    incarnation: IncarnationId
    boot: str


class _BallotFile(msgspec.Struct, frozen=True):
    inode: int
    ballot: Ballot


class _LogHead(msgspec.Struct, frozen=True):
    inode: int
    generation: int
    base: Base


class SnapshotInfo(msgspec.Struct, frozen=True):
    """Last entry that a snapshot covers, its length in bytes and its XXH64."""

    base: Base
    size: int
    digest: int


class _LoadedLog(NamedTuple):
    head: _LogHead
    entries: EntryList
    end: int


def sync_folder(folder: Path) -> None:
    """Sync a folder, so that files created or renamed in it survive a crash."""
    fd = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(fd)
    finally:
        os.close(fd)


def _decode(data: bytes, kind: type[_T]) -> _T:
    try:
        return msgspec.msgpack.decode(data, type=kind)
    except msgspec.MsgspecError as exc:
        raise CorruptStore(str(exc)) from None


class LogStore:
    """Files of one incarnation.

    Parameters
    ----------
    folder : Path
        Folder of the replica; created if it is missing.
    boot : str
        Identity of the VM's current boot.
    synced_data_survives : bool
        Whether the disk keeps synced files through every restart and never returns an older
        copy; the inodes are then not checked, and all files are trusted after a restart.

    Raises
    ------
    CorruptStore
        If the files cannot be those that this incarnation last synced.
    """

    def __init__(self, folder: Path, boot: str, synced_data_survives: bool = False):
        self.folder = folder
        self.snapshot = SnapshotInfo(Base(), 0, 0)
        self._boot = boot
        self._synced_data_survives = synced_data_survives
        self._log_fd = -1
        self._synced_size_fd = -1
        self._generation = 0
        self._end = 0

    def create(self, incarnation: IncarnationId) -> None:
        """Create the files of a new incarnation.

        `identity` is written last; a folder without it counts as empty.
        """
        self.folder.mkdir(parents=True, exist_ok=True)
        sync_folder(self.folder.parent)
        self.save_ballot(Ballot())
        self.compact(Compacted(Base(), []))
        self.mark_trusted(incarnation)

    def identity(self) -> Identity | None:
        """Return the identity on disk, or None if the folder holds no incarnation."""
        try:
            data = (self.folder / "identity").read_bytes()
        except FileNotFoundError:
            return None
        return _decode(self._only_record(data, "identity"), Identity)

    def holds_state(self) -> bool:
        """Return whether the folder belongs to a replica of some cluster."""
        return (self.folder / "ballot").exists() and self._load_ballot() != Ballot()

    def mark_trusted(self, incarnation: IncarnationId) -> None:
        """Record that the files are good in the VM's current boot."""
        data = _encoder.encode(Identity(incarnation, self._boot))
        self._replace("identity", lambda inode: encode_record(data, 0))

    def load(self, new: bool) -> Saved:
        """Read all files, and truncate the torn tail of the log if there is one."""
        identity = self.identity()
        if identity is None:
            raise CorruptStore("identity: file is missing")
        ballot = self._load_ballot()
        self.snapshot = self._load_snapshot()
        read = self._open_log()
        covered = self.snapshot.base
        kept = read.entries
        if kept.base.position > covered.position:
            raise CorruptStore("log: entries between the snapshot and the log's start are missing")
        if kept.term_at(covered.position) != covered.term:
            kept = EntryList(covered)
            self.compact(Compacted(covered, []))
        base = kept.base
        return Saved(
            ballot=ballot,
            snapshot=covered,
            base=base,
            entries=kept.between(base.position, kept.last.position),
            trusted=self._synced_data_survives or identity.boot == self._boot,
            new=new,
        )

    def close(self) -> None:
        """Close all files."""
        for fd in (self._log_fd, self._synced_size_fd):
            if fd >= 0:
                os.close(fd)
        self._log_fd = self._synced_size_fd = -1

    def rewrite(self, saved: Saved) -> None:
        """Write the ballot and the log to new files, after a write or a sync of the old failed."""
        self.save_ballot(saved.ballot)
        self.compact(Compacted(saved.base, list(saved.entries)))

    def save_ballot(self, ballot: Ballot) -> None:
        """Replace cluster, term and vote; returns after the sync."""
        self._replace(
            "ballot",
            lambda inode: encode_record(_encoder.encode(_BallotFile(inode, ballot)), 0),
        )

    def append(self, entries: Sequence[Entry]) -> None:
        """Append entries; returns after the sync."""
        synced = self._end
        data = b"".join(encode_record(_encoder.encode(entry), synced) for entry in entries)
        _write_all(self._log_fd, data)
        os.fdatasync(self._log_fd)
        self._end += len(data)
        self._save_synced_size()

    def compact(self, compacted: Compacted) -> None:
        """Rewrite the log with a new base and the entries kept after it."""
        self._generation += 1
        self._replace("log", lambda inode: self._log_data(inode, compacted))
        self._reopen_log()

    def _log_data(self, inode: int, compacted: Compacted) -> bytes:
        head = _LogHead(inode, self._generation, compacted.base)
        payloads = [_encoder.encode(head), *map(_encoder.encode, compacted.entries)]
        return b"".join(encode_record(payload, 0) for payload in payloads)

    def write_snapshot(self, base: Base, data: bytes) -> None:
        """Replace the snapshot with one of this replica's state machine."""
        info = SnapshotInfo(base, len(data), xxhash.xxh64_intdigest(data))
        self._replace("snapshot", lambda inode: data + _trailer(info))
        self.snapshot = info

    def write_chunk(self, offset: int, data: bytes) -> None:
        """Write a chunk of an incoming snapshot; a chunk at offset 0 starts a new one."""
        flags = os.O_WRONLY | os.O_CREAT | (os.O_TRUNC if offset == 0 else 0)
        fd = os.open(self.folder / "snapshot.arriving", flags, 0o600)
        try:
            os.lseek(fd, offset, os.SEEK_SET)
            _write_all(fd, data)
        finally:
            os.close(fd)

    def install_snapshot(self, base: Base, digest: int) -> None:
        """Replace the snapshot with the received one; returns after the sync.

        Raises
        ------
        OSError
            If the received data does not match `digest`.
        """
        part = self.folder / "snapshot.arriving"
        size = part.stat().st_size
        if _file_digest(part, size) != digest:
            raise OSError(f"{part}: checksum mismatch in the received snapshot")
        info = SnapshotInfo(base, size, digest)
        with part.open("ab") as file:
            file.write(_trailer(info))
            file.flush()
            os.fsync(file.fileno())
        part.rename(self.folder / "snapshot")
        sync_folder(self.folder)
        self.snapshot = info

    def install(self, base: Base, digest: int) -> None:
        """Replace the snapshot with the received one and restart the log after it."""
        self.install_snapshot(base, digest)
        self.compact(Compacted(base, []))

    def read_chunk(self, offset: int) -> bytes:
        """Return up to `CHUNK_BYTES` of the snapshot from `offset` on."""
        length = min(CHUNK_BYTES, self.snapshot.size - offset)
        if length <= 0:
            return b""
        with (self.folder / "snapshot").open("rb") as file:
            file.seek(offset)
            return file.read(length)

    def read_snapshot(self) -> bytes:
        """Return the whole snapshot."""
        with (self.folder / "snapshot").open("rb") as file:
            return file.read(self.snapshot.size)

    def _load_ballot(self) -> Ballot:
        path = self.folder / "ballot"
        content = _decode(self._only_record(_read(path), "ballot"), _BallotFile)
        if not self._synced_data_survives and content.inode != path.stat().st_ino:
            raise CorruptStore("ballot: inode differs, the file is a copy")
        return content.ballot

    def _only_record(self, data: bytes, name: str) -> bytes:
        record = record_at(data, 0)
        if record is None:
            raise CorruptStore(f"{name}: invalid record")
        return record.payload

    def _load_snapshot(self) -> SnapshotInfo:
        path = self.folder / "snapshot"
        if not path.exists():
            return SnapshotInfo(Base(), 0, 0)
        info = _snapshot_info(path)
        if _file_digest(path, info.size) != info.digest:
            raise CorruptStore("snapshot: checksum mismatch")
        return info

    def _open_log(self) -> _LoadedLog:
        data = _read(self.folder / "log")
        read = _read_log(data)
        if (
            not self._synced_data_survives
            and read.head.inode != (self.folder / "log").stat().st_ino
        ):
            raise CorruptStore("log: inode differs, the file is a copy")
        self._generation = read.head.generation
        if read.end < max(self._load_synced_size(), proven_synced(data, read.end)):
            raise CorruptStore(f"log: invalid record in synced data at byte {read.end}")
        if read.end < len(data):
            os.truncate(self.folder / "log", read.end)
        self._reopen_log()
        os.fsync(self._log_fd)
        return read

    def _reopen_log(self) -> None:
        self.close()
        self._log_fd = os.open(self.folder / "log", os.O_WRONLY | os.O_APPEND)
        self._synced_size_fd = os.open(self.folder / "log.synced", os.O_RDWR | os.O_CREAT, 0o600)
        self._end = os.fstat(self._log_fd).st_size
        self._save_synced_size()

    def _save_synced_size(self) -> None:
        values = (self._generation, self._end)
        os.pwrite(self._synced_size_fd, _SYNCED_SIZE.pack(*values, checksum_of_pair(*values)), 0)

    def _load_synced_size(self) -> int:
        """Return the number of bytes of the log that are known to have been synced."""
        with contextlib.suppress(FileNotFoundError, struct.error):
            data = (self.folder / "log.synced").read_bytes()
            generation, end, checksum = _SYNCED_SIZE.unpack(data)
            if generation == self._generation and checksum == checksum_of_pair(generation, end):
                return end
        return 0

    def _replace(self, name: str, content: Callable[[int], bytes]) -> None:
        part = self.folder / f"{name}.part"
        with part.open("wb") as file:
            file.write(content(os.fstat(file.fileno()).st_ino))
            file.flush()
            os.fsync(file.fileno())
        part.rename(self.folder / name)
        sync_folder(self.folder)


def checksum_of_pair(first: int, second: int) -> int:
    """Return the XXH64 of two numbers."""
    return xxhash.xxh64_intdigest(struct.pack("<QQ", first, second))


def _trailer(info: SnapshotInfo) -> bytes:
    record = encode_record(_encoder.encode(info), 0)
    return record + _TRAILER_LENGTH.pack(len(record))


def _write_all(fd: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(fd, view) :]


def _read(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except FileNotFoundError:
        raise CorruptStore(f"{path.name}: file is missing") from None


def _read_log(data: bytes) -> _LoadedLog:
    records = read_records(data)
    first = next(records, None)
    if first is None:
        raise CorruptStore("log: invalid first record")
    head = _decode(first.payload, _LogHead)
    entries = EntryList(head.base)
    end = first.end
    for record in records:
        entry = _decode_entry(record.payload)
        if not head.base.position < entry.position <= entries.last.position + 1:
            raise CorruptStore(f"log: position {entry.position} out of order")
        entries.replace([entry])
        end = record.end
    return _LoadedLog(head, entries, end)


def _decode_entry(data: bytes) -> Entry:
    try:
        return _entry_decoder.decode(data)
    except msgspec.MsgspecError as exc:
        raise CorruptStore(f"log: {exc}") from None


def _snapshot_info(path: Path) -> SnapshotInfo:
    with path.open("rb") as file:
        size = file.seek(0, os.SEEK_END)
        if size < _TRAILER_LENGTH.size:
            raise CorruptStore("snapshot: too short to hold a trailer")
        file.seek(size - _TRAILER_LENGTH.size)
        (length,) = _TRAILER_LENGTH.unpack(file.read())
        if length + _TRAILER_LENGTH.size > size:
            raise CorruptStore("snapshot: invalid trailer")
        file.seek(size - _TRAILER_LENGTH.size - length)
        record = record_at(file.read(length), 0)
    if record is None:
        raise CorruptStore("snapshot: invalid trailer")
    return _decode(record.payload, SnapshotInfo)


def _pieces(path: Path, size: int) -> Iterator[bytes]:
    with path.open("rb") as file:
        while size > 0 and (piece := file.read(min(CHUNK_BYTES, size))):
            size -= len(piece)
            yield piece


def _file_digest(path: Path, size: int) -> int:
    hasher = xxhash.xxh64()
    for piece in _pieces(path, size):
        hasher.update(piece)
    return hasher.intdigest()
