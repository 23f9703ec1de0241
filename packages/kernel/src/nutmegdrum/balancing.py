"""Choice among eligible backend servers, which plug-ins can replace."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from nutmegdrum_coord.ids import BackendId

from nutmegdrum.messages import CacheEvent
from nutmegdrum.routing_query import RouteQuery

DEFAULT_CHOICES = 2


class Candidate(NamedTuple):
    """One eligible backend server.

    Attributes
    ----------
    load : float
        Estimated running and queued work, as a share of its slots; may exceed 1.
    """

    id: BackendId
    load: float


class Balancer(Protocol):
    """Policy that picks one of the eligible backend servers."""

    def pick(
        self, query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return one of `candidates`, of which there is at least one."""
        ...

    def on_cache_events(self, backend: BackendId, events: Sequence[CacheEvent]) -> None:
        """Take note of changes of a backend server's prefix cache."""
        ...

    def wants_cache_events(self) -> bool:
        """Return whether cache events are of any use to this policy."""
        ...


class SampledBalancer:
    """Least loaded of a few candidates drawn at random.

    Load reports lag, so that always taking the least loaded of all sends every entry VM to the
    same backend server; a small sample spreads the work and still avoids the busy ones.

    Parameters
    ----------
    choices : int
        Size of the sample.
    """

    def __init__(self, choices: int = DEFAULT_CHOICES):
        self._choices = choices

    def pick(
        self, query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the least loaded of the sample."""
        sample = rng.sample(candidates, min(self._choices, len(candidates)))
        return min(sample, key=lambda candidate: candidate.load)

    def on_cache_events(self, backend: BackendId, events: Sequence[CacheEvent]) -> None:
        """Do nothing: caches play no part in this policy."""

    def wants_cache_events(self) -> bool:
        """Return False: caches play no part in this policy."""
        return False
