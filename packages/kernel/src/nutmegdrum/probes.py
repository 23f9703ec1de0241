"""TCP probes of other processes."""

import socket
from enum import Enum

from nutmegdrum.units import Address

_MS_PER_S = 1_000


def has_ended(address: Address, connect_ms: int, settle_ms: int) -> bool:
    """Return whether the process that listened at `address` has ended or is terminating.

    The operating system closes the sockets of a dying process one by one, in any order. Its
    listener may still accept a connection after another connection was reset, but the new
    connection is soon closed as well. A live process keeps the connection open or accepts another.

    Parameters
    ----------
    connect_ms : int
        Connect time-out, in ms.
    settle_ms : int
        Time within which a terminating process's connection is closed, in ms.
    """
    first = _try_connection(address, connect_ms, settle_ms)
    if first is not _Connection.ENDED:
        return first is _Connection.REFUSED
    return _try_connection(address, connect_ms, 0) is _Connection.REFUSED


class _Connection(Enum):
    """Result of a connection attempt."""

    REFUSED = "refused"
    OPEN = "open"
    ENDED = "ended"


def _try_connection(address: Address, connect_ms: int, settle_ms: int) -> _Connection:
    """Open a connection and watch it; one that is not accepted in time counts as refused."""
    try:
        sock = socket.create_connection((address.host, address.port), connect_ms / _MS_PER_S)
    except ConnectionResetError:
        # The connection was accepted and reset before the call returned.
        return _Connection.ENDED
    except OSError:
        return _Connection.REFUSED
    with sock:
        sock.settimeout(settle_ms / _MS_PER_S)
        try:
            return _Connection.ENDED if sock.recv(1) == b"" else _Connection.OPEN
        except (TimeoutError, BlockingIOError):
            return _Connection.OPEN
        except OSError:
            return _Connection.ENDED
