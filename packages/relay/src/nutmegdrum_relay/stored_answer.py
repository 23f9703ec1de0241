"""Storage of a plain answer, whose bytes are charged to the process's budget."""

from nutmegdrum.units import Duration, parse_count
from nutmegdrum_scheduling.memory import RequestMemory

from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.upstream import MAX_BUFFERED

CHARGE_STEP = 64 << 10
"""Bytes that are charged at once for an answer without a declared length."""

NO_WAIT = Duration(0)


class NoRoom(Exception):
    """The budget had no room for an answer in time.

    Parameters
    ----------
    stored, declared : int
        Bytes that were stored, and that the server announced.
    """

    def __init__(self, stored: int, declared: int):
        super().__init__(f"{stored} of {declared} bytes were stored")
        self.stored = stored
        self.declared = declared


class StoredAnswer:
    """Body of an answer while it arrives.

    Parameters
    ----------
    memory : RequestMemory or None
        The request's part of the budget; None if there is no limit.
    declared : int
        Announced length in bytes; 0 if it is not known.
    """

    def __init__(self, memory: RequestMemory | None, declared: int):
        self._memory = memory
        self._declared = min(declared, MAX_BUFFERED)
        self._body = bytearray()
        self._charged = 0

    def reserve(self, timeout: Duration) -> None:
        """Charge the announced length before any of it is stored; wait for room.

        An answer waits for all its room at once, as answers that each hold a part of theirs could
        wait for each other.

        Raises
        ------
        NoRoom
            If there was none in time.
        """
        self._charge(self._declared, timeout)

    def add(self, piece: bytes) -> None:
        """Store a piece.

        Raises
        ------
        NoRoom
            If the answer has no declared length and there is no room for more.
        """
        size = len(self._body) + len(piece)
        if size > self._charged:
            steps = -(-size // CHARGE_STEP)
            self._charge(steps * CHARGE_STEP - self._charged, NO_WAIT)
        self._body += piece

    def keep(self) -> bytes | bytearray:
        """Return the body without a copy; it stays charged until the request ends."""
        self._charged = 0
        return self._body

    def close(self) -> None:
        """Return what was charged for a body that is not kept."""
        if self._memory is not None and self._charged:
            self._memory.release(self._charged)
        self._charged = 0

    def _charge(self, count: int, timeout: Duration) -> None:
        if self._memory is not None and count and not self._memory.reserve(count, timeout):
            raise NoRoom(len(self._body), self._declared)
        self._charged += count


def declared_length(headers: Headers) -> int:
    """Return the announced length of a body in bytes; 0 if none is announced."""
    lengths = [value for name, value in headers if name.lower() == "content-length"]
    return (parse_count(lengths[0]) or 0) if lengths else 0
