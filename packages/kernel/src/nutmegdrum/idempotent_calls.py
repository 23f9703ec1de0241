"""Idempotent calls to plain services, retried within the retry budget."""

from typing import NamedTuple

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint, ServiceName
from nutmegdrum_coord.verdict import (
    BACKEND_LOST,
    NO_BACKEND,
    RETRY_BUDGET_SPENT,
    Reason,
    Refusal,
    Verdict,
)
from nutmegdrum_scheduling.resends.budget import RetryBudget
from nutmegdrum_scheduling.resends.kinds import Resend

from nutmegdrum import metrics
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.deadlines import answer_by
from nutmegdrum.messages import BackendLost, LossKind
from nutmegdrum.peer_exchange import PASSED_ON_HEADER
from nutmegdrum.plain_http import PlainCall, PlainReply, PlainSender
from nutmegdrum.routing_query import Choice, RouteQuery, Routing
from nutmegdrum.settings import Settings
from nutmegdrum.silence import ASK_INTERVAL_MS
from nutmegdrum.units import Duration

ATTEMPT_TIMEOUT_MS = 2_000
"""Time-out of an attempt that may be repeated, in ms."""

MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1_000
"""Backoff hint of refusals, in ms."""

RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""HTTP status codes after which a call is retried."""


class _Excluded(NamedTuple):
    """Backend servers that have lost an attempt of a call."""

    silent: frozenset[BackendId] = frozenset()
    other: frozenset[BackendId] = frozenset()

    def add(self, backend: BackendId, is_silent: bool) -> "_Excluded":
        """Return this with another backend server."""
        if is_silent:
            return self._replace(silent=self.silent | {backend})
        return self._replace(other=self.other | {backend})


def attempt_timeout_ms(left_ms: int, is_last: bool) -> int:
    """Return the time-out of an attempt, in ms.

    The last attempt, or one whose successor would be too short to outlast the silence of a sound
    backend server, may take all the time that is left.
    """
    if is_last or left_ms < 2 * ATTEMPT_TIMEOUT_MS:
        return left_ms
    return ATTEMPT_TIMEOUT_MS


class _Permission:
    """Permission of one call to be sent again; it holds until the call is sent."""

    def __init__(self, budget: RetryBudget, service: ServiceName):
        self._budget = budget
        self._service = service
        self._granted_attempt = 0
        self._sent_attempt = 0

    def on_sent(self, attempt: int) -> None:
        """Record that a backend server may have got an attempt at the call."""
        self._sent_attempt = attempt

    def take(self) -> bool:
        """Return whether the call may be sent again; its first send needs no permission."""
        if self._sent_attempt > self._granted_attempt:
            if not self._budget.take(self._service, Resend.RETRY):
                return False
            self._granted_attempt = self._sent_attempt
        return True


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
        deadline_ms = answer_by(self._clock.elapsed_ms(), int(self._cfg.claims.call_timeout))
        excluded = _Excluded()
        last: PlainReply | None = None
        verdict = Verdict.NOT_RUN
        service = ServiceName(query.model)
        permission = _Permission(self._budget, service)
        if PASSED_ON_HEADER not in call.headers:
            self._budget.on_request(service)
        for attempt in range(1, MAX_ATTEMPTS + 1):
            choice = self._choose(query, excluded)
            if isinstance(choice, Reason):
                return _reply_or_refuse(last, choice, verdict)
            is_silent = False
            try:
                last = self._send(choice, call._replace(attempt=attempt), deadline_ms, permission)
                permission.on_sent(attempt)
                self._guard.on_attempt_end(fingerprint, cleared=True)
                if last.status not in RETRYABLE_STATUSES:
                    return last
            except BackendLost as exc:
                if exc.sent:
                    verdict = Verdict.MAY_HAVE_RUN
                is_silent = exc.kind is LossKind.SILENT
                self._guard.on_loss(fingerprint, exc.backend, exc.kind)
            excluded = excluded.add(choice.backend.id, is_silent)
            if self._clock.elapsed_ms() >= deadline_ms:
                return _reply_or_refuse(last, BACKEND_LOST, verdict)
            if attempt == MAX_ATTEMPTS:
                break
            if not permission.take():
                metrics.RETRIES.labels("budget-spent").inc()
                return _reply_or_refuse(last, RETRY_BUDGET_SPENT, verdict)
            metrics.RETRIES.labels("made").inc()
        return _reply_or_refuse(last, BACKEND_LOST, verdict)

    def _choose(self, query: RouteQuery, excluded: _Excluded) -> Choice | Reason:
        """Return a backend server, if need be one that has been silent but may go on."""
        every = excluded.silent | excluded.other
        choice = self._routing.choose(msgspec.structs.replace(query, excluded=every))
        if choice is NO_BACKEND and excluded.silent:
            query = msgspec.structs.replace(query, excluded=excluded.other)
            choice = self._routing.choose(query)
        return choice

    def _send(
        self, choice: Choice, call: PlainCall, deadline_ms: int, permission: _Permission
    ) -> PlainReply:
        left_ms = max(1, deadline_ms - self._clock.elapsed_ms())
        backend = choice.backend
        self._routing.started(backend.id)
        ok = False

        def longer() -> Duration:
            """Wait on for a silent server, unless the call may be sent to another one."""
            permission.on_sent(call.attempt)
            if self._clock.elapsed_ms() >= deadline_ms or permission.take():
                return Duration(0)
            left_ms = deadline_ms - self._clock.elapsed_ms()
            return Duration(min(left_ms, ASK_INTERVAL_MS))

        try:
            reply = self._sender.send(
                backend,
                call,
                lambda: True,
                self._cfg.streams.connect_timeout,
                attempt_timeout_ms(left_ms, call.attempt == MAX_ATTEMPTS),
                longer,
            )
            ok = True
            return reply
        except BackendLost as exc:
            if exc.sent:
                permission.on_sent(call.attempt)
            self._routing.lost(exc.backend, exc.kind)
            raise
        finally:
            self._routing.finished(backend.id, ok)


def _reply_or_refuse(last: PlainReply | None, reason: Reason, verdict: Verdict) -> PlainReply:
    """Return the last reply, or raise the refusal if there is none."""
    if last is not None:
        return last
    raise Refusal(reason, verdict, RETRY_AFTER_MS)
