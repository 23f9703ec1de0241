"""Backend servers known to the state leader, from settings, live list and load reports."""

from collections.abc import Sequence
from enum import Enum

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId, DataCentre, ServiceName, VmId

from nutmegdrum.messages import LoadedVersion, LoadReport
from nutmegdrum.settings import BackendSettings
from nutmegdrum.units import Address

MAX_REPORT_AGE_MS = 5_000
"""Age above which a load report is stale, in ms."""


class VmKind(Enum):
    """Kind of a VM on the live list."""

    ENTRY = "entry"
    BACKEND = "backend"


class VmState(Enum):
    """State of a VM on the live list."""

    LIVE = "live"
    LEAVING = "leaving"


class ListedVm(msgspec.Struct, frozen=True, kw_only=True):
    """VM on the platform's live list."""

    id: VmId
    address: str
    kind: VmKind
    state: VmState
    data_centre: DataCentre = DataCentre("")
    service: ServiceName = ServiceName("")


class LiveList(msgspec.Struct, frozen=True, kw_only=True):
    """The platform's list of VMs; it lags behind the actual state."""

    sequence: int
    vms: list[ListedVm] = []


class FleetMember(msgspec.Struct, kw_only=True):
    """Backend server and the newest information about it.

    Attributes
    ----------
    listed : bool
        Whether it has ever been on the live list.
    gone : bool
        Whether it has been on the live list and no longer is.
    restarted_ms : ElapsedMs or None
        When a restart was detected from its load reports; a restart loses orders and weights.
    """

    cfg: BackendSettings
    listed: bool = False
    leaving: bool = False
    gone: bool = False
    report: LoadReport | None = None
    reported_ms: ElapsedMs = ElapsedMs(0)
    restarted_ms: ElapsedMs | None = None

    @property
    def loaded(self) -> list[LoadedVersion]:
        """Return the loaded versions according to the newest report."""
        return [] if self.report is None else self.report.loaded

    def reachable(self, now_ms: ElapsedMs) -> bool:
        """Return whether the newest load report is recent."""
        return self.report is not None and now_ms - self.reported_ms <= MAX_REPORT_AGE_MS


class Fleet:
    """Backend servers by id.

    Parameters
    ----------
    backends : sequence of BackendSettings
        Backend servers from the settings.
    has_live_list : bool
        Whether the platform has a live list.

    Attributes
    ----------
    revision : int
        Counter that increases whenever the backend servers shown in views change.
    """

    def __init__(self, backends: Sequence[BackendSettings], has_live_list: bool = False):
        self.revision = 0
        self._has_live_list = has_live_list
        self._serving: dict[ServiceName, list[FleetMember]] = {}
        self.members = {cfg.id: FleetMember(cfg=cfg) for cfg in backends}
        self.entry_vms: dict[VmId, ListedVm] = {}
        self._sequence = -1

    @property
    def knows_leaving(self) -> bool:
        """Return whether it is known which backend servers are leaving."""
        return self._sequence >= 0 or not self._has_live_list

    def on_live_list(self, live: LiveList) -> None:
        """Apply a live list unless a newer one is known."""
        if live.sequence < self._sequence:
            return
        if not self.knows_leaving:
            self._changed()
        self._sequence = live.sequence
        backends = {BackendId(vm.id): vm for vm in live.vms if self._names_backend(vm)}
        self.entry_vms = {vm.id: vm for vm in live.vms if vm.kind is VmKind.ENTRY}
        for backend, vm in backends.items():
            member = self.members.get(backend) or self._add(backend, vm)
            member.listed = True
            self._mark(member, leaving=vm.state is VmState.LEAVING, gone=False)
        for backend, member in self.members.items():
            if member.listed and backend not in backends:
                self._mark(member, leaving=member.leaving, gone=True)

    def _names_backend(self, vm: ListedVm) -> bool:
        """Return whether an entry names a backend server, and not another writer's by its id."""
        member = self.members.get(BackendId(vm.id))
        other = member is not None and vm.service not in ("", member.cfg.service)
        return vm.kind is VmKind.BACKEND and not other

    def on_load_report(self, now_ms: ElapsedMs, backend: BackendId, report: LoadReport) -> None:
        """Record a load report unless a newer one is known.

        A lower sequence number after reports have become stale means that the backend server
        restarted.
        """
        member = self.members.get(backend)
        if member is None:
            return
        older = member.report is not None and report.sequence < member.report.sequence
        if older and member.reachable(now_ms):
            return
        if older:
            member.restarted_ms = now_ms
        if report.loaded != member.loaded:
            self.revision += 1
        member.report = report
        member.reported_ms = now_ms

    def serving(self, service: ServiceName) -> list[FleetMember]:
        """Return the backend servers of `service` that are not leaving or gone, ordered by id."""
        known = self._serving.get(service)
        if known is None:
            known = [
                member
                for _, member in sorted(self.members.items())
                if member.cfg.service == service and not (member.leaving or member.gone)
            ]
            self._serving[service] = known
        return known

    def _mark(self, member: FleetMember, leaving: bool, gone: bool) -> None:
        if (member.leaving, member.gone) == (leaving, gone):
            return
        member.leaving = leaving
        member.gone = gone
        self._changed()

    def _changed(self) -> None:
        self.revision += 1
        self._serving = {}

    def _add(self, backend: BackendId, vm: ListedVm) -> FleetMember:
        cfg = BackendSettings(
            id=backend,
            address=Address(vm.address),
            service=vm.service,
            data_centre=vm.data_centre,
            checks_fencing=False,
        )
        self.members[backend] = FleetMember(cfg=cfg)
        self._changed()
        return self.members[backend]
