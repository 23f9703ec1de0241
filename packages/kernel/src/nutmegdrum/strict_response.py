"""Responses that are accepted only in the form that HTTP/1.1 allows.

`http.client` hands a head to a parser of e-mail messages, which drops a line that isn't a field and
all lines after it, the body's length among them. Its reader of chunks takes whatever `int` takes
for a size, and any two bytes for the end of a chunk.
"""

import re
import socket
from collections.abc import Iterator
from http.client import HTTPException, HTTPResponse, IncompleteRead

from urllib3.connection import HTTPConnection

from nutmegdrum.chunked_bodies import MAX_LINE, MAX_TRAILERS

_STATUS_LINE = re.compile(rb"HTTP/1\.[0-9] [1-5][0-9]{2}( [\t\x20-\x7e\x80-\xff]*)?")
"""Version, status and reason (RFC 9112, section 4). Many servers omit the blank before an empty
reason."""

_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([\t\x20-\x7e\x80-\xff]*)")
"""Name and value (RFC 9110, sections 5.1 and 5.5). Folded lines may be rejected (RFC 9112, section
5.2)."""

_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,16})([ \t]*;[\t\x20-\x7e\x80-\xff]*)?\r\n")
"""Size of a chunk and its extensions, which are ignored (RFC 9112, section 7.1)."""

_LENGTH = re.compile(r"[0-9]{1,18}")
_SWITCHING_PROTOCOLS = 101
_FIRST_FINAL_STATUS = 200
_NO_CONTENT = 204
_HTTP_11 = 11
_LINE_BREAK = b"\r\n"
_LINE_FEED = b"\n"
_MAX_SHOWN = 64
_READ_BYTES = 64 << 10


class MalformedResponse(HTTPException):
    """Data that isn't a valid HTTP/1.1 response."""

    def __init__(self, what: str, data: object):
        super().__init__(f"{what}: {data!r:.{_MAX_SHOWN}}")


class _HeadReader:
    """Reader of the lines of one head or more, which rejects invalid ones.

    Fields are passed on without the optional white space around their value, which the e-mail
    parser would keep.

    Attributes
    ----------
    file : file
        Buffered reader of the connection.
    ended : bool
        Whether the line read last was the blank one that ends a head.
    """

    def __init__(self, file):
        self.file = file
        self.ended = False
        self._in_fields = False
        self._line_break = _LINE_BREAK

    def readline(self, limit: int = -1) -> bytes:
        line = self.file.readline(limit)
        self.ended = False
        if not line.endswith(_LINE_FEED):
            # The line is cut off or too long, for which `http.client` has errors of its own.
            return line
        if not self._in_fields:
            # A recipient may accept lines without carriage returns (RFC 9112, section 2.2). A line
            # feed between other line breaks belongs to the data of a line.
            self._line_break = _LINE_BREAK if line.endswith(_LINE_BREAK) else _LINE_FEED
            _check_status_line(_without_line_break(line, self._line_break))
            self._in_fields = True
            return line
        field = _without_line_break(line, self._line_break)
        self.ended = not field
        self._in_fields = not self.ended
        return line if self.ended else _checked_field(field)

    def close(self) -> None:
        self.file.close()


class StrictResponse(HTTPResponse):
    """Response that raises `MalformedResponse` where `http.client` would guess or ignore.

    A head that is cut off by the end of the connection raises `IncompleteRead`.
    """

    def begin(self) -> None:
        """Read the head, after any interim ones, and check that it tells where the body ends."""
        reader = _HeadReader(self.fp)
        self.fp = reader
        try:
            self._read_head(reader)
            while self.status < _FIRST_FINAL_STATUS:
                if self.status == _SWITCHING_PROTOCOLS:
                    raise MalformedResponse("unasked switch of protocols", self.status)
                # `begin` of http.client reads the next head if there is none.
                self.headers = None
                self._read_head(reader)
        finally:
            if self.fp is reader:
                self.fp = reader.file
        self._check_lengths()
        if self.length == 0:
            # The head of a response without body may say how a body would be sent.
            self.chunked = False

    def _read_head(self, reader: _HeadReader) -> None:
        """Read a head; `http.client` itself skips interim responses with status 100 only."""
        super().begin()
        if not reader.ended:
            raise IncompleteRead(b"")

    def _check_lengths(self) -> None:
        """Check the headers that define the body's length (RFC 9112, section 6)."""
        lengths = self.headers.get_all("Content-Length", [])
        codings = self.headers.get_all("Transfer-Encoding", [])
        if codings:
            # No other coding is asked for, and all but "chunked" would reach the caller undecoded.
            valid = [coding.lower() for coding in codings] == ["chunked"] and not lengths
            if not valid or self.version < _HTTP_11 or self.status == _NO_CONTENT:
                raise MalformedResponse("invalid Transfer-Encoding", codings)
        if lengths:
            valid = len(lengths) == 1 and _LENGTH.fullmatch(lengths[0])
            if not valid or (self.status == _NO_CONTENT and int(lengths[0]) > 0):
                raise MalformedResponse("invalid Content-Length", lengths)

    def parts(self) -> Iterator[bytes]:
        """Yield the body as it arrives, in parts of 64 KiB at most, and close the response.

        Raises
        ------
        HTTPException, OSError
            If the body is malformed, or the connection ends before it.
        """
        try:
            while data := self.read1(_READ_BYTES):
                yield data
            if self.length:
                raise IncompleteRead(b"", self.length)
        except Exception:
            self.close()
            raise
        self.close()

    def _get_chunk_left(self) -> int | None:
        """Return the bytes left of a chunk, the next one if needed; None at the body's end.

        All reading methods of `http.client` call it for what stands between the chunks' data.
        """
        if self.chunk_left:
            return self.chunk_left
        if self.chunk_left == 0:
            self._read_chunk_end()
        self.chunk_left = self._read_chunk_size() or None
        if self.chunk_left is None:
            self._skip_trailers()
            self._close_conn()
        return self.chunk_left

    def _read_chunk_end(self) -> None:
        end = self.fp.read(len(_LINE_BREAK))
        if end != _LINE_BREAK:
            raise MalformedResponse("invalid end of a chunk", end)

    def _read_chunk_size(self) -> int:
        line = self.fp.readline(MAX_LINE)
        match = _CHUNK_LINE.fullmatch(line)
        if match is None:
            raise MalformedResponse("invalid size of a chunk", line)
        return int(match[1], 16)

    def _skip_trailers(self) -> None:
        left = MAX_TRAILERS
        while (line := self.fp.readline(left)) != _LINE_BREAK:
            _checked_field(_without_line_break(line, _LINE_BREAK))
            left -= len(line)


class StrictConnection(HTTPConnection):
    """Connection whose responses are read strictly.

    Attributes
    ----------
    response : StrictResponse or None
        The last response. Its body is read from here, as urllib3's response parses chunks by
        itself.
    """

    def __init__(self, host: str, port: int, **options):
        super().__init__(host, port, **options)
        self.response: StrictResponse | None = None

    def response_class(self, sock: socket.socket, **options) -> StrictResponse:
        """Return a new response; `http.client` calls this attribute to make each one."""
        self.response = self.make_response(sock, **options)
        return self.response

    def make_response(self, sock: socket.socket, **options) -> StrictResponse:
        """Return a response whose head is still unread."""
        return StrictResponse(sock, **options)


def _without_line_break(line: bytes, line_break: bytes) -> bytes:
    """Return a line without its line break, which must be the given one."""
    if not line.endswith(line_break):
        raise MalformedResponse("invalid line break", line)
    return line[: -len(line_break)]


def _check_status_line(line: bytes) -> None:
    if _STATUS_LINE.fullmatch(line) is None:
        raise MalformedResponse("invalid status line", line)


def _checked_field(field: bytes) -> bytes:
    """Return the line of a field without the optional white space around its value.

    Raises
    ------
    MalformedResponse
        If its name or value is invalid.
    """
    match = _FIELD.fullmatch(field)
    if match is None:
        raise MalformedResponse("invalid header field", field)
    name, value = match.groups()
    return b"%s: %s\r\n" % (name, value.strip(b" \t"))
