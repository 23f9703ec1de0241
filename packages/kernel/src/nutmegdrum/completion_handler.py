"""Generations as callers ask for them over HTTP."""

import random
from collections.abc import Iterable, Iterator

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import GenerationId, IdempotencyKey

from nutmegdrum import metrics, sse
from nutmegdrum.completions import generation_request, parse_body, whole_answer
from nutmegdrum.generations import Answer, Generations
from nutmegdrum.messages import Finish
from nutmegdrum.problems import problem_of
from nutmegdrum.service_tally import ServiceTally
from nutmegdrum.session import ReadBatch
from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.wsgi import Response, StartResponse, status_line

GENERATION_HEADER = "Nutmegdrum-Generation"


class CompletionHandler:
    """Path of completion requests through one entry VM.

    Parameters
    ----------
    rng : random.Random
        Source of the seeds that callers do not give.
    tally : ServiceTally
        Counts of what callers got.
    """

    def __init__(self, generations: Generations, rng: random.Random, tally: ServiceTally):
        self._generations = generations
        self._rng = rng
        self._tally = tally

    def answer(
        self,
        workspace: WorkspaceSettings,
        chat: bool,
        headers: dict[str, str],
        body: bytes,
        start_response: StartResponse,
    ) -> Iterable[bytes]:
        """Answer one request, as events if it asks for them.

        Raises
        ------
        Refusal
            If it is refused before its first token.
        """
        parsed = parse_body(body, chat)
        key = IdempotencyKey(headers.get("idempotency-key", ""))
        req = generation_request(parsed, workspace.id, key, chat, self._rng)
        answer = self._generations.start(workspace, req, headers.get("last-event-id", ""))
        if not parsed.stream:
            return self._whole(answer).send(start_response)
        first = next(answer.items)
        start_response(
            status_line(200),
            [
                ("Content-Type", sse.CONTENT_TYPE),
                ("Cache-Control", "no-store"),
                (GENERATION_HEADER, answer.generation),
            ],
        )
        return self._events(answer, first)

    def cancel(self, workspace: WorkspaceSettings, name: str) -> None:
        """Cancel the generation with the id `name`, or with an event's id that starts with it.

        Raises
        ------
        Refusal
            `NOT_FOUND` if the workspace has none.
        """
        generation = GenerationId(name.partition(".")[0])
        self._generations.cancel(workspace.id, generation)

    def _events(self, answer: Answer, first: ReadBatch) -> Iterator[bytes]:
        req = answer.request
        encoder = sse.EventEncoder(answer.generation, req.model, req.chat)
        try:
            yield encoder.batch(first)
            for part in answer.items:
                yield encoder.batch(part)
            self._tally.finished(req.workspace)
            yield sse.DONE
        except v.Refusal as refusal:
            count_refusal(refusal)
            self._tally.refused(req.workspace, refusal.verdict)
            yield encoder.failure(problem_of(refusal))
        finally:
            answer.items.close()

    def _whole(self, answer: Answer) -> Response:
        texts: list[str] = []
        for part in answer.items:
            finish = _collect(part, texts)
            if finish is not None:
                whole = whole_answer(answer.generation, answer.request, texts, finish)
                headers = [(GENERATION_HEADER, str(answer.generation))]
                self._tally.finished(answer.request.workspace)
                return Response(200, msgspec.json.encode(whole), headers)
        raise v.Refusal(v.BACKEND_LOST, v.Verdict.MAY_HAVE_RUN)


def _collect(part: ReadBatch, texts: list[str]) -> Finish | None:
    for item in part.items:
        if isinstance(item, Finish):
            return item
        texts.append(item.text)
    return None


def count_refusal(refusal: v.Refusal) -> None:
    """Count a refusal that a caller gets."""
    metrics.REFUSALS.labels(refusal.why.code, refusal.verdict.value).inc()
