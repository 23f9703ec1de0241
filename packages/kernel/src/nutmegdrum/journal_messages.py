"""Messages of the journal, epochs, and selection of the newest copy."""

from collections.abc import Iterable, Sequence
from random import Random
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.ids import Epoch, VersionName
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy

from nutmegdrum.messages import GenerationRequest

CANCELLED = "cancelled"
"""Finish reason of a stream that its caller cancelled."""

_NONCE_BITS = 32


class EpochStart(NamedTuple):
    """Epoch that applies to the tokens from `first_index` on."""

    epoch: Epoch
    first_index: int


class Position(NamedTuple):
    """Position in a stream: the next index that a caller wants, and the epoch of the token before.

    Two owners may have produced different tokens with the same index, so the index alone does not
    identify what a caller has received. `epoch` is None if the caller did not send it.
    """

    next_index: int
    epoch: Epoch | None = None


START = Position(0)


class StreamHead(msgspec.Struct, frozen=True, kw_only=True):
    """Data besides the tokens that another VM needs to continue a stream.

    Attributes
    ----------
    lineage : list of EpochStart
        Epochs of the owners so far, each with its first token.
    """

    request: GenerationRequest
    version: VersionName | None = None
    lineage: list[EpochStart]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Head and tokens of a stream, as encoded in `StreamOpen.request`."""

    head: bytes
    tokens: list[str] = []
    finish_reason: str = ""


_encoder = msgspec.msgpack.Encoder()
_heads = msgspec.msgpack.Decoder(StreamHead)
_snapshots = msgspec.msgpack.Decoder(Snapshot)


def encode_head(head: StreamHead) -> bytes:
    """Encode a head."""
    return _encoder.encode(head)


def decode_head(data: bytes) -> StreamHead:
    """Decode a head."""
    return _heads.decode(data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Encode a snapshot."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Decode a snapshot."""
    return _snapshots.decode(data)


def next_epoch(current: Epoch, rng: Random) -> Epoch:
    """Return an epoch above `current` whose random low bits make it unique across VMs."""
    number = (int(current) >> _NONCE_BITS) + 1
    return Epoch(number << _NONCE_BITS | rng.getrandbits(_NONCE_BITS))


def epoch_at(lineage: Sequence[EpochStart], index: int) -> Epoch:
    """Return the epoch of the owner that produced token `index`."""
    return max(start for start in lineage if start.first_index <= index).epoch


def covers(lineage: Sequence[EpochStart], length: int, position: Position) -> bool:
    """Return whether a copy of `length` tokens contains all that a caller at `position` has."""
    if position.next_index > length:
        return False
    if position.next_index == 0 or position.epoch is None:
        return True
    return epoch_at(lineage, position.next_index - 1) == position.epoch


def newest_copy(copies: Iterable[StreamCopy]) -> StreamCopy | None:
    """Return the copy of the newest owner, the longest one if there are several."""
    found = [copy for copy in copies if copy.found]
    return max(found, key=_age, default=None)


def _age(copy: StreamCopy) -> tuple[int, int, bool]:
    owner = decode_head(copy.request).lineage[-1].epoch
    return int(owner), len(copy.tokens), bool(copy.finish_reason)
