"""Share of complete answers at 0.5x to 4x of the engines' capacity, by workspace and priority."""

from collections.abc import Callable, Iterator, Sequence

from nutmegdrum_testing.arrival_load import (
    PRIORITIES,
    ArrivalResult,
    Arrivals,
    ClassResult,
    Source,
    run_arrivals,
)
from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.deployment import Deployment, Options, key_of

LOADS = (0.5, 1.0, 2.0, 4.0)
ENGINES = 2
SLOTS = 10
TOKENS = 30
TOKEN_MS = 10
FIRST_TOKEN_MS = 50
LARGE, SMALL = "w1", "w2"
LARGE_SHARE, SMALL_SHARE = 0.9, 0.1

_MS_PER_S = 1_000
_SLOT_TIME_MS = FIRST_TOKEN_MS + (TOKENS + 2) * TOKEN_MS
"""Time in ms for which a request occupies a slot."""

CAPACITY_PER_S = ENGINES * SLOTS * _MS_PER_S / _SLOT_TIME_MS


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield goodput, shares of complete answers and times to a refusal at each load."""
    options = Options(
        entries=2,
        engines=ENGINES,
        workspaces=(LARGE, SMALL),
        workspace_limits={
            "max_streams": 5_000,
            "tokens_per_s": 1_000_000,
            "requests_per_s": 10_000,
        },
        engine_options=(
            *("--slots", str(SLOTS), "--token-ms", str(TOKEN_MS)),
            *("--first-token-ms", str(FIRST_TOKEN_MS)),
        ),
    )
    seconds = sizes.pick(15, 4)
    with Deployment(options) as deployment:
        for load in LOADS:
            arrivals = _arrivals(deployment, load, seconds, sizes.seed)
            yield from _figures(load, run_arrivals(deployment.processes, arrivals))


def _arrivals(deployment: Deployment, load: float, seconds: float, seed: int) -> Arrivals:
    return Arrivals(
        addresses=[entry.address("callers") for entry in deployment.entries],
        sources=[
            Source(name=LARGE, key=key_of(LARGE), share=LARGE_SHARE),
            Source(name=SMALL, key=key_of(SMALL), share=SMALL_SHARE),
        ],
        rate_per_s=load * CAPACITY_PER_S,
        seconds=seconds,
        max_tokens=TOKENS,
        seed=seed,
    )


def _figures(load: float, result: ArrivalResult) -> Iterator[Figure]:
    results = result.classes
    whole = sum(result.whole for result in results)
    offered = sum(result.offered for result in results)
    problems = sorted({problem for result in results for problem in result.problems})
    yield Figure(
        name=f"goodput of capacity, {load}x",
        value=whole / result.elapsed_s / CAPACITY_PER_S,
        unit="ratio",
        samples=offered,
        note=f"capacity {CAPACITY_PER_S:.0f}/s",
    )
    yield Figure(
        name=f"neither whole nor refused, {load}x",
        value=sum(result.broken for result in results),
        unit="streams",
        samples=offered,
        bound="broken-streams",
        note="; ".join(problems[:2]),
    )
    for source in (LARGE, SMALL):
        yield _share(f"whole of offered, {source}, {load}x", results, _is_source(source))
    for priority in PRIORITIES:
        yield _share(f"whole of offered, {priority}, {load}x", results, _is_priority(priority))
    refused = Distribution(ms for result in results for ms in result.refused_ms)
    yield from refused.figures(f"time to a refusal, {load}x", {})
    first = Distribution(ms for result in results for ms in result.first_token_ms)
    yield from first.figures(f"first token, {load}x", {"p95": "first-token"})


def _is_source(name: str) -> Callable[[ClassResult], bool]:
    return lambda result: result.source == name


def _is_priority(name: str) -> Callable[[ClassResult], bool]:
    return lambda result: result.priority == name


def _share(
    name: str, results: Sequence[ClassResult], selects: Callable[[ClassResult], bool]
) -> Figure:
    selected = [result for result in results if selects(result)]
    offered = sum(result.offered for result in selected)
    whole = sum(result.whole for result in selected)
    return Figure(name=name, value=whole / max(offered, 1), unit="share", samples=offered)
