"""Connections of exchanges in progress, which a stop can end."""

import contextlib
import socket
import threading


class OpenExchanges:
    """Sockets of exchanges whose answers are awaited; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._open: set[socket.socket] = set()
        self._ended = False

    def add(self, sock: socket.socket) -> None:
        """Add an exchange; it is ended at once if the stop has ended the others."""
        with self._lock:
            self._open.add(sock)
            ended = self._ended
        if ended:
            _shut_down(sock)

    def remove(self, sock: socket.socket) -> None:
        """Remove an exchange that is over."""
        with self._lock:
            self._open.discard(sock)

    def end(self) -> None:
        """End all exchanges, as if their peers had closed the connections, and all later ones."""
        with self._lock:
            self._ended = True
            socks = list(self._open)
        for sock in socks:
            _shut_down(sock)


def _shut_down(sock: socket.socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(socket.SHUT_RDWR)
