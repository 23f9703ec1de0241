"""Accounts of the bytes that a process holds for its requests."""

from collections.abc import Callable
from enum import Enum

from nutmegdrum_scheduling.memory.pace import Pace


class Kind(Enum):
    """What held bytes belong to."""

    HEAD = "head"
    BODY = "body"
    RESPONSE = "response"


class Reason(Enum):
    """Why a request or connection was ended to free what it held."""

    MEMORY = "memory"
    THREADS = "threads"
    CONNECTIONS = "connections"
    SLOW_READER = "slow-reader"


class Evicted(Exception):
    """The request was chosen to free what it holds; it has not run.

    Parameters
    ----------
    reason : Reason
        What was short.
    """

    def __init__(self, reason: Reason):
        super().__init__(f"not enough {reason.value} left")
        self.reason = reason


class Account:
    """What one request holds; changed by its budget only.

    Parameters
    ----------
    interrupt : callable
        Wakes the thread that waits for the request's peer; may be called on any thread.

    Attributes
    ----------
    held : dict
        Bytes by kind.
    ahead : int
        Bytes of a stream that are buffered until its reader takes them; part of `held`.
    pace : Pace
        Lag of the peer, which sends the request or reads the response.
    evicted : Reason or None
        Why the request was chosen to end; None if it was not.
    """

    __slots__ = ("ahead", "evicted", "held", "interrupt", "pace", "total")

    def __init__(self, interrupt: Callable[[], None], now_ms: int):
        self.interrupt = interrupt
        self.held: dict[Kind, int] = {}
        self.total = 0
        self.ahead = 0
        self.pace = Pace(now_ms)
        self.evicted: Reason | None = None
