"""Idempotent calls of plain services, repeated within the retry budget."""

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint
from nutmegdrum_coord.verdict import BACKEND_LOST, RETRY_BUDGET_SPENT, Reason, Refusal, Verdict

from nutmegdrum import metrics
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.messages import BackendLost
from nutmegdrum.plain_http import PlainCall, PlainReply, PlainSender
from nutmegdrum.retries import RetryBudget
from nutmegdrum.routing_query import Choice, RouteQuery, Routing
from nutmegdrum.settings import Settings

ATTEMPT_TIMEOUT_MS = 2_000
MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1_000
RETRYABLE_STATUSES = frozenset({502, 503, 504})


class IdempotentCalls:
    """Runs idempotent calls on one backend server after another until one replies.

    Parameters
    ----------
    cfg : Settings
        Timeouts.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        routing: Routing,
        guard: CrashGuard,
        budget: RetryBudget,
        sender: PlainSender,
    ):
        self._cfg = cfg
        self._clock = clock
        self._routing = routing
        self._guard = guard
        self._budget = budget
        self._sender = sender

    def handle(self, query: RouteQuery, call: PlainCall, fingerprint: Fingerprint) -> PlainReply:
        """Return the first reply, or the last one that asked for a retry.

        Raises
        ------
        Refusal
            If no backend server replied.
        """
        deadline_ms = self._clock.elapsed_ms() + self._cfg.claims.call_timeout
        excluded: frozenset[BackendId] = frozenset()
        last: PlainReply | None = None
        verdict = Verdict.NOT_RUN
        self._budget.on_first_attempt()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            choice = self._routing.choose(msgspec.structs.replace(query, excluded=excluded))
            if isinstance(choice, Reason):
                return _final(last, choice, verdict)
            excluded |= {choice.backend.id}
            try:
                last = self._send(choice, call._replace(attempt=attempt), deadline_ms)
                self._guard.ended(fingerprint, cleared=True)
                if last.status not in RETRYABLE_STATUSES:
                    return last
            except BackendLost as exc:
                if exc.sent:
                    verdict = Verdict.MAY_HAVE_RUN
                self._guard.lost(fingerprint, exc.backend, exc.kind)
            if self._clock.elapsed_ms() >= deadline_ms:
                return _final(last, BACKEND_LOST, verdict)
            if not self._budget.take(self._clock.elapsed_ms()):
                metrics.RETRIES.labels("budget-spent").inc()
                return _final(last, RETRY_BUDGET_SPENT, verdict)
            metrics.RETRIES.labels("made").inc()
        return _final(last, BACKEND_LOST, verdict)

    def _send(self, choice: Choice, call: PlainCall, deadline_ms: int) -> PlainReply:
        left_ms = max(1, deadline_ms - self._clock.elapsed_ms())
        timeout_ms = left_ms if call.attempt == MAX_ATTEMPTS else min(left_ms, ATTEMPT_TIMEOUT_MS)
        backend = choice.backend
        self._routing.started(backend.id)
        ok = False
        try:
            reply = self._sender.send(
                backend, call, lambda: True, self._cfg.streams.connect_timeout, timeout_ms
            )
            ok = True
            return reply
        except BackendLost as exc:
            self._routing.lost(exc.backend, exc.kind)
            raise
        finally:
            self._routing.finished(backend.id, ok)


def _final(last: PlainReply | None, why: Reason, verdict: Verdict) -> PlainReply:
    """Return the last reply, or raise why there is none."""
    if last is not None:
        return last
    raise Refusal(why, verdict, RETRY_AFTER_MS)
