"""What entry VMs report to the leader, merged for each of them."""

import threading

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, VmId

from nutmegdrum_relay.views import NO_WORK, EntryReport, Work

REPORT_VALID = Duration(2_000)
"""Time for which an entry VM's report counts; several of its report periods."""

MIN_REPORT_WAIT = Duration(100)
"""Shortest wait of a report; placement needs what others sent within a tenth of a prompt's time."""

REPORTS_PER_S = 300
"""Reports a second that a leader takes; docs/design/platform.md, cost of reports."""

_MS_PER_S = 1_000


def report_wait_ms(entry_vms: int) -> int:
    """Return how long each entry VM's report may wait, so that a leader's work stays bounded."""
    return max(MIN_REPORT_WAIT, entry_vms * _MS_PER_S // REPORTS_PER_S)


class EntryReports:
    """Newest report of each entry VM; thread-safe."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._reports: dict[VmId, tuple[int, EntryReport]] = {}
        self._lock = threading.Lock()

    def note(self, report: EntryReport) -> None:
        """Take a report, and forget those that are too old to count."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._reports[report.vm] = (now_ms, report)
            self._reports = {
                vm: (at_ms, each)
                for vm, (at_ms, each) in self._reports.items()
                if now_ms - at_ms <= REPORT_VALID
            }

    def others(self, vm: VmId) -> "MergedReports":
        """Return what all entry VMs but `vm` have reported."""
        oldest_ms = self._clock.elapsed_ms() - REPORT_VALID
        with self._lock:
            return MergedReports(
                [
                    report
                    for other, (at_ms, report) in self._reports.items()
                    if other != vm and at_ms >= oldest_ms
                ]
            )


class MergedReports:
    """Reports of several entry VMs as one."""

    def __init__(self, reports: list[EntryReport]):
        self._reports = reports

    def __len__(self) -> int:
        return len(self._reports)

    def work(self) -> dict[BackendId, Work]:
        """Return the work that these VMs have at each backend server."""
        total: dict[BackendId, Work] = {}
        for report in self._reports:
            for backend, work in report.work.items():
                total[backend] = total.get(backend, NO_WORK) + work
        return total

    def down(self) -> tuple[BackendId, ...]:
        """Return the backend servers that any of these VMs found down."""
        return tuple({backend for report in self._reports for backend in report.down})
