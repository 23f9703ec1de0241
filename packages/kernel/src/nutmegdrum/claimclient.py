"""State machine of one non-idempotent request and its claim, at the entry VM that received it."""

from collections.abc import Sequence
from enum import Enum
from typing import NamedTuple

from nutmegdrum_coord.claims import (
    BeginClaim,
    ClaimAnswer,
    ClaimConflict,
    ClaimFinished,
    ClaimGranted,
    ClaimKey,
    ClaimLost,
    ClaimOutcome,
    ClaimReleased,
    ClaimRunning,
    ClaimsFull,
    ClaimUnknown,
    FinishClaim,
    ReleaseClaim,
)
from nutmegdrum_coord.ids import IncarnationId, VmId
from nutmegdrum_coord.lease import DRIFT_BOUND_PPM, PPM
from nutmegdrum_coord.verdict import (
    DISPATCH_EXPIRED,
    KEY_CONFLICT,
    LIMIT_REACHED,
    NO_QUORUM,
    OUTCOME_UNKNOWN,
    STILL_RUNNING,
    Refusal,
    Verdict,
)

from nutmegdrum.queries import ClaimKnown
from nutmegdrum.sent_keys import SentKeyRecord

NO_QUORUM_RETRY_MS = 1_000
"""Backoff hint after a failed claim or an expired dispatch deadline, in ms."""

RUNNING_RETRY_MS = 1_000
"""Backoff hint of a resend while the request is still running, in ms."""

FIRST_JOIN_POLL_MS = 50
"""First poll interval of a resend that waits for a running request, in ms; it doubles each time."""


class CallState(Enum):
    """Progress of the request at this VM."""

    ASKING = "asking"
    OWNED = "owned"
    SENT = "sent"
    ENDED = "ended"


class NextStep(Enum):
    """Next step of the thread that serves the request."""

    DISPATCH = "dispatch"
    JOIN = "join"
    REPLAY = "replay"


class ClaimIdentity(NamedTuple):
    """Identity of a claim and of the attempt to own it.

    Attributes
    ----------
    token : str
        Unique id of this attempt to own the claim.
    resendable : bool
        Whether the caller supplied the key and may therefore resend the request.
    """

    key: ClaimKey
    digest: bytes
    token: str
    owner: VmId
    incarnation: IncarnationId
    resendable: bool = True


class ClaimCall:
    """State machine of one request at the VM that received it.

    The first byte may be sent only once, only by the claim's owner and only before the dispatch
    deadline. The deadline counts from the time before the claim was proposed, on a clock that
    includes time while the VM is suspended, so an owner that was paused sends nothing.

    Parameters
    ----------
    identity : ClaimIdentity
        The claim and this attempt's token.
    dispatch_deadline_ms : int
        Time after the proposal of the claim within which the first byte may be sent, in ms.
    join_wait_ms : int
        Time for which a resend waits for the outcome of a running request, in ms.
    """

    def __init__(self, identity: ClaimIdentity, dispatch_deadline_ms: int, join_wait_ms: int):
        self.state = CallState.ASKING
        self.outcome: ClaimOutcome | None = None
        self._identity = identity
        self._dispatch_deadline_ms = dispatch_deadline_ms
        self._join_wait_ms = join_wait_ms
        self._asked_ms = 0
        self._join_until_ms: int | None = None
        self._poll_ms = FIRST_JOIN_POLL_MS

    def ask(self, now_ms: int) -> BeginClaim:
        """Return the command to propose."""
        self._asked_ms = now_ms
        identity = self._identity
        return BeginClaim(
            key=identity.key,
            digest=identity.digest,
            owner=identity.owner,
            incarnation=identity.incarnation,
            token=identity.token,
        )

    def on_answer(self, answer: ClaimAnswer, now_ms: int) -> NextStep:
        """Process the answer to the command of `ask` and return the next step.

        An answer that arrives after the request was abandoned changes nothing.

        Raises
        ------
        Refusal
            If the request is not run here; the verdict says whether it may have run elsewhere.
        """
        if self.state is not CallState.ASKING:
            raise dispatch_expired()
        match answer:
            case ClaimGranted():
                self.state = CallState.OWNED
                return NextStep.DISPATCH
            case ClaimFinished(outcome=outcome):
                self.state = CallState.ENDED
                return self._replay(outcome)
            case ClaimRunning() if self._may_join(now_ms):
                return NextStep.JOIN
        self.state = CallState.ENDED
        raise _refusal(answer)

    def on_replica_answers(self, replicas: Sequence[ClaimKnown]) -> NextStep | None:
        """Process the replicas' knowledge of the request after a failed proposal.

        Returns
        -------
        NextStep or None
            `REPLAY` if an earlier send has finished; None if the caller may have sent the request
            before but no replica knows of it, so that the entry VMs must be asked.

        Raises
        ------
        Refusal
            If a replica knows of an earlier send, or the caller cannot have sent the request
            before.
        """
        known = [r.answer for r in replicas if not self._is_own_or_unknown(r.answer)]
        for answer in known:
            if isinstance(answer, ClaimFinished):
                return self._replay(answer.outcome)
        if known:
            raise _refusal(known[0])
        if not self._identity.resendable:
            raise no_quorum(earlier=False)
        return None

    def on_entry_vm_answers(
        self,
        replicas: Sequence[ClaimKnown],
        records: Sequence[SentKeyRecord | None],
        took_ms: int,
    ) -> Refusal:
        """Return the refusal if no replica that answered knows of an earlier send.

        A replica may lack the newest claims, even if it was in contact with the leader until the
        quorum was lost. Each claim that it may lack was proposed by an entry VM, which still has a
        record of it unless it was restarted since.

        Parameters
        ----------
        records : sequence of SentKeyRecord or None
            One record for each entry VM, including this one; None for one that did not answer.
        took_ms : int
            Time from the first query to the last answer, in ms.
        """
        ages = [r.age_ms for r in replicas if r.age_ms is not None]
        if not ages:
            return no_quorum(earlier=True)
        uncovered_ms = (min(ages) + took_ms) * (PPM + 2 * DRIFT_BOUND_PPM) // PPM
        surely_not_sent = all(
            m is not None and not m.sent and m.covers_ms > uncovered_ms for m in records
        )
        return no_quorum(earlier=not surely_not_sent)

    def next_poll_ms(self) -> int:
        """Return the time to wait before the next poll, in ms, and double the interval."""
        wait_ms = self._poll_ms
        self._poll_ms *= 2
        return wait_ms

    def on_proposal_failed(self, exc: Refusal) -> ReleaseClaim | None:
        """Abandon the request after a failed proposal.

        If the proposal may still be applied, its token must be released; otherwise resends would
        be refused forever as possibly run. No byte is sent under the token from here on.
        """
        self.state = CallState.ENDED
        return self._release() if exc.verdict is not Verdict.NOT_RUN else None

    def may_send(self, now_ms: int) -> bool:
        """Return whether the first byte may be sent now; if so, count it as sent."""
        if self.state is not CallState.OWNED:
            return False
        if now_ms - self._asked_ms >= self._dispatch_deadline_ms:
            return False
        self.state = CallState.SENT
        return True

    def give_up(self) -> ReleaseClaim | None:
        """Return the release of an owned claim under which nothing was sent, or None."""
        if self.state is not CallState.OWNED:
            return None
        self.state = CallState.ENDED
        return self._release()

    def finish(self, outcome: ClaimOutcome | None) -> FinishClaim:
        """Return the command that records the outcome; None means the backend server was lost."""
        self.state = CallState.ENDED
        self.outcome = outcome
        identity = self._identity
        return FinishClaim(
            key=identity.key,
            token=identity.token,
            outcome=outcome,
            resendable=identity.resendable,
        )

    def _is_own_or_unknown(self, answer: ClaimAnswer) -> bool:
        """Return whether an answer shows no other send than this one."""
        mine = isinstance(answer, ClaimRunning) and answer.token == self._identity.token
        return mine or isinstance(answer, ClaimUnknown)

    def _replay(self, outcome: ClaimOutcome) -> NextStep:
        if not outcome.kept:
            detail = (
                f"the request ran with status {outcome.status}; the response was too large to keep"
            )
            raise Refusal(OUTCOME_UNKNOWN, Verdict.RAN, detail=detail)
        self.outcome = outcome
        return NextStep.REPLAY

    def _may_join(self, now_ms: int) -> bool:
        if self._join_until_ms is None:
            self._join_until_ms = now_ms + self._join_wait_ms
        return now_ms < self._join_until_ms

    def _release(self) -> ReleaseClaim:
        identity = self._identity
        return ReleaseClaim(key=identity.key, token=identity.token, resendable=identity.resendable)


def no_quorum(earlier: bool) -> Refusal:
    """Return the refusal for a request whose claim could not be committed.

    Parameters
    ----------
    earlier : bool
        Whether an earlier send under the same key may have run.
    """
    verdict = Verdict.MAY_HAVE_RUN if earlier else Verdict.NOT_RUN
    detail = "the claim on the request could not be committed"
    return Refusal(NO_QUORUM, verdict, NO_QUORUM_RETRY_MS, detail)


def dispatch_expired() -> Refusal:
    """Return the refusal for an owner whose dispatch deadline has passed."""
    detail = "the dispatch deadline passed before the request could be sent"
    return Refusal(DISPATCH_EXPIRED, Verdict.NOT_RUN, NO_QUORUM_RETRY_MS, detail)


def _refusal(answer: ClaimAnswer) -> Refusal:
    match answer:
        case ClaimRunning():
            detail = "the request was sent before and its outcome is not known yet"
            return Refusal(STILL_RUNNING, Verdict.MAY_HAVE_RUN, RUNNING_RETRY_MS, detail)
        case ClaimLost():
            detail = "the backend server was lost before it answered"
            return Refusal(OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, None, detail)
        case ClaimConflict():
            detail = "the Idempotency-Key was used with another request"
            return Refusal(KEY_CONFLICT, Verdict.NOT_RUN, None, detail)
        case ClaimsFull(free_ms=free_ms):
            detail = "the workspace has reached its limit of claims"
            return Refusal(LIMIT_REACHED, Verdict.NOT_RUN, free_ms, detail)
        case ClaimReleased():
            return dispatch_expired()
    return Refusal(OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, None, "unexpected answer to a claim")
