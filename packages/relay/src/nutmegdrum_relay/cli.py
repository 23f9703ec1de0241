"""Command line `nutmegdrum-relay`: checks files, routing documents and rollouts."""

import sys
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
from nutmegdrum.checked_json import read_file
from nutmegdrum.errors import UserError
from nutmegdrum.packing import pack, unpack
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.units import (
    PPM,
    Address,
    Duration,
    Size,
    parse_address,
    parse_duration,
    parse_size,
)
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import ServiceName, VersionName
from nutmegdrum_coord.parts import decode_answer, encode_command
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_relay.document_check import check_source
from nutmegdrum_relay.documents import DocumentCodec, RoutingDocument
from nutmegdrum_relay.findings import ERROR_STATUS, exit_status
from nutmegdrum_relay.revisions import PutAnswer, PutDocument, VersionTaken
from nutmegdrum_relay.rollouts import Rollout, RolloutConflict, StartAnswer, rollout_order
from nutmegdrum_relay.settings import load_relay_settings
from nutmegdrum_relay.views import RolloutQuery

TIMEOUT_MS = 3_000
"""Time-out of a call in ms; longer than a replica's own time-out of a commit."""

OPERATOR = "nutmegdrum-relay"


@cappa.command(name="check", help="Check a settings file.")
@dataclass
class Check:
    """Arguments of `check`."""

    file: Path

    def __call__(self) -> None:
        """Load the file; raise `UserError` if it is invalid."""
        cfg = load_relay_settings(self.file)
        print(f"{self.file}: {cfg.role.value} on {cfg.place.name}")


@dataclass
class _Calls:
    """Arguments of the commands that call the state replicas."""

    replica: Annotated[list[str], cappa.Arg(long=True, help="Peers' listener of a state replica.")]
    deployment: Annotated[str, cappa.Arg(long=True)] = "nutmegdrum"

    def first_answer(self, method: str, *args: object) -> bytes:
        """Call the replicas in turn and return the first answer.

        Raises
        ------
        UserError
            If no replica answers.
        """
        rpc = RpcClient(Sender(self.deployment, OPERATOR, ""))
        problems = []
        for address in map(_address, self.replica):
            try:
                return rpc.call(address, method, *args, timeout_ms=TIMEOUT_MS)
            except (PeerUnreachable, v.Refusal) as exc:
                problems.append(f"{address}: {exc}")
        raise UserError("; ".join(problems))


@cappa.command(name="put", help="Put a routing document in force.")
@dataclass
class Put(_Calls):
    """Arguments of `put`."""

    file: Annotated[Path, cappa.Arg(long=True)] = Path("routing.json")

    def __call__(self) -> None:
        """Check the document, then commit it."""
        source = self.file.read_bytes()
        document = DocumentCodec().decode(source)
        command = PutDocument(version=document.version, source=source)
        answer = decode_answer(
            self.first_answer("propose", encode_command(command, who=OPERATOR)), PutAnswer
        )
        if isinstance(answer, VersionTaken):
            raise UserError(f"Another document holds version {answer.version} - at `$.version`")
        print(f"version {answer.newest} is in force")


@dataclass
class DocumentCheck:
    """Arguments of `check-document`; a deployment with another document format overrides `decode`.

    Exits with 0 without findings or with changes only, 1 with warnings, and 2 with errors or if a
    file cannot be read.
    """

    file: Path
    in_force: Annotated[
        Path | None, cappa.Arg(long=True, help="Document in force, to compare with.")
    ] = None
    entry_memory: Annotated[
        str | None, cappa.Arg(long=True, help="What an entry VM holds for one body, as `16MiB`.")
    ] = None

    def decode(self, source: bytes) -> RoutingDocument:
        """Decode and check a document; raise `UserError` if it is not valid."""
        return DocumentCodec().decode(source)

    def __call__(self) -> None:
        """Print the findings, one a line, and exit; nothing is sent."""
        try:
            memory = None if self.entry_memory is None else _size(self.entry_memory)
            source = read_file(self.file, bytes)
            in_force = None if self.in_force is None else read_file(self.in_force, self._valid)
        except UserError as exc:
            print(f"{OPERATOR}: {exc}", file=sys.stderr)
            raise cappa.Exit(code=ERROR_STATUS) from None
        findings = check_source(self.decode, source, in_force, memory)
        encoding = sys.stdout.encoding or "utf-8"
        for finding in findings:
            # An error of the encoding would end the check with 1, as if it had warnings only.
            print(str(finding).encode(encoding, "backslashreplace").decode(encoding))
        raise cappa.Exit(code=exit_status(findings))

    def _valid(self, source: bytes) -> bytes:
        self.decode(source)
        return source


@cappa.command(name="check-document", help="Check a routing document without sending it.")
@dataclass
class CheckDocument(DocumentCheck):
    """Arguments of `check-document`."""


@cappa.command(name="show", help="Show the newest routing document.")
@dataclass
class Show(_Calls):
    """Arguments of `show`."""

    def __call__(self) -> None:
        """Read the document under the leader's lease."""
        sys.stdout.write(self.first_answer("read", b"", True).decode())


@cappa.command(name="start-rollout", help="Move a service's traffic to another version.")
@dataclass(kw_only=True)
class StartARollout(_Calls):
    """Arguments of `start-rollout`."""

    service: str
    target: str
    within: Annotated[str, cappa.Arg(long=True, help="Time for all of it, as `10min`.")]

    def __call__(self) -> None:
        """Commit the order; a repeated order has no effect."""
        order = rollout_order(
            ServiceName(self.service), VersionName(self.target), _duration(self.within)
        )
        encoded = encode_command(order, who=OPERATOR)
        answer = decode_answer(self.first_answer("propose", encoded), StartAnswer)
        if isinstance(answer, RolloutConflict):
            raise UserError(f"A roll-out of {self.service} to {answer.target} is in progress")
        print(f"{self.service} goes to {self.target}")


@cappa.command(name="show-rollout", help="Show a service's newest roll-out.")
@dataclass(kw_only=True)
class ShowRollout(_Calls):
    """Arguments of `show-rollout`."""

    service: str

    def __call__(self) -> None:
        """Read the rollout under the leader's lease."""
        query = pack(RolloutQuery(service=ServiceName(self.service)))
        rollout = unpack(self.first_answer("read", query, True), Rollout)
        share = f"{100 * rollout.share_ppm / PPM:g} %"
        print(f"{rollout.service} to {rollout.target}: {rollout.state.value}, share {share}")
        if rollout.reason:
            print(f"why: {rollout.reason}")
        if rollout.barred:
            print(f"get nothing: {', '.join(rollout.barred)}")


@cappa.command(name="nutmegdrum-relay", help="Check files, routing documents and roll-outs.")
@dataclass
class Arguments:
    """Arguments of the program."""

    command: cappa.Subcommands[Check | CheckDocument | Put | Show | StartARollout | ShowRollout]


def _duration(text: str) -> Duration:
    try:
        return parse_duration(text)
    except ValueError as exc:
        raise UserError(str(exc)) from None


def _size(text: str) -> Size:
    try:
        return parse_size(text)
    except ValueError as exc:
        raise UserError(str(exc)) from None


def _address(text: str) -> Address:
    try:
        return parse_address(text)
    except ValueError as exc:
        raise UserError(str(exc)) from None


def main() -> None:
    """Run a command; the entry point of `nutmegdrum-relay`."""
    try:
        cappa.invoke(Arguments)
    except (UserError, OSError) as exc:
        sys.exit(f"nutmegdrum-relay: {exc}")
