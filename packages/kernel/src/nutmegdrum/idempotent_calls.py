"""Idempotent calls to plain services, retried within the retry budget."""

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint, ServiceName
from nutmegdrum_coord.verdict import BACKEND_LOST, RETRY_BUDGET_SPENT, Reason, Refusal, Verdict

from nutmegdrum import metrics
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.messages import BackendLost
from nutmegdrum.peer_exchange import PASSED_ON_HEADER
from nutmegdrum.plain_http import PlainCall, PlainReply, PlainSender
from nutmegdrum.retries import Resend, RetryBudget
from nutmegdrum.routing_query import Choice, RouteQuery, Routing
from nutmegdrum.settings import Settings

ATTEMPT_TIMEOUT_MS = 2_000
"""Time-out of each attempt but the last, in ms."""

MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1_000
"""Backoff hint of refusals, in ms."""

RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""HTTP status codes after which a call is retried."""


class IdempotentCalls:
    """Runs idempotent calls, with retries on other backend servers until one replies.

    Parameters
    ----------
    cfg : Settings
        Time-outs.
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
        """Return the first final reply, or the last reply with a retryable status.

        Raises
        ------
        Refusal
            If no backend server replied.
        """
        deadline_ms = self._clock.elapsed_ms() + self._cfg.claims.call_timeout
        excluded: frozenset[BackendId] = frozenset()
        last: PlainReply | None = None
        sent = may_send_again = False
        verdict = Verdict.NOT_RUN
        service = ServiceName(query.model)
        if PASSED_ON_HEADER not in call.headers:
            self._budget.on_request(service)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            choice = self._routing.choose(msgspec.structs.replace(query, excluded=excluded))
            if isinstance(choice, Reason):
                return _reply_or_refuse(last, choice, verdict)
            excluded |= {choice.backend.id}
            try:
                last = self._send(choice, call._replace(attempt=attempt), deadline_ms)
                sent, may_send_again = True, False
                self._guard.on_attempt_end(fingerprint, cleared=True)
                if last.status not in RETRYABLE_STATUSES:
                    return last
            except BackendLost as exc:
                if exc.sent:
                    sent, may_send_again = True, False
                    verdict = Verdict.MAY_HAVE_RUN
                self._guard.on_loss(fingerprint, exc.backend, exc.kind)
            if self._clock.elapsed_ms() >= deadline_ms:
                return _reply_or_refuse(last, BACKEND_LOST, verdict)
            if attempt == MAX_ATTEMPTS:
                break
            may_send_again = may_send_again or not sent or self._budget.take(service, Resend.RETRY)
            if not may_send_again:
                metrics.RETRIES.labels("budget-spent").inc()
                return _reply_or_refuse(last, RETRY_BUDGET_SPENT, verdict)
            metrics.RETRIES.labels("made").inc()
        return _reply_or_refuse(last, BACKEND_LOST, verdict)

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


def _reply_or_refuse(last: PlainReply | None, reason: Reason, verdict: Verdict) -> PlainReply:
    """Return the last reply, or raise the refusal if there is none."""
    if last is not None:
        return last
    raise Refusal(reason, verdict, RETRY_AFTER_MS)
