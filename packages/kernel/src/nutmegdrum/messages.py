"""Typed requests and events between the kernel's modules."""

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
    """Urgency of a request; overload sheds the least urgent first."""

    URGENT = "urgent"
    NORMAL = "normal"
    BATCH = "batch"


class GenerationRequest(msgspec.Struct, frozen=True, kw_only=True):
    """What a caller asks a model for.

    Attributes
    ----------
    deadline_ms : int or None
        Time that the caller gives the whole answer, in ms from arrival.
    seed : int
        Sampling seed; drawn at arrival where the caller gave none.
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
    """One token from a backend server, with its place in the whole generation."""

    index: int
    text: str


class FinishReason(Enum):
    """Why a generation ended, in the terms of completion APIs."""

    STOP = "stop"
    LENGTH = "length"


class Finish(NamedTuple):
    """End of a generation, after `count` tokens in all."""

    reason: FinishReason
    count: int


class LossKind(Enum):
    """How the loss of a backend server showed."""

    REFUSED = "refused"
    RESET = "reset"
    SILENT = "silent"
    TRUNCATED = "truncated"
    ERROR = "error"
    BUSY = "busy"
    NOT_LOADED = "not-loaded"


class BackendLost(Exception):
    """A backend server stopped serving an exchange.

    Parameters
    ----------
    backend : BackendId
        Which one.
    kind : LossKind
        How it showed.
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
        Tokens that were delivered already; the attempt continues after them.
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
    """Version of a model, with an adapter or none, in a backend server's memory."""

    model: ModelName
    version: VersionName
    adapter: AdapterName = AdapterName("")


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a backend server says about itself, with a lag."""

    sequence: int
    running: int
    queued: int
    slots: int
    loaded: list[LoadedVersion] = []
    tokens_per_s: float = 0.0
    role: str = "serve"


class CacheChange(Enum):
    """What happened to a cached prefix."""

    STORED = "stored"
    EVICTED = "evicted"


class CacheEvent(msgspec.Struct, frozen=True, kw_only=True):
    """One change of a backend server's prefix cache; numbers are consecutive."""

    sequence: int
    change: CacheChange
    prefix: str


class OrderKind(Enum):
    """What a backend server is told to do."""

    LOAD = "load"
    UNLOAD = "unload"
    ROLE = "role"


class Order(msgspec.Struct, frozen=True, kw_only=True):
    """Order to a backend server.

    Attributes
    ----------
    fencing : FencingNumber
        Term of the leader that gave the order.
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
