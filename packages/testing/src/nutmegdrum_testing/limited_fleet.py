"""Entry VMs and backend servers with announced rate limits, in model time."""

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from nutmegdrum.permits import Permit, PermitLedger, PermitRequest, Permits
from nutmegdrum.rate_limits import KnownLimits
from nutmegdrum.units import Address, Duration
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import BackendId, DataCentre, Fingerprint, VmId, WorkspaceId
from nutmegdrum_coord.verdict import Refusal
from nutmegdrum_relay.attempts import Attempts
from nutmegdrum_relay.backends import Backends
from nutmegdrum_relay.crash_watch import CrashWatch
from nutmegdrum_relay.dialect import Headers
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.entry_peers import EntryPeers
from nutmegdrum_relay.fleet_work import UnsharedWork
from nutmegdrum_relay.links import Links
from nutmegdrum_relay.pending_request import PendingRequest
from nutmegdrum_relay.plain_relay import PlainRelay
from nutmegdrum_relay.resends import Resends
from nutmegdrum_relay.running import RunningStreams
from nutmegdrum_relay.selection import Selection
from nutmegdrum_relay.upstream import AnswerHead
from nutmegdrum_relay.version_gate import VersionGate
from nutmegdrum_scheduling.placement.choice import Demand
from nutmegdrum_scheduling.resends.budget import RetryBudget

from nutmegdrum_testing.relay_dialect import PlainDialect
from nutmegdrum_testing.relay_world import document, listed, route

WINDOW_MS = 4_000
TOLD_MS = 500
CONTACT_MS = 3_000
EXCESS = 1.5
SLACK = 5
"""The users' bound: from `CONTACT_MS` after a server first named its limit, it gets in a window of
`WINDOW_MS` at most `EXCESS` times what the limit allows and `SLACK` requests, from entry VMs that
passed on such an answer `TOLD_MS` before or earlier."""


class Arrival(NamedTuple):
    """Request that reached a backend server; `process` is a start of an entry VM."""

    at_ms: int
    process: str
    told: bool


@dataclass
class LimitedServer:
    """Backend server that names the limit `per_s(now_ms)` in its answers; None for none.

    Attributes
    ----------
    status : int
        Status of its answers.
    """

    name: str
    per_s: Callable[[int], float | None]
    status: int = 200
    address: Address = Address("10.0.0.1:80")
    arrivals: list[Arrival] = field(default_factory=list)
    named_ms: int | None = None
    _told_ms: dict[str, int] = field(default_factory=dict)

    def answer(self, process: str, at_ms: int) -> AnswerHead:
        """Answer a request of `process` that arrives at `at_ms`."""
        told_ms = self._told_ms.get(process, at_ms)
        self.arrivals.append(Arrival(at_ms, process, at_ms - told_ms >= TOLD_MS))
        per_s = self.per_s(at_ms)
        if per_s is None:
            return AnswerHead(self.status, [])
        self.named_ms = at_ms if self.named_ms is None else self.named_ms
        self._told_ms.setdefault(process, at_ms)
        return AnswerHead(self.status, [("X-Limit", str(per_s))])

    def most_over(self, until_ms: int) -> float:
        """Return by how many requests the users' bound was exceeded at most, before `until_ms`."""
        if self.named_ms is None:
            return -SLACK
        counted = sorted(a.at_ms for a in self.arrivals if a.told and a.at_ms < until_ms)
        over = [-float(SLACK)]
        for number, end_ms in enumerate(counted):
            if end_ms < self.named_ms + CONTACT_MS:
                continue
            inside = [at for at in counted[: number + 1] if at > end_ms - WINDOW_MS]
            limits = [self.per_s(at) for at in range(end_ms - WINDOW_MS, end_ms, TOLD_MS)]
            highest = max((limit for limit in limits if limit is not None), default=0.0)
            allowed = EXCESS * highest * WINDOW_MS / 1_000 + SLACK
            if None not in limits:
                over.append(len(inside) - allowed)
        return max(over)


@dataclass
class BrittleServer:
    """Backend server that falls over if it has to reject too many requests in a second.

    Attributes
    ----------
    max_rejected : int
        Requests that it can reject in a second; named in its answers.
    is_full : callable
        Returns whether it has no room at a time in ms.
    """

    name: str
    max_rejected: int
    is_full: Callable[[int], bool]
    address: Address = Address("10.0.0.1:80")
    rejected_ms: list[int] = field(default_factory=list)

    def answer(self, process: str, at_ms: int) -> AnswerHead:
        """Answer or reject a request of `process` that arrives at `at_ms`."""
        headers = [("X-Brittle", str(self.max_rejected))]
        if not self.is_full(at_ms):
            return AnswerHead(200, headers)
        self.rejected_ms.append(at_ms)
        return AnswerHead(503, [*headers, ("X-Not-Run", "1")])

    def most_over(self, from_ms: int) -> int:
        """Return by how many rejections in a second the bound was exceeded at most."""
        counted = sorted(at_ms for at_ms in self.rejected_ms if at_ms >= from_ms)
        return (
            max(
                (sum(end - 1_000 < at_ms <= end for at_ms in counted) for end in counted), default=0
            )
            - self.max_rejected
        )


ModelServer = LimitedServer | BrittleServer


class _Exchange:
    aborted = False
    reused = False
    refused = ""

    def __init__(self, answer: Callable[[], AnswerHead]):
        self._answer = answer

    def send(self, *request: object) -> None:
        """Accept the request."""

    def receive(self, timeout: Duration, extend: object) -> AnswerHead:
        """Return the answer's head."""
        return self._answer()

    def chunks(self, timeout: Duration) -> list[bytes]:
        """Return no body."""
        return []

    def close(self) -> None:
        """Do nothing."""


class _Call:
    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Accept the answer."""


class Outcome(NamedTuple):
    """What a caller got: status, time until then, and the time to come back after a refusal."""

    vm: int
    workspace: str
    status: int
    took_ms: int
    retry_after_ms: int | None = None


class LimitedLeader:
    """State leader that grants permits; `ledger` is None while there is none."""

    def __init__(self, clock: ManualClock, rng: random.Random):
        self._clock = clock
        self._rng = rng
        self.elect()

    def elect(self) -> None:
        """Begin with a leader that knows nothing."""
        limits = KnownLimits(self._clock)
        self.ledger: PermitLedger | None = PermitLedger(self._clock, self._rng, limits)

    def lose(self) -> None:
        """Leave the entry VMs without a leader."""
        self.ledger = None


class LimitedVm:
    """One process of an entry VM, whose backend servers answer instantly."""

    def __init__(
        self,
        clock: ManualClock,
        rng: random.Random,
        process: str,
        servers: Sequence[ModelServer],
        leader: "LimitedLeader",
    ):
        self._clock = clock
        self._process = process
        self._leader = leader
        self.is_cut_off = False
        self._waited_ms = 0
        self.backends = Backends(clock)
        self.list(servers)
        vm = VmId(process)
        self.permits = Permits(vm, clock, rng, self.backends.limits, self._ask, self._pause)
        shared, gate, links = UnsharedWork(), VersionGate(clock, rng), Links(clock)
        selection = Selection(
            clock,
            rng,
            self.backends,
            DataCentre("dc1"),
            shared,
            gate,
            self.permits,
            EntryPeers(clock, rng, links),
        )
        attempts = Attempts(
            clock,
            rng,
            PlainDialect(),
            self.backends,
            self,
            RunningStreams(),
            shared,
            gate,
            CrashWatch(clock),
            self.permits,
            links,
        )
        self._relay = PlainRelay(
            selection, attempts, clock, Resends(RetryBudget(clock, rng), clock)
        )

    def list(self, servers: Sequence[ModelServer]) -> None:
        """Replace the list of backend servers."""
        self._servers = {BackendId(server.name): server for server in servers}
        self.backends.set_listing([listed(s.name, s.address) for s in servers])

    def _ask(self, request: PermitRequest) -> Permit | None:
        ledger = None if self.is_cut_off else self._leader.ledger
        return None if ledger is None else ledger.request(request)

    def _pause(self, wait: Duration) -> None:
        self._waited_ms += wait

    def report(self, entry_vms: int) -> None:
        """Exchange limits with the leader, as periodic reports do."""
        ledger = None if self.is_cut_off else self._leader.ledger
        if ledger is None:
            return
        ledger.limits.merge(self.backends.limits.announced())
        self.backends.limits.merge(ledger.limits.announced())
        self.permits.set_entry_vms(entry_vms)

    def open(self, backend, address, fresh, timeout, request_id=""):
        """Return an exchange with a server, as `UpstreamPool.open` does."""
        at_ms = self._clock.elapsed_ms() + self._waited_ms
        return _Exchange(lambda: self._servers[backend].answer(self._process, at_ms))

    def keep(self, backend, exchange):
        """Do nothing; exchanges are not reused."""

    def send(self, vm: int, workspace: str) -> Outcome:
        """Relay one idempotent request, and return what its caller got."""
        self._waited_ms = 0
        pending = PendingRequest(
            method="POST",
            target="/",
            headers=[],
            body=b"",
            terms=PlainDialect().request_terms({}),
            route=route(RouteKind.IDEMPOTENT),
            service=document().services[0],
            workspace=WorkspaceId(workspace),
            urgency=0,
            demand=Demand(),
            deadline_ms=self._clock.elapsed_ms() + 1_000,
            fingerprint=Fingerprint("f"),
        )
        try:
            status = self._relay.fetch(pending).deliver(_Call())
        except Refusal as refusal:
            return Outcome(vm, workspace, 503, self._waited_ms, refusal.retry_after_ms)
        return Outcome(vm, workspace, status, self._waited_ms)


class LimitedFleet:
    """Entry VMs that share backend servers with limits.

    Attributes
    ----------
    outcomes : list of Outcome
        What the callers got.
    """

    def __init__(self, seed: int, vms: int, servers: Sequence[ModelServer]):
        self.clock = ManualClock(10_000)
        self.rng = random.Random(seed)
        self.servers = list(servers)
        self.leader = LimitedLeader(self.clock, self.rng)
        self._starts = [0] * vms
        self.vms = [self._start(number) for number in range(vms)]
        self.outcomes: list[Outcome] = []

    def _start(self, number: int) -> LimitedVm:
        process = f"vm{number}/{self._starts[number]}"
        return LimitedVm(self.clock, self.rng, process, self.servers, self.leader)

    def replace(self, old: ModelServer, new: ModelServer) -> None:
        """List `new` in place of `old`, which ends."""
        self.servers[self.servers.index(old)] = new
        for vm in self.vms:
            vm.list(self.servers)
        if self.leader.ledger is not None:
            self.leader.ledger.retain({BackendId(server.name) for server in self.servers})

    def join(self) -> None:
        """Add an entry VM."""
        self._starts.append(0)
        self.vms.append(self._start(len(self.vms)))

    def restart(self, number: int) -> None:
        """Replace an entry VM's process by a new one, which knows nothing."""
        self._starts[number] += 1
        self.vms[number] = self._start(number)

    def play(self, per_s: float, duration_ms: int, each_step: Callable[[], None] = lambda: None):
        """Send requests at random times to random entry VMs; `each_step` runs every 100 ms."""
        until_ms = self.clock.elapsed_ms() + duration_ms
        next_step_ms = self.clock.elapsed_ms()
        while self.clock.elapsed_ms() < until_ms:
            self.clock.advance(1 + int(self.rng.expovariate(per_s) * 1_000))
            while self.clock.elapsed_ms() >= next_step_ms:
                next_step_ms += 100
                for vm in self.vms:
                    vm.report(len(self.vms))
                each_step()
            number = self.rng.randrange(len(self.vms))
            workspace = self.rng.choice("abcd")
            self.outcomes.append(self.vms[number].send(number, workspace))

    def most_over(self) -> float:
        """Return by how many requests any server's bound was exceeded at most."""
        now_ms = self.clock.elapsed_ms()
        limited = [server for server in self.servers if isinstance(server, LimitedServer)]
        return max(server.most_over(now_ms) for server in limited)
