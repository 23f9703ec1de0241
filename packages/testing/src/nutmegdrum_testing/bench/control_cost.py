"""Control-plane cost of real daemons by number of nodes, replicas, workspaces and entry VMs."""

import time
from collections.abc import Iterator, Sequence
from typing import NamedTuple

import msgspec

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes, slope
from nutmegdrum_testing.deployment import Daemon, Deployment, Options
from nutmegdrum_testing.heartbeat_load import HeartbeatResult, start_heartbeats
from nutmegdrum_testing.link import Direction
from nutmegdrum_testing.procstat import usage

NODES = (0, 50, 150, 370)
REPLICAS = (0, 100, 300, 600)
WORKSPACES = (10, 1_000, 3_300)
ENTRIES = (7, 100, 370)
FEW_REPLICAS = 12
TARGET_REPLICAS = 600
TARGET_MODELS = 25
PERIOD_MS = 500
"""Heartbeat period of each simulated node in ms."""

_MIB = 1 << 20
_PERCENT = 100
_WARM_S = 3.0
"""Warm-up in s before a sample of processor time and bytes."""

_LOAD_TIMEOUT_S = 120.0


class _Usage(NamedTuple):
    cpu_percent: float
    memory_mib: float
    control_bytes_per_s: float
    backend_bytes_per_s: float


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield slopes of processor time, memory and bytes of leader, follower and entry VM by size."""
    seconds = sizes.pick(10, 4)
    yield from _against_replicas(seconds)
    yield from _against_nodes(FEW_REPLICAS, NODES, seconds)
    yield from _against_nodes(TARGET_REPLICAS, NODES, seconds)
    yield from _against_workspaces(seconds)
    yield from _against_entries(seconds)


def _against_replicas(seconds: float) -> Iterator[Figure]:
    usage_by_size: dict[str, dict[int, _Usage]] = {"leader": {}, "follower": {}, "entry VM": {}}
    for replicas in REPLICAS:
        with Deployment(_options(replicas)) as deployment:
            roles = _roles(deployment)
            time.sleep(_WARM_S)
            found = _measure_usage(deployment, list(roles.values()), seconds)
            for role, each in zip(roles, found, strict=True):
                usage_by_size[role][replicas] = each
    for role, by_size in usage_by_size.items():
        yield from _slopes(role, "replica", by_size)


def _against_workspaces(seconds: float) -> Iterator[Figure]:
    usage_by_size = {}
    for count in WORKSPACES:
        options = _options(0)
        options.workspaces = tuple(f"w{i + 1}" for i in range(count))
        with Deployment(options) as deployment:
            time.sleep(_WARM_S)
            usage_by_size[count] = _measure_usage(deployment, deployment.entries[:1], seconds)[0]
    yield from _slopes("entry VM", "workspace", usage_by_size)


def _against_entries(seconds: float) -> Iterator[Figure]:
    usage_by_size = {}
    for count in ENTRIES:
        options = _options(0)
        options.entries = 2
        options.listed_entries = count - options.entries
        with Deployment(options) as deployment:
            time.sleep(_WARM_S)
            usage_by_size[count] = _measure_usage(deployment, deployment.entries[:1], seconds)[0]
    yield from _slopes("entry VM", "listed entry VM", usage_by_size)


def _against_nodes(replicas: int, nodes: Sequence[int], seconds: float) -> Iterator[Figure]:
    usage_by_size: dict[int, _Usage] = {}
    role = f"leader of {replicas} replicas"
    with Deployment(_options(replicas)) as deployment:
        leader = deployment.leader()
        peers = [state.address("peers") for state in deployment.states]
        for count in nodes:
            load = start_heartbeats(
                deployment.processes, peers, count, _WARM_S + seconds + 1, PERIOD_MS
            )
            time.sleep(_WARM_S)
            usage_by_size[count] = _measure_usage(deployment, [leader], seconds)[0]
            load.wait(_LOAD_TIMEOUT_S)
            result = msgspec.json.decode(load.output(), type=HeartbeatResult)
            yield from _answers(result, count, role)
    yield from _slopes(role, "node", usage_by_size)


def _answers(result: HeartbeatResult, nodes: int, role: str) -> Iterator[Figure]:
    if not nodes:
        return
    note = f"fresh {result.fresh}, stale {result.stale}, lost {result.lost}, views {result.views}"
    yield from Distribution(result.answer_ms).figures(
        f"heartbeat answer, {role}, {nodes} nodes", {"worst": "heartbeat-lateness"}, note
    )


def _options(replicas: int) -> Options:
    return Options(
        entries=1,
        engines=2,
        listed_engines=max(replicas - 2, 0),
        listed_models=TARGET_MODELS - 1,
        peer_links=True,
        engine_links=True,
    )


def _roles(deployment: Deployment) -> dict[str, Daemon]:
    return {
        "leader": deployment.leader(),
        "follower": deployment.follower(),
        "entry VM": deployment.entries[0],
    }


def _measure_usage(
    deployment: Deployment, daemons: Sequence[Daemon], seconds: float
) -> list[_Usage]:
    before = [usage(daemon.pid) for daemon in daemons]
    carried = [_bytes_carried(deployment, daemon) for daemon in daemons]
    backend = _backend_bytes(deployment)
    began = time.monotonic()
    time.sleep(seconds)
    elapsed_s = time.monotonic() - began
    after = [usage(daemon.pid) for daemon in daemons]
    return [
        _Usage(
            (after[i].cpu_s - before[i].cpu_s) * _PERCENT / elapsed_s,
            after[i].resident_bytes / _MIB,
            (_bytes_carried(deployment, daemon) - carried[i]) / elapsed_s,
            (_backend_bytes(deployment) - backend) / elapsed_s,
        )
        for i, daemon in enumerate(daemons)
    ]


def _bytes_carried(deployment: Deployment, daemon: Daemon) -> int:
    return sum(
        link.bytes_carried[way]
        for ends, link in deployment.links.items()
        for way in Direction
        if daemon.vm in ends
    )


def _backend_bytes(deployment: Deployment) -> int:
    return sum(
        deployment.engine_link(engine.id).bytes_carried[way]
        for engine in deployment.engines
        for way in Direction
    )


def _slopes(role: str, what: str, by_size: dict[int, _Usage]) -> Iterator[Figure]:
    units = ("% of a core", "MiB", "B/s", "B/s")
    for field, unit in zip(_Usage._fields, units, strict=True):
        if field == "backend_bytes_per_s" and role != "leader":
            continue
        points = [(size, getattr(each, field)) for size, each in by_size.items()]
        base, rise = slope(points)
        values = ", ".join(f"{size}: {value:,.2f}" for size, value in points)
        yield Figure(
            name=f"{field} of {role} a {what}",
            value=rise,
            unit=unit,
            samples=len(points),
            note=f"from {base:,.2f}; {values}",
        )
