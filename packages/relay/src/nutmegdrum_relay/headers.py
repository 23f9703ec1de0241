"""Forwarded headers of an answer, and its `Retry-After` header."""

import math
import re

from nutmegdrum.rate_limits import parse_per_s
from nutmegdrum.units import Duration

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.dialect import Headers

CONNECTION_HEADERS = frozenset(
    {
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)
"""Headers of one connection, in lower case (RFC 9110, section 7.6.1), and the length, which is set
anew for each connection."""


DOCUMENT_HEADER = "nutmegdrum-document"
"""Header of a request that is passed on to another entry VM: version of the routing document."""

ATTEMPTS_HEADER = "nutmegdrum-attempts"
"""Header of a request that is passed on: backend servers to which it may be sent."""

REFUSED_HEADER = "nutmegdrum-refused"
"""Header of another entry VM's own refusal: its verdict. It is not passed through from servers."""

SENT_HEADER = "nutmegdrum-sent"
"""Header of such a refusal if the request had been sent to a backend server."""

INTERNAL_HEADERS = frozenset({ATTEMPTS_HEADER, DOCUMENT_HEADER, REFUSED_HEADER, SENT_HEADER})
"""Headers that only entry VMs send to each other."""

_MS_PER_S = 1_000
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

MAX_LOGGED_CHARS = 64
"""Characters of an invalid header that a log line shows at most."""


def parse_retry_after(value: str) -> Duration | None:
    """Return the value of a `Retry-After` header in seconds, with fractions, or None.

    Dates are ignored like invalid values, since the clocks of backend servers are not trusted.
    """
    if _SECONDS.fullmatch(value.strip()) is None:
        log_decision("retry_after_unreadable", value=value[:MAX_LOGGED_CHARS])
        return None
    return Duration(math.ceil(float(value) * _MS_PER_S))


def parse_rate_limit(value: str) -> float | None:
    """Return the value of a rate limit's header in requests a second, or None if it is invalid."""
    per_s = parse_per_s(value)
    if per_s is None:
        log_decision("rate_limit_unreadable", value=value[:MAX_LOGGED_CHARS])
    return per_s


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a backend server's answer that are forwarded to the caller."""
    dropped = CONNECTION_HEADERS | INTERNAL_HEADERS | _named_by_connection(headers)
    return [(name, value) for name, value in headers if name.lower() not in dropped]


def _named_by_connection(headers: Headers) -> set[str]:
    return {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
