"""Requests to plain services, repeated only where that is allowed."""

from collections.abc import Mapping

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, GenerationId, ModelName, WorkspaceId
from nutmegdrum_coord.verdict import (
    BACKEND_LOST,
    NOT_FOUND,
    RETRY_BUDGET_SPENT,
    Reason,
    Refusal,
    Verdict,
)

from nutmegdrum.claimed_calls import ClaimedCalls, ClaimWriter
from nutmegdrum.messages import BackendLost
from nutmegdrum.plain_http import HttpPlainSender, PlainCall, PlainReply, PlainSender
from nutmegdrum.retries import RetryBudget
from nutmegdrum.routing import Router
from nutmegdrum.routing_query import Choice, RouteQuery
from nutmegdrum.settings import CallKind, RouteSettings, Settings

ATTEMPT_TIMEOUT_MS = 2_000
MAX_ATTEMPTS = 4
RETRY_AFTER_MS = 1_000
RETRYABLE_STATUSES = frozenset({502, 503, 504})


class PlainPath:
    """Path of a plain service's request through one entry VM.

    Idempotent calls are repeated on other backend servers within the retry budget and need no
    quorum. Non-idempotent ones go through `ClaimedCalls`.

    Parameters
    ----------
    cfg : Settings
        Routes and timeouts.
    state : ClaimWriter
        Way to the replicated state.
    sender : PlainSender or None
        Exchange with backend servers; HTTP if None.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        router: Router,
        state: ClaimWriter,
        budget: RetryBudget | None = None,
        sender: PlainSender | None = None,
    ):
        self._cfg = cfg
        self._clock = clock
        self._router = router
        self._budget = budget or RetryBudget()
        self._sender = sender or HttpPlainSender(clock)
        self._claimed = ClaimedCalls(cfg, clock, router, state, self._sender)

    def find_route(self, path: str) -> RouteSettings | Reason:
        """Return the route with the longest prefix of `path`."""
        matching = [r for r in self._cfg.routes if path.startswith(r.prefix)]
        return max(matching, key=lambda r: len(r.prefix), default=NOT_FOUND)

    def handle(
        self,
        workspace: WorkspaceId,
        route: RouteSettings,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
    ) -> PlainReply:
        """Return the reply of the route's service.

        Raises
        ------
        Refusal
            If there is none; its verdict says whether the request may have run.
        """
        kind = route.methods.get(method)
        if kind is None:
            detail = f"the route has no method {method}"
            raise Refusal(NOT_FOUND, Verdict.NOT_RUN, detail=detail)
        query = RouteQuery(
            model=ModelName(route.service),
            workspace=workspace,
            prompt="",
            generation=GenerationId(""),
        )
        call = PlainCall(method, path, headers, body, attempt=1)
        if kind is CallKind.NON_IDEMPOTENT:
            return self._claimed.handle(query, call, route.prefix)
        return self._repeat(query, call)

    def tick(self) -> None:
        """Carry on with the ends of claims that could not be committed; call it often."""
        self._claimed.tick()

    def pending_claims(self) -> int:
        """Return the number of claims whose end is not committed yet."""
        return self._claimed.pending()

    def _repeat(self, query: RouteQuery, call: PlainCall) -> PlainReply:
        deadline_ms = self._clock.elapsed_ms() + self._cfg.claims.call_timeout
        excluded: frozenset[BackendId] = frozenset()
        last: PlainReply | None = None
        verdict = Verdict.NOT_RUN
        self._budget.on_first_attempt()
        for attempt in range(1, MAX_ATTEMPTS + 1):
            choice = self._router.choose(_excluding(query, excluded))
            if isinstance(choice, Reason):
                return _final(last, choice, verdict)
            excluded |= {choice.backend.id}
            try:
                last = self._send(choice, call._replace(attempt=attempt), deadline_ms)
                if last.status not in RETRYABLE_STATUSES:
                    return last
            except BackendLost as exc:
                if exc.sent:
                    verdict = Verdict.MAY_HAVE_RUN
            if self._clock.elapsed_ms() >= deadline_ms:
                return _final(last, BACKEND_LOST, verdict)
            if not self._budget.take(self._clock.elapsed_ms()):
                return _final(last, RETRY_BUDGET_SPENT, verdict)
        return _final(last, BACKEND_LOST, verdict)

    def _send(self, choice: Choice, call: PlainCall, deadline_ms: int) -> PlainReply:
        left_ms = max(1, deadline_ms - self._clock.elapsed_ms())
        timeout_ms = left_ms if call.attempt == MAX_ATTEMPTS else min(left_ms, ATTEMPT_TIMEOUT_MS)
        backend = choice.backend
        self._router.started(backend.id)
        ok = False
        try:
            reply = self._sender.send(
                backend, call, lambda: True, self._cfg.streams.connect_timeout, timeout_ms
            )
            ok = True
            return reply
        except BackendLost as exc:
            self._router.lost(exc.backend, exc.kind)
            raise
        finally:
            self._router.finished(backend.id, ok)


def _excluding(query: RouteQuery, excluded: frozenset[BackendId]) -> RouteQuery:
    return RouteQuery(
        model=query.model,
        workspace=query.workspace,
        prompt=query.prompt,
        generation=query.generation,
        excluded=excluded,
    )


def _final(last: PlainReply | None, why: Reason, verdict: Verdict) -> PlainReply:
    """Return the last reply, or raise why there is none."""
    if last is not None:
        return last
    raise Refusal(why, verdict, RETRY_AFTER_MS)
