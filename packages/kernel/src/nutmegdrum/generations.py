"""Generations that callers start, resume and cancel on this VM."""

from collections.abc import Generator
from random import Random
from typing import NamedTuple

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import GenerationId, WorkspaceId

from nutmegdrum import metrics
from nutmegdrum.admission import Admission, AdmissionRequest, Ticket
from nutmegdrum.generation_ids import make_generation_id
from nutmegdrum.messages import Finish, GenerationRequest, Token
from nutmegdrum.relay import Relay
from nutmegdrum.settings import WorkspaceSettings

CHARACTERS_PER_TOKEN = 4

Items = Generator[list[Token | Finish], None, None]


class Answer(NamedTuple):
    """A generation, and its tokens as they come."""

    generation: GenerationId
    items: Items


class Generations:
    """All generations of one entry VM.

    Parameters
    ----------
    relay : Relay
        Runs a generation on backend servers.
    """

    def __init__(self, clock: Clock, admission: Admission, relay: Relay, rng: Random):
        self._clock = clock
        self._admission = admission
        self._relay = relay
        self._rng = rng

    def start(
        self, workspace: WorkspaceSettings, req: GenerationRequest, last_event_id: str
    ) -> Answer:
        """Start a generation, or go on with the one that `last_event_id` names.

        Raises
        ------
        Refusal
            If the request is not admitted or cannot be resumed.
        """
        if last_event_id:
            raise v.Refusal(v.JOURNAL_LOST, detail="this VM has no copy of the generation")
        generation = make_generation_id(self._rng, [])
        ticket = self._admission.admit(_demand(req), self._clock.elapsed_ms())
        return Answer(generation, self._run(ticket, req, generation))

    def _run(self, ticket: Ticket, req: GenerationRequest, generation: GenerationId) -> Items:
        try:
            with metrics.STREAMS.track_inprogress():
                for batch in self._relay.run(req, generation):
                    metrics.TOKENS.inc(len(batch))
                    yield batch
        finally:
            self._admission.release(ticket)

    def cancel(self, workspace: WorkspaceId, generation: GenerationId) -> None:
        """Cancel a generation of this workspace.

        Raises
        ------
        Refusal
            `NOT_FOUND` if there is none.
        """
        raise v.Refusal(v.NOT_FOUND, detail="no such generation")


def _demand(req: GenerationRequest) -> AdmissionRequest:
    tokens = len(req.prompt) // CHARACTERS_PER_TOKEN + req.max_tokens
    return AdmissionRequest(req.workspace, tokens, req.priority, req.deadline_ms)
