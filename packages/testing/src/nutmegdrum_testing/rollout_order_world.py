"""Simulation of ordered rollouts: entry VMs, good and bad versions, and changes of state leader.

Version gates, tallies, the rollout judge and the replicated state are the real ones; requests,
answers, the links to the leader and the leader's election are simulated.
"""

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from nutmegdrum.moves import MoveState
from nutmegdrum.shared_state import SharedState
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import LogMs, ManualClock
from nutmegdrum_coord.ids import BackendId, DataCentre, LogPosition, ServiceName, VersionName, VmId
from nutmegdrum_coord.parts import Command, CompositeState, encode_command
from nutmegdrum_plugins.sequential_judge import SequentialJudge
from nutmegdrum_relay.backends import Backend, Backends
from nutmegdrum_relay.dialect import ListedBackend
from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.entry_reports import EntryReports, report_wait_ms
from nutmegdrum_relay.rollout_leader import IDLE_PERIOD, RolloutLeader
from nutmegdrum_relay.rollouts import Rollout, Rollouts, StartRollout
from nutmegdrum_relay.shared_listing import ListingPublisher
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_relay.version_tally import FirstEventWait
from nutmegdrum_relay.views import EntryReport

SERVICE = ServiceName("svc")
OLD, NEW = VersionName("v1"), VersionName("v2")
PLAIN, STREAM = RouteName("plain"), RouteName("stream")
STEP_MS = 10
LINK_MS = 10
STARTED_AFTER_MS = 500
"""Time in ms from the order until the new version's backend servers are listed."""

SERVERS = 6
ELECTION_MS = 1_000
"""Time in ms without a leader after the leader is lost."""

SLOW_FACTOR = 1.5
"""Slow-down from which a version counts as slow, as in deploy/state.json."""

ERROR_RATE = 0.001
"""Probability with which the judge may reject a version that is no worse."""


class Answer(NamedTuple):
    """Latency in ms and outcome of one request."""

    ms: int
    error: bool


class RequestContext(NamedTuple):
    """Inputs that a version's behaviour may depend on.

    Attributes
    ----------
    after : float
        Fraction of the rollout's duration that has passed.
    load : float
        The backend server's requests in the last second, divided by those that each backend
        server would get if the old version had all traffic.
    """

    route: RouteName
    after: float
    load: float
    rng: random.Random


Behaviour = Callable[[RequestContext], Answer]


def good(context: RequestContext) -> Answer:
    """Answer with the old version's latency and error rate."""
    usual_ms = 45 if context.route == PLAIN else 1_000
    return Answer(int(usual_ms * context.rng.lognormvariate(0, 0.4)), context.rng.random() < 0.005)


def failing(
    rate: float, route: RouteName | None = None, after: float = 0.0, load: float = 0.0
) -> Behaviour:
    """Return the behaviour of a version that fails a fraction `rate` of its requests.

    It may fail on one route only, only after a fraction of the rollout, or only under load.
    """

    def answer(context: RequestContext) -> Answer:
        usual = good(context)
        unaffected = (
            route not in (None, context.route) or context.after < after or context.load < load
        )
        return usual if unaffected else Answer(usual.ms, context.rng.random() < rate)

    return answer


def slow(factor: float, route: RouteName | None = None, after: float = 0.0) -> Behaviour:
    """Return the behaviour of a version whose latency is multiplied by `factor`.

    It may be slow on one route only, or only after a fraction of the rollout.
    """

    def answer(context: RequestContext) -> Answer:
        usual = good(context)
        unaffected = route not in (None, context.route) or context.after < after
        return usual if unaffected else Answer(int(usual.ms * factor), usual.error)

    return answer


class Case(NamedTuple):
    """One rollout: the new version's behaviour, requests per second, and faults on the way.

    Attributes
    ----------
    leader_lost : float or None
        Fraction of the rollout's duration after which the state leader is lost.
    cut_off : float
        Fraction of the entry VMs that the leader cannot reach.
    started : bool
        Whether the version's backend servers start.
    """

    name: str
    behaviour: Behaviour
    per_s: float
    duration_ms: int = 12_000
    entry_vms: int = 20
    leader_lost: float | None = None
    cut_off: float = 0.0
    started: bool = True


class Result(NamedTuple):
    """Outcome of one rollout.

    Attributes
    ----------
    ended_ms : int or None
        Time in ms from the order to the end of the rollout; None if it did not end.
    requests, exposed : int
        Requests between the order and its deadline, and those of them that entry VMs within
        the leader's reach sent to the new version.
    late : int
        Requests that these entry VMs sent to the new version more than 5 s after its 50th bad
        answer.
    """

    state: MoveState
    ended_ms: int | None
    requests: int
    exposed: int
    late: int
    reason: str


class _EntryVm:
    def __init__(self, number: int, clock: ManualClock, rng: random.Random):
        self.vm = VmId(f"e{number}")
        self.backends = Backends(clock)
        self.gate = VersionGate(clock, rng)
        self.numbers = itertools.count(1)
        self.next_report_ms = 0
        self.cut_off = False


class RolloutWorld:
    """One service whose traffic a rollout order moves to another version."""

    def __init__(self, case: Case, seed: int):
        self._case = case
        self._rng = random.Random(seed)
        self._clock = ManualClock(10_000)
        self._rollouts = Rollouts()
        self._shared = SharedState(CompositeState([self._rollouts]), self._clock)
        self._positions = itertools.count(1)
        self._entries = [_EntryVm(i, self._clock, self._rng) for i in range(case.entry_vms)]
        for entry in self._entries[: int(case.cut_off * case.entry_vms)]:
            entry.cut_off = True
        self._events: list[tuple[int, int, Callable[[], None]]] = []
        self._ties = itertools.count()
        self._leads = True
        self._leaders = 0
        self._order_ms = self._clock.elapsed_ms()
        self._bad = 0
        self._late_after_ms: int | None = None
        self._recent: deque[tuple[int, BackendId]] = deque()
        self._requests = self._exposed = self._late = 0
        self._listing = ListingPublisher(self._clock, "leader")
        self._start_leader()
        self._list_servers(new=False)

    def play(self) -> Result:
        """Simulate from 2 s before the order until twice the rollout's duration."""
        case = self._case
        self._run(2_000)
        self._order_ms = self._clock.elapsed_ms()
        order = StartRollout(service=SERVICE, target=NEW, duration_ms=case.duration_ms)
        self._propose(order)
        if case.started:
            self._schedule(STARTED_AFTER_MS, lambda: self._list_servers(new=True))
        if case.leader_lost is not None:
            self._schedule(int(case.leader_lost * case.duration_ms), self._lose_leader)
        self._requests = self._exposed = 0
        ended_ms = None
        for _ in range(2 * case.duration_ms // STEP_MS):
            self._step()
            if ended_ms is None and self._rollout().terminal:
                ended_ms = self._clock.elapsed_ms() - self._order_ms
        rollout = self._rollout()
        return Result(
            rollout.state, ended_ms, self._requests, self._exposed, self._late, rollout.reason
        )

    def _rollout(self) -> Rollout:
        return self._rollouts.rollouts[SERVICE]

    def _start_leader(self) -> None:
        self._leaders += 1
        self._reports = EntryReports(self._clock)
        self._leader = RolloutLeader(
            self._clock,
            self._shared,
            self._rollouts,
            self._reports,
            self._listing,
            lambda: SequentialJudge(ERROR_RATE, SLOW_FACTOR),
            f"leader-{self._leaders}",
            lambda: self._leads,
            self._propose,
        )
        self._next_poll_ms = self._clock.elapsed_ms()

    def _lose_leader(self) -> None:
        self._leads = False

        def elect() -> None:
            self._start_leader()
            self._leads = True
            # A replica that does not lead polls more seldom, so reports come before its first poll.
            self._next_poll_ms += IDLE_PERIOD

        self._schedule(ELECTION_MS, elect)

    def _propose(self, command: Command) -> None:
        now_ms = LogMs(self._clock.elapsed_ms())
        self._shared.apply(LogPosition(next(self._positions)), now_ms, encode_command(command))
        for entry in self._entries:
            self._schedule(LINK_MS, lambda entry=entry: self._report(entry))

    def _list_servers(self, new: bool) -> None:
        versions = [OLD, NEW] if new else [OLD]
        listing = [
            ListedBackend(
                id=BackendId(f"{version}-{n}"),
                service=SERVICE,
                address=Address(f"10.0.{versions.index(version)}.{n}:80"),
                data_centre=DataCentre("dc"),
                version=version,
                slots=64,
                leaving=False,
                warming_up=False,
            )
            for version in versions
            for n in range(SERVERS)
        ]
        self._listing.publish(listing)
        for entry in self._entries:
            entry.backends.set_listing(listing)

    def _schedule(self, ms: int, call: Callable[[], None]) -> None:
        at_ms = self._clock.elapsed_ms() + ms
        heapq.heappush(self._events, (at_ms, next(self._ties), call))

    def _run(self, ms: int) -> None:
        for _ in range(ms // STEP_MS):
            self._step()

    def _step(self) -> None:
        self._clock.advance(Duration(STEP_MS))
        now_ms = self._clock.elapsed_ms()
        while self._events and self._events[0][0] <= now_ms:
            heapq.heappop(self._events)[2]()
        for entry in self._entries:
            if now_ms >= entry.next_report_ms:
                self._report(entry)
        if self._leads and now_ms >= self._next_poll_ms:
            self._next_poll_ms = now_ms + self._leader.poll()
        expected = self._case.per_s * STEP_MS / 1_000
        for _ in range(int(expected) + (self._rng.random() < expected % 1)):
            self._request(self._rng.choice(self._entries))

    def _report(self, entry: _EntryVm) -> None:
        now_ms = self._clock.elapsed_ms()
        wait_ms = report_wait_ms(len(self._entries))
        entry.next_report_ms = now_ms + self._rng.randint(wait_ms // 2, wait_ms)
        if entry.cut_off or not self._leads:
            return
        report = EntryReport(
            vm=entry.vm,
            number=next(entry.numbers),
            version=1,
            wait_ms=wait_ms,
            shares=entry.gate.number,
            samples=entry.gate.tally.collect(now_ms),
        )
        self._reports.record(report)
        evidence = self._leader.record(report.vm, report.incarnation, report.samples)
        entry.gate.tally.on_collected(report.samples, evidence, now_ms)
        entry.gate.update_shares(self._rollouts.shares())
        entry.gate.renew_lease(now_ms, Duration(wait_ms))

    def _request(self, entry: _EntryVm) -> None:
        now_ms = self._clock.elapsed_ms()
        servers = entry.backends.of_service(SERVICE)
        backend: Backend = self._rng.choice(entry.gate.eligible(SERVICE, servers, resend=False))
        new = backend.listed.version == NEW
        self._count_exposure(now_ms, new and not entry.cut_off)
        route = self._rng.choice((PLAIN, STREAM))
        after = (now_ms - self._order_ms) / self._case.duration_ms
        behaviour = self._case.behaviour if new else good
        answer = behaviour(RequestContext(route, after, self._load(now_ms, backend.id), self._rng))
        tally_key = entry.gate.tally_key(route, backend)
        waiting = entry.gate.tally.on_sent(tally_key, now_ms) if tally_key is not None else None
        self._schedule(answer.ms, lambda: self._on_answer(entry, route, backend, answer, waiting))

    def _count_exposure(self, now_ms: int, exposed: bool) -> None:
        in_time = now_ms <= self._order_ms + self._case.duration_ms
        self._requests += in_time
        self._exposed += exposed and in_time
        self._late += exposed and self._late_after_ms is not None and now_ms > self._late_after_ms

    def _load(self, now_ms: int, backend: BackendId) -> float:
        self._recent.append((now_ms, backend))
        while self._recent[0][0] <= now_ms - 1_000:
            self._recent.popleft()
        usual = max(1, self._case.per_s / SERVERS)
        return sum(each == backend for _, each in self._recent) / usual

    def _on_answer(
        self,
        entry: _EntryVm,
        route: RouteName,
        backend: Backend,
        answer: Answer,
        waiting: FirstEventWait | None,
    ) -> None:
        if waiting is not None:
            now_ms = self._clock.elapsed_ms()
            entry.gate.tally.on_wait_over(waiting, now_ms, answered=not answer.error)
        if backend.listed.version == NEW:
            usual_ms = 45 if route == PLAIN else 1_000
            self._bad += answer.error or answer.ms > 3 * usual_ms
            if self._bad >= 50 and self._late_after_ms is None:
                self._late_after_ms = self._clock.elapsed_ms() + 5_000
        tally_key = entry.gate.tally_key(route, backend)
        if tally_key is None:
            return
        if answer.error:
            entry.gate.tally.on_error(tally_key, counted=False)
        else:
            entry.gate.tally.on_first_event(tally_key, answer.ms)
