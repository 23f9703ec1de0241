"""Server-sent events in the format of completion APIs."""

import json

import msgspec
from nutmegdrum_coord.ids import GenerationId, ModelName

from nutmegdrum.event_ids import event_id_prefix
from nutmegdrum.messages import Finish, Token
from nutmegdrum.problems import Problem
from nutmegdrum.session import ReadBatch

CONTENT_TYPE = "text/event-stream"
EVENT_END = b"\n\n"
DONE = b"data: [DONE]" + EVENT_END
ERROR_EVENT = b"event: error\n"
_ID = b"id: "

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
        self._prefix = ""
        self._id = ""
        self._last_index: int | None = None

    @property
    def last_id(self) -> str:
        """Return the event id of the last token; empty before the first one."""
        return "" if self._last_index is None else f"{self._prefix}{self._last_index}"

    def batch(self, part: ReadBatch) -> bytes:
        """Return the events of a batch of items, for one write."""
        if part.epoch != self._epoch:
            self._epoch = part.epoch
            self._prefix = event_id_prefix(self._generation, part.epoch)
            self._id = "id: " + self._prefix
        last = part.items[-1]
        if isinstance(last, Token):
            self._last_index = last.index
        return "".join(map(self._event, part.items)).encode()

    def _event(self, item: Token | Finish) -> str:
        if isinstance(item, Finish):
            return self._finish(item)
        return f"{self._id}{item.index}\n{self._data}{_quote(item.text)}{self._token_close}"

    def _finish(self, finish: Finish) -> str:
        return f'{self._data}""{self._close}, "finish_reason": "{finish.reason.value}"}}]}}\n\n'


def failure(problem: Problem) -> bytes:
    """Return the final event of a stream that cannot be finished."""
    return ERROR_EVENT + b"data: " + msgspec.json.encode(problem) + EVENT_END


class EventReader:
    """Splits a stream into whole events, and notes its last event id and its end.

    Parameters
    ----------
    last_id : str
        Id of the event after which the stream begins; empty for none.

    Attributes
    ----------
    ended : bool
        Whether the final event was read.
    """

    def __init__(self, last_id: str = ""):
        self.last_id = last_id
        self.ended = False
        self._rest = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the events that a chunk completes."""
        whole, end, self._rest = (self._rest + chunk).rpartition(EVENT_END)
        if not end:
            return b""
        events = whole.split(EVENT_END)
        self.ended = events[-1] + EVENT_END == DONE or events[-1].startswith(ERROR_EVENT)
        ids = (event for event in reversed(events) if event.startswith(_ID))
        with_id = next(ids, None)
        if with_id is not None:
            self.last_id = with_id[len(_ID) :].partition(b"\n")[0].decode("latin-1")
        return whole + end
