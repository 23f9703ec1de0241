"""Throughput, failover time and restart time of the replicated log.

Three replicas with synced files run in one process and call each other directly: the figures
include files, threads and contention for the interpreter lock, but no network.

`python -m nutmegdrum_testing.bench.log_throughput`
"""

import gc
import tempfile
import threading
import time
from collections.abc import Iterator
from pathlib import Path

from nutmegdrum.lognode import SYNCS, LogNode
from nutmegdrum.settings import ControlSettings
from nutmegdrum.units import Duration
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.logcluster import LogCluster
from nutmegdrum_testing.waiting import wait_for

PROPOSERS = (1, 8, 64)
LENGTHS = (500, 5_000, 50_000)
COMMAND = bytes(200)
BURST = 250
"""Commands in flight at once while a log is filled before a restart."""

TIMEOUT_S = 60.0

_MS_PER_S = 1_000


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield throughput and commit latency, restart times and failover times."""
    for proposers in PROPOSERS:
        yield from _throughput(proposers, sizes.pick(4_000, 400))
    for length in LENGTHS[: sizes.pick(len(LENGTHS), 1)]:
        yield from _restart(length, ControlSettings().snapshot_every)
    yield from _restart(LENGTHS[1], LENGTHS[-1])
    yield from _failover(sizes.pick(20, 3))


def _cluster(folder: str, control: ControlSettings | None = None) -> LogCluster:
    cluster = LogCluster(Path(folder), control=control or ControlSettings())
    cluster.start()
    wait_for(cluster.leader, TIMEOUT_S)
    return cluster


def _leader(cluster: LogCluster) -> LogNode:
    return wait_for(cluster.leader, TIMEOUT_S)


def _throughput(proposers: int, commands: int) -> Iterator[Figure]:
    with tempfile.TemporaryDirectory() as folder:
        cluster = _cluster(folder)
        leader = _leader(cluster)
        times = Distribution()
        lock = threading.Lock()
        syncs = SYNCS._value.get()
        threads = [
            threading.Thread(target=_propose, args=(leader, commands // proposers, times, lock))
            for _ in range(proposers)
        ]
        began = time.monotonic()
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        rate = times.count / (time.monotonic() - began)
        per_sync = times.count / (SYNCS._value.get() - syncs)
        cluster.stop()
    name = f"{proposers} proposers"
    note = "3 replicas, 200 B, synced"
    yield Figure(name=f"commands, {name}", value=rate, unit="1/s", samples=times.count, note=note)
    yield Figure(name=f"commands a sync, {name}", value=per_sync, unit="", note="of all replicas")
    yield from times.figures(f"commit, {name}", {}, note)


def _propose(leader: LogNode, count: int, times: Distribution, lock: threading.Lock) -> None:
    for _ in range(count):
        began = time.monotonic()
        leader.propose(COMMAND).result(TIMEOUT_S)
        spent_ms = (time.monotonic() - began) * _MS_PER_S
        with lock:
            times.add(spent_ms)


def _restart(length: int, snapshot_every: int) -> Iterator[Figure]:
    control = ControlSettings(snapshot_every=snapshot_every)
    with tempfile.TemporaryDirectory() as folder:
        cluster = _cluster(folder, control)
        leader = _leader(cluster)
        for _ in range(length // BURST):
            for fut in [leader.propose(COMMAND) for _ in range(BURST)]:
                fut.result(TIMEOUT_S)
        cluster.stop()
        gc.collect()
        began = time.monotonic()
        cluster.start(cluster.vms[0])
        spent_ms = (time.monotonic() - began) * _MS_PER_S
        size = sum(p.stat().st_size for p in cluster.folder(cluster.vms[0]).rglob("*"))
        cluster.stop()
    note = f"snapshot every {snapshot_every}, {size >> 10} KiB of files"
    yield Figure(name=f"restart after {length} commands", value=spent_ms, unit="ms", note=note)


def _failover(rounds: int) -> Iterator[Figure]:
    times = Distribution()
    control = ControlSettings(election_timeout=Duration(1_000), log_heartbeat=Duration(150))
    with tempfile.TemporaryDirectory() as folder:
        cluster = _cluster(folder, control)
        for _ in range(rounds):
            vm = _leader(cluster).identity().vm
            cluster.stop(vm)
            began = time.monotonic()
            wait_for(lambda: _commits(cluster), TIMEOUT_S)
            times.add((time.monotonic() - began) * _MS_PER_S)
            cluster.start(vm)
            leader = _leader(cluster)
            wait_for(
                lambda leader=leader, vm=vm: cluster.nodes[vm].applied_position()
                >= leader.applied_position(),
                TIMEOUT_S,
            )
        cluster.stop()
    yield from times.figures("failover", {}, "leader stopped, until the next commit")


def _commits(cluster: LogCluster) -> bool:
    leader = cluster.leader()
    if leader is None:
        return False
    try:
        return bool(leader.propose(COMMAND).result(TIMEOUT_S))
    except Refusal:
        return False


def main() -> None:
    """Print all figures."""
    for figure in measure(Sizes()):
        print(
            f"{figure.name:<36} {figure.value:>12,.2f} {figure.unit:<5} {figure.note}", flush=True
        )


if __name__ == "__main__":
    main()
