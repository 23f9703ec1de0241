"""Which headers of an answer are passed on, and what its `Retry-After` says."""

import math
import re

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
"""Names in lower case (RFC 9110, section 7.6.1); lengths are set anew for each connection."""


_MS_PER_S = 1_000
_SECONDS = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

LONGEST_LOGGED = 64
"""Characters of an unreadable header that a log line shows."""


def parse_retry_after(value: str) -> Duration | None:
    """Return the time that a `Retry-After` in seconds says, fractions included.

    A date, or what is no time, counts as none: clocks of backend servers are not trusted.
    """
    if _SECONDS.fullmatch(value.strip()) is None:
        log_decision("retry_after_unreadable", value=value[:LONGEST_LOGGED])
        return None
    return Duration(math.ceil(float(value) * _MS_PER_S))


def answer_headers(headers: Headers) -> Headers:
    """Return the headers of a backend server's answer that go to the caller."""
    named = _named_by_connection(headers)
    return [
        (name, value)
        for name, value in headers
        if name.lower() not in CONNECTION_HEADERS and name.lower() not in named
    ]


def _named_by_connection(headers: Headers) -> set[str]:
    return {
        name.strip().lower()
        for header, value in headers
        if header.lower() == "connection"
        for name in value.split(",")
    }
