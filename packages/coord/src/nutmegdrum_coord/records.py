"""Framing of records in files, with a length, a checksum and the synced size of the file.

A record with a wrong checksum is either the torn tail of a write that was never synced, or
corruption of synced data. Each record therefore stores up to which byte the file had been synced
when it was written, so that a valid record after an invalid one can prove corruption.
"""

import struct
from collections.abc import Iterator
from typing import NamedTuple

import xxhash

MAGIC = b"\xd1NDR"
MAX_RECORD_BYTES = 1 << 28

_HEADER = struct.Struct("<4sIQQ")
_CHECKED = struct.Struct("<IQ")


class Record(NamedTuple):
    """One valid record.

    Attributes
    ----------
    start, end : int
        Byte offsets of the record in the file.
    synced : int
        Number of bytes of the file that were synced when the record was written.
    """

    start: int
    end: int
    synced: int
    payload: bytes


def encode_record(payload: bytes, synced: int) -> bytes:
    """Return the framed payload."""
    return _HEADER.pack(MAGIC, len(payload), synced, _checksum(payload, synced)) + payload


def _checksum(payload: bytes, synced: int) -> int:
    hasher = xxhash.xxh64(_CHECKED.pack(len(payload), synced))
    hasher.update(payload)
    return hasher.intdigest()


def record_at(data: bytes, start: int) -> Record | None:
    """Return the record at `start`, or None if it is incomplete or invalid."""
    body = start + _HEADER.size
    if body > len(data):
        return None
    magic, length, synced, checksum = _HEADER.unpack_from(data, start)
    end = body + length
    if magic != MAGIC or length > MAX_RECORD_BYTES or end > len(data):
        return None
    payload = bytes(data[body:end])
    if _checksum(payload, synced) != checksum:
        return None
    return Record(start, end, synced, payload)


def read_records(data: bytes) -> Iterator[Record]:
    """Yield the records from the start of the file up to the first invalid one."""
    start = 0
    while (record := record_at(data, start)) is not None:
        yield record
        start = record.end


def proven_synced(data: bytes, start: int) -> int:
    """Return the number of bytes that, by valid records after `start`, had been synced."""
    synced = 0
    at = data.find(MAGIC, start + 1)
    while at != -1:
        record = record_at(data, at)
        if record is not None:
            synced = max(synced, record.synced)
        at = data.find(MAGIC, record.end if record else at + 1)
    return synced
