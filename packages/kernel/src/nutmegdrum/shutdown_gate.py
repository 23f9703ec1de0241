"""WSGI wrapper that counts requests and refuses new ones during a shutdown."""

import threading
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.verdict import SHUTTING_DOWN, Refusal, Verdict

from nutmegdrum import metrics
from nutmegdrum.logs import log_change
from nutmegdrum.problems import problem_headers, problem_of
from nutmegdrum.shutdown import Phase, Shutdown
from nutmegdrum.wsgi import Environ, Response, StartResponse, WsgiApp

RETRY_AFTER_MS = 1_000
"""Backoff hint of refusals during a shutdown, in ms."""

_ADMITTING = (Phase.SERVING, Phase.NOTICE)
_POLL_S = 0.02


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
        self._open_requests = 0
        self._lock = threading.Lock()
        self.phase = Phase.SERVING

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request, or refuse it as not run if the VM is shutting down."""
        with self._lock:
            admitted = self.phase in _ADMITTING
            self._open_requests += admitted
        if not admitted:
            return _refuse(start_response)
        try:
            body = self._app(environ, self._closing_connections(start_response))
        except BaseException:
            self.leave()
            raise
        return _CountedBody(body, self)

    def drain(self) -> None:
        """Run the phases of a shutdown and return at its end."""
        self._shutdown.begin(self._clock.elapsed_ms())
        while self.phase is not Phase.DONE:
            self._advance()
            threading.Event().wait(_POLL_S)

    def leave(self) -> None:
        """Count the end of a request."""
        with self._lock:
            self._open_requests -= 1

    def _advance(self) -> None:
        unfinished = self._unfinished()
        with self._lock:
            now_ms = self._clock.elapsed_ms()
            phase = self._shutdown.phase(now_ms, self._open_requests + unfinished)
            changed = phase is not self.phase
            self.phase = phase
        if changed:
            log_change("shutdown-phase", phase=phase.value, requests=self._open_requests)

    def _closing_connections(self, start_response: StartResponse) -> StartResponse:
        """Close keep-alive connections during a shutdown, so that callers connect elsewhere."""
        if self.phase is Phase.SERVING:
            return start_response

        def start(status: str, headers: list[tuple[str, str]], *rest: Any) -> Any:
            return start_response(status, [*headers, ("Connection", "close")], *rest)

        return start


class _CountedBody:
    """Response body that counts as an open request until the server closes it."""

    def __init__(self, body: Iterable[bytes], gate: ShutdownGate):
        self._body = body
        self._gate = gate
        self._closed = False

    def __iter__(self) -> Iterator[bytes]:
        """Yield the body; a stream ends early when the phase `HANDING_OVER` begins."""
        if isinstance(self._body, list):
            yield from self._body
            return
        for chunk in self._body:
            yield chunk
            if self._gate.phase is Phase.HANDING_OVER:
                metrics.HANDED_OVER.inc()
                return

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
            self._gate.leave()


def _refuse(start_response: StartResponse) -> list[bytes]:
    refusal = Refusal(SHUTTING_DOWN, Verdict.NOT_RUN, RETRY_AFTER_MS, "this VM is shutting down")
    metrics.REFUSALS.labels(refusal.why.code, refusal.verdict.value).inc()
    problem = problem_of(refusal)
    headers = [*problem_headers(problem), ("Connection", "close")]
    return Response(problem.status, msgspec.json.encode(problem), headers).send(start_response)
