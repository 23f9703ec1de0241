"""Server-sent events in the format of completion APIs."""

import json

import msgspec
from nutmegdrum_coord.ids import GenerationId, ModelName

from nutmegdrum.event_ids import event_id_prefix
from nutmegdrum.messages import Finish, Token
from nutmegdrum.problems import Problem
from nutmegdrum.session import ReadBatch

CONTENT_TYPE = "text/event-stream"
DONE = b"data: [DONE]\n\n"

_quote = json.encoder.encode_basestring


class EventEncoder:
    """Encodes the events of one stream; the constant parts are encoded only once.

    Parameters
    ----------
    chat : bool
        Whether tokens are sent as chat deltas.
    """

    def __init__(self, generation: GenerationId, model: ModelName, chat: bool):
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = json.dumps({"id": generation, "object": kind, "model": model})[:-1]
        text_open = '"delta": {"content": ' if chat else '"text": '
        self._generation = generation
        self._data = f'data: {head}, "choices": [{{"index": 0, {text_open}'
        self._close = "}" if chat else ""
        self._token_close = f'{self._close}, "finish_reason": null}}]}}\n\n'
        self._epoch = -1
        self._id = ""

    def batch(self, part: ReadBatch) -> bytes:
        """Return the events of a batch of items, for one write."""
        if part.epoch != self._epoch:
            self._epoch = part.epoch
            self._id = "id: " + event_id_prefix(self._generation, part.epoch)
        return "".join(map(self._event, part.items)).encode()

    def _event(self, item: Token | Finish) -> str:
        if isinstance(item, Finish):
            return self._finish(item)
        return f"{self._id}{item.index}\n{self._data}{_quote(item.text)}{self._token_close}"

    def _finish(self, finish: Finish) -> str:
        return f'{self._data}""{self._close}, "finish_reason": "{finish.reason.value}"}}]}}\n\n'

    def failure(self, problem: Problem) -> bytes:
        """Return the final event of a stream that cannot be finished."""
        return b"event: error\ndata: " + msgspec.json.encode(problem) + b"\n\n"
