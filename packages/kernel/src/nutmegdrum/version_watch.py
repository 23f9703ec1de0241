"""What one entry VM sees of each version: samples for the state leader, and local stops."""

import threading
from collections import Counter
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import AdapterName, ModelName, RouteName, VersionName

from nutmegdrum.fingerprints import generation_fingerprint
from nutmegdrum.logs import log_change
from nutmegdrum.messages import GenerationRequest, LoadedVersion, LossKind
from nutmegdrum.trial_guard import Outcome, TrialGuard
from nutmegdrum.view import RouteSample, TrialTrip, VersionUse, View

MAX_TIMES = 16
"""Times of each kind that one sample carries at most."""

_OUTCOMES = {
    LossKind.RESET: Outcome.CRASH,
    LossKind.SILENT: Outcome.CRASH,
    LossKind.TRUNCATED: Outcome.TRUNCATED,
    LossKind.ERROR: Outcome.ERROR,
}
"""Losses that say something about a version; others are about capacity or a stale view."""


class AttemptInfo(NamedTuple):
    """Version and route of one attempt.

    Attributes
    ----------
    load_permille : int
        Load of the backend server when the attempt began, in permille of its slots.
    """

    model: ModelName
    version: VersionName
    adapter: AdapterName
    route: RouteName
    load_permille: int


class _Counts(msgspec.Struct):
    requests: int = 0
    outcomes: dict[Outcome, int] = {}
    load_permille: int = 0
    first_token_ms: list[int] = []
    token_gap_ms: list[int] = []


class WatchReport(NamedTuple):
    """Part of a heartbeat that tells of versions."""

    samples: list[RouteSample]
    trips: list[TrialTrip]
    running: list[VersionUse]


def route_of(req: GenerationRequest) -> RouteName:
    """Return the name of the route that a generation takes: its interface and adapter."""
    path = "chat" if req.chat else "completions"
    return RouteName(f"{path}/{req.adapter}" if req.adapter else path)


class VersionWatch:
    """Counts attempts by version and route; thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._guard = TrialGuard()
        self._settled: dict[ModelName, VersionName] = {}
        self._trials: dict[ModelName, VersionName] = {}
        self._counts: dict[tuple[ModelName, VersionName, RouteName], _Counts] = {}
        self._running: Counter[LoadedVersion] = Counter()

    def set_view(self, view: View) -> None:
        """Take the versions in force; a trial that ended may be tried again later."""
        with self._lock:
            trials = {m.name: m.trial.version for m in view.models if m.trial is not None}
            for model, version in self._trials.items():
                if trials.get(model) != version:
                    self._guard.forget(model, version)
            self._trials = trials
            self._settled = {m.name: m.settled for m in view.models}

    def allows(self, model: ModelName, version: VersionName) -> bool:
        """Return whether new requests may go to a version under trial."""
        with self._lock:
            return self._guard.allows(model, version)

    def on_start(self, info: AttemptInfo) -> None:
        """Count an attempt that begins."""
        with self._lock:
            self._running[_loaded(info)] += 1

    def on_first_token(self, info: AttemptInfo, time_ms: int) -> None:
        """Note the time to the first token in ms."""
        with self._lock:
            _keep(self._of(info).first_token_ms, time_ms)

    def on_token_gap(self, info: AttemptInfo, time_ms: int) -> None:
        """Note a time between two tokens in ms."""
        with self._lock:
            _keep(self._of(info).token_gap_ms, time_ms)

    def on_finish(
        self, info: AttemptInfo, req: GenerationRequest, first_token_ms: int | None
    ) -> None:
        """Count an attempt that ended well."""
        self._ended(info, req, Outcome.FINE, first_token_ms)

    def on_loss(
        self,
        info: AttemptInfo,
        req: GenerationRequest,
        kind: LossKind,
        first_token_ms: int | None,
    ) -> None:
        """Count an attempt that was lost."""
        self._ended(info, req, _OUTCOMES.get(kind), first_token_ms)

    def on_abandon(self, info: AttemptInfo) -> None:
        """Count an attempt that the caller gave up."""
        with self._lock:
            self._leave(info)

    def collect(self) -> WatchReport:
        """Return what came since the last call, and what runs now."""
        with self._lock:
            counts, self._counts = self._counts, {}
            running = [VersionUse(version=v, running=n) for v, n in self._running.items()]
            trips = self._guard.take_trips()
        return WatchReport([_sample(key, c) for key, c in counts.items()], trips, running)

    def _ended(
        self,
        info: AttemptInfo,
        req: GenerationRequest,
        outcome: Outcome | None,
        first_token_ms: int | None,
    ) -> None:
        fingerprint = generation_fingerprint(req.workspace, req.model, req.prompt)
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._leave(info)
            if outcome is None:
                return
            counts = self._of(info)
            counts.requests += 1
            counts.outcomes[outcome] = counts.outcomes.get(outcome, 0) + 1
            trip = self._guard.on_outcome(
                now_ms,
                info.model,
                info.version,
                info.route,
                fingerprint,
                outcome,
                self._settled.get(info.model, info.version),
                first_token_ms,
            )
        if trip is not None:
            log_change("trial-stopped", model=trip.model, version=trip.version, why=trip.why)

    def _leave(self, info: AttemptInfo) -> None:
        loaded = _loaded(info)
        self._running[loaded] -= 1
        if self._running[loaded] <= 0:
            del self._running[loaded]

    def _of(self, info: AttemptInfo) -> _Counts:
        key = (info.model, info.version, info.route)
        counts = self._counts.setdefault(key, _Counts())
        counts.load_permille = max(counts.load_permille, info.load_permille)
        return counts


def _loaded(info: AttemptInfo) -> LoadedVersion:
    return LoadedVersion(info.model, info.version, info.adapter)


def _keep(times: list[int], time_ms: int) -> None:
    if len(times) < MAX_TIMES:
        times.append(time_ms)


def _sample(key: tuple[ModelName, VersionName, RouteName], counts: _Counts) -> RouteSample:
    model, version, route = key
    return RouteSample(
        model=model,
        version=version,
        route=route,
        requests=counts.requests,
        errors=counts.outcomes.get(Outcome.ERROR, 0),
        crashes=counts.outcomes.get(Outcome.CRASH, 0),
        truncated=counts.outcomes.get(Outcome.TRUNCATED, 0),
        wrong=counts.outcomes.get(Outcome.WRONG, 0),
        load_permille=counts.load_permille,
        first_token_ms=counts.first_token_ms,
        token_gap_ms=counts.token_gap_ms,
    )
