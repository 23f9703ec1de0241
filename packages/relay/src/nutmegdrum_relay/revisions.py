"""Replicated routing document: the highest version that was accepted is in force."""

from collections.abc import Sequence

import msgspec
import xxhash
from nutmegdrum_coord.parts import Answer, Command, Context


class PutDocument(Command):
    """Store a document that was checked before.

    Attributes
    ----------
    source : bytes
        Document in the form in which the operator sent it.
    """

    version: int
    source: bytes


class DocumentStored(Answer):
    """The document is in force, or a higher version was already.

    Attributes
    ----------
    newest : int
        Version in force.
    """

    newest: int


class VersionTaken(Answer):
    """Another document holds this version."""

    version: int


PutAnswer = DocumentStored | VersionTaken


class Revision(msgspec.Struct, frozen=True):
    """Newest document; version 0 if there is none yet."""

    version: int = 0
    source: bytes = b""


class Revisions:
    """Part of the replicated state that holds the newest routing document."""

    name = "routing"
    commands: Sequence[type[Command]] = (PutDocument,)

    def __init__(self) -> None:
        self.newest = Revision()

    def apply(self, ctx: Context, command: PutDocument) -> PutAnswer:
        """Store the document if its version is the highest."""
        newest = self.newest
        if command.version == newest.version and command.source != newest.source:
            return VersionTaken(version=command.version)
        if command.version > newest.version:
            self.newest = Revision(command.version, command.source)
            digest = xxhash.xxh64_hexdigest(command.source)
            ctx.audit("routing-changed", str(command.version), digest=digest)
        return DocumentStored(newest=self.newest.version)

    def snapshot(self) -> Revision:
        """Return the newest document."""
        return self.newest

    def restore(self, state: bytes) -> None:
        """Replace the newest document."""
        self.newest = msgspec.msgpack.decode(state, type=Revision)
