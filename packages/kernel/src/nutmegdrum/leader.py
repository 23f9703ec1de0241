"""Decision loop of the state leader: turns observations into commands and orders."""

import random
from collections.abc import Callable, Sequence
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs, LogMs, WallMs
from nutmegdrum_coord.ids import (
    BackendId,
    FencingNumber,
    ModelName,
    OrderId,
    VersionName,
    VmId,
    WorkspaceId,
)
from nutmegdrum_coord.parts import Command, CompositeState
from nutmegdrum_scheduling.queueing.demand_shares import DemandShares

from nutmegdrum.draining import DrainTracker, Instance
from nutmegdrum.fleet import Fleet, LiveList, VmState
from nutmegdrum.judging import JudgeFactory
from nutmegdrum.loading import SpareCapacity
from nutmegdrum.messages import LoadReport, OrderKind, OrderStatus
from nutmegdrum.moves import Move, MoveKind, MoveState
from nutmegdrum.observed import EntryVmObservation
from nutmegdrum.order_dispatcher import OrderDispatcher, SendOrder
from nutmegdrum.orders import Orders
from nutmegdrum.placement import (
    MIN_TRIAL_BACKENDS,
    Placement,
    backends_required,
    ready_backends,
    remaining_loads,
)
from nutmegdrum.releases import AdvanceMove, PredictLate, Releases, TakeBack
from nutmegdrum.reports import LeaderObservations
from nutmegdrum.schedule import Times, Weights, load_time_ms, loads_up_to, predicted_late
from nutmegdrum.service_log import ServiceRecorder, VmService
from nutmegdrum.settings import Settings
from nutmegdrum.trials import Trials
from nutmegdrum.view import HeartbeatAnswer, HeartbeatReport, QuarantineView, View
from nutmegdrum.viewbuilder import ViewCache

MAX_REPORT_WAIT_MS = 10_000
"""Time for which a new leader waits for missing load reports before it decides, in ms."""

SETTLE_MARGIN_MS = 1_000
"""Safety margin added to the leases after which entry VMs stop using a version, in ms."""


class Propose(NamedTuple):
    """Command to propose to the log."""

    command: Command


class NeedWeights(NamedTuple):
    """Version whose size must be read from the weight store."""

    model: ModelName
    version: VersionName


Output = Propose | SendOrder | NeedWeights


class Leader:
    """Decisions of one leader's term; each term has its own object.

    Call `tick` again only after the commands that it returned have been applied or refused.
    Commands that no longer match the state have no effect.

    Parameters
    ----------
    cfg : Settings
        The VM's settings.
    state : CompositeState
        Replicated state with the parts `Releases` and `Orders`; only read.
    rng : random.Random
        Source of order ids.
    judges : JudgeFactory
        Factory of rollout judges.
    fencing : FencingNumber
        This leader's term.
    now_ms : ElapsedMs
        Time at which this replica started the term.
    quarantines : callable
        Returns the quarantines to show in views.
    """

    def __init__(
        self,
        cfg: Settings,
        state: CompositeState,
        rng: random.Random,
        judges: JudgeFactory,
        fencing: FencingNumber,
        now_ms: ElapsedMs,
        quarantines: Callable[[], Sequence[QuarantineView]] = tuple,
    ):
        self._cfg = cfg
        self._term_started_ms = now_ms
        self._state = state
        self._releases: Releases = state.parts[Releases.name]
        self._orders: Orders = state.parts[Orders.name]
        self._quarantines = quarantines
        self._views = ViewCache(fencing, int(cfg.moves.grant_lease))
        self._weights: dict[tuple[ModelName, VersionName], Weights | None] = {}
        self._urgent: list[Command] = []
        self._recorder = ServiceRecorder(now_ms)
        self.fleet = Fleet(cfg.backend_servers, cfg.platform.live_list is not None)
        self.entries = {peer.vm: EntryVmObservation() for peer in cfg.entry_vms}
        self._limit_shares = DemandShares[WorkspaceId]()
        self._trials = Trials(self._releases, judges, cfg.moves)
        self._spare = SpareCapacity(cfg.moves.weigh)
        self._drains = DrainTracker(
            settle_ms=cfg.moves.grant_lease + cfg.control.freshness_lease + SETTLE_MARGIN_MS,
            limit_ms=cfg.callers.shutdown_timeout,
        )
        self._dispatcher = OrderDispatcher(
            self._orders,
            self.fleet,
            fencing,
            now_ms,
            lease_ms=cfg.control.election_timeout,
            deadline_ms=int(cfg.moves.order_deadline),
            rng=rng,
        )

    def on_heartbeat(
        self, now_ms: ElapsedMs, report: HeartbeatReport, fresh: bool = True
    ) -> HeartbeatAnswer:
        """Record an entry VM's heartbeat and return the answer.

        Parameters
        ----------
        fresh : bool
            Whether this leader's lease is valid now.
        """
        self.entries.setdefault(report.vm, EntryVmObservation()).update(now_ms, report)
        self._recorder.update(
            VmService(vm=report.vm, incarnation=report.incarnation, counts=report.service)
        )
        for sample in report.samples:
            self._trials.on_sample(now_ms, sample)
        for backend in report.suspected:
            self._spare.on_loss(now_ms, backend)
        for trip in report.trips:
            pause = self._trials.on_trip(trip)
            if pause is not None:
                self._urgent.append(pause)
        asked = {use.workspace: use.requests + use.streams for use in report.use}
        self._limit_shares.on_report(report.vm, asked, now_ms)
        view = self.view(now_ms)
        return HeartbeatAnswer(
            fresh=fresh,
            lease_ms=int(self._cfg.control.freshness_lease),
            view=None if report.generation == view.generation else view,
            shares=self._limit_shares.shares(report.vm, len(self.entries), now_ms),
        )

    def on_load_report(self, now_ms: ElapsedMs, backend: BackendId, report: LoadReport) -> None:
        """Record a backend server's load report."""
        self.fleet.on_load_report(now_ms, backend, report)

    def on_live_list(self, live: LiveList) -> None:
        """Apply the platform's list of VMs."""
        self.fleet.on_live_list(live)
        for vm in self.fleet.entry_vms.values():
            if vm.state is VmState.LIVE:
                self.entries.setdefault(vm.id, EntryVmObservation())
        if self.fleet.entry_vms:
            self._remove_unknown_entries()

    def on_order_status(self, order: OrderId, status: OrderStatus) -> None:
        """Record a backend server's answer to an order."""
        self._dispatcher.on_status(order, status)

    def on_weights(self, needed: NeedWeights, weights: Weights) -> None:
        """Record a version's size and the weight store's rate."""
        self._weights[needed.model, needed.version] = weights

    def view(self, now_ms: ElapsedMs = ElapsedMs(0)) -> View:
        """Return the view as of `now_ms`, with its generation."""
        return self._views.view(now_ms, self._state, self.fleet, self._quarantines())

    def observed(self, now_ms: ElapsedMs, wall_ms: WallMs) -> LeaderObservations:
        """Return the observations that reports need in addition to the state."""
        return LeaderObservations(self.fleet, self.entries, now_ms, wall_ms)

    def take_urgent(self) -> list[Propose]:
        """Return and clear the commands that must not wait for the next tick."""
        urgent, self._urgent = self._urgent, []
        return [Propose(command) for command in urgent]

    def tick(self, now_ms: ElapsedMs, log_ms: LogMs, wall_ms: WallMs) -> list[Output]:
        """Return the commands to propose and the orders to send now."""
        times = Times(log_ms, wall_ms)
        self._trials.close_windows(now_ms)
        self._spare.update(now_ms, self.fleet)
        placement = Placement(self._releases, self.fleet, now_ms)
        commands: list[Command] = [proposal.command for proposal in self.take_urgent()]
        recording = self._recorder.due(now_ms)
        commands += [] if recording is None else [recording]
        commands += self._advance_moves(now_ms, times)
        closes, sends = self._dispatcher.tick(now_ms)
        commands += closes
        commands += self._propose_loads(now_ms, placement)
        commands += self._propose_unloads(now_ms, placement)
        return [*map(Propose, commands), *sends, *self._missing_weights()]

    def _remove_unknown_entries(self) -> None:
        configured = {peer.vm for peer in self._cfg.entry_vms}
        known: set[VmId] = set(self.fleet.entry_vms) | configured
        for vm in [vm for vm in self.entries if vm not in known]:
            del self.entries[vm]

    def _advance_moves(self, now_ms: ElapsedMs, times: Times) -> list[Command]:
        if not self._has_enough_reports(now_ms):
            return self._roll_back_only(times)
        remaining = remaining_loads(self._releases, self.fleet)
        commands: list[Command] = []
        for move in self._releases.open_moves():
            load_ms = load_time_ms(loads_up_to(remaining, move), self._weights_of)
            command = self._next_command(move, now_ms, times, load_ms)
            if command is not None:
                commands.append(command)
            predicted = predicted_late(move, times, self._cfg.moves, load_ms)
            if predicted is not None and move.predicted is None:
                commands.append(PredictLate(move=move.id, predicted=predicted))
        return commands

    def _has_enough_reports(self, now_ms: ElapsedMs) -> bool:
        """Return whether all load reports are in, or the wait for missing ones has timed out."""
        return now_ms - self._term_started_ms >= MAX_REPORT_WAIT_MS or all(
            member.reachable(now_ms)
            for member in self.fleet.members.values()
            if not (member.leaving or member.gone)
        )

    def _roll_back_only(self, times: Times) -> list[Command]:
        under_trial = (MoveState.TRIAL, MoveState.BAKING)
        moves = [move for move in self._releases.open_moves() if move.state in under_trial]
        decided = [self._trials.decide(move, times, 0, capacity_ready=False) for move in moves]
        return [command for command in decided if isinstance(command, TakeBack)]

    def _next_command(
        self, move: Move, now_ms: ElapsedMs, times: Times, load_ms: int
    ) -> Command | None:
        if move.state is MoveState.PLANNED:
            return _step(move, MoveState.LOADING)
        if move.kind is MoveKind.ADD:
            return _step(move, MoveState.DONE) if self._added(move, now_ms) else None
        if move.kind is MoveKind.WITHDRAW:
            return self._next_withdrawal(move, now_ms)
        if move.state is MoveState.LOADING:
            return _step(move, MoveState.TRIAL) if self._has_capacity(move, 0, now_ms) else None
        capacity_ready = self._has_capacity(move, move.step + 1, now_ms)
        return self._trials.decide(move, times, self._spare.planned_ms(load_ms), capacity_ready)

    def _has_capacity(self, move: Move, step: int, now_ms: ElapsedMs) -> bool:
        if step >= len(move.share_steps):
            return True
        model = self._releases.models[move.model]
        ready = len(ready_backends(self.fleet, model, move.version, now_ms))
        if model.plain:
            return ready >= MIN_TRIAL_BACKENDS
        reachable = [m for m in self.fleet.serving(move.service) if m.reachable(now_ms)]
        return 0 < backends_required(move.share_steps[step], len(reachable)) <= ready

    def _added(self, move: Move, now_ms: ElapsedMs) -> bool:
        model = self._releases.models[move.model]
        version = move.version or model.settled
        members = [m for m in self.fleet.serving(move.service) if m.reachable(now_ms)]
        return bool(members) and all(
            any(
                (v.model, v.version, v.adapter) == (move.model, version, move.adapter)
                for v in m.loaded
            )
            for m in members
        )

    def _next_withdrawal(self, move: Move, now_ms: ElapsedMs) -> Command | None:
        holding = [
            Instance(backend, version)
            for backend, member in self.fleet.members.items()
            if member.reachable(now_ms) and not (member.leaving or member.gone)
            for version in member.loaded
            if version.model == move.model and move.adapter in ("", version.adapter)
        ]
        if move.state is MoveState.UNLOADING:
            return None if holding else _step(move, MoveState.DONE)
        drained = all(self._drained(now_ms, instance) for instance in holding)
        return _step(move, MoveState.UNLOADING) if drained else None

    def _drained(self, now_ms: ElapsedMs, instance: Instance) -> bool:
        member = self.fleet.members[instance.backend]
        return self._drains.drained(now_ms, instance, member, self.entries)

    def _propose_loads(self, now_ms: ElapsedMs, placement: Placement) -> list[Command]:
        commands: list[Command] = []
        loading = [
            backend
            for backend, entry in self._orders.open.items()
            if entry.order.kind is OrderKind.LOAD and self._reachable(now_ms, backend)
        ]
        for load in placement.loads():
            if load.backend in loading or not self._spare.allows(now_ms, self.fleet, load, loading):
                continue
            intent = self._dispatcher.new_intent(now_ms, load.backend, OrderKind.LOAD, load.version)
            if intent is not None:
                loading.append(load.backend)
                commands.append(intent)
        return commands

    def _propose_unloads(self, now_ms: ElapsedMs, placement: Placement) -> list[Command]:
        unwanted = [Instance(*unload) for unload in placement.unloads()]
        self._drains.update(now_ms, unwanted)
        intents: dict[BackendId, Command] = {}
        for instance in unwanted:
            if instance.backend in intents or not self._drained(now_ms, instance):
                continue
            intent = self._dispatcher.new_intent(
                now_ms, instance.backend, OrderKind.UNLOAD, instance.version
            )
            if intent is not None:
                intents[instance.backend] = intent
        return list(intents.values())

    def _reachable(self, now_ms: ElapsedMs, backend: BackendId) -> bool:
        member = self.fleet.members.get(backend)
        return member is not None and member.reachable(now_ms)

    def _weights_of(self, model: ModelName, version: VersionName) -> Weights | None:
        return self._weights.get((model, version))

    def _missing_weights(self) -> list[NeedWeights]:
        needed = []
        for move in self._releases.open_moves():
            model = self._releases.models.get(move.model)
            key = (move.model, move.version)
            loads = move.kind is not MoveKind.WITHDRAW and not move.adapter
            if loads and model is not None and not model.plain and key not in self._weights:
                self._weights[key] = None
                needed.append(NeedWeights(*key))
        return needed


def _step(move: Move, state: MoveState) -> AdvanceMove:
    return AdvanceMove(move=move.id, from_state=move.state, from_step=move.step, state=state)
