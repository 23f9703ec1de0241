"""HTTP client of plain services."""

from collections.abc import Callable, Mapping
from http.client import HTTPException
from typing import NamedTuple, Protocol

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError
from urllib3.exceptions import TimeoutError as HttpTimeoutError
from urllib3.response import HTTPResponse

from nutmegdrum.bounded_http import MAX_HEAD, BoundedConnection, Extend, give_up
from nutmegdrum.messages import BackendLost, LossKind
from nutmegdrum.open_exchanges import OpenExchanges
from nutmegdrum.rate_limits import MAX_REJECTED_HEADER, RATE_LIMIT_HEADER
from nutmegdrum.settings import BackendSettings
from nutmegdrum.units import Duration

MAX_REPLY_BYTES = 16 << 20
"""Largest body of a reply, in bytes."""

AnswerListener = Callable[[BackendId, int, Mapping[str, str]], None]
"""Listener that is called with a backend server, and status and headers of its answer."""

_MS_PER_S = 1_000
OWN_HEADERS = frozenset(
    {
        "authorization",
        "connection",
        "content-length",
        "expect",
        "host",
        "keep-alive",
        "nutmegdrum-attempt",
        "nutmegdrum-passed-on",
        "nutmegdrum-waited-ms",
        MAX_REJECTED_HEADER.lower(),
        RATE_LIMIT_HEADER.lower(),
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    }
)

STATED_BY_GATEWAY = frozenset({"idempotency-replayed", "nutmegdrum-sent", "nutmegdrum-verdict"})
"""Headers by which an entry VM tells callers and other entry VMs what became of a request; they are
not passed through from backend servers, as a request that ran would be taken for one that did not.
"""

_DROPPED_FROM_REPLIES = OWN_HEADERS | STATED_BY_GATEWAY


class PlainCall(NamedTuple):
    """One attempt at a call to a plain service.

    Attributes
    ----------
    path : str
        Path and query string, as the caller sent them.
    """

    method: str
    path: str
    headers: Mapping[str, str]
    body: bytes
    attempt: int


class PlainReply(NamedTuple):
    """Complete response of a plain service."""

    status: int
    headers: dict[str, str]
    body: bytes


class SendForbidden(Exception):
    """The call may no longer be sent; no byte was sent."""


class PlainSender(Protocol):
    """Client of a plain service's backend servers."""

    def send(
        self,
        backend: BackendSettings,
        call: PlainCall,
        may_send: Callable[[], bool],
        connect_timeout_ms: int,
        timeout_ms: int,
        extend: Extend = give_up,
    ) -> PlainReply:
        """Connect, check `may_send`, send the call and return the complete reply.

        `timeout_ms` bounds all of it, unless `extend` returns more time when it has passed.

        Raises
        ------
        SendForbidden
            If `may_send` returned False right before the first byte.
        BackendLost
            If the exchange failed; `sent` says whether a byte may have been sent.
        """
        ...


class HttpPlainSender:
    """HTTP/1.1 client of plain services, with a new connection for each call.

    The server may close a keep-alive connection just as a call is sent, in which case it is unknown
    whether the call ran. If a new connection cannot be established, certainly no byte was sent.

    Parameters
    ----------
    on_answer : callable
        Called with status and headers of each reply, as soon as they have arrived.
    exchanges : OpenExchanges or None
        Gets the calls in progress, so that a stop can end them.
    """

    def __init__(
        self,
        clock: Clock,
        on_answer: AnswerListener = lambda backend, status, headers: None,
        exchanges: OpenExchanges | None = None,
    ):
        self._clock = clock
        self._on_answer = on_answer
        self._exchanges = exchanges or OpenExchanges()

    def send(
        self,
        backend: BackendSettings,
        call: PlainCall,
        may_send: Callable[[], bool],
        connect_timeout_ms: int,
        timeout_ms: int,
        extend: Extend = give_up,
    ) -> PlainReply:
        """Connect, check `may_send`, send the call and return the complete reply.

        `timeout_ms` bounds all of it, unless `extend` returns more time when it has passed.

        Raises
        ------
        SendForbidden
            If `may_send` returned False right before the first byte.
        BackendLost
            If the exchange failed; `sent` says whether a byte may have been sent.
        """
        address = backend.address
        deadline_ms = self._clock.elapsed_ms() + timeout_ms
        timeout_s = min(connect_timeout_ms, timeout_ms) / _MS_PER_S
        conn = BoundedConnection(address.host, address.port, self._clock, timeout=timeout_s)
        try:
            _connect(conn, backend.id)
            # The time-out of each step of sending the request.
            conn.timeout = max(1, deadline_ms - self._clock.elapsed_ms()) / _MS_PER_S
            if not may_send():
                raise SendForbidden
            return self._exchange(conn, backend.id, call, deadline_ms, extend)
        finally:
            conn.close()

    def _exchange(
        self,
        conn: BoundedConnection,
        backend: BackendId,
        call: PlainCall,
        deadline_ms: int,
        extend: Extend,
    ) -> PlainReply:
        sock = conn.sock
        self._exchanges.add(sock)
        try:
            self._set_socket_timeout(conn, deadline_ms)
            conn.request(call.method, call.path, call.body, _headers(call), preload_content=False)
            conn.bounds.extend = extend
            conn.bounds.renew(self._remaining(deadline_ms), MAX_HEAD)
            response = conn.getresponse()
            self._on_answer(backend, response.status, response.headers)
            conn.bounds.renew(conn.bounds.time_left(), MAX_REPLY_BYTES)
            body = b"".join(conn.response.parts())
        except (TimeoutError, HttpTimeoutError) as exc:
            raise BackendLost(backend, LossKind.SILENT, True, str(exc)) from exc
        except (OSError, HTTPError, HTTPException) as exc:
            raise BackendLost(backend, LossKind.RESET, True, str(exc)) from exc
        finally:
            self._exchanges.remove(sock)
        return PlainReply(response.status, _reply_headers(response), body)

    def _remaining(self, deadline_ms: int) -> Duration:
        left_ms = deadline_ms - self._clock.elapsed_ms()
        if left_ms <= 0:
            raise TimeoutError("the call has exceeded its time-out")
        return Duration(left_ms)

    def _set_socket_timeout(self, conn: BoundedConnection, deadline_ms: int) -> None:
        if conn.sock is not None:
            conn.sock.settimeout(self._remaining(deadline_ms) / _MS_PER_S)


def _connect(conn: HTTPConnection, backend: BackendId) -> None:
    try:
        conn.connect()
    except (OSError, HTTPError) as exc:
        raise BackendLost(backend, LossKind.REFUSED, False, str(exc)) from exc


def _headers(call: PlainCall) -> dict[str, str]:
    kept = {k: v for k, v in call.headers.items() if k.lower() not in OWN_HEADERS}
    return {**kept, "Nutmegdrum-Attempt": str(call.attempt)}


def _reply_headers(response: HTTPResponse) -> dict[str, str]:
    kept = response.headers.items()
    return {k: v for k, v in kept if k.lower() not in _DROPPED_FROM_REPLIES}
