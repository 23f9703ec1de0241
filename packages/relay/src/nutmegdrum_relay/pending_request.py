"""A caller's request while it is being answered."""

import threading
from collections.abc import Callable
from dataclasses import dataclass, field

from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import Fingerprint, WorkspaceId
from nutmegdrum_scheduling.memory import RequestMemory
from nutmegdrum_scheduling.placement.choice import Demand

from nutmegdrum_relay.call_progress import CallPhase, CallProgress
from nutmegdrum_relay.dialect import Headers, RequestTerms
from nutmegdrum_relay.documents import Route, Service
from nutmegdrum_relay.upstream import AbortReason, Exchange


@dataclass(eq=False)
class PendingRequest:
    """A caller's request, with everything that its attempts need.

    Attributes
    ----------
    headers : list
        The caller's headers that are forwarded.
    deadline_ms : int
        Elapsed time in ms by which the caller is answered, just before it stops waiting.
    fingerprint : Fingerprint
        Identity of the request's content; equal for resends, at whichever entry VM.
    parts : tuple of Fingerprint
        Parts of its prompt that other requests may share.
    answer_margin : Duration
        Time that the caller waits beyond the deadline, for an answer on its way.
    document : int
        Version of the routing document by which the request was accepted.
    passed_on : bool
        Whether another entry VM passed it on to this one.
    sent : int
        Backend servers that earlier attempts may have reached.
    sends : int
        Times that it has been sent to a backend server or another entry VM.
    resend_reason : str
        Why it is sent again; the loss of the last attempt that sent it.
    may_send_again : bool
        Whether the retry budget allows the next send.
    permit_ms : int
        Elapsed time in ms when it allowed that.
    caller_gone : bool
        Whether the caller has closed its connection.
    ended : bool
        Whether this VM ends the request because it is being stopped.
    answer_whole : bool
        Whether the answer has arrived completely.
    priorities : tuple of int
        Different priorities of its service's requests, in their order.
    on_wake : callable or None
        Called when the caller has gone or this VM ends the request, while it waits to be sent.
    taken_ms : int
        Elapsed time in ms at which the request had arrived completely.
    memory : RequestMemory or None
        Part of the byte budget that its answer uses; None if it is not limited.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    terms: RequestTerms
    route: Route
    service: Service
    workspace: WorkspaceId | None
    urgency: int
    demand: Demand
    deadline_ms: int
    fingerprint: Fingerprint
    parts: tuple[Fingerprint, ...] = ()
    answer_margin: Duration = Duration(0)
    document: int = 0
    passed_on: bool = False
    sent: int = 0
    sends: int = 0
    resend_reason: str = ""
    may_send_again: bool = False
    permit_ms: int = 0
    caller_gone: bool = False
    ended: bool = False
    answer_whole: bool = False
    taken_ms: int = 0
    priorities: tuple[int, ...] = ()
    on_wake: Callable[[], None] | None = None
    memory: RequestMemory | None = None
    _exchange: Exchange | None = None
    _lock: threading.Lock = field(default_factory=threading.Lock)

    def time_to_deadline(self, clock: Clock) -> Duration:
        """Return the time until the deadline; negative after it."""
        return Duration(self.deadline_ms - clock.elapsed_ms())

    def on_answer_begun(self) -> None:
        """Use all the time that the caller waits, as there is no refusal left to send in time."""
        self.deadline_ms += int(self.answer_margin)
        self.answer_margin = Duration(0)

    def progress(self) -> CallProgress:
        """Return how far the call has got."""
        with self._lock:
            exchange = self._exchange
        if self.answer_whole:
            return CallProgress(CallPhase.DELIVERING, self.sends)
        if exchange is None:
            phase = CallPhase.BETWEEN_SERVERS if self.sends else CallPhase.UNSENT
            return CallProgress(phase, self.sends)
        phase = CallPhase.ANSWERING if exchange.answer_begun else CallPhase.SENT
        return CallProgress(phase, self.sends, exchange.last_byte_ms, exchange.unread_bytes)

    def on_caller_gone(self) -> None:
        """Abort the current exchange because the caller closed its connection."""
        with self._lock:
            self.caller_gone = True
            if self._exchange is not None:
                self._exchange.abort(AbortReason.CALLER_GONE)
        self._wake()

    def _wake(self) -> None:
        wake = self.on_wake
        if wake is not None:
            wake()

    def end(self, undelivered: bool = False) -> bool:
        """End the request because this VM is being stopped; return whether this ended it.

        What has arrived is left to be delivered first if its caller is slow to take it.

        Parameters
        ----------
        undelivered : bool
            Whether a part of the answer is buffered for the caller.
        """
        with self._lock:
            if self.answer_whole:
                return False
            exchange, was_ended, self.ended = self._exchange, self.ended, True
            if exchange is None:
                self._wake()
                return not was_ended
            if exchange.aborted or undelivered or exchange.has_unread:
                return False
            return exchange.abort(AbortReason.STOPPING)

    def set_exchange(self, exchange: Exchange | None) -> None:
        """Set the exchange in progress; abort it if the request has ended already."""
        with self._lock:
            self._exchange = exchange
            if exchange is None:
                return
            if self.caller_gone:
                exchange.abort(AbortReason.CALLER_GONE)
            elif self.ended:
                exchange.abort(AbortReason.STOPPING)
