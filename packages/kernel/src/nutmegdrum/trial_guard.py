"""Stop of a version under trial on one entry VM, before the state leader has judged it."""

from collections import deque
from collections.abc import Hashable
from enum import Enum
from itertools import islice
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import Fingerprint, ModelName, RouteName, VersionName

from nutmegdrum.view import TrialTrip

WINDOW_MS = 30_000
"""Time for which outcomes are remembered, in ms."""

MIN_FAULTS = 3
"""Faults of different requests in a window that a stop needs."""

FAULT_RATIO = 5
"""Factor by which the trial's fault rate must exceed the settled version's."""

MIN_SLOW = 8
SLOW_RATIO = 3
"""Factor by which the trial's median time must exceed the settled version's."""

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


def _faults(samples: deque[_Sample]) -> int:
    return len({s.fingerprint for s in samples if s.outcome is not Outcome.FINE})


def _fault(trial: deque[_Sample], settled: deque[_Sample]) -> str | None:
    faults = _faults(trial)
    if faults < MIN_FAULTS:
        return None
    settled_rate = (_faults(settled) + 1) / (len(settled) + 1)
    if faults / len(trial) < FAULT_RATIO * settled_rate and settled:
        return None
    return f"{faults} faults in {len(trial)} requests"


def _slowness(trial: deque[_Sample], settled: deque[_Sample]) -> str | None:
    trial_ms = _times(trial, MIN_SLOW)
    settled_ms = _times(settled, 10 * MIN_SLOW)
    if len(trial_ms) < MIN_SLOW or len(settled_ms) < MIN_SLOW:
        return None
    trial_median = trial_ms[len(trial_ms) // 2]
    settled_median = settled_ms[len(settled_ms) // 2]
    if trial_median <= SLOW_RATIO * settled_median:
        return None
    return f"median first token {trial_median} ms against {settled_median} ms"


def _times(samples: deque[_Sample], newest: int) -> list[int]:
    recent = islice(reversed(samples), newest)
    return sorted(s.first_token_ms for s in recent if s.first_token_ms is not None)
