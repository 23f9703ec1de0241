"""Rollout judge: sequential tests of a new version against the settled one.

Each route and level of load has one test a measure. A test keeps the likelihood ratio of several
ways in which the new version could be worse against "no worse", averaged over the ways. If the
version is no worse, that ratio exceeds 1/p at any time with a probability of at most p, so the
tests may be read after every window. The error rate is divided among the tests.
"""

import math
from collections import deque

from nutmegdrum.judging import Comparison, Counts, Finding, RolloutJudge, TrafficStream
from nutmegdrum.plugins import Kind, Plugin, Registry
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import RouteName

FAULT_RATIOS = (2.0, 6.0, 40.0)
"""Ratios of fault rates, new version to settled, that are tested."""

MAX_FAULT_WEIGHT = 4.0
"""Faults of one window that count at most; more are scaled down, as they have one cause."""

CRASH_WINDOW_MS = 10_000
"""Time in which crashes are one event: one death shows on several VMs at different times."""

SLOW_QUANTILE = 0.8
SLOW_FACTOR = 1.25
"""Usual factor above the settled version's quantile from which a time counts as slow."""
SLOW_PROBABILITY = 0.35
"""Chance, with allowance for drift, that a sample of an equal version counts as slow."""
SLOW_PROBABILITIES = (0.6, 0.85)
SLOW_SAMPLES_PER_WINDOW = 4
MIN_SETTLED_SAMPLES = 10
RECENT_WINDOWS = 5
BASELINE_SAMPLES = 400

BASELINE_FACTOR = 3.0
BASELINE_FAULT_RATE = 0.005
MIN_CRASH_PROBABILITY = 0.1
BASELINE_CRASH_PROBABILITY = 0.15
CRASH_PROBABILITIES = (0.6, 0.95)
"""Chances that the new version is among the victims of a death, if it causes deaths."""
MIN_FAULT_PROBABILITY = 0.05

SUSPICION_RATIO = 50.0
"""Likelihood ratio from which a version gets no larger share."""


class Evidence:
    """Likelihood ratios of several alternatives, averaged."""

    def __init__(self, alternatives: int):
        self._logs = [0.0] * alternatives

    def add(self, log_ratios: list[float], weight: float = 1.0) -> None:
        """Multiply each ratio by one factor, given by its logarithm."""
        self._logs = [log + weight * add for log, add in zip(self._logs, log_ratios, strict=True)]

    @property
    def log(self) -> float:
        """Return the logarithm of the average ratio."""
        top = max(self._logs)
        return top + math.log(sum(math.exp(log - top) for log in self._logs) / len(self._logs))


class RateTest:
    """Test of fault rates, by which version the faults of a window fall on.

    Where the settled version has too little traffic to compare, its rate so far stands for it.
    """

    def __init__(self, max_weight: float):
        self.evidence = Evidence(len(FAULT_RATIOS))
        self._max_weight = max_weight
        self._settled = [0, 0]
        self._trial = [0, 0]

    def observe(self, trial: int, trial_n: int, settled: int, settled_n: int) -> None:
        """Take in faults and requests of both versions over one window."""
        self._trial = [self._trial[0] + trial, self._trial[1] + trial_n]
        if 2 * settled_n < trial_n:
            self._compare_with_rate(trial, trial_n)
        elif trial_n > 0 and trial + settled > 0:
            self._compare_with_settled(trial, settled, trial_n / (trial_n + settled_n))
        self._settled = [self._settled[0] + settled, self._settled[1] + settled_n]

    def describe(self) -> str:
        """Return the counts in words."""
        trial, settled = self._trial, self._settled
        return f"{trial[0]} of {trial[1]} requests, settled {settled[0]} of {settled[1]}"

    def _compare_with_settled(self, trial: int, settled: int, share: float) -> None:
        weight = min(1.0, self._max_weight / (trial + settled))
        ratios = []
        for ratio in FAULT_RATIOS:
            worse = ratio * share / (ratio * share + 1 - share)
            on_trial = trial * math.log(worse / share)
            on_settled = settled * math.log((1 - worse) / (1 - share))
            ratios.append(on_trial + on_settled)
        self.evidence.add(ratios, weight)

    def _compare_with_rate(self, trial: int, trial_n: int) -> None:
        known = (self._settled[0] + 1) / (self._settled[1] + 10)
        rate = min(0.5, BASELINE_FACTOR * known + BASELINE_FAULT_RATE)
        weight = min(1.0, self._max_weight / max(1, trial))
        ratios = []
        for ratio in FAULT_RATIOS:
            worse = min(0.95, max(ratio * rate, MIN_FAULT_PROBABILITY))
            faults = trial * math.log(worse / rate)
            fine = (trial_n - trial) * math.log((1 - worse) / (1 - rate))
            ratios.append(faults + fine)
        self.evidence.add(ratios, weight)


class CrashTest:
    """Test of crashes over all routes, by whether the victims of deaths are on the new version.

    A death that has nothing to do with the version finds it among K victims with a chance of at
    most 1 - (1 - share)^K; one that it causes always does. Beside no settled traffic, the windows
    with a death are compared with those that the settled version had.
    """

    def __init__(self) -> None:
        self.evidence = Evidence(len(CRASH_PROBABILITIES))
        self._ends_ms: ElapsedMs | None = None
        self._window = [0, 0, 0, 0]
        self._settled_windows = [0, 0]
        self._events = [0, 0]

    def observe(self, at_ms: ElapsedMs, trial: Counts, settled: Counts) -> None:
        """Take in crashes and requests of both versions on one route."""
        if self._ends_ms is None or at_ms >= self._ends_ms:
            self._close()
            self._window = [0, 0, 0, 0]
            self._ends_ms = ElapsedMs(at_ms + CRASH_WINDOW_MS)
        counts = (trial.crashes, trial.requests, settled.crashes, settled.requests)
        self._window = [old + new for old, new in zip(self._window, counts, strict=True)]

    def describe(self) -> str:
        """Return the counts in words."""
        return f"the new version was hit in {self._events[0]} of {self._events[1]} times"

    def _close(self) -> None:
        trial, trial_n, settled, settled_n = self._window
        if trial_n == 0:
            return
        if 2 * settled_n < trial_n:
            known = (self._settled_windows[0] + 1) / (self._settled_windows[1] + 10)
            self._add(max(BASELINE_CRASH_PROBABILITY, BASELINE_FACTOR * known), trial > 0)
            return
        self._settled_windows[0] += settled > 0
        self._settled_windows[1] += 1
        if trial + settled > 0:
            share = trial_n / (trial_n + settled_n)
            self._add(max(MIN_CRASH_PROBABILITY, 1 - (1 - share) ** (trial + settled)), trial > 0)

    def _add(self, probability: float, hit: bool) -> None:
        self._events = [self._events[0] + hit, self._events[1] + 1]
        worse = [max(probability, known) for known in CRASH_PROBABILITIES]
        if probability >= max(CRASH_PROBABILITIES):
            return
        if hit:
            self.evidence.add([math.log(one / probability) for one in worse])
        else:
            self.evidence.add([math.log((1 - one) / (1 - probability)) for one in worse])


class SlowTest:
    """Test of times against a high quantile of the settled version's in the same minutes."""

    def __init__(self, slow_factor: float) -> None:
        self.evidence = Evidence(len(SLOW_PROBABILITIES))
        self._slow_factor = slow_factor
        self._recent: deque[list[int]] = deque(maxlen=RECENT_WINDOWS)
        self._baseline: deque[int] = deque(maxlen=BASELINE_SAMPLES)
        self._counts = [0, 0]
        self._limit_ms = 0.0

    def observe(self, trial: list[int], settled: list[int]) -> None:
        """Take in the samples of both versions over one window, in ms."""
        if settled:
            self._recent.append(settled)
            self._baseline.extend(settled)
            known = [sample for samples in self._recent for sample in samples]
        else:
            known = list(self._baseline)
        if len(known) < MIN_SETTLED_SAMPLES:
            return
        self._limit_ms = self._slow_factor * sorted(known)[int(SLOW_QUANTILE * (len(known) - 1))]
        for sample in trial[:SLOW_SAMPLES_PER_WINDOW]:
            self._add_sample(sample > self._limit_ms)

    def describe(self) -> str:
        """Return the counts in words."""
        return f"{self._counts[0]} of {self._counts[1]} samples above {self._limit_ms:.0f} ms"

    def _add_sample(self, slow: bool) -> None:
        self._counts[0] += slow
        self._counts[1] += 1
        if slow:
            self.evidence.add(
                [math.log(probability / SLOW_PROBABILITY) for probability in SLOW_PROBABILITIES]
            )
        else:
            fine = [
                math.log((1 - probability) / (1 - SLOW_PROBABILITY))
                for probability in SLOW_PROBABILITIES
            ]
            self.evidence.add(fine)


class StreamTests:
    """Tests of one route at one level of load."""

    def __init__(self, slow_factor: float) -> None:
        self.tests = {
            "errors": RateTest(MAX_FAULT_WEIGHT),
            "truncated streams": RateTest(MAX_FAULT_WEIGHT),
            "wrong streams": RateTest(MAX_FAULT_WEIGHT),
            "slow first token": SlowTest(slow_factor),
            "slow tokens": SlowTest(slow_factor),
        }

    def observe(self, trial: Counts, settled: Counts) -> None:
        """Take in the counts of one window."""
        for name, field in (
            ("errors", "errors"),
            ("truncated streams", "truncated"),
            ("wrong streams", "wrong"),
        ):
            self.tests[name].observe(
                getattr(trial, field), trial.requests, getattr(settled, field), settled.requests
            )
        self.tests["slow first token"].observe(trial.first_token_ms, settled.first_token_ms)
        self.tests["slow tokens"].observe(trial.token_gap_ms, settled.token_gap_ms)


class SequentialJudge(RolloutJudge):
    """Judge whose chance to find a version bad that is no worse is at most `error_rate`.

    Parameters
    ----------
    slow_factor : float
        Factor above the settled version's quantile from which a time counts as slow.
    """

    def __init__(self, error_rate: float, slow_factor: float = SLOW_FACTOR):
        self._error_rate = error_rate
        self._slow_factor = slow_factor
        self._streams: dict[TrafficStream, StreamTests] = {}
        self._crashes = CrashTest()
        self._requests: dict[RouteName, int] = {}
        self._finding: Finding | None = None

    def observe(self, comparison: Comparison) -> None:
        """Take in the counts of one window."""
        stream = comparison.stream
        tests = self._streams.setdefault(stream, StreamTests(self._slow_factor))
        tests.observe(comparison.trial, comparison.settled)
        self._crashes.observe(comparison.at_ms, comparison.trial, comparison.settled)
        requests = self._requests.get(stream.route, 0)
        self._requests[stream.route] = requests + comparison.trial.requests
        self._finding = self._finding or self._find(stream)

    def finding(self) -> Finding | None:
        """Return why the version is bad; it stays once it is shown."""
        return self._finding

    def suspicious(self) -> bool:
        """Return whether some test speaks against the version."""
        tests = [test for stream in self._streams.values() for test in stream.tests.values()]
        return any(
            test.evidence.log >= math.log(SUSPICION_RATIO) for test in [*tests, self._crashes]
        )

    def requests(self, route: RouteName) -> int:
        """Return the number of the version's requests that were compared on `route`."""
        return self._requests.get(route, 0)

    def _find(self, stream: TrafficStream) -> Finding | None:
        tests = {**self._streams[stream].tests, "crashes": self._crashes}
        test_count = sum(len(stream.tests) for stream in self._streams.values()) + 1
        limit = math.log(test_count / self._error_rate)
        for name, test in tests.items():
            if test.evidence.log >= limit:
                return Finding(route=stream.route, what=name, detail=test.describe())
        return None


class SequentialJudgePlugin(Plugin):
    """Provide the rollout judge `sequential`.

    `error_rate` is the stated chance that a version that is no worse is taken back, and
    `slow_factor` how many times as long as usual a time is that counts as slow.
    """

    def __init__(self) -> None:
        super().__init__()
        self.config.update(error_rate=0.001, slow_factor=SLOW_FACTOR)

    def register(self, registry: Registry) -> None:
        """Register the factory of judges."""
        registry.provide(Kind.ROLLOUT_JUDGE, "sequential", self.make)

    def make(self) -> SequentialJudge:
        """Return a judge without evidence."""
        return SequentialJudge(self.config["error_rate"], self.config["slow_factor"])
