"""Release notes: the document that operators submit, typed and checked."""

import re
from datetime import datetime
from typing import Annotated, Any

import msgspec
from nutmegdrum_coord.clock import WallMs
from nutmegdrum_coord.ids import (
    AdapterName,
    ModelName,
    NoteNumber,
    RouteName,
    ServiceName,
    VersionName,
)

from nutmegdrum.checked_json import decode_json
from nutmegdrum.errors import UserError
from nutmegdrum.units import PPM, Duration, decode_hook

MAX_FIRST_SHARE_PPM = 20_000
"""Largest share of a route's traffic that a version may start with, in parts per million."""

DEFAULT_SHARE_STEPS_PPM = (20_000, 100_000, 500_000, PPM)

_PERCENT_PPM = PPM // 100
_SHARE = re.compile(r"^(\d{1,3})(?:\.(\d{1,4}))?\s*%$")
_NAME = re.compile(r"^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$")
_MS_PER_S = 1_000

Time = Annotated[datetime, msgspec.Meta(tz=True)]
"""Point in time, written as in RFC 3339 with its offset from UTC."""


class Share(int):
    """Share of traffic in parts per million, written as a percentage: `2%`, `0.5%`."""


class NotePart(msgspec.Struct, forbid_unknown_fields=True, frozen=True, kw_only=True):
    """Base of the objects of a release note: immutable, with unknown keys refused."""


class Added(NotePart):
    """Model or adapter that callers may use once it is in place.

    Attributes
    ----------
    version : VersionName
        First version of a new model; empty for an adapter, which follows its model's version.
    service : ServiceName
        Service whose backend servers run a new model; empty for an adapter.
    """

    model: ModelName
    complete_by: Time
    version: VersionName = VersionName("")
    adapter: AdapterName = AdapterName("")
    service: ServiceName = ServiceName("")


class Changed(NotePart):
    """Version that replaces the settled one of a model or of a plain service.

    Attributes
    ----------
    routes : list of RouteName
        Routes on which the version must be judged before each larger share; empty for those
        that have traffic.
    share_steps : list of Share
        Rising shares of each route's traffic, the last one 100%.
    bake_time : Duration or None
        Time in ms that the version is watched after it got all traffic; the setting's if None.
    """

    model: ModelName
    version: VersionName
    complete_by: Time
    routes: list[RouteName] = []
    share_steps: list[Share] = []
    bake_time: Duration | None = None


class Withdrawn(NotePart):
    """Model, or adapter of one, that gets no new requests, is drained and then unloaded."""

    model: ModelName
    complete_by: Time
    adapter: AdapterName = AdapterName("")


class ReleaseNote(NotePart):
    """Numbered set of changes, accepted as a whole or not at all."""

    number: NoteNumber
    added: list[Added] = []
    changed: list[Changed] = []
    withdrawn: list[Withdrawn] = []
    comment: str = ""


class NoteProblem(msgspec.Struct, frozen=True):
    """What is wrong with a note, and the path of the key."""

    path: str
    expected: str

    def __str__(self) -> str:
        return f"{self.expected} - at `$.{self.path}`"


def parse_share(text: Any) -> Share:
    """Return the share that `text` says, in parts per million.

    Raises
    ------
    ValueError
        If the text is not a percentage from 0% to 100% with at most four decimals.
    """
    match = _SHARE.match(text) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"expected a percentage such as 2% or 0.5%; got {text!r}")
    fraction = (match[2] or "").ljust(4, "0")
    share = int(match[1]) * _PERCENT_PPM + int(fraction)
    if share > PPM:
        raise ValueError(f"expected at most 100%; got {text!r}")
    return Share(share)


def parse_note(data: bytes) -> ReleaseNote:
    """Decode and check a release note.

    Raises
    ------
    UserError
        If the document is not valid; the message names the key's path.
    """
    note = decode_json(data, ReleaseNote, _decode_hook)
    problem = check_note(note)
    if problem is not None:
        raise UserError(str(problem))
    return note


def encode_note(note: ReleaseNote) -> bytes:
    """Return `note` in the one JSON form that `parse_note` reads back to an equal note."""
    return msgspec.json.encode(note, enc_hook=_encode_hook)


def wall_ms(time: datetime) -> WallMs:
    """Return `time` in ms since the Unix epoch."""
    return WallMs(int(time.timestamp() * _MS_PER_S))


def check_note(note: ReleaseNote) -> NoteProblem | None:
    """Return the first thing that is wrong in `note` whatever is in force, or None."""
    if note.number < 1:
        return NoteProblem("number", "Expected a number of at least 1")
    if not (note.added or note.changed or note.withdrawn):
        return NoteProblem("changed", "Expected at least one change")
    return _check_names(note) or _check_added(note) or _check_steps(note) or _check_unique(note)


def _check_names(note: ReleaseNote) -> NoteProblem | None:
    for key in ("added", "changed", "withdrawn"):
        for index, entry in enumerate(getattr(note, key)):
            for field in ("model", "version", "adapter", "service"):
                name = getattr(entry, field, "")
                required = field == "model" or (key == "changed" and field == "version")
                if (name or required) and not _NAME.match(name):
                    expected = "Expected a name of letters, digits, `.`, `_` and `-`"
                    return NoteProblem(f"{key}[{index}].{field}", expected)
    return None


def _check_added(note: ReleaseNote) -> NoteProblem | None:
    for index, entry in enumerate(note.added):
        path = f"added[{index}]"
        for field in ("version", "service"):
            if entry.adapter and getattr(entry, field):
                return NoteProblem(f"{path}.{field}", "Expected no value for an adapter")
            if not entry.adapter and not getattr(entry, field):
                return NoteProblem(f"{path}.{field}", "Expected a value for a new model")
    return None


def _check_steps(note: ReleaseNote) -> NoteProblem | None:
    for index, entry in enumerate(note.changed):
        path = f"changed[{index}].share_steps"
        steps = entry.share_steps
        if not steps:
            continue
        if not 0 < steps[0] <= MAX_FIRST_SHARE_PPM:
            return NoteProblem(f"{path}[0]", "Expected a first share above 0% and of at most 2%")
        for place in range(1, len(steps)):
            if steps[place] <= steps[place - 1]:
                return NoteProblem(f"{path}[{place}]", "Expected a larger share than before")
        if steps[-1] != PPM:
            return NoteProblem(f"{path}[{len(steps) - 1}]", "Expected 100% as the last share")
    return None


def _check_unique(note: ReleaseNote) -> NoteProblem | None:
    seen: set[tuple[str, str]] = set()
    for key in ("added", "changed", "withdrawn"):
        for index, entry in enumerate(getattr(note, key)):
            subject = (entry.model, getattr(entry, "adapter", ""))
            if subject in seen:
                return NoteProblem(f"{key}[{index}].model", "Expected one change for each subject")
            seen.add(subject)
    return None


def _decode_hook(kind: type, value: Any) -> Any:
    if kind is Share:
        return parse_share(value)
    return decode_hook(kind, value)


def _encode_hook(value: Any) -> Any:
    if isinstance(value, Share):
        whole, rest = divmod(int(value), _PERCENT_PPM)
        return f"{whole}.{rest:04d}%"
    if isinstance(value, Duration):
        return f"{int(value)}ms"
    raise NotImplementedError(f"cannot encode {type(value)!r}")
