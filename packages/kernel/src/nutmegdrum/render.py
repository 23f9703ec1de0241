"""Formatting of typed answers as plain text."""

import datetime
from collections.abc import Iterable
from typing import Any

import msgspec

_TIME_FIELDS = frozenset({"accepted", "complete_by", "completed", "ended", "predicted", "wall_ms"})
_MS_PER_S = 1_000


def render(answer: msgspec.Struct) -> str:
    """Return the fields of `answer` as lines, with lists of objects as tables."""
    lines = []
    for name, value in msgspec.structs.asdict(answer).items():
        if isinstance(value, list) and value and isinstance(value[0], msgspec.Struct):
            lines.append(f"{name}:")
            lines.extend(_table(value))
        else:
            lines.append(f"{name}: {_cell(name, value)}")
    return "\n".join(lines)


def _table(rows: Iterable[msgspec.Struct]) -> list[str]:
    records = [msgspec.structs.asdict(row) for row in rows]
    header = list(records[0])
    cells = [header] + [[_cell(name, record[name]) for name in header] for record in records]
    widths = [max(len(row[column]) for row in cells) for column in range(len(header))]
    return ["  " + "  ".join(map(str.ljust, row, widths)).rstrip() for row in cells]


def _cell(name: str, value: Any) -> str:
    if value is None or value == "":
        return "-"
    if name in _TIME_FIELDS:
        moment = datetime.datetime.fromtimestamp(value / _MS_PER_S, datetime.UTC)
        return moment.isoformat(timespec="seconds")
    if isinstance(value, bytes):
        return value.decode(errors="replace")
    if isinstance(value, list):
        return ", ".join(map(str, value)) or "-"
    if isinstance(value, dict):
        return " ".join(f"{key}={val}" for key, val in value.items()) or "-"
    return str(value)
