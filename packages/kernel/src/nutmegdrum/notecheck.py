"""Check of a release note against what is in force."""

from collections.abc import Iterable, Mapping
from typing import Protocol

from nutmegdrum_coord.ids import AdapterName, ModelName, NoteNumber, VersionName

from nutmegdrum.moves import Move, MoveKind
from nutmegdrum.notes import NoteProblem, ReleaseNote


class KnownModel(Protocol):
    """What the check needs to know of a model."""

    settled: VersionName
    plain: bool
    adapters: list[AdapterName]


def check_against_state(
    note: ReleaseNote,
    newest: NoteNumber,
    models: Mapping[ModelName, KnownModel],
    moves: Iterable[Move],
) -> NoteProblem | None:
    """Return the first change of `note` that is impossible now, or None."""
    if note.number <= newest:
        return NoteProblem("number", f"Expected a number above {newest}")
    pending = [move for move in moves if not move.terminal]
    return (
        _check_added(note, models, pending)
        or _check_changed(note, models, pending)
        or _check_withdrawn(note, models, pending)
    )


def _withdrawn(model: ModelName, pending: list[Move]) -> bool:
    return any(
        move.model == model and move.kind is MoveKind.WITHDRAW and not move.adapter
        for move in pending
    )


def _adapters(model: ModelName, known: KnownModel, pending: list[Move]) -> set[AdapterName]:
    added = {m.adapter for m in pending if m.model == model and m.kind is MoveKind.ADD}
    return (set(known.adapters) | added) - {AdapterName("")}


def _check_added(
    note: ReleaseNote, models: Mapping[ModelName, KnownModel], pending: list[Move]
) -> NoteProblem | None:
    for index, entry in enumerate(note.added):
        path = f"added[{index}]"
        known = models.get(entry.model)
        if not entry.adapter:
            if known is not None:
                return NoteProblem(f"{path}.model", "Expected a model that is not known yet")
            continue
        if known is None or known.plain or _withdrawn(entry.model, pending):
            return NoteProblem(f"{path}.model", "Expected a model that is served")
        if entry.adapter in _adapters(entry.model, known, pending):
            return NoteProblem(f"{path}.adapter", "Expected an adapter that is not known yet")
    return None


def _check_changed(
    note: ReleaseNote, models: Mapping[ModelName, KnownModel], pending: list[Move]
) -> NoteProblem | None:
    for index, entry in enumerate(note.changed):
        path = f"changed[{index}]"
        known = models.get(entry.model)
        if known is None or _withdrawn(entry.model, pending):
            return NoteProblem(f"{path}.model", "Expected a model or plain service that is served")
        changing = [move for move in pending if move.model == entry.model and not move.adapter]
        if any(move.kind is MoveKind.ADD for move in changing):
            return NoteProblem(
                f"{path}.model", "Expected a model that is loaded; it is being added"
            )
        if entry.version == known.settled and not changing:
            return NoteProblem(f"{path}.version", "Expected a version other than the settled one")
    return None


def _check_withdrawn(
    note: ReleaseNote, models: Mapping[ModelName, KnownModel], pending: list[Move]
) -> NoteProblem | None:
    for index, entry in enumerate(note.withdrawn):
        path = f"withdrawn[{index}]"
        known = models.get(entry.model)
        if known is None or known.plain or _withdrawn(entry.model, pending):
            return NoteProblem(f"{path}.model", "Expected a model that is served")
        if entry.adapter and entry.adapter not in _adapters(entry.model, known, pending):
            return NoteProblem(f"{path}.adapter", "Expected an adapter that is known")
    return None
