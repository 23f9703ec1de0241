"""Requests that are passed on to an entry VM that can reach their backend servers.

An entry VM that reaches no backend server of a service may have lost its own paths to them. The
other VM handles the request as its caller's, but never passes it on again.
"""

import random
from collections.abc import Callable, Iterator, Sequence

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.verdict import BACKEND_LOST, NO_BACKEND, RETRY_BUDGET_SPENT, Refusal, Verdict
from nutmegdrum_scheduling.resends.kinds import Resend

from nutmegdrum import sse
from nutmegdrum.logs import log_change
from nutmegdrum.open_exchanges import OpenExchanges
from nutmegdrum.peer_directory import PeerAddress
from nutmegdrum.peer_exchange import (
    LAST_EVENT_HEADER,
    CallerRequest,
    NotServed,
    PeerAnswer,
    PeerExchange,
    lost_answer,
)
from nutmegdrum.plain_http import OWN_HEADERS
from nutmegdrum.problems import problem_of
from nutmegdrum.reach import ServiceReach
from nutmegdrum.resends import Resends
from nutmegdrum.units import Duration
from nutmegdrum.wsgi import Response, StreamedResponse

UNREACHED = (NO_BACKEND, BACKEND_LOST, RETRY_BUDGET_SPENT)
"""Reasons with which a request that has not run reached no backend server."""

MAX_TRIED = 2
"""Entry VMs to which one request is passed on at most, and again for each resumption."""

MAX_RESUMPTIONS = 2
"""Resumptions of one stream after the entry VM that served it was lost."""

RETRY_AFTER_MS = 1_000
"""Backoff hint for callers that no VM can serve now, in ms."""


class PassingOn:
    """Passes requests on to other entry VMs; thread-safe.

    Parameters
    ----------
    timeout : Duration
        Longest wait for another VM to send anything.
    reach : ServiceReach
        Record of the services that this VM cannot reach.
    resends : Resends
        Retry budget, to which requests are counted that this VM only passes on.
    exchanges : OpenExchanges or None
        Gets the exchanges in progress, so that a stop can end them.

    Attributes
    ----------
    peers : sequence of PeerAddress
        Other entry VMs that take requests.
    """

    def __init__(
        self,
        vm: VmId,
        clock: Clock,
        rng: random.Random,
        timeout: Duration,
        reach: ServiceReach,
        resends: Resends,
        exchanges: OpenExchanges | None = None,
    ):
        self.peers: Sequence[PeerAddress] = ()
        self._exchange = PeerExchange(vm, clock, timeout, exchanges or OpenExchanges())
        self._rng = rng
        self._reach = reach
        self._resends = resends

    def takes_requests(self) -> bool:
        """Return whether this VM can take requests from others."""
        return self._reach.is_complete()

    def answer(
        self, service: str, req: CallerRequest, own: Callable[[], Response | StreamedResponse]
    ) -> Response | StreamedResponse:
        """Return the answer of `own`, or another VM's if this one reaches no backend server.

        Raises
        ------
        Refusal
            That of `own`; `NO_BACKEND` if other VMs refuse it as well; or that of a request that
            may have run at another VM, but was not answered.
        """
        if not req.passed_on and not self._reach.takes_request(service):
            answer = self._pass_on(service, req)
            if answer is None:
                # A try of its own would only take permits from the VMs that reach the servers.
                raise Refusal(NO_BACKEND, Verdict.NOT_RUN, RETRY_AFTER_MS)
            if not req.resumes:
                self._resends.on_request(service)
            return answer
        try:
            answer = own()
        except Refusal as refusal:
            if req.passed_on or not _reached_no_server(refusal, req):
                raise
            passed_on = self._pass_on(service, req)
            if passed_on is None:
                raise
            self._reach.on_cut_off(service)
            return passed_on
        self._reach.on_reached(service)
        return answer

    def resume(
        self, service: str, req: CallerRequest, refusal: Refusal, event_id: str
    ) -> Iterator[bytes] | None:
        """Return another VM's events after `event_id` for a stream that broke off here.

        None if backend servers were reached from here, or no other VM can serve it.
        """
        if req.passed_on or refusal.why is not NO_BACKEND:
            return None
        rest = req.after_event(event_id)
        answer = self._resumed(service, rest)
        if answer is None:
            return None
        self._reach.on_cut_off(service)
        return self._relay(service, rest, answer)

    def _pass_on(self, service: str, req: CallerRequest) -> Response | StreamedResponse | None:
        answer = self._send_to_any(service, req)
        if answer is None:
            return None
        headers = [(n, v) for n, v in answer.headers.items() if n.lower() not in OWN_HEADERS]
        if answer.is_stream:
            return StreamedResponse(answer.status, headers, self._relay(service, req, answer))
        return Response(answer.status, answer.read(), headers)

    def _relay(self, service: str, req: CallerRequest, answer: PeerAnswer) -> Iterator[bytes]:
        """Yield the events of a stream; if its VM is lost, resume it at another one."""
        last_id = req.headers.get(LAST_EVENT_HEADER, "")
        for _ in range(1 + MAX_RESUMPTIONS):
            reader = sse.EventReader(last_id)
            yield from answer.events(reader)
            if reader.ended:
                return
            last_id = reader.last_id
            resumed = self._resumed(service, req.after_event(last_id)) if last_id else None
            if resumed is None:
                break
            answer = resumed
        lost = lost_answer("the entry VM that served the stream")
        lost.retry_after_ms = RETRY_AFTER_MS
        yield sse.failure(problem_of(lost))

    def _resumed(self, service: str, req: CallerRequest) -> PeerAnswer | None:
        try:
            answer = self._send_to_any(service, req)
        except Refusal as refusal:
            log_change("stream-not-resumed", error=refusal.detail)
            return None
        if answer is None or answer.is_stream:
            return answer
        log_change("stream-not-resumed", error=f"status {answer.status}")
        answer.close()
        return None

    def _send_to_any(self, service: str, req: CallerRequest) -> PeerAnswer | None:
        """Return the first answer that is no refusal of a request that has not run.

        After backend servers of one VM have rejected the request, the next one's send is a resend.
        A VM that resumes a generation draws on its own retry budget.

        Raises
        ------
        Refusal
            If the request may have run, but no answer came.
        """
        peers = self.peers
        sent = False
        for peer in self._rng.sample(peers, min(MAX_TRIED, len(peers))):
            if sent and not self._resends.take(service, Resend.RETRY):
                return None
            answer = self._exchange.send(peer, req)
            if isinstance(answer, PeerAnswer):
                return answer
            sent = sent or (answer is NotServed.REJECTED and not req.resumes)
        return None


def _reached_no_server(refusal: Refusal, req: CallerRequest) -> bool:
    """Return whether a refused request can be passed on as one that reached no backend server."""
    if refusal.verdict is Verdict.NOT_RUN:
        return refusal.why in UNREACHED and not refusal.sent
    return refusal.why is NO_BACKEND and req.resumes
