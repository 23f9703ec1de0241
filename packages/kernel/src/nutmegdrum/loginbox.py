"""Queue of inputs for the thread of one log node."""

import threading
from collections import deque
from concurrent.futures import Future
from typing import NamedTuple

from nutmegdrum_coord.ids import VmId
from nutmegdrum_coord.logmessages import AnyMessage
from nutmegdrum_coord.statemachine import Applied

MAX_TURN_PROPOSALS = 256
"""Maximum number of proposals in one turn; all messages are handled first, so that heartbeats are
not delayed."""


class Proposal(NamedTuple):
    """Command that was proposed on this node."""

    command: bytes
    fut: "Future[Applied]"


class Exchange(NamedTuple):
    """Messages from a peer; `fut` is None if they are replies to a call of this node."""

    sender: VmId
    messages: list[AnyMessage]
    fut: "Future[list[bytes]] | None"


class SetVms(NamedTuple):
    """New set of VMs that must be members of the log."""

    vms: frozenset[VmId]


Input = Proposal | Exchange | SetVms | None
"""Input of a turn; None is a timer tick."""


class Inbox:
    """Queue of inputs that returns messages before proposals; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._messages: deque[Input] = deque()
        self._proposals: deque[Input] = deque()
        self._woken = False

    def put(self, item: Input) -> bool:
        """Add an input and return whether the thread must be woken."""
        with self._lock:
            queue = self._proposals if isinstance(item, Proposal) else self._messages
            queue.append(item)
            wake = not self._woken
            self._woken = True
            return wake

    def proposals(self) -> int:
        """Return the number of queued proposals."""
        return len(self._proposals)

    def take(self) -> tuple[list[Input], bool]:
        """Remove and return the inputs of one turn, and whether another turn must follow."""
        with self._lock:
            items = list(self._messages)
            self._messages.clear()
            count = min(len(self._proposals), MAX_TURN_PROPOSALS)
            items += [self._proposals.popleft() for _ in range(count)]
            self._woken = bool(self._proposals)
            return items, self._woken

    def take_all(self) -> list[Input]:
        """Remove and return all inputs."""
        with self._lock:
            items = [*self._messages, *self._proposals]
            self._messages.clear()
            self._proposals.clear()
            return items
