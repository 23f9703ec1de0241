"""Typed requests and events that the kernel's modules exchange."""

from enum import Enum
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.ids import (
    AdapterName,
    BackendId,
    FencingNumber,
    GenerationId,
    IdempotencyKey,
    ModelName,
    OrderId,
    VersionName,
    WorkspaceId,
)


class Priority(Enum):
    """Priority of a request; under overload the least urgent requests are shed first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request to a model.

    Attributes
    ----------
    deadline_ms : int or None
        Time allowed by the caller for the complete answer, in ms from arrival.
    seed : int
        Sampling seed; drawn at arrival if the caller set none.
    """

    workspace: WorkspaceId
    model: ModelName
    prompt: str
    max_tokens: int
    seed: int
    temperature: float = 1.0
    adapter: AdapterName = AdapterName("")
    priority: Priority = Priority.NORMAL
    deadline_ms: int | None = None
    key: IdempotencyKey = IdempotencyKey("")
    chat: bool = False


class Token(NamedTuple):
    """Token from a backend server, with its index in the whole generation."""

    index: int
    text: str


class FinishReason(Enum):
    """Reason why a generation ended, in the terms of completion APIs."""

    STOP = "stop"
    LENGTH = "length"


class Finish(NamedTuple):
    """End of a generation after a total of `count` tokens."""

    reason: FinishReason
    count: int


class LossKind(Enum):
    """How the loss of a backend server was detected."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
    TRUNCATED = "truncated"
    ERROR = "error"
    BUSY = "busy"
    NOT_LOADED = "not-loaded"


class BackendLost(Exception):
    """A backend server did not complete an exchange.

    Parameters
    ----------
    backend : BackendId
        The backend server.
    kind : LossKind
        How the loss was detected.
    sent : bool
        Whether a byte of the request may have reached it.
    """

    def __init__(self, backend: BackendId, kind: LossKind, sent: bool, detail: str = ""):
        super().__init__(f"{backend}: {kind.value} {detail}".strip())
        self.backend = backend
        self.kind = kind
        self.sent = sent


class EngineCall(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt at a generation on one backend server.

    Attributes
    ----------
    prefix : list of str
        Tokens that have already been delivered; the attempt continues after them.
    """

    generation: GenerationId
    attempt: int
    model: ModelName
    version: VersionName
    prompt: str
    max_tokens: int
    seed: int
    temperature: float
    adapter: AdapterName = AdapterName("")
    priority: Priority = Priority.NORMAL
    prefix: list[str] = []


class LoadedVersion(msgspec.Struct, frozen=True, order=True):
    """Version of a model, with an adapter or none, that a backend server has loaded."""

    model: ModelName
    version: VersionName
    adapter: AdapterName = AdapterName("")


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load reported by a backend server; it lags behind the actual load."""

    sequence: int
    running: int
    queued: int
    slots: int
    loaded: list[LoadedVersion] = []
    tokens_per_s: float = 0.0
    role: str = "serve"


class CacheChange(Enum):
    """Change of a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """Change in a backend server's prefix cache; sequence numbers are consecutive."""

    sequence: int
    change: CacheChange
    prefix: str


class OrderKind(Enum):
    """Kind of an order to a backend server."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Order to a backend server.

    Attributes
    ----------
    fencing : FencingNumber
        Term of the leader that sent the order, used as fencing token.
    deadline_ms : int
        Time after receipt within which the order may start, in ms.
    """

    id: OrderId
    fencing: FencingNumber
    deadline_ms: int
    kind: OrderKind
    version: LoadedVersion | None = None
    role: str = ""


class OrderStatus(Enum):
    """A backend server's answer to an order."""

    ACCEPTED = "accepted"
    DONE = "done"
    STALE = "stale"
    EXPIRED = "expired"
    FAILED = "failed"
