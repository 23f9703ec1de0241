"""Retry budget of all entry VMs together, from which the state leader grants resends.

The leader knows the requests of all VMs from their reports, so that what one VM does not use is
there for the others.
"""

import threading
import zlib
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from nutmegdrum_coord.clock import Clock, Duration
from nutmegdrum_coord.ids import IncarnationId, ServiceName, VmId
from prometheus_client import Gauge

from nutmegdrum_scheduling.resends.kinds import Resend
from nutmegdrum_scheduling.resends.leases import LEASE_VALID, ResendCounts
from nutmegdrum_scheduling.resends.windows import PERMIT_VALID, RequestHistory, WindowCount

RATIO_MARGIN = 0.9
"""Part of the ratio that is granted. Requests count when they are reported, up to 1.3 s late with
400 entry VMs, which would keep those of an earlier window too long."""

PARTS = 6
"""Parts of the slack. One is for all entry VMs while no leader answers, and one for a new leader
that does not know yet what was used."""

RECOVERY_SHARE = 0.3
"""Share of the budget that only recoveries may use; about one loss of a third of the servers."""

LEASE_SHARE = 0.3
"""Share of the budget that is leased in advance, for a time without a leader. Leased permits that
are not used are lost to the other VMs. With 0.15, 0.3 and 0.45, 69 VMs could resend 0.23, 0.38 and
0.53 of the lost streams at once without a leader, and 0.99, 0.95 and 0.90 with one."""

REPORTED_AFTER = Duration(2_000)
"""Time in a term in which all entry VMs that are there have reported, up to 400 of them. Before it,
a new leader awaits all of them, as a few may have used most of the budget."""

MISSING_SHARES = 2
"""Equal shares of the budget charged for an entry VM that a new leader has not heard from; some
VMs use more than others."""

LOST_SHARES = 1
"""Shares charged for one that is still missing after `LOST_AFTER`."""

LOST_AFTER = Duration(4_000)
"""Time in a term after which an entry VM that has not reported counts as lost; three report
intervals of 400 entry VMs."""

BUDGET = Gauge(
    "nutmegdrum_resend_budget",
    "Resends of the window at the state leader: used, of them leased, and the total",
    ["service", "part"],
)

_SWEEP = Duration(500)
_HASHES = 1 << 32


class BudgetRule(NamedTuple):
    """Bound on the resends to one service in any window, over all entry VMs.

    Attributes
    ----------
    ratio : float
        Resends for each request of the window.
    slack : int
        Further resends.
    """

    ratio: float
    window: Duration
    slack: int

    @property
    def part(self) -> int:
        """Return the resends of all entry VMs while nobody knows what was used."""
        return self.slack // PARTS

    @property
    def counted(self) -> Duration:
        """Return the time for which a permit counts after it was taken."""
        return Duration(self.window + PERMIT_VALID)

    def granted(self, requests: float) -> float:
        """Return the resends that a leader may grant in a window."""
        return RATIO_MARGIN * self.ratio * requests + self.slack - 2 * self.part


class _VmAccount:
    """What is known of one entry VM's permits for one service."""

    def __init__(self, incarnation: IncarnationId, counts: ResendCounts):
        self.incarnation = incarnation
        self.counts = counts
        self.issued: list[tuple[int, int]] = []
        self.seen_ms = 0

    def outstanding(self) -> int:
        """Return the leased permits that the VM may have used or may use yet."""
        # Answers may overtake each other, so that the VM may hold a lease that was superseded here.
        limit = max(self.counts.lease_limit, *(limit for limit, _ in self.issued), 0)
        return max(0, limit - self.counts.leased)

    def issue(self, limit: int, now_ms: int) -> None:
        """Record a lease; earlier ones count until the VM reports this one."""
        self.issued = [(known, ms) for known, ms in self.issued if known != limit]
        self.issued.append((limit, now_ms))

    def on_held(self, limit: int) -> None:
        """Drop the leases from before the one that the VM has."""
        held = [index for index, (known, _) in enumerate(self.issued) if known == limit]
        if held:
            self.issued = self.issued[held[0] :]


class _ServiceAccount:
    """Requests, resends and leases of one service; not thread-safe."""

    def __init__(self, rule: BudgetRule):
        self.requests = RequestHistory(rule.window)
        self.resends = WindowCount(rule.counted)
        self.granted_blind = 0
        self.reported_ms = 0
        self._expiry_ms = int(LEASE_VALID + rule.counted)
        self._vms: dict[VmId, _VmAccount] = {}
        self._leased = 0
        self._recent_requests = 0
        self._swept_ms = 0

    def record(
        self, vm: VmId, incarnation: IncarnationId, counts: ResendCounts, now_ms: int
    ) -> None:
        """Add what has changed since the last report of an entry VM."""
        account = self._vms.get(vm)
        self._subtract(account)
        if account is None:
            self.requests.add_spread(now_ms, counts.recent_requests)
            self.resends.add(now_ms, counts.recent_resends)
            account = self._vms[vm] = _VmAccount(incarnation, counts)
            account.issue(counts.lease_limit, now_ms)
        elif account.incarnation != incarnation:
            # The process before may have used its lease to the end without a further report.
            self.resends.add(now_ms, account.outstanding() + counts.leased + counts.unasked)
            self.requests.add_spread(now_ms, counts.recent_requests)
            account = self._vms[vm] = _VmAccount(incarnation, counts)
        elif counts.is_no_earlier_than(last := account.counts):
            used = counts.leased - last.leased + counts.unasked - last.unasked
            self.requests.add(now_ms, counts.requests - last.requests)
            self.resends.add(now_ms, used)
            account.counts = counts
            account.on_held(counts.lease_limit)
        account.seen_ms = self.reported_ms = now_ms
        self._add(account)

    def lease(self, vm: VmId, total: float, now_ms: int) -> int | None:
        """Return the new limit of an entry VM's leased permits; None if it has not reported."""
        account = self._vms.get(vm)
        if account is None:
            return None
        share = account.counts.recent_requests / max(1, self._recent_requests)
        # Which of many VMs with few requests each hold one is fixed by their names.
        fraction = zlib.crc32(vm.encode()) / _HASHES
        count = int(LEASE_SHARE * total * share + fraction)
        others = self.used(now_ms) - account.outstanding()
        if others + count > total * (1 - RECOVERY_SHARE):
            count = 0
        limit = account.counts.leased + count
        self._subtract(account)
        account.issue(limit, now_ms)
        self._add(account)
        return limit

    def used(self, now_ms: int) -> int:
        """Return the resends of the last window, with those that VMs may make by their leases."""
        if now_ms - self._swept_ms >= _SWEEP:
            self._swept_ms = now_ms
            self._sweep(now_ms - self._expiry_ms)
        return self.resends.total(now_ms) + self._leased

    def leased(self) -> int:
        """Return the leased permits that VMs may have used or may use yet."""
        return self._leased

    def _sweep(self, oldest_ms: int) -> None:
        for account in self._vms.values():
            account.issued = [(limit, ms) for limit, ms in account.issued if ms > oldest_ms]
        self._vms = {vm: each for vm, each in self._vms.items() if each.seen_ms > oldest_ms}
        self._leased = self._recent_requests = 0
        for account in self._vms.values():
            self._add(account)

    def _add(self, account: _VmAccount) -> None:
        self._leased += account.outstanding()
        self._recent_requests += account.counts.recent_requests

    def _subtract(self, account: _VmAccount | None) -> None:
        if account is not None:
            self._leased -= account.outstanding()
            self._recent_requests -= account.counts.recent_requests


class FleetBudget:
    """Retry budget that the state leader keeps for all entry VMs; thread-safe."""

    def __init__(
        self, clock: Clock, rule: BudgetRule, log: Callable[..., object] = lambda *_, **__: None
    ):
        self._clock = clock
        self._rule = rule
        self._log = log
        self._lock = threading.Lock()
        self._term = -1
        self._begin(-1)

    def begin_term(self, term: int) -> None:
        """Forget everything if this replica leads in a later term, as others granted meanwhile.

        A thread may have read an earlier term just before; it does not end the later one.
        """
        with self._lock:
            if term > self._term:
                self._begin(term)

    def _begin(self, term: int) -> None:
        rule = self._rule
        self._term = term
        self._began_ms = self._clock.elapsed_ms()
        self._heard: set[VmId] = set()
        self._started: set[VmId] = set()
        """VMs whose process has started since the last leader, and does not know what was used."""
        self._told_before = 0
        self._replaced: set[tuple[VmId, IncarnationId]] = set()
        self._incarnations: dict[VmId, IncarnationId] = {}
        self._entry_vms = 0
        self._services: defaultdict[ServiceName, _ServiceAccount] = defaultdict(
            lambda: _ServiceAccount(rule)
        )

    def record(
        self,
        vm: VmId,
        incarnation: IncarnationId,
        counts: dict[ServiceName, ResendCounts],
        entry_vms: int,
    ) -> None:
        """Record the counts of an entry VM's report.

        Parameters
        ----------
        entry_vms : int
            Number of entry VMs as the last leader told it; 0 if unknown.
        """
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            if (vm, incarnation) in self._replaced:
                return
            if vm not in self._incarnations:
                self._told_before = max(self._told_before, entry_vms)
                (self._heard if entry_vms else self._started).add(vm)
            last = self._incarnations.get(vm, incarnation)
            if last != incarnation:
                # A late report of the process before must not count as another restart.
                self._replaced.add((vm, last))
            self._incarnations[vm] = incarnation
            self._entry_vms = max(self._entry_vms, entry_vms)
            for service, each in counts.items():
                self._services[service].record(vm, incarnation, each, now_ms)

    def entry_vms(self, reporting: int) -> int:
        """Return the number of entry VMs to tell them, each of which takes an equal part.

        It does not fall below what earlier leaders told until the leases of the term before have
        expired, since a new leader has heard from few VMs.

        Parameters
        ----------
        reporting : int
            Entry VMs with a valid report.
        """
        with self._lock:
            if self._clock.elapsed_ms() - self._began_ms >= LEASE_VALID:
                return reporting
            return max(reporting, self._entry_vms)

    def leases(self, vm: VmId) -> dict[ServiceName, int]:
        """Return the limits of an entry VM's leased permits by service; the others stay."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            known = self._known_share(now_ms)
            if not known:
                return {}
            limits = {}
            for service, account in self._services.items():
                total = self._total(account, known, now_ms)
                limit = account.lease(vm, total, now_ms)
                BUDGET.labels(service, "used").set(account.used(now_ms))
                BUDGET.labels(service, "leased").set(account.leased())
                BUDGET.labels(service, "total").set(total)
                if limit is not None:
                    limits[service] = limit
            return limits

    def grant(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it."""
        now_ms = self._clock.elapsed_ms()
        share = 1.0 if kind is Resend.RECOVERY else 1 - RECOVERY_SHARE
        with self._lock:
            account = self._services[service]
            known = self._known_share(now_ms)
            total, used = self._total(account, known, now_ms), account.used(now_ms)
            granted = used + 1 <= total * share
            if not granted and known < 1:
                used, total = account.granted_blind, self._blind_total(now_ms)
                granted = used + 1 <= total * share
            if granted:
                account.resends.add(now_ms)
                account.granted_blind += known < 1
        if not granted:
            self._log(
                "resend_denied",
                service=service,
                resend=kind.value,
                used=used,
                total=int(total),
                entry_vms=len(self._heard),
                report_age_ms=now_ms - account.reported_ms if account.reported_ms else None,
                since_term_ms=now_ms - self._began_ms,
            )
        return granted

    def _blind_total(self, now_ms: int) -> float:
        """Return the resends that may be granted in this term without knowing what was used.

        They accrue with the time of the term, so that leaders that replace each other within a
        window grant no more than one part together.
        """
        age_ms = min(now_ms - self._began_ms, int(self._rule.window))
        return self._rule.part * age_ms / self._rule.window

    def _total(self, account: _ServiceAccount, known: float, now_ms: int) -> float:
        if not known:
            return 0.0
        # The shares of the missing VMs are shares of a budget that counts their requests too.
        requests = account.requests.counted(now_ms) / self._heard_share(now_ms)
        return known * self._rule.granted(requests)

    def _known_share(self, now_ms: int) -> float:
        """Return the share of the budget whose use is known; 0 for a new leader.

        What missing VMs may have used is charged for the whole of this time, although VMs that are
        lost use nothing any more, since it stays in the window and their leases outlast a leader.
        """
        age_ms, heard = now_ms - self._began_ms, self._heard_share(now_ms)
        if age_ms < REPORTED_AFTER and heard < 1:
            return 0.0
        charged = LOST_SHARES if age_ms >= LOST_AFTER else MISSING_SHARES
        return max(0.0, 1 - charged * (1 - heard))

    def _heard_share(self, now_ms: int) -> float:
        """Return the share of the earlier entry VMs that have reported in this term.

        One that was restarted since then does not know what its last process has used. After a
        window, and the time of a lease, what an earlier leader granted does not count any more.
        """
        age_ms = now_ms - self._began_ms
        if age_ms >= LEASE_VALID + self._rule.counted:
            return 1.0
        if not self._heard:
            # If all have started since, nobody is waited for.
            return float(bool(self._started) and age_ms >= REPORTED_AFTER)
        return min(1.0, len(self._heard) / self._told_before)
