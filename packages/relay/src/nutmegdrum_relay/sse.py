"""Incremental parser of event streams (server-sent events)."""

from typing import NamedTuple

_END = b"\n\n"
_ID = b"id:"
_FIELDS = frozenset({b"data", b"event", b"id", b"retry"})


class Event(NamedTuple):
    """Complete event with its id (empty if it has none)."""

    data: bytes
    id: str

    @property
    def is_comment(self) -> bool:
        """Return whether the event has only comment lines, as keep-alives do."""
        lines = self.data.split(b"\n")
        return all(line.startswith(b":") for line in lines if line)

    @property
    def has_field(self) -> bool:
        """Return whether any line is a field of an event; foreign text has none."""
        return any(line.partition(b":")[0] in _FIELDS for line in self.data.split(b"\n"))


class EventSplitter:
    """Splits a stream into complete events; buffers an incomplete one until its end arrives."""

    def __init__(self) -> None:
        self._rest = b""

    def feed(self, piece: bytes) -> list[Event]:
        """Add a piece of the stream, and return the events that it completes."""
        *whole, self._rest = (self._rest + piece).split(_END)
        return [Event(event + _END, _event_id(event)) for event in whole]

    @property
    def rest(self) -> bytes:
        """Return the buffered part of an incomplete event."""
        return self._rest


def _event_id(event: bytes) -> str:
    for line in event.split(b"\n"):
        if line.startswith(_ID):
            return line[len(_ID) :].strip().decode("latin-1")
    return ""
