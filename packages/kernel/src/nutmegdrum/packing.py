"""Encoding of typed messages between processes as msgpack."""

from typing import Any

import msgspec

from nutmegdrum.units import decode_hook, encode_hook

_encoder = msgspec.msgpack.Encoder(enc_hook=encode_hook)


def pack(message: msgspec.Struct) -> bytes:
    """Encode a message."""
    return _encoder.encode(message)


def unpack(data: bytes, kind: Any) -> Any:
    """Decode a message of type `kind`, a type or a union.

    Raises
    ------
    msgspec.MsgspecError
        If the data is not a message of that type.
    """
    return msgspec.msgpack.decode(data, type=kind, dec_hook=decode_hook)
