"""Relay of plain requests, whose answers are buffered before they are sent to the caller."""

from typing import NamedTuple

from nutmegdrum.retries import RetryBudget
from nutmegdrum.units import Duration
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId

from nutmegdrum_relay.attempts import FAILED_STATUS, Attempts, Demanded, Lost, log_lost
from nutmegdrum_relay.callers import Call, CallerDisconnected
from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.headers import answer_headers
from nutmegdrum_relay.retry_policy import Loss, Tries, attempt_timeout, may_retry


class CompleteAnswer(NamedTuple):
    """Complete answer of a backend server."""

    status: int
    headers: Headers
    body: bytes


class PlainRelay:
    """Relays requests that are not streams.

    Parameters
    ----------
    budget : RetryBudget
        Retry budget of this entry VM.
    """

    def __init__(self, attempts: Attempts, clock: Clock, budget: RetryBudget):
        self._attempts = attempts
        self._clock = clock
        self._budget = budget

    def answer(self, call: Call, demanded: Demanded) -> int:
        """Answer a call and return the status.

        Raises
        ------
        Refusal
            If no backend server answered; its verdict says whether the request may have run.
        CallerDisconnected
            If the caller disconnected.
        """
        answer = self._fetch(demanded)
        call.answer(answer.status, answer_headers(answer.headers), answer.body)
        return answer.status

    def _fetch(self, demanded: Demanded) -> CompleteAnswer:
        self._budget.on_first_attempt()
        tried: list[BackendId] = []
        tries = Tries()
        failure: CompleteAnswer | None = None
        while True:
            backend = self._attempts.choose(demanded, tried)
            left = demanded.left(self._clock)
            if backend is None or left <= 0:
                return failure or self._give_up(demanded, tries, left)
            tried.append(backend.id)
            timeout = attempt_timeout(demanded.route, tries.progress(left))
            try:
                answer = self._attempt(demanded, backend, timeout)
                if answer.status < FAILED_STATUS:
                    return answer
                failure, loss = answer, Loss.FAILED
            except Lost as lost:
                loss = lost.loss
                log_lost(demanded, backend, lost)
            if demanded.gone:
                raise CallerDisconnected
            tries.note(loss)
            progress = tries.progress(demanded.left(self._clock))
            retry = may_retry(demanded.route, loss, progress)
            retry = retry and self._attempts.may_send_again(demanded)
            if not retry or not self._within_budget(loss):
                return failure or self._give_up(demanded, tries, progress.left)

    def _within_budget(self, loss: Loss) -> bool:
        return not loss.taken or self._budget.take(self._clock.elapsed_ms())

    def _attempt(self, demanded: Demanded, backend, timeout: Duration) -> CompleteAnswer:
        attempt = self._attempts.begin(demanded, backend, timeout)
        keep = failed = False
        try:
            body = self._attempts.read_whole(demanded, attempt, timeout)
            keep = True
            failed = attempt.answer.status >= FAILED_STATUS
            return CompleteAnswer(attempt.answer.status, attempt.answer.headers, body)
        except Lost:
            failed = True
            raise
        finally:
            self._attempts.end(demanded, attempt, keep, failed)

    def _give_up(self, demanded: Demanded, tries: Tries, left: Duration) -> CompleteAnswer:
        opens_in = self._attempts.opens_in(demanded)
        raise tries.refusal(demanded.route, left, v.OUTCOME_UNKNOWN, opens_in)
