"""Which backend server runs a request, and which keeps a copy of a generation.

Answers the load of long prompts: an engine reads a prompt for about a second, its memory holds
some nine generations, and a data centre's engines fail together. Short requests need a free
place only.
"""

import random
from collections.abc import Collection
from typing import NamedTuple

from nutmegdrum_coord.ids import BackendId, DataCentre

from nutmegdrum_relay.backends import LOAD_VALID, Backend, Health

FAILURE_PENALTY = 4.0
"""Requests that a failure rate of 1 counts for; docs/design/platform.md, placement."""

WARM_UP_PENALTY = 1.0
"""Requests that a backend server still warming up counts for; docs/design/platform.md."""

OTHER_DATA_CENTRE_PENALTY = 0.1
"""Requests that the way to another data centre counts for, so that ties stay near."""

RUNNING_WEIGHT = 0.35
"""Weight of a running generation's token against one to be read: a prompt delays each running
generation while it is read, and waits itself behind all unread ones."""

SPREAD = 0.3
"""Prompts up to which costs differ at random, so that near-equal engines share what comes."""

CANDIDATES = 3
FRESH_CANDIDATES = 9
FRESH_SHARE = 2
"""An engine is chosen among a random half of the fleet, nine at least, if others' work is known as
of this moment, else among three. What other entry VMs sent since is not known; if each compared
all engines, all would choose the same one. docs/design/platform.md, placement."""

NO_ROOM_PENALTY = 8.0
"""Prompts that a full memory counts for: a generation there is preempted and read again."""


class Demand(NamedTuple):
    """Size of a request in tokens; 0 for one that is no generation."""

    prompt_tokens: int = 0
    output_tokens: int = 0

    @property
    def tokens(self) -> int:
        """Return the tokens that the request holds in memory at its end."""
        return self.prompt_tokens + self.output_tokens


def choose_backend(
    backends: Collection[Backend],
    demand: Demand,
    cache_tokens: int,
    near: DataCentre,
    tried: Collection[BackendId],
    now_ms: int,
    rng: random.Random,
    fresh: bool = False,
) -> Backend | None:
    """Return the backend server with the least work ahead of a request.

    Backend servers that were found down are used only when all are.

    Parameters
    ----------
    cache_tokens : int
        Tokens that an engine's memory holds; 0 for backend servers that are no engines.
    near : DataCentre
        Data centre of this entry VM.
    tried : collection of BackendId
        Backend servers that had the request already.
    fresh : bool
        Whether other entry VMs' work is known as of this moment.
    """
    untried = [b for b in backends if b.id not in tried]
    usable = [b for b in untried if b.health(now_ms) is Health.UP] or untried
    if not usable:
        return None
    if demand.tokens:
        return min(
            _sample(usable, rng, fresh),
            key=lambda b: _generation_cost(b, demand, cache_tokens, near) + SPREAD * rng.random(),
        )
    return min(usable, key=lambda b: (_request_cost(b, near, now_ms), rng.random()))


def choose_copy(
    backends: Collection[Backend],
    primary: Backend,
    demand: Demand,
    cache_tokens: int,
    tried: Collection[BackendId],
    now_ms: int,
    rng: random.Random,
) -> Backend | None:
    """Return the engine that keeps a copy of a generation, in another data centre if there is one.

    None if no engine has room for it.
    """
    others = [
        b
        for b in backends
        if b is not primary
        and b.id not in tried
        and b.health(now_ms) is Health.UP
        and b.total_work().resident + demand.tokens <= cache_tokens
    ]
    apart = [b for b in others if b.data_centre != primary.data_centre] or others
    if not apart:
        return None
    return min(
        _sample(apart, rng, fresh=True), key=lambda b: _copy_cost(b, demand) + SPREAD * rng.random()
    )


def _sample(backends: list[Backend], rng: random.Random, fresh: bool) -> list[Backend]:
    count = max(FRESH_CANDIDATES, len(backends) // FRESH_SHARE) if fresh else CANDIDATES
    return rng.sample(backends, min(count, len(backends)))


def _work_cost(backend: Backend, demand: Demand) -> float:
    work = backend.total_work()
    running = work.resident - work.copied
    return (work.unread + RUNNING_WEIGHT * running) / demand.tokens


def _copy_cost(backend: Backend, demand: Demand) -> float:
    """Return the work that delays a generation which goes on here, with that of other copies."""
    work = backend.total_work()
    return (work.unread + RUNNING_WEIGHT * work.resident) / demand.tokens


def _generation_cost(
    backend: Backend, demand: Demand, cache_tokens: int, near: DataCentre
) -> float:
    cost = _work_cost(backend, demand) + _common_cost(backend, near)
    if cache_tokens and backend.total_work().resident + demand.tokens > cache_tokens:
        cost += NO_ROOM_PENALTY
    return cost


def _request_cost(backend: Backend, near: DataCentre, now_ms: int) -> float:
    told = 0
    if backend.load is not None and now_ms - backend.load_ms <= LOAD_VALID:
        told = backend.load.running + backend.load.waiting
    return max(backend.requests, told) + _common_cost(backend, near)


def _common_cost(backend: Backend, near: DataCentre) -> float:
    cost = FAILURE_PENALTY * backend.failure_rate
    if backend.listed.warming_up:
        cost += WARM_UP_PENALTY
    if backend.data_centre != near:
        cost += OTHER_DATA_CENTRE_PENALTY
    return cost
