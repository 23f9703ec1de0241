"""Non-idempotent calls of plain services, run at most once under a claim."""

import secrets
import threading
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager
from hashlib import blake2b
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.claims import (
    BeginClaim,
    ClaimAnswer,
    ClaimKey,
    ClaimOutcome,
    FinishClaim,
    ReleaseClaim,
)
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint, IdempotencyKey, IncarnationId, VmId
from nutmegdrum_coord.parts import Command
from nutmegdrum_coord.verdict import (
    BACKEND_LOST,
    BAD_REQUEST,
    Reason,
    Refusal,
    Verdict,
)

from nutmegdrum import metrics
from nutmegdrum.claimbacklog import ClaimBacklog, ClaimEnd
from nutmegdrum.claimclient import (
    CallState,
    ClaimCall,
    ClaimIdentity,
    NextStep,
    dispatch_expired,
    no_quorum,
)
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.logs import log_change
from nutmegdrum.messages import BackendLost
from nutmegdrum.plain_http import PlainCall, PlainReply, PlainSender, SendForbidden
from nutmegdrum.queries import ClaimKnown
from nutmegdrum.routing_query import Choice, RouteQuery, Routing
from nutmegdrum.sent_keys import SentKeyRecord, SentKeys
from nutmegdrum.settings import Settings

MAX_KEY_CHARACTERS = 255
NO_BACKEND_RETRY_MS = 1_000
_NO_BACKEND_DETAIL = "no backend server of the service can be reached"
_DIGEST_BYTES = 16
_TOKEN_BYTES = 12
_MS_PER_S = 1_000


class ClaimAccess(NamedTuple):
    """Way to the replicated state, for the daemon's threads.

    Attributes
    ----------
    propose : callable
        Commits a command and returns its answer; raises `Refusal` with `NOT_RUN` if it was
        certainly not appended, else with `MAY_HAVE_RUN`.
    look_up : callable
        Returns what the replicas that can be reached know of the request of a failed proposal.
    ask_entry_vms : callable
        Returns what each other entry VM remembers of a key; None for one that does not answer.
    """

    owner: VmId
    incarnation: IncarnationId
    propose: Callable[[Command], ClaimAnswer]
    look_up: Callable[[BeginClaim], list[ClaimKnown]]
    ask_entry_vms: Callable[[ClaimKey], list[SentKeyRecord | None]]


class ClaimedCalls:
    """Runs non-idempotent calls: claim first, then one attempt that may send a byte.

    Parameters
    ----------
    cfg : Settings
        Deadlines and waits.
    clock : Clock
        Must count the time that the VM was suspended.
    """

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        routing: Routing,
        guard: CrashGuard,
        state: ClaimAccess,
        sender: PlainSender,
    ):
        self._cfg = cfg
        self._clock = clock
        self._routing = routing
        self._state = state
        self._sender = sender
        self._guard = guard
        self._backlog = ClaimBacklog()
        self._running: dict[ClaimKey, threading.Event] = {}
        self._keys = SentKeys(clock)
        self._lock = threading.Lock()

    def handle(
        self, query: RouteQuery, call: PlainCall, route: str, fingerprint: Fingerprint
    ) -> PlainReply:
        """Run the call, or return what an earlier send of it got.

        Raises
        ------
        Refusal
            If the call was not run here, or its outcome is not known.
        """
        identity = self._identity(query, call, route)
        claim = ClaimCall(identity, self._cfg.claims.dispatch_deadline, self._cfg.claims.join_wait)
        self._end_earlier(identity.key)
        self._keys.begin(identity.key)
        try:
            step = self._own(claim, identity.key)
            metrics.CLAIMS.labels(step.value).inc()
            if step is NextStep.REPLAY:
                return _replayed(claim.outcome)
            with self._joinable(identity.key):
                return self._dispatch(claim, identity.key, query, call, fingerprint)
        finally:
            self._keys.end(identity.key)

    def sent_key_record(self, key: ClaimKey) -> SentKeyRecord:
        """Return what this VM remembers of the requests under `key`, for another entry VM."""
        return self._keys.lookup(key)

    def tick(self) -> None:
        """Propose one pending end of a claim whose time has come."""
        with self._lock:
            end = self._backlog.due(self._clock.elapsed_ms())
            metrics.CLAIM_ENDS_PENDING.set(len(self._backlog))
        if end is not None:
            self._propose_end(end)

    def pending(self) -> int:
        """Return the number of claims whose end is not committed yet."""
        with self._lock:
            return len(self._backlog)

    def _identity(self, query: RouteQuery, call: PlainCall, route: str) -> ClaimIdentity:
        given = _header(call.headers, "idempotency-key")
        if len(given) > MAX_KEY_CHARACTERS:
            detail = f"Idempotency-Key is longer than {MAX_KEY_CHARACTERS} characters"
            raise Refusal(BAD_REQUEST, Verdict.NOT_RUN, detail=detail)
        token = secrets.token_hex(_TOKEN_BYTES)
        return ClaimIdentity(
            key=ClaimKey(query.workspace, route, IdempotencyKey(given or token)),
            digest=_digest(call),
            token=token,
            owner=self._state.owner,
            incarnation=self._state.incarnation,
            resendable=bool(given),
        )

    def _own(self, claim: ClaimCall, key: ClaimKey) -> NextStep:
        while True:
            command = claim.ask(self._clock.elapsed_ms())
            try:
                answer = self._state.propose(command)
            except Refusal as exc:
                metrics.CLAIMS.labels("no-quorum").inc()
                self._keep(claim.on_proposal_failed(exc))
                if self._keys.was_sent(key):
                    raise no_quorum(earlier=True) from exc
                return self._look_up(claim, command)
            step = claim.on_answer(answer, self._clock.elapsed_ms())
            if step is not NextStep.JOIN:
                return step
            with self._lock:
                done = self._running.get(key) or threading.Event()
            done.wait(claim.next_poll_ms() / _MS_PER_S)

    def _look_up(self, claim: ClaimCall, command: BeginClaim) -> NextStep:
        """Find out from other VMs whether the request was sent before, and replay or refuse it."""
        asked_ms = self._clock.elapsed_ms()
        replicas = self._state.look_up(command)
        step = claim.on_replicas(replicas)
        if step is not None:
            return step
        memories = self._state.ask_entry_vms(command.key)
        own = self._keys.lookup(command.key, own=1)
        took_ms = self._clock.elapsed_ms() - asked_ms
        raise claim.on_entry_vms(replicas, [own, *memories], took_ms)

    @contextmanager
    def _joinable(self, key: ClaimKey) -> Iterator[None]:
        """Let resends that come to this VM wait for the call's end."""
        done = threading.Event()
        with self._lock:
            self._running[key] = done
        try:
            yield
        finally:
            with self._lock:
                self._running.pop(key, None)
            done.set()

    def _dispatch(
        self,
        claim: ClaimCall,
        key: ClaimKey,
        query: RouteQuery,
        call: PlainCall,
        fingerprint: Fingerprint,
    ) -> PlainReply:
        excluded: frozenset[BackendId] = frozenset()
        while True:
            choice = self._choose(claim, query, excluded)
            try:
                reply = self._send(claim, key, choice, call)
            except SendForbidden:
                metrics.CLAIMS.labels("dispatch-expired").inc()
                self._end(claim.give_up())
                raise dispatch_expired() from None
            except BackendLost as exc:
                self._routing.lost(exc.backend, exc.kind)
                if claim.state is CallState.SENT:
                    metrics.CLAIMS.labels("lost").inc()
                    self._end(claim.finish(None))
                    self._note_crash(fingerprint, exc)
                    raise _lost(exc) from exc
                excluded |= {exc.backend}
                continue
            except Exception:
                sent = claim.state is CallState.SENT
                self._end(claim.finish(None) if sent else claim.give_up())
                raise
            self._end(claim.finish(_outcome(reply)))
            self._guard.ended(fingerprint, cleared=True)
            return reply

    def _choose(
        self, claim: ClaimCall, query: RouteQuery, excluded: frozenset[BackendId]
    ) -> Choice:
        try:
            choice = self._routing.choose(msgspec.structs.replace(query, excluded=excluded))
        except Refusal as refusal:
            self._end(claim.give_up())
            refusal.verdict = Verdict.NOT_RUN
            raise
        if isinstance(choice, Reason):
            self._end(claim.give_up())
            raise Refusal(choice, Verdict.NOT_RUN, NO_BACKEND_RETRY_MS, _NO_BACKEND_DETAIL)
        return choice

    def _note_crash(self, fingerprint: Fingerprint, loss: BackendLost) -> None:
        try:
            self._guard.lost(fingerprint, loss.backend, loss.kind)
        except Refusal:
            log_change("quarantined", fingerprint=fingerprint, backend=loss.backend)

    def _send(self, claim: ClaimCall, key: ClaimKey, choice: Choice, call: PlainCall) -> PlainReply:
        def may_send() -> bool:
            self._keys.note_sent(key)
            return claim.may_send(self._clock.elapsed_ms())

        backend = choice.backend
        self._routing.started(backend.id)
        ok = False
        try:
            reply = self._sender.send(
                backend,
                call,
                may_send,
                self._cfg.streams.connect_timeout,
                self._cfg.claims.call_timeout,
            )
            ok = True
            return reply
        finally:
            self._routing.finished(backend.id, ok)

    def _end(self, command: FinishClaim | ReleaseClaim | None) -> None:
        """Commit a claim's end now if that works, else later."""
        if command is None:
            return
        self._propose_end(self._keep(command))

    def _end_earlier(self, key: ClaimKey) -> None:
        with self._lock:
            ends = self._backlog.of(key)
        for end in ends:
            self._propose_end(end)

    def _keep(self, command: FinishClaim | ReleaseClaim | None) -> ClaimEnd | None:
        if command is None:
            return None
        with self._lock:
            return self._backlog.add(command, self._clock.elapsed_ms())

    def _propose_end(self, end: ClaimEnd) -> None:
        try:
            self._state.propose(end.command)
        except Refusal:
            with self._lock:
                self._backlog.on_failed(end, self._clock.elapsed_ms())
            return
        with self._lock:
            self._backlog.on_committed(end)


def _lost(exc: BackendLost) -> Refusal:
    detail = f"backend server {exc.backend} was lost before it answered"
    return Refusal(BACKEND_LOST, Verdict.MAY_HAVE_RUN, None, detail)


def _header(headers: Mapping[str, str], name: str) -> str:
    return next((v.strip() for k, v in headers.items() if k.lower() == name), "")


def _digest(call: PlainCall) -> bytes:
    digest = blake2b(digest_size=_DIGEST_BYTES)
    for part in (call.method.encode(), call.path.encode(), call.body):
        digest.update(len(part).to_bytes(8, "big"))
        digest.update(part)
    return digest.digest()


def _outcome(reply: PlainReply) -> ClaimOutcome:
    return ClaimOutcome(status=reply.status, headers=reply.headers, body=reply.body)


def _replayed(outcome: ClaimOutcome) -> PlainReply:
    headers = {**outcome.headers, "Idempotency-Replayed": "true"}
    return PlainReply(outcome.status, headers, outcome.body)
