"""Decisions of an entry VM about one non-idempotent request and its claim."""

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
RUNNING_RETRY_MS = 1_000
FIRST_JOIN_POLL_MS = 50


class CallState(Enum):
    """How far this VM has come with the request."""

    ASKING = "asking"
    OWNED = "owned"
    SENT = "sent"
    ENDED = "ended"


class NextStep(Enum):
    """What the owner of the connection does next."""

    DISPATCH = "dispatch"
    JOIN = "join"
    REPLAY = "replay"


class ClaimIdentity(NamedTuple):
    """Who asks for a claim, on what.

    Attributes
    ----------
    token : str
        Unique name of this attempt to own the claim.
    resendable : bool
        Whether the caller chose the key, and so may send it again.
    """

    key: ClaimKey
    digest: bytes
    token: str
    owner: VmId
    incarnation: IncarnationId
    resendable: bool = True


class ClaimCall:
    """State machine of one request at the VM that received it.

    The machine allows the first byte once, only as the claim's owner and only before the dispatch
    deadline. The deadline counts from before the claim was asked for, on a clock that runs on
    while the VM is suspended, so that an owner that was paused sends nothing.

    Parameters
    ----------
    identity : ClaimIdentity
        The claim, and this attempt's token.
    dispatch_deadline_ms : int
        Time after the claim was asked for within which the first byte may be sent, in ms.
    join_wait_ms : int
        Time that a resend waits for the outcome of a running request, in ms.
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
        """Take the answer to `ask` and return what to do.

        An answer that comes after the request was given up changes nothing.

        Raises
        ------
        Refusal
            If the request is not run here; its verdict says what is known.
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

    def on_replicas(self, replicas: Sequence[ClaimKnown]) -> NextStep | None:
        """Take what replicas know of the request after a failed proposal.

        Returns
        -------
        NextStep or None
            `REPLAY` if an earlier send ran; None if no replica knows of an earlier send that the
            caller may have made, so that the entry VMs are to be asked.

        Raises
        ------
        Refusal
            If a replica knows an earlier send, or the caller can't have made one.
        """
        known = [r.answer for r in replicas if not self._is_no_other(r.answer)]
        for answer in known:
            if isinstance(answer, ClaimFinished):
                return self._replay(answer.outcome)
        if known:
            raise _refusal(known[0])
        if not self._identity.resendable:
            raise no_quorum(earlier=False)
        return None

    def on_entry_vms(
        self,
        replicas: Sequence[ClaimKnown],
        memories: Sequence[SentKeyRecord | None],
        took_ms: int,
    ) -> Refusal:
        """Return the refusal of a request of which no replica that answered knows an earlier send.

        A replica may lack the newest claims, also one that was in touch with the leader until the
        quorum was lost. Each claim that it may lack was asked for by an entry VM, which remembers
        it if it has not been restarted since.

        Parameters
        ----------
        memories : sequence of KeyMemory or None
            One for each entry VM, this one included; None for one that did not answer.
        took_ms : int
            Time from the first question to the last answer, in ms.
        """
        ages = [r.age_ms for r in replicas if r.age_ms is not None]
        if not ages:
            return no_quorum(earlier=True)
        uncovered_ms = (min(ages) + took_ms) * (PPM + 2 * DRIFT_BOUND_PPM) // PPM
        never = all(m is not None and not m.sent and m.covers_ms > uncovered_ms for m in memories)
        return no_quorum(earlier=not never)

    def next_poll_ms(self) -> int:
        """Return the time to wait before asking again, in ms."""
        wait_ms = self._poll_ms
        self._poll_ms *= 2
        return wait_ms

    def on_proposal_failed(self, exc: Refusal) -> ReleaseClaim | None:
        """Give the request up after a failed proposal.

        If the proposal may be applied later, its token must be released so that a resend is not
        told for ever that the request may have run. The token never sends a byte from here on.
        """
        self.state = CallState.ENDED
        return self._release() if exc.verdict is not Verdict.NOT_RUN else None

    def may_send(self, now_ms: int) -> bool:
        """Return whether the first byte may be sent now; if so, it counts as sent."""
        if self.state is not CallState.OWNED:
            return False
        if now_ms - self._asked_ms >= self._dispatch_deadline_ms:
            return False
        self.state = CallState.SENT
        return True

    def give_up(self) -> ReleaseClaim | None:
        """Return the release of an owned claim under which nothing was sent."""
        if self.state is not CallState.OWNED:
            return None
        self.state = CallState.ENDED
        return self._release()

    def finish(self, outcome: ClaimOutcome | None) -> FinishClaim:
        """Return the record of the response; None if the backend server was lost."""
        self.state = CallState.ENDED
        self.outcome = outcome
        identity = self._identity
        return FinishClaim(
            key=identity.key,
            token=identity.token,
            outcome=outcome,
            resendable=identity.resendable,
        )

    def _is_no_other(self, answer: ClaimAnswer) -> bool:
        """Return whether an answer tells of no send but this one."""
        mine = isinstance(answer, ClaimRunning) and answer.token == self._identity.token
        return mine or isinstance(answer, ClaimUnknown)

    def _replay(self, outcome: ClaimOutcome) -> NextStep:
        if not outcome.kept:
            detail = f"it ran with status {outcome.status}; the response was too large to keep"
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
    """Return the refusal of a request whose claim could not be committed.

    Parameters
    ----------
    earlier : bool
        Whether an earlier send under the same key may have run.
    """
    verdict = Verdict.MAY_HAVE_RUN if earlier else Verdict.NOT_RUN
    detail = "the claim on the request could not be committed"
    return Refusal(NO_QUORUM, verdict, NO_QUORUM_RETRY_MS, detail)


def dispatch_expired() -> Refusal:
    """Return the refusal of an owner that may not send any more."""
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
            detail = "the workspace holds as many claims as it may"
            return Refusal(LIMIT_REACHED, Verdict.NOT_RUN, free_ms, detail)
        case ClaimReleased():
            return dispatch_expired()
    return Refusal(OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN, None, "unexpected answer to a claim")
