"""Memory, snapshot bytes, log bytes and processor time per entry of the replicated state."""

import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from nutmegdrum.releases import SubmitNote
from nutmegdrum.state_daemon import replicated_state
from nutmegdrum_coord.claims import BeginClaim, ClaimKey, ClaimOutcome, FinishClaim
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import LogPosition
from nutmegdrum_coord.parts import CompositeState, encode_command

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.bench.leader_cost import sized_settings

NOTES = (100, 400, 1_600)

_US_PER_S = 1_000_000
_WORKSPACES = 100
_SERVICE_REPLICAS = 12


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the costs of a finished claim and of an accepted release note."""
    yield from _cost("claim", _claim_commands, sizes.pick(20_000, 2_000))
    for count in NOTES[: sizes.pick(len(NOTES), 1)]:
        yield from _cost(f"release note, {count} in all", _note_commands, count)


def _cost(what: str, commands_of: Callable[[int], Iterator[bytes]], count: int) -> Iterator[Figure]:
    state = replicated_state(sized_settings(_SERVICE_REPLICAS, 1))
    commands = list(commands_of(count))
    empty = len(state.snapshot())
    tracemalloc.start()
    memory_before = tracemalloc.get_traced_memory()[0]
    _apply(state, commands)
    memory = tracemalloc.get_traced_memory()[0] - memory_before
    tracemalloc.stop()
    fresh = replicated_state(sized_settings(_SERVICE_REPLICAS, 1))
    began = time.process_time()
    _apply(fresh, commands)
    spent_us = (time.process_time() - began) * _US_PER_S
    began = time.process_time()
    snapshot = fresh.snapshot()
    snapshot_us = (time.process_time() - began) * _US_PER_S
    log_bytes = sum(map(len, commands))
    values = [
        ("memory", memory, "B"),
        ("snapshot bytes", len(snapshot) - empty, "B"),
        ("log bytes", log_bytes, "B"),
        ("time to apply", spent_us, "µs"),
        ("time to take a snapshot", snapshot_us, "µs"),
    ]
    for name, value, unit in values:
        yield Figure(name=f"{name} a {what}", value=value / count, unit=unit, samples=count)


def _apply(state: CompositeState, commands: list[bytes]) -> None:
    for index, command in enumerate(commands):
        position = LogPosition(state.position + 1)
        state.apply(position, LogMs(index), command)


def _claim_commands(count: int) -> Iterator[bytes]:
    outcome = ClaimOutcome(status=201, headers={"Content-Type": "application/json"}, body=b"x" * 40)
    for i in range(count):
        key = ClaimKey(f"workspace-{i % _WORKSPACES}", "/bookings", f"booking-{i:012}")
        begin = BeginClaim(
            key=key, digest=b"d" * 16, owner="n1", incarnation="i" * 32, token=f"{i:024}"
        )
        finish = FinishClaim(key=key, token=f"{i:024}", outcome=outcome)
        yield _encoded(begin)
        yield _encoded(finish)


def _note_commands(count: int) -> Iterator[bytes]:
    for i in range(count):
        adapter = {
            "model": "model-0",
            "adapter": f"adapter-{i}",
            "complete_by": "2099-01-01T00:00:00Z",
        }
        note = msgspec.json.encode({"number": i + 1, "added": [adapter]})
        command = SubmitNote(operator="bench", note=note)
        yield encode_command(command, f"command-{i}", "bench")


def _encoded(command: Any) -> bytes:
    return encode_command(command, who="n1")
