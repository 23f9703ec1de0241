"""HTTP responses for requests that the relay refuses."""

import msgspec
from nutmegdrum.problems import PROBLEM_TYPE, problem_of
from nutmegdrum.units import Duration
from nutmegdrum_coord import verdict as v

from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.documents import Route

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""HTTP statuses by which callers know that a request has not run and will not run."""

_STATUSES = {
    v.BODY_TOO_LARGE: 413,
    v.UNAUTHENTICATED: 401,
    v.NOT_FOUND: 404,
    v.BAD_REQUEST: 400,
    v.DEADLINE_UNREACHABLE: 504,
}
STOPPED_BACKOFF = Duration(50)
"""Backoff hint of an entry VM that is being stopped; another one serves the request at once."""

_NOT_RUN_STATUS = 503
_MAY_HAVE_RUN_STATUS = 502
_MS_PER_S = 1_000


def refusal_status(refusal: v.Refusal) -> int:
    """Return the HTTP status; 503 only for a request that has not run and will not run."""
    if refusal.why in _STATUSES:
        return _STATUSES[refusal.why]
    not_run = refusal.verdict is v.Verdict.NOT_RUN
    return _NOT_RUN_STATUS if not_run else _MAY_HAVE_RUN_STATUS


def denies_run(route: Route, status: int) -> bool:
    """Return whether an answer's status would tell the caller falsely that a request has not run.

    This concerns answers of backend servers that do not state that the request has not run. Its
    caller would send such a request again, which must not be repeated.
    """
    return status in NOT_RUN_STATUSES and not route.repeatable


def refusal_answer(refusal: v.Refusal) -> tuple[int, Headers, bytes]:
    """Return status, headers and body; `Retry-After` may have fractions of a second."""
    status = refusal_status(refusal)
    problem = msgspec.structs.replace(problem_of(refusal), status=status)
    headers = [("Content-Type", PROBLEM_TYPE)]
    if refusal.retry_after_ms is not None and status == _NOT_RUN_STATUS:
        headers.append(("Retry-After", f"{refusal.retry_after_ms / _MS_PER_S:.3f}"))
    return status, headers, msgspec.json.encode(problem)
