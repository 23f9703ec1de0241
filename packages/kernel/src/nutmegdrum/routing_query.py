"""What is asked of routing, shared by all paths that send work to backend servers."""

from typing import Protocol

import msgspec
from nutmegdrum_coord.ids import AdapterName, BackendId, ModelName, VersionName, WorkspaceId
from nutmegdrum_coord.verdict import Reason

from nutmegdrum.messages import LossKind
from nutmegdrum.settings import BackendSettings


class RouteQuery(msgspec.Struct, frozen=True, kw_only=True):
    """Work that needs a backend server.

    Attributes
    ----------
    model : ModelName
        Model, or the name of a plain service.
    version : VersionName or None
        Version that the work is bound to; None before the first attempt.
    excluded : frozenset of BackendId
        Backend servers that this work must not go to again.
    isolated : bool
        Whether the work is suspected of crashing backend servers and must share one with no other
        suspect.
    """

    model: ModelName
    workspace: WorkspaceId
    version: VersionName | None = None
    adapter: AdapterName = AdapterName("")
    prompt: str = ""
    excluded: frozenset[BackendId] = frozenset()
    isolated: bool = False


class Routing(Protocol):
    """Choice of backend servers, as the request paths use it."""

    def pick_version(self, query: RouteQuery) -> VersionName | Reason:
        """Return the version that new work shall run on, drawing the trial's share."""
        ...

    def choose(self, query: RouteQuery) -> BackendSettings | Reason:
        """Return a backend server for the query.

        Without a version, one is picked as by `pick_version`; callers that must tell the backend
        server its version pick it first.
        """
        ...

    def started(self, backend: BackendId, isolated: bool = False) -> None:
        """Count an attempt that begins on `backend`."""
        ...

    def finished(self, backend: BackendId, ok: bool, isolated: bool = False) -> None:
        """Count an attempt's end; `ok` says that the backend server answered to the end."""
        ...

    def lost(self, backend: BackendId, kind: LossKind) -> None:
        """Suspect a backend server that stopped serving an exchange."""
        ...
