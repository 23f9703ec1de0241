"""The operators' command line `nutmegdrum`, made of thin wrappers around the library."""

import getpass
import sys
import uuid
from dataclasses import dataclass, field
from datetime import datetime
from pathlib import Path
from typing import Annotated

import cappa
import msgspec
from nutmegdrum_coord.clock import WallMs

from nutmegdrum.checked_json import read_file
from nutmegdrum.errors import UserError
from nutmegdrum.notes import wall_ms
from nutmegdrum.operators import OperatorsClient
from nutmegdrum.queries import (
    AuditQuery,
    NoteHistory,
    NoteShow,
    Query,
    QueryAnswer,
    StateQuery,
    VmsQuery,
)
from nutmegdrum.queries import Report as ReportQuery
from nutmegdrum.releases import NoteAccepted
from nutmegdrum.render import render
from nutmegdrum.settings import load_settings

EXIT_USER_ERROR = 2
EXIT_CONFLICT = 3

SettingsArg = Annotated[
    Path, cappa.Arg(long="--settings", help="Settings file of any daemon of the deployment.")
]
JsonArg = Annotated[bool, cappa.Arg(long="--json", help="Print JSON.")]


def _print_answer(answer: msgspec.Struct, as_json: bool) -> None:
    print(msgspec.json.encode(answer).decode() if as_json else render(answer))


def _parse_time(option: str, text: str | None) -> WallMs | None:
    if text is None:
        return None
    try:
        moment = datetime.fromisoformat(text)
    except ValueError:
        moment = None
    if moment is None or moment.tzinfo is None:
        raise UserError(f"{option}: Expected a time such as 2027-01-01T00:00:00Z; got `{text}`")
    return wall_ms(moment)


def _run_query(settings: Path, query: Query) -> QueryAnswer:
    return OperatorsClient(load_settings(settings)).query(query)


@cappa.command(name="check", help="Check a settings file.")
@dataclass
class SettingsCheck:
    """Check a settings file."""

    file: Path

    def __call__(self) -> None:
        """Load and check the file."""
        cfg = load_settings(self.file)
        print(f"{self.file}: settings of {cfg.vm.id} in {cfg.deployment} are valid")


@cappa.command(name="settings", help="Settings.")
@dataclass
class SettingsGroup:
    """Group of settings commands."""

    command: cappa.Subcommands[SettingsCheck]


@cappa.command(name="submit", help="Submit a release note.")
@dataclass
class NoteSubmit:
    """Submit a release note; a resend with the same command id gets the first answer."""

    file: Path
    settings: SettingsArg
    command_id: Annotated[str, cappa.Arg(long="--command-id", help="Identity for resends.")] = (
        field(default_factory=lambda: uuid.uuid4().hex)
    )
    operator: Annotated[str, cappa.Arg(long="--operator", help="Name for the audit trail.")] = (
        field(default_factory=getpass.getuser)
    )
    json: JsonArg = False

    def __call__(self) -> None:
        """Submit the note and print the answer; exit with `EXIT_CONFLICT` if it is not accepted."""
        note = read_file(self.file, bytes)
        client = OperatorsClient(load_settings(self.settings))
        answer = client.submit(self.command_id, self.operator, note)
        _print_answer(answer, self.json)
        if not isinstance(answer, NoteAccepted):
            raise cappa.Exit(code=EXIT_CONFLICT)


@cappa.command(name="show", help="Show one release note, the newest by default.")
@dataclass
class NoteShowCommand:
    """Show one release note."""

    settings: SettingsArg
    number: int | None = None
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the note."""
        _print_answer(_run_query(self.settings, NoteShow(number=self.number)), self.json)


@cappa.command(name="history", help="List all release notes.")
@dataclass
class NoteHistoryCommand:
    """List all release notes."""

    settings: SettingsArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the list."""
        _print_answer(_run_query(self.settings, NoteHistory()), self.json)


@cappa.command(name="note", help="Release notes.")
@dataclass
class NoteGroup:
    """Group of release note commands."""

    command: cappa.Subcommands[NoteSubmit | NoteShowCommand | NoteHistoryCommand]


@cappa.command(name="report", help="Report whether targets held.")
@dataclass
class Report:
    """Report whether targets held."""

    settings: SettingsArg
    note: Annotated[int | None, cappa.Arg(long="--note", help="Only this note.")] = None
    since: Annotated[
        str | None, cappa.Arg(long="--since", help="Only notes accepted from this time on.")
    ] = None
    until: Annotated[
        str | None, cappa.Arg(long="--until", help="Only notes accepted before this time.")
    ] = None
    workspace: Annotated[
        str | None, cappa.Arg(long="--workspace", help="Only this workspace's service.")
    ] = None
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the report."""
        query = ReportQuery(
            note=self.note,
            since_ms=_parse_time("--since", self.since),
            until_ms=_parse_time("--until", self.until),
            workspace=self.workspace,
        )
        _print_answer(_run_query(self.settings, query), self.json)


@cappa.command(name="audit", help="Print the audit trail.")
@dataclass
class Audit:
    """Print the audit trail."""

    settings: SettingsArg
    after: Annotated[int, cappa.Arg(long="--after", help="Log position to start after.")] = 0
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the events."""
        _print_answer(_run_query(self.settings, AuditQuery(after=self.after)), self.json)


@cappa.command(name="vms", help="List VMs and backend servers.")
@dataclass
class Vms:
    """List VMs and backend servers."""

    settings: SettingsArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the list."""
        _print_answer(_run_query(self.settings, VmsQuery()), self.json)


@cappa.command(name="state", help="Show models, moves and open orders.")
@dataclass
class State:
    """Show the replicated state."""

    settings: SettingsArg
    json: JsonArg = False

    def __call__(self) -> None:
        """Print the state."""
        _print_answer(_run_query(self.settings, StateQuery()), self.json)


@cappa.command(name="nutmegdrum", help="Steer and observe a deployment.")
@dataclass
class Nutmegdrum:
    """Root of all commands."""

    command: cappa.Subcommands[SettingsGroup | NoteGroup | Report | Audit | Vms | State]


def main() -> None:
    """Run one command; the entry point of `nutmegdrum`."""
    try:
        cappa.invoke(Nutmegdrum)
    except UserError as exc:
        print(f"nutmegdrum: {exc}", file=sys.stderr)
        sys.exit(EXIT_USER_ERROR)
