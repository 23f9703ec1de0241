"""Selection of a backend server for each attempt."""

import hashlib
import random
import threading
from collections import defaultdict
from collections.abc import Callable, Sequence

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, ModelName, ServiceName, VersionName, VmId
from nutmegdrum_coord.verdict import NO_BACKEND, NOT_FOUND, OVERLOADED, Reason

from nutmegdrum.backend_state import BackendState
from nutmegdrum.balancing import Balancer, Candidate, SampledBalancer
from nutmegdrum.messages import CacheEvent, LoadedVersion, LoadReport, LossKind
from nutmegdrum.plugins import Kind, Registry
from nutmegdrum.probes import has_ended
from nutmegdrum.routing_query import Choice, RouteQuery
from nutmegdrum.settings import BackendSettings, Settings
from nutmegdrum.slots import SlotEstimate
from nutmegdrum.trial_share import TrialShare
from nutmegdrum.view import BackendView, ModelView, TrialView, View

SUBSET_SIZE = 48
"""Maximum number of backend servers of a service that one entry VM uses."""

SERVING_ROLE = "serve"
"""Role in a load report of a backend server that accepts work."""

CONNECT_PROBE_MS = 300
"""Connect time-out of the probe for a crashed backend server, in ms."""

SETTLE_PROBE_MS = 100
"""Time within which the operating system closes all connections of a dead process, even on a busy
VM, in ms; see the limits in docs/design/crashing-requests.md."""


class Router:
    """Thread-safe router: filters the eligible backend servers and lets the balancer pick one.

    Parameters
    ----------
    cfg : Settings
        This VM's settings; their models and backend servers are used until a view arrives.
    clock : Clock
        Clock for suspicions and grants.
    rng : random.Random
        Random source of the balancer and of the trial shares.
    registry : Registry
        Plug-ins; the first balancer among them is used.
    allows : callable
        Returns whether this VM may send new requests to a version under trial.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        registry: Registry,
        allows: Callable[[ModelName, VersionName], bool] = lambda model, version: True,
    ):
        self._allows = allows
        self._leaving: frozenset[BackendId] = frozenset()
        self._clock = clock
        self._rng = rng
        self._vm = cfg.vm.id
        self._services = frozenset(service.name for service in cfg.services)
        self._lease_ms = int(cfg.control.freshness_lease)
        self._balancer = _balancer(registry)
        self._fencing = {b.id: b.checks_fencing for b in cfg.backend_servers}
        self._lock = threading.Lock()
        self._states: defaultdict[BackendId, BackendState] = defaultdict(BackendState)
        self._shares: dict[tuple[ModelName, VersionName], TrialShare] = {}
        self._models: dict[ModelName, ModelView] = {}
        self._backends: dict[str, list[BackendView]] = {}
        self._granted_ms = 0
        self._own_in_flight = 0
        self._has_reports = False
        self._model_backends: frozenset[BackendId] = frozenset()
        self._slots = SlotEstimate(len(cfg.entry_vms))
        self._apply(_initial_models(cfg), _initial_backends(cfg))

    def set_view(self, view: View, received_ms: int) -> None:
        """Apply a new view; its grants count from `received_ms`."""
        with self._lock:
            self._apply(view.models, view.backends)
            self._granted_ms = received_ms

    def renew_grants(self, received_ms: int) -> None:
        """Renew the grants of the current view after a heartbeat answer confirmed it.

        The answer carries only loads that changed, so the known loads are still valid and the slot
        estimate is renewed as well.
        """
        with self._lock:
            self._granted_ms = max(self._granted_ms, received_ms)
            if self._has_reports:
                self._slots.on_reports(self._reported_free(), self._clock.elapsed_ms())

    def set_leaving(self, leaving: frozenset[BackendId]) -> None:
        """Exclude the backend servers in `leaving` from new work, in addition to the view's."""
        with self._lock:
            self._leaving = leaving

    def load(self, backend: BackendId) -> float:
        """Return the estimated load of a backend server as a share of its slots."""
        with self._lock:
            return self._states[backend].load()

    def service_of(self, name: ModelName) -> ServiceName:
        """Return the service that provides a model; a plain service's name stands for itself."""
        model = self._models.get(name)
        return model.service if model is not None else ServiceName(name)

    def choose(self, query: RouteQuery) -> Choice | Reason:
        """Return a backend server and version for the query, or the reason why there is none.

        New work goes to the trial only while its grant is valid and its share is not used up;
        requests meant for the settled version never fall back to the trial. `OVERLOADED` means
        that another suspect's attempt must end first, `NOT_FOUND` that the model does not exist.
        """
        with self._lock:
            version = query.version or self._pick_version(query)
            if isinstance(version, Reason):
                return version
            return self._choose(query, version)

    def started(self, backend: BackendId, isolated: bool = False) -> None:
        """Count the start of an attempt on `backend`."""
        with self._lock:
            state = self._states[backend]
            state.in_flight += 1
            self._change_own_in_flight(backend, 1)
            state.isolated += isolated

    def finished(self, backend: BackendId, ok: bool, isolated: bool = False) -> None:
        """Count the end of an attempt; `ok` means that the backend server answered completely."""
        with self._lock:
            state = self._states[backend]
            self._change_own_in_flight(backend, -1)
            state.on_finished(ok)
            state.isolated = max(0, state.isolated - isolated)

    def lost(self, backend: BackendId, kind: LossKind) -> None:
        """Suspect a backend server after the loss of an attempt."""
        with self._lock:
            self._states[backend].on_lost(kind, self._clock.elapsed_ms())

    def on_load_report(self, backend: BackendId, report: LoadReport) -> None:
        """Record a backend server's load report."""
        with self._lock:
            self._states[backend].on_report(report)
            self._has_reports = True
            self._slots.on_reports(self._reported_free(), self._clock.elapsed_ms())

    def free_slots(self) -> int:
        """Return the number of slots at models' backend servers that this VM may fill now."""
        with self._lock:
            return self._slots.free(self._own_in_flight, self._clock.elapsed_ms())

    def _change_own_in_flight(self, backend: BackendId, change: int) -> None:
        if backend in self._model_backends:
            self._own_in_flight = max(0, self._own_in_flight + change)
            self._slots.on_own(self._own_in_flight, self._clock.elapsed_ms())

    def _reported_free(self) -> int:
        now_ms = self._clock.elapsed_ms()
        states = [self._states[backend] for backend in self._model_backends]
        return sum(s.free_slots() for s in states if not s.suspected(now_ms))

    def on_cache_events(self, backend: BackendId, events: Sequence[CacheEvent]) -> None:
        """Pass a backend server's cache events to the balancer."""
        with self._lock:
            self._balancer.on_cache_events(backend, events)

    def is_down(self, backend: BackendId) -> bool:
        """Return whether a backend server is unknown, refuses connections or is terminating."""
        with self._lock:
            views = (view for group in self._backends.values() for view in group)
            found = next((view for view in views if view.id == backend), None)
        return found is None or has_ended(found.address, CONNECT_PROBE_MS, SETTLE_PROBE_MS)

    def used_backends(self) -> list[BackendSettings]:
        """Return the backend servers whose cache events the balancer needs."""
        with self._lock:
            if not self._balancer.wants_cache_events():
                return []
            models = {model.service for model in self._models.values()}
            used = [b for service in models for b in self._backends.get(service, [])[:SUBSET_SIZE]]
            return [self._settings(backend) for backend in used if not backend.leaving]

    def suspected(self) -> list[BackendId]:
        """Return the ids of the backend servers that this VM suspects."""
        with self._lock:
            now_ms = self._clock.elapsed_ms()
            return sorted(id for id, state in self._states.items() if state.suspected(now_ms))

    def _apply(self, models: Sequence[ModelView], backends: Sequence[BackendView]) -> None:
        self._models = {model.name: model for model in models}
        grouped: dict[str, list[BackendView]] = defaultdict(list)
        for backend in sorted(backends, key=lambda b: _rank(self._vm, b.id)):
            grouped[backend.service].append(backend)
        self._backends = dict(grouped)
        services = {model.service for model in models}
        self._model_backends = frozenset(
            b.id for b in backends if b.service in services and not b.leaving
        )
        trials = {(m.name, m.trial.version) for m in models if m.trial is not None}
        self._shares = {trial: self._shares.get(trial, TrialShare(self._rng)) for trial in trials}

    def _pick_version(self, query: RouteQuery) -> VersionName | Reason:
        model = self._models.get(query.model)
        if model is None:
            return (
                VersionName("")
                if query.model in self._backends
                else self._missing_model_reason(query)
            )
        settled = self._eligible(query, model.settled)
        trial = self._granted_trial(model)
        if trial is None:
            return model.settled if settled else NO_BACKEND
        share = self._shares[model.name, trial.version]
        to_trial = share.due(trial.share_ppm) and bool(self._eligible(query, trial.version))
        if not to_trial and not settled:
            return NO_BACKEND
        share.routed(trial.share_ppm, to_trial)
        return trial.version if to_trial else model.settled

    def _missing_model_reason(self, query: RouteQuery) -> Reason:
        """Return `NOT_FOUND` only while the view is fresh; a stale view may lack a new model."""
        fresh = self._clock.elapsed_ms() < self._granted_ms + self._lease_ms
        return NO_BACKEND if query.model in self._services or not fresh else NOT_FOUND

    def _granted_trial(self, model: ModelView) -> TrialView | None:
        trial = model.trial
        if trial is None or not self._allows(model.name, trial.version):
            return None
        expired = self._clock.elapsed_ms() >= self._granted_ms + trial.grant_ms
        return None if expired else trial

    def _choose(self, query: RouteQuery, version: VersionName) -> Choice | Reason:
        eligible = self._eligible(query, version)
        if not eligible:
            return NO_BACKEND
        free = [b for b in eligible if not (query.isolated and self._states[b.id].isolated)]
        if not free:
            return OVERLOADED
        preferred = self._preferred(free)
        candidates = [Candidate(b.id, self._states[b.id].load()) for b in preferred]
        picked = self._balancer.pick(query, candidates, self._rng)
        backend = next(b for b in preferred if b.id == picked.id)
        return Choice(self._settings(backend), version)

    def _eligible(self, query: RouteQuery, version: VersionName) -> list[BackendView]:
        model = self._models.get(query.model)
        service = self.service_of(query.model)
        required = LoadedVersion(query.model, version, query.adapter)
        usable = [b for b in self._backends.get(service, []) if self._usable(b, query)]
        loaded = [b for b in usable if required in b.loaded]
        if loaded or query.adapter or not (model is None or version == model.settled):
            return loaded
        return [b for b in usable if not b.loaded]

    def _usable(self, backend: BackendView, query: RouteQuery) -> bool:
        return not (
            backend.leaving
            or backend.id in self._leaving
            or backend.id in query.excluded
            or self._states[backend.id].role != SERVING_ROLE
        )

    def _preferred(self, eligible: list[BackendView]) -> list[BackendView]:
        now_ms = self._clock.elapsed_ms()
        healthy = [b for b in eligible if not self._states[b.id].suspected(now_ms)]
        if healthy:
            return healthy[:SUBSET_SIZE]
        return [min(eligible, key=lambda b: self._states[b.id].suspected_until_ms)]

    def _settings(self, backend: BackendView) -> BackendSettings:
        return BackendSettings(
            id=backend.id,
            address=backend.address,
            service=backend.service,
            data_centre=backend.data_centre,
            checks_fencing=self._fencing.get(backend.id, True),
        )


def _balancer(registry: Registry) -> Balancer:
    provided = registry.all(Kind.ROUTING)
    return next(iter(provided.values()), None) or SampledBalancer()


def _rank(vm: VmId, backend: BackendId) -> bytes:
    return hashlib.blake2b(f"{vm}/{backend}".encode(), digest_size=8).digest()


def _initial_models(cfg: Settings) -> list[ModelView]:
    return [ModelView(name=m.name, service=m.service, settled=m.version) for m in cfg.models]


def _initial_backends(cfg: Settings) -> list[BackendView]:
    return [
        BackendView(id=b.id, address=b.address, service=b.service, data_centre=b.data_centre)
        for b in cfg.backend_servers
    ]
