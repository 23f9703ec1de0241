"""Estimate of the free slots at backend servers that one entry VM may fill."""

import math
from collections import deque

REPORT_LAG_MS = 500
STALE_MS = 5_000
UNKNOWN_FREE = 1_000_000
"""Returned while no report is recent, so that only this VM's own limits hold."""


class SlotEstimate:
    """Part of the free slots that falls to this VM since the last reports.

    Reports lag, and each entry VM sees the same free slots. A VM that took all of them for itself
    would overfill the backend servers with the others, then all would wait for long; so each
    takes an equal part, and counts what it has started since the reports were made.

    Parameters
    ----------
    entry_vms : int
        Entry VMs that share the backend servers.
    lag_ms : int
        Age of a report when it arrives, in ms.
    """

    def __init__(self, entry_vms: int, lag_ms: int = REPORT_LAG_MS):
        self._entry_vms = max(1, entry_vms)
        self._lag_ms = lag_ms
        self._free = 0
        self._reported_ms: int | None = None
        self._own_at_report = 0
        self._history: deque[tuple[int, int]] = deque()

    def on_own(self, own: int, now_ms: int) -> None:
        """Take the number of requests that this VM has at backend servers now."""
        self._history.append((now_ms, own))
        while len(self._history) > 1 and self._history[1][0] <= now_ms - self._lag_ms:
            self._history.popleft()

    def on_reports(self, free: int, now_ms: int) -> None:
        """Take the free slots of all reports together; negative if requests are queued."""
        self._free = free
        self._reported_ms = now_ms
        old = [own for at_ms, own in self._history if at_ms <= now_ms - self._lag_ms]
        self._own_at_report = old[-1] if old else 0

    def free(self, own: int, now_ms: int) -> int:
        """Return the slots that this VM may fill now; none if the result is not positive."""
        if self._reported_ms is None or now_ms - self._reported_ms > STALE_MS:
            return UNKNOWN_FREE
        return math.ceil(self._free / self._entry_vms) - (own - self._own_at_report)
