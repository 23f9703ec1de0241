"""Replicated routing document: the highest accepted version is in force."""

from collections.abc import Sequence

import msgspec
import xxhash
from nutmegdrum_coord.parts import Answer, Command, Context


class PutDocument(Command):
    """Command to store a validated document.

    Attributes
    ----------
    source : bytes
        Document as sent by the operator.
    """

    version: int
    source: bytes


class DocumentStored(Answer):
    """Answer: the document is in force, or a higher version already was.

    Attributes
    ----------
    newest : int
        Version in force.
    """

    newest: int


class VersionTaken(Answer):
    """Answer: this version is taken by a different document."""

    version: int


PutAnswer = DocumentStored | VersionTaken


class Revision(msgspec.Struct, frozen=True):
    """Routing document with its version; version 0 if there is none yet."""

    version: int = 0
    source: bytes = b""


class Revisions:
    """Part of the replicated state with the newest routing document."""

    name = "routing"
    commands: Sequence[type[Command]] = (PutDocument,)

    def __init__(self) -> None:
        self.newest = Revision()

    def apply(self, ctx: Context, command: PutDocument) -> PutAnswer:
        """Store the document if its version is the highest so far."""
        newest = self.newest
        if command.version == newest.version and command.source != newest.source:
            return VersionTaken(version=command.version)
        if command.version > newest.version:
            self.newest = Revision(command.version, command.source)
            digest = xxhash.xxh64_hexdigest(command.source)
            ctx.audit("routing-changed", str(command.version), digest=digest)
        return DocumentStored(newest=self.newest.version)

    def snapshot(self) -> Revision:
        """Return the state for a snapshot."""
        return self.newest

    def restore(self, state: bytes) -> None:
        """Restore the state from a snapshot."""
        self.newest = msgspec.msgpack.decode(state, type=Revision)
