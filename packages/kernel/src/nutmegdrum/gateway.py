"""Callers' HTTP interface: authenticates, then hands each request to its path."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from typing import TYPE_CHECKING

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import GenerationId, IdempotencyKey

from nutmegdrum import metrics, sse
from nutmegdrum.completions import generation_request, parse_body, whole_answer
from nutmegdrum.messages import Finish, GenerationRequest, Token
from nutmegdrum.problems import problem_headers, problem_of
from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.workspaces import Workspaces
from nutmegdrum.wsgi import (
    Environ,
    Response,
    StartResponse,
    read_body,
    request_headers,
    status_line,
)

if TYPE_CHECKING:
    from nutmegdrum.entry import EntryRole

_COMPLETION_PATHS = {"/v1/completions": False, "/v1/chat/completions": True}
_GENERATIONS_PREFIX = "/v1/generations/"
_SSE_HEADERS = [("Content-Type", sse.CONTENT_TYPE), ("Cache-Control", "no-store")]


class Gateway:
    """WSGI application of the callers' listener.

    Parameters
    ----------
    entry : EntryRole
        Gives the paths that requests take.
    """

    def __init__(self, entry: EntryRole):
        self._entry = entry
        self._workspaces = Workspaces(entry.cfg.workspaces)

    def __call__(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        """Answer one request; every refusal becomes a problem document."""
        try:
            return self._answer(environ, start_response)
        except v.Refusal as refusal:
            return _refuse(refusal).send(start_response)

    def _answer(self, environ: Environ, start_response: StartResponse) -> Iterable[bytes]:
        headers = request_headers(environ)
        workspace = self._workspaces.authenticate(headers.get("authorization", ""))
        path = environ["PATH_INFO"]
        method = environ["REQUEST_METHOD"]
        if path in _COMPLETION_PATHS and method == "POST":
            chat = _COMPLETION_PATHS[path]
            return self._complete(workspace, chat, headers, environ, start_response)
        if path.startswith(_GENERATIONS_PREFIX) and method == "DELETE":
            generation = GenerationId(path.removeprefix(_GENERATIONS_PREFIX))
            self._entry.generations.cancel(workspace.id, generation)
            return Response(204).send(start_response)
        reply = self._entry.plain.handle(
            workspace, method, path, headers, environ.get("QUERY_STRING", ""), read_body(environ)
        )
        return reply.send(start_response)

    def _complete(
        self,
        workspace: WorkspaceSettings,
        chat: bool,
        headers: dict[str, str],
        environ: Environ,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        body = parse_body(read_body(environ), chat)
        key = IdempotencyKey(headers.get("idempotency-key", ""))
        req = generation_request(body, workspace.id, key, chat, self._entry.rng)
        answer = self._entry.generations.start(workspace, req, headers.get("last-event-id", ""))
        if not body.stream:
            return _whole(answer.generation, req, answer.items).send(start_response)
        items = _first_ready(answer.items)
        start_response(status_line(200), _SSE_HEADERS)
        return _events(answer.generation, req, items)


def _first_ready(items: Iterator[list[Token | Finish]]) -> Iterator[list[Token | Finish]]:
    """Wait for the first batch, so that an early refusal still sets the status."""
    first = next(items)

    def chain() -> Iterator[list[Token | Finish]]:
        try:
            yield first
            yield from items
        finally:
            items.close()

    return chain()


def _events(
    generation: GenerationId, req: GenerationRequest, items: Iterator[list[Token | Finish]]
) -> Iterator[bytes]:
    encoder = sse.EventEncoder(generation, req.model, req.chat)
    try:
        for batch in items:
            yield "".join(_encode(encoder, item) for item in batch).encode()
        yield sse.DONE
    except v.Refusal as refusal:
        _count(refusal)
        yield encoder.failure(problem_of(refusal))
    finally:
        items.close()


def _encode(encoder: sse.EventEncoder, item: Token | Finish) -> str:
    return encoder.token(item) if isinstance(item, Token) else encoder.finish(item)


def _whole(
    generation: GenerationId, req: GenerationRequest, items: Iterator[list[Token | Finish]]
) -> Response:
    texts: list[str] = []
    for batch in items:
        for item in batch:
            if isinstance(item, Finish):
                return Response(
                    200, msgspec.json.encode(whole_answer(generation, req, texts, item))
                )
            texts.append(item.text)
    raise v.Refusal(v.BACKEND_LOST, v.Verdict.MAY_HAVE_RUN)


def _refuse(refusal: v.Refusal) -> Response:
    _count(refusal)
    problem = problem_of(refusal)
    return Response(problem.status, msgspec.json.encode(problem), problem_headers(problem))


def _count(refusal: v.Refusal) -> None:
    metrics.REFUSALS.labels(refusal.why.code, refusal.verdict.value).inc()
