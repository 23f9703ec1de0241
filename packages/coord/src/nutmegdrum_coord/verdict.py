"""Reasons for refusing a request, and whether it may have run."""

from enum import Enum

from sentinel_value import SentinelValue


class Verdict(Enum):
    """Whether a request was executed, as far as is known."""

    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"
    RAN = "ran"


class Reason(SentinelValue):
    """Sentinel returned in place of a value, which states why there is none.

    Reasons are falsy and unique, and are compared by identity.
    """

    @property
    def code(self) -> str:
        """Return the reason as it appears in problem documents and metrics."""
        return self.instance_name.lower().replace("_", "-")

    def __bool__(self) -> bool:
        return False


def reason(name: str) -> Reason:
    """Return the unique `Reason` called `name` (in upper case, like a constant)."""
    return Reason("nutmegdrum", name)


BAD_REQUEST = reason("BAD_REQUEST")
BODY_TOO_LARGE = reason("BODY_TOO_LARGE")
UNAUTHENTICATED = reason("UNAUTHENTICATED")
NOT_FOUND = reason("NOT_FOUND")
OVERLOADED = reason("OVERLOADED")
LIMIT_REACHED = reason("LIMIT_REACHED")
DEADLINE_UNREACHABLE = reason("DEADLINE_UNREACHABLE")
NO_BACKEND = reason("NO_BACKEND")
NO_QUORUM = reason("NO_QUORUM")
NOT_LEADER = reason("NOT_LEADER")
QUARANTINED = reason("QUARANTINED")
RETRY_BUDGET_SPENT = reason("RETRY_BUDGET_SPENT")
BACKEND_LOST = reason("BACKEND_LOST")
STALE_EPOCH = reason("STALE_EPOCH")
KEY_CONFLICT = reason("KEY_CONFLICT")
STILL_RUNNING = reason("STILL_RUNNING")
OUTCOME_UNKNOWN = reason("OUTCOME_UNKNOWN")
DISPATCH_EXPIRED = reason("DISPATCH_EXPIRED")
SHUTTING_DOWN = reason("SHUTTING_DOWN")
CANCELLED = reason("CANCELLED")
JOURNAL_LOST = reason("JOURNAL_LOST")
NUMBER_CONFLICT = reason("NUMBER_CONFLICT")
WRONG_DEPLOYMENT = reason("WRONG_DEPLOYMENT")


class Refusal(Exception):
    """Error that ends a request.

    Parameters
    ----------
    why : Reason
        Cause.
    verdict : Verdict
        Whether the request may have run.
    retry_after_ms : int or None
        Time after which the caller should retry, in ms; None if a retry cannot help.
    detail : str
        One sentence for human readers.

    Attributes
    ----------
    sent : bool
        Whether a backend server may have got the request, which it rejected if it has not run.
    """

    def __init__(
        self,
        why: Reason,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_ms: int | None = None,
        detail: str = "",
    ):
        super().__init__(detail or why.code)
        self.why = why
        self.verdict = verdict
        self.retry_after_ms = retry_after_ms
        self.detail = detail
        self.sent = False
