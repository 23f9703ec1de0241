"""Backend server that runs a test's script for each answer, including where it breaks off."""

import socket
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from nutmegdrum.sockets import RESET_ON_CLOSE
from nutmegdrum.units import Address


class Received:
    """One request as received by the backend server.

    Attributes
    ----------
    gone : threading.Event
        Set when `wait_gone` has seen that the peer closed the connection.
    conn_requests : int
        Requests received on this connection so far, this one included.
    """

    def __init__(self, handler: "_Handler", body: bytes):
        self._handler = handler
        self.method = handler.command
        self.target = handler.path
        self.headers = {name.lower(): value for name, value in handler.headers.items()}
        self.body = body
        self.gone = threading.Event()
        self._added: dict[str, str] = {}
        self.conn_requests = handler.requests

    def add_header(self, name: str, value: str) -> None:
        """Add a header to the answer."""
        self._added[name] = value

    def answer(self, status: int, body: bytes = b"", **headers: str) -> None:
        """Send a complete answer; underscores in header names become dashes."""
        self._head(status, headers)
        self._handler.send_header("Content-Length", str(len(body)))
        self._handler.end_headers()
        self._handler.wfile.write(body)

    def start_events(self, **headers: str) -> None:
        """Send the head of an event stream."""
        self._head(200, {"Content-Type": "text/event-stream", **headers})
        self._handler.send_header("Transfer-Encoding", "chunked")
        self._handler.end_headers()

    def event(self, number: int) -> None:
        """Send one event with the id `number`."""
        self.piece(b"id: %d\ndata: t%d\n\n" % (number, number))

    def piece(self, data: bytes) -> None:
        """Send one chunk of the stream."""
        self._handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))

    def end_events(self) -> None:
        """End the stream with the last chunk."""
        self._handler.wfile.write(b"0\r\n\r\n")

    def send_raw(self, data: bytes) -> None:
        """Send bytes unchanged, and close the connection after them."""
        self._handler.close_connection = True
        self._handler.wfile.write(data)

    def reset(self) -> None:
        """Reset the connection, as a crashed process does."""
        sock = self._handler.connection
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._handler.close_connection = True
        self._handler.wfile.flush()
        self._handler.abandon()

    def wait_gone(self, timeout_s: float) -> bool:
        """Wait for the peer to close the connection, and return whether it did."""
        sock = self._handler.connection
        sock.settimeout(timeout_s)
        try:
            closed = sock.recv(1) == b""
        except TimeoutError:
            return False
        except OSError:
            closed = True
        if closed:
            self.gone.set()
        return closed

    def _head(self, status: int, headers: dict[str, str]) -> None:
        self._handler.send_response_only(status)
        for name, value in {**self._added, **headers}.items():
            self._handler.send_header(name.replace("_", "-"), value)


Script = Callable[[Received], None]


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    requests = 0
    server: "_Server"

    def abandon(self) -> None:
        """Close the socket immediately, without flushing."""
        self.connection.close()
        self.wfile = _NoFile()

    def _serve(self) -> None:
        self.requests += 1
        length = int(self.headers.get("Content-Length", "0"))
        received = Received(self, self.rfile.read(length))
        self.server.received.append(received)
        self.server.script(received)

    do_GET = do_POST = do_DELETE = do_PUT = _serve  # noqa: N815

    def log_message(self, format: str, *args: object) -> None:
        """Suppress the log line of each request."""


class _NoFile:
    closed = True

    def flush(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


class _Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128
    received: list[Received]
    script: Script

    def handle_error(self, request: object, client_address: object) -> None:
        """Suppress errors of connections that the relay closed."""


class ScriptedBackend:
    """HTTP server on a free port of 127.0.0.1.

    Parameters
    ----------
    script : callable
        Function that answers each request; can be replaced at any time.
    """

    def __init__(self, script: Script):
        self._server = _Server(("127.0.0.1", 0), _Handler)
        self._server.received = []
        self._server.script = script
        self.address = Address(f"127.0.0.1:{self._server.server_address[1]}")
        threading.Thread(target=self._server.serve_forever, args=(0.01,), daemon=True).start()

    @property
    def received(self) -> list[Received]:
        """Return the requests in the order of their arrival."""
        return self._server.received

    def set_script(self, script: Script) -> None:
        """Replace the script for later requests."""
        self._server.script = script

    def crash(self, received: Received) -> None:
        """Simulate a crash during a request: refuse connections, and reset the request's own."""
        self.stop()
        received.reset()

    def stop(self) -> None:
        """Close the listener, so that connections are refused."""
        self._server.shutdown()
        self._server.server_close()
