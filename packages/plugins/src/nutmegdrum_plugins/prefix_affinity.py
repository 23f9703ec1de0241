"""Routing to backend servers that have a prompt's prefix in their KV cache, within a load bound.

Cache events arrive late and with gaps, so they are only hints. A prompt whose prefix no backend
server is known to hold is routed by the hash of its first block, so that all entry VMs pick the
same backend server without coordination.
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
    """Prefixes that one backend server probably holds in its cache."""

    def __init__(self) -> None:
        self._held: OrderedDict[str, None] = OrderedDict()
        self._last_sequence: int | None = None

    def apply(self, events: Sequence[CacheEvent]) -> None:
        """Apply events in order; a gap in the sequence numbers drops all earlier hints."""
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
        """Add a prefix, and evict the oldest one beyond `MAX_HINTS`."""
        self._held[prefix] = None
        self._held.move_to_end(prefix)
        if len(self._held) > MAX_HINTS:
            self._held.popitem(last=False)

    def longest_match(self, digests: Sequence[str]) -> int:
        """Return the number of leading blocks of a prompt that are held."""
        for count in range(len(digests), 0, -1):
            if digests[count - 1] in self._held:
                return count
        return 0


class PrefixBalancer:
    """Balancer that prefers the holder of a prompt's prefix unless its load exceeds a bound.

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
        """Return a candidate within the load bound, by prefix or hash; otherwise one by load."""
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
        """Apply the cache events of one backend server."""
        self._hints.setdefault(backend, PrefixHints()).apply(events)

    def wants_cache_events(self) -> bool:
        """Return True, as the hints come from cache events."""
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
    """Plug-in that provides `PrefixBalancer`, with the option `load_factor`."""

    def __init__(self) -> None:
        super().__init__()
        self.config.update(load_factor=DEFAULT_LOAD_FACTOR)

    def register(self, registry: Registry) -> None:
        """Register the balancer."""
        registry.provide(Kind.ROUTING, self.name, PrefixBalancer(self.config["load_factor"]))
