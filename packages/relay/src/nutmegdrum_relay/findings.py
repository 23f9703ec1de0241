"""Findings of the check of a routing document."""

import re
from collections.abc import Iterable
from enum import Enum

import msgspec

ERROR_STATUS = 2
WARNING_STATUS = 1

_NUMBER = re.compile(r"(\d+)")


class Severity(Enum):
    """How much a finding matters; the most severe comes first."""

    ERROR = "error"
    WARNING = "warning"
    CHANGE = "change"


_ORDER = {severity: place for place, severity in enumerate(Severity)}


class Finding(msgspec.Struct, frozen=True):
    """Statement about one value of a routing document.

    Attributes
    ----------
    path : str
        Path of the value, as `$.routes[0].timeout`.
    """

    severity: Severity
    path: str
    message: str

    def __str__(self) -> str:
        """Return the finding as one line of printable text."""
        return _printable(f"{self.severity.value} {self.path}: {self.message}")


def sorted_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Return the findings by severity, path (indices as numbers) and message."""
    return sorted(findings, key=lambda f: (_ORDER[f.severity], _path_key(f.path), f.message))


def exit_status(findings: Iterable[Finding]) -> int:
    """Return the exit status of a check: 2 with errors, 1 with warnings, else 0.

    Changes alone give 0, as every new version differs from the one in force.
    """
    severities = {finding.severity for finding in findings}
    if Severity.ERROR in severities:
        return ERROR_STATUS
    return WARNING_STATUS if Severity.WARNING in severities else 0


def _path_key(path: str) -> list[tuple[int, str]]:
    parts = _NUMBER.split(path)
    return [(int(part), "") if index % 2 else (0, part) for index, part in enumerate(parts)]


def _printable(text: str) -> str:
    """Escape control characters and surrogates, so that a name cannot add lines to the output."""
    return "".join(c if c.isprintable() else ascii(c)[1:-1] for c in text)
