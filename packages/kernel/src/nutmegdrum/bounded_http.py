"""HTTP client connection whose responses are bounded in total size and time.

Time-outs of single reads do not bound a response that arrives a few bytes at a time.
"""

import io
import socket
from collections.abc import Callable

from nutmegdrum_coord.clock import Clock
from urllib3.util.wait import wait_for_read

from nutmegdrum.strict_response import StrictConnection, StrictResponse
from nutmegdrum.units import Duration

MAX_HEAD = 64 << 10
"""Largest head of a response, including interim (1xx) responses before it, in bytes; four times the
default limit for callers' requests."""

_MS_PER_S = 1_000


Extend = Callable[[], Duration]
"""Returns how much longer to wait for a part that is not complete in time; 0 to give up."""


def give_up() -> Duration:
    """Return 0."""
    return Duration(0)


class Bounds:
    """Remaining bytes and time for the next part of a response.

    Attributes
    ----------
    extend : callable
        Called when the time is over.
    last_byte_ms : int
        Elapsed time in ms of the last read that returned data; 0 before the first one.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._until_ms = 0
        self.extend: Extend = give_up
        self.bytes_left = 0
        self.received = 0
        self.last_byte_ms = 0

    def renew(self, time: Duration, size: int) -> None:
        """Allow the next part `time` from now and `size` bytes."""
        self._until_ms = self._clock.elapsed_ms() + int(time)
        self.bytes_left = size

    def time_left(self) -> Duration:
        """Return the time until the part must be complete, extended if it is over; 0 for none."""
        left = self._until_ms - self._clock.elapsed_ms()
        if left <= 0:
            left = int(self.extend())
            self._until_ms = self._clock.elapsed_ms() + left
        return Duration(max(0, left))

    def consume(self, size: int) -> None:
        """Count received bytes."""
        if size:
            self.last_byte_ms = self._clock.elapsed_ms()
        self.bytes_left -= size
        self.received += size


class _BoundedFile(io.RawIOBase):
    """Raw reader of a socket whose bounds apply to all reads together."""

    def __init__(self, sock: socket.socket, bounds: Bounds):
        self._sock = sock
        self._file = sock.makefile("rb", buffering=0)
        self._bounds = bounds

    def readable(self) -> bool:
        return True

    def readinto(self, buffer) -> int | None:
        while True:
            left = self._bounds.time_left()
            if left <= 0:
                raise TimeoutError("response is not complete within its time-out")
            if self._bounds.bytes_left <= 0:
                raise OSError("response exceeds its size limit")
            # A file of a socket cannot be read again after a time-out of its own.
            if wait_for_read(self._sock, left / _MS_PER_S):
                break
        size = self._file.readinto(memoryview(buffer)[: self._bounds.bytes_left])
        self._bounds.consume(size or 0)
        return size

    def close(self) -> None:
        self._file.close()
        super().close()


class BoundedResponse(StrictResponse):
    """Response of bounded size and time."""

    def __init__(self, bounds: Bounds, sock: socket.socket, **options):
        super().__init__(sock, **options)
        self.fp.close()
        self.fp = io.BufferedReader(_BoundedFile(sock, bounds))


class BoundedConnection(StrictConnection):
    """Connection whose responses have `bounds`, which must be renewed before each part is read."""

    def __init__(self, host: str, port: int, clock: Clock, **options):
        super().__init__(host, port, **options)
        self.bounds = Bounds(clock)

    def make_response(self, sock: socket.socket, **options) -> BoundedResponse:
        """Return a response whose head is still unread."""
        return BoundedResponse(self.bounds, sock, **options)
