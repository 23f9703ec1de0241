"""Timing of moves: when steps end, and when a move will miss its deadline."""

from collections.abc import Callable, Sequence
from typing import NamedTuple

from nutmegdrum_coord.clock import LogMs, WallMs
from nutmegdrum_coord.ids import ModelName, VersionName

from nutmegdrum.moves import Move, MoveKind, MoveState
from nutmegdrum.placement import Load
from nutmegdrum.settings import MoveSettings
from nutmegdrum.units import PPM

LOW_SHARE_PPM = PPM // 10
"""Largest share at which a version stays for the bake time, if its deadline allows it."""

MIN_MARGIN_MS = 15_000
"""Minimum margin before a deadline, in ms."""

MARGIN_DIVISOR = 8
"""Divisor of the time from acceptance to the deadline; the quotient is kept as a margin for
losses of backend servers."""

LOAD_OVERHEAD_MS = 2_500
"""Time of a load in addition to reading its weights, in ms."""

MS_PER_S = 1_000


class Weights(NamedTuple):
    """Size of a version's weights in bytes, and the weight store's rate in bytes per second."""

    size_bytes: int
    rate_bytes_per_s: int


class Times(NamedTuple):
    """Log time and wall time at one decision, in ms."""

    log_ms: LogMs
    wall_ms: WallMs


WeightsOf = Callable[[ModelName, VersionName], Weights | None]


def load_time_ms(loads: Sequence[Load], weights_of: WeightsOf) -> int:
    """Return the time that the weight store needs for `loads`, in ms; 0 for unknown versions.

    Concurrent loads share the store's rate, so the sum does not depend on their number.
    """
    total_ms = 0
    for load in loads:
        weights = weights_of(load.version.model, load.version.version)
        if weights is not None and not load.version.adapter:
            total_ms += weights.size_bytes * MS_PER_S // max(1, weights.rate_bytes_per_s)
            total_ms += LOAD_OVERHEAD_MS
    return total_ms


def loads_up_to(loads: Sequence[Load], move: Move) -> list[Load]:
    """Return the loads of `move` and those with the same or an earlier deadline."""
    return [load for load in loads if load.complete_by <= move.complete_by]


def steps_left_ms(move: Move, cfg: MoveSettings) -> int:
    """Return the minimum time in ms from the end of this step until the move is complete."""
    if move.kind is not MoveKind.CHANGE or move.state is MoveState.BAKING:
        return 0
    steps = len(move.share_steps) - 1
    done = move.step + 1 if move.state is MoveState.TRIAL else 0
    return max(0, steps - done) * int(cfg.step_time)


def step_complete(
    move: Move, times: Times, cfg: MoveSettings, load_ms: int, enough_requests: bool
) -> bool:
    """Return whether the current step of a trial may end.

    A step lasts at least the step time. It ends as soon as the time left before the deadline is
    needed for the later steps. Until then a step without enough requests continues, and the last
    step at a low share continues up to the bake time.

    Parameters
    ----------
    load_ms : int
        Time for the loads that later steps need, in ms.
    enough_requests : bool
        Whether the version got enough requests in this step.
    """
    lasted_ms = times.log_ms - move.since
    if lasted_ms < cfg.step_time:
        return False
    needed_ms = steps_left_ms(move, cfg) + load_ms + _margin_ms(move)
    if move.complete_by - times.wall_ms <= needed_ms:
        return True
    if not enough_requests:
        return False
    baking = _bakes_at_this_step(move) and lasted_ms < _bake_time_ms(move, cfg)
    return not baking


def bake_complete(move: Move, times: Times, cfg: MoveSettings, since: LogMs) -> bool:
    """Return whether the bake time with all traffic, counted from `since`, is over."""
    return times.log_ms - since >= _bake_time_ms(move, cfg)


def predicted_late(move: Move, times: Times, cfg: MoveSettings, load_ms: int) -> WallMs | None:
    """Return the predicted completion time of `move` if it is after the deadline, else None.

    Parameters
    ----------
    load_ms : int
        Time for the loads of this move and those that come before them, in ms.
    """
    if move.completed is not None:
        return None
    stepping_ms = 0
    if move.state is MoveState.TRIAL:
        stepping_ms = max(0, cfg.step_time - (times.log_ms - move.since))
    predicted = times.wall_ms + load_ms + stepping_ms + steps_left_ms(move, cfg)
    return WallMs(predicted) if predicted > move.complete_by else None


def _margin_ms(move: Move) -> int:
    return max(MIN_MARGIN_MS, (move.complete_by - move.accepted) // MARGIN_DIVISOR)


def _bakes_at_this_step(move: Move) -> bool:
    low = [i for i, share in enumerate(move.share_steps[:-1]) if share <= LOW_SHARE_PPM]
    return move.step == max(low, default=0)


def _bake_time_ms(move: Move, cfg: MoveSettings) -> int:
    return cfg.bake_time if move.bake_time_ms is None else move.bake_time_ms
