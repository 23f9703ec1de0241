"""Reader of request bodies in chunks, up to the end of their trailer section.

cheroot's reader leaves the trailer section unread, where it is taken for the next request, and
reads lines of any length.
"""

from typing import Protocol

MAX_LINE = 8 << 10
"""Longest line with a chunk's size, in bytes."""

MAX_TRAILERS = 32 << 10
"""Largest trailer section, in bytes; the default limit for a request's head."""

_LINE_BREAK = b"\r\n"
_HEX = frozenset(b"0123456789abcdefABCDEF")
_MAX_SIZE_DIGITS = 16


class Readable(Protocol):
    """Buffered reader of a connection."""

    def read_into(self, data: bytearray, size: int) -> int:
        """Append `size` bytes to `data`, fewer only at the connection's end; return how many."""
        ...

    def skip(self, size: int) -> bytes:
        """Return up to `size` bytes, which are not kept; fewer only at the connection's end."""
        ...

    def readline(self, limit: int) -> bytes:
        """Return a line, or `limit` bytes of it."""
        ...


class MalformedBody(ValueError):
    """Body whose chunks cannot be told apart."""


class BodyTooLarge(ValueError):
    """Body that exceeds its limit."""


class IncompleteBody(ValueError):
    """Body that was cut off by the end of its connection."""


def read_chunked(file: Readable, max_body: int) -> bytes:
    """Return a body in chunks; trailer fields are discarded.

    Parameters
    ----------
    max_body : int
        Limit of the body in bytes; 0 for none.

    Raises
    ------
    MalformedBody, BodyTooLarge, IncompleteBody
        If the body cannot be read to its end.
    """
    body = bytearray()
    try:
        while size := _chunk_size(_line(file, MAX_LINE)):
            if max_body and len(body) + size > max_body:
                raise BodyTooLarge(f"more than {max_body} bytes")
            if file.read_into(body, size) < size:
                raise IncompleteBody("the connection ended within a chunk")
            if file.skip(len(_LINE_BREAK)) != _LINE_BREAK:
                raise MalformedBody("a chunk does not end with a line break")
        _skip_trailers(file)
        return bytes(body)
    finally:
        # The traceback of an exception would keep it until the refusal has been sent.
        body.clear()


def _chunk_size(line: bytes) -> int:
    digits = line.partition(b";")[0].strip(b" \t\r\n")
    if not digits or len(digits) > _MAX_SIZE_DIGITS or not _HEX.issuperset(digits):
        raise MalformedBody(f"invalid size of a chunk: {digits[:32]!r}")
    return int(digits, 16)


def _skip_trailers(file: Readable) -> None:
    left = MAX_TRAILERS
    while (line := _line(file, left)) != _LINE_BREAK:
        left -= len(line)
        if left <= 0:
            raise BodyTooLarge(f"more than {MAX_TRAILERS} bytes of trailer fields")


def _line(file: Readable, limit: int) -> bytes:
    line = file.readline(limit)
    if line.endswith(_LINE_BREAK):
        return line
    if line.endswith(b"\n"):
        raise MalformedBody("a line ends without a carriage return")
    if len(line) >= limit:
        raise BodyTooLarge(f"a line of more than {limit} bytes")
    raise IncompleteBody("the connection ended within the body")
