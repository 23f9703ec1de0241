"""Exchanges of a caller's request with another entry VM."""

import socket
from collections.abc import Iterator, Mapping
from enum import Enum
from http.client import HTTPException
from typing import NamedTuple

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.verdict import BACKEND_LOST, Refusal, Verdict
from urllib3.exceptions import HTTPError
from urllib3.response import HTTPResponse

from nutmegdrum import metrics, sse
from nutmegdrum.logs import log_change
from nutmegdrum.open_exchanges import OpenExchanges
from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.plain_http import OWN_HEADERS
from nutmegdrum.problems import VERDICT_HEADER
from nutmegdrum.strict_response import StrictConnection
from nutmegdrum.units import Address, Duration, parse_count

PASSED_ON_HEADER = "nutmegdrum-passed-on"
"""Header of a request that another entry VM has passed on; its value is that VM's id."""

WAITED_HEADER = "nutmegdrum-waited-ms"
"""Header with the time in ms that the other entry VM has spent on the request."""

SENT_HEADER = "nutmegdrum-sent"
"""Header of the refusal of a passed-on request that backend servers got and rejected."""

LAST_EVENT_HEADER = "last-event-id"

CONNECT_TIMEOUT_S = 0.3

_MS_PER_S = 1_000


class NotServed(Enum):
    """What became of a request that has not run at another entry VM."""

    NOT_SENT = "not-sent"
    REJECTED = "rejected"


class CallerRequest(NamedTuple):
    """Request as its caller sent it.

    Attributes
    ----------
    target : str
        Path and query string.
    headers : Mapping
        Headers by lower-case name.
    arrived_ms : int
        Elapsed time in ms at which it arrived.
    resumable : bool
        Whether it is for a generation, which any VM can resume after an event that was sent.
    """

    method: str
    target: str
    headers: Mapping[str, str]
    body: bytes
    arrived_ms: int
    resumable: bool = False

    @property
    def passed_on(self) -> bool:
        """Return whether another entry VM has passed it on."""
        return PASSED_ON_HEADER in self.headers

    @property
    def resumes(self) -> bool:
        """Return whether it resumes a generation."""
        return self.resumable and LAST_EVENT_HEADER in self.headers

    @property
    def waited_ms(self) -> int:
        """Return the time in ms that another entry VM has spent on it."""
        return parse_count(self.headers.get(WAITED_HEADER, "")) or 0

    def after_event(self, event_id: str) -> "CallerRequest":
        """Return the request that resumes its stream after an event."""
        return self._replace(headers={**self.headers, LAST_EVENT_HEADER: event_id})


class PeerAnswer:
    """Answer of another entry VM, on a connection that is used for nothing else.

    An idle connection may be closed just as a request is sent, which would leave it in doubt.
    """

    def __init__(
        self,
        conn: StrictConnection,
        sock: socket.socket,
        response: HTTPResponse,
        exchanges: OpenExchanges,
    ):
        self._conn = conn
        # The connection drops its socket if the answer ends with it.
        self._sock = sock
        self._response = response
        self._exchanges = exchanges
        self.status = response.status
        self.headers = response.headers

    @property
    def is_stream(self) -> bool:
        """Return whether it is a stream of events."""
        kind = self.headers.get("Content-Type", "")
        return self.status == 200 and kind.startswith(sse.CONTENT_TYPE)

    def read(self) -> bytes:
        """Return the whole body.

        Raises
        ------
        Refusal
            If it breaks off.
        """
        try:
            return b"".join(self._conn.response.parts())
        except (HTTPException, OSError) as exc:
            raise lost_answer("another entry VM", exc) from exc
        finally:
            self.close()

    def events(self, reader: sse.EventReader) -> Iterator[bytes]:
        """Yield the events that have arrived completely, until the stream or connection ends."""
        try:
            for part in self._conn.response.parts():
                events = reader.feed(part)
                if events:
                    yield events
                if reader.ended:
                    break
        except (HTTPException, OSError) as exc:
            log_change("passed-on-stream-lost", error=str(exc))
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection."""
        self._exchanges.remove(self._sock)
        self._response.close()
        self._conn.close()


def _connect(address: Address) -> StrictConnection:
    conn = StrictConnection(address.host, address.port, timeout=CONNECT_TIMEOUT_S)
    conn.connect()
    return conn


class PeerExchange:
    """Sends callers' requests to other entry VMs.

    Parameters
    ----------
    timeout : Duration
        Longest wait for another VM to send anything.
    exchanges : OpenExchanges
        Gets the exchanges in progress, so that a stop can end them.
    """

    def __init__(self, vm: VmId, clock: Clock, timeout: Duration, exchanges: OpenExchanges):
        self._vm = vm
        self._exchanges = exchanges
        self._clock = clock
        self._timeout_s = timeout / _MS_PER_S

    def send(self, peer: PeerAddress, req: CallerRequest) -> PeerAnswer | NotServed:
        """Return the VM's answer, unless it was not reached or refuses the request as not run.

        Raises
        ------
        Refusal
            If the request may have run, but no answer came.
        """
        try:
            conn = _connect(peer.address)
        except (HTTPError, OSError) as exc:
            metrics.PASSED_ON.labels("not-sent").inc()
            log_change("peer-not-reached", peer=peer.vm, error=str(exc))
            return NotServed.NOT_SENT
        sock = conn.sock
        self._exchanges.add(sock)
        try:
            sock.settimeout(self._timeout_s)
            headers = self._headers(req)
            conn.request(req.method, req.target, req.body or None, headers, preload_content=False)
            answer = PeerAnswer(conn, sock, conn.getresponse(), self._exchanges)
        except (HTTPError, HTTPException, OSError) as exc:
            self._exchanges.remove(sock)
            conn.close()
            raise lost_answer(f"entry VM {peer.vm}", exc) from exc
        if answer.headers.get(VERDICT_HEADER) == Verdict.NOT_RUN.value:
            metrics.PASSED_ON.labels("refused").inc()
            answer.close()
            return NotServed.REJECTED if SENT_HEADER in answer.headers else NotServed.NOT_SENT
        metrics.PASSED_ON.labels("answered").inc()
        log_change("request-passed-on", peer=peer.vm, status=answer.status)
        return answer

    def _headers(self, req: CallerRequest) -> dict[str, str]:
        own = OWN_HEADERS - {"authorization"}
        headers = {name: value for name, value in req.headers.items() if name.lower() not in own}
        headers[PASSED_ON_HEADER] = self._vm
        headers[WAITED_HEADER] = str(self._clock.elapsed_ms() - req.arrived_ms)
        return headers


def lost_answer(what: str, exc: Exception | None = None) -> Refusal:
    """Return the refusal of a request whose answer another VM began, or may have begun."""
    metrics.PASSED_ON.labels("lost").inc()
    detail = f"{what} was lost before the end of its answer"
    if exc is not None:
        log_change("passed-on-request-lost", detail=detail, error=str(exc))
    return Refusal(BACKEND_LOST, Verdict.MAY_HAVE_RUN, None, detail)
