"""How far running calls have got, to log those that a planned stop ends."""

from enum import Enum
from typing import NamedTuple


class CallPhase(Enum):
    """What a running call waits for.

    Attributes
    ----------
    UNSENT
        A backend server, or a permit to send to one.
    SENT
        The answer's head.
    ANSWERING
        The rest of the answer.
    BETWEEN_SERVERS
        Another backend server, as one has lost it.
    DELIVERING
        Its caller, as the whole answer has arrived.
    """

    UNSENT = "unsent"
    SENT = "sent"
    ANSWERING = "answering"
    BETWEEN_SERVERS = "between-servers"
    DELIVERING = "delivering"


class CallProgress(NamedTuple):
    """State of a running call.

    Attributes
    ----------
    sends : int
        Times that it has been sent to a backend server or another entry VM.
    last_byte_ms : int or None
        Elapsed time in ms at which the server's last byte was read; None if there is no exchange.
    unread : int or None
        Bytes from the server that have arrived and are not read; None if not known.
    """

    phase: CallPhase
    sends: int
    last_byte_ms: int | None = None
    unread: int | None = None
