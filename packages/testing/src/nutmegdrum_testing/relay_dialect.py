"""Test dialect: a platform's headers and listing format, under other names."""

from collections.abc import Mapping

import msgspec
from nutmegdrum.rate_limits import ServerLimits
from nutmegdrum.units import Duration, parse_address, parse_count
from nutmegdrum_coord.ids import BackendId, DataCentre, PromptPart, ServiceName, VersionName
from nutmegdrum_relay.dialect import (
    AnswerTerms,
    AttemptTerms,
    Headers,
    ListedBackend,
    ListingPage,
    RequestTerms,
)
from nutmegdrum_relay.documents import DocumentCodec
from nutmegdrum_relay.headers import CONNECTION_HEADERS, parse_rate_limit, parse_retry_after

_DIALECT_HEADERS = frozenset(
    {"x-key", "x-left", "x-backend", "x-workspace", "x-copy-to", "x-copy-at", "x-last"}
)


class PlainDialect:
    """Dialect with headers that begin with `X-` and a listing in JSON."""

    report_path = "/x-report"

    def __init__(self) -> None:
        self.decode_document = DocumentCodec().decode

    def is_forwarded(self, name: str) -> bool:
        """Return whether a caller's header is forwarded to the backend server."""
        return name.lower() not in _DIALECT_HEADERS and name.lower() not in CONNECTION_HEADERS

    def request_terms(self, headers: Mapping[str, str]) -> RequestTerms:
        """Return the terms in a request's headers."""
        deadline = headers.get("x-deadline", "")
        return RequestTerms(
            request_id=headers.get("x-id", ""),
            deadline=Duration(int(deadline)) if deadline else None,
            key=headers.get("x-key", ""),
            last_event_id=headers.get("x-last", ""),
            prompt_tokens=int(headers.get("x-prompt", "0")),
            output_tokens=int(headers.get("x-output", "0")),
            shared_parts=tuple(map(PromptPart, headers.get("x-parts", "").split(",")[:-1])),
        )

    def attempt_headers(self, request: RequestTerms, attempt: AttemptTerms) -> Headers:
        """Return the headers that the relay adds to an attempt."""
        headers = [("X-Left", str(int(attempt.time_left))), ("X-Backend", attempt.backend)]
        if attempt.workspace is not None:
            headers.append(("X-Workspace", attempt.workspace))
        if attempt.last_event_id:
            headers.append(("X-Last", attempt.last_event_id))
        if attempt.copy_to is not None:
            headers.append(("X-Copy-To", attempt.copy_to))
        if attempt.copy_at is not None:
            headers.append(("X-Copy-At", attempt.copy_at))
        return headers

    def probe_headers(self, backend: BackendId) -> Headers:
        """Return the header by which another backend server refuses a probe."""
        return [("X-Backend", backend)]

    def caller_headers(self, request: RequestTerms, attempt: AttemptTerms) -> Headers:
        """Return headers with which another entry VM handles a request as its caller's."""
        headers = [("X-Deadline", str(int(attempt.time_left))), ("X-Key", request.key)]
        if attempt.last_event_id:
            headers.append(("X-Last", attempt.last_event_id))
        return headers

    def answer_terms(self, status: int, headers: Mapping[str, str]) -> AnswerTerms:
        """Return the terms in an answer's headers."""
        lower = {name.lower(): value for name, value in headers.items()}
        return AnswerTerms(
            request_id=lower.get("x-id", ""),
            not_run="x-not-run" in lower,
            other_backend="x-other" in lower,
            load=None,
            leaving="x-leaving" in lower,
            closed_for=parse_retry_after(lower["retry-after"]) if "retry-after" in lower else None,
            limits=ServerLimits(
                parse_rate_limit(lower["x-limit"]) if "x-limit" in lower else None,
                parse_count(lower.get("x-brittle", "")),
            ),
        )

    def listing_target(self, token: str) -> str:
        """Return the path of the listing page for `token`, or of the first page."""
        return f"/list?page={token}" if token else "/list"

    def decode_listing(self, data: bytes) -> ListingPage:
        """Return the decoded listing page; raises ValueError if it is malformed."""
        try:
            page = msgspec.json.decode(data)
            return ListingPage([_listed(entry) for entry in page["servers"]], page["next"])
        except (msgspec.DecodeError, KeyError, TypeError) as exc:
            raise ValueError(str(exc)) from None


def _listed(entry: dict[str, str]) -> ListedBackend:
    return ListedBackend(
        id=BackendId(entry["id"]),
        service=ServiceName(entry["service"]),
        address=parse_address(entry["address"]),
        data_centre=DataCentre(entry["dc"]),
        version=VersionName(entry.get("version", "v1")),
        slots=8,
        leaving=entry.get("leaving") == "yes",
        warming_up=False,
    )
