"""Interface to a platform's formats: headers, list of backend servers and documents."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from nutmegdrum.rate_limits import NO_LIMITS, ServerLimits
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.ids import (
    BackendId,
    DataCentre,
    PromptPart,
    ServiceName,
    VersionName,
    WorkspaceId,
)

from nutmegdrum_relay.documents import RoutingDocument

MAX_SHARED_PARTS = 32
"""Shared parts of a prompt that are considered; prompts have a few."""

Headers = list[tuple[str, str]]
"""Headers in the order and spelling in which they were sent."""


class RequestTerms(NamedTuple):
    """Metadata of a caller's request, from its headers.

    Attributes
    ----------
    request_id : str
        Id of this request; empty if the caller sent none.
    deadline : Duration or None
        Time that the caller will wait for the answer.
    key : str
        API key of the workspace; empty if the caller sent none.
    last_event_id : str
        Id of the last event that the caller received of this stream; empty at its start.
    prompt_tokens, output_tokens : int
        Expected size of a generation; 0 if unknown.
    shared_parts : tuple of PromptPart
        Parts of the prompt that other requests may share, in their order; the last part of a prompt
        is the request's own and not among them.
    output_hint : int
        The client's estimate of the output tokens, often far off; 0 for none.
    """

    request_id: str
    deadline: Duration | None
    key: str
    last_event_id: str
    prompt_tokens: int
    output_tokens: int
    shared_parts: tuple[PromptPart, ...] = ()
    output_hint: int = 0


class AttemptTerms(NamedTuple):
    """Metadata that the relay sends with one attempt.

    Attributes
    ----------
    time_left : Duration
        Time until the deadline of the attempt.
    urgency : int
        Rank of the request; 0 is the most urgent.
    copy_to : Address or None
        Engine that receives a copy of the run's KV cache while it grows.
    copy_at : Address or None
        Engine that holds such a copy, from which the run resumes.
    """

    backend: BackendId
    time_left: Duration
    workspace: WorkspaceId | None
    urgency: int
    last_event_id: str = ""
    copy_to: Address | None = None
    copy_at: Address | None = None


class Load(NamedTuple):
    """Load that a backend server reports in an answer.

    Attributes
    ----------
    slowness : int or None
        Current slowness of its machine in percent, 100 for the usual speed; None for no statement.
    """

    running: int
    waiting: int
    slots: int
    slowness: int | None = None


class AnswerTerms(NamedTuple):
    """Metadata of a backend server's answer, from its headers.

    Attributes
    ----------
    request_id : str
        Id of the request that was answered.
    not_run : bool
        Whether the backend server states that it did not run the request.
    other_backend : bool
        Whether another backend server has taken over the address.
    leaving : bool
        Whether the backend server announces that it is leaving.
    closed_for : Duration or None
        Backoff hint: time for which this VM should send no requests.
    limits : ServerLimits
        Limits of the backend server for all entry VMs together.
    """

    request_id: str
    not_run: bool
    other_backend: bool
    load: Load | None
    leaving: bool = False
    closed_for: Duration | None = None
    limits: ServerLimits = NO_LIMITS


class ListedBackend(NamedTuple):
    """Entry of a backend server in the platform's list.

    Attributes
    ----------
    leaving : bool
        Whether it is draining and must get no new requests.
    warming_up : bool
        Whether it is still slow after its start.
    """

    id: BackendId
    service: ServiceName
    address: Address
    data_centre: DataCentre
    version: VersionName
    slots: int
    leaving: bool
    warming_up: bool


class ListingPage(NamedTuple):
    """Page of the platform's list.

    Attributes
    ----------
    next_token : str
        Token of the next page; empty for none.
    ignored : int
        Entries that name no backend server.
    """

    listed: list[ListedBackend]
    next_token: str
    ignored: int = 0


class Dialect(Protocol):
    """Names and formats of one platform, without any policy."""

    report_path: str
    """Path of an engine's health probe."""

    def is_forwarded(self, name: str) -> bool:
        """Return whether a caller's header of this name is forwarded to backend servers."""
        ...

    def request_terms(self, headers: Mapping[str, str]) -> RequestTerms:
        """Decode a request's headers; names are in lower case."""
        ...

    def attempt_headers(self, request: RequestTerms, attempt: AttemptTerms) -> Headers:
        """Return the headers that the relay adds to an attempt's request."""
        ...

    def probe_headers(self, backend: BackendId) -> Headers:
        """Return headers of a probe by which another backend server at the address refuses it."""
        ...

    def caller_headers(self, request: RequestTerms, attempt: AttemptTerms) -> Headers:
        """Return headers with which another entry VM handles a request as its caller's.

        They complete the caller's forwarded headers: the key, the time left and the last event.
        """
        ...

    def answer_terms(self, status: int, headers: Mapping[str, str]) -> AnswerTerms:
        """Decode an answer's headers; names are matched without regard to case."""
        ...

    def listing_target(self, token: str) -> str:
        """Return the path and query of a page of the platform's list."""
        ...

    def decode_listing(self, data: bytes) -> ListingPage:
        """Decode a page, without its invalid entries.

        Raises
        ------
        ValueError
            If the page as a whole is invalid.
        """
        ...

    def decode_document(self, source: bytes) -> RoutingDocument:
        """Decode and check a routing document.

        Raises
        ------
        UserError
            If the source is not a valid document.
        """
        ...
