"""Handlers of the thrift services, which delegate each call to the role in charge."""

from __future__ import annotations

from typing import TYPE_CHECKING

from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.ids import CommandId, VmId
from nutmegdrum_wire.gen.messages.ttypes import (
    AppendResult,
    Sender,
    StreamAppend,
    StreamCopy,
    StreamOpen,
)

if TYPE_CHECKING:
    from nutmegdrum.entry import EntryRole
    from nutmegdrum.state_daemon import StateRole


class PeersHandler:
    """Handler of the `Peers` service.

    Parameters
    ----------
    state : StateRole or None
        State role of this process, if it has one.
    entry : EntryRole or None
        Entry role of this process, if it has one.
    """

    def __init__(self, state: StateRole | None, entry: EntryRole | None):
        self._state = state
        self._entry = entry

    def leader(self) -> VmId | None:
        """Return the state leader's VM, or None if it is unknown."""
        return self._state.leader() if self._state is not None else None

    def _state_role(self) -> StateRole:
        if self._state is None:
            raise v.Refusal(v.NOT_FOUND, detail="this VM holds no state replica")
        return self._state

    def _entry_role(self) -> EntryRole:
        if self._entry is None:
            raise v.Refusal(v.NOT_FOUND, detail="this VM is not an entry VM")
        return self._entry

    def exchange_log(self, sender: Sender, messages: list[bytes]) -> list[bytes]:
        """Process messages of the replicated log and return the messages for the sender."""
        return self._state_role().exchange_log(VmId(sender.vm), messages)

    def propose(self, sender: Sender, command: bytes) -> bytes:
        """Commit a command and return its answer."""
        return self._state_role().propose(command)

    def read(self, sender: Sender, query: bytes, fresh: bool) -> bytes:
        """Answer a query, under the leader's lease if `fresh`."""
        return self._state_role().query(query, fresh)

    def heartbeat(self, sender: Sender, report: bytes) -> bytes:
        """Process an entry VM's report and return the heartbeat answer."""
        return self._state_role().heartbeat(report)

    def request_permit(self, sender: Sender, request: bytes) -> bytes:
        """Grant or deny a packed `PermitRequest`, and return a packed `Permit`."""
        return self._state_role().request_permit(request)

    def gossip(self, sender: Sender, digest: bytes) -> bytes:
        """Process an entry VM's digest and return the gossip answer."""
        return self._entry_role().gossip(digest)

    def open_stream(self, sender: Sender, opened: StreamOpen) -> StreamCopy:
        """Install a snapshot of a stream."""
        return self._entry_role().journal.open_stream(opened)

    def append_streams(self, sender: Sender, appends: list[StreamAppend]) -> list[AppendResult]:
        """Append tokens to copies of streams."""
        return self._entry_role().journal.append_streams(appends)

    def fetch_stream(self, sender: Sender, generation: str, workspace: str) -> StreamCopy:
        """Return this VM's copy of a stream."""
        return self._entry_role().journal.fetch_stream(generation, workspace)

    def take_over_stream(
        self, sender: Sender, generation: str, workspace: str, epoch: int
    ) -> StreamCopy:
        """Make the sender the owner of a stream, under a higher epoch."""
        journal = self._entry_role().journal
        return journal.take_over_stream(sender.vm, generation, workspace, epoch)

    def find_stream(self, sender: Sender, workspace: str, idempotency_key: str) -> StreamCopy:
        """Return this VM's copy of the stream that an idempotency key is bound to."""
        return self._entry_role().journal.find_stream(workspace, idempotency_key)

    def close_stream(self, sender: Sender, generation: str) -> None:
        """Drop a copy without tokens, and let a former owner end its session."""
        self._entry_role().journal.close_stream(generation)


class OperatorsHandler:
    """Handler of the `Operators` service."""

    def __init__(self, state: StateRole):
        self._state = state

    def submit_note(
        self, sender: Sender, command_id: str, operator_name: str, note: bytes
    ) -> bytes:
        """Submit a release note and return the encoded result."""
        return self._state.submit_note(CommandId(command_id), operator_name, note)

    def query(self, sender: Sender, query: bytes) -> bytes:
        """Answer a query under the leader's lease."""
        return self._state.query(query, fresh=True)
