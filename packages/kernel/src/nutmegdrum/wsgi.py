"""HTTP listeners and WSGI helpers."""

import resource
import select
import threading
import time
from collections.abc import Callable, Iterable, Iterator
from http import HTTPStatus
from typing import Any

from cheroot import wsgi
from cheroot.server import ChunkedRFile, HTTPConnection, HTTPServer
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_scheduling.memory import (
    Account,
    Evicted,
    ListenerLimits,
    ProcessLimits,
    Reason,
    plan,
)

from nutmegdrum.chunked_bodies import (
    BodyTooLarge,
    IncompleteBody,
    MalformedBody,
    read_chunked,
)
from nutmegdrum.lingering import LingeringConnection, limit
from nutmegdrum.logs import log_change
from nutmegdrum.sockets import is_readable
from nutmegdrum.units import Address, Duration

Environ = dict[str, Any]
StartResponse = Callable[..., Any]
WsgiApp = Callable[[Environ, StartResponse], Iterable[bytes]]

NEXT_REQUEST_WAIT = Duration(200)
"""Time that a stopping server gives new and idle connections for their next request."""

LINGER_AT_STOP = Duration(1_000)
"""Longest time for which a stopped listener waits for callers that still send."""

MAX_BODY = 64 << 20
MAX_HEADERS = 64 << 10
"""Limits of requests that are not callers', such as routing documents, in bytes."""

_REQUEST = "nutmegdrum.request"
"""Key of cheroot's request in the environment."""

_STOPPED_POLL_S = 0.05
_MS_PER_S = 1_000


class Response(Exception):
    """Complete response of a handler; may be returned or raised."""

    def __init__(
        self,
        status: int,
        body: bytes = b"",
        headers: list[tuple[str, str]] | None = None,
        content_type: str = "application/json",
    ):
        super().__init__(status)
        self.status = status
        self.body = body
        self.headers = headers or []
        self.content_type = content_type

    def send(self, start_response: StartResponse) -> list[bytes]:
        """Send the response."""
        headers = list(self.headers)
        if not any(name.lower() == "content-type" for name, _ in headers):
            headers.append(("Content-Type", self.content_type))
        headers.append(("Content-Length", str(len(self.body))))
        start_response(status_line(self.status), headers)
        return [self.body]


class StreamedBody:
    """Body that is produced while it is sent.

    Parameters
    ----------
    has_arrived : callable
        Returns whether the rest of the body is there, so that nothing has to be waited for.
    """

    def __init__(self, chunks: Iterator[bytes], has_arrived: Callable[[], bool]):
        self._chunks = chunks
        self.has_arrived = has_arrived

    def __iter__(self) -> Iterator[bytes]:
        """Return the chunks."""
        return self._chunks

    def close(self) -> None:
        """End the production."""
        close = getattr(self._chunks, "close", None)
        if close is not None:
            close()


class StreamedResponse:
    """Response whose body is produced while it is sent.

    Parameters
    ----------
    chunks : Iterator of bytes
        The body; closed when its caller disconnects.
    has_arrived : callable
        Returns whether the rest of the body is there, so that nothing has to be waited for.
    """

    def __init__(
        self,
        status: int,
        headers: list[tuple[str, str]],
        chunks: Iterator[bytes],
        has_arrived: Callable[[], bool] = lambda: False,
    ):
        self.status = status
        self.headers = headers
        self._body = StreamedBody(chunks, has_arrived)

    def send(self, start_response: StartResponse) -> StreamedBody:
        """Send the status and headers, and return the body."""
        start_response(status_line(self.status), self.headers)
        return self._body


def status_line(status: int) -> str:
    """Return the status code with its reason phrase, in the format of WSGI."""
    try:
        return f"{status} {HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} Status"


def request_headers(environ: Environ) -> dict[str, str]:
    """Return the request's headers by lower-case name."""
    headers = {
        key[5:].replace("_", "-").lower(): value
        for key, value in environ.items()
        if key.startswith("HTTP_")
    }
    if environ.get("CONTENT_TYPE"):
        headers["content-type"] = environ["CONTENT_TYPE"]
    return headers


def read_body(environ: Environ) -> bytes:
    """Return the request's body; the listener has limited its size.

    Raises
    ------
    Response
        If a body in chunks is too large or malformed, or the request was evicted. Its connection
        is closed then.
    """
    file = environ["wsgi.input"]
    try:
        if isinstance(file, ChunkedRFile):
            body = read_chunked(file.rfile, file.maxlen)
        else:
            body = file.read(int(environ.get("CONTENT_LENGTH") or 0))
        if _REQUEST in environ:
            environ[_REQUEST].conn.end_body()
        return body
    except Evicted as exc:
        status, detail = HTTPStatus.SERVICE_UNAVAILABLE, str(exc)
    except BodyTooLarge as exc:
        status, detail = HTTPStatus.REQUEST_ENTITY_TOO_LARGE, str(exc)
    except (MalformedBody, IncompleteBody) as exc:
        status, detail = HTTPStatus.BAD_REQUEST, str(exc)
    environ[_REQUEST].close_connection = True
    raise Response(status, detail.encode(), content_type="text/plain")


def serve_pending_connections(server: HTTPServer) -> None:
    """Serve connections with unread requests on a server that is about to stop; close its listener.

    The server stops accepting connections up to half a second before it closes its listener. It
    would reset all connections that arrive in between, together with their requests. Idle
    connections get a moment for a request that is on its way, too.
    """
    # A connection that a worker keeps alive after its response would use the closed selector.
    server.put_conn = lambda conn: conn.close()
    server.next_request_wait = NEXT_REQUEST_WAIT
    server.stops = True
    manager = server._connections
    # The serving thread calls `run` again and again until the server is stopped.
    manager.run = lambda interval: time.sleep(_STOPPED_POLL_S)
    manager.stop()
    waiting = []
    for fd, conn in list(manager._selector.connections):
        if conn is not server:
            manager._selector.unregister(fd)
            waiting.append(conn)
    listening, server.socket = server.socket, None
    if listening is None:
        _serve_next_requests(server, waiting)
        return
    while is_readable(listening):
        conn = manager._from_server_socket(listening)
        if conn is not None:
            waiting.append(conn)
    # Whatever connects before the close is reset, and `HTTPServer.stop` takes its time for it.
    listening.close()
    _serve_next_requests(server, waiting)


def _serve_next_requests(server: HTTPServer, conns: list[HTTPConnection]) -> None:
    """Serve connections whose request arrives within `NEXT_REQUEST_WAIT`; close the others."""
    waiting = {conn.socket.fileno(): conn for conn in conns}
    poll = select.poll()
    for fd in waiting:
        poll.register(fd, select.POLLIN)
    until_s = time.monotonic() + NEXT_REQUEST_WAIT / _MS_PER_S
    while waiting and (left_s := until_s - time.monotonic()) > 0:
        for fd, _ in poll.poll(left_s * _MS_PER_S):
            poll.unregister(fd)
            server.process_conn(waiting.pop(fd))
    for conn in waiting.values():
        conn.close()


def default_limits(threads: int, largest_request: int) -> ListenerLimits:
    """Return limits of a listener whose VM's memory is not known."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    process = ProcessLimits(
        SystemClock(), plan(None, descriptors, threads, largest_request), log_eviction
    )
    return process.listener(threads, 1.0)


def log_eviction(account: Account, reason: Reason, lag: Duration) -> None:
    """Log that a request or connection was ended to free what it held."""
    log_change("evicted", **eviction_fields(account, reason, lag))


def eviction_fields(account: Account, reason: Reason, lag: Duration) -> dict[str, object]:
    """Return what a log line says of an eviction."""
    held = {f"{kind.value}_bytes": count for kind, count in account.held.items()}
    return {"reason": reason.value, "lag_ms": int(lag), **held}


class _Gateway(wsgi.Gateway_10):
    def get_environ(self) -> Environ:
        return super().get_environ() | {_REQUEST: self.req}


class HttpListener:
    """HTTP listener: a cheroot server on its own thread.

    Parameters
    ----------
    address : Address
        Address to listen on.
    app : WsgiApp
        WSGI application.
    threads : int
        Number of worker threads; each running request occupies one.
    idle_timeout_ms : int
        Time after which an idle or blocked connection is closed, in ms.
    max_body, max_headers : int
        Limits of a request in bytes.
    limits : ListenerLimits or None
        Limits on what its peers hold; by default those that no peer within the others reaches.
    """

    def __init__(
        self,
        address: Address,
        app: WsgiApp,
        threads: int,
        idle_timeout_ms: int = 10_000,
        max_body: int = MAX_BODY,
        max_headers: int = MAX_HEADERS,
        limits: ListenerLimits | None = None,
    ):
        self._server = wsgi.Server(
            (address.host, address.port),
            app,
            numthreads=threads,
            server_name="nutmegdrum",
            request_queue_size=1_024,
            timeout=idle_timeout_ms / 1_000,
        )
        self._server.gateway = _Gateway
        self._server.ConnectionClass = LingeringConnection
        limit(self._server, limits or default_limits(threads, max_body + max_headers))
        self._lingering = self._server.lingering
        self._server.max_request_body_size = max_body
        self._server.max_request_header_size = max_headers
        self._thread = threading.Thread(target=self._serve, name=f"http-{address}", daemon=True)

    def start(self) -> None:
        """Bind the address and start serving.

        Raises
        ------
        OSError
            If the address cannot be bound.
        """
        self._server.prepare()
        self._thread.start()

    def _serve(self) -> None:
        self._server.serve()

    def stop(self) -> None:
        """Serve requests that have arrived, then close the listener and its connections."""
        serve_pending_connections(self._server)
        self._server.stop()
        self._lingering.wait(LINGER_AT_STOP)
