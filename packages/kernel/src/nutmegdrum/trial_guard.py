"""Stop of a version under trial on one entry VM, before the state leader has judged it."""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from enum import Enum
from itertools import islice, takewhile
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import Fingerprint, ModelName, RouteName, VersionName

from nutmegdrum.view import TrialTrip

WINDOW_MS = 30_000
"""Time for which outcomes are remembered, in ms."""

MIN_FAULTS = 4
"""Faults of different requests in a window that a stop needs."""

FAULT_RATIO = 5
"""Factor by which the trial's fault rate must exceed the settled version's."""

NEWEST = 40
"""Number of the trial's newest requests whose faults count, so that a late fault shows at once."""

MIN_FAULT_RATE = 0.15
"""Fault rate below which the judgement is left to the state leader."""

DEATH_MS = 2_000
"""Time in which crashes count as the death of one backend server, in ms."""

MIN_SLOW = 8
SLOW_RATIO = 2.5
"""Factor by which the trial's median time must exceed the settled version's upper quartile."""

SAME_TIME_MS = 2_000
"""Time before the trial's samples from which the settled version's are compared, in ms."""

MAX_SAMPLES = 2_000


class Outcome(Enum):
    """How a request ended on a version."""

    FINE = "fine"
    ERROR = "error"
    CRASH = "crash"
    TRUNCATED = "truncated"
    WRONG = "wrong"


class _Sample(NamedTuple):
    at: ElapsedMs
    fingerprint: Fingerprint
    outcome: Outcome
    first_token_ms: int | None


class TrialGuard:
    """Local breaker of each version under trial and route.

    A request that crashes whatever runs it counts once, by its fingerprint; faults that the
    settled version shows at the same time raise what is tolerated. The stop lasts until the
    version gets a new grant generation or another version is tried, see `forget`.
    """

    def __init__(self) -> None:
        self._samples: dict[Hashable, deque[_Sample]] = {}
        self._stopped: dict[tuple[ModelName, VersionName], TrialTrip] = {}
        self._new: list[TrialTrip] = []

    def allows(self, model: ModelName, version: VersionName) -> bool:
        """Return whether new requests may go to a version under trial."""
        return (model, version) not in self._stopped

    def take_trips(self) -> list[TrialTrip]:
        """Return the stops since the last call, for the next heartbeat."""
        new, self._new = self._new, []
        return new

    def forget(self, model: ModelName, version: VersionName) -> None:
        """Allow a version again, once a view has shown it without a share."""
        self._stopped.pop((model, version), None)
        self._samples = {
            key: samples for key, samples in self._samples.items() if key[:2] != (model, version)
        }

    def on_outcome(
        self,
        now_ms: ElapsedMs,
        model: ModelName,
        version: VersionName,
        route: RouteName,
        fingerprint: Fingerprint,
        outcome: Outcome,
        settled: VersionName,
        first_token_ms: int | None = None,
    ) -> TrialTrip | None:
        """Take in one request's outcome and return the stop that it causes, if any."""
        samples = self._window(now_ms, (model, version, route))
        samples.append(_Sample(now_ms, fingerprint, outcome, first_token_ms))
        if version == settled or not self.allows(model, version):
            return None
        others = self._window(now_ms, (model, settled, route))
        if outcome is Outcome.FINE:
            why = _slowness(samples, others)
        else:
            why = _fault(samples, others)
        if why is None:
            return None
        trip = TrialTrip(model=model, version=version, route=route, why=why)
        self._stopped[model, version] = trip
        self._new.append(trip)
        return trip

    def _window(self, now_ms: ElapsedMs, key: Hashable) -> deque[_Sample]:
        samples = self._samples.setdefault(key, deque(maxlen=MAX_SAMPLES))
        while samples and now_ms - samples[0].at > WINDOW_MS:
            samples.popleft()
        return samples


def _faults(samples: Collection[_Sample]) -> int:
    crashes = [s for s in samples if s.outcome is Outcome.CRASH]
    deaths = {sample.at // DEATH_MS for sample in crashes}
    crashing = {sample.fingerprint for sample in crashes}
    others = {s.fingerprint for s in samples if s.outcome not in (Outcome.FINE, Outcome.CRASH)}
    return len(others) + min(len(deaths), len(crashing))


def _fault(trial: deque[_Sample], settled: deque[_Sample]) -> str | None:
    newest = list(islice(reversed(trial), NEWEST))
    faults = _faults(newest)
    if faults < MIN_FAULTS:
        return None
    settled_rate = (_faults(settled) + 1) / (len(settled) + 1) if settled else 0.0
    if faults / len(newest) < max(MIN_FAULT_RATE, FAULT_RATIO * settled_rate):
        return None
    return f"{faults} faults in {len(newest)} requests"


def _slowness(trial: deque[_Sample], settled: deque[_Sample]) -> str | None:
    newest = list(islice((s for s in reversed(trial) if s.first_token_ms is not None), MIN_SLOW))
    if len(newest) < MIN_SLOW:
        return None
    median = sorted(_times(newest))[MIN_SLOW // 2]
    since = newest[-1].at - SAME_TIME_MS
    same_time = takewhile(lambda sample: sample.at >= since, reversed(settled))
    known = sorted(_times(same_time))
    if len(known) < MIN_SLOW:
        return None
    usual = known[len(known) * 3 // 4]
    if median <= SLOW_RATIO * usual:
        return None
    return f"median first token {median} ms against an upper quartile of {usual} ms"


def _times(samples: Iterable[_Sample]) -> list[int]:
    return [s.first_token_ms for s in samples if s.first_token_ms is not None]
