"""Ids of events, which callers send back as `Last-Event-ID`."""

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import Epoch, GenerationId

from nutmegdrum.generation_ids import is_generation_id
from nutmegdrum.journal_messages import START, Position


def event_id_prefix(generation: GenerationId, epoch: int) -> str:
    """Return the ids of tokens' events without the index; from an id any VM can go on."""
    return f"{generation}.{epoch:x}:"


def parse_event_id(text: str) -> tuple[GenerationId, Position]:
    """Return the generation and the place after the token that `text` names.

    Raises
    ------
    Refusal
        `BAD_REQUEST` if it is no id of an event.
    """
    name, _, index = text.rpartition(":")
    generation, _, epoch = name.partition(".")
    try:
        position = Position(int(index) + 1, Epoch(int(epoch, 16)) if epoch else None)
    except ValueError:
        position = START
    if position.next_index < 1 or not is_generation_id(generation):
        raise v.Refusal(v.BAD_REQUEST, detail="Last-Event-ID is no id of an event")
    return GenerationId(generation), position
