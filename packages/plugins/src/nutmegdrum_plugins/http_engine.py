"""HTTP client for backend servers, on urllib3 connections.

Each exchange has a connection to itself. Each generation opens a new connection and closes it
afterwards: a late duplicate of its response must not be read as the response to the next one, and
nothing in a response identifies its generation. Other exchanges reuse a connection once its
previous response was read to the end.
"""

import contextlib
import http.client
import io
import socket
import threading
import time
from collections import defaultdict, deque
from collections.abc import Mapping
from typing import Any

import msgspec
from nutmegdrum.backends import TokenSource
from nutmegdrum.bounded_http import MAX_HEAD
from nutmegdrum.messages import (
    BackendLost,
    CacheEvent,
    EngineCall,
    Finish,
    FinishReason,
    LoadReport,
    LossKind,
    Order,
    OrderStatus,
    Token,
)
from nutmegdrum.plain_http import AnswerListener
from nutmegdrum.plugins import Event, Kind, Plugin, Registry
from nutmegdrum.settings import BackendSettings
from nutmegdrum.strict_response import StrictResponse
from nutmegdrum.units import Address
from nutmegdrum_coord.ids import BackendId, GenerationId
from urllib3.connection import HTTPConnection
from urllib3.exceptions import (
    HTTPError,
    NewConnectionError,
    ReadTimeoutError,
)
from urllib3.util.wait import wait_for_read

NAME = "http"
_JSON_HEADERS = {"Content-Type": "application/json"}
_MAX_IDLE_CONNECTIONS = 64
_DRAIN_TIMEOUT_MS = 20
_CANCEL_TIMEOUT_MS = 500
_READ_BYTES = 1 << 16
_MAX_BODY_BYTES = 8 << 20
"""Maximum size of a load report, of cache events or of another response read in full."""

_MAX_LINE_BYTES = 1 << 20
"""Maximum size of one line of a generation's body, which holds a token or a finish."""

_UNBOUNDED = 1 << 62
_CHUNK_END = b"\r\n"
_MS_PER_S = 1_000
_LOSS_KINDS_BY_STATUS = {404: LossKind.NOT_LOADED, 429: LossKind.BUSY}


class _Line(msgspec.Struct, gc=False):
    """One line of a generation's body."""

    index: int = -1
    text: str = ""
    finish: FinishReason | None = None
    count: int = 0


class _CacheEvents(msgspec.Struct):
    events: list[CacheEvent]


class _OrderAnswer(msgspec.Struct):
    status: OrderStatus


_encoder = msgspec.json.Encoder()
_lines = msgspec.json.Decoder(_Line)
_loads = msgspec.json.Decoder(LoadReport)
_cache_events = msgspec.json.Decoder(_CacheEvents)
_order_answers = msgspec.json.Decoder(_OrderAnswer)


class _Body(io.RawIOBase):
    """Raw input of a socket, whose reads wait at most `timeout_ms`.

    The socket is non-blocking, so that reading bytes that have arrived takes one system call.

    Attributes
    ----------
    deadline_s : float or None
        Monotonic time in s by which the head or body must be complete; None for a stream.
    bytes_left : int
        Number of bytes that may still be read.
    buffered_only : bool
        Whether reads return without touching the socket.
    """

    def __init__(self, raw: io.RawIOBase, sock: socket.socket):
        self._raw = raw
        self._sock = sock
        self.timeout_ms = 0
        self.deadline_s: float | None = None
        self.bytes_left = _UNBOUNDED
        self.buffered_only = False

    def readable(self) -> bool:
        return True

    def readinto(self, buffer: Any) -> int | None:
        if self.buffered_only:
            return None
        if self.bytes_left <= 0:
            raise OSError("response exceeds its size limit")
        while True:
            wait_s = self._wait_s()
            try:
                size = self._sock.recv_into(memoryview(buffer)[: self.bytes_left])
            except BlockingIOError:
                if not wait_for_read(self._sock, wait_s):
                    raise TimeoutError("no bytes within the read time-out") from None
                continue
            self.bytes_left -= size
            return size

    def _wait_s(self) -> float:
        wait_s = self.timeout_ms / _MS_PER_S
        if self.deadline_s is None:
            return wait_s
        remaining_s = self.deadline_s - time.monotonic()
        if remaining_s <= 0:
            raise TimeoutError("response incomplete at its deadline")
        return min(wait_s, remaining_s)

    def close(self) -> None:
        self._raw.close()
        super().close()


class _Response(StrictResponse):
    """Response that reports whether more of its body is buffered."""

    def __init__(self, sock: socket.socket, *args: Any, **kwargs: Any):
        super().__init__(sock, *args, **kwargs)
        self.body = _Body(self.fp.detach(), sock)
        self.fp = io.BufferedReader(self.body, _READ_BYTES)

    def has_buffered_data(self) -> bool:
        """Return whether bytes of the next chunk are buffered.

        The line end of the previous chunk stays in the buffer until the next chunk is read.
        """
        if self.fp is None:
            return False
        self.body.buffered_only = True
        try:
            return len(self.fp.peek(1)) > len(_CHUNK_END)
        finally:
            self.body.buffered_only = False


class ConnectionPool:
    """Idle connections by address; the most recently used one is reused first."""

    def __init__(self) -> None:
        self._idle: dict[Address, deque[HTTPConnection]] = defaultdict(deque)
        self._lock = threading.Lock()

    def acquire(self, address: Address) -> HTTPConnection | None:
        """Return an idle connection that the peer has not closed, or None."""
        while True:
            with self._lock:
                idle = self._idle[address]
                conn = idle.pop() if idle else None
            if conn is None or conn.is_connected:
                return conn
            conn.close()

    def release(self, address: Address, conn: HTTPConnection) -> None:
        """Return a connection to the pool after its response was read to the end."""
        with self._lock:
            idle = self._idle[address]
            idle.append(conn)
            surplus = idle.popleft() if len(idle) > _MAX_IDLE_CONNECTIONS else None
        if surplus is not None:
            surplus.close()


class _Exchange:
    """One request and its response on one connection.

    Parameters
    ----------
    pool : ConnectionPool or None
        Pool of reusable connections; None for a new connection that is closed at the end.
    """

    def __init__(self, pool: ConnectionPool | None, backend: BackendSettings, connect_ms: int):
        self._pool = pool
        self._backend = backend
        self._connect_ms = connect_ms
        self._conn: HTTPConnection | None = None
        self._sock: socket.socket | None = None
        self._response: Any = None
        self._raw: _Response | None = None
        self._timeout_ms = 0
        self._reused = False
        self._request: tuple[str, str, bytes | None] = ("", "", None)

    def send(self, method: str, path: str, body: bytes | None) -> None:
        """Connect if needed and send the request."""
        self._request = (method, path, body)
        self._conn = self._pool.acquire(self._backend.address) if self._pool else None
        self._reused = self._conn is not None
        if self._conn is None:
            self._connect()
        try:
            self._send()
        except (HTTPError, OSError) as exc:
            if not self._reused:
                raise self.loss(exc) from exc
            self._resend(exc)

    def _connect(self) -> None:
        address = self._backend.address
        conn = HTTPConnection(
            address.host,
            address.port,
            timeout=self._connect_ms / _MS_PER_S,
            socket_options=[(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)],
        )
        self._conn = conn
        try:
            conn.connect()
        except (HTTPError, OSError) as exc:
            raise self.loss(exc, sent=False) from exc

    def _send(self) -> None:
        assert self._conn is not None
        method, path, body = self._request
        self._sock = self._conn.sock
        if self._sock is not None:
            self._sock.settimeout(self._connect_ms / _MS_PER_S)
        self._conn.response_class = self._make_response
        self._conn.request(method, path, body=body, headers=_JSON_HEADERS, preload_content=False)

    def _resend(self, cause: Exception) -> None:
        """Resend on a new connection, as the peer has closed the idle one."""
        self.abandon()
        self._reused = False
        self._connect()
        try:
            self._send()
        except (HTTPError, OSError) as exc:
            raise self.loss(exc) from cause

    def _make_response(self, *args: Any, **kwargs: Any) -> _Response:
        self._raw = _Response(*args, **kwargs)
        self._set_limits(self._raw.body, MAX_HEAD)
        return self._raw

    def _set_limits(self, body: _Body, size: int) -> None:
        """Limit the next head or body to `size` bytes, and to the time-out of one read in total."""
        body.timeout_ms = self._timeout_ms
        body.deadline_s = time.monotonic() + self._timeout_ms / _MS_PER_S
        body.bytes_left = size

    def fileno(self) -> int:
        """Return the connection's file descriptor; -1 if it is closed."""
        return -1 if self._sock is None else self._sock.fileno()

    def has_buffered_data(self) -> bool:
        """Return whether more of the body is buffered."""
        return self._raw is not None and self._raw.has_buffered_data()

    def read(self) -> bytes:
        """Return bytes of the body; empty at its end."""
        assert self._raw is not None
        return self._raw.read1(_READ_BYTES)

    def response(self, timeout_ms: int) -> Any:
        """Wait for the headers and return the response."""
        assert self._conn is not None and self._sock is not None
        self.set_read_timeout(timeout_ms)
        try:
            self._sock.settimeout(0)
            self._response = self._conn.getresponse()
        except (ConnectionError, HTTPError) as exc:
            if not self._reused:
                raise self.loss(exc) from exc
            self._resend(exc)
            return self.response(timeout_ms)
        except (http.client.HTTPException, OSError, ValueError) as exc:
            raise self.loss(exc) from exc
        assert self._raw is not None
        self._raw.body.deadline_s = None
        self._raw.body.bytes_left = _UNBOUNDED
        return self._response

    def read_body(self) -> bytes:
        """Return the whole body, within limits of size and time."""
        assert self._raw is not None
        self._set_limits(self._raw.body, _MAX_BODY_BYTES)
        try:
            return b"".join(self._raw.parts())
        except (http.client.HTTPException, OSError, ValueError) as exc:
            raise self.loss(exc) from exc

    def set_read_timeout(self, timeout_ms: int) -> None:
        """Set the time-out of each read."""
        self._timeout_ms = timeout_ms
        if self._raw is not None:
            self._raw.body.timeout_ms = timeout_ms

    def complete(self) -> None:
        """Release the connection after the response was read to the end."""
        if self._pool is None:
            self.abandon()
            return
        conn, self._conn = self._conn, None
        self._sock = None
        self._raw = None
        if conn is not None and conn.sock is not None:
            self._pool.release(self._backend.address, conn)

    def abandon(self) -> None:
        """Close the connection, including one that only the response still refers to."""
        conn, self._conn = self._conn, None
        response, self._response = self._response, None
        self._sock = self._raw = None
        if conn is not None:
            conn.close()
        if response is not None:
            response.close()

    def loss(self, exc: Exception, sent: bool = True) -> BackendLost:
        """Close the connection and return the `BackendLost` for `exc`."""
        self.abandon()
        return BackendLost(self._backend.id, _loss_kind(exc, sent), sent, type(exc).__name__)


def _loss_kind(exc: Exception, sent: bool) -> LossKind:
    if not sent or isinstance(exc, NewConnectionError):
        return LossKind.REFUSED
    if isinstance(exc, TimeoutError | ReadTimeoutError):
        return LossKind.SILENT
    return LossKind.RESET


class HttpTokenSource:
    """Token stream of one attempt.

    Parameters
    ----------
    on_answer : callable
        Called with status and headers of the response.
    """

    def __init__(self, exchange: _Exchange, backend: BackendId, on_answer: AnswerListener):
        self._exchange = exchange
        self._on_answer = on_answer
        self._backend = backend
        self._response: Any = None
        self._partial = b""

    def fileno(self) -> int:
        """Return the connection's file descriptor."""
        return self._exchange.fileno()

    def pending(self) -> bool:
        """Return whether `next` can read without waiting."""
        return self._response is not None and self._exchange.has_buffered_data()

    def next(self, timeout_ms: int) -> list[Token | Finish]:
        """Return the items that have arrived; empty after only a head or a partial line.

        Raises
        ------
        BackendLost
            After `timeout_ms` without data, or if the exchange failed.
        """
        if self._response is None:
            self._response = self._exchange.response(timeout_ms)
            self._on_answer(self._backend, self._response.status, self._response.headers)
            self._check_status()
            if not self.pending():
                return []
        self._exchange.set_read_timeout(timeout_ms)
        lines = self._read_lines()
        return self._decode(lines) if lines else []

    def _check_status(self) -> None:
        status = self._response.status
        if status == 200:
            return
        self.close()
        kind = _LOSS_KINDS_BY_STATUS.get(status, LossKind.ERROR)
        raise BackendLost(self._backend, kind, True, f"status {status}")

    def _read_lines(self) -> bytes:
        try:
            data = self._exchange.read()
        except (http.client.HTTPException, OSError, ValueError) as exc:
            raise self._exchange.loss(exc) from exc
        if not data:
            self.close()
            raise BackendLost(self._backend, LossKind.TRUNCATED, True, "body ended without finish")
        lines, newline, self._partial = (self._partial + data).rpartition(b"\n")
        if len(self._partial) > _MAX_LINE_BYTES:
            self.close()
            raise BackendLost(self._backend, LossKind.ERROR, True, "line exceeds its size limit")
        return lines + newline

    def _decode(self, lines: bytes) -> list[Token | Finish]:
        items: list[Token | Finish] = []
        try:
            decoded = _lines.decode_lines(lines)
        except msgspec.MsgspecError as exc:
            self.close()
            raise BackendLost(self._backend, LossKind.ERROR, True, str(exc)) from exc
        for line in decoded:
            if line.finish is None:
                items.append(Token(line.index, line.text))
                continue
            items.append(Finish(line.finish, line.count))
            self._drain()
            break
        return items

    def _drain(self) -> None:
        """Read the rest of the body, so that closing does not reset the connection."""
        self._exchange.set_read_timeout(_DRAIN_TIMEOUT_MS)
        with contextlib.suppress(http.client.HTTPException, OSError, ValueError):
            self._exchange.read()
        self.close()

    def close(self) -> None:
        """Abandon the exchange and close its connection."""
        self._exchange.abandon()


class HttpEngineProtocol:
    """Client of the backend servers' HTTP interface.

    Parameters
    ----------
    on_answer : callable
        Called with a backend server, and status and headers of its response to an attempt.
    """

    def __init__(self, on_answer: AnswerListener = lambda backend, status, headers: None) -> None:
        self._pool = ConnectionPool()
        self._on_answer = on_answer

    def open(self, backend: BackendSettings, call: EngineCall, timeout_ms: int) -> TokenSource:
        """Send one attempt and return its token source, without waiting for the response.

        `timeout_ms` bounds the time to connect.

        Raises
        ------
        BackendLost
            If connecting or sending the request failed.
        """
        exchange = _Exchange(None, backend, timeout_ms)
        exchange.send("POST", "/v1/generate", _encoder.encode(call))
        return HttpTokenSource(exchange, backend.id, self._on_answer)

    def cancel(self, backend: BackendSettings, generation: GenerationId, attempt: int) -> None:
        """Ask the backend server to stop an attempt; ignored if the backend server is lost."""
        path = f"/v1/generate/{generation}/{attempt}"
        try:
            self._call(backend, "DELETE", path, None, _CANCEL_TIMEOUT_MS)
        except BackendLost:
            return

    def load_report(self, backend: BackendSettings, timeout_ms: int) -> LoadReport:
        """Read the load report.

        Raises
        ------
        BackendLost
            If it cannot be read.
        """
        body = self._call(backend, "GET", "/v1/load", None, timeout_ms)
        return self._decode(backend, _loads, body)

    def cache_events(
        self, backend: BackendSettings, after: int, timeout_ms: int
    ) -> list[CacheEvent]:
        """Read the cache events after sequence number `after`.

        Raises
        ------
        BackendLost
            If they cannot be read.
        """
        body = self._call(backend, "GET", f"/v1/cache-events?after={after}", None, timeout_ms)
        return self._decode(backend, _cache_events, body).events

    def order(self, backend: BackendSettings, order: Order, timeout_ms: int) -> OrderStatus:
        """Send an order and return its status.

        Raises
        ------
        BackendLost
            If there was no valid response; the order may have been accepted nevertheless.
        """
        body = self._call(backend, "POST", "/v1/orders", _encoder.encode(order), timeout_ms)
        return self._decode(backend, _order_answers, body).status

    def _call(
        self,
        backend: BackendSettings,
        method: str,
        path: str,
        body: bytes | None,
        timeout_ms: int,
    ) -> bytes:
        exchange = _Exchange(self._pool, backend, timeout_ms)
        exchange.send(method, path, body)
        response = exchange.response(timeout_ms)
        data = exchange.read_body()
        exchange.complete()
        if response.status >= 400:
            kind = _LOSS_KINDS_BY_STATUS.get(response.status, LossKind.ERROR)
            raise BackendLost(backend.id, kind, True, f"status {response.status}")
        return data

    def _decode(self, backend: BackendSettings, decoder: Any, body: bytes) -> Any:
        try:
            return decoder.decode(body)
        except msgspec.MsgspecError as exc:
            raise BackendLost(backend.id, LossKind.ERROR, True, str(exc)) from exc


class HttpEnginePlugin(Plugin):
    """Plug-in that provides the HTTP protocol for backend servers."""

    def register(self, registry: Registry) -> None:
        """Register the protocol under the name `http`."""

        def send_answer(backend: BackendId, status: int, headers: Mapping[str, str]) -> None:
            registry.send(Event.BACKEND_ANSWERED, backend=backend, status=status, headers=headers)

        registry.provide(Kind.BACKEND_PROTOCOL, NAME, HttpEngineProtocol(send_answer))
