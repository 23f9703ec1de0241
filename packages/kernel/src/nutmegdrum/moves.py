"""Moves: the steps by which one change of a release note comes into force."""

from enum import Enum
from typing import NewType

import msgspec
from nutmegdrum_coord.clock import LogMs, WallMs
from nutmegdrum_coord.ids import (
    AdapterName,
    ModelName,
    NoteNumber,
    RouteName,
    ServiceName,
    VersionName,
)

MoveId = NewType("MoveId", str)


class MoveKind(Enum):
    """What a move does to its subject."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


class MoveState(Enum):
    """How far a move has come."""

    PLANNED = "planned"
    LOADING = "loading"
    TRIAL = "trial"
    BAKING = "baking"
    DRAINING = "draining"
    UNLOADING = "unloading"
    DONE = "done"
    ROLLED_BACK = "taken back"
    SUPERSEDED = "superseded"


TERMINAL = frozenset({MoveState.DONE, MoveState.ROLLED_BACK, MoveState.SUPERSEDED})

NEXT_STATES: dict[tuple[MoveKind, MoveState], frozenset[MoveState]] = {
    (MoveKind.ADD, MoveState.PLANNED): frozenset({MoveState.LOADING}),
    (MoveKind.ADD, MoveState.LOADING): frozenset({MoveState.DONE}),
    (MoveKind.CHANGE, MoveState.PLANNED): frozenset({MoveState.LOADING}),
    (MoveKind.CHANGE, MoveState.LOADING): frozenset({MoveState.TRIAL}),
    (MoveKind.CHANGE, MoveState.TRIAL): frozenset({MoveState.TRIAL, MoveState.BAKING}),
    (MoveKind.CHANGE, MoveState.BAKING): frozenset({MoveState.DONE}),
    (MoveKind.WITHDRAW, MoveState.DRAINING): frozenset({MoveState.UNLOADING}),
    (MoveKind.WITHDRAW, MoveState.UNLOADING): frozenset({MoveState.DONE}),
}


class Move(msgspec.Struct, kw_only=True):
    """One change on its way.

    Attributes
    ----------
    share_steps : list of int
        Shares of each route's traffic, in parts per million, the last one all of it.
    step : int
        Index of the share step in force during `TRIAL` and `BAKING`.
    paused : bool
        Whether the share is zero until the judge has decided about a reported fault.
    since : LogMs
        Log time at which the state or step was entered.
    completed : WallMs or None
        When the change was complete for callers, in ms since the Unix epoch.
    ended : WallMs or None
        When the move reached a terminal state, in ms since the Unix epoch.
    predicted : WallMs or None
        Time of completion, later than `complete_by`, that was reported as soon as it was known.
    reason : str
        Why the move ended, where it was not completed.
    """

    id: MoveId
    note: NoteNumber
    kind: MoveKind
    model: ModelName
    service: ServiceName
    complete_by: WallMs
    accepted: WallMs
    state: MoveState
    since: LogMs
    version: VersionName = VersionName("")
    adapter: AdapterName = AdapterName("")
    routes: list[RouteName] = []
    share_steps: list[int] = []
    bake_time_ms: int | None = None
    step: int = 0
    paused: bool = False
    pauses: int = 0
    completed: WallMs | None = None
    ended: WallMs | None = None
    predicted: WallMs | None = None
    reason: str = ""

    @property
    def terminal(self) -> bool:
        """Return whether the move has ended."""
        return self.state in TERMINAL

    @property
    def share_ppm(self) -> int:
        """Return the share of each route's traffic that the new version may get."""
        if self.paused or self.state not in (MoveState.TRIAL, MoveState.BAKING):
            return 0
        return self.share_steps[self.step]

    def late(self, wall_ms: WallMs) -> bool:
        """Return whether the change was, or is at `wall_ms`, later than its complete-by time."""
        if self.state in (MoveState.ROLLED_BACK, MoveState.SUPERSEDED):
            return False
        return (wall_ms if self.completed is None else self.completed) > self.complete_by


def move_id(note: NoteNumber, model: ModelName, adapter: AdapterName) -> MoveId:
    """Return the identity of the move for one subject of a note."""
    subject = f"{model}/{adapter}" if adapter else model
    return MoveId(f"{note}:{subject}")
