"""Socket functions that the HTTP libraries lack."""

import fcntl
import os
import select
import socket
import struct
import termios
import threading
import time
from collections.abc import Callable
from contextlib import AbstractContextManager, suppress
from typing import Protocol

from prometheus_client import Gauge, Histogram

from nutmegdrum.logs import log_change
from nutmegdrum.units import Duration

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` that makes closing a socket reset its connection."""

HEAD_READ = 16 << 10
BODY_READ = 64 << 10
"""Bytes that one read takes at most; a head and a small body arrive at once."""

BACKLOG_WRITE = 256 << 10
"""Bytes of a backlog that one call writes at most, so that a fast reader does not delay others."""

BACKLOG_CHECK = Duration(250)
"""Interval at which a thread that waits for a backlog asks again for room in the budget, and checks
whether too many threads wait."""

BACKLOG_BYTES = Gauge(
    "nutmegdrum_backlog_bytes", "Bytes of streams that are buffered for slow readers"
)
BEHIND = Histogram(
    "nutmegdrum_reader_behind_seconds",
    "Time from a reader's first buffered byte until it has caught up or is disconnected, in s",
    buckets=(0.01, 0.05, 0.1, 0.5, 1, 2, 5, 10, 30),
)

_INT = struct.Struct("i")
_MS_PER_S = 1_000
_NOTHING = memoryview(b"")


def is_readable(sock: socket.socket | int) -> bool:
    """Return whether the socket, or its descriptor, has data, a connection or a close to read."""
    poll = select.poll()
    poll.register(sock, select.POLLIN)
    return bool(poll.poll(0))


def unread_bytes(sock: socket.socket) -> int | None:
    """Return the number of bytes that have arrived and are not read; None if not known."""
    return _queued(sock, termios.FIONREAD)


def unsent_bytes(sock: socket.socket) -> int | None:
    """Return the number of bytes that the peer has not confirmed; None if not known."""
    return _queued(sock, termios.TIOCOUTQ)


def _queued(sock: socket.socket, request: int) -> int | None:
    try:
        queued = fcntl.ioctl(sock, request, b"\0" * _INT.size)
    except (OSError, ValueError):
        return None
    return _INT.unpack(queued)[0]


class Receiver(Protocol):
    """Owner of a reader, which accounts for its bytes and waits for them."""

    def on_arrived(self, arrived: int, left: int) -> None:
        """Account for bytes that have arrived, and for those that are no longer held."""
        ...

    def wait_readable(self) -> None:
        """Wait until bytes or the end of the connection arrive."""
        ...


class Sender(Protocol):
    """Owner of a writer, which waits for its peer."""

    def wait_writable(self, unsent: int) -> None:
        """Wait until the peer takes some of the `unsent` bytes."""
        ...

    def on_taken(self, count: int) -> None:
        """Record that the peer took bytes after a wait."""
        ...

    def on_written(self) -> None:
        """Record that all bytes are written after a wait."""
        ...


class RequestReader:
    """Buffered reader of a connection that reports each arrival before it stores more.

    Attributes
    ----------
    drops_lines : bool
        Whether lines are not kept by the caller, as those between the chunks of a body.
    """

    def __init__(self, sock: socket.socket, owner: Receiver):
        self.closed = False
        self.drops_lines = False
        self.bytes_read = 0
        self._sock = sock
        self._owner = owner
        self._buffer = b""
        self._at = 0
        self._left = 0

    def has_data(self) -> bool:
        """Return whether bytes have been read that no request has taken."""
        return self._at < len(self._buffer)

    @property
    def buffered(self) -> int:
        """Return the number of bytes that no request has taken."""
        return len(self._buffer) - self._at

    def readline(self, limit: int = -1) -> bytes:
        """Return a line, or `limit` bytes of it; less only at the end of the connection."""
        searched = 0
        while True:
            end = self._buffer.find(b"\n", self._at + searched) + 1
            searched = self.buffered
            if end == 0 and (limit < 0 or searched < limit) and self._fill(HEAD_READ):
                continue
            end = end or len(self._buffer)
            if limit >= 0:
                end = min(end, self._at + limit)
            line = self._buffer[self._at : end]
            self._at = end
            if self.drops_lines:
                self._left += len(line)
            return line

    def read(self, size: int) -> bytes:
        """Return `size` bytes; fewer only at the end of the connection."""
        if size <= self.buffered:
            self._at += size
            return self._buffer[self._at - size : self._at]
        data = bytearray()
        try:
            self.read_into(data, size)
            return bytes(data)
        finally:
            # The traceback of an exception would keep it until the refusal has been sent.
            data.clear()

    def read_into(self, data: bytearray, size: int) -> int:
        """Append `size` bytes to `data`, fewer only at the end of the connection; return how many.

        The bytes of `data` stay accounted for.
        """
        missing = size
        while missing:
            if not self.has_data() and not self._fill(max(HEAD_READ, min(missing, BODY_READ))):
                break
            taken = min(missing, self.buffered)
            if self._at == 0 and taken == len(self._buffer):
                data += self._buffer
            else:
                data += memoryview(self._buffer)[self._at : self._at + taken]
            self._at += taken
            missing -= taken
        return size - missing

    def skip(self, size: int) -> bytes:
        """Return `size` bytes that are not kept."""
        data = self.read(size)
        self._left += len(data)
        return data

    def _fill(self, size: int) -> bool:
        while True:
            try:
                data = os.read(self._sock.fileno(), size)
                break
            except BlockingIOError:
                self._owner.wait_readable()
        left, self._left = self._left, 0
        self._owner.on_arrived(len(data), left)
        self.bytes_read += len(data)
        self._buffer = self._buffer[self._at :] + data if self.has_data() else data
        self._at = 0
        return bool(data)

    def close(self) -> None:
        """Drop what was read and the owner; the socket stays open."""
        if not self.closed:
            self.closed = True
            self._buffer = b""
            self._at = 0
            # Without the cycle, a closed connection is freed at once.
            del self._owner


class BacklogOwner(Protocol):
    """Owner of a backlog, which accounts for its bytes; called with the backlog's lock held."""

    def on_behind(self) -> None:
        """Record that the peer does not keep up."""
        ...

    def on_taken(self, count: int) -> None:
        """Record that the peer took bytes after it was behind."""
        ...

    def on_written(self) -> None:
        """Record that the peer has taken all there was."""
        ...

    def reserve_ahead(self, count: int) -> bool:
        """Charge bytes that are about to be buffered; return whether there was room."""
        ...

    def release_ahead(self, count: int) -> None:
        """Return buffered bytes that were written or dropped."""
        ...

    def waiting_for_reader(self) -> AbstractContextManager[None]:
        """Count the thread as one that waits for its peer."""
        ...

    def check_reader(self) -> None:
        """Disconnect peers if too many threads wait.

        Raises
        ------
        OSError
            If this owner's peer was disconnected.
        """
        ...


class Backlog:
    """Bytes of one response that its peer has not taken yet; thread-safe.

    One thread, that of the response, calls `write` and `finish`. While the peer keeps up, that
    thread writes to the socket. While it is behind, only the `BacklogWriter` does, until it has
    written everything.

    Parameters
    ----------
    timeout_s : float
        Longest time in s without progress for which a thread waits for the peer.

    Attributes
    ----------
    most_bytes : int
        Largest number of bytes that were buffered at once.
    """

    def __init__(
        self, sock: socket.socket, owner: BacklogOwner, writer: "BacklogWriter", timeout_s: float
    ):
        self.most_bytes = 0
        self._longest_behind = Duration(0)
        self._sock = sock
        self._owner = owner
        self._writer = writer
        self._timeout_s = timeout_s
        self._changed = threading.Condition(threading.Lock())
        self._unsent = bytearray()
        # What the response's thread waits with, as the budget has no room for it.
        self._held = _NOTHING
        self._watched_fd: int | None = None
        self._behind_since_s = 0.0
        self._progress_s = 0.0
        self._failure: OSError | None = None

    @property
    def size(self) -> int:
        """Return the number of bytes that are not written yet."""
        return len(self._unsent) + len(self._held)

    @property
    def longest_behind(self) -> Duration:
        """Return the longest time for which the peer was behind without a break."""
        with self._changed:
            if self._watched_fd is None:
                return self._longest_behind
            return max(self._longest_behind, self._behind())

    def write(self, data: bytes | bytearray) -> None:
        """Write what the peer takes at once, and buffer the rest if there is room for it.

        Without room, waits until the peer has taken `data` or there is room.

        Raises
        ------
        OSError
            If the connection is closed, the peer was disconnected, the backlog was dropped, or the
            peer takes nothing for its time-out.
        """
        with self._changed:
            self._check()
            left = memoryview(data)
            if not self.size:
                left = self._write_now(left)
                if not left:
                    return
                self._begin_behind()
            self._held = left
            if not self._keep_held():
                self._wait(lambda: not self._held or self._keep_held())

    def finish(self) -> None:
        """Wait until the peer has taken everything.

        Raises
        ------
        OSError
            As for `write`.
        """
        with self._changed:
            self._check()
            if self.size:
                self._wait(lambda: not self.size)

    def drop(self) -> None:
        """Drop what is not written yet; later writes fail. May be called from any thread."""
        with self._changed:
            self._fail(ConnectionAbortedError("the rest of the response was dropped"))

    def on_writable(self) -> None:
        """Write a part of what is buffered; called by the `BacklogWriter` only."""
        with self._changed:
            if self._watched_fd is None:
                return
            try:
                count = self._write_some(self._watched_fd)
            except BlockingIOError:
                return
            except OSError as exc:
                self._fail(exc)
                return
            self._progress_s = time.monotonic()
            self._owner.on_taken(count)
            if not self.size:
                self._end_behind()
                self._owner.on_written()
            self._changed.notify_all()

    def _check(self) -> None:
        if self._failure is not None:
            raise self._failure

    def _write_now(self, left: memoryview) -> memoryview:
        try:
            while left:
                left = left[os.write(self._sock.fileno(), left) :]
        except BlockingIOError:
            pass
        return left

    def _write_some(self, fd: int) -> int:
        if not self._unsent:
            count = os.write(fd, self._held[:BACKLOG_WRITE])
            self._held = self._held[count:]
            return count
        with memoryview(self._unsent) as whole, whole[:BACKLOG_WRITE] as part:
            count = os.write(fd, part)
        del self._unsent[:count]
        self._owner.release_ahead(count)
        BACKLOG_BYTES.dec(count)
        return count

    def _keep_held(self) -> bool:
        """Move what the response's thread waits with to the buffer if there is room."""
        count = len(self._held)
        if not self._owner.reserve_ahead(count):
            return False
        self._unsent += self._held
        self._held = _NOTHING
        BACKLOG_BYTES.inc(count)
        self.most_bytes = max(self.most_bytes, len(self._unsent))
        return True

    def _wait(self, done: Callable[[], bool]) -> None:
        began_s = time.monotonic()
        with self._owner.waiting_for_reader():
            while not done():
                self._owner.check_reader()
                if time.monotonic() - max(began_s, self._progress_s) > self._timeout_s:
                    raise TimeoutError("timed out")
                self._changed.wait(BACKLOG_CHECK / _MS_PER_S)
                self._check()

    def _begin_behind(self) -> None:
        self._behind_since_s = self._progress_s = time.monotonic()
        self._owner.on_behind()
        self._watched_fd = self._sock.fileno()
        self._writer.add(self._watched_fd, self)

    def _end_behind(self) -> None:
        if self._watched_fd is None:
            return
        self._writer.remove(self._watched_fd)
        self._watched_fd = None
        behind = self._behind()
        BEHIND.observe(behind / _MS_PER_S)
        self._longest_behind = max(self._longest_behind, behind)

    def _behind(self) -> Duration:
        return Duration(int((time.monotonic() - self._behind_since_s) * _MS_PER_S))

    def _fail(self, exc: OSError) -> None:
        self._failure = self._failure or exc
        self._end_behind()
        count = len(self._unsent)
        if count:
            self._owner.release_ahead(count)
            BACKLOG_BYTES.dec(count)
        self._unsent = bytearray()
        self._held = _NOTHING
        self._changed.notify_all()


class BacklogWriter:
    """Thread that writes the backlogs of all peers that are behind; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._backlogs: dict[int, Backlog] = {}
        self._thread: threading.Thread | None = None

    def add(self, fd: int, backlog: Backlog) -> None:
        """Call the backlog's `on_writable` whenever its socket takes bytes.

        Raises
        ------
        OSError
            If the descriptor is closed.
        """
        with self._lock:
            self._epoll.register(fd, select.EPOLLOUT)
            self._backlogs[fd] = backlog
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="backlogs", daemon=True)
                self._thread.start()

    def remove(self, fd: int) -> None:
        """Stop watching a descriptor."""
        with self._lock:
            self._backlogs.pop(fd, None)
            with suppress(OSError, ValueError):
                self._epoll.unregister(fd)

    def _run(self) -> None:
        while True:
            for fd, _ in self._epoll.poll():
                # The event may be of an earlier connection with the same descriptor, whose
                # successor's writes do not block either.
                backlog = self._backlogs.get(fd)
                if backlog is None:
                    continue
                try:
                    backlog.on_writable()
                except Exception as exc:
                    log_change("backlog-write-failed", error=repr(exc))
                    backlog.drop()


class ResponseWriter:
    """Unbuffered writer of a connection that copies nothing.

    Attributes
    ----------
    backlog : Backlog or None
        Buffers what the peer does not take at once; None while writes wait for the peer.
    """

    def __init__(self, sock: socket.socket, owner: Sender):
        self.backlog: Backlog | None = None
        self.bytes_written = 0
        self._sock = sock
        self._owner = owner

    def write(self, data: bytes | bytearray) -> int:
        """Write all bytes.

        Raises
        ------
        OSError
            If the connection is closed, or its peer takes nothing for its time-out.
        """
        if self.backlog is not None:
            self.backlog.write(data)
            self.bytes_written += len(data)
            return len(data)
        left = memoryview(data)
        waited = False
        try:
            while left:
                try:
                    count = os.write(self._sock.fileno(), left)
                except BlockingIOError:
                    waited = True
                    self._owner.wait_writable(len(left))
                    continue
                left = left[count:]
                if waited:
                    self._owner.on_taken(count)
        finally:
            if waited:
                self._owner.on_written()
        self.bytes_written += len(data)
        return len(data)

    def close(self) -> None:
        """Drop the owner; the socket stays open."""
        # Without the cycle, a closed connection is freed at once.
        self.backlog = None
        self.__dict__.pop("_owner", None)
