"""Interface between a replicated log and the state that it keeps."""

from concurrent.futures import Future
from typing import NamedTuple, Protocol

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import FencingNumber, LogPosition, VmId


class Applied(NamedTuple):
    """Outcome of one committed command.

    Attributes
    ----------
    position : LogPosition
        Position of the command in the log.
    answer : bytes
        What the state machine returned.
    """

    position: LogPosition
    answer: bytes


class StateMachine(Protocol):
    """Deterministic state that every replica keeps alike.

    A command's effect depends on the state, the position, the log's own time and the command
    alone: never on a clock, on randomness or on the replica.
    """

    def apply(self, position: LogPosition, at: LogMs, command: bytes) -> bytes:
        """Apply one committed command at log time `at` (ms) and return its answer."""
        ...

    def snapshot(self) -> bytes:
        """Return the whole state."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the whole state by that of `snapshot`."""
        ...


class Log(Protocol):
    """Replicated log as its users see it."""

    def propose(self, command: bytes) -> "Future[Applied]":
        """Append a command; the future ends once it is applied on this leader.

        The future fails with `Refusal`: `NOT_LEADER` with `NOT_RUN` if this replica does not lead,
        `NO_QUORUM` with `MAY_HAVE_RUN` if leadership was lost after the command was appended.
        """
        ...

    def is_leader(self) -> bool:
        """Return whether this replica leads and its lease is valid now."""
        ...

    def leader(self) -> VmId | None:
        """Return the leader as far as this replica knows."""
        ...

    def fencing_number(self) -> FencingNumber:
        """Return the current term, which rises with each leader."""
        ...

    def applied_position(self) -> LogPosition:
        """Return the position up to which this replica has applied commands."""
        ...
