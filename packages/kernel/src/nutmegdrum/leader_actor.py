"""Actor that carries out the decisions of `leader.Leader` in each term."""

import random
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from typing import Any

import msgspec
import pykka
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, FencingNumber
from nutmegdrum_coord.parts import encode_command
from nutmegdrum_coord.statemachine import Applied, Log

from nutmegdrum.backends import BackendProtocol
from nutmegdrum.fleet import Fleet, LiveList
from nutmegdrum.judging import JudgeFactory
from nutmegdrum.leader import Leader, NeedWeights, Output, Propose
from nutmegdrum.load_updates import LoadUpdates
from nutmegdrum.logs import log_change
from nutmegdrum.messages import BackendLost, LoadReport, OrderStatus
from nutmegdrum.order_dispatcher import SendOrder
from nutmegdrum.platform import PlatformClient
from nutmegdrum.reports import LeaderObservations
from nutmegdrum.settings import BackendSettings, Settings
from nutmegdrum.shared_state import SharedState
from nutmegdrum.view import HeartbeatAnswer, HeartbeatReport
from nutmegdrum.viewbuilder import build_view

BACKEND_TIMEOUT_MS = 1_000
MAX_PARALLEL_CALLS = 16


class LeaderActor(pykka.ThreadingActor):
    """Owner of the current term's `Leader`, if this replica leads.

    Calls to backend servers and the platform run in a thread pool; their results are sent to
    this actor as messages.
    """

    use_daemon_thread = True

    def __init__(
        self,
        cfg: Settings,
        clock: Clock,
        rng: random.Random,
        shared: SharedState,
        log: Log,
        protocol: BackendProtocol,
        judges: JudgeFactory,
    ):
        super().__init__()
        self._cfg = cfg
        self._clock = clock
        self._rng = rng
        self._shared = shared
        self._log = log
        self._protocol = protocol
        self._judges = judges
        self._platform = PlatformClient(cfg.platform, clock)
        self._pool = ThreadPoolExecutor(MAX_PARALLEL_CALLS, thread_name_prefix="leader-call")
        self._leader: Leader | None = None
        self._term = FencingNumber(0)
        self._pending: list[Future[Applied]] = []
        self._running_calls: set[object] = set()
        self._polled_ms = 0
        self._loads = LoadUpdates()

    def on_stop(self) -> None:
        """Shut down the thread pool."""
        self._pool.shutdown(wait=False, cancel_futures=True)

    def heartbeat(self, report: HeartbeatReport) -> HeartbeatAnswer:
        """Answer an entry VM's heartbeat; a replica that does not lead sends a stale view."""
        leader = self._current_leader()
        if leader is None:
            return self._stale_answer(report)
        with self._shared.lock:
            answer = leader.on_heartbeat(self._clock.elapsed_ms(), report, fresh=True)
        if report.generation == 0:
            self._loads.forget(report.vm)
        answer = msgspec.structs.replace(answer, loads=self._loads.since_last(report.vm))
        for proposal in leader.take_urgent():
            self._propose(proposal)
        return answer

    def observed(self) -> LeaderObservations:
        """Return the observations that reports need in addition to the replicated state."""
        leader = self._current_leader()
        now_ms, wall_ms = self._clock.elapsed_ms(), self._clock.wall_ms()
        if leader is None:
            return LeaderObservations(Fleet(self._cfg.backend_servers), {}, now_ms, wall_ms)
        return leader.observed(now_ms, wall_ms)

    def tick(self) -> None:
        """Carry out the leader's decisions and poll the backend servers and the platform."""
        leader = self._current_leader()
        if leader is None:
            return
        self._poll(leader)
        self._pending = [fut for fut in self._pending if not fut.done()]
        if self._pending:
            return
        with self._shared.lock:
            outputs = leader.tick(
                self._clock.elapsed_ms(), self._shared.log_now_ms(), self._clock.wall_ms()
            )
        for output in outputs:
            self._carry_out(output)

    def receive_load_report(
        self, term: FencingNumber, backend: BackendId, report: LoadReport
    ) -> None:
        """Record a load report that was requested in `term`."""
        if self._leader is not None and term == self._term:
            self._leader.on_load_report(self._clock.elapsed_ms(), backend, report)
            self._loads.on_report(backend, report)

    def receive_live_list(self, term: FencingNumber, live: LiveList) -> None:
        """Apply a live list that was requested in `term`."""
        if self._leader is not None and term == self._term:
            self._leader.on_live_list(live)

    def receive_order_status(
        self, term: FencingNumber, sent: SendOrder, status: OrderStatus
    ) -> None:
        """Record a backend server's answer to an order of `term`."""
        if self._leader is not None and term == self._term:
            self._leader.on_order_status(sent.order.id, status)

    def receive_weights(self, term: FencingNumber, needed: NeedWeights, weights: Any) -> None:
        """Record a version's size and the weight store's rate, requested in `term`."""
        if self._leader is not None and term == self._term:
            self._leader.on_weights(needed, weights)

    def end_call(self, key: object) -> None:
        """Allow the next call for `key`."""
        self._running_calls.discard(key)

    def _current_leader(self) -> Leader | None:
        if not self._log.is_leader():
            self._leader = None
            return None
        term = self._log.fencing_number()
        if self._leader is None or term != self._term:
            self._start_term(term)
        return self._leader

    def _start_term(self, term: FencingNumber) -> None:
        log_change("leads", term=term)
        self._term = term
        self._pending = []
        self._loads = LoadUpdates()
        self._leader = Leader(
            self._cfg,
            self._shared.state,
            self._rng,
            self._judges,
            term,
            self._clock.elapsed_ms(),
            self._shared.quarantines,
        )

    def _stale_answer(self, report: HeartbeatReport) -> HeartbeatAnswer:
        lease_ms = int(self._cfg.control.freshness_lease)
        if report.generation:
            return HeartbeatAnswer(fresh=False, lease_ms=lease_ms)
        with self._shared.lock:
            has_live_list = self._cfg.platform.live_list is not None
            fleet = Fleet(self._cfg.backend_servers, has_live_list)
            view = build_view(self._shared.state, fleet, 0, quarantines=self._shared.quarantines())
        return HeartbeatAnswer(fresh=False, lease_ms=lease_ms, view=view)

    def _carry_out(self, output: Output) -> None:
        if isinstance(output, Propose):
            self._propose(output)
        elif isinstance(output, SendOrder):
            self._call(output.order.id, self._send_order, self._term, output)
        else:
            self._call(output, self._read_weights, self._term, output)

    def _propose(self, proposal: Propose) -> None:
        wall_ms = self._clock.wall_ms()
        command = encode_command(proposal.command, who=self._cfg.vm.id, wall_ms=wall_ms)
        self._pending.append(self._log.propose(command))

    def _poll(self, leader: Leader) -> None:
        now_ms = self._clock.elapsed_ms()
        if now_ms - self._polled_ms < self._cfg.platform.poll:
            return
        self._polled_ms = now_ms
        if self._cfg.platform.live_list is not None:
            self._call("live-list", self._read_live_list, self._term)
        for member in leader.fleet.members.values():
            if not member.gone:
                self._call(member.cfg.id, self._read_load, self._term, member.cfg)

    def _call(self, key: object, function: Callable[..., None], *args: object) -> None:
        if key in self._running_calls:
            return
        self._running_calls.add(key)
        proxy = self.actor_ref.proxy()

        def run() -> None:
            try:
                function(proxy, *args)
            finally:
                proxy.end_call.defer(key)

        self._pool.submit(run)

    def _read_load(self, proxy: Any, term: FencingNumber, backend: BackendSettings) -> None:
        try:
            report = self._protocol.load_report(backend, BACKEND_TIMEOUT_MS)
        except BackendLost:
            return
        proxy.receive_load_report.defer(term, backend.id, report)

    def _read_live_list(self, proxy: Any, term: FencingNumber) -> None:
        live = self._platform.live_list()
        if live is not None:
            proxy.receive_live_list.defer(term, live)

    def _read_weights(self, proxy: Any, term: FencingNumber, needed: NeedWeights) -> None:
        weights = self._platform.weights(needed.model, needed.version)
        if weights is not None:
            proxy.receive_weights.defer(term, needed, weights)

    def _send_order(self, proxy: Any, term: FencingNumber, sent: SendOrder) -> None:
        if not self._log.is_leader() or self._log.fencing_number() != term:
            return
        try:
            status = self._protocol.order(sent.backend, sent.order, BACKEND_TIMEOUT_MS)
        except BackendLost:
            return
        proxy.receive_order_status.defer(term, sent, status)
