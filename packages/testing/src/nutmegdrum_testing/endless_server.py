"""Server that sends an endless incomplete answer until its peer closes the connection."""

import socket
import threading

from nutmegdrum.units import Address


class EndlessServer:
    """Accepts one connection, reads a request, sends `start`, then repeats `more`.

    It sends until the peer closes the connection or `stop` is called.

    Parameters
    ----------
    more : bytes
        Bytes to send repeatedly; empty to close the connection after `start`.
    pace_s : float
        Pause in s before each repetition of `more`.

    Attributes
    ----------
    sent : int
        Bytes sent so far, without `start`.
    closed : threading.Event
        Set once sending has failed because the peer closed the connection.
    """

    def __init__(self, start: bytes = b"", more: bytes = b"", pace_s: float = 0.0):
        self.sent = 0
        self.closed = threading.Event()
        self._start = start
        self._more = more
        self._pace_s = pace_s
        self._stopping = threading.Event()
        self._listener = socket.create_server(("127.0.0.1", 0))
        self.address = Address(f"127.0.0.1:{self._listener.getsockname()[1]}")
        threading.Thread(target=self._serve, daemon=True).start()

    def stop(self) -> None:
        """Stop sending and close the listener."""
        self._stopping.set()
        self._listener.close()

    def _serve(self) -> None:
        conn, _ = self._listener.accept()
        with conn:
            conn.recv(65_536)
            try:
                conn.sendall(self._start)
                while self._more and not self._stopping.wait(self._pace_s):
                    conn.sendall(self._more)
                    self.sent += len(self._more)
            except OSError:
                self.closed.set()


ENDLESS_HEADS = {
    "a status line": (b"HTTP/1.1 200 ", b"x" * 1_024),
    "header lines": (b"HTTP/1.1 200 OK\r\n", b"X-More: y\r\n"),
    "provisional answers": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
}
"""Arguments `start` and `more` for response heads that never end."""
