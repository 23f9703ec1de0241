"""Socket functions that the HTTP libraries lack."""

import fcntl
import select
import socket
import struct
import termios

RESET_ON_CLOSE = struct.pack("ii", 1, 0)
"""Value of `SO_LINGER` that makes closing a socket reset its connection."""

_INT = struct.Struct("i")


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
