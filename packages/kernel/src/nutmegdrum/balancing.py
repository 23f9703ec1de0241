"""Load balancing among eligible backend servers; plug-ins can replace the policy."""

import random
from collections.abc import Sequence
from typing import NamedTuple, Protocol

from nutmegdrum_coord.ids import BackendId

from nutmegdrum.messages import CacheEvent
from nutmegdrum.routing_query import RouteQuery

DEFAULT_CHOICES = 2
"""Number of candidates that `SampledBalancer` compares for each pick."""


class Candidate(NamedTuple):
    """Eligible backend server and its load.

    Attributes
    ----------
    load : float
        Estimated running and queued requests as a share of the slots; may exceed 1.
    """

    id: BackendId
    load: float


class Balancer(Protocol):
    """Load-balancing policy."""

    def pick(
        self, query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return one of `candidates`, which is never empty."""
        ...

    def on_cache_events(self, backend: BackendId, events: Sequence[CacheEvent]) -> None:
        """Record changes of a backend server's prefix cache."""
        ...

    def wants_cache_events(self) -> bool:
        """Return whether this policy uses cache events."""
        ...


class SampledBalancer:
    """Policy that picks the least loaded of a few randomly sampled candidates.

    Load reports lag. If every entry VM picked the least loaded backend server of all, they would
    all pick the same one; a small random sample spreads the requests and still avoids busy ones.

    Parameters
    ----------
    choices : int
        Number of candidates in the sample.
    """

    def __init__(self, choices: int = DEFAULT_CHOICES):
        self._choices = choices

    def pick(
        self, query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the least loaded candidate of a random sample."""
        sample = rng.sample(candidates, min(self._choices, len(candidates)))
        return min(sample, key=lambda candidate: candidate.load)

    def on_cache_events(self, backend: BackendId, events: Sequence[CacheEvent]) -> None:
        """Ignore the events; this policy does not consider caches."""

    def wants_cache_events(self) -> bool:
        """Return False; this policy does not consider caches."""
        return False
