"""Exchange of the work of all entry VMs' requests with the state leader.

The rate of periodic reports is limited by what the leader can handle, so with hundreds of entry VMs
their data is stale by most of a prompt's prefill time. Before it places a generation, an entry VM
therefore fetches the others' work, and it reports its own work right after. The cost of both grows
with the number of generations, not of VMs.
"""

import itertools
import threading
from collections.abc import Callable, Collection
from typing import Protocol

import msgspec
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import IncarnationId, ServiceName, VmId
from nutmegdrum_scheduling.resends.leases import ResendCounts

from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.control_client import ControlClient
from nutmegdrum_relay.crash_watch import CrashWatch
from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_relay.views import ControlView, EntryReport

LEADER_TIMEOUT = Duration(100)
"""Wait for the leader's answer before a generation is placed without it; a tenth of a prompt's
prefill time, and many round trips between data centres."""

CHANGE_REPORT_PERIOD = Duration(20)
"""Shortest time between two reports of changed work, so that a burst is reported once."""

WORK_VALID = Duration(2_000)
"""Time for which the last known work of others counts while the leader does not answer; by
then the prefills included in it have ended, and so have those of prompts sent when the outage
began."""


class SharedWork(Protocol):
    """Exchange of work with the other entry VMs."""

    def refresh(self, places: bool = True) -> bool:
        """Fetch others' work, and return whether it is up to date.

        Parameters
        ----------
        places : bool
            Whether a generation is placed by it right after.
        """
        ...

    def on_work_changed(self) -> None:
        """Schedule a report, as this VM's work has changed."""
        ...


class UnsharedWork:
    """Null implementation for an entry VM that shares its backend servers with no other."""

    def refresh(self, places: bool = True) -> bool:
        """Return False, as nothing is fetched."""
        return False

    def on_work_changed(self) -> None:
        """Do nothing."""


class EntryState(Protocol):
    """State of this entry VM that is exchanged with the leader."""

    def cut_off_services(self) -> Collection[ServiceName]:
        """Return the services whose backend servers this VM cannot reach."""
        ...

    def takes_requests_at(self) -> Address | None:
        """Return the address for requests of other entry VMs; None if it takes none."""
        ...

    def resend_counts(self) -> dict[ServiceName, ResendCounts]:
        """Return the requests and resends by service; empty without a fleet-wide budget."""
        ...

    def told_entry_vms(self) -> int:
        """Return the number of entry VMs as a leader has told it last; 0 if unknown."""
        ...

    def on_view(self, view: ControlView, sent_ms: int) -> None:
        """Apply what a fresh view, the answer to a report sent at `sent_ms`, says to this VM."""
        ...


class NoEntryState:
    """Null implementation for an entry VM that takes no requests from others."""

    def cut_off_services(self) -> Collection[ServiceName]:
        """Return no service."""
        return ()

    def takes_requests_at(self) -> Address | None:
        """Return None."""
        return None

    def resend_counts(self) -> dict[ServiceName, ResendCounts]:
        """Return no counts."""
        return {}

    def told_entry_vms(self) -> int:
        """Return 0."""
        return 0

    def on_view(self, view: ControlView, sent_ms: int) -> None:
        """Do nothing."""


NO_ENTRY_STATE = NoEntryState()


class WaitingRequests(Protocol):
    """Requests of this VM that wait for capacity."""

    def wants_work(self) -> bool:
        """Return whether requests wait, so that reports should ask for others' work."""
        ...

    def queued(self) -> dict[ServiceName, tuple[int, ...]]:
        """Return the waiting requests by service and rank."""
        ...

    def take_asked(self) -> dict[ServiceName, int]:
        """Return the number of requests by service since the last call."""
        ...

    def on_view(self, view: ControlView) -> None:
        """Apply a fresh view and admit the requests for which there is capacity now."""
        ...


class Reporter:
    """Sends this VM's reports and applies the answers; thread-safe.

    Parameters
    ----------
    incarnation : IncarnationId
        Identity of this process; report numbers increase within it.
    gate : VersionGate
        Shares of versions, updated and renewed by answers.
    crash_watch : CrashWatch
        Crashes to report, and quarantines and suspects from answers.
    entry : EntryState
        What this VM reports of itself, and learns of the other entry VMs.

    Attributes
    ----------
    waiting : WaitingRequests or None
        Requests that wait for capacity; None if none ever does.
    """

    def __init__(
        self,
        vm: VmId,
        incarnation: IncarnationId,
        clock: Clock,
        client: ControlClient,
        backends: Backends,
        gate: VersionGate,
        crash_watch: CrashWatch,
        entry: EntryState = NO_ENTRY_STATE,
    ):
        self._entry = entry
        self.waiting: WaitingRequests | None = None
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._client = client
        self._backends = backends
        self._gate = gate
        self._crash_watch = crash_watch
        self._numbers = itertools.count(1)
        self._lock = threading.Lock()

    def report(self, version: int, wait_ms: int) -> ControlView | None:
        """Report to the leader or else to any replica; return None if none answers."""
        sent_ms = self._clock.elapsed_ms()
        report = self._make_report(version, wait_ms, asks_work=False)
        view = self._client.report(report, self._with_current_resends)
        return self._apply(report, view, sent_ms)

    def report_to_leader(self, version: int, asks_work: bool = False, places: bool = False) -> bool:
        """Report to the leader only, and return whether it answered in time."""
        sent_ms = self._clock.elapsed_ms()
        report = self._make_report(version, 0, asks_work, places)
        view = self._client.report_to_leader(report, LEADER_TIMEOUT)
        return self._apply(report, view, sent_ms) is not None

    def fetch_others_work(self, version: int, places: bool = True) -> bool:
        """Fetch others' work from the leader, and return whether it answered in time.

        Without an answer, work older than `WORK_VALID` is dropped.
        """
        answered = self.report_to_leader(version, asks_work=True, places=places)
        if not answered:
            self._backends.drop_others_work(WORK_VALID)
        return answered

    def _make_report(
        self, version: int, wait_ms: int, asks_work: bool, places: bool = False
    ) -> EntryReport:
        waiting = self.waiting
        with self._lock:
            crashes, cleared = self._crash_watch.take_reports()
            paces = self._backends.paces
            pace_samples, repeated_paces = paces.take() if asks_work else ((), {})
            return EntryReport(
                vm=self._vm,
                incarnation=self._incarnation,
                number=next(self._numbers),
                version=version,
                wait_ms=wait_ms,
                work=self._backends.own_work(),
                down=self._backends.found_down(self._entry.cut_off_services()),
                listing=self._backends.listing_name,
                asks_work=asks_work or (waiting is not None and waiting.wants_work()),
                places=places,
                shares=self._gate.number,
                samples=self._gate.tally.collect(self._clock.elapsed_ms()),
                crashes=crashes,
                cleared=cleared,
                sound_parts=self._crash_watch.take_sound_parts(),
                limits=self._backends.limits.announced(),
                takes_requests_at=self._entry.takes_requests_at(),
                resends=self._entry.resend_counts(),
                entry_vms=self._entry.told_entry_vms(),
                pace_samples=pace_samples,
                paces=paces.number,
                repeated_paces=repeated_paces,
                queued=waiting.queued() if waiting is not None else {},
                asked=waiting.take_asked() if waiting is not None else {},
            )

    def _with_current_resends(self, report: EntryReport) -> EntryReport:
        """Return a report with the resends until now, which a new leader would not learn later.

        The last leader may have granted resends while it was waited for.
        """
        return msgspec.structs.replace(
            report, resends=self._entry.resend_counts(), entry_vms=self._entry.told_entry_vms()
        )

    def _apply(
        self, report: EntryReport, view: ControlView | None, sent_ms: int
    ) -> ControlView | None:
        if view is not None:
            self._gate.update_shares(view.shares)
        now_ms = self._clock.elapsed_ms()
        if view is None or not view.fresh:
            self._crash_watch.requeue(report.crashes, report.cleared, sent_ms)
            self._gate.tally.on_not_collected(report.samples, now_ms)
            self._backends.paces.requeue(report.pace_samples)
        if view is not None and view.fresh:
            self._crash_watch.set_view(view.quarantined, view.suspects, view.suspect_parts)
            self._gate.tally.on_collected(report.samples, view.evidence, now_ms)
            self._gate.renew_lease(sent_ms, Duration(view.wait_ms))
            if view.work is not None:
                self._backends.set_others_work(view.work, view.placing)
            self._backends.pause_reported_down(view.down)
            self._backends.limits.merge(view.limits)
            if report.asks_work:
                paces = self._backends.paces.on_answer(view.paces, report.repeated_paces)
                self._backends.set_paces(paces.percent)
            self._entry.on_view(view, sent_ms)
            if self.waiting is not None:
                self.waiting.on_view(view)
            self._apply_listing(view, sent_ms)
        return view

    def _apply_listing(self, view: ControlView, sent_ms: int) -> None:
        if view.listing is None:
            return
        try:
            self._backends.set_shared_listing(view.listing, sent_ms)
        except ValueError as exc:
            log_decision("listing_unreadable", listing=view.listing.name, error=str(exc))


class FleetWork:
    """Fetches others' work from the leader, and reports changes from a thread of its own.

    Parameters
    ----------
    version : callable
        Returns the version of the routing document in force on this VM; 0 for none.
    """

    def __init__(self, reporter: Reporter, version: Callable[[], int]):
        self._reporter = reporter
        self._version = version
        self._changed = threading.Event()
        self._loop = Loop("fleet-work", self._report_change)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def refresh(self, places: bool = True) -> bool:
        """Fetch the work of all other entry VMs, and return whether it is up to date."""
        return self._reporter.fetch_others_work(self._version(), places)

    def on_work_changed(self) -> None:
        """Schedule a report to the leader."""
        self._changed.set()

    def _report_change(self) -> Duration:
        self._changed.wait()
        self._changed.clear()
        self._reporter.report_to_leader(self._version())
        return CHANGE_REPORT_PERIOD
