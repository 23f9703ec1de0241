"""Moves: the rollouts of single changes of release notes."""

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
    """Kind of change that a move makes to its model or adapter."""

    ADD = "add"
    CHANGE = "change"
    WITHDRAW = "withdraw"


class MoveState(Enum):
    """State of a move."""

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
    """Rollout of one change of a release note.

    Attributes
    ----------
    share_steps : list of int
        Increasing shares of each route's traffic, in parts per million; the last is all of it.
    step : int
        Index of the current share step during `TRIAL` and `BAKING`.
    paused : bool
        Whether the share is zero until the judge has decided on a reported fault.
    since : LogMs
        Log time at which the current state or step began.
    completed : WallMs or None
        Time at which the change was complete for callers, in ms since the Unix epoch.
    ended : WallMs or None
        Time at which the move reached a terminal state, in ms since the Unix epoch.
    predicted : WallMs or None
        First predicted time of completion after `complete_by`, in ms since the Unix epoch.
    reason : str
        Why the move ended without completing; empty otherwise.
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
        """Return whether the change completed after `complete_by`, or has not by `wall_ms`."""
        if self.state in (MoveState.ROLLED_BACK, MoveState.SUPERSEDED):
            return False
        return (wall_ms if self.completed is None else self.completed) > self.complete_by


def move_id(note: NoteNumber, model: ModelName, adapter: AdapterName) -> MoveId:
    """Return the id of the move of a note for one model or adapter."""
    subject = f"{model}/{adapter}" if adapter else model
    return MoveId(f"{note}:{subject}")
