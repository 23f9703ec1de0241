"""Table of faults of a fake server, which a test replaces at run time."""

from enum import Enum

import msgspec


class FaultKind(Enum):
    """Kind of fault to inject."""

    DIE = "die"
    HANG = "hang"
    CLOSE = "close"
    TRUNCATE = "truncate"
    WRONG = "wrong"
    SLOW = "slow"
    ERROR = "error"
    NO_SLOT = "no-slot"
    REFUSE_CONNECTIONS = "refuse-connections"
    FAIL_ORDERS = "fail-orders"
    HANG_ORDERS = "hang-orders"


class Fault(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """One fault and its conditions; a condition left at its default always holds.

    Attributes
    ----------
    prompt, version, adapter, path : str
        Text contained in the prompt, exact version and adapter, and prefix of the path.
    after_tokens : int
        Tokens of an attempt written before the fault; -1 for a fault before the response head.
    after_requests, after_ms : int
        Requests received, and time in ms since the fault was set, before the fault applies.
    above_running : int
        Number of running streams above which the fault applies.
    rate : float
        Fraction of requests that the fault hits, 0 to 1.
    times : int
        Maximum number of hits; 0 for no limit.
    factor : float
        For `slow`: factor by which each token takes longer.
    after_execution : bool
        For a plain service: whether the call is executed before the fault.
    """

    kind: FaultKind
    prompt: str = ""
    version: str = ""
    adapter: str = ""
    path: str = ""
    after_tokens: int = 0
    after_requests: int = 0
    after_ms: int = 0
    above_running: int = -1
    rate: float = 1.0
    times: int = 0
    factor: float = 10.0
    after_execution: bool = False


class Situation(msgspec.Struct, kw_only=True):
    """Current state of a request, which the conditions of faults are checked against.

    Attributes
    ----------
    draw : float
        Random number from 0 to 1, drawn once per request; a fault hits if it is below the rate.
    tokens : int
        Tokens written so far; -1 before the response head.
    """

    now_ms: int
    prompt: str = ""
    version: str = ""
    adapter: str = ""
    path: str = ""
    requests: int = 0
    running: int = 0
    tokens: int = -1
    draw: float = 0.0


_BEFORE_HEAD = frozenset({FaultKind.ERROR, FaultKind.NO_SLOT})


class FaultTable:
    """Current faults of a fake server, with the number of hits of each."""

    def __init__(self) -> None:
        self.faults: list[Fault] = []
        self._set_at_ms = 0
        self._hits: dict[int, int] = {}

    def replace(self, faults: list[Fault], now_ms: int) -> None:
        """Replace all faults, and reset their hit counts and start time."""
        self.faults = faults
        self._set_at_ms = now_ms
        self._hits = {}

    def has(self, kind: FaultKind) -> bool:
        """Return whether a fault of `kind` is set."""
        return any(fault.kind is kind for fault in self.faults)

    def find(self, situation: Situation, *kinds: FaultKind) -> Fault | None:
        """Return the first fault of `kinds` that hits in `situation`, and count the hit."""
        for index, fault in enumerate(self.faults):
            if fault.kind in kinds and self._hit(index, fault, situation):
                self._hits[index] = self._hits.get(index, 0) + 1
                return fault
        return None

    def _hit(self, index: int, fault: Fault, situation: Situation) -> bool:
        if fault.times and self._hits.get(index, 0) >= fault.times:
            return False
        return (
            fault.prompt in situation.prompt
            and fault.version in ("", situation.version)
            and fault.adapter in ("", situation.adapter)
            and situation.path.startswith(fault.path)
            and situation.draw < fault.rate
            and situation.requests >= fault.after_requests
            and situation.now_ms >= self._set_at_ms + fault.after_ms
            and situation.running > fault.above_running
            and (fault.kind in _BEFORE_HEAD or situation.tokens >= fault.after_tokens)
        )
