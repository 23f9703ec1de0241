"""Time by which a caller with a deadline is answered."""

from nutmegdrum_coord.clock import ElapsedMs

ANSWER_MARGIN_MS = 200
"""Time before a caller's deadline at which it is answered at the latest, in ms."""


def answer_by(arrived: ElapsedMs, deadline_ms: int) -> ElapsedMs:
    """Return the time by which a request with a deadline of `deadline_ms` must be answered."""
    return ElapsedMs(arrived + max(0, deadline_ms - ANSWER_MARGIN_MS))


def time_left(until: ElapsedMs | None, now: ElapsedMs, longest_ms: int) -> int:
    """Return the time until `until` in ms, at most `longest_ms`; negative after it."""
    return longest_ms if until is None else min(longest_ms, until - now)
