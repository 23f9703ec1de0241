"""Headers that concern one connection only and are never passed on."""

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
