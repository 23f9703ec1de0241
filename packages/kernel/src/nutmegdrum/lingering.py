"""Callers' connections: their limits, and their close without losing the end of their answers.

Closing a socket with unread bytes, or on which more bytes arrive, resets its connection, and what
is left of the answer in its send buffer is dropped. A lingering close ends the sending direction
only, and discards what the caller still sends until it closes the connection too.
"""

import contextlib
import select
import socket
import threading
import time
from collections.abc import Iterator
from typing import NamedTuple

from cheroot.server import HTTPConnection, HTTPRequest, HTTPServer
from nutmegdrum_scheduling.memory import (
    Evicted,
    Kind,
    ListenerLimits,
    Reason,
    WaitingThreads,
)

from nutmegdrum.logs import log_change
from nutmegdrum.sockets import Backlog, RequestReader, ResponseWriter, is_readable
from nutmegdrum.units import Duration

LINGER = Duration(5_000)
"""Longest time that a connection lingers."""

MAX_LINGERING = 512
"""Most connections that linger at once; the oldest one is closed for a new one."""

CHECK_INTERVAL = Duration(250)
"""Interval at which a thread that waits for its peer checks whether too many wait."""

MAX_DISCARDED = 64 << 20
"""Bytes that are discarded from one connection; several times the largest request."""

QUIET = Duration(300)
"""Time without a byte after which no more are expected from a caller, when a process ends."""

MAX_ARRIVALS = 4
"""Reads after which the thread of an incomplete request counts as one that waits for its peer."""

_LENGTH = b"Content-Length"
_POLL = Duration(100)
_READ_BYTES = 64 << 10
_MS_PER_S = 1_000


class _Lingering(NamedTuple):
    sock: socket.socket
    since_s: float
    last_byte_s: float
    discarded: int


class LingeringClose:
    """Thread that closes connections once their callers have; thread-safe.

    Parameters
    ----------
    most : int
        Connections that linger at once.
    """

    def __init__(self, most: int = MAX_LINGERING) -> None:
        self._most = most
        self._lock = threading.Lock()
        self._epoll = select.epoll()
        self._lingering: dict[int, _Lingering] = {}
        self._changed = threading.Condition(self._lock)
        self._thread: threading.Thread | None = None

    def close(self, sock: socket.socket) -> None:
        """End the sending direction of a connection, and close it later; `sock` can be closed."""
        own = None
        try:
            sock.shutdown(socket.SHUT_WR)
            if _has_ended(sock):
                return
            own = sock.dup()
            own.setblocking(False)
        except OSError:
            # The connection has been reset or closed already.
            if own is not None:
                own.close()
            return
        now_s = time.monotonic()
        with self._lock:
            while len(self._lingering) >= self._most:
                self._end(next(iter(self._lingering)))
            self._lingering[own.fileno()] = _Lingering(own, now_s, now_s, 0)
            self._epoll.register(own.fileno(), select.EPOLLIN | select.EPOLLRDHUP)
            if self._thread is None:
                self._thread = threading.Thread(target=self._run, name="lingering", daemon=True)
                self._thread.start()
            self._changed.notify_all()

    def wait(self, timeout: Duration) -> None:
        """Wait until no caller is expected to send more, at most for `timeout`."""
        until_s = time.monotonic() + timeout / _MS_PER_S
        with self._lock:
            while self._is_active() and (left_s := until_s - time.monotonic()) > 0:
                self._changed.wait(min(left_s, _POLL / _MS_PER_S))

    def _is_active(self) -> bool:
        quiet_s = time.monotonic() - QUIET / _MS_PER_S
        return any(each.last_byte_s > quiet_s for each in self._lingering.values())

    def _run(self) -> None:
        while True:
            with self._lock:
                while not self._lingering:
                    self._changed.wait()
            for fd, _ in self._epoll.poll(_POLL / _MS_PER_S):
                with self._lock:
                    self._discard(fd)
            with self._lock:
                for fd in list(self._expired()):
                    self._end(fd)

    def _discard(self, fd: int) -> None:
        lingering = self._lingering.get(fd)
        if lingering is None:
            return
        try:
            data = lingering.sock.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        discarded = lingering.discarded + len(data)
        if not data or discarded > MAX_DISCARDED:
            self._end(fd)
            return
        self._lingering[fd] = lingering._replace(last_byte_s=time.monotonic(), discarded=discarded)

    def _expired(self) -> Iterator[int]:
        oldest_s = time.monotonic() - LINGER / _MS_PER_S
        for fd, lingering in self._lingering.items():
            if lingering.since_s >= oldest_s:
                return
            yield fd

    def _end(self, fd: int) -> None:
        lingering = self._lingering.pop(fd)
        with contextlib.suppress(OSError):
            self._epoll.unregister(fd)
        lingering.sock.close()
        self._changed.notify_all()


def _has_ended(sock: socket.socket) -> bool:
    """Return whether the caller has closed the connection, and all it sent has been read."""
    return is_readable(sock) and not sock.recv(1, socket.MSG_PEEK)


class OpenConnections:
    """Open connections of a server, no more than its limits allow; thread-safe."""

    def __init__(self, server: HTTPServer, limits: ListenerLimits):
        self._server = server
        self._limits = limits
        self._lock = threading.Lock()
        self._count = 0

    def add(self) -> None:
        """Count a connection that was accepted."""
        with self._lock:
            self._count += 1

    def remove(self) -> None:
        """Count a connection that was closed."""
        with self._lock:
            self._count -= 1

    def make_room(self) -> bool:
        """Close an idle connection or end one that waits for its peer if there are too many.

        Connections on which no request has been served go first, then the one idle for longest.
        Runs on the server's own thread, which alone may remove connections from its selector.

        Returns
        -------
        bool
            Whether a connection may be added.
        """
        if self._count <= self._limits.connections:
            return True
        manager = self._server._connections
        idle = [conn for _, conn in manager._selector.connections if conn is not self._server]
        if not idle:
            waiting = (self._limits.senders, self._limits.readers)
            return any(each.evict_slowest(Reason.CONNECTIONS) for each in waiting)
        oldest = min(idle, key=lambda conn: (conn.has_served, conn.last_used))
        manager._selector.unregister(oldest.socket.fileno())
        oldest.end_idle()
        return True


def limit(server: HTTPServer, limits: ListenerLimits) -> None:
    """Apply limits to a server that is not prepared yet."""
    server.limits = limits
    server.open_connections = OpenConnections(server, limits)
    server.lingering = LingeringClose(min(MAX_LINGERING, limits.lingering))
    process = server.process_conn

    def process_conn(conn: LingeringConnection) -> None:
        if conn.is_new:
            conn.is_new = False
            if not server.open_connections.make_room():
                conn.refuse()
                return
            if not is_readable(conn.socket):
                # A connection holds a thread only once something has arrived on it.
                server._connections.put(conn)
                return
        process(conn)

    server.process_conn = process_conn


class LimitedRequest(HTTPRequest):
    """Request that is answered as not run if it is evicted before its head is complete."""

    def parse_request(self) -> None:
        """Parse the head."""
        try:
            super().parse_request()
            if self.ready and (self.chunked_read or int(self.inheaders.get(_LENGTH, 0))):
                self.conn.begin_body()
            else:
                self.conn.end_body()
        except Evicted:
            self.ready = False
            self.close_connection = True
            self.simple_response("503 Service Unavailable")


class LingeringConnection(HTTPConnection):
    """Connection of a cheroot server that lingers when it is closed.

    The server's limits were applied by `limit`. While the server `stops`, a connection whose answer
    did not announce its end stays open for its caller's next request, for `next_request_wait`.

    Attributes
    ----------
    account : Account
        Account of the current request.
    is_new, has_served : bool
        Whether the connection has not been processed yet, and whether a request was served on it.
    """

    RequestHandlerClass = LimitedRequest

    def __init__(self, server: HTTPServer, sock: socket.socket, makefile: object = None):
        self._limits: ListenerLimits = server.limits
        self.is_new = True
        self.has_served = False
        self._kind = Kind.HEAD
        self._arrivals = 0
        self._is_sender = False
        self._is_blocked = False
        self._is_closed = False
        super().__init__(server, sock, self._make_file)
        self.account = self._limits.budget.open(self._interrupt)
        server.open_connections.add()

    def _make_file(self, sock: socket.socket, mode: str, size: int) -> object:
        return RequestReader(sock, self) if "r" in mode else ResponseWriter(sock, self)

    def communicate(self) -> bool:
        """Serve one request, or while the server stops as many as come; return whether to keep."""
        keep = self._serve()
        while keep and getattr(self.server, "stops", False):
            if not self._has_request():
                return False
            keep = self._serve()
        return keep

    def _serve(self) -> bool:
        budget = self._limits.budget
        self.account = budget.open(self._interrupt)
        self._kind = Kind.HEAD
        self._arrivals = 0
        self.rfile.drops_lines = False
        try:
            if self.rfile.has_data():
                budget.charge(self.account, self._kind, self.rfile.buffered)
            return super().communicate()
        except Evicted:
            return False
        finally:
            self.has_served = True
            self.drop_backlog()
            self.wfile.backlog = None
            self._end_sending()
            budget.close(self.account)

    def begin_body(self) -> None:
        """Account for what arrives from now on as the request's body."""
        self._kind = Kind.BODY
        self.rfile.drops_lines = True

    def end_body(self) -> None:
        """Exempt the request, which has arrived completely, from eviction.

        Raises
        ------
        Evicted
            If it has been chosen before.
        """
        self._end_sending()
        self._limits.budget.complete(self.account)

    def _begin_sending(self) -> None:
        """Count the thread as one that waits for the rest of a request, until its end."""
        if self._is_sender:
            self._limits.senders.check()
        else:
            self._is_sender = True
            self._limits.senders.enter(self.account)

    def _end_sending(self) -> None:
        if self._is_sender:
            self._is_sender = False
            self._limits.senders.leave(self.account)

    def on_arrived(self, arrived: int, left: int) -> None:
        """Charge bytes of the request that have arrived, less those that are no longer held."""
        if self.account.evicted is not None:
            raise Evicted(self.account.evicted)
        self._limits.budget.charge(self.account, self._kind, arrived, left)
        self._arrivals += 1
        if self._arrivals > MAX_ARRIVALS:
            # A client with much in small chunks holds a thread without letting it wait.
            self._begin_sending()

    def wait_readable(self) -> None:
        """Wait for the rest of the request, as one of those whose threads are limited."""
        self._begin_sending()
        self._wait(select.POLLIN, self._limits.senders)
        if self.account.evicted is not None:
            raise Evicted(self.account.evicted)

    def wait_writable(self, unsent: int) -> None:
        """Wait for the reader, as one of those whose threads are limited."""
        if not self._is_blocked:
            self._limits.budget.on_blocked(self.account)
            self._is_blocked = True
        self._limits.readers.enter(self.account)
        try:
            self._wait(select.POLLOUT, self._limits.readers)
        finally:
            self._limits.readers.leave(self.account)
        if self.account.evicted is not None:
            raise ConnectionAbortedError("the reader was disconnected")

    def on_taken(self, count: int) -> None:
        """Record that the reader took bytes."""
        self._limits.budget.on_progress(self.account, count)

    def on_written(self) -> None:
        """Record that the reader has taken all there is."""
        self._is_blocked = False
        self._limits.budget.on_read(self.account)

    def begin_backlog(self) -> Backlog:
        """Buffer what the reader of the current response does not take at once.

        The server's `backlogs`, a `BacklogWriter`, writes it later.
        """
        timeout_s = self.socket.gettimeout()
        self.wfile.backlog = Backlog(
            self.socket,
            self,
            self.server.backlogs,
            LINGER / _MS_PER_S if timeout_s is None else timeout_s,
        )
        return self.wfile.backlog

    def finish_backlog(self) -> None:
        """Wait until the reader has taken what is buffered; later writes wait for the reader.

        Raises
        ------
        OSError
            If the connection is closed, the reader was disconnected or takes nothing for its
            time-out, or the backlog was dropped.
        """
        if self.wfile.backlog is not None:
            self.wfile.backlog.finish()
            self.wfile.backlog = None

    def drop_backlog(self) -> None:
        """Drop what is buffered, before the connection is closed; later writes fail."""
        backlog = self.wfile.backlog
        if backlog is not None:
            backlog.drop()

    def on_behind(self) -> None:
        """Record that the reader does not keep up."""
        self._is_blocked = True
        self._limits.budget.on_blocked(self.account)

    def reserve_ahead(self, count: int) -> bool:
        """Charge bytes that are about to be buffered; return whether there was room."""
        return self._limits.budget.reserve_ahead(self.account, count)

    def release_ahead(self, count: int) -> None:
        """Return buffered bytes that were written or dropped."""
        self._limits.budget.release_ahead(self.account, count)

    @contextlib.contextmanager
    def waiting_for_reader(self) -> Iterator[None]:
        """Count the thread as one that waits for its reader."""
        self._limits.readers.enter(self.account)
        try:
            yield
        finally:
            self._limits.readers.leave(self.account)

    def check_reader(self) -> None:
        """Disconnect readers if too many threads wait for them.

        Raises
        ------
        ConnectionAbortedError
            If this connection's reader was disconnected.
        """
        self._limits.readers.check()
        if self.account.evicted is not None:
            raise ConnectionAbortedError("the reader was disconnected")

    def _wait(self, event: int, waiting: WaitingThreads) -> None:
        poll = select.poll()
        poll.register(self.socket, event)
        timeout_s = self.socket.gettimeout()
        until_s = time.monotonic() + (LINGER / _MS_PER_S if timeout_s is None else timeout_s)
        while (left_s := until_s - time.monotonic()) > 0:
            if self.account.evicted or poll.poll(min(left_s * _MS_PER_S, CHECK_INTERVAL)):
                return
            waiting.check()
        raise TimeoutError("timed out")

    def _interrupt(self) -> None:
        """Wake the thread that waits for the peer; runs on any thread."""
        with contextlib.suppress(OSError):
            self.socket.shutdown(socket.SHUT_RDWR if self._is_blocked else socket.SHUT_RD)

    def refuse(self) -> None:
        """Close a connection for which there is no room; nothing has been read from it."""
        self._log_end()
        self.close()

    def end_idle(self) -> None:
        """Close an idle connection to make room."""
        self._log_end()
        self.close()

    def _log_end(self) -> None:
        self._limits.on_eviction(self.account, Reason.CONNECTIONS, Duration(0))

    def close(self) -> None:
        """Close the connection."""
        self.drop_backlog()
        if not self._is_closed:
            self._is_closed = True
            self.server.open_connections.remove()
        super().close()
        # These refer to the connection; without the cycles it is freed at once.
        self.wfile.close()
        self.account.interrupt = _do_nothing
        self.get_peer_creds = self.resolve_peer_creds = _do_nothing

    def _has_request(self) -> bool:
        if self.rfile.has_data():
            return True
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(self.server.next_request_wait))

    def _close_kernel_socket(self) -> None:
        try:
            self.server.lingering.close(self.socket)
        except Exception as exc:
            log_change("lingering-close-failed", error=repr(exc))
            super()._close_kernel_socket()


def _do_nothing() -> None:
    """Do nothing for a connection that is closed."""
