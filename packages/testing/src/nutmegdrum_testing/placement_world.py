"""Model in model time of entry VMs that place requests on servers of unequal speeds.

Engines prefill prompts in chunks between the decode steps of their running generations; plain
servers run as many requests at once as they have slots. The placement, the learning of paces and
the slowness are the system's own code.
"""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from nutmegdrum_coord.clock import Duration, ManualClock
from nutmegdrum_coord.ids import BackendId, DataCentre
from nutmegdrum_scheduling.placement.choice import Demand, choose_backend
from nutmegdrum_scheduling.placement.paces import PaceSample, PaceTable, log_time
from nutmegdrum_scheduling.placement.slowness import Slowness
from nutmegdrum_scheduling.placement.stream_pace import STEP_GROWTH

HERE = DataCentre("dc0")
SPEEDS = (0.6, 1.0, 1.6)
CACHE_TOKENS = 55_000
ENGINE_SLOTS = 12
CHUNK_TOKENS = 125
CHUNK_MS = 25.0
FIRST_STEP_MS = 4.4
STEP_GROWTH_MS = 0.1
EVENT_TOKENS = 5.5

SLOW_FACTOR = 2.5
SLOW_SHARE = 1 / 7
SLOW_PERIOD_MS = 600


class ModelWork(NamedTuple):
    """Known work on a server, in tokens."""

    unread: int = 0
    resident: int = 0
    copied: int = 0


@dataclass(eq=False)
class ModelServer:
    """State that all model servers share; a server for placement."""

    id: BackendId
    speed: float
    slots: int
    usual_pace: float = 1.0
    requests: int = 0
    failure_rate: float = 0.0
    warming_up: bool = False
    data_centre: DataCentre = HERE
    work: ModelWork = ModelWork()
    slowness: Slowness = field(default_factory=Slowness)

    def slowness_factor(self, now_ms: int, over: Duration) -> float:
        """Return the time that it takes over the next `over` ms, relative to its usual one."""
        return self.slowness.factor(now_ms, over)

    def is_up(self, now_ms: int) -> bool:
        """Return True."""
        return True

    def total_work(self) -> ModelWork:
        """Return the known work of all entry VMs."""
        return self.work

    def reported_requests(self, now_ms: int) -> int:
        """Return 0, as `requests` counts the requests of all."""
        return 0


@dataclass(order=True)
class ModelGeneration:
    """One generation; ordered by the decode steps of its engine at its end."""

    ends_at_step: float
    number: int
    demand: Demand = field(compare=False)
    output: int = field(compare=False)
    sent_ms: float = field(compare=False)
    unread: float = field(compare=False)
    vm: int = field(default=0, compare=False)
    first_ms: float = field(default=0.0, compare=False)
    end_ms: float = field(default=0.0, compare=False)


class ModelEngine(ModelServer):
    """Engine whose work advances continuously between arrivals and ends."""

    def __init__(self, number: int, speed: float):
        super().__init__(BackendId(f"e{number}"), speed, ENGINE_SLOTS)
        self.now_ms = 0.0
        self.steps = 0.0
        self.seen_by: int | None = None
        self._work_of: dict[int, ModelWork] = {}
        self.waiting: deque[ModelGeneration] = deque()
        self.reading: deque[ModelGeneration] = deque()
        self.running: list[ModelGeneration] = []

    def add(self, generation: ModelGeneration) -> None:
        """Accept a generation; it waits while slots or KV cache are exhausted."""
        demand = generation.demand
        self.requests += 1
        self._change(generation.vm, demand.prompt_tokens, demand.tokens)
        self.waiting.append(generation)
        self._admit()

    def total_work(self) -> ModelWork:
        """Return the work of all entry VMs, or of the one that places a request blindly."""
        if self.seen_by is None:
            return self.work
        return self._work_of.get(self.seen_by, ModelWork())

    def _change(self, vm: int, unread: int, resident: int) -> None:
        own = self._work_of.get(vm, ModelWork())
        self._work_of[vm] = ModelWork(own.unread + unread, own.resident + resident)
        self.work = ModelWork(self.work.unread + unread, self.work.resident + resident)

    def _admit(self) -> None:
        while self.waiting:
            admitted = [*self.reading, *self.running]
            tokens = sum(each.demand.prompt_tokens + each.output for each in admitted)
            first = self.waiting[0]
            tokens += first.demand.prompt_tokens + first.output
            if admitted and (len(admitted) >= ENGINE_SLOTS or tokens > CACHE_TOKENS):
                return
            self.reading.append(self.waiting.popleft())

    def step_ms(self) -> float:
        """Return the time of one decode step without prefill."""
        return (FIRST_STEP_MS + STEP_GROWTH_MS * len(self.running)) / self.speed

    def advance(self, until_ms: float) -> list[ModelGeneration]:
        """Advance to a time and return the generations that have ended."""
        ended = []
        while self.now_ms < until_ms and (self.reading or self.running):
            cycle_ms = self.step_ms() if self.running else 0.0
            cycle_ms += CHUNK_MS / self.speed if self.reading else 0.0
            spans = [until_ms - self.now_ms]
            if self.reading:
                spans.append(self.reading[0].unread / CHUNK_TOKENS * cycle_ms)
            if self.running:
                spans.append((self.running[0].ends_at_step - self.steps) * cycle_ms)
            span = max(0.0, min(spans))
            self.now_ms += span
            if self.running:
                self.steps += span / cycle_ms
            if self.reading:
                self.reading[0].unread -= span / cycle_ms * CHUNK_TOKENS
            ended += self._finish()
        self.now_ms = max(self.now_ms, until_ms)
        return ended

    def _finish(self) -> list[ModelGeneration]:
        ended = []
        while self.reading and self.reading[0].unread < 1e-6:
            first = self.reading.popleft()
            first.first_ms = self.now_ms
            first.ends_at_step = self.steps + first.output
            self._change(first.vm, -first.demand.prompt_tokens, 0)
            heapq.heappush(self.running, first)
        while self.running and self.running[0].ends_at_step - self.steps < 1e-6:
            done = heapq.heappop(self.running)
            done.end_ms = self.now_ms
            self._change(done.vm, 0, -done.demand.tokens)
            self.requests -= 1
            ended.append(done)
        if ended:
            self._admit()
        return ended


class PlacementFigures(NamedTuple):
    """Times in ms: p50 and p99 to the first event (of streams) and to the end."""

    first_p50: float
    first_p99: float
    end_p50: float
    end_p99: float
    end_mean: float


def _quantile(values: list[float], share: float) -> float:
    return sorted(values)[int(share * (len(values) - 1))]


class Learning:
    """Learned paces of model servers; without learning every server counts as usual."""

    def __init__(self, clock: ManualClock, on: bool):
        self._table = PaceTable(clock, leader=1)
        self._on = on
        self._number = 0

    def record(self, server: ModelServer, measurement: str, time: float) -> None:
        """Record the time of a request per unit of work."""
        self._table.record((PaceSample(server.id, measurement, log_time(time)),))

    def apply(self, servers: list[ModelServer]) -> None:
        """Give the servers their learned paces."""
        paces = self._table.newer(self._number) if self._on else None
        if paces is not None:
            self._number = paces.number
            for server in servers:
                server.usual_pace = paces.percent.get(server.id, 100) / 100


def log_uniform(rng: random.Random, low: float, high: float) -> float:
    """Return a random number whose logarithm is uniform."""
    return low * (high / low) ** rng.random()


def play_streams(
    seed: int,
    learns: bool,
    per_s: float,
    seconds: int = 90,
    engines: int = 24,
    speeds: tuple[float, ...] = SPEEDS,
    warm_up_s: int = 20,
    choices: list[BackendId] | None = None,
    blind_vms: int = 0,
    misjudged: float = 1.0,
    restart_every_s: int = 0,
) -> PlacementFigures:
    """Play streams whose costs differ by a factor of ten, and return their times.

    Parameters
    ----------
    speeds : tuple of float
        Speeds that the engines have in turn.
    choices : list or None
        Is given the chosen engines.
    blind_vms : int
        Number of entry VMs that do not know each other's work, as without a leader; 0 if they do.
    misjudged : float
        Factor by which expected outputs are wrong at most, in either direction.
    restart_every_s : int
        Time in s after which the next engine gets a new incarnation, which is unknown; 0 for never.
    """
    rng, placing = random.Random(seed), random.Random(seed + 1)
    clock = ManualClock(0)
    servers = [ModelEngine(i, speeds[i % len(speeds)]) for i in range(engines)]
    learning = Learning(clock, learns)
    done: list[ModelGeneration] = []
    at_ms = 0.0
    restarts = 0
    for number in itertools.count():
        at_ms += rng.expovariate(per_s / 1_000)
        if at_ms > seconds * 1_000:
            break
        clock.advance(int(at_ms) - clock.elapsed_ms())
        for server in servers:
            for ended in server.advance(at_ms):
                done.append(ended)
                event_ms = EVENT_TOKENS * server.step_ms() * rng.uniform(0.95, 1.05)
                event_ms /= 1 + STEP_GROWTH * len(server.running)
                learning.record(server, "gap", event_ms)
        learning.apply(servers)
        prompt = int(log_uniform(rng, 1_600, 16_000))
        output = int(log_uniform(rng, 250, 2_500))
        if restart_every_s and at_ms > (restarts + 1) * restart_every_s * 1_000:
            restarts += 1
            restarted = servers[restarts % engines]
            restarted.id = BackendId(f"e{restarts % engines}-{restarts}")
            restarted.usual_pace = 1.0
        expected = output
        if misjudged > 1:
            expected = max(1, int(output * log_uniform(rng, 1 / misjudged, misjudged)))
        demand = Demand(prompt, output, expected)
        vm = number % blind_vms if blind_vms else 0
        for server in servers:
            server.seen_by = vm if blind_vms else None
        chosen = choose_backend(
            servers, demand, CACHE_TOKENS, HERE, (), clock.elapsed_ms(), placing, not blind_vms
        )
        if choices is not None:
            choices.append(chosen.id)
        chosen.add(ModelGeneration(0.0, number, demand, output, at_ms, float(prompt), vm))
    for server in servers:
        done += server.advance(at_ms + 600_000)
    done = [each for each in done if each.sent_ms >= warm_up_s * 1_000]
    waits = [each.first_ms - each.sent_ms for each in done]
    ends = [each.end_ms - each.sent_ms for each in done]
    return PlacementFigures(
        _quantile(waits, 0.5),
        _quantile(waits, 0.99),
        _quantile(ends, 0.5),
        _quantile(ends, 0.99),
        sum(ends) / len(ends),
    )


class _PlainServer:
    """Plain server that runs as many requests at once as it has slots."""

    def __init__(self, number: int, speed: float, slots: int, rng: random.Random):
        self.id = BackendId(f"p{number}")
        self.speed = speed
        self.slots = slots
        self.now_ms = 0.0
        self.sent = 0
        self._rng = rng
        self._factor = 1.0
        self._changes_ms = rng.uniform(0, SLOW_PERIOD_MS)
        self._served = 0.0
        self._running: list[tuple[float, int, _PlainRequest]] = []
        self._waiting: deque[_PlainRequest] = deque()

    @property
    def slowness(self) -> int:
        """Return its slowness in percent, as in its load reports."""
        return round(100 * self._factor)

    @property
    def requests(self) -> int:
        """Return its requests, running and waiting."""
        return len(self._running) + len(self._waiting)

    def add(self, request: "_PlainRequest") -> None:
        """Accept a request."""
        self.sent += 1
        self._waiting.append(request)
        self._start()

    def _start(self) -> None:
        while self._waiting and len(self._running) < self.slots:
            first = self._waiting.popleft()
            heapq.heappush(self._running, (self._served + first.cost_ms, first.number, first))

    def next_ms(self) -> float:
        """Return the time of its next end, or of its next change of slowness before it."""
        if not self._running:
            return self._changes_ms
        left = self._running[0][0] - self._served
        return min(self._changes_ms, self.now_ms + left * self._factor / self.speed)

    def advance(self, until_ms: float) -> list["_PlainRequest"]:
        """Advance to a time not after `next_ms`, and return the requests that have ended."""
        self._served += (until_ms - self.now_ms) * self.speed / self._factor
        self.now_ms = until_ms
        if until_ms >= self._changes_ms:
            self._changes_ms += SLOW_PERIOD_MS
            self._factor = SLOW_FACTOR if self._rng.random() < SLOW_SHARE else 1.0
        ended = []
        while self._running and self._running[0][0] - self._served < 1e-6:
            ended.append(heapq.heappop(self._running)[2])
        self._start()
        return ended


class _PlainRequest(NamedTuple):
    number: int
    cost_ms: float
    sent_ms: float
    vm: "_EntryVm"
    server: _PlainServer


class _View(ModelServer):
    """One entry VM's view of a plain server."""

    reported: int = 0
    reported_ms: int = -1_000

    def reported_requests(self, now_ms: int) -> int:
        return self.reported if now_ms - self.reported_ms <= 400 else 0


class _EntryVm:
    """One entry VM: its views of the servers, and its kept connections."""

    IDLE_MS = 4_000

    def __init__(self, servers: list[_PlainServer]):
        self.views = {s.id: _View(s.id, s.speed, s.slots) for s in servers}
        self._idle: dict[BackendId, list[int]] = {}

    def connected(self, now_ms: int) -> list[BackendId]:
        """Return the servers with a kept connection."""
        return [b for b, since in self._idle.items() if since and now_ms < since[-1] + self.IDLE_MS]

    def take(self, server: BackendId, now_ms: int) -> bool:
        """Return whether a kept connection is used for a request."""
        since = self._idle.get(server)
        return bool(since) and now_ms < since.pop() + self.IDLE_MS

    def keep(self, server: BackendId, now_ms: int) -> None:
        """Keep the connection of a request that has ended."""
        self._idle.setdefault(server, []).append(now_ms)


class PlainFigures(NamedTuple):
    """Times of plain requests in ms, the share on kept connections, and the balance."""

    p50: float
    p99: float
    reused: float
    busiest_to_mean: float


def play_plain(
    seed: int,
    vms: int,
    per_s: float,
    reports: bool = True,
    learns: bool = True,
    keeps: bool = True,
    seconds: int = 30,
    count: int = 30,
    speeds: tuple[float, ...] = SPEEDS,
    liars: bool = False,
) -> PlainFigures:
    """Play plain requests whose costs differ by a factor of ten, at so many entry VMs.

    Parameters
    ----------
    reports, learns, keeps : bool
        Whether servers report their slowness, paces are learned, and kept connections preferred.
    liars : bool
        Whether the servers of the first speed always report that they are five times faster.
    """
    rng, placing = random.Random(seed), random.Random(seed + 1)
    clock = ManualClock(0)
    servers = [_PlainServer(i, speeds[i % len(speeds)], 8, rng) for i in range(count)]
    entry_vms = [_EntryVm(servers) for _ in range(vms)]
    learning = Learning(clock, learns)
    every_view = [view for vm in entry_vms for view in vm.views.values()]
    times: list[float] = []
    sent = reused = 0
    at_ms = 0.0
    due = [(server.next_ms(), i) for i, server in enumerate(servers)]
    heapq.heapify(due)
    due_ms = [when for when, _ in sorted(due, key=lambda each: each[1])]

    def reschedule(i: int) -> None:
        due_ms[i] = servers[i].next_ms()
        heapq.heappush(due, (due_ms[i], i))

    def run_until(until_ms: float) -> None:
        while due and due[0][0] <= until_ms:
            when, i = heapq.heappop(due)
            if when != due_ms[i]:
                continue
            server = servers[i]
            clock.advance(max(0, int(when) - clock.elapsed_ms()))
            now_ms = clock.elapsed_ms()
            for ended in server.advance(when):
                view = ended.vm.views[server.id]
                view.requests -= 1
                view.reported, view.reported_ms = server.requests, now_ms
                if reports:
                    lies = liars and i % len(speeds) == 0
                    view.slowness.on_report(20 if lies else server.slowness, now_ms)
                ended.vm.keep(server.id, now_ms)
                learning.record(server, "plain", max(1.0, when - ended.sent_ms))
                times.append(when - ended.sent_ms)
            reschedule(i)

    for number in itertools.count():
        at_ms += rng.expovariate(per_s / 1_000)
        if at_ms > seconds * 1_000:
            break
        run_until(at_ms)
        clock.advance(max(0, int(at_ms) - clock.elapsed_ms()))
        now_ms = clock.elapsed_ms()
        if number % 50 == 0:
            learning.apply(every_view)
        vm = rng.choice(entry_vms)
        demand = Demand(expected_time=Duration(50))
        view = choose_backend(
            list(vm.views.values()),
            demand,
            0,
            HERE,
            (),
            now_ms,
            placing,
            connected=vm.connected(now_ms) if keeps else (),
        )
        sent += 1
        reused += vm.take(view.id, now_ms)
        view.requests += 1
        i = int(view.id[1:])
        servers[i].advance(at_ms)
        servers[i].add(_PlainRequest(number, log_uniform(rng, 15, 150), at_ms, vm, servers[i]))
        reschedule(i)
    run_until(at_ms + 5_000)
    busiest = max(server.sent for server in servers) * count / sent
    return PlainFigures(_quantile(times, 0.5), _quantile(times, 0.99), reused / sent, busiest)
