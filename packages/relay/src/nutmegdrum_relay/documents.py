"""Routing document: one version of all routes, services, workspaces and limits."""

from collections.abc import Iterator, Sequence
from enum import Enum
from typing import NamedTuple, NewType

import msgspec
from nutmegdrum.checked_json import decode_json
from nutmegdrum.errors import UserError
from nutmegdrum.units import Duration, Size, encode_hook
from nutmegdrum_coord.ids import ServiceName, WorkspaceId

RouteName = NewType("RouteName", str)


MAX_VERSION = (1 << 63) - 1
"""Largest version; versions are stored and sent as signed 64-bit integers."""


class RouteKind(Enum):
    """Whether a route's requests are idempotent, and whether their answers are streams."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"


class _Model(msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True):
    """Base of the document's objects."""


class Target(_Model, frozen=True):
    """Weight of a service among the services of a route."""

    service: ServiceName
    weight: int = 1


class Route(_Model, frozen=True):
    """Requests of one host under one path prefix.

    Attributes
    ----------
    timeout : Duration
        Time-out of a request.
    latency_objective : Duration
        Target latency of the answer, or of a stream's first event.
    event_gap_objective : Duration
        Target for the longest gap between two events of a stream.
    max_attempts : int
        Maximum number of backend servers that one request may be sent to.
    priority : int
        Rank of the requests; 0 is the most urgent.
    public : bool
        Whether requests need no key.
    resumable : bool
        Whether a stream may resume at another backend server after its last event.
    """

    name: RouteName
    host: str
    prefix: str
    kind: RouteKind
    targets: tuple[Target, ...]
    timeout: Duration
    latency_objective: Duration = Duration(0)
    event_gap_objective: Duration = Duration(0)
    max_attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def idempotent(self) -> bool:
        """Return whether a request may be retried after it may have run."""
        return self.kind is RouteKind.IDEMPOTENT

    @property
    def repeatable(self) -> bool:
        """Return whether a request may run more than once, as a whole or from its last event."""
        return self.idempotent or (self.kind is RouteKind.STREAM and self.resumable)


class EngineLimits(_Model, frozen=True):
    """Capacity and features of the model engines of a service.

    Attributes
    ----------
    cache_tokens : int
        Capacity of one engine's KV cache, in tokens.
    copies_runs : bool
        Whether engines can copy a run's KV cache to another engine while it grows.
    """

    slots: int
    cache_tokens: int
    copies_runs: bool = False


class Service(_Model, frozen=True):
    """Service: a group of interchangeable backend servers."""

    name: ServiceName
    health_path: str = "/health"
    max_connections: int = 0
    engine: EngineLimits | None = None


class CallerLimits(_Model, frozen=True):
    """Limits on callers' requests and connections."""

    max_headers: Size = Size(16 << 10)
    max_body: Size = Size(4 << 20)
    header_timeout: Duration = Duration(3_000)
    idle_timeout: Duration = Duration(15_000)


class Workspace(_Model, frozen=True):
    """Workspace and the API keys of its callers.

    Attributes
    ----------
    priority : int or None
        Rank that overrides the route's.
    """

    id: WorkspaceId
    keys: tuple[str, ...] = ()
    priority: int | None = None


class RoutingDocument(_Model, frozen=True):
    """One version of the whole routing configuration.

    Attributes
    ----------
    workspaces : tuple of Workspace or None
        None if requests need no key.
    """

    version: int
    routes: tuple[Route, ...] = ()
    services: tuple[Service, ...] = ()
    workspaces: tuple[Workspace, ...] | None = None
    limits: CallerLimits = CallerLimits()


class Problem(NamedTuple):
    """Invalid value of a document.

    Attributes
    ----------
    path : str
        Path of the value, without the leading `$.`.
    """

    path: str
    expected: str


class InvalidDocument(UserError):
    """A document with invalid values; the message names the first.

    Attributes
    ----------
    problems : tuple of Problem
        All invalid values that were found.
    """

    def __init__(self, problems: Sequence[Problem]):
        path, expected = problems[0]
        super().__init__(f"Expected {expected} - at `$.{path}`")
        self.problems = tuple(problems)


def check_document(document: RoutingDocument) -> None:
    """Check the rules that the types alone do not express.

    Raises
    ------
    InvalidDocument
        With the paths of all invalid values and what was expected.
    """
    problems = list(_problems(document))
    if problems:
        raise InvalidDocument(problems)


def _problems(document: RoutingDocument) -> Iterator[Problem]:
    if not 0 <= document.version <= MAX_VERSION:
        yield Problem("version", f"a whole number from 0 to {MAX_VERSION}")
    services = {service.name for service in document.services}
    yield from _repeated("services", [service.name for service in document.services])
    yield from _repeated("routes", [f"{route.host} {route.prefix}" for route in document.routes])
    for index, route in enumerate(document.routes):
        yield from _route_problems(f"routes[{index}]", route, services)
    yield from _workspace_problems(document.workspaces or ())


def _route_problems(path: str, route: Route, services: set[ServiceName]) -> Iterator[Problem]:
    if route.timeout <= 0:
        yield Problem(f"{path}.timeout", "a time above 0")
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield Problem(f"{path}.prefix", "a path that begins and ends with a slash")
    for index, target in enumerate(route.targets):
        if target.service not in services:
            yield Problem(f"{path}.targets[{index}].service", "a name from `$.services`")
        if target.weight < 0:
            yield Problem(f"{path}.targets[{index}].weight", "a weight of 0 or more")
    if sum(target.weight for target in route.targets) <= 0:
        yield Problem(f"{path}.targets", "weights whose sum is above 0")
    if route.max_attempts < 1:
        yield Problem(f"{path}.max_attempts", "1 or more")


def _workspace_problems(workspaces: tuple[Workspace, ...]) -> Iterator[Problem]:
    yield from _repeated("workspaces", [workspace.id for workspace in workspaces])
    owners: dict[str, WorkspaceId] = {}
    for index, workspace in enumerate(workspaces):
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace.id)
            if owner != workspace.id:
                expected = f"keys of its own; `{owner}` has the same"
                yield Problem(f"workspaces[{index}].keys", expected)


def _repeated(path: str, names: Sequence[str]) -> Iterator[Problem]:
    for index, name in enumerate(names):
        if name in names[:index]:
            yield Problem(f"{path}[{index}]", f"a place of its own; `{name}` is taken")


class DocumentCodec:
    """Codec of nutmegdrum's own document format: JSON with units."""

    def __init__(self) -> None:
        self._encoder = msgspec.json.Encoder(enc_hook=encode_hook)

    def decode(self, source: bytes) -> RoutingDocument:
        """Decode and check a document.

        Raises
        ------
        UserError
            If the source is not a valid document.
        """
        document = decode_json(source, RoutingDocument)
        check_document(document)
        return document
