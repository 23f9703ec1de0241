"""Server-sent events in the shape of completion APIs."""

import json

import msgspec
from nutmegdrum_coord.ids import GenerationId, ModelName

from nutmegdrum.messages import Finish, Token
from nutmegdrum.problems import Problem

CONTENT_TYPE = "text/event-stream"
DONE = b"data: [DONE]\n\n"

_quote = json.encoder.encode_basestring


class EventEncoder:
    """Encodes the events of one stream; all that does not change is encoded once.

    Parameters
    ----------
    chat : bool
        Whether tokens go as chat deltas.
    """

    def __init__(self, generation: GenerationId, model: ModelName, chat: bool):
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = json.dumps({"id": generation, "object": kind, "model": model})[:-1]
        text_open = '"delta": {"content": ' if chat else '"text": '
        self._generation = generation
        self._data = f'data: {head}, "choices": [{{"index": 0, {text_open}'
        self._close = "}" if chat else ""

    def token(self, token: Token) -> str:
        """Return the event of one token."""
        return (
            f"id: {self._generation}:{token.index}\n{self._data}{_quote(token.text)}{self._close}"
            ', "finish_reason": null}]}\n\n'
        )

    def finish(self, finish: Finish) -> str:
        """Return the event that says why the generation ended."""
        return f'{self._data}""{self._close}, "finish_reason": "{finish.reason.value}"}}]}}\n\n'

    def failure(self, problem: Problem) -> bytes:
        """Return the final event of a stream that cannot be finished."""
        return b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
