"""Time from a release note's submission until it is accepted and in force on every entry VM."""

import datetime
import time
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple

import msgspec
from nutmegdrum.errors import UserError
from nutmegdrum.operators import OperatorsClient, SubmitAnswer
from nutmegdrum.releases import NoteAccepted
from nutmegdrum.settings import load_settings

from nutmegdrum_testing.bench.figures import Distribution, Figure, Sizes
from nutmegdrum_testing.deployment import MODEL, Daemon, Deployment, Options
from nutmegdrum_testing.waiting import wait_for

ENTRIES = 6
STATES = 3
CUT_TIMEOUT_S = 30.0
COMPLETE_IN = datetime.timedelta(hours=1)
"""Time from submission to a note's `complete_by`."""

_IN_FORCE = "nutmegdrum_note_in_force"
_MS_PER_S = 1_000


class _Times(NamedTuple):
    accepted_ms: float
    in_force_ms: float


_CUTS: dict[str, Callable[[Deployment], list[Daemon]]] = {
    "all connected": lambda deployment: [],
    "an entry VM cut off": lambda deployment: deployment.entries[-1:],
    "a follower cut off": lambda deployment: [deployment.follower()],
    "the leader cut off": lambda deployment: [deployment.leader()],
}


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the times with all VMs connected and with one entry VM or state replica cut off."""
    options = Options(entries=ENTRIES, states=STATES, peer_links=True)
    notes = sizes.pick(30, 5)
    with Deployment(options) as deployment:
        number = 0
        for name, choose in _CUTS.items():
            cut = choose(deployment)
            _cut(deployment, cut)
            reachable = [entry for entry in deployment.entries if entry not in cut]
            times = [_submit(reachable, number + i + 1) for i in range(notes)]
            number += notes
            yield from _figures(name, times)
            healed = time.monotonic()
            _heal(deployment, cut)
            _wait_in_force(deployment.entries, number)
            if cut:
                caught_up_ms = (time.monotonic() - healed) * _MS_PER_S
                yield Figure(
                    name=f"in force after healing, {name}",
                    value=caught_up_ms,
                    unit="ms",
                    bound="note-in-force",
                )


def _figures(name: str, times: Sequence[_Times]) -> Iterator[Figure]:
    accepted = Distribution(each.accepted_ms for each in times)
    in_force = Distribution(each.in_force_ms for each in times)
    note = f"{ENTRIES} entry VMs, {STATES} state replicas"
    yield from accepted.figures(f"note accepted, {name}", {}, note)
    yield from in_force.figures(f"note in force, {name}", {"worst": "note-in-force"}, note)


def _submit(entries: Sequence[Daemon], number: int) -> _Times:
    client = OperatorsClient(load_settings(entries[0].settings_file))
    note = msgspec.json.encode({"number": number, "added": [_adapter(number)]})
    began = time.monotonic()
    answer = _until_accepted(client, number, note)
    accepted = time.monotonic()
    if not isinstance(answer, NoteAccepted):
        raise RuntimeError(f"note {number}: {answer}")
    _wait_in_force(entries, number)
    ended = time.monotonic()
    return _Times((accepted - began) * _MS_PER_S, (ended - began) * _MS_PER_S)


def _until_accepted(client: OperatorsClient, number: int, note: bytes) -> SubmitAnswer:
    deadline = time.monotonic() + CUT_TIMEOUT_S
    while True:
        try:
            return client.submit(f"bench-{number}", "bench", note)
        except UserError:
            if time.monotonic() > deadline:
                raise


def _adapter(number: int) -> dict[str, str]:
    complete_by = datetime.datetime.now(datetime.UTC) + COMPLETE_IN
    when = complete_by.isoformat(timespec="seconds")
    return {"model": MODEL, "adapter": f"adapter-{number}", "complete_by": when}


def _wait_in_force(entries: Sequence[Daemon], number: int) -> None:
    for entry in entries:
        wait_for(lambda entry=entry: _in_force(entry) >= number, CUT_TIMEOUT_S)


def _in_force(entry: Daemon) -> float:
    return entry.metric(_IN_FORCE) or 0.0


def _cut(deployment: Deployment, cut: Sequence[Daemon]) -> None:
    for daemon in cut:
        for (source, target), link in deployment.links.items():
            if daemon.vm in (source, target):
                link.silence()


def _heal(deployment: Deployment, cut: Sequence[Daemon]) -> None:
    for daemon in cut:
        for (source, target), link in deployment.links.items():
            if daemon.vm in (source, target):
                link.heal()
