"""Routing that sends to backend servers with a rate limit only under a permit."""

import msgspec
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_coord.verdict import OVERLOADED, Reason

from nutmegdrum.permits import Permits
from nutmegdrum.routing_query import Choice, RouteQuery, Routing
from nutmegdrum.units import Duration
from nutmegdrum.wrapped_routing import WrappedRouting

MAX_WAIT = Duration(200)
"""Longest wait of an attempt for its turn; recoveries ask again until their deadline."""

MAX_WANTED = 8
"""Backend servers with a limit that are asked for at once; one of them is enough."""


class LimitedRouting(WrappedRouting):
    """Routing that gets a permit for each choice with a rate limit; each choice must be sent."""

    def __init__(self, router: Routing, permits: Permits):
        super().__init__(router)
        self._permits = permits

    def choose(self, query: RouteQuery) -> Choice | Reason:
        """Return a backend server and version, or the reason why there is none.

        `OVERLOADED` means that all eligible backend servers are at their limits. Without a limit on
        one of them nothing waits.
        """
        limited, other = self._choices(query)
        if not limited:
            return other
        max_wait = Duration(0) if isinstance(other, Choice) else MAX_WAIT
        granted = self._permits.acquire(list(limited), max_wait)
        if granted is not None:
            return limited[granted]
        return other if isinstance(other, Choice) else OVERLOADED

    def _choices(self, query: RouteQuery) -> tuple[dict[BackendId, Choice], Choice | Reason]:
        """Return the best choices with a limit, and the best one without, or why there is none."""
        limited: dict[BackendId, Choice] = {}
        choice = self._router.choose(query)
        while isinstance(choice, Choice) and self._permits.is_needed(choice.backend.id):
            limited[choice.backend.id] = choice
            if len(limited) == MAX_WANTED:
                return limited, OVERLOADED
            query = msgspec.structs.replace(
                query,
                version=choice.version or None,
                excluded=query.excluded | {choice.backend.id},
            )
            choice = self._router.choose(query)
        return limited, choice
