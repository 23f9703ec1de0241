"""Requests to plain services, which are retried only if they are idempotent."""

import random
from collections.abc import Mapping

from nutmegdrum_coord.claims import ClaimKey
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import GenerationId, ModelName, WorkspaceId
from nutmegdrum_coord.verdict import NOT_FOUND, Reason, Refusal, Verdict
from nutmegdrum_scheduling.resends.budget import RetryBudget

from nutmegdrum.claimed_calls import ClaimAccess, ClaimedCalls
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.fingerprints import generation_fingerprint
from nutmegdrum.idempotent_calls import IdempotentCalls
from nutmegdrum.logs import log_change
from nutmegdrum.plain_http import HttpPlainSender, PlainCall, PlainReply, PlainSender
from nutmegdrum.routing_query import RouteQuery, Routing
from nutmegdrum.sent_keys import SentKeyRecord
from nutmegdrum.settings import CallKind, RouteSettings, Settings


class PlainHandler:
    """Handles requests to plain services at one entry VM.

    Idempotent calls are retried on other backend servers within the retry budget and need no
    quorum. Non-idempotent calls are run at most once and need a quorum.

    Parameters
    ----------
    cfg : Settings
        Routes and time-outs.
    state : ClaimAccess
        Access to the replicated claims.
    guard : CrashGuard
        Detects requests that crash backend servers.
    sender : PlainSender or None
        Client of backend servers; HTTP if None.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        routing: Routing,
        guard: CrashGuard,
        state: ClaimAccess,
        budget: RetryBudget | None = None,
        sender: PlainSender | None = None,
    ):
        sender = sender or HttpPlainSender(clock)
        budget = budget or RetryBudget(clock, random.Random(), log=log_change)
        self._routes = cfg.routes
        self._guard = guard
        self._claimed = ClaimedCalls(cfg, clock, routing, guard, state, sender)
        self._idempotent = IdempotentCalls(cfg, clock, routing, guard, budget, sender)

    def find_route(self, path: str) -> RouteSettings | Reason:
        """Return the route with the longest matching prefix of `path`."""
        matching = [r for r in self._routes if path.startswith(r.prefix)]
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
            If there is no reply; the verdict says whether the request may have run.
        """
        kind = route.methods.get(method)
        if kind is None:
            detail = f"the route has no method {method}"
            raise Refusal(NOT_FOUND, Verdict.NOT_RUN, detail=detail)
        query = RouteQuery(
            model=ModelName(route.service),
            workspace=workspace,
            prompt=f"{method} {path}\n{body.decode(errors='replace')}",
            generation=GenerationId(""),
        )
        fingerprint = generation_fingerprint(workspace, query.model, query.prompt)
        self._guard.check(fingerprint)
        call = PlainCall(method, path, headers, body, attempt=1)
        if kind is CallKind.NON_IDEMPOTENT:
            return self._claimed.handle(query, call, route.prefix, fingerprint)
        return self._idempotent.handle(query, call, fingerprint)

    def tick(self) -> None:
        """Retry commands that end claims and could not be committed; must be called regularly."""
        self._claimed.tick()

    def sent_key_record(self, key: ClaimKey) -> SentKeyRecord:
        """Return this VM's record of the non-idempotent requests under `key`."""
        return self._claimed.sent_key_record(key)

    def pending_claims(self) -> int:
        """Return the number of claims whose end has not been committed yet."""
        return self._claimed.pending()
