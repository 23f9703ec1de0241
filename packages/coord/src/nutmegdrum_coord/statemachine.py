"""Interfaces of the replicated log and of the state machine that it drives."""

from concurrent.futures import Future
from typing import NamedTuple, Protocol

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import FencingNumber, LogPosition, VmId


class Applied(NamedTuple):
    """Result of one committed command.

    Attributes
    ----------
    position : LogPosition
        Position of the command in the log.
    answer : bytes
        Answer of the state machine.
    """

    position: LogPosition
    answer: bytes


class StateMachine(Protocol):
    """Deterministic state machine, identical on every replica.

    The effect of a command depends only on the state, the position, the log time and the command,
    never on a clock, on randomness or on the replica.
    """

    def apply(self, position: LogPosition, at: LogMs, command: bytes) -> bytes:
        """Apply one committed command at log time `at` (ms) and return its answer."""
        ...

    def snapshot(self) -> bytes:
        """Return the encoded state."""
        ...

    def restore(self, snapshot: bytes) -> None:
        """Replace the state with that of `snapshot`."""
        ...


class Log(Protocol):
    """Replicated log, from the point of view of its users."""

    def propose(self, command: bytes) -> "Future[Applied]":
        """Append a command; the future completes once it is applied on this leader.

        The future fails with `Refusal`: `NOT_LEADER` with `NOT_RUN` if this replica does not lead,
        `NO_QUORUM` with `MAY_HAVE_RUN` if leadership was lost after the command was appended.
        """
        ...

    def is_leader(self) -> bool:
        """Return whether this replica is the leader and its lease is valid."""
        ...

    def leader(self) -> VmId | None:
        """Return the VM of the leader known to this replica, or None."""
        ...

    def fencing_number(self) -> FencingNumber:
        """Return the current term, which increases with each leader."""
        ...

    def applied_position(self) -> LogPosition:
        """Return the position up to which this replica has applied commands."""
        ...
