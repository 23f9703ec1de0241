"""An entry VM's state of each backend server, from its own exchanges and load reports."""

from nutmegdrum.messages import LoadReport, LossKind

MIN_SUSPICION_MS = 1_000
"""Duration of a suspicion after the first loss, in ms; it doubles with each further loss."""

MAX_SUSPICION_MS = 16_000
"""Longest duration of a suspicion, in ms."""

DEFAULT_SLOTS = 16
"""Slots that are assumed before the first load report."""


class BackendState:
    """In-flight requests, last load report and suspicion of one backend server."""

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
        """Return the estimated load as a share of the slots.

        The load of other entry VMs is the reported load minus this VM's own at the time of the
        report; this VM's current load is known without lag.
        """
        if self._report is None:
            return self.in_flight / DEFAULT_SLOTS
        reported = self._report.running + self._report.queued
        others = max(0, reported - self._in_flight_at_report)
        return (others + self.in_flight) / max(1, self._report.slots)

    def free_slots(self) -> int:
        """Return the free slots according to the last report; negative if requests are queued."""
        if self._report is None:
            return DEFAULT_SLOTS
        return self._report.slots - self._report.running - self._report.queued

    def on_report(self, report: LoadReport) -> None:
        """Record a load report, unless it is stale.

        A report ends the suspicion of a backend server that refused or reset connections. One that
        failed in another way may send reports and still fail, so its suspicion must expire.
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
        """Return whether a report is older than the last one and not from a restarted server.

        Sequence numbers start again when the backend server restarts. Two lower numbers in rising
        order are taken as a restart.
        """
        if self._report is None or report.sequence > self._report.sequence:
            return False
        if self._restart_sequence is not None and report.sequence > self._restart_sequence:
            return False
        self._restart_sequence = report.sequence
        return True

    def on_finished(self, ok: bool) -> None:
        """Count the end of an attempt; a complete answer ends the suspicion and its backoff."""
        self.in_flight = max(0, self.in_flight - 1)
        if ok:
            self.suspected_until_ms = 0
            self.last_loss = None
            self._losses = 0

    def on_lost(self, kind: LossKind, now_ms: int) -> None:
        """Suspect the backend server for a time that doubles with each consecutive loss."""
        if now_ms < self.suspected_until_ms:
            return
        self.last_loss = kind
        duration_ms = min(MAX_SUSPICION_MS, MIN_SUSPICION_MS << min(self._losses, 8))
        self._losses += 1
        self.suspected_until_ms = now_ms + duration_ms

    def suspected(self, now_ms: int) -> bool:
        """Return whether the backend server should get no work while others can take it."""
        return now_ms < self.suspected_until_ms
