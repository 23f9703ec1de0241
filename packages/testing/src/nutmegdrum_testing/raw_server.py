"""Server that answers with given bytes, whether or not they are an HTTP response."""

import contextlib
import socket
import threading
from collections.abc import Callable, Iterator
from enum import Enum

from nutmegdrum.sockets import RESET_ON_CLOSE, unsent_bytes
from nutmegdrum.units import Address

from nutmegdrum_testing.waiting import wait_for

LARGE_UPLOAD = b"u" * (8 << 20)
"""Request body that the socket buffers of a connection to a `RawServer` can't hold."""

_RECEIVE_BUFFER = 64 << 10
_HEAD_END = b"\r\n\r\n"
_SOCKET_TIMEOUT_S = 10


class Ending(Enum):
    """What follows an answer."""

    CLOSE = "close"
    RESET = "reset"
    RESET_DURING_UPLOAD = "reset-during-upload"
    """The request's body is not read, and the connection is reset while it is being sent."""


class RawServer:
    """Sends the same bytes in answer to each request, one request a connection.

    Parameters
    ----------
    answer : bytes
        Bytes to send after a request.

    Attributes
    ----------
    requests : int
        Requests whose head has arrived.
    """

    def __init__(self, answer: bytes, ending: Ending = Ending.CLOSE):
        self.requests = 0
        self._answer = answer
        self._ending = ending
        self._listener = socket.create_server(("127.0.0.1", 0))
        self._listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER)
        self.address = Address(f"127.0.0.1:{self._listener.getsockname()[1]}")
        threading.Thread(target=self._accept, daemon=True).start()

    def stop(self) -> None:
        """Close the listener."""
        self._listener.close()

    def _accept(self) -> None:
        with contextlib.suppress(OSError):
            while True:
                conn, _ = self._listener.accept()
                threading.Thread(target=self._serve, args=(conn,), daemon=True).start()

    def _serve(self, conn: socket.socket) -> None:
        conn.settimeout(_SOCKET_TIMEOUT_S)
        with conn, contextlib.suppress(OSError):
            head, _, body = _read_until(conn, _HEAD_END).partition(_HEAD_END)
            self.requests += 1
            if self._ending is not Ending.RESET_DURING_UPLOAD:
                _read_body(conn, head, body)
            conn.sendall(self._answer)
            if self._ending is not Ending.CLOSE:
                # A reset drops what the peer has not received.
                wait_for(lambda: unsent_bytes(conn) == 0)
                conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)


@contextlib.contextmanager
def raw_servers() -> Iterator[Callable[..., RawServer]]:
    """Yield a function that starts servers as `RawServer` does, and stop them at the end."""
    running: list[RawServer] = []

    def start(answer: bytes, ending: Ending = Ending.CLOSE) -> RawServer:
        running.append(RawServer(answer, ending))
        return running[-1]

    try:
        yield start
    finally:
        for server in running:
            server.stop()


def _read_until(conn: socket.socket, end: bytes) -> bytes:
    data = b""
    while end not in data:
        more = conn.recv(1_024)
        if not more:
            raise ConnectionError("the request is incomplete")
        data += more
    return data


def _read_body(conn: socket.socket, head: bytes, begun: bytes) -> None:
    lines = head.lower().split(b"\r\n")
    lengths = [int(line[15:]) for line in lines if line.startswith(b"content-length:")]
    left = sum(lengths) - len(begun)
    while left > 0 and (data := conn.recv(65_536)):
        left -= len(data)
