"""HTTP handling of completion requests."""

import random
from collections.abc import Iterator

import msgspec
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import GenerationId, IdempotencyKey

from nutmegdrum import metrics, sse
from nutmegdrum.completions import build_completion, generation_request, parse_body
from nutmegdrum.generations import Answer, Generations
from nutmegdrum.messages import Finish
from nutmegdrum.passing_on import PassingOn
from nutmegdrum.peer_exchange import LAST_EVENT_HEADER, CallerRequest
from nutmegdrum.problems import problem_of
from nutmegdrum.service_tally import ServiceTally
from nutmegdrum.session import ReadBatch
from nutmegdrum.settings import WorkspaceSettings
from nutmegdrum.wsgi import Response, StreamedResponse

GENERATION_HEADER = "Nutmegdrum-Generation"


class CompletionHandler:
    """Handles completion requests of one entry VM.

    Parameters
    ----------
    rng : random.Random
        Random source of seeds for requests without one.
    tally : ServiceTally
        Counts of finished and refused requests.
    passing_on : PassingOn
        Other entry VMs, for generations whose backend servers this VM cannot reach.
    """

    def __init__(
        self,
        generations: Generations,
        rng: random.Random,
        tally: ServiceTally,
        passing_on: PassingOn,
    ):
        self._generations = generations
        self._rng = rng
        self._tally = tally
        self._passing_on = passing_on

    def answer(
        self, workspace: WorkspaceSettings, chat: bool, req: CallerRequest
    ) -> Response | StreamedResponse:
        """Answer one request, with server-sent events if it asks for streaming.

        Raises
        ------
        Refusal
            If the request is refused before its first token.
        """
        parsed = parse_body(req.body, chat)
        key = IdempotencyKey(req.headers.get("idempotency-key", ""))
        generation_req = generation_request(parsed, workspace.id, key, chat, self._rng)
        if generation_req.deadline_ms is not None:
            left_ms = max(0, generation_req.deadline_ms - req.waited_ms)
            generation_req = msgspec.structs.replace(generation_req, deadline_ms=left_ms)

        def own() -> Response | StreamedResponse:
            last_event_id = req.headers.get(LAST_EVENT_HEADER, "")
            answer = self._generations.start(
                workspace, generation_req, last_event_id, req.passed_on
            )
            return self._stream(answer, req) if parsed.stream else self._complete(answer)

        return self._passing_on.answer(parsed.model, req, own)

    def _stream(self, answer: Answer, req: CallerRequest) -> StreamedResponse:
        first = next(answer.items)
        headers = [
            ("Content-Type", sse.CONTENT_TYPE),
            ("Cache-Control", "no-store"),
            (GENERATION_HEADER, answer.generation),
        ]
        read = _Read(answer, first)
        return StreamedResponse(200, headers, self._events(read, req), read.has_arrived)

    def cancel(self, workspace: WorkspaceSettings, name: str) -> None:
        """Cancel the generation with the id `name`; an id of one of its events works as well.

        Raises
        ------
        Refusal
            `NOT_FOUND` if the workspace has no such generation.
        """
        generation = GenerationId(name.partition(".")[0])
        self._generations.cancel(workspace.id, generation)

    def _events(self, read: "_Read", req: CallerRequest) -> Iterator[bytes]:
        answer = read.answer
        generation_req = answer.request
        encoder = sse.EventEncoder(answer.generation, generation_req.model, generation_req.chat)
        try:
            for part in read.parts():
                yield encoder.batch(part)
            self._tally.finished(generation_req.workspace)
            yield sse.DONE
        except v.Refusal as refusal:
            model, last_id = generation_req.model, encoder.last_id
            rest = self._passing_on.resume(model, req, refusal, last_id) if last_id else None
            if rest is not None:
                yield from rest
                return
            count_refusal(refusal)
            self._tally.refused(generation_req.workspace, refusal.verdict)
            read.over = True
            yield sse.failure(problem_of(refusal))
        finally:
            answer.items.close()

    def _complete(self, answer: Answer) -> Response:
        texts: list[str] = []
        for part in answer.items:
            finish = _collect(part, texts)
            if finish is not None:
                completion = build_completion(answer.generation, answer.request, texts, finish)
                headers = [(GENERATION_HEADER, str(answer.generation))]
                self._tally.finished(answer.request.workspace)
                return Response(200, msgspec.json.encode(completion), headers)
        raise v.Refusal(v.BACKEND_LOST, v.Verdict.MAY_HAVE_RUN)


class _Read:
    """Items of an answer that are read for a stream.

    Attributes
    ----------
    over : bool
        Whether no more items will be read, as the stream failed.
    """

    def __init__(self, answer: Answer, first: ReadBatch):
        self.answer = answer
        self.over = False
        self._last = first

    def parts(self) -> Iterator[ReadBatch]:
        """Yield the items."""
        yield self._last
        for part in self.answer.items:
            self._last = part
            yield part

    def has_arrived(self) -> bool:
        """Return whether no item has to be waited for."""
        finished = any(isinstance(item, Finish) for item in self._last.items[-1:])
        return self.over or finished or self.answer.has_ended()


def _collect(part: ReadBatch, texts: list[str]) -> Finish | None:
    for item in part.items:
        if isinstance(item, Finish):
            return item
        texts.append(item.text)
    return None


def count_refusal(refusal: v.Refusal) -> None:
    """Count a refusal that is returned to a caller."""
    metrics.REFUSALS.labels(refusal.why.code, refusal.verdict.value).inc()
