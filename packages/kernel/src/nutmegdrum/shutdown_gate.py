"""WSGI wrapper that counts requests and refuses new ones during a shutdown."""

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.verdict import SHUTTING_DOWN, Refusal, Verdict

from nutmegdrum import metrics
from nutmegdrum.completion_handler import GENERATION_HEADER
from nutmegdrum.logs import log_change
from nutmegdrum.problems import problem_headers, problem_of
from nutmegdrum.shutdown import Phase, Shutdown
from nutmegdrum.wsgi import Environ, Response, StartResponse, StreamedBody, WsgiApp

RETRY_AFTER_MS = 1_000
"""Backoff hint of refusals during a shutdown, in ms."""

CALL = "nutmegdrum.call"
"""Key of the admitted request in the environment."""

MAX_LOGGED = 200
"""Characters of a caller's text that are logged."""

_ADMITTING = (Phase.SERVING, Phase.NOTICE)
_ENDING = (Phase.HANDING_OVER, Phase.DONE)
_POLL_S = 0.02


class OpenCall:
    """Admitted request, until its answer has ended.

    Attributes
    ----------
    complete_ms : int or None
        Time at which its body had been read; None before.
    answering : bool
        Whether the server got a part of its answer's body.
    """

    def __init__(self, environ: Environ, clock: Clock, shutdown: Shutdown):
        self._clock = clock
        self._shutdown = shutdown
        self._method = environ["REQUEST_METHOD"]
        self._path = environ["PATH_INFO"]
        self._request = environ.get("HTTP_X_REQUEST_ID", "")
        self._generation = ""
        self.complete_ms: int | None = None
        self.answering = False

    def complete(self) -> None:
        """Note that the request has been read whole.

        Raises
        ------
        Refusal
            If that is too late for this VM, which is shutting down.
        """
        self.complete_ms = self._clock.elapsed_ms()
        if not self._shutdown.may_take(self.complete_ms):
            raise _refusal()

    def start_answer(self, headers: list[tuple[str, str]]) -> None:
        """Note the id of the generation that the answer is about."""
        for name, text in headers:
            if name.lower() == GENERATION_HEADER.lower():
                self._generation = text

    def log(self, outcome: str, phase: Phase) -> None:
        """Write the line about what a shutdown did to the request."""
        complete_ms = self.complete_ms
        log_change(
            "request-at-shutdown",
            outcome=outcome,
            phase=phase.value,
            method=self._method[:MAX_LOGGED],
            path=self._path[:MAX_LOGGED],
            request=self._request[:MAX_LOGGED],
            generation=self._generation,
            complete_after_signal_ms=(
                None if complete_ms is None else self._shutdown.after_signal_ms(complete_ms)
            ),
            ended_after_signal_ms=self._shutdown.after_signal_ms(self._clock.elapsed_ms()),
            answer_begun=self.answering,
        )


def body_is_complete(environ: Environ) -> None:
    """Tell the gate, if there is one, that the request has been read whole.

    Raises
    ------
    Refusal
        If the request is complete too late; it must not be sent on then.
    """
    call = environ.get(CALL)
    if call is not None:
        call.complete()


class ShutdownGate:
    """WSGI application that wraps the gateway.

    Parameters
    ----------
    app : WsgiApp
        The gateway.
    unfinished : callable
        Returns the number of tasks besides requests that must end before the VM exits.
    """

    def __init__(
        self, app: WsgiApp, clock: Clock, shutdown: Shutdown, unfinished: Callable[[], int]
    ):
        self._app = app
        self._clock = clock
        self._shutdown = shutdown
        self._unfinished = unfinished
        self._open: set[OpenCall] = set()
        self._lock = threading.Lock()
        self.phase = Phase.SERVING

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request, or refuse it as not run if the VM is shutting down."""
        call = OpenCall(environ, self._clock, self._shutdown)
        with self._lock:
            admitted = self.phase in _ADMITTING
            if admitted:
                self._open.add(call)
        if not admitted:
            return _refuse(start_response)
        try:
            body = self._app({**environ, CALL: call}, self._starting(call, start_response))
        except BaseException:
            self.leave(call)
            raise
        return _CountedBody(body, self, call)

    def drain(self) -> None:
        """Run the phases of a shutdown and return at its end."""
        self._shutdown.begin(self._clock.elapsed_ms())
        while self.phase is not Phase.DONE:
            self._advance()
            threading.Event().wait(_POLL_S)
        self._log_open("ended")

    def log_left(self) -> None:
        """Log the requests that are open although the listener has stopped."""
        self._log_open("left")

    def _log_open(self, outcome: str) -> None:
        with self._lock:
            calls = list(self._open)
        for call in calls:
            call.log(outcome, self.phase)

    def hand_over(self, call: OpenCall) -> None:
        """Count and log the end of a stream that another VM can go on with."""
        metrics.HANDED_OVER.inc()
        call.log("handed-over", self.phase)

    def leave(self, call: OpenCall) -> None:
        """Count the end of a request."""
        with self._lock:
            self._open.discard(call)

    def _advance(self) -> None:
        unfinished = self._unfinished()
        with self._lock:
            now_ms = self._clock.elapsed_ms()
            phase = self._shutdown.phase(now_ms, len(self._open) + unfinished)
            changed = phase is not self.phase
            self.phase = phase
        if changed:
            log_change("shutdown-phase", phase=phase.value, requests=len(self._open))

    def _starting(self, call: OpenCall, start_response: StartResponse) -> StartResponse:
        """Close keep-alive connections during a shutdown, so that callers connect elsewhere."""

        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            # The shutdown may have begun while the request was served.
            stops = self._shutdown.after_signal_ms(self._clock.elapsed_ms()) is not None
            closing = [("Connection", "close")] if stops else []
            call.start_answer(headers)
            return start_response(status, [*headers, *closing], *rest)

        return start


class _CountedBody:
    """Response body that counts as an open request until the server closes it."""

    def __init__(self, body: Iterable[bytes], gate: ShutdownGate, call: OpenCall):
        self._body = body
        self._gate = gate
        self._call = call
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body; a stream whose rest has not come ends early at the end of a shutdown."""
        if isinstance(self._body, list):
            self._call.answering = True
            yield from self._body
            return
        for chunk in self._body:
            self._call.answering = True
            yield chunk
            if self._gate.phase in _ENDING and not self._has_arrived():
                self._gate.hand_over(self._call)
                return

    def _has_arrived(self) -> bool:
        return isinstance(self._body, StreamedBody) and self._body.has_arrived()

    def close(self) -> None:
        """End the response."""
        if self._closed:
            return
        self._closed = True
        try:
            close = getattr(self._body, "close", None)
            if close is not None:
                close()
        finally:
            self._gate.leave(self._call)


def _refusal() -> Refusal:
    return Refusal(SHUTTING_DOWN, Verdict.NOT_RUN, RETRY_AFTER_MS, "this VM is shutting down")


def _refuse(start_response: StartResponse) -> list[bytes]:
    refusal = _refusal()
    metrics.REFUSALS.labels(refusal.why.code, refusal.verdict.value).inc()
    problem = problem_of(refusal)
    headers = [*problem_headers(problem), ("Connection", "close")]
    return Response(problem.status, msgspec.json.encode(problem), headers).send(start_response)
