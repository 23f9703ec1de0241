"""How far running calls have got, to log those that a planned stop ends."""

from enum import Enum
from typing import NamedTuple


class CallPhase(Enum):
    """What a running call waits for."""

    UNSENT = "unsent"
    SENT = "sent"
    ANSWERING = "answering"
    BETWEEN_SERVERS = "between-servers"
    DELIVERING = "delivering"


class CallProgress(NamedTuple):
    """State of a running call.

    Attributes
    ----------
    phase : CallPhase
        Not sent yet; sent, without an answer's head; answered in part; lost by one backend server
        and not sent to the next one; or answered completely, and not taken by its caller yet.
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
