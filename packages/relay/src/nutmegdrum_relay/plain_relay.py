"""Requests whose answers are short: read whole from a backend server, then passed on."""

from typing import NamedTuple

from nutmegdrum.retries import RetryBudget
from nutmegdrum.units import Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId

from nutmegdrum_relay.attempts import (
    FAILED_STATUS,
    AttemptLost,
    Attempts,
    PendingRequest,
    log_attempt_lost,
)
from nutmegdrum_relay.callers import Call, CallerDisconnected
from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.headers import answer_headers
from nutmegdrum_relay.retry_policy import FailedAttempts, Loss, attempt_timeout, may_retry


class Whole(NamedTuple):
    """A backend server's whole answer."""

    status: int
    headers: Headers
    body: bytes


class PlainRelay:
    """Relays requests that are no streams.

    Parameters
    ----------
    budget : RetryBudget
        Retries of this entry VM.
    """

    def __init__(self, attempts: Attempts, clock: Clock, budget: RetryBudget):
        self._attempts = attempts
        self._clock = clock
        self._budget = budget

    def answer(self, call: Call, pending: PendingRequest) -> int:
        """Answer a call and return the status.

        Raises
        ------
        Refusal
            If no backend server answered; its verdict says whether the request may have run.
        CallerDisconnected
            If the caller left.
        """
        whole = self._fetch(pending)
        call.answer(whole.status, answer_headers(whole.headers), whole.body)
        return whole.status

    def _fetch(self, pending: PendingRequest) -> Whole:
        self._budget.on_first_attempt()
        tried: list[BackendId] = []
        failed_attempts = FailedAttempts()
        failure: Whole | None = None
        while True:
            backend = self._attempts.choose(pending, tried)
            left = pending.time_to_deadline(self._clock)
            if backend is None or left <= 0:
                return failure or self._give_up(pending, failed_attempts, left)
            tried.append(backend.id)
            timeout = attempt_timeout(pending.route, failed_attempts.progress(left))
            try:
                whole = self._attempt(pending, backend, timeout)
                if whole.status < FAILED_STATUS:
                    return whole
                failure, loss = whole, Loss.FAILED
            except AttemptLost as lost:
                loss = lost.loss
                log_attempt_lost(pending, backend, lost)
            if pending.caller_gone:
                raise CallerDisconnected
            failed_attempts.record(loss)
            progress = failed_attempts.progress(pending.time_to_deadline(self._clock))
            again = may_retry(pending.route, loss, progress)
            again = again and self._attempts.may_resend(pending)
            if not again or not self._may_spend(loss):
                return failure or self._give_up(pending, failed_attempts, progress.left)

    def _may_spend(self, loss: Loss) -> bool:
        return not loss.reached_backend or self._budget.take(self._clock.elapsed_ms())

    def _attempt(self, pending: PendingRequest, backend, timeout: Duration) -> Whole:
        attempt = self._attempts.begin(pending, backend, timeout)
        keep = failed = False
        try:
            body = self._attempts.read_body(pending, attempt, timeout)
            keep = True
            failed = attempt.answer.status >= FAILED_STATUS
            return Whole(attempt.answer.status, attempt.answer.headers, body)
        except AttemptLost:
            failed = True
            raise
        finally:
            self._attempts.end(pending, attempt, keep, failed)

    def _give_up(
        self, pending: PendingRequest, failed_attempts: FailedAttempts, left: Duration
    ) -> Whole:
        backoff_left = self._attempts.backoff_left(pending)
        raise failed_attempts.refusal(pending.route, left, v.OUTCOME_UNKNOWN, backoff_left)
