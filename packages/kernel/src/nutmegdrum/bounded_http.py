"""HTTP answers of bounded size and time, however few bytes each read brings."""

import functools
import io
import socket
from http.client import HTTPResponse as PlainResponse
from http.client import IncompleteRead

from nutmegdrum_coord.clock import Clock
from urllib3.connection import HTTPConnection

from nutmegdrum.units import Duration

MAX_HEAD = 64 << 10
"""Bytes of an answer's head, provisional answers before it included; four times what callers may
send by default."""

_MS_PER_S = 1_000


class Bounds:
    """Bytes and time that a backend server has left for what is expected next."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until_ms = 0
        self.bytes_left = 0
        self.received = 0

    def renew(self, time: Duration, size: int) -> None:
        """Let the next part take `time` and `size` bytes from now on."""
        self._until_ms = self._clock.elapsed_ms() + int(time)
        self.bytes_left = size

    def time_left(self) -> Duration:
        """Return the time until the part must be whole; negative after it."""
        return Duration(self._until_ms - self._clock.elapsed_ms())

    def consume(self, size: int) -> None:
        """Count bytes that came."""
        self.bytes_left -= size
        self.received += size


class _BoundedFile(io.RawIOBase):
    """Reads a socket within bounds that hold over all reads, however few bytes each brings."""

    def __init__(self, sock: socket.socket, bounds: Bounds):
        self._sock = sock
        self._file = sock.makefile("rb", buffering=0)
        self._bounds = bounds

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        left = self._bounds.time_left()
        if left <= 0:
            raise TimeoutError("not whole in time")
        if self._bounds.bytes_left <= 0:
            raise OSError("too long")
        self._sock.settimeout(left / _MS_PER_S)
        size = self._file.readinto(memoryview(buffer)[: self._bounds.bytes_left])
        self._bounds.consume(size or 0)
        return size

    def close(self) -> None:
        self._file.close()
        super().close()


class _HeadReader:
    """Passes lines on, and knows whether the blank line after a head has come."""

    def __init__(self, file):
        self.file = file
        self.ended = False

    def readline(self, limit: int = -1) -> bytes:
        line = self.file.readline(limit)
        self.ended = line in (b"\r\n", b"\n")
        return line

    def close(self) -> None:
        self.file.close()


class BoundedResponse(PlainResponse):
    """Answer of bounded size and time.

    Refuses one whose head ends with the connection, which the library takes for whole.
    """

    def __init__(self, bounds: Bounds, sock: socket.socket, *args, **kwargs):
        super().__init__(sock, *args, **kwargs)
        self.fp.close()
        self.fp = io.BufferedReader(_BoundedFile(sock, bounds))

    def begin(self) -> None:
        """Read the head."""
        reader = _HeadReader(self.fp)
        self.fp = reader
        try:
            super().begin()
        finally:
            if self.fp is reader:
                self.fp = reader.file
        if not reader.ended:
            raise IncompleteRead(b"")


class BoundedConnection(HTTPConnection):
    """Connection whose answers have `bounds`; they must be renewed before each part is read."""

    def __init__(self, host: str, port: int, clock: Clock, **options):
        super().__init__(host, port, **options)
        self.bounds = Bounds(clock)
        self.response_class = functools.partial(BoundedResponse, self.bounds)
