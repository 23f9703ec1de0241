"""Cost of the state leader's decisions and views, measured in one thread of one process."""

import random
import time
from collections.abc import Callable, Iterator
from typing import NamedTuple

import msgspec
from nutmegdrum.leader import Leader
from nutmegdrum.load_updates import LoadUpdates
from nutmegdrum.messages import LoadedVersion, LoadReport
from nutmegdrum.packing import pack, unpack
from nutmegdrum.plugins import Kind, load_plugins
from nutmegdrum.routing import Router
from nutmegdrum.settings import Settings, parse_settings
from nutmegdrum.state_daemon import replicated_state
from nutmegdrum.view import BackendLoad, HeartbeatAnswer, HeartbeatReport, View
from nutmegdrum_coord.clock import ElapsedMs, LogMs, ManualClock, WallMs
from nutmegdrum_coord.ids import FencingNumber

from nutmegdrum_testing.bench.figures import Figure, Sizes, slope

REPLICAS = (12, 100, 300, 600)
MODELS = (1, 5, 25)
TARGET_REPLICAS = 600
TARGET_MODELS = 25

_PLUGINS = ["http_engine", "sequential_judge"]
_US_PER_S = 1_000_000


class _Cost(NamedTuple):
    heartbeat_us: float
    tick_us: float
    view_bytes: int
    loads_bytes: int
    encode_us: float
    decode_us: float
    set_view_us: float


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the slope of each cost over the number of replicas and of models."""
    repeats = sizes.pick(40, 5)
    by_replicas = {n: _cost(n, TARGET_MODELS, repeats, sizes.seed) for n in REPLICAS}
    by_models = {n: _cost(TARGET_REPLICAS, n, repeats, sizes.seed) for n in MODELS}
    for field in _Cost._fields:
        unit = "B" if field.endswith("_bytes") else "µs"
        for what, costs in (("replica", by_replicas), ("model", by_models)):
            points = [(n, getattr(cost, field)) for n, cost in costs.items()]
            base, rise = slope(points)
            values = ", ".join(f"{n}: {value:,.0f}" for n, value in points)
            yield Figure(
                name=f"{field} a {what}",
                value=rise,
                unit=unit,
                samples=len(points),
                note=f"from {base:,.0f}; {values}",
            )


def sized_settings(replicas: int, models: int) -> Settings:
    """Return settings of one VM with both roles and the given numbers of replicas and models."""
    cfg = {
        "deployment": "size",
        "vm": {"id": "n1", "data_centre": "dc-1", "region": "r1", "data_folder": "/nowhere"},
        "roles": ["entry", "state"],
        "listen": {
            "ops": "127.0.0.1:1",
            "peers": "127.0.0.1:2",
            "callers": "127.0.0.1:3",
            "operators": "127.0.0.1:4",
        },
        "state_replicas": [{"vm": "n1", "address": "127.0.0.1:2", "data_centre": "dc-1"}],
        "services": [{"name": f"service-{i}", "kind": "model"} for i in range(models)],
        "models": [
            {"name": f"model-{i}", "service": f"service-{i}", "version": "2026-11-01"}
            for i in range(models)
        ],
        "backend_servers": [
            {
                "id": f"replica-{i:04}",
                "address": f"10.{i // 250}.{i % 250}.7:8000",
                "service": f"service-{i % models}",
                "data_centre": f"dc-{i % 5}",
            }
            for i in range(replicas)
        ],
        "plugins": _PLUGINS,
    }
    return parse_settings(msgspec.json.encode(cfg))


def _cost(replicas: int, models: int, repeats: int, seed: int) -> _Cost:
    cfg = sized_settings(replicas, models)
    clock = ManualClock(1_000)
    registry = load_plugins(cfg.plugins, cfg.plugin_settings)
    judges = registry.get(Kind.ROLLOUT_JUDGE, "sequential")
    leader = Leader(
        cfg, replicated_state(cfg), random.Random(seed), judges, FencingNumber(1), ElapsedMs(0)
    )
    _report_loads(leader, cfg, models)
    view = leader.view()
    report = HeartbeatReport(
        vm="n1", incarnation="i", generation=view.generation, note=0, ready=True
    )
    encoded = pack(view)
    loads = _changed_loads(cfg)
    router = Router(cfg, clock, random.Random(seed), registry)
    now = clock.elapsed_ms()
    return _Cost(
        heartbeat_us=_time_us(lambda: leader.on_heartbeat(now, report), repeats),
        tick_us=_time_us(lambda: leader.tick(now, LogMs(now), WallMs(now)), repeats),
        view_bytes=len(encoded),
        loads_bytes=len(pack(HeartbeatAnswer(fresh=True, lease_ms=1, loads=loads))),
        encode_us=_time_us(lambda: pack(view), repeats),
        decode_us=_time_us(lambda: unpack(encoded, View), repeats),
        set_view_us=_time_us(lambda: router.set_view(view, now), repeats),
    )


def _report_loads(leader: Leader, cfg: Settings, models: int) -> None:
    for index, backend in enumerate(cfg.backend_servers):
        loaded = [LoadedVersion(model=f"model-{index % models}", version="2026-11-01")]
        report = LoadReport(sequence=1, running=3, queued=0, slots=16, loaded=loaded)
        leader.on_load_report(ElapsedMs(1_000), backend.id, report)


def _changed_loads(cfg: Settings) -> list[BackendLoad]:
    digest = LoadUpdates()
    for index, backend in enumerate(cfg.backend_servers):
        report = LoadReport(sequence=100_000, running=index % 8, queued=0, slots=16)
        digest.on_report(backend.id, report)
    return digest.since_last(cfg.vm.id)


def _time_us(call: Callable[[], object], repeats: int) -> float:
    call()
    began = time.process_time()
    for _ in range(repeats):
        call()
    return (time.process_time() - began) * _US_PER_S / repeats
