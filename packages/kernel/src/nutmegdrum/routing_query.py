"""Queries to the router and its answers."""

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
    """Properties of an attempt that routing depends on.

    Attributes
    ----------
    version : VersionName or None
        The only version that may serve the attempt; None until a token was delivered.
    excluded : frozenset of BackendId
        Backend servers on which an attempt of this generation was lost or refused.
    isolated : bool
        Whether the attempt needs a backend server without other suspects, because a backend server
        was lost while it ran this request.
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
    """Backend server and version selected for an attempt."""

    backend: BackendSettings
    version: VersionName


class Routing(Protocol):
    """Router interface that streams use."""

    def choose(self, query: RouteQuery) -> Choice | Reason:
        """Return a backend server and version, or the reason why there is none."""
        ...

    def started(self, backend: BackendId, isolated: bool = False) -> None:
        """Count the start of an attempt."""
        ...

    def finished(self, backend: BackendId, ok: bool, isolated: bool = False) -> None:
        """Count the end of an attempt that `started` has counted."""
        ...

    def load(self, backend: BackendId) -> float:
        """Return the estimated load of a backend server as a share of its slots."""
        ...

    def lost(self, backend: BackendId, kind: LossKind) -> None:
        """Suspect a backend server after the loss of an attempt."""
        ...
