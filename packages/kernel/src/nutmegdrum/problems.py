"""Problem documents (RFC 9457) that carry a verdict."""

from http import HTTPStatus

import msgspec
from nutmegdrum_coord import verdict as v

VERDICT_HEADER = "Nutmegdrum-Verdict"
PROBLEM_TYPE = "application/problem+json"
_MS_PER_S = 1_000

_STATUS = {
    v.BAD_REQUEST: HTTPStatus.BAD_REQUEST,
    v.UNAUTHENTICATED: HTTPStatus.UNAUTHORIZED,
    v.NOT_FOUND: HTTPStatus.NOT_FOUND,
    v.OVERLOADED: HTTPStatus.SERVICE_UNAVAILABLE,
    v.LIMIT_REACHED: HTTPStatus.TOO_MANY_REQUESTS,
    v.KEY_CONFLICT: HTTPStatus.UNPROCESSABLE_ENTITY,
    v.STILL_RUNNING: HTTPStatus.CONFLICT,
    v.QUARANTINED: HTTPStatus.UNPROCESSABLE_ENTITY,
    v.NUMBER_CONFLICT: HTTPStatus.CONFLICT,
    v.WRONG_DEPLOYMENT: HTTPStatus.FORBIDDEN,
    v.OUTCOME_UNKNOWN: HTTPStatus.BAD_GATEWAY,
    v.BACKEND_LOST: HTTPStatus.BAD_GATEWAY,
}


class Problem(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Body of an error response.

    Attributes
    ----------
    retry_after_ms : int or None
        Backoff hint, in ms.
    """

    type: str
    title: str
    status: int
    verdict: str
    reason: str
    detail: str = ""
    retry_after_ms: int | None = None


def problem_of(refusal: v.Refusal) -> Problem:
    """Return the problem document for a refusal."""
    status = _STATUS.get(refusal.why, HTTPStatus.SERVICE_UNAVAILABLE)
    return Problem(
        type=f"urn:nutmegdrum:{refusal.why.code}",
        title=refusal.why.code.replace("-", " "),
        status=status.value,
        verdict=refusal.verdict.value,
        reason=refusal.why.code,
        detail=refusal.detail,
        retry_after_ms=refusal.retry_after_ms,
    )


def problem_headers(problem: Problem) -> list[tuple[str, str]]:
    """Return the headers of an error response; `Retry-After` is rounded up to whole seconds."""
    headers = [("Content-Type", PROBLEM_TYPE), (VERDICT_HEADER, problem.verdict)]
    if problem.retry_after_ms is not None:
        seconds = -(-problem.retry_after_ms // _MS_PER_S)
        headers.append(("Retry-After", str(max(1, seconds))))
    return headers
