"""Placement of requests on backend servers, and of copies of generations on engines.

Long prompts dominate the load: prefill takes an engine about a second, its KV cache holds about
nine generations, and the engines of a data centre fail together. Short requests only need a
backend server with few requests.

Costs are times in units of the request's own usual time (the prefill of all its tokens, or the run
of a plain request). The work ahead is multiplied by the server's pace, and the request's own work
counts by what the pace adds to it or saves. With usual paces this is the cost by work alone.
"""

import math
import random
from collections.abc import Collection
from typing import NamedTuple, TypeVar

from nutmegdrum_coord.clock import Duration
from nutmegdrum_coord.ids import BackendId, DataCentre

from nutmegdrum_scheduling.placement.servers import Server

AnyServer = TypeVar("AnyServer", bound=Server)

FAILURE_PENALTY = 4.0
"""Cost of a failure rate of 1, in requests; see docs/design/platform.md, placement."""

WARM_UP_PENALTY = 1.0
"""Cost of a backend server that is warming up, in requests; see docs/design/platform.md."""

OTHER_DATA_CENTRE_PENALTY = 0.1
"""Cost of another data centre, in requests; it only breaks ties in favour of the own one."""

RUNNING_WEIGHT = 0.35
"""Weight of a running generation's tokens relative to prompt tokens awaiting prefill. A prefill
slows down all running generations, while a new prompt waits for all prefills queued before it."""

SPREAD = 0.3
"""Upper bound of the random cost, in prompts, that spreads load over nearly equal engines."""

CANDIDATES = 3
FRESH_CANDIDATES = 9
FRESH_SHARE = 2
"""Sizes of the random sample of engines that are compared: half of the fleet but at least nine if
other entry VMs' work has just been fetched, else three. Requests that other entry VMs have sent
since are unknown; if every VM compared all engines, all would pick the same one. See
docs/design/platform.md, placement."""

MIN_CANDIDATES = 2
"""Smallest sample of engines, however many other entry VMs place generations at the same time."""

NO_ROOM_PENALTY = 8.0
"""Cost of a full KV cache, in prompts: a generation there is preempted and prefilled again."""

OUTPUT_WEIGHT = 8.0
"""Weight of an own output token relative to a prompt token. A decode step takes as long as the
prefill of 25 tokens, but the generations beside share it. Of 0 to 25, 8 gave the shortest means and
99th percentiles in the model of speeds 0.6, 1 and 1.6; 25 crowds the fast engines. See
docs/design/cost-aware-placement.md."""

DECODE_TOKENS = 25
"""Prompt tokens that an engine prefills in the time of one decode step."""

PREFILL_TOKENS_PER_MS = 5
"""Prompt tokens that a usual engine prefills in 1 ms; only for the time over which the current
slowness counts."""


class Demand(NamedTuple):
    """Expected cost of a request; tokens are 0 for a request that is not a generation.

    Attributes
    ----------
    output_tokens : int
        Output tokens at most.
    expected_output : int
        Output tokens that are expected; 0 for as many as `output_tokens`.
    expected_time : Duration
        Usual time of a plain request; 0 if unknown.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output: int = 0
    expected_time: Duration = Duration(0)

    @property
    def tokens(self) -> int:
        """Return the tokens that the request occupies in the KV cache at its end."""
        return self.prompt_tokens + self.output_tokens

    def own_work(self, prompt_tokens: int) -> float:
        """Return the own work, with this much of the prompt to prefill, in units of `tokens`."""
        return (prompt_tokens + OUTPUT_WEIGHT * self._output()) / self.tokens

    def time(self) -> Duration:
        """Return the usual time of the request; 0 if unknown."""
        if not self.tokens:
            return self.expected_time
        work = self.prompt_tokens + DECODE_TOKENS * self._output()
        return Duration(work // PREFILL_TOKENS_PER_MS)

    def _output(self) -> int:
        return self.expected_output or self.output_tokens


def choose_backend(
    backends: Collection[AnyServer],
    demand: Demand,
    cache_tokens: int,
    near: DataCentre,
    tried: Collection[BackendId],
    now_ms: int,
    rng: random.Random,
    fresh: bool = False,
    connected: Collection[BackendId] = (),
    placing: int = 0,
) -> AnyServer | None:
    """Return the backend server with the lowest cost for a request; None if all were tried.

    Backend servers that are paused are used only if all untried ones are.

    Parameters
    ----------
    cache_tokens : int
        Capacity of an engine's KV cache in tokens; 0 for backend servers that are no engines.
    near : DataCentre
        Data centre of this entry VM.
    tried : collection of BackendId
        Backend servers that already had the request.
    fresh : bool
        Whether other entry VMs' work has just been fetched.
    connected : collection of BackendId
        Backend servers with a kept connection, which are preferred for a plain request among those
        of the lowest cost.
    placing : int
        Generations that other entry VMs are placing by the same figures.
    """
    untried = [b for b in backends if b.id not in tried]
    usable = [b for b in untried if b.is_up(now_ms)] or untried
    if not usable:
        return None
    if demand.tokens:
        return min(
            _sample(usable, rng, fresh, placing),
            key=lambda b: _generation_cost(b, demand, cache_tokens, near, now_ms, fresh)
            + SPREAD * rng.random(),
        )
    return min(
        usable,
        key=lambda b: (
            _request_cost(b, demand, near, now_ms),
            b.id not in connected,
            _drawn(b, rng),
        ),
    )


def choose_copy(
    backends: Collection[AnyServer],
    primary: AnyServer,
    demand: Demand,
    cache_tokens: int,
    tried: Collection[BackendId],
    now_ms: int,
    rng: random.Random,
) -> AnyServer | None:
    """Return the engine to hold a copy of a generation, if possible in another data centre.

    None if no engine has room for the copy.
    """
    others = [
        b
        for b in backends
        if b is not primary
        and b.id not in tried
        and b.is_up(now_ms)
        and b.total_work().resident + demand.tokens <= cache_tokens
    ]
    elsewhere = [b for b in others if b.data_centre != primary.data_centre] or others
    if not elsewhere:
        return None
    return min(
        _sample(elsewhere, rng, fresh=True),
        key=lambda b: _copy_cost(b, demand, now_ms) + SPREAD * rng.random(),
    )


def _sample(
    backends: list[AnyServer], rng: random.Random, fresh: bool, placing: int = 0
) -> list[AnyServer]:
    """Return the engines to compare.

    The more generations others are placing, the fewer engines are compared: among this many, about
    one of them chooses the same engine.
    """
    count = max(FRESH_CANDIDATES, len(backends) // FRESH_SHARE) if fresh else CANDIDATES
    if fresh and placing:
        count = min(count, max(MIN_CANDIDATES, len(backends) // (1 + placing)))
    count = min(count, len(backends))
    if fresh or all(b.usual_pace == 1.0 for b in backends):
        return rng.sample(backends, count)
    return sorted(backends, key=lambda b: _drawn(b, rng))[:count]


def _drawn(backend: Server, rng: random.Random) -> float:
    """Return a random number that is the lowest one in proportion to a server's usual speed.

    Entry VMs that do not know each other's requests would all choose the fastest servers.
    """
    return -math.log(1.0 - rng.random()) * backend.usual_pace


def _generation_cost(
    backend: Server,
    demand: Demand,
    cache_tokens: int,
    near: DataCentre,
    now_ms: int,
    fresh: bool,
) -> float:
    work = backend.total_work()
    running = work.resident - work.copied
    ahead = (work.unread + RUNNING_WEIGHT * running) / demand.tokens
    if cache_tokens and work.resident + demand.tokens > cache_tokens:
        ahead += NO_ROOM_PENALTY
    own = demand.own_work(demand.prompt_tokens) if fresh else 0.0
    pace = backend.usual_pace * backend.slowness_factor(now_ms, demand.time())
    return _paced(ahead, own, pace) + _common_cost(backend, near)


def _copy_cost(backend: Server, demand: Demand, now_ms: int) -> float:
    """Return the cost of the work, copies included, that would delay a generation resumed here."""
    work = backend.total_work()
    ahead = (work.unread + RUNNING_WEIGHT * work.resident) / demand.tokens
    pace = backend.usual_pace * backend.slowness_factor(now_ms, demand.time())
    return _paced(ahead, demand.own_work(0), pace)


def _request_cost(backend: Server, demand: Demand, near: DataCentre, now_ms: int) -> float:
    """Return the cost in requests; a server runs as many at once as it has slots.

    The own time counts by the current slowness only, which one entry VM has seen and the others
    have not. By usual paces the servers are drawn, as all entry VMs know them.
    """
    ahead = max(backend.requests, backend.reported_requests(now_ms))
    slowness = backend.slowness_factor(now_ms, demand.time())
    cost = ahead * slowness * backend.usual_pace + max(1, backend.slots) * (slowness - 1.0)
    return cost + _common_cost(backend, near)


def _paced(ahead: float, own: float, pace: float) -> float:
    """Return the time until the end, less the usual time of the own work."""
    return ahead * pace + own * (pace - 1.0)


def _common_cost(backend: Server, near: DataCentre) -> float:
    cost = FAILURE_PENALTY * backend.failure_rate
    if backend.warming_up:
        cost += WARM_UP_PENALTY
    if backend.data_centre != near:
        cost += OTHER_DATA_CENTRE_PENALTY
    return cost
