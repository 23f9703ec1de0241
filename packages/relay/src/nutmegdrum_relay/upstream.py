"""Pool of keep-alive HTTP connections to backend servers."""

import contextlib
import socket
import threading
from collections import defaultdict, deque
from collections.abc import Iterator
from enum import Enum
from http.client import HTTPException
from typing import NamedTuple

from nutmegdrum.bounded_http import MAX_HEAD, BoundedConnection, Extend, give_up
from nutmegdrum.sockets import is_readable, unread_bytes
from nutmegdrum.units import Address, Duration, parse_count
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from prometheus_client import Counter
from urllib3 import HTTPResponse
from urllib3.exceptions import HTTPError
from urllib3.util import SKIP_HEADER

from nutmegdrum_relay.dialect import Headers

CONNECT_TIMEOUT = Duration(250)
"""Time-out of a connection attempt; a round trip to another data centre takes 2 ms (the users' page
on sizes), so that only lost packets and servers that are down take longer."""

UNACKNOWLEDGED_TIMEOUT = Duration(2_000)
"""`TCP_USER_TIMEOUT`: time for which sent data may stay unacknowledged."""

IDLE_MARGIN = Duration(1_000)
"""Time before the backend server's announced idle time-out at which its connections are closed."""

DEFAULT_IDLE = Duration(4_000)
"""Idle time-out of connections whose backend server announces none."""

FRESH_IDLE = Duration(800)
"""Idle time up to which a connection is used for requests that are not idempotent; a backend server
may close idle connections early, and a request sent on one of them may have run."""

EXPIRY_INTERVAL = Duration(1_000)
"""Interval of the check for expired connections; the shortest idle time-out that a backend server
can announce, which is in whole seconds."""

MAX_BUFFERED = 8 << 20
"""Bytes of a body that are buffered at most, for a plain answer or one event; twice the callers'
default limit for a body (`CallerLimits.max_body`)."""

_MS_PER_S = 1_000

CONNECTS = Counter("nutmegdrum_upstream_connects", "New connections", ["outcome"])
REUSED = Counter("nutmegdrum_upstream_reused", "Exchanges on a kept connection")


class ConnectFailed(OSError):
    """The connection could not be opened, so nothing of the request was sent."""


class ConnectionLost(OSError):
    """The exchange failed after the request was sent, completely or in part."""


class AbortReason(Enum):
    """Reason why this VM ended an exchange."""

    SILENT_SERVER = "silent-server"
    QUARANTINED = "quarantined"
    CALLER_GONE = "caller-gone"
    STOPPING = "stopping"
    UNUSABLE_ANSWER = "unusable-answer"
    NO_MEMORY = "no-memory"


class AnswerHead(NamedTuple):
    """Status and headers of an answer; the body is read from the exchange."""

    status: int
    headers: Headers


class Exchange:
    """One request and its answer on one connection; `abort` may be called from any thread.

    Attributes
    ----------
    reused : bool
        Whether the connection has carried earlier requests, whose answers may come once more.
    refused : str
        Id of the request that was refused on this connection last; empty if none was.
    aborted : AbortReason or None
        Why this VM ended the exchange; None if it did not.
    """

    def __init__(self, conn: BoundedConnection, reused: bool = False, refused: str = ""):
        self._conn = conn
        self.reused = reused
        self.refused = refused
        self._sock = conn.sock
        self._resp: HTTPResponse | None = None
        self.aborted: AbortReason | None = None
        self._send_failed = False
        self._lock = threading.Lock()
        self._ended = False

    def send(self, method: str, target: str, headers: Headers, body: bytes) -> None:
        """Send the request; the answer may arrive before all of it is sent."""
        sent = {"User-Agent": SKIP_HEADER, "Accept-Encoding": SKIP_HEADER}
        sent.update(headers)
        try:
            self._conn.request(
                method,
                target,
                body=body or None,
                headers=sent,
                preload_content=False,
                decode_content=False,
            )
        except (BrokenPipeError, ConnectionResetError):
            # The answer may have arrived already; if not, `receive` fails. The system reports a
            # reset only once, so that a later read finds an ordinary end of the connection.
            self._send_failed = True
        except (HTTPException, HTTPError, OSError, UnicodeError) as exc:
            raise ConnectionLost(str(exc)) from exc

    def receive(self, timeout: Duration, extend: Extend = give_up) -> AnswerHead:
        """Wait for the answer's head.

        Parameters
        ----------
        extend : callable
            Returns how much longer to wait for the head after the time-out.

        Raises
        ------
        TimeoutError
            If it was not complete in time.
        ConnectionLost
            If the connection was closed, or the data is not an HTTP answer.
        """
        self._conn.timeout = timeout / _MS_PER_S
        self._conn.bounds.extend = extend
        self._conn.bounds.renew(timeout, MAX_HEAD)
        try:
            self._resp = self._conn.getresponse()
        except TimeoutError:
            raise
        except (HTTPException, HTTPError, OSError, ValueError, AttributeError) as exc:
            raise ConnectionLost(str(exc)) from exc
        return AnswerHead(self._resp.status, list(self._resp.headers.items()))

    def chunks(self, timeout: Duration, extend: Extend = give_up) -> Iterator[bytes]:
        """Yield the body as it arrives.

        Parameters
        ----------
        timeout : Duration
            Time for the whole body, which each call of `extend` restarts.
        extend : callable
            Returns how much longer to wait for a part of the body after the time-out.

        Raises
        ------
        TimeoutError, ConnectionLost
            If the body was not complete in time, was truncated, or exceeds `MAX_BUFFERED`.
        """
        assert self._conn.response is not None
        self._conn.bounds.extend = extend
        self.extend(timeout)
        try:
            yield from self._conn.response.parts()
        except TimeoutError:
            raise
        except (HTTPException, OSError, ValueError, AttributeError) as exc:
            raise ConnectionLost(str(exc)) from exc
        if not self._is_framed():
            self._check_end_of_connection()

    def _check_end_of_connection(self) -> None:
        """Check that the backend server ended the body by closing the connection in order."""
        if self.aborted:
            raise ConnectionLost(f"the exchange was aborted: {self.aborted.value}")
        if self._send_failed:
            raise ConnectionLost("the connection was reset while the request was sent")

    def extend(self, timeout: Duration) -> None:
        """Restart the time-out and the size limit, after an event is complete."""
        self._conn.bounds.renew(timeout, MAX_BUFFERED)

    @property
    def received_bytes(self) -> int:
        """Return the number of bytes received on this connection."""
        return self._conn.bounds.received

    @property
    def answer_begun(self) -> bool:
        """Return whether the answer's head has arrived."""
        return self._resp is not None

    @property
    def last_byte_ms(self) -> int:
        """Return the elapsed time in ms at which data was read last; 0 if none was."""
        return self._conn.bounds.last_byte_ms

    @property
    def unread_bytes(self) -> int | None:
        """Return the number of bytes that have arrived and are not read; None if not known."""
        return unread_bytes(self._sock) if self._sock is not None else None

    @property
    def has_unread(self) -> bool:
        """Return whether data or the end of the connection has arrived and is not read."""
        sock = self._sock
        if sock is None:
            return False
        try:
            return is_readable(sock)
        except ValueError:
            # It has been closed.
            return False

    def abort(self, reason: AbortReason) -> bool:
        """Shut the connection down, which wakes the thread that reads from it.

        Returns
        -------
        bool
            False if the exchange has ended; the connection may carry another one by now.
        """
        with self._lock:
            if self._ended:
                return False
            self.aborted = self.aborted or reason
            if self._sock is not None:
                with contextlib.suppress(OSError):
                    self._sock.shutdown(socket.SHUT_RDWR)
        return True

    def end(self) -> bool:
        """End the exchange; return whether its connection can be reused."""
        with self._lock:
            self._ended = True
            return self.is_reusable()

    def is_reusable(self) -> bool:
        """Return whether the answer was read to its end and the connection stays open."""
        resp = self._resp
        if resp is None or self.aborted or self._send_failed or self._conn.sock is None:
            return False
        if resp.headers.get("connection", "").lower() == "close":
            return False
        return self._is_framed() and resp.version == 11

    def _is_framed(self) -> bool:
        """Return whether a body that has been read to its end is known to be whole."""
        resp = self._conn.response
        return resp is not None and (resp.chunked or resp.length == 0)

    def idle_time(self) -> Duration:
        """Return the idle time-out of the connection, from the answer's `Keep-Alive` header."""
        assert self._resp is not None
        for part in self._resp.headers.get("keep-alive", "").split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_count(value)
            if name == "timeout" and seconds is not None:
                return Duration(max(0, seconds * _MS_PER_S - IDLE_MARGIN))
        return DEFAULT_IDLE

    def close(self) -> None:
        """Close the connection, on which the backend server cancels the request."""
        with contextlib.suppress(OSError):
            self._conn.close()
        if self._resp is not None:
            with contextlib.suppress(OSError, HTTPError):
                self._resp.close()
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.close()

    @property
    def connection(self) -> BoundedConnection:
        """Return the connection, to put it into the pool."""
        return self._conn


class _Idle(NamedTuple):
    conn: BoundedConnection
    since_ms: int
    until_ms: int
    refused: str


class UpstreamPool:
    """Pool of idle connections by backend server; thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._idle: dict[BackendId, deque[_Idle]] = defaultdict(deque)
        self._expiry_due_ms = 0

    def open(
        self,
        backend: BackendId,
        address: Address,
        fresh: bool,
        timeout: Duration = CONNECT_TIMEOUT,
        request_id: str = "",
    ) -> Exchange:
        """Return an exchange on a pooled connection or a new one.

        Parameters
        ----------
        fresh : bool
            Whether a pooled connection must have been used within `FRESH_IDLE`.
        request_id : str
            Id of the request. A connection on which it was refused is not used, as that refusal,
            sent once more, could not be told from the answer.

        Raises
        ------
        ConnectFailed
            If a new connection could not be opened.
        """
        pooled = self._take(backend, fresh, request_id)
        if pooled is not None:
            REUSED.inc()
            return Exchange(pooled.conn, True, pooled.refused)
        return self.connect(address, timeout)

    def connect(self, address: Address, timeout: Duration = CONNECT_TIMEOUT) -> Exchange:
        """Return an exchange on a new connection.

        Raises
        ------
        ConnectFailed
            If the connection could not be opened.
        """
        conn = BoundedConnection(
            address.host,
            address.port,
            self._clock,
            timeout=timeout / _MS_PER_S,
            socket_options=[
                (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
                (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(UNACKNOWLEDGED_TIMEOUT)),
            ],
        )
        try:
            conn.connect()
        except (HTTPError, OSError) as exc:
            CONNECTS.labels("failed").inc()
            raise ConnectFailed(str(exc)) from exc
        CONNECTS.labels("opened").inc()
        return Exchange(conn)

    def keep(self, backend: BackendId, exchange: Exchange) -> None:
        """Put the connection into the pool if it is reusable, otherwise close it."""
        if not exchange.end():
            exchange.close()
            return
        now_ms = self._clock.elapsed_ms()
        until_ms = now_ms + exchange.idle_time()
        idle = _Idle(exchange.connection, now_ms, until_ms, exchange.refused)
        with self._lock:
            self._idle[backend].append(idle)
            expired = self._take_expired(now_ms)
        for conn in expired:
            conn.close()

    def _take_expired(self, now_ms: int) -> list[BoundedConnection]:
        """Remove and return expired connections, also those to backend servers that have left."""
        if now_ms < self._expiry_due_ms:
            return []
        self._expiry_due_ms = now_ms + int(EXPIRY_INTERVAL)
        expired = []
        for backend, idle in list(self._idle.items()):
            expired += [item.conn for item in idle if item.until_ms <= now_ms]
            self._idle[backend] = deque(item for item in idle if item.until_ms > now_ms)
            if not self._idle[backend]:
                del self._idle[backend]
        return expired

    def connected(self, fresh: bool) -> set[BackendId]:
        """Return the backend servers with a pooled connection that `open` would use.

        Parameters
        ----------
        fresh : bool
            Whether it must have been used within `FRESH_IDLE`.
        """
        now_ms = self._clock.elapsed_ms()
        oldest_ms = now_ms - FRESH_IDLE if fresh else 0
        with self._lock:
            return {
                backend
                for backend, idle in self._idle.items()
                if idle and idle[-1].until_ms > now_ms and idle[-1].since_ms >= oldest_ms
            }

    def close_idle(self, backend: BackendId) -> None:
        """Close the pooled connections of a backend server that is down."""
        with self._lock:
            idle = self._idle.pop(backend, deque())
        for item in idle:
            item.conn.close()

    def _take(self, backend: BackendId, fresh: bool, request_id: str) -> _Idle | None:
        while True:
            with self._lock:
                idle = self._idle.get(backend)
                if not idle:
                    return None
                item = idle.pop()
            now_ms = self._clock.elapsed_ms()
            stale = now_ms >= item.until_ms or _is_unusable(item.conn.sock)
            stale = stale or (item.refused == request_id != "")
            if stale or (fresh and now_ms - item.since_ms > FRESH_IDLE):
                item.conn.close()
                continue
            return item


def _is_unusable(sock: socket.socket | None) -> bool:
    """Return whether the peer closed an idle connection, or sent unexpected data on it."""
    return sock is None or is_readable(sock)
