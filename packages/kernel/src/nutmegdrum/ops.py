"""Listener for health probes and metrics, separate from the callers' listener."""

from collections.abc import Callable

from nutmegdrum_scheduling.memory import ProcessLimits
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from nutmegdrum.units import Address
from nutmegdrum.wsgi import Environ, HttpListener, Response, StartResponse

PROBES_SHARE = 0.0625
"""Share of a process's connections that a listener for probes may keep open."""

_THREADS = 4


class OpsListener:
    """Listener that serves `/healthz`, `/readyz` and `/metrics`.

    Parameters
    ----------
    ready : callable
        Returns why the daemon is not ready, or an empty string.
    limits : ProcessLimits or None
        Limits of the process's listeners.
    """

    def __init__(
        self, address: Address, ready: Callable[[], str], limits: ProcessLimits | None = None
    ):
        self._ready = ready
        own = limits.listener(_THREADS, PROBES_SHARE) if limits is not None else None
        self._listener = HttpListener(address, self._app, threads=_THREADS, limits=own)
        self.start = self._listener.start
        self.stop = self._listener.stop

    def _app(self, environ: Environ, start_response: StartResponse) -> list[bytes]:
        return self._answer(environ["PATH_INFO"]).send(start_response)

    def _answer(self, path: str) -> Response:
        if path == "/healthz":
            return Response(200, b"ok\n", content_type="text/plain")
        if path == "/readyz":
            why = self._ready()
            return Response(503 if why else 200, f"{why or 'ready'}\n".encode(), None, "text/plain")
        if path == "/metrics":
            return Response(200, generate_latest(), content_type=CONTENT_TYPE_LATEST)
        return Response(404, b"not found\n", content_type="text/plain")
