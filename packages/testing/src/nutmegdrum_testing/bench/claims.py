"""Throughput and latency of non-idempotent calls through real processes."""

import os
import threading
import time
from collections import Counter
from collections.abc import Iterator
from pathlib import Path

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.bench.overhead import bench_options
from nutmegdrum_testing.callers import BookingCaller, CallResult
from nutmegdrum_testing.control import Control
from nutmegdrum_testing.deployment import Deployment
from nutmegdrum_testing.procstat import usage

CALLER_COUNTS = (1, 8, 32)
SYNCS = 200

_MS_PER_S = 1_000
_US_PER_S = 1_000_000
_SYNCS = "nutmegdrum_log_syncs_total"


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield calls per second and latency by number of callers, compared with direct calls."""
    options = bench_options(plains=1, engines=1, plain_options=("--call-ms", "0"))
    with Deployment(options) as deployment:
        yield Figure(name="sync of a file", value=_sync_ms(deployment.folder), unit="ms")
        for callers in CALLER_COUNTS:
            calls = sizes.pick(40, 10)
            yield from _via_entry_vms(deployment, callers, calls)
            yield from _direct(deployment, callers, calls)
        booked = Counter(entry["key"] for entry in deployment.executions() if entry["key"])
        twice = sum(count > 1 for count in booked.values())
        yield Figure(
            name="calls that ran twice",
            value=twice,
            unit="calls",
            samples=len(booked),
            bound="double-runs",
        )


def _sync_ms(folder: Path) -> float:
    file = os.open(folder / "sync", os.O_CREAT | os.O_WRONLY)
    began = time.monotonic()
    for _ in range(SYNCS):
        os.write(file, b"x" * 256)
        os.fdatasync(file)
    os.close(file)
    return (time.monotonic() - began) * _MS_PER_S / SYNCS


def _via_entry_vms(deployment: Deployment, callers: int, calls: int) -> Iterator[Figure]:
    caller = deployment.booking_caller()
    leader = deployment.leader()
    daemons = {"leader": leader, "follower": deployment.follower()}
    before = {role: usage(daemon.pid).cpu_s for role, daemon in daemons.items()}
    synced = leader.metric(_SYNCS) or 0.0
    yield from _run(
        f"claimed calls, {callers} callers", caller, callers, calls, len(caller.addresses)
    )
    count = callers * calls
    for role, daemon in daemons.items():
        spent_us = (usage(daemon.pid).cpu_s - before[role]) * _US_PER_S / count
        name = f"processor time of {role} a call, {callers} callers"
        yield Figure(name=name, value=spent_us, unit="µs", samples=count)
    syncs = ((leader.metric(_SYNCS) or 0.0) - synced) / count
    yield Figure(name=f"syncs of leader a call, {callers} callers", value=syncs, unit="syncs")


def _direct(deployment: Deployment, callers: int, calls: int) -> Iterator[Figure]:
    caller = BookingCaller([deployment.plains[0].address], "", pool=deployment.pool)
    Control(deployment.plains[0].address).state()
    yield from _run(f"direct calls, {callers} callers", caller, callers, calls, 1, keyed=False)


def _run(
    name: str,
    caller: BookingCaller,
    callers: int,
    calls: int,
    entries: int,
    keyed: bool = True,
) -> Iterator[Figure]:
    results: list[CallResult] = []

    def work(number: int) -> None:
        for i in range(calls):
            key = f"{name}-{number}-{i}" if keyed else None
            results.append(caller.book("tanker", key, entry=number % entries))

    began = time.monotonic()
    threads = [threading.Thread(target=work, args=(number,)) for number in range(callers)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    elapsed_s = time.monotonic() - began
    statuses = Counter(result.status for result in results)
    done = [result for result in results if result.status == 201]
    note = f"{calls} calls each; statuses {dict(statuses)}"
    yield Figure(name=name, value=len(done) / elapsed_s, unit="1/s", samples=len(done), note=note)
    yield from Distribution(result.total_ms for result in done).figures(f"latency, {name}", {})
