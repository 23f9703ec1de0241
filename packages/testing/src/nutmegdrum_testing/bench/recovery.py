"""Resume latency after loss of an engine, its link, an entry VM, or engine and entry VM."""

from collections.abc import Callable, Iterator
from typing import NamedTuple

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.bench.overhead import LARGE_LIMITS
from nutmegdrum_testing.callers import RunningStream
from nutmegdrum_testing.deployment import MODEL, Backend, Deployment, Options
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.tokens import ChainError
from nutmegdrum_testing.waiting import wait_for

STREAMS = 8
TOKENS = 150
TOKENS_BEFORE_LOSS = 20
"""Tokens that each stream has received before the fault is injected."""

TOKEN_MS = 20
ENGINES = 4
PROMPT = "Guidance for hive {round}/{number}: " + "brood frame notes, " * 20

_SETTLE_TIMEOUT_S = 20.0


class Loss(NamedTuple):
    """Fault that interrupts streams, with the functions that inject and repair it.

    Attributes
    ----------
    counters_kept : bool
        Whether the engine's counters survive the fault, so that extra work can be computed.
    """

    name: str
    inject: Callable[[Deployment, Backend], None]
    repair: Callable[[Deployment, Backend], None]
    entry_lost: bool = False
    counters_kept: bool = False


def _kill(deployment: Deployment, engine: Backend) -> None:
    engine.process.kill()


def _restart(deployment: Deployment, engine: Backend) -> None:
    engine.start()
    engine.wait_ready()


def _cut(deployment: Deployment, engine: Backend) -> None:
    engine.control.set_faults(Fault(kind=FaultKind.CLOSE))


def _hang(deployment: Deployment, engine: Backend) -> None:
    engine.control.set_faults(Fault(kind=FaultKind.HANG))


def _clear(deployment: Deployment, engine: Backend) -> None:
    engine.control.set_faults()


def _pause(deployment: Deployment, engine: Backend) -> None:
    engine.process.pause()


def _continue(deployment: Deployment, engine: Backend) -> None:
    engine.process.resume()


def _silence(deployment: Deployment, engine: Backend) -> None:
    deployment.engine_link(engine.id).silence()


def _heal(deployment: Deployment, engine: Backend) -> None:
    deployment.engine_link(engine.id).heal()


def _kill_entry(deployment: Deployment, engine: Backend) -> None:
    deployment.entries[-1].running.kill()


def _restart_entry(deployment: Deployment, engine: Backend) -> None:
    deployment.entries[-1].start()
    deployment.wait_ready()


def _kill_both(deployment: Deployment, engine: Backend) -> None:
    _kill(deployment, engine)
    _kill_entry(deployment, engine)


def _restart_both(deployment: Deployment, engine: Backend) -> None:
    _restart(deployment, engine)
    _restart_entry(deployment, engine)


LOSSES = [
    Loss("engine killed", _kill, _restart),
    Loss("connections cut", _cut, _clear, counters_kept=True),
    Loss("engine silent", _hang, _clear, counters_kept=True),
    Loss("link silent", _silence, _heal, counters_kept=True),
    Loss("engine paused", _pause, _continue),
    Loss("entry VM killed", _kill_entry, _restart_entry, entry_lost=True),
    Loss("engine and entry VM killed", _kill_both, _restart_both, entry_lost=True),
]


class _Round(NamedTuple):
    resumed_ms: list[float]
    broken: list[str]
    extra_generated: int
    extra_prefill_chars: int


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield resume latency and extra work for each kind of loss."""
    options = Options(
        entries=3,
        engines=ENGINES,
        engine_links=True,
        workspace_limits=LARGE_LIMITS,
        engine_options=("--token-ms", str(TOKEN_MS), "--cache-lag-ms", "50"),
    )
    with Deployment(options) as deployment:
        for loss in LOSSES:
            rounds = [_round(deployment, loss, i) for i in range(sizes.pick(8, 2))]
            yield from _figures(loss, rounds)


def _figures(loss: Loss, rounds: list[_Round]) -> Iterator[Figure]:
    resumed = Distribution(ms for each in rounds for ms in each.resumed_ms)
    broken = [why for each in rounds for why in each.broken]
    yield from resumed.figures(f"resume, {loss.name}", {"worst": "resume"})
    yield Figure(
        name=f"streams not whole, {loss.name}",
        value=len(broken),
        unit="streams",
        samples=len(rounds) * STREAMS,
        bound="broken-streams",
        note="; ".join(sorted(set(broken))[:2]),
    )
    if loss.counters_kept and resumed.count:
        note = f"{resumed.count} recoveries"
        generated = sum(each.extra_generated for each in rounds) / resumed.count
        prefill = sum(each.extra_prefill_chars for each in rounds) / resumed.count
        yield Figure(
            name=f"extra tokens generated, {loss.name}", value=generated, unit="tokens", note=note
        )
        yield Figure(
            name=f"extra characters prefilled, {loss.name}", value=prefill, unit="chars", note=note
        )


def _round(deployment: Deployment, loss: Loss, number: int) -> _Round:
    before = _counters(deployment) if loss.counters_kept else {}
    streams = [_start(deployment, loss, number, i) for i in range(STREAMS)]
    for stream in streams:
        wait_for(lambda stream=stream: stream.count >= TOKENS_BEFORE_LOSS, _SETTLE_TIMEOUT_S)
    engine = max(deployment.engines, key=_running)
    loss.inject(deployment, engine)
    results = [stream.join() for stream in streams]
    loss.repair(deployment, engine)
    resumed: list[float] = []
    broken: list[str] = []
    for result in results:
        try:
            if result.check(TOKENS) > 1:
                resumed.append(max(result.gaps_ms()))
        except (AssertionError, ChainError) as exc:
            broken.append(f"{loss.name}: {exc}"[:120])
    after = _counters(deployment) if loss.counters_kept else {}
    wait_for(lambda: not any(map(_running, deployment.engines)), _SETTLE_TIMEOUT_S)
    prompts = sum(len(result.prompt) for result in results)
    work_done = {name: after[name] - before[name] for name in after}
    return _Round(
        resumed,
        broken,
        work_done.get("generated_tokens", 0) - sum(len(result.tokens) for result in results),
        work_done.get("prefill_chars", 0) + work_done.get("cached_chars", 0) - prompts,
    )


def _start(deployment: Deployment, loss: Loss, number: int, stream: int) -> RunningStream:
    prompt = PROMPT.format(round=f"{loss.name} {number}", number=stream)
    last = len(deployment.entries) - 1
    entries = [last, 0, 1] if loss.entry_lost else [stream % 2]
    return RunningStream(deployment.caller(), MODEL, prompt, TOKENS, entries=entries)


def _running(engine: Backend) -> int:
    return int(engine.control.state()["running"])


def _counters(deployment: Deployment) -> dict[str, int]:
    names = ("generated_tokens", "prefill_chars", "cached_chars")
    states = [engine.control.state()["counters"] for engine in deployment.engines]
    return {name: sum(state[name] for state in states) for name in names}
