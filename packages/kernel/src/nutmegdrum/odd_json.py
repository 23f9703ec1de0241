"""Decoding of JSON lists in which single items may be unreadable.

Several writers add to a platform's lists. One item that is nested too deeply, has a number out of
range or bytes that are no text makes the whole document unreadable to a decoder, although the other
items are sound.
"""

import re
from collections.abc import Iterator
from typing import Any

import msgspec

_TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
_OPENING, _CLOSING = b"[{", b"]}"


def decode_items(data: bytes, name: str) -> tuple[dict[str, Any], list[Any]]:
    """Return an object without its array `name`, and the items of that array that can be decoded.

    Raises
    ------
    ValueError
        If the data is no JSON object with such an array.
    """
    try:
        document = msgspec.json.decode(data)
        items = document.pop(name)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        document, items = _decode_singly(data, name)
    except (AttributeError, KeyError, TypeError):
        raise ValueError(f"no object with an array `{name}`") from None
    if not isinstance(document, dict) or not isinstance(items, list):
        raise ValueError(f"no object with an array `{name}`")
    return document, items


def _decode_singly(data: bytes, name: str) -> tuple[Any, list[Any]]:
    start = re.search(rb'"%b"\s*:\s*\[' % re.escape(name.encode()), data)
    if start is None:
        raise ValueError(f"unreadable, and without an array `{name}`")
    items, end = [], start.end()
    for begin, end in _item_bounds(data, start.end()):
        try:
            items.append(msgspec.json.decode(data[begin:end]))
        except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
            continue
    closing = data.find(b"]", end)
    if closing < 0:
        raise ValueError(f"the array `{name}` does not end")
    try:
        document = msgspec.json.decode(data[: start.end()] + data[closing:])
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        raise ValueError(f"unreadable beside the array `{name}`: {exc}") from None
    document.pop(name)
    return document, items


def _item_bounds(data: bytes, start: int) -> Iterator[tuple[int, int]]:
    """Yield the bounds of an array's items; `start` is the position after its bracket."""
    depth, begin = 0, start
    for token in _TOKEN.finditer(data, start):
        mark = token[0]
        if mark in _OPENING:
            depth += 1
        elif mark in _CLOSING and depth:
            depth -= 1
        elif not depth and mark in b",]":
            if data[begin : token.start()].strip():
                yield begin, token.start()
            if mark == b"]":
                return
            begin = token.end()
