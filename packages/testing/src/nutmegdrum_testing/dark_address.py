"""Address at which connection attempts hang, as with a machine that has lost power."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager

from nutmegdrum.units import Address

_QUEUED_CONNECTIONS = 4


@contextmanager
def dark_address() -> Iterator[Address]:
    """Yield the address of a listener whose accept queue is full."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        address = listener.getsockname()
        queued = [socket.socket() for _ in range(_QUEUED_CONNECTIONS)]
        for sock in queued:
            sock.setblocking(False)
            sock.connect_ex(address)
        try:
            yield Address(f"{address[0]}:{address[1]}")
        finally:
            for sock in queued:
                sock.close()
