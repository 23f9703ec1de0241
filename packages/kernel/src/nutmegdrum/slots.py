"""Estimate of one entry VM's share of the free slots at backend servers."""

import math
from collections import deque

REPORT_LAG_MS = 500
"""Age of a load report when it arrives, in ms."""

STALE_MS = 5_000
"""Age above which load reports are ignored, in ms."""

UNKNOWN_FREE = 1_000_000
"""Number of free slots that is assumed without recent reports, so that only this VM's own limits
apply."""


class SlotEstimate:
    """Estimate of the free slots that this VM may fill.

    Load reports lag, and all entry VMs see the same free slots. If each VM filled all of them, the
    backend servers would be overloaded and requests would queue there for a long time. Each VM
    therefore takes an equal share and subtracts the requests that it has started since the reports
    were made.

    Parameters
    ----------
    entry_vms : int
        Number of entry VMs that share the backend servers.
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
        """Record the number of this VM's requests in flight at backend servers."""
        self._history.append((now_ms, own))
        while len(self._history) > 1 and self._history[1][0] <= now_ms - self._lag_ms:
            self._history.popleft()

    def on_reports(self, free: int, now_ms: int) -> None:
        """Record the sum of free slots over all reports; negative if requests are queued."""
        self._free = free
        self._reported_ms = now_ms
        old = [own for at_ms, own in self._history if at_ms <= now_ms - self._lag_ms]
        self._own_at_report = old[-1] if old else 0

    def free(self, own: int, now_ms: int) -> int:
        """Return how many slots this VM may fill now; zero or less means none."""
        if self._reported_ms is None or now_ms - self._reported_ms > STALE_MS:
            return UNKNOWN_FREE
        return math.ceil(self._free / self._entry_vms) - (own - self._own_at_report)
