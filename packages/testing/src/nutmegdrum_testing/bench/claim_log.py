"""Claims per second that the state replicas commit, proposed without entry VMs."""

import multiprocessing
import secrets
import threading
import time
from collections.abc import Iterator
from pathlib import Path
from typing import NamedTuple

from nutmegdrum.rpc import RpcClient
from nutmegdrum.settings import load_settings
from nutmegdrum.state_client import StateClient
from nutmegdrum_coord.claims import BeginClaim, ClaimKey
from nutmegdrum_coord.ids import IdempotencyKey, IncarnationId, RouteName, VmId, WorkspaceId
from nutmegdrum_coord.parts import encode_command
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.deployment import Deployment, Options

SHAPES = ((1, 1), (2, 8), (3, 16))
"""Number of processes, and of threads per process, that propose concurrently."""

TIMEOUT_MS = 5_000
_DIGEST = b"d" * 16
_MS_PER_S = 1_000


class _Part(NamedTuple):
    latencies_ms: list[float]


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield committed claims per second and their median latency by number of callers."""
    seconds = sizes.pick(5, 1)
    options = Options(
        states=3, entries=1, engines=1, settings={"claims": {"max_per_workspace": 1_000_000}}
    )
    with Deployment(options) as deployment:
        path = deployment.entries[0].settings_file
        for processes, threads in SHAPES:
            yield from _drive(path, processes, threads, seconds)


def _drive(path: Path, processes: int, threads: int, seconds: int) -> Iterator[Figure]:
    context = multiprocessing.get_context("spawn")
    results = context.Queue()
    workers = [
        context.Process(target=_propose_all, args=(path, threads, seconds, results))
        for _ in range(processes)
    ]
    for worker in workers:
        worker.start()
    latencies_ms = sorted(ms for _ in workers for ms in results.get().latencies_ms)
    for worker in workers:
        worker.join()
    callers = processes * threads
    count = len(latencies_ms)
    yield Figure(
        name=f"claims, {callers} callers", value=count / seconds, unit="1/s", samples=count
    )
    median_ms = latencies_ms[count // 2]
    yield Figure(name=f"claim p50, {callers} callers", value=median_ms, unit="ms", samples=count)


def _propose_all(path: Path, threads: int, seconds: int, results: multiprocessing.Queue) -> None:
    cfg = load_settings(path)
    state = StateClient(RpcClient(Sender(cfg.deployment, cfg.vm.id, "bench")), cfg.state_replicas)
    latencies_ms: list[float] = []
    end_s = time.monotonic() + seconds

    def run() -> None:
        while time.monotonic() < end_s:
            began_s = time.monotonic()
            state.propose(encode_command(_claim(cfg.vm.id)), TIMEOUT_MS)
            latencies_ms.append((time.monotonic() - began_s) * _MS_PER_S)

    workers = [threading.Thread(target=run) for _ in range(threads)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    results.put(_Part(latencies_ms))


def _claim(vm: VmId) -> BeginClaim:
    token = secrets.token_hex(8)
    key = ClaimKey(WorkspaceId("w1"), RouteName("/bookings"), IdempotencyKey(token))
    incarnation = IncarnationId("bench")
    return BeginClaim(key=key, digest=_DIGEST, owner=vm, incarnation=incarnation, token=token)
