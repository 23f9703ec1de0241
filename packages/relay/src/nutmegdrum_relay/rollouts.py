"""Replicated rollouts: orders to move a service's traffic to another software version."""

from collections.abc import Sequence

import msgspec
from nutmegdrum.errors import UserError
from nutmegdrum.moves import TERMINAL, MoveState
from nutmegdrum.units import PPM, Duration
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import LogPosition, ServiceName, VersionName
from nutmegdrum_coord.parts import Answer, Command, Context

from nutmegdrum_relay.views import VersionShare, VersionShares

MAX_DURATION = Duration(30 * 86_400_000)
"""Longest time for a rollout, in ms; a longer one indicates a wrong unit."""

MAX_BARRED = 16
"""Most rolled-back versions remembered for one service; older ones are no longer deployed."""


class OtherRollout(UserError):
    """Raised if another rollout of the service is in progress."""


class StartRollout(Command):
    """Command to move a service's traffic to `target` within `duration_ms`."""

    service: ServiceName
    target: VersionName
    duration_ms: int


def rollout_order(service: ServiceName, target: VersionName, duration: Duration) -> StartRollout:
    """Return the command for an operator's order.

    Raises
    ------
    UserError
        If the duration or the target is invalid.
    """
    if not 0 < duration <= MAX_DURATION:
        raise UserError("Expected a rollout time above 0 and of at most 30 days")
    if not target:
        raise UserError("Expected a non-empty version to roll out")
    return StartRollout(service=service, target=target, duration_ms=int(duration))


class SetShare(Command):
    """Command to change the traffic share of the version under trial.

    Attributes
    ----------
    number : LogPosition
        Identity of the rollout; the command is ignored if another one is in progress.
    """

    service: ServiceName
    number: LogPosition
    share_ppm: int


class EndRollout(Command):
    """Command to end a rollout as `DONE` or `ROLLED_BACK`."""

    service: ServiceName
    number: LogPosition
    state: MoveState
    reason: str


class RolloutAccepted(Answer):
    """Answer: the order is in force; it may have been before."""

    number: LogPosition


class RolloutConflict(Answer):
    """Answer: another order for the service is in progress."""

    target: VersionName


class RolloutNoted(Answer):
    """Answer: the change has been applied, or ignored as the rollout had already ended."""


StartAnswer = RolloutAccepted | RolloutConflict


class Rollout(msgspec.Struct, frozen=True, kw_only=True):
    """State of the newest order for one service.

    Attributes
    ----------
    number : LogPosition
        Identity of the rollout: position of the order in the log.
    started, since : LogMs
        Log time of the order, and of the last change to the rollout.
    share_ppm : int
        Share of the service's requests that `target` may get, in parts per million.
    barred : tuple of VersionName
        Versions that were rolled back and get no requests.
    """

    number: LogPosition
    service: ServiceName
    target: VersionName
    duration_ms: int
    started: LogMs
    since: LogMs
    state: MoveState = MoveState.TRIAL
    share_ppm: int = 0
    reason: str = ""
    barred: tuple[VersionName, ...] = ()

    @property
    def terminal(self) -> bool:
        """Return whether the rollout has ended."""
        return self.state in TERMINAL

    def repeats(self, command: StartRollout, at: LogMs) -> bool:
        """Return whether `command` is a resend of this order.

        Operators resend an order if its answer was lost; a rollout that has ended by then must
        not start again. Once the duration of the order has passed, the same order is a new one.
        """
        same = (self.target, self.duration_ms) == (command.target, command.duration_ms)
        return same and (not self.terminal or at < self.started + self.duration_ms)


class _State(msgspec.Struct):
    changed: LogPosition
    rollouts: dict[ServiceName, Rollout]


class Rollouts:
    """Part of the replicated state with the newest rollout of each service."""

    name = "rollouts"
    commands: Sequence[type[Command]] = (StartRollout, SetShare, EndRollout)

    def __init__(self) -> None:
        self.rollouts: dict[ServiceName, Rollout] = {}
        self._changed = LogPosition(0)

    def apply(self, ctx: Context, command: StartRollout | SetShare | EndRollout) -> Answer:
        """Apply a command and return its answer."""
        known = self.rollouts.get(command.service)
        if isinstance(command, StartRollout):
            return self._start(ctx, known, command)
        if known is None or known.number != command.number or known.terminal:
            return RolloutNoted()
        if isinstance(command, SetShare):
            self._put(ctx, msgspec.structs.replace(known, share_ppm=command.share_ppm))
            return RolloutNoted()
        barred = known.barred
        if command.state is MoveState.ROLLED_BACK:
            barred = (*barred, known.target)[-MAX_BARRED:]
        ended = msgspec.structs.replace(
            known, state=command.state, reason=command.reason, share_ppm=0, barred=barred
        )
        self._put(ctx, ended)
        return RolloutNoted()

    def active(self) -> list[Rollout]:
        """Return the rollouts that have not ended."""
        return [rollout for rollout in self.rollouts.values() if not rollout.terminal]

    def shares(self) -> VersionShares:
        """Return the traffic shares and barred versions for entry VMs."""
        return VersionShares(
            number=self._changed,
            shares=tuple(
                VersionShare(
                    service=rollout.service,
                    trial=VersionName("") if rollout.terminal else rollout.target,
                    share_ppm=rollout.share_ppm,
                    barred=rollout.barred,
                )
                for rollout in self.rollouts.values()
                if rollout.barred or not rollout.terminal
            ),
        )

    def snapshot(self) -> _State:
        """Return the state for a snapshot."""
        return _State(self._changed, self.rollouts)

    def restore(self, state: bytes) -> None:
        """Restore the state from a snapshot."""
        restored = msgspec.msgpack.decode(state, type=_State)
        self._changed, self.rollouts = restored.changed, restored.rollouts

    def _start(self, ctx: Context, known: Rollout | None, command: StartRollout) -> StartAnswer:
        if known is not None and known.repeats(command, ctx.at):
            return RolloutAccepted(number=known.number)
        if known is not None and not known.terminal:
            return RolloutConflict(target=known.target)
        barred = known.barred if known is not None else ()
        rollout = Rollout(
            number=ctx.position,
            service=command.service,
            target=command.target,
            duration_ms=command.duration_ms,
            started=ctx.at,
            since=ctx.at,
            barred=tuple(version for version in barred if version != command.target),
        )
        self._put(ctx, rollout)
        return RolloutAccepted(number=rollout.number)

    def _put(self, ctx: Context, rollout: Rollout) -> None:
        self._changed = ctx.position
        self.rollouts[rollout.service] = msgspec.structs.replace(rollout, since=ctx.at)
        ctx.audit(
            "rollout-changed",
            rollout.service,
            target=rollout.target,
            state=rollout.state.value,
            share=f"{100 * rollout.share_ppm / PPM:g} %",
            reason=rollout.reason,
        )
