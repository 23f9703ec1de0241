"""Compression of large message parts, which are compressed once and sent to many entry VMs.

A routing document or a list of backend servers has some 20 KB at the users' largest site, mostly
repeated names. Each change is sent to all entry VMs, many of which are in other data centres and
some behind links of 5 Mbit/s.
"""

import zlib

MAX_INFLATED = 64 << 20
"""Maximum decompressed size in bytes; 16 times the largest document that callers' limits allow."""


def compress(data: bytes) -> bytes:
    """Return compressed `data`; empty if `data` is empty."""
    return zlib.compress(data) if data else b""


def decompress(data: bytes) -> bytes:
    """Return decompressed `data`; empty if `data` is empty.

    Raises
    ------
    ValueError
        If `data` is invalid or truncated, or inflates to more than `MAX_INFLATED` bytes.
    """
    if not data:
        return b""
    inflater = zlib.decompressobj()
    try:
        inflated = inflater.decompress(data, MAX_INFLATED)
    except zlib.error as exc:
        raise ValueError(f"cannot decompress the data: {exc}") from None
    if not inflater.eof:
        raise ValueError("compressed data is truncated, or larger than `MAX_INFLATED`")
    return inflated
