"""Relay of plain requests, whose answers are buffered before they are sent to the caller."""

from typing import NamedTuple

from nutmegdrum.units import Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from nutmegdrum_scheduling.resends.kinds import Resend

from nutmegdrum_relay.attempt import FAILED_STATUS, AttemptLost, check_status
from nutmegdrum_relay.attempts import Attempts, log_attempt_lost
from nutmegdrum_relay.backends import Backend
from nutmegdrum_relay.callers import Call, CallerDisconnected
from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.headers import answer_headers
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.resends import Resends
from nutmegdrum_relay.retry_policy import FailedAttempts, Loss, attempt_timeout, may_retry
from nutmegdrum_relay.selection import Selection
from nutmegdrum_relay.upstream import AbortReason


class CompleteAnswer(NamedTuple):
    """Complete answer of a backend server."""

    status: int
    headers: Headers
    body: bytes | bytearray

    def deliver(self, call: Call) -> int:
        """Answer a call and return the status.

        Raises
        ------
        CallerDisconnected
            If the caller disconnected.
        """
        call.answer(self.status, answer_headers(self.headers), self.body)
        return self.status


class PlainRelay:
    """Relays requests that are not streams.

    Parameters
    ----------
    resends : Resends
        Allows or refuses to send a request again.
    """

    def __init__(self, selection: Selection, attempts: Attempts, clock: Clock, resends: Resends):
        self._selection = selection
        self._attempts = attempts
        self._clock = clock
        self._resends = resends

    def fetch(self, pending: PendingRequest) -> CompleteAnswer:
        """Return the answer of a backend server.

        Raises
        ------
        Refusal
            If no backend server answered; its verdict says whether the request may have run.
        CallerDisconnected
            If the caller disconnected.
        """
        self._resends.on_request(pending)
        tried: list[BackendId] = []
        failed_attempts = FailedAttempts()
        failure: CompleteAnswer | None = None
        while True:
            backend = self._selection.choose(pending, tried)
            left = pending.time_to_deadline(self._clock)
            if backend is None or left <= 0:
                return failure or self._give_up(pending, failed_attempts, left)
            # The choice may have waited for longer than the permission is valid.
            if not self._resends.allows(pending, Resend.RETRY):
                return failure or self._give_up(pending, failed_attempts, left)
            tried.append(backend.id)
            timeout = attempt_timeout(pending.route, failed_attempts.progress(left))
            if backend.is_entry_vm:
                timeout = left
            no_memory = False
            try:
                answer = self._attempt(pending, backend, timeout, failed_attempts)
                if answer.status < FAILED_STATUS:
                    return answer
                failure, loss = answer, Loss.FAILED
                pending.resend_reason = loss.value
            except AttemptLost as lost:
                loss = lost.loss
                log_attempt_lost(pending, backend, lost)
                # Another server's answer would find no more room.
                no_memory = lost.aborted is AbortReason.NO_MEMORY
            if pending.caller_gone:
                raise CallerDisconnected
            failed_attempts.record(loss, self._attempts.servers_reached(pending, backend))
            pending.sent = failed_attempts.sent
            progress = failed_attempts.progress(pending.time_to_deadline(self._clock))
            retry = not no_memory and may_retry(pending.route, loss, progress)
            retry = retry and self._attempts.may_resend(pending)
            if not retry or not self._resends.allows(pending, Resend.RETRY):
                return failure or self._give_up(pending, failed_attempts, progress.left)

    def _attempt(
        self,
        pending: PendingRequest,
        backend: Backend,
        timeout: Duration,
        failed_attempts: FailedAttempts,
    ) -> CompleteAnswer:
        attempt = self._attempts.begin(
            pending, backend, timeout, lambda: self._longer(pending, failed_attempts)
        )
        keep = failed = False
        loss: Loss | None = None
        try:
            body = self._attempts.read_body(pending, attempt, timeout)
            keep = True
            status = attempt.answer.status
            failed = status >= FAILED_STATUS
            check_status(pending.route, status)
            return CompleteAnswer(status, attempt.answer.headers, body)
        except AttemptLost as lost:
            # A shortage of this VM's memory says nothing about the server.
            failed = lost.aborted is not AbortReason.NO_MEMORY
            loss = lost.loss
            raise
        finally:
            self._attempts.end(pending, attempt, keep, failed, loss)

    def _longer(self, pending: PendingRequest, failed_attempts: FailedAttempts) -> Duration:
        """Return how much longer to wait for a silent server: 0 if another one may be asked."""
        left = pending.time_to_deadline(self._clock)
        progress = failed_attempts.progress(left)
        progress = progress._replace(sent=progress.sent + 1)
        retries = may_retry(pending.route, Loss.SILENT, progress)
        if retries and self._resends.allows(pending, Resend.RETRY):
            return Duration(0)
        return Duration(max(0, left))

    def _give_up(
        self, pending: PendingRequest, failed_attempts: FailedAttempts, left: Duration
    ) -> CompleteAnswer:
        backoff_left = self._selection.backoff_left(pending)
        raise failed_attempts.refusal(pending.route, left, v.OUTCOME_UNKNOWN, backoff_left)
