"""Selection of a backend server, or of another entry VM in its place, for each attempt."""

import random
from collections.abc import Callable, Collection, Sequence

from nutmegdrum.permits import Permits
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, DataCentre
from nutmegdrum_scheduling.placement.choice import choose_backend, choose_copy

from nutmegdrum_relay.backends import Backend, Backends, Health
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.entry_peers import EntryPeers
from nutmegdrum_relay.fleet_work import SharedWork
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.retry_policy import permit_wait
from nutmegdrum_relay.version_gate import VersionGate


class Selection:
    """Selects backend servers for attempts and for copies of runs; thread-safe.

    Parameters
    ----------
    near : DataCentre
        Data centre of this entry VM.
    shared : SharedWork
        Source of other entry VMs' work, by which generations are placed.
    gate : VersionGate
        Decides which versions may get a request.
    permits : Permits
        Permits to send to backend servers with limits that all entry VMs share.
    peers : EntryPeers
        Other entry VMs, for requests to servers that this VM cannot reach.
    connected : callable
        Returns the servers with a kept connection for a request that needs a fresh one or not.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        backends: Backends,
        near: DataCentre,
        shared: SharedWork,
        gate: VersionGate,
        permits: Permits,
        peers: EntryPeers,
        connected: Callable[[bool], Collection[BackendId]] = lambda fresh: (),
    ):
        self._clock = clock
        self._rng = rng
        self._backends = backends
        self._near = near
        self._shared = shared
        self._gate = gate
        self._permits = permits
        self._peers = peers
        self._connected = connected

    def choose(self, pending: PendingRequest, tried: list[BackendId]) -> Backend | None:
        """Return the backend server for the next attempt, which must be sent; None for none.

        May wait for a permit to send to a backend server with a rate limit. While this VM cannot
        reach any backend server, another entry VM takes their place, and no permits are taken.
        """
        peer = self._choose_peer(pending, tried)
        if peer is not None:
            return peer
        fresh = bool(pending.demand.tokens) and self._shared.refresh()
        candidates = self._eligible(pending, resend=bool(tried))
        backend = self._choose_among(pending, candidates, tried, fresh)
        if backend is None or not self._permits.is_needed(backend.id):
            return backend
        unlimited = [b for b in candidates if not self._permits.is_needed(b.id)]
        other = self._choose_among(pending, unlimited, tried, fresh)
        if self._is_cut_off(pending):
            # A permit would be lost to the entry VMs that reach the server.
            return other
        return self._choose_limited(pending, backend, candidates, tried, other) or other

    def _choose_peer(self, pending: PendingRequest, tried: list[BackendId]) -> Backend | None:
        if pending.passed_on:
            return None
        service = pending.service.name
        return self._peers.choose(service, self._backends.of_service(service), tried)

    def _is_cut_off(self, pending: PendingRequest) -> bool:
        return pending.service.name in self._peers.links.cut_off_services()

    def _choose_among(
        self,
        pending: PendingRequest,
        candidates: Sequence[Backend],
        tried: list[BackendId],
        fresh: bool,
    ) -> Backend | None:
        now_ms = self._clock.elapsed_ms()
        engine = pending.service.engine
        cache_tokens = engine.cache_tokens if engine is not None else 0
        connected: Collection[BackendId] = ()
        if not pending.demand.tokens:
            connected = self._connected(pending.route.kind is not RouteKind.IDEMPOTENT)
        return choose_backend(
            candidates,
            pending.demand,
            cache_tokens,
            self._near,
            tried,
            now_ms,
            self._rng,
            fresh,
            connected,
            self._backends.others_placing,
        )

    def _choose_limited(
        self,
        pending: PendingRequest,
        best: Backend,
        candidates: Sequence[Backend],
        tried: list[BackendId],
        other: Backend | None,
    ) -> Backend | None:
        """Return a backend server with a rate limit for which a permit is to be had in time.

        Parameters
        ----------
        other : Backend or None
            Backend server without a limit that is used instead; with one, nothing waits.
        """
        now_ms = self._clock.elapsed_ms()
        limited = {
            b.id: b
            for b in candidates
            if b.id not in tried
            and self._permits.is_needed(b.id)
            and b.health(now_ms) is best.health(now_ms)
        }
        left = pending.time_to_deadline(self._clock)
        max_wait = Duration(0) if other is not None else permit_wait(pending.route, left, tried)
        wanted = [best.id, *(backend_id for backend_id in limited if backend_id != best.id)]
        granted = self._permits.acquire(wanted, max_wait)
        log_decision(
            "permit",
            request=pending.terms.request_id,
            backend=granted,
            servers=len(wanted),
            max_wait_ms=int(max_wait),
            waited_ms=self._clock.elapsed_ms() - now_ms,
        )
        if granted is None or pending.caller_gone:
            return None
        return limited.get(granted, best)

    def has_other(self, pending: PendingRequest, tried: list[BackendId]) -> bool:
        """Return whether there is a backend server that is up and has not had the request."""
        now_ms = self._clock.elapsed_ms()
        eligible = self._eligible(pending, resend=True)
        return any(b.id not in tried and b.health(now_ms) is Health.UP for b in eligible)

    def has_untried(self, pending: PendingRequest, tried: list[BackendId]) -> bool:
        """Return whether there is a backend server or an entry VM to send to, up or not."""
        eligible = self._eligible(pending, resend=True)
        return self._passes_on(pending) or any(b.id not in tried for b in eligible)

    def can_send(self, pending: PendingRequest, tried: list[BackendId]) -> bool:
        """Return whether a request that waits for a resend could be sent to anywhere now."""
        return self._passes_on(pending) or self.has_server(pending, tried)

    def has_server(self, pending: PendingRequest, tried: list[BackendId]) -> bool:
        """Return whether a server is up, has not had the request and is not denied to this VM."""
        now_ms = self._clock.elapsed_ms()
        return any(
            b.id not in tried
            and b.health(now_ms) is Health.UP
            and not self._permits.denied_for(b.id)
            for b in self._eligible(pending, resend=True)
        )

    def _passes_on(self, pending: PendingRequest) -> bool:
        return not pending.passed_on and self._is_cut_off(pending)

    def successor(self, backend: Backend) -> Backend:
        """Return the engine that now listens at `backend`'s address; copies are sent there."""
        return self._backends.successor(backend)

    def may_resume_at(self, pending: PendingRequest, copy: Backend) -> bool:
        """Return whether a run may resume at the engine that holds a copy of its KV cache.

        A draining engine gets no new requests, and would soon break off the run again.
        """
        up = copy.health(self._clock.elapsed_ms()) is Health.UP
        if not up or self._is_cut_off(pending) or copy not in self._eligible(pending, resend=True):
            return False
        left = pending.time_to_deadline(self._clock)
        wait = permit_wait(pending.route, left, [copy.id])
        return self._permits.acquire([copy.id], wait) is not None

    def choose_copy(
        self, pending: PendingRequest, primary: Backend, tried: list[BackendId]
    ) -> Backend | None:
        """Return the engine to hold a copy of the run's KV cache; None if none has room."""
        engine = pending.service.engine
        if engine is None or not engine.copies_runs or not pending.demand.tokens:
            return None
        if primary.is_entry_vm:
            return None
        candidates = self._eligible(pending, resend=True)
        now_ms = self._clock.elapsed_ms()
        return choose_copy(
            candidates, primary, pending.demand, engine.cache_tokens, tried, now_ms, self._rng
        )

    def _eligible(self, pending: PendingRequest, resend: bool) -> Sequence[Backend]:
        name = pending.service.name
        eligible = self._gate.eligible(name, self._backends.of_service(name), resend)
        now_ms = self._clock.elapsed_ms()
        return [backend for backend in eligible if not backend.is_backing_off(now_ms)]

    def backoff_left(self, pending: PendingRequest) -> Duration:
        """Return the time until the first backend server takes requests again; 0 if one does."""
        backends = self._backends.of_service(pending.service.name)
        now_ms = self._clock.elapsed_ms()
        return Duration(
            min(
                (
                    max(0, b.backoff_until_ms - now_ms, self._permits.denied_for(b.id))
                    for b in backends
                ),
                default=0,
            )
        )
