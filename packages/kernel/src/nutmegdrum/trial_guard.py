"""Circuit breaker that stops a version on one entry VM before the state leader has decided."""

from collections import deque
from collections.abc import Collection, Hashable, Iterable
from enum import Enum
from itertools import islice, takewhile
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import Fingerprint, ModelName, RouteName, VersionName

from nutmegdrum.view import TrialTrip

WINDOW_MS = 30_000
"""Time for which outcomes are kept, in ms."""

MIN_FAULTS = 4
"""Number of faults, each of a different request, that are needed to stop a version."""

MIN_FAULT_RATIO = 5
"""Factor by which the trial's fault rate must exceed the settled version's."""

MAX_NEWEST_SAMPLES = 40
"""Number of the trial's newest requests that count, so that a fault that starts late is noticed
quickly."""

MIN_FAULT_RATE = 0.15
"""Fault rate below which the state leader decides."""

DEATH_INTERVAL_MS = 2_000
"""Length of the intervals in which all crashes count as one backend server's death, in ms."""

MIN_LATENCY_SAMPLES = 8
"""Times to first token of either version that a comparison of latencies needs."""

MIN_SLOW_RATIO = 2.5
"""Factor by which the trial's median time must exceed the settled version's upper quartile."""

COMPARISON_LEAD_MS = 2_000
"""Time before the trial's oldest compared sample from which the settled version's samples
count, in ms."""

MAX_SAMPLES = 2_000


class Outcome(Enum):
    """Outcome of a request to a version."""

    FINE = "fine"
    ERROR = "error"
    CRASH = "crash"
    TRUNCATED = "truncated"
    WRONG = "wrong"


class _OutcomeSample(NamedTuple):
    at: ElapsedMs
    fingerprint: Fingerprint
    outcome: Outcome
    first_token_ms: int | None


class TrialGuard:
    """Circuit breaker for versions under trial, fed by outcomes per version and route.

    A request that crashes any version counts once, by its fingerprint. Faults of the settled
    version in the same window raise the threshold. A stopped version stays stopped until `forget`
    is called, when a view shows that its trial ended or another version is under trial.
    """

    def __init__(self) -> None:
        self._samples: dict[Hashable, deque[_OutcomeSample]] = {}
        self._stopped: dict[tuple[ModelName, VersionName], TrialTrip] = {}
        self._new: list[TrialTrip] = []

    def allows(self, model: ModelName, version: VersionName) -> bool:
        """Return whether new requests may go to a version under trial."""
        return (model, version) not in self._stopped

    def take_trips(self) -> list[TrialTrip]:
        """Return and clear the stops since the last call, for the next heartbeat."""
        new, self._new = self._new, []
        return new

    def forget(self, model: ModelName, version: VersionName) -> None:
        """Forget a version's samples and allow it again, once a view shows it without a share."""
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
        """Record the outcome of a request and return the stop that it causes, if any."""
        samples = self._window(now_ms, (model, version, route))
        samples.append(_OutcomeSample(now_ms, fingerprint, outcome, first_token_ms))
        if version == settled or not self.allows(model, version):
            return None
        others = self._window(now_ms, (model, settled, route))
        if outcome is Outcome.FINE:
            why = _slowness_reason(samples, others)
        else:
            why = _fault_reason(samples, others)
        if why is None:
            return None
        trip = TrialTrip(model=model, version=version, route=route, why=why)
        self._stopped[model, version] = trip
        self._new.append(trip)
        return trip

    def _window(self, now_ms: ElapsedMs, key: Hashable) -> deque[_OutcomeSample]:
        samples = self._samples.setdefault(key, deque(maxlen=MAX_SAMPLES))
        while samples and now_ms - samples[0].at > WINDOW_MS:
            samples.popleft()
        return samples


def _faults(samples: Collection[_OutcomeSample]) -> int:
    crashes = [s for s in samples if s.outcome is Outcome.CRASH]
    crash_intervals = {sample.at // DEATH_INTERVAL_MS for sample in crashes}
    crashing = {sample.fingerprint for sample in crashes}
    others = {s.fingerprint for s in samples if s.outcome not in (Outcome.FINE, Outcome.CRASH)}
    return len(others) + min(len(crash_intervals), len(crashing))


def _fault_reason(trial: deque[_OutcomeSample], settled: deque[_OutcomeSample]) -> str | None:
    newest = list(islice(reversed(trial), MAX_NEWEST_SAMPLES))
    faults = _faults(newest)
    if faults < MIN_FAULTS:
        return None
    settled_rate = (_faults(settled) + 1) / (len(settled) + 1) if settled else 0.0
    if faults / len(newest) < max(MIN_FAULT_RATE, MIN_FAULT_RATIO * settled_rate):
        return None
    return f"{faults} faults in {len(newest)} requests"


def _slowness_reason(trial: deque[_OutcomeSample], settled: deque[_OutcomeSample]) -> str | None:
    newest = list(
        islice((s for s in reversed(trial) if s.first_token_ms is not None), MIN_LATENCY_SAMPLES)
    )
    if len(newest) < MIN_LATENCY_SAMPLES:
        return None
    median_ms = sorted(_times(newest))[MIN_LATENCY_SAMPLES // 2]
    since = newest[-1].at - COMPARISON_LEAD_MS
    same_time = takewhile(lambda sample: sample.at >= since, reversed(settled))
    settled_times = sorted(_times(same_time))
    if len(settled_times) < MIN_LATENCY_SAMPLES:
        return None
    upper_quartile_ms = settled_times[len(settled_times) * 3 // 4]
    if median_ms <= MIN_SLOW_RATIO * upper_quartile_ms:
        return None
    return f"median first token {median_ms} ms against an upper quartile of {upper_quartile_ms} ms"


def _times(samples: Iterable[_OutcomeSample]) -> list[int]:
    return [s.first_token_ms for s in samples if s.first_token_ms is not None]
