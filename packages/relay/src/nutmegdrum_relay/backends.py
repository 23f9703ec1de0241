"""Registry of backend servers, from the platform's list and this entry VM's own exchanges."""

import threading
from collections.abc import Collection, Iterable, Mapping
from enum import Enum

from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, DataCentre, ServiceName
from nutmegdrum_scheduling.placement.known_paces import KnownPaces
from nutmegdrum_scheduling.placement.slowness import Slowness
from prometheus_client import Gauge

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import ListedBackend, Load
from nutmegdrum_relay.views import NO_WORK, SharedListing, Work

FIRST_PAUSE = Duration(300)
"""First ejection of a backend server found down; docs/design/platform.md, failing servers."""

MAX_PAUSE = Duration(2_400)
"""Longest ejection; pauses double up to it. See docs/design/platform.md, failing servers."""

LISTING_VALID = Duration(1_500)
"""Age after which the state leader's list is stale and an entry VM reads the platform's list
itself; draining backend servers must get nothing new after 3 s (the users' bound on draining)."""

USUAL_REPORT_WAIT = Duration(500)
"""Report wait that `LISTING_VALID` allows for; it is longer with 150 or more entry VMs."""

FAILURE_WEIGHT = 0.25
"""Weight of the newest exchange in the moving average of a backend server's failure rate; the last
four exchanges dominate it."""

LOAD_VALID = Duration(400)
"""Age up to which a reported load counts; docs/design/platform.md, placement."""

REPORTED_PAUSE = Duration(1_000)
"""Pause of a backend server that another entry VM reported down; two of that VM's reports."""

REPLACED_VALID = Duration(10_000)
"""Age up to which another server's answer at a backend server's address excludes it. The list keeps
servers that have ended for some seconds; one that it still has after this is tried again."""

_USUAL_PERCENT = 100

OTHER_PACE = Gauge("nutmegdrum_backends_of_other_pace", "Servers known to be slower or faster")


class Health(Enum):
    """Whether a backend server may get requests."""

    UP = "up"
    PAUSED = "paused"
    GONE = "gone"


class Backend:
    """One incarnation of a backend server, guarded by the registry's lock.

    Parameters
    ----------
    list_number : int
        Number of the list in which it was first listed.

    Attributes
    ----------
    delisted : bool
        Whether it has left the list.
    displaced : bool
        Whether one that was listed later has its address.
    found_replaced_ms : int or None
        Elapsed time in ms at which another server answered at its address; None if none has.
    work : Work
        Work of this VM's requests in progress there, copies included.
    requests : int
        Number of this VM's requests in progress.
    others_work : Work
        Work of other entry VMs' requests there, as last reported.
    failure_rate : float
        Moving average of failed exchanges, 0 to 1.
    slowness : Slowness
        Its current slowness, from its load reports.
    usual_pace : float
        Time that it takes relative to the usual one, learned by all entry VMs; 1 if unknown.
    announced_leaving : bool
        Whether it has announced in an answer that it drains, ahead of the platform's list.
    backoff_until_ms : int
        Elapsed time in ms until which it has asked this VM to send no requests.
    reported_down_until_ms : int
        Elapsed time in ms until which another entry VM's report that it is down counts.
    paused_as_silent : bool
        Whether its pause ends as soon as it sends something.
    is_entry_vm : bool
        Whether it is another entry VM, to which requests are passed on.
    """

    is_entry_vm = False

    def __init__(self, listed: ListedBackend, list_number: int = 0):
        self.listed = listed
        self.list_number = list_number
        self.id: BackendId = listed.id
        self.address: Address = listed.address
        self.data_centre: DataCentre = listed.data_centre
        self.work = NO_WORK
        self.requests = 0
        self.others_work = NO_WORK
        self.failure_rate = 0.0
        self.load: Load | None = None
        self.load_ms = 0
        self.slowness = Slowness()
        self.usual_pace = 1.0
        self.paused_until_ms = 0
        self.pause_ms = 0
        self.paused_as_silent = False
        self.last_data_ms = 0
        self.delisted = False
        self.displaced = False
        self.found_replaced_ms: int | None = None
        self.announced_leaving = False
        self.backoff_until_ms = 0
        self.reported_down_until_ms = 0

    @property
    def gone(self) -> bool:
        """Return whether it is not to be found at its address, as far as is known."""
        return self.delisted or self.displaced or self.found_replaced_ms is not None

    def health(self, now_ms: int) -> Health:
        """Return whether it may get requests now."""
        if self.gone:
            return Health.GONE
        paused = now_ms < self.paused_until_ms or self.is_backing_off(now_ms)
        return Health.PAUSED if paused else Health.UP

    def is_up(self, now_ms: int) -> bool:
        """Return whether it may get requests now."""
        return self.health(now_ms) is Health.UP

    @property
    def warming_up(self) -> bool:
        """Return whether it is still slow after its start."""
        return self.listed.warming_up

    def reported_requests(self, now_ms: int) -> int:
        """Return the requests that it reports, running and waiting; 0 without a valid report."""
        if self.load is None or now_ms - self.load_ms > LOAD_VALID:
            return 0
        return self.load.running + self.load.waiting

    @property
    def slots(self) -> int:
        """Return the requests that it runs at once; 0 if unknown."""
        return self.listed.slots

    def slowness_factor(self, now_ms: int, over: Duration) -> float:
        """Return the time that it takes over the next `over` ms, relative to its usual one."""
        return self.slowness.factor(now_ms, over)

    def is_backing_off(self, now_ms: int) -> bool:
        """Return whether a backoff hint is in force; it is always respected."""
        return now_ms < self.backoff_until_ms

    def total_work(self) -> Work:
        """Return the known work of all entry VMs' requests there."""
        return self.work + self.others_work


class Backends:
    """Registry of all known backend servers; thread-safe.

    Attributes
    ----------
    paces : KnownPaces
        Usual paces of backend servers, and samples of them for the leader.
    limits : KnownLimits
        Rate limits that backend servers have announced, to this VM or to others.
    listing_name : str
        Name of the state leader's list that this VM has, in force or not; empty for none.
    others_placing : int
        Generations that other entry VMs were placing when their work was fetched.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self.paces = KnownPaces()
        self.limits = KnownLimits(clock, log_decision)
        self._lock = threading.Lock()
        self._backends: dict[BackendId, Backend] = {}
        self._others: dict[BackendId, Work] = {}
        self._others_ms = 0
        self.others_placing = 0
        self._paces: Mapping[BackendId, int] = {}
        self._shared_ms: int | None = None
        self.listing_name = ""
        self._listing_lock = threading.Lock()
        self._services: frozenset[ServiceName] | None = None
        self._listing: tuple[ListedBackend, ...] = ()
        self._lists = 0
        self._offered: tuple[ListedBackend, ...] = ()
        self._applied_name = ""
        self._read_ms: int | None = None

    def needs_listing(self, report_wait: Duration = Duration(0)) -> bool:
        """Return whether the state leader's list is missing or stale.

        Parameters
        ----------
        report_wait : Duration
            Time for which a report may wait for its answer, which confirms the list.
        """
        shared_ms = self._shared_ms
        if shared_ms is None:
            return True
        valid_ms = LISTING_VALID + max(0, report_wait - USUAL_REPORT_WAIT)
        return self._clock.elapsed_ms() - shared_ms > valid_ms

    def set_shared_listing(self, shared: SharedListing, sent_ms: int | None = None) -> None:
        """Apply the state leader's list, or its confirmation that the list has not changed.

        A list that may be older than the one in force is kept until the leader has read it again.

        Parameters
        ----------
        sent_ms : int or None
            Elapsed time in ms at which the leader was asked; None for now.

        Raises
        ------
        ValueError
            If the list cannot be decoded.
        """
        listed = shared.listed
        with self._listing_lock:
            now_ms = self._clock.elapsed_ms()
            if listed is not None:
                self._offered = listed
                self.listing_name = shared.name
            elif shared.name != self.listing_name:
                return
            self._shared_ms = now_ms - shared.age_ms
            earliest_ms = (now_ms if sent_ms is None else sent_ms) - shared.age_ms
            if not self._is_newer(shared.name, earliest_ms):
                return
            if shared.name != self._applied_name:
                self._apply(self._offered)
                self._applied_name = shared.name
            self._read_ms = self._shared_ms
            self._readmit(self._read_ms)

    def _is_newer(self, name: str, earliest_ms: int) -> bool:
        """Return whether a shared list was read after the one in force."""
        reader, _, number = name.rpartition("/")
        applied_by, _, applied = self._applied_name.rpartition("/")
        if self._applied_name and reader == applied_by:
            return int(number) >= int(applied)
        return self._read_ms is None or earliest_ms >= self._read_ms

    def set_listing(self, listing: Iterable[ListedBackend], read_ms: int | None = None) -> None:
        """Replace the list, read from `read_ms` (elapsed time in ms) on, or just now.

        Backend servers that remain listed keep their state. A list that is older than the one in
        force has no effect.
        """
        with self._listing_lock:
            read_ms = self._clock.elapsed_ms() if read_ms is None else read_ms
            if self._read_ms is not None and read_ms < self._read_ms:
                return
            self._read_ms = read_ms
            self._applied_name = self.listing_name = ""
            self._apply(tuple(listing))
            self._readmit(read_ms)

    def set_services(self, services: Iterable[ServiceName]) -> None:
        """Set the services of the routing document in force.

        Entries of other services name no backend server: they neither take the place of another
        entry with their id nor displace the server at their address.
        """
        with self._listing_lock:
            services = frozenset(services)
            if services != self._services:
                self._services = services
                self._apply(self._listing)

    def _apply(self, listing: tuple[ListedBackend, ...]) -> None:
        with self._lock:
            self._listing = listing
            self._lists += 1
            known = self._backends
            self._backends = {}
            for listed in self._one_for_each_id(listing):
                backend = known.get(listed.id)
                if backend is None or backend.address != listed.address:
                    backend = Backend(listed, self._lists)
                    backend.others_work = self._others.get(listed.id, NO_WORK)
                    backend.usual_pace = self._usual_pace(listed.id)
                    log_decision("backend_listed", backend=listed.id, service=listed.service)
                elif listed.leaving and not backend.listed.leaving:
                    log_decision("backend_leaving", backend=listed.id, service=listed.service)
                elif backend.listed.leaving and not listed.leaving:
                    # It has restarted under the same id.
                    backend.announced_leaving = False
                backend.listed = listed
                self._backends[listed.id] = backend
            for backend_id in known.keys() - self._backends.keys():
                known[backend_id].delisted = True
                log_decision("backend_gone", backend=backend_id)
            self._update_displaced()
            self.limits.retain(self._backends.keys())

    def _one_for_each_id(self, listing: Iterable[ListedBackend]) -> Iterable[ListedBackend]:
        """Return the last entry of each id, if possible one that names a backend server."""
        chosen: dict[BackendId, ListedBackend] = {}
        for listed in listing:
            other = chosen.get(listed.id)
            if other is None or self._has_service(listed) or not self._has_service(other):
                chosen[listed.id] = listed
        return chosen.values()

    def _has_service(self, listed: ListedBackend) -> bool:
        """Return whether an entry's service is in the routing document; yes before the first."""
        return self._services is None or listed.service in self._services

    def _update_displaced(self) -> None:
        """Mark the servers at whose address a later one is listed that may be there."""
        latest: dict[Address, Backend] = {}
        for backend in self._backends.values():
            if self._has_service(backend.listed) and backend.found_replaced_ms is None:
                other = latest.get(backend.address)
                if other is None or backend.list_number > other.list_number:
                    latest[backend.address] = backend
        for backend in self._backends.values():
            later = latest.get(backend.address, backend)
            displaced = backend.list_number < later.list_number
            if displaced != backend.displaced:
                backend.displaced = displaced
                kind = "backend_displaced" if displaced else "backend_readmitted"
                log_decision(kind, backend=backend.id, address=backend.address, later=later.id)

    def _readmit(self, read_ms: int) -> None:
        """Readmit servers found replaced that a list still has which was read much later."""
        with self._lock:
            readmitted = [
                backend
                for backend in self._backends.values()
                if backend.found_replaced_ms is not None
                and read_ms - backend.found_replaced_ms >= REPLACED_VALID
            ]
            for backend in readmitted:
                backend.found_replaced_ms = None
                log_decision("backend_readmitted", backend=backend.id, address=backend.address)
            if readmitted:
                self._update_displaced()

    def successor(self, backend: Backend) -> Backend:
        """Return the current backend server of the same service at `backend`'s address."""
        with self._lock:
            for other in self._backends.values():
                same = other.address == backend.address
                if same and other.listed.service == backend.listed.service and not other.gone:
                    return other
        return backend

    def found_down(self, cut_off: Collection[ServiceName] = ()) -> tuple[BackendId, ...]:
        """Return the listed backend servers that this VM itself has found down, not only silent.

        Parameters
        ----------
        cut_off : collection of ServiceName
            Services whose servers this VM cannot reach; these are left out, as others may.
        """
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            return tuple(
                b.id
                for b in self._backends.values()
                if b.listed.service not in cut_off
                and (b.found_replaced_ms is not None or (now_ms < b.paused_until_ms and b.pause_ms))
                and not b.paused_as_silent
            )

    def pause_reported_down(self, down: Iterable[BackendId]) -> None:
        """Pause backend servers that other entry VMs report down."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            for backend_id in down:
                backend = self._backends.get(backend_id)
                if backend is not None:
                    backend.reported_down_until_ms = now_ms + int(REPORTED_PAUSE)
                if backend is not None and now_ms >= backend.paused_until_ms:
                    backend.pause_ms = 0
                    backend.paused_until_ms = now_ms + REPORTED_PAUSE
                    backend.paused_as_silent = True

    def on_replaced(self, backend: Backend) -> None:
        """Exclude a backend server because another one answers at its address.

        A server that it had displaced there is used again.
        """
        with self._lock:
            backend.found_replaced_ms = self._clock.elapsed_ms()
            self._update_displaced()
        log_decision("backend_replaced", backend=backend.id, address=backend.address)

    def drop_others_work(self, after: Duration) -> None:
        """Drop the reported work of other entry VMs if it is older than `after`."""
        if self.others_age() > after:
            self._set_others({})

    def others_age(self) -> Duration:
        """Return the time since the work of other entry VMs was reported."""
        return Duration(self._clock.elapsed_ms() - self._others_ms)

    def set_others_work(self, work: dict[BackendId, Work], placing: int = 0) -> None:
        """Replace the reported work of other entry VMs' requests."""
        self._others_ms = self._clock.elapsed_ms()
        self.others_placing = placing
        self._set_others(work)

    def _set_others(self, work: dict[BackendId, Work]) -> None:
        with self._lock:
            self._others = work
            for backend in self._backends.values():
                backend.others_work = work.get(backend.id, NO_WORK)

    def set_paces(self, percent: Mapping[BackendId, int]) -> None:
        """Replace the usual paces of the servers that differ, in percent of the usual time."""
        with self._lock:
            if percent == self._paces:
                return
            log_decision("paces_changed", differing=len(percent), before=len(self._paces))
            self._paces = percent
            OTHER_PACE.set(len(percent))
            for backend in self._backends.values():
                backend.usual_pace = self._usual_pace(backend.id)

    def _usual_pace(self, backend: BackendId) -> float:
        return self._paces.get(backend, _USUAL_PERCENT) / _USUAL_PERCENT

    def own_work(self) -> dict[BackendId, Work]:
        """Return the work of this VM's requests by backend server."""
        with self._lock:
            return {b.id: b.work for b in self._backends.values() if b.work}

    def of_service(self, service: ServiceName) -> list[Backend]:
        """Return the service's backend servers that are neither draining nor gone."""
        with self._lock:
            return [
                backend
                for backend in self._backends.values()
                if backend.listed.service == service
                and not backend.listed.leaving
                and not backend.announced_leaving
                and not backend.gone
            ]

    def on_leaving(self, backend: Backend) -> None:
        """Record that a backend server announced that it drains; its streams continue."""
        with self._lock:
            known, backend.announced_leaving = backend.announced_leaving, True
        if not known:
            log_decision("backend_says_leaving", backend=backend.id)

    def on_backoff(self, backend: Backend, closed_for: Duration) -> None:
        """Record a backend server's backoff hint; the longest one counts."""
        with self._lock:
            until_ms = self._clock.elapsed_ms() + int(closed_for)
            backend.backoff_until_ms = max(backend.backoff_until_ms, until_ms)
        log_decision("backend_closed", backend=backend.id, closed_ms=int(closed_for))

    def add(self, backend: Backend, work: Work) -> None:
        """Count a request and its work as sent to `backend`."""
        with self._lock:
            backend.requests += 1
            backend.work += work

    def remove(self, backend: Backend, work: Work) -> None:
        """Count a request as ended, and subtract the work still counted for it."""
        with self._lock:
            backend.requests -= 1
            backend.work -= work

    def change_work(self, backend: Backend, more: Work, less: Work) -> None:
        """Add `more` and subtract `less` work of a request in progress."""
        with self._lock:
            backend.work = backend.work + more - less

    def on_data(self, backend: Backend) -> None:
        """Record that data arrived from `backend`, which ends a pause for silence."""
        backend.last_data_ms = self._clock.elapsed_ms()
        if backend.paused_as_silent:
            with self._lock:
                backend.paused_as_silent = False
                backend.paused_until_ms = 0

    def on_load(self, backend: Backend, load: Load | None) -> None:
        """Record the load that an answer reported."""
        if load is not None:
            with self._lock:
                backend.load = load
                backend.load_ms = self._clock.elapsed_ms()
                backend.slowness.on_report(load.slowness, backend.load_ms)

    def on_answer(self, backend: Backend, failed: bool) -> None:
        """Record the outcome of an exchange; a success resets the pause."""
        with self._lock:
            self._update_failure_rate(backend, failed)
            if not failed:
                backend.pause_ms = 0

    def on_down(self, backend: Backend, reason: str, silent: bool = False) -> None:
        """Pause `backend` because it refused a connection, broke off an exchange or is silent.

        Parameters
        ----------
        silent : bool
            Whether the pause ends as soon as it sends something.
        """
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._update_failure_rate(backend, failed=True)
            backend.paused_as_silent = silent
            if now_ms < backend.paused_until_ms:
                return
            backend.pause_ms = min(MAX_PAUSE, backend.pause_ms * 2 or FIRST_PAUSE)
            backend.paused_until_ms = now_ms + backend.pause_ms
        log_decision("backend_paused", backend=backend.id, reason=reason, pause_ms=backend.pause_ms)

    def _update_failure_rate(self, backend: Backend, failed: bool) -> None:
        backend.failure_rate += FAILURE_WEIGHT * (float(failed) - backend.failure_rate)
