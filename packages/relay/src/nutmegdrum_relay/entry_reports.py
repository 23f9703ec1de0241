"""Reports of the entry VMs at the state leader, merged for each of them."""

import random
import threading
from collections import Counter
from typing import NamedTuple

from nutmegdrum.peer_directory import PeerAddress, PeerDirectory
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, LogPosition, ServiceName, VmId
from nutmegdrum_scheduling.placement.paces import Paces, PaceTable
from nutmegdrum_scheduling.queueing.demand_shares import DemandShares

from nutmegdrum_relay.views import NO_WORK, EntryReport, Work

REPORT_VALID = Duration(2_000)
"""Time for which an entry VM's report is valid; several of its report intervals."""

MIN_REPORT_WAIT = Duration(100)
"""Shortest long-poll time; placement needs other VMs' work within a tenth of a prefill."""

PLACING_VALID = Duration(100)
"""Time after which an entry VM that fetched others' work counts as having placed its generation,
unless it has reported that before; it reports changed work within 20 ms and a round trip."""

REPORTS_PER_S = 300
"""Reports a second that a leader handles, besides those for each generation;
docs/design/platform.md, cost of reports."""

SHARES_VALID_MS = 100
"""Time for which the sum of all entry VMs' demand is kept, in ms; the shortest report interval."""

_MS_PER_S = 1_000
_LEADER_BITS = 32


def report_wait_ms(entry_vms: int) -> int:
    """Return the long-poll time in ms that bounds the leader's load from this many entry VMs."""
    return max(MIN_REPORT_WAIT, entry_vms * _MS_PER_S // REPORTS_PER_S)


class EntryReports:
    """Newest report of each entry VM, and their sums; thread-safe.

    The sums are updated incrementally: adding up all reports for each answer would cost quadratic
    time in the number of entry VMs.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._peers = PeerDirectory(clock, REPORT_VALID)
        self._reports: dict[VmId, tuple[int, EntryReport]] = {}
        self._work: dict[BackendId, Work] = {}
        self._down: Counter[BackendId] = Counter()
        self._placing_ms: dict[VmId, list[int]] = {}
        self._paces = PaceTable(clock, leader=random.getrandbits(_LEADER_BITS))
        self._queued: Counter[tuple[ServiceName, int]] = Counter()
        self._shares = DemandShares[ServiceName](SHARES_VALID_MS)
        self._first_ms = 0
        self._lock = threading.Lock()

    def record(self, report: EntryReport) -> None:
        """Record a report, unless a newer one of the same incarnation has arrived."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._paces.adopt(report.repeated_paces)
            self._paces.record(report.pace_samples)
            _, known = self._reports.get(report.vm, (0, None))
            same_start = known is not None and known.incarnation == report.incarnation
            if same_start and report.number < known.number:
                return
            if not self._reports:
                self._first_ms = now_ms
            self._remove(report.vm)
            self._reports[report.vm] = (now_ms, report)
            if report.places:
                self._placing_ms.setdefault(report.vm, []).append(now_ms)
            else:
                self._placing_ms.pop(report.vm, None)
            for backend, work in report.work.items():
                self._work[backend] = self._work.get(backend, NO_WORK) + work
            self._down.update(report.down)
            self._queued.update(_by_rank(report))
            self._shares.on_report(report.vm, report.asked, now_ms)
            self._peers.record(report.vm, report.takes_requests_at)

    def others(self, vm: VmId) -> "MergedReports":
        """Return the merged valid reports of all entry VMs but `vm`."""
        with self._lock:
            self._remove_expired(self._clock.elapsed_ms() - REPORT_VALID)
            _, own = self._reports.get(vm, (0, None))
            down = self._down.copy()
            count = len(self._reports) - (own is not None)
        if own is not None:
            down.subtract(own.down)
        return MergedReports(count, tuple(b for b, vms in down.items() if vms > 0))

    def placing(self, vm: VmId) -> int:
        """Return the generations that entry VMs but `vm` are placing.

        Each of them has fetched others' work, and not reported work since.
        """
        oldest_ms = self._clock.elapsed_ms() - PLACING_VALID
        with self._lock:
            current = {
                other: [at_ms for at_ms in times if at_ms >= oldest_ms]
                for other, times in self._placing_ms.items()
            }
            self._placing_ms = {other: times for other, times in current.items() if times}
            return sum(len(times) for other, times in self._placing_ms.items() if other != vm)

    def peers(self, vm: VmId, rng: random.Random) -> tuple[PeerAddress, ...]:
        """Return some entry VMs but `vm` that take requests from others, drawn at random."""
        return self._peers.others(vm, rng)

    def others_work(self, vm: VmId) -> dict[BackendId, Work]:
        """Return the work of all entry VMs but `vm` by backend server."""
        with self._lock:
            self._remove_expired(self._clock.elapsed_ms() - REPORT_VALID)
            _, own = self._reports.get(vm, (0, None))
            work = dict(self._work)
        for backend, share in own.work.items() if own is not None else ():
            work[backend] = work.get(backend, NO_WORK) - share
        return {backend: total for backend, total in work.items() if total}

    def paces(self, number: int) -> Paces | None:
        """Return the paces of servers that differ; None if those with this number are current."""
        with self._lock:
            return self._paces.newer(number)

    def others_queued(self, vm: VmId) -> dict[ServiceName, tuple[int, ...]]:
        """Return the waiting requests at all entry VMs but `vm`, by service and rank."""
        with self._lock:
            if not self._queued:
                return {}
            _, own = self._reports.get(vm, (0, None))
            queued = self._queued.copy()
        if own is not None:
            queued.subtract(_by_rank(own))
        ranks: dict[ServiceName, list[int]] = {}
        for (service, rank), count in sorted(queued.items()):
            if count > 0:
                counts = ranks.setdefault(service, [])
                counts.extend([0] * (rank - len(counts)) + [count])
        return {service: tuple(counts) for service, counts in ranks.items()}

    def capacity_shares(self, vm: VmId) -> dict[ServiceName, int]:
        """Return an entry VM's shares of the capacity of services with priorities, in ppm.

        Empty until all entry VMs can have reported to this leader; those that report first would
        get the whole capacity. They keep their shares of before.
        """
        with self._lock:
            if self._clock.elapsed_ms() - self._first_ms < REPORT_VALID:
                return {}
            return self._shares.shares(vm, len(self._reports), self._clock.elapsed_ms())

    def all_have_shares(self, shares: LogPosition) -> bool:
        """Return whether all entry VMs with a valid report have these version shares.

        False if there is no report, as after a change of leader.
        """
        with self._lock:
            self._remove_expired(self._clock.elapsed_ms() - REPORT_VALID)
            known = self._reports.values()
            return bool(known) and all(report.shares >= shares for _, report in known)

    def _remove_expired(self, oldest_ms: int) -> None:
        """Remove expired reports; the dict is in the order of their arrival."""
        while self._reports:
            vm, (at_ms, _) = next(iter(self._reports.items()))
            if at_ms >= oldest_ms:
                return
            self._remove(vm)
            self._shares.remove(vm)

    def _remove(self, vm: VmId) -> None:
        _, old = self._reports.pop(vm, (0, None))
        if old is None:
            return
        for backend, work in old.work.items():
            left = self._work.pop(backend, NO_WORK) - work
            if left:
                self._work[backend] = left
        self._queued.subtract(_by_rank(old))
        for key in _by_rank(old):
            if not self._queued[key]:
                del self._queued[key]
        self._down.subtract(old.down)
        for backend in old.down:
            if not self._down[backend]:
                del self._down[backend]


def _by_rank(report: EntryReport) -> dict[tuple[ServiceName, int], int]:
    return {
        (service, rank): count
        for service, counts in report.queued.items()
        for rank, count in enumerate(counts)
        if count
    }


class MergedReports(NamedTuple):
    """Merged reports of several entry VMs.

    Attributes
    ----------
    vms : int
        Number of the entry VMs.
    down : tuple of BackendId
        Backend servers that at least one of them found down.
    """

    vms: int
    down: tuple[BackendId, ...]
