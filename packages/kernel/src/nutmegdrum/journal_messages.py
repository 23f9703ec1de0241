"""What the journal keeps of a stream, and which of several copies goes on."""

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
    """Epoch of the tokens from `first_index` on."""

    epoch: Epoch
    first_index: int


class Position(NamedTuple):
    """Place in a stream: the next index that a caller wants, and the epoch of the one before.

    Two owners may have made different tokens of one index, so that the index alone does not say
    what a caller has. `epoch` is None where the caller did not tell it.
    """

    next_index: int
    epoch: Epoch | None = None


START = Position(0)


class StreamHead(msgspec.Struct, frozen=True, kw_only=True):
    """What another VM needs besides the tokens to go on with a stream.

    Attributes
    ----------
    lineage : list of EpochStart
        Epochs of the owners so far, each with its first token.
    """

    request: GenerationRequest
    version: VersionName | None = None
    lineage: list[EpochStart]


class Snapshot(msgspec.Struct, frozen=True, kw_only=True):
    """Head and tokens as `StreamOpen.request` carries them."""

    head: bytes
    tokens: list[str] = []
    finish_reason: str = ""


_encoder = msgspec.msgpack.Encoder()
_heads = msgspec.msgpack.Decoder(StreamHead)
_snapshots = msgspec.msgpack.Decoder(Snapshot)


def encode_head(head: StreamHead) -> bytes:
    """Return the encoded head."""
    return _encoder.encode(head)


def decode_head(data: bytes) -> StreamHead:
    """Return the head in `data`."""
    return _heads.decode(data)


def encode_snapshot(snapshot: Snapshot) -> bytes:
    """Return the encoded snapshot."""
    return _encoder.encode(snapshot)


def decode_snapshot(data: bytes) -> Snapshot:
    """Return the snapshot in `data`."""
    return _snapshots.decode(data)


def next_epoch(current: Epoch, rng: Random) -> Epoch:
    """Return an epoch above `current` that no other VM draws."""
    number = (int(current) >> _NONCE_BITS) + 1
    return Epoch(number << _NONCE_BITS | rng.getrandbits(_NONCE_BITS))


def epoch_at(lineage: Sequence[EpochStart], index: int) -> Epoch:
    """Return the epoch of the owner that made token `index`."""
    return max(start for start in lineage if start.first_index <= index).epoch


def covers(lineage: Sequence[EpochStart], length: int, position: Position) -> bool:
    """Return whether a copy of `length` tokens holds all that a caller at `position` has."""
    if position.next_index > length:
        return False
    if position.next_index == 0 or position.epoch is None:
        return True
    return epoch_at(lineage, position.next_index - 1) == position.epoch


def newest_copy(copies: Iterable[StreamCopy]) -> StreamCopy | None:
    """Return the copy of the newest owner, and the longest of these."""
    found = [copy for copy in copies if copy.found]
    return max(found, key=_age, default=None)


def _age(copy: StreamCopy) -> tuple[int, int, bool]:
    owner = decode_head(copy.request).lineage[-1].epoch
    return int(owner), len(copy.tokens), bool(copy.finish_reason)
