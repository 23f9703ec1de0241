"""Question that a request puts to routing, and the answer."""

from collections.abc import Callable
from typing import NamedTuple

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

from nutmegdrum.messages import Priority
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


Choose = Callable[[RouteQuery], Choice | Reason]
"""Routing as the relay sees it; a `Reason` says why nothing can serve the query."""
