"""What the relay needs to know of the formats that callers, backend servers and lists speak."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.ids import BackendId, DataCentre, ServiceName, VersionName, WorkspaceId

from nutmegdrum_relay.documents import RoutingDocument

Headers = list[tuple[str, str]]
"""Header lines in their order, with names as they were sent."""


class RequestTerms(NamedTuple):
    """What a caller's headers say of its request.

    Attributes
    ----------
    request_id : str
        Identity of this attempt of the caller; empty if it sent none.
    deadline : Duration or None
        Time that the caller will wait.
    key : str
        Workspace key; empty if none was shown.
    last_event_id : str
        Id of the last event that the caller has of this stream; empty at its start.
    prompt_tokens, output_tokens : int
        Size of a generation; 0 where it is not said.
    """

    request_id: str
    deadline: Duration | None
    key: str
    last_event_id: str
    prompt_tokens: int
    output_tokens: int


class AttemptTerms(NamedTuple):
    """What the relay says of one attempt to a backend server.

    Attributes
    ----------
    time_left : Duration
        Time that the backend server may take.
    urgency : int
        Rank of the request, 0 first.
    copy_to : Address or None
        Engine that gets a copy of the run's KV cache while it grows.
    copy_at : Address or None
        Engine that holds such a copy, from which the run goes on.
    """

    backend: BackendId
    time_left: Duration
    workspace: WorkspaceId | None
    urgency: int
    last_event_id: str = ""
    copy_to: Address | None = None
    copy_at: Address | None = None


class Load(NamedTuple):
    """Load of a backend server as it said in an answer."""

    running: int
    waiting: int
    slots: int


class AnswerTerms(NamedTuple):
    """What a backend server's headers say of its answer.

    Attributes
    ----------
    request_id : str
        Request that the answer belongs to.
    not_run : bool
        Whether the backend server states that it did not run the request.
    other_backend : bool
        Whether another backend server has the address now.
    leaving : bool
        Whether the backend server says that it leaves.
    closed_for : Duration or None
        Time for which it wants no request from this VM.
    """

    request_id: str
    not_run: bool
    other_backend: bool
    load: Load | None
    leaving: bool = False
    closed_for: Duration | None = None


class ListedBackend(NamedTuple):
    """Backend server as the platform's list shows it.

    Attributes
    ----------
    leaving : bool
        Whether it will stop soon and gets no new requests.
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
    """One page of the platform's list, and how to ask for the next one (empty for none)."""

    listed: list[ListedBackend]
    next_token: str


class Dialect(Protocol):
    """Names and formats of one platform; decides nothing."""

    report_path: str
    """Path at which an engine tells its state."""

    def is_forwarded(self, name: str) -> bool:
        """Return whether a caller's header of this name is passed on."""
        ...

    def request_terms(self, headers: Mapping[str, str]) -> RequestTerms:
        """Return what a request's headers say; names are in lower case."""
        ...

    def attempt_headers(self, request: RequestTerms, attempt: AttemptTerms) -> Headers:
        """Return the headers that the relay adds to an attempt."""
        ...

    def answer_terms(self, status: int, headers: Mapping[str, str]) -> AnswerTerms:
        """Return what an answer's headers say; look-ups ignore case."""
        ...

    def listing_target(self, token: str) -> str:
        """Return the path and query of one page of the platform's list."""
        ...

    def decode_listing(self, data: bytes) -> ListingPage:
        """Return a page; entries that cannot be read are left out.

        Raises
        ------
        ValueError
            If the page as a whole cannot be read.
        """
        ...

    def decode_document(self, source: bytes) -> RoutingDocument:
        """Decode and check a routing document.

        Raises
        ------
        UserError
            If the source is no valid document.
        """
        ...
