"""What one entry daemon adds to streams, against the engines directly."""

import time
from collections.abc import Iterator

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.deployment import Deployment, Options, key_of
from nutmegdrum_testing.link import Direction
from nutmegdrum_testing.procstat import Usage, usage
from nutmegdrum_testing.stream_load import LoadResult, run_load

STREAM_COUNTS = (1, 50, 300)
TOKEN_MS = 50
ENGINES = 2
HEARTBEAT_MS = 500

_US_PER_S = 1_000_000
_MS_PER_S = 1_000
_KIB = 1024


def bench_options(**more: object) -> Options:
    """Return a deployment whose workspaces have limits far above any load here."""
    limits = {"max_streams": 5_000, "tokens_per_s": 10_000_000, "requests_per_s": 100_000}
    options = Options(
        engines=ENGINES,
        engine_options=("--token-ms", str(TOKEN_MS), "--slots", "2000"),
        workspace_limits=limits,
    )
    for name, value in more.items():
        setattr(options, name, value)
    return options


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield first token, token gap, processor time, memory and heartbeats at each load."""
    with Deployment(bench_options(entries=1, peer_links=True)) as deployment:
        idle = usage(deployment.entries[0].pid)
        for streams in STREAM_COUNTS:
            tokens = sizes.pick(400 if streams < 300 else 300, 60)
            yield from _compare(deployment, streams, tokens, idle)


def _compare(deployment: Deployment, streams: int, tokens: int, idle: Usage) -> Iterator[Figure]:
    engines = [engine.address for engine in deployment.engines]
    direct = run_load(deployment.processes, engines, streams, tokens, name="direct")
    entry = deployment.entries[0]
    callers = [entry.address("callers")]
    before, began = usage(entry.pid), time.monotonic()
    through = run_load(
        deployment.processes, callers, streams, tokens, key=key_of("w1"), name=f"via{streams}"
    )
    after, ended = usage(entry.pid), time.monotonic()
    note = f"{streams} streams, {tokens} tokens each"
    yield Figure(
        name=f"streams not whole, {streams}",
        value=through.broken + through.refused,
        unit="streams",
        samples=streams,
        bound="broken-streams",
        note="; ".join(through.details[:2]),
    )
    yield from _latency(through, direct, streams, note)
    cpu_us = (after.cpu_s - before.cpu_s) * _US_PER_S / max(through.tokens, 1)
    yield Figure(name=f"processor time a token, {streams}", value=cpu_us, unit="µs", note=note)
    growth = (after.resident_bytes - idle.resident_bytes) / _KIB / streams
    yield Figure(name=f"memory a stream, {streams}", value=growth, unit="KiB", note=note)
    yield from _heartbeats(deployment, entry.vm, began, ended, streams)


def _latency(through: LoadResult, direct: LoadResult, streams: int, note: str) -> Iterator[Figure]:
    kinds = [
        ("first token", "first-token", through.first_token_ms, direct.first_token_ms),
        ("token gap", "token-gap", through.gaps_ms, direct.gaps_ms),
    ]
    for name, bound, ours, base in kinds:
        ours_ms, base_ms = Distribution(ours), Distribution(base)
        yield from ours_ms.figures(f"{name}, {streams}", {"p95": bound}, note)
        yield from base_ms.figures(f"{name} direct, {streams}", {}, note)
        if not ours_ms.count:
            continue
        ratio = ours_ms.percentile(95) / base_ms.percentile(95)
        yield Figure(name=f"{name} p95 against direct, {streams}", value=ratio, unit="ratio")


def _heartbeats(
    deployment: Deployment, vm: str, began: float, ended: float, streams: int
) -> Iterator[Figure]:
    sent = sorted(
        at
        for (source, _), link in deployment.links.items()
        if source == vm
        for at in link.sent_at_s
        if began <= at <= ended
    )
    gaps = [(b - a) * _MS_PER_S - HEARTBEAT_MS for a, b in zip(sent, sent[1:], strict=False)]
    late = Distribution(max(gap, 0.0) for gap in gaps)
    yield from late.figures(f"heartbeat late, {streams}", {"worst": "heartbeat-lateness"})
    carried = sum(
        link.bytes_carried[way]
        for (source, _), link in deployment.links.items()
        for way in Direction
        if source == vm
    )
    yield Figure(name=f"control bytes so far, {streams}", value=carried, unit="B")
