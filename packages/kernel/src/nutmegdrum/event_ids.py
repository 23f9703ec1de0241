"""Event ids, which callers send back as `Last-Event-ID` to resume a stream."""

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import Epoch, GenerationId

from nutmegdrum.generation_ids import is_generation_id
from nutmegdrum.journal_messages import START, Position


def event_id_prefix(generation: GenerationId, epoch: int) -> str:
    """Return the event id of a token without its index; any VM can resume a stream from an id."""
    return f"{generation}.{epoch:x}:"


def parse_event_id(text: str) -> tuple[GenerationId, Position]:
    """Return the generation and the position after the token that the event id names.

    Raises
    ------
    Refusal
        `BAD_REQUEST` if `text` is not an event id.
    """
    name, _, index = text.rpartition(":")
    generation, _, epoch = name.partition(".")
    try:
        position = Position(int(index) + 1, Epoch(int(epoch, 16)) if epoch else None)
    except ValueError:
        position = START
    if position.next_index < 1 or not is_generation_id(generation):
        raise v.Refusal(v.BAD_REQUEST, detail="Last-Event-ID is not an event id")
    return GenerationId(generation), position
