"""Overhead of one entry daemon on streams, compared with direct calls to the engines."""

import itertools
import time
from collections.abc import Iterator
from typing import NamedTuple

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.deployment import Daemon, Deployment, Options, key_of
from nutmegdrum_testing.link import Direction
from nutmegdrum_testing.procstat import Usage, usage
from nutmegdrum_testing.stream_load import LoadResult, run_load

STREAM_COUNTS = (1, 50, 300)
JOURNAL_COPIES = (0, 2)
ENTRIES = 3
TOKEN_MS = 50
ENGINES = 2
HEARTBEAT_MS = 500
LARGE_LIMITS = {"max_streams": 5_000, "tokens_per_s": 10_000_000, "requests_per_s": 100_000}

_US_PER_S = 1_000_000
_MS_PER_S = 1_000
_KIB = 1024


class _Load(NamedTuple):
    """Load of one run; `copies` is the number of journal copies on other entry VMs."""

    copies: int
    streams: int
    tokens: int

    def __str__(self) -> str:
        return f"{self.streams} streams, {self.copies} copies"


def bench_options(**overrides: object) -> Options:
    """Return options of a deployment whose workspace limits are far above any load of the bench."""
    options = Options(
        engines=ENGINES,
        engine_options=("--token-ms", str(TOKEN_MS), "--slots", "2000"),
        workspace_limits=LARGE_LIMITS,
    )
    for name, value in overrides.items():
        setattr(options, name, value)
    return options


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield first-token time, token gap, processor time and memory at each load."""
    for copies in JOURNAL_COPIES:
        options = bench_options(
            entries=ENTRIES, peer_links=True, settings={"streams": {"journal_copies": copies}}
        )
        with Deployment(options) as deployment:
            idle = usage(deployment.entries[0].pid)
            for streams in STREAM_COUNTS:
                tokens = sizes.pick(400 if streams < 300 else 300, 60)
                load = _Load(copies, streams, tokens)
                yield from _compare(deployment, load, idle)


def _compare(deployment: Deployment, load: _Load, idle: Usage) -> Iterator[Figure]:
    engines = [engine.address for engine in deployment.engines]
    name = f"direct-{load.copies}-{load.streams}"
    direct = run_load(deployment.processes, engines, load.streams, load.tokens, name=name)
    entry, *holders = deployment.entries
    callers = [entry.address("callers")]
    before, began = usage(entry.pid), time.monotonic()
    held_before = [usage(holder.pid) for holder in holders]
    journal_before = _journal_bytes(deployment, entry)
    name = f"through-{load.copies}-{load.streams}"
    through = run_load(
        deployment.processes, callers, load.streams, load.tokens, key=key_of("w1"), name=name
    )
    after, ended = usage(entry.pid), time.monotonic()
    held_after = [usage(holder.pid) for holder in holders]
    yield Figure(
        name=f"streams not whole, {load}",
        value=through.broken + through.refused,
        unit="streams",
        samples=load.streams,
        bound="broken-streams",
        note="; ".join(through.details[:2]),
    )
    yield from _latency(through, direct, load)
    rate = through.tokens / through.elapsed_s
    yield Figure(name=f"tokens a second, {load}", value=rate, unit="1/s")
    tokens = max(through.tokens, 1)
    cpu_us = (after.cpu_s - before.cpu_s) * _US_PER_S / tokens
    yield Figure(name=f"processor time a token, {load}", value=cpu_us, unit="µs")
    growth = (after.resident_bytes - idle.resident_bytes) / _KIB / load.streams
    yield Figure(name=f"memory a stream, {load}", value=growth, unit="KiB")
    holding = sum(b.cpu_s - a.cpu_s for a, b in zip(held_before, held_after, strict=True))
    holding_us = holding * _US_PER_S / tokens
    yield Figure(name=f"processor time of holders a token, {load}", value=holding_us, unit="µs")
    journal = (_journal_bytes(deployment, entry) - journal_before) / tokens
    yield Figure(name=f"journal bytes a token, {load}", value=journal, unit="B")
    yield from _heartbeats(deployment, entry, began, ended, load)


def _journal_bytes(deployment: Deployment, entry: Daemon) -> int:
    return sum(
        deployment.link(entry.vm, holder.vm).bytes_carried[way]
        for holder in deployment.entries
        for way in Direction
        if holder is not entry
    )


def _latency(through: LoadResult, direct: LoadResult, load: _Load) -> Iterator[Figure]:
    kinds = [
        ("first token", "first-token", through.first_token_ms, direct.first_token_ms),
        ("token gap", "token-gap", through.gaps_ms, direct.gaps_ms),
    ]
    for name, bound, ours, base in kinds:
        ours_ms, base_ms = Distribution(ours), Distribution(base)
        yield from ours_ms.figures(f"{name}, {load}", {"p95": bound})
        yield from base_ms.figures(f"{name} direct, {load}", {})
        if not ours_ms.count:
            continue
        ratio = ours_ms.percentile(95) / base_ms.percentile(95)
        yield Figure(name=f"{name} p95 against direct, {load}", value=ratio, unit="ratio")


def _heartbeats(
    deployment: Deployment, entry: Daemon, began: float, ended: float, load: _Load
) -> Iterator[Figure]:
    sent = sorted(
        at
        for state in deployment.states
        for at in deployment.link(entry.vm, state.vm).sent_at_s
        if began <= at <= ended
    )
    gaps = [(b - a) * _MS_PER_S - HEARTBEAT_MS for a, b in itertools.pairwise(sent)]
    late = Distribution(max(gap, 0.0) for gap in gaps)
    yield from late.figures(f"heartbeat late, {load}", {"worst": "heartbeat-lateness"})
