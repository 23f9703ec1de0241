"""What this entry VM knows of each backend server from its own exchanges."""

from nutmegdrum.messages import LoadReport, LossKind

MIN_SUSPICION_MS = 1_000
MAX_SUSPICION_MS = 16_000
DEFAULT_SLOTS = 16


class BackendState:
    """Own in-flight work, last load report and suspicion of one backend server."""

    def __init__(self) -> None:
        self.in_flight = 0
        self.isolated = 0
        self.suspected_until_ms = 0
        self.last_loss: LossKind | None = None
        self.role = "serve"
        self._report: LoadReport | None = None
        self._restart_sequence: int | None = None
        self._in_flight_at_report = 0
        self._losses = 0

    def load(self) -> float:
        """Return the estimated work as a share of the slots.

        Work of other entry VMs is what the last report says beyond this VM's own at that time;
        own work is known without a lag.
        """
        if self._report is None:
            return self.in_flight / DEFAULT_SLOTS
        reported = self._report.running + self._report.queued
        others = max(0, reported - self._in_flight_at_report)
        return (others + self.in_flight) / max(1, self._report.slots)

    def free_slots(self) -> int:
        """Return the free slots of the last report; negative if requests are queued."""
        if self._report is None:
            return DEFAULT_SLOTS
        return self._report.slots - self._report.running - self._report.queued

    def on_report(self, report: LoadReport) -> None:
        """Take a load report, unless it is an old one that came late.

        A report ends the suspicion of a backend server that was down; one that broke off its
        exchanges may report and still fail, so that its suspicion runs out by time.
        """
        if self._is_stale(report):
            return
        self._report = report
        self._restart_sequence = None
        self._in_flight_at_report = self.in_flight
        self.role = report.role
        if self.last_loss in (LossKind.REFUSED, LossKind.RESET):
            self.suspected_until_ms = 0

    def _is_stale(self, report: LoadReport) -> bool:
        """Return whether a report is older than the last one, and not from after a restart.

        Numbers start anew with the backend server; two lower numbers in rising order show that.
        """
        if self._report is None or report.sequence > self._report.sequence:
            return False
        if self._restart_sequence is not None and report.sequence > self._restart_sequence:
            return False
        self._restart_sequence = report.sequence
        return True

    def on_finished(self, ok: bool) -> None:
        """Count the end of an attempt; a whole answer ends suspicion and its back-off."""
        self.in_flight = max(0, self.in_flight - 1)
        if ok:
            self.suspected_until_ms = 0
            self.last_loss = None
            self._losses = 0

    def on_lost(self, kind: LossKind, now_ms: int) -> None:
        """Suspect the backend server for a time that doubles with each loss in a row."""
        if now_ms < self.suspected_until_ms:
            return
        self.last_loss = kind
        duration_ms = min(MAX_SUSPICION_MS, MIN_SUSPICION_MS << min(self._losses, 8))
        self._losses += 1
        self.suspected_until_ms = now_ms + duration_ms

    def suspected(self, now_ms: int) -> bool:
        """Return whether the backend server should get no work if another one can."""
        return now_ms < self.suspected_until_ms
