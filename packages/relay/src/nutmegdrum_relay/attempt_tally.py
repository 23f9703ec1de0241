"""Results of attempts, counted for the versions of services with a rollout."""

from nutmegdrum_coord.clock import Clock

from nutmegdrum_relay.attempt import FAILED_STATUS, Attempt, AttemptLost
from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.refusals import denies_run
from nutmegdrum_relay.retry_policy import Loss
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_relay.version_tally import FirstEventWait, TallyKey


class AttemptTally:
    """Counts attempts of services with a version under trial; does nothing for others."""

    def __init__(self, clock: Clock, gate: VersionGate):
        self._clock = clock
        self._gate = gate

    def key(self, pending: PendingRequest, backend: Backend) -> TallyKey | None:
        """Return what an attempt counts for; None outside a trial."""
        return self._gate.tally_key(pending.route.name, backend)

    def begin_wait(
        self, backend: Backend, tally_key: TallyKey | None, now_ms: int
    ) -> FirstEventWait | None:
        """Begin the wait for an attempt's first event; None if it does not count."""
        # Exclude warming-up servers: their times say nothing about the version.
        if tally_key is None or backend.listed.warming_up:
            return None
        return self._gate.tally.on_sent(tally_key, now_ms)

    def end_wait(self, wait: FirstEventWait | None, answered: bool) -> None:
        """End such a wait."""
        if wait is not None:
            self._gate.tally.on_wait_over(wait, self._clock.elapsed_ms(), answered)

    def on_loss(
        self, pending: PendingRequest, tally_key: TallyKey | None, lost: AttemptLost
    ) -> None:
        """Count an attempt without response headers, unless this VM ended it before it was sent."""
        if tally_key is None or pending.caller_gone:
            return
        if lost.loss is Loss.NOT_SENT and lost.aborted:
            return
        if lost.loss is Loss.SILENT:
            self._gate.tally.on_error(tally_key, counted=False)
        elif lost.loss in (Loss.BROKEN, Loss.NOT_SENT):
            self._gate.tally.on_crash(tally_key, counted=False)

    def on_chunk(self, attempt: Attempt) -> None:
        """Count a received chunk of an answer, and record its time in the attempt."""
        now_ms = self._clock.elapsed_ms()
        self.end_wait(attempt.wait, answered=True)
        if attempt.tally_key is None:
            pass
        elif attempt.last_data_ms is None:
            self._on_first(attempt, attempt.tally_key, now_ms)
        else:
            self._gate.tally.on_gap(attempt.tally_key, now_ms - attempt.last_data_ms)
        attempt.last_data_ms = now_ms

    def _on_first(self, attempt: Attempt, tally_key: TallyKey, now_ms: int) -> None:
        # Exclude warming-up servers: their times say nothing about the version.
        warm = not attempt.backend.listed.warming_up
        self._gate.tally.on_first_event(tally_key, now_ms - attempt.sent_ms if warm else None)

    def on_end(self, pending: PendingRequest, attempt: Attempt, failed: bool) -> None:
        """Count the end of an attempt."""
        if attempt.tally_key is None or pending.caller_gone:
            return
        counted = attempt.last_data_ms is not None
        status = attempt.answer.status
        if status >= FAILED_STATUS or denies_run(pending.route, status):
            self._gate.tally.on_error(attempt.tally_key, counted)
        elif failed:
            self._gate.tally.on_crash(attempt.tally_key, counted)
        elif not counted:
            self._on_first(attempt, attempt.tally_key, self._clock.elapsed_ms())
