"""Callers' HTTP interface: authenticates requests and dispatches them to their handlers."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec
from nutmegdrum_coord import verdict as v

from nutmegdrum import metrics
from nutmegdrum.admission import AdmissionRequest
from nutmegdrum.completion_handler import CompletionHandler, count_refusal
from nutmegdrum.peer_exchange import PASSED_ON_HEADER, SENT_HEADER, CallerRequest
from nutmegdrum.problems import problem_headers, problem_of
from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.shutdown_gate import body_is_complete
from nutmegdrum.workspaces import Workspaces
from nutmegdrum.wsgi import (
    Environ,
    Response,
    StartResponse,
    StreamedResponse,
    read_body,
    request_headers,
)

if TYPE_CHECKING:
    from nutmegdrum.entry import EntryRole

_COMPLETION_PATHS = {"/v1/completions": False, "/v1/chat/completions": True}
_PATH_CHARACTERS = "/:@!$&'()*+,;=~"
_GENERATIONS_PREFIX = "/v1/generations/"


class Gateway:
    """WSGI application of the callers' listener.

    Parameters
    ----------
    entry : EntryRole
        Entry role with the handlers of the requests.
    """

    def __init__(self, entry: EntryRole):
        self._entry = entry
        self._workspaces = Workspaces(entry.cfg.workspaces)
        self._completions = CompletionHandler(
            entry.generations, entry.rng, entry.tally, entry.passing_on
        )

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request; a refusal is returned as a problem document."""
        try:
            return self._answer(environ, start_response)
        except v.Refusal as refusal:
            answer = _refuse(refusal)
            if refusal.sent and PASSED_ON_HEADER in request_headers(environ):
                answer.headers.append((SENT_HEADER, "1"))
            return answer.send(start_response)
        except Response as answer:
            # The body was malformed or too large.
            return answer.send(start_response)

    def _answer(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        headers = request_headers(environ)
        workspace = self._workspaces.authenticate(headers.get("authorization", ""))
        try:
            answer = self._serve(workspace, headers, environ, start_response)
        except v.Refusal as refusal:
            self._entry.tally.refused(workspace.id, refusal.verdict)
            metrics.REQUESTS.labels(environ["REQUEST_METHOD"], "refused").inc()
            raise
        metrics.REQUESTS.labels(environ["REQUEST_METHOD"], "answered").inc()
        return answer

    def _serve(
        self,
        workspace: WorkspaceSettings,
        headers: dict[str, str],
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in _COMPLETION_PATHS and method == "POST":
            req = self._request(headers, environ, path, resumable=True)
            answer = self._completions.answer(workspace, _COMPLETION_PATHS[path], req)
            return answer.send(start_response)
        if path.startswith(_GENERATIONS_PREFIX) and method == "DELETE":
            self._completions.cancel(workspace, path.removeprefix(_GENERATIONS_PREFIX))
            return Response(204).send(start_response)
        return self._plain(workspace, headers, environ).send(start_response)

    def _request(
        self, headers: dict[str, str], environ: Environ, target: str, resumable: bool = False
    ) -> CallerRequest:
        arrived_ms = self._entry.clock.elapsed_ms()
        method = environ["REQUEST_METHOD"]
        body = read_body(environ)
        body_is_complete(environ)
        return CallerRequest(method, target, headers, body, arrived_ms, resumable)

    def _plain(
        self, workspace: WorkspaceSettings, headers: dict[str, str], environ: Environ
    ) -> Response | StreamedResponse:
        path = environ["PATH_INFO"]
        route = self._entry.plain.find_route(path)
        if isinstance(route, v.Reason):
            raise v.Refusal(route, detail=f"no route for {path}")
        query = environ.get("QUERY_STRING", "")
        quoted = quote(path.encode("latin-1"), safe=_PATH_CHARACTERS)
        req = self._request(headers, environ, f"{quoted}?{query}" if query else quoted)
        admission_req = AdmissionRequest(workspace.id, stream=False)
        ticket = self._entry.admission.admit(admission_req, self._entry.clock.elapsed_ms())

        def own() -> Response:
            reply = self._entry.plain.handle(
                workspace.id, route, req.method, req.target, headers, req.body
            )
            return Response(reply.status, reply.body, list(reply.headers.items()))

        try:
            answer = self._entry.passing_on.answer(route.service, req, own)
        finally:
            self._entry.admission.release(ticket)
        self._entry.tally.finished(workspace.id)
        return answer


def _refuse(refusal: v.Refusal) -> Response:
    count_refusal(refusal)
    problem = problem_of(refusal)
    return Response(problem.status, msgspec.json.encode(problem), problem_headers(problem))
