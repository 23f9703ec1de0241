"""Routing to backend servers that hold a prompt's prefix, as long as they are not busier.

Cache events come late and with gaps, so that they are hints only. A prompt whose prefix is held
nowhere goes where its first block's hash points, so that all entry VMs send it to the same
backend server without knowing of each other.
"""

import random
from collections import OrderedDict
from collections.abc import Sequence

import xxhash
from nutmegdrum.balancing import Candidate, SampledBalancer
from nutmegdrum.messages import CacheChange, CacheEvent
from nutmegdrum.plugins import Kind, Plugin, Registry
from nutmegdrum.routing_query import RouteQuery
from nutmegdrum_coord.ids import BackendId

BLOCK_CHARS = 64
MAX_BLOCKS = 128
MAX_HINTS = 50_000
DEFAULT_LOAD_FACTOR = 1.25
LOAD_SLACK = 0.1


class PrefixHints:
    """Prefixes that one backend server is thought to hold."""

    def __init__(self) -> None:
        self._held: OrderedDict[str, None] = OrderedDict()
        self._last_sequence: int | None = None

    def apply(self, events: Sequence[CacheEvent]) -> None:
        """Apply events in their order; a gap drops all hints, which build up anew from there."""
        for event in events:
            if self._last_sequence is not None:
                if event.sequence <= self._last_sequence:
                    continue
                if event.sequence != self._last_sequence + 1:
                    self._held.clear()
            self._last_sequence = event.sequence
            if event.change is CacheChange.EVICTED:
                self._held.pop(event.prefix, None)
            else:
                self.add(event.prefix)

    def add(self, prefix: str) -> None:
        """Add a prefix, and forget the oldest one beyond the bound."""
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if len(self._held) > MAX_HINTS:
            self._held.popitem(last=False)

    def longest_match(self, digests: Sequence[str]) -> int:
        """Return how many of a prompt's first blocks are held."""
        for count in range(len(digests), 0, -1):
            if digests[count - 1] in self._held:
                return count
        return 0


class PrefixBalancer:
    """Balancer with bounded load: affinity never makes a backend server busier than the bound.

    Parameters
    ----------
    load_factor : float
        Bound on a backend server's load, as a multiple of the candidates' mean load.
    """

    def __init__(self, load_factor: float = DEFAULT_LOAD_FACTOR):
        self._load_factor = load_factor
        self._hints: dict[BackendId, PrefixHints] = {}
        self._by_load = SampledBalancer()

    def pick(
        self, query: RouteQuery, candidates: Sequence[Candidate], rng: random.Random
    ) -> Candidate:
        """Return the holder of the longest prefix within the bound, or else one by load."""
        digests = prefix_digests(query.prompt)
        within_bound = self._within_bound(candidates)
        if not digests or not within_bound:
            return self._by_load.pick(query, candidates, rng)
        held = {
            c.id: self._hints[c.id].longest_match(digests)
            for c in within_bound
            if c.id in self._hints
        }
        if any(held.values()):
            return max(within_bound, key=lambda c: (held.get(c.id, 0), -c.load))
        return min(
            within_bound, key=lambda c: xxhash.xxh64_intdigest(f"{digests[0]}{c.id}".encode())
        )

    def on_cache_events(self, backend: BackendId, events: Sequence[CacheEvent]) -> None:
        """Take the events of one backend server."""
        self._hints.setdefault(backend, PrefixHints()).apply(events)

    def wants_cache_events(self) -> bool:
        """Return True: the events are where the hints come from."""
        return True

    def _within_bound(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        mean = sum(c.load for c in candidates) / len(candidates)
        bound = min(1.0, mean * self._load_factor + LOAD_SLACK)
        return [c for c in candidates if c.load <= bound]


def prefix_digests(prompt: str) -> list[str]:
    """Return the digests of a prompt's first 64, 128, 192, … characters, at most `MAX_BLOCKS`."""
    digest = xxhash.xxh64()
    digests: list[str] = []
    for start in range(0, len(prompt) - BLOCK_CHARS + 1, BLOCK_CHARS):
        if len(digests) == MAX_BLOCKS:
            break
        digest.update(prompt[start : start + BLOCK_CHARS].encode())
        digests.append(digest.hexdigest())
    return digests


class PrefixAffinity(Plugin):
    """Provides `PrefixBalancer` with the bound of the option `load_factor`."""

    def __init__(self) -> None:
        super().__init__()
        self.config.update(load_factor=DEFAULT_LOAD_FACTOR)

    def register(self, registry: Registry) -> None:
        """Register the balancer."""
        registry.provide(Kind.ROUTING, self.name, PrefixBalancer(self.config["load_factor"]))
