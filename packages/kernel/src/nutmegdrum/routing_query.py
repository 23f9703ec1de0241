"""Question that a request puts to routing, and the answer."""

from typing import NamedTuple, Protocol

import msgspec
from nutmegdrum_coord.ids import (
    AdapterName,
    BackendId,
    GenerationId,
    ModelName,
    VersionName,
    WorkspaceId,
)
from nutmegdrum_coord.verdict import Reason

from nutmegdrum.messages import LossKind, Priority
from nutmegdrum.settings import BackendSettings


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """What routing needs to know of one attempt at a generation.

    Attributes
    ----------
    version : VersionName or None
        The only version that may serve the attempt; None while no token was delivered.
    excluded : frozenset of BackendId
        Backend servers that this generation was lost on or that refused it.
    isolated : bool
        Whether the attempt must run apart from other suspects, since a backend server was lost
        while it ran this request.
    """

    model: ModelName
    workspace: WorkspaceId
    prompt: str
    generation: GenerationId
    version: VersionName | None = None
    adapter: AdapterName = AdapterName("")
    priority: Priority = Priority.NORMAL
    excluded: frozenset[BackendId] = frozenset()
    isolated: bool = False


class Choice(NamedTuple):
    """Backend server and version that serve one attempt."""

    backend: BackendSettings
    version: VersionName


class Routing(Protocol):
    """Routing as streams see it."""

    def choose(self, query: RouteQuery) -> Choice | Reason:
        """Return a backend server and version, or why nothing can serve the query."""
        ...

    def started(self, backend: BackendId, isolated: bool = False) -> None:
        """Count an attempt that begins."""
        ...

    def finished(self, backend: BackendId, ok: bool, isolated: bool = False) -> None:
        """Count the end of an attempt that `started` counted."""
        ...

    def load(self, backend: BackendId) -> float:
        """Return the estimated work of a backend server as a share of its slots."""
        ...

    def lost(self, backend: BackendId, kind: LossKind) -> None:
        """Suspect a backend server that stopped serving."""
        ...
