"""Rollout judge: sequential tests of a new version against the settled one.

Each route and level of load has one test for each measure. A test keeps the likelihood ratio of
several alternatives, in which the new version is worse, against the hypothesis that it is no
worse, and averages over the alternatives. If the version is no worse, that average ever exceeds
1/p with a probability of at most p, so the tests may be evaluated after every window. The error
rate is divided among the tests.
"""

import math
from collections import deque

from nutmegdrum.judging import Comparison, Counts, Finding, RolloutJudge, TrafficStream
from nutmegdrum.plugins import Kind, Plugin, Registry
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import RouteName

FAULT_RATIOS = (2.0, 6.0, 40.0)
"""Ratios of fault rates, new version to settled version, that are tested as alternatives."""

MAX_FAULT_WEIGHT = 4.0
"""Number of faults per window that count fully; more are scaled down, as they share one cause."""

CRASH_WINDOW_MS = 10_000
"""Time in ms within which crashes count as one event, as VMs notice a death at different times."""

SLOW_QUANTILE = 0.8
"""Quantile of the settled version's samples to which the slow limit refers."""
SLOW_FACTOR = 1.25
"""Default factor above the settled version's quantile from which a sample counts as slow."""
SLOW_PROBABILITY = 0.35
"""Probability that a sample of an equal version counts as slow, with an allowance for drift."""
SLOW_PROBABILITIES = (0.6, 0.85)
"""Probabilities, as alternatives, that a sample of a slower version counts as slow."""
SLOW_SAMPLES_PER_WINDOW = 4
"""Maximum number of samples of the new version that are tested in one window."""
MIN_SETTLED_SAMPLES = 10
"""Number of samples of the settled version that are needed before any sample is tested."""
RECENT_WINDOWS = 5
"""Number of windows of the settled version whose samples determine the slow limit."""
BASELINE_SAMPLES = 400
"""Number of earlier settled samples that determine the limit in windows without settled traffic."""

BASELINE_FACTOR = 3.0
"""Allowance on the settled version's earlier rate when it replaces a direct comparison."""
BASELINE_FAULT_RATE = 0.005
"""Fault rate added to the earlier rate in such a comparison."""
MIN_CRASH_PROBABILITY = 0.1
"""Lower bound on the probability that an unrelated crash event hits the new version."""
BASELINE_CRASH_PROBABILITY = 0.15
"""Lower bound on the probability of a window with a crash, without settled traffic to compare."""
CRASH_PROBABILITIES = (0.6, 0.95)
"""Probabilities, as alternatives, that a crash event hits the new version if it causes crashes."""
MIN_FAULT_PROBABILITY = 0.05
"""Lower bound on the fault rate of the alternatives, if compared with the earlier rate."""

SUSPICION_RATIO = 50.0
"""Likelihood ratio from which the rollout gives a version no larger share of traffic."""


class Evidence:
    """Average likelihood ratio of several alternatives."""

    def __init__(self, alternatives: int):
        self._logs = [0.0] * alternatives

    def add(self, log_ratios: list[float], weight: float = 1.0) -> None:
        """Multiply each ratio by a factor, given as a logarithm."""
        self._logs = [log + weight * add for log, add in zip(self._logs, log_ratios, strict=True)]

    @property
    def log(self) -> float:
        """Return the logarithm of the average ratio."""
        top = max(self._logs)
        return top + math.log(sum(math.exp(log - top) for log in self._logs) / len(self._logs))


class RateTest:
    """Test of fault rates by the version on which the faults of a window fall.

    If the settled version has too little traffic in the window, its rate so far is used instead.
    """

    def __init__(self, max_weight: float):
        self.evidence = Evidence(len(FAULT_RATIOS))
        self._max_weight = max_weight
        self._settled = [0, 0]
        self._trial = [0, 0]

    def observe(self, trial: int, trial_n: int, settled: int, settled_n: int) -> None:
        """Add the faults and requests of both versions in one window."""
        self._trial = [self._trial[0] + trial, self._trial[1] + trial_n]
        if 2 * settled_n < trial_n:
            self._compare_with_rate(trial, trial_n)
        elif trial_n > 0 and trial + settled > 0:
            self._compare_with_settled(trial, settled, trial_n / (trial_n + settled_n))
        self._settled = [self._settled[0] + settled, self._settled[1] + settled_n]

    def describe(self) -> str:
        """Return a summary of the counts for operators."""
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
    """Test of crashes over all routes, by whether crash events hit the new version.

    An event of K crashes that is unrelated to the version hits it with a probability of at most
    1 - (1 - share)^K; one that the version causes always hits it. With too little settled traffic
    to compare, the share of windows with a crash is tested against the settled version's so far.
    """

    def __init__(self) -> None:
        self.evidence = Evidence(len(CRASH_PROBABILITIES))
        self._ends_ms: ElapsedMs | None = None
        self._window = [0, 0, 0, 0]
        self._settled_windows = [0, 0]
        self._events = [0, 0]

    def observe(self, at_ms: ElapsedMs, trial: Counts, settled: Counts) -> None:
        """Add the crashes and requests of both versions on one route."""
        if self._ends_ms is None or at_ms >= self._ends_ms:
            self._close()
            self._window = [0, 0, 0, 0]
            self._ends_ms = ElapsedMs(at_ms + CRASH_WINDOW_MS)
        counts = (trial.crashes, trial.requests, settled.crashes, settled.requests)
        self._window = [old + new for old, new in zip(self._window, counts, strict=True)]

    def describe(self) -> str:
        """Return a summary of the counts for operators."""
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
    """Test of latency samples against a high quantile of the settled version's recent samples."""

    def __init__(self, slow_factor: float) -> None:
        self.evidence = Evidence(len(SLOW_PROBABILITIES))
        self._slow_factor = slow_factor
        self._recent: deque[list[int]] = deque(maxlen=RECENT_WINDOWS)
        self._baseline: deque[int] = deque(maxlen=BASELINE_SAMPLES)
        self._counts = [0, 0]
        self._limit_ms = 0.0

    def observe(self, trial: list[int], settled: list[int]) -> None:
        """Add the samples of both versions in one window, in ms."""
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
        """Return a summary of the counts for operators."""
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
    """All tests of one route at one level of load, except that of crashes."""

    def __init__(self, slow_factor: float) -> None:
        self.tests = {
            "errors": RateTest(MAX_FAULT_WEIGHT),
            "truncated streams": RateTest(MAX_FAULT_WEIGHT),
            "wrong streams": RateTest(MAX_FAULT_WEIGHT),
            "slow first token": SlowTest(slow_factor),
            "slow tokens": SlowTest(slow_factor),
        }

    def observe(self, trial: Counts, settled: Counts) -> None:
        """Add the counts of one window."""
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
    """Judge that rejects a version that is no worse with a probability of at most `error_rate`.

    Parameters
    ----------
    error_rate : float
        Upper bound on the probability of a false finding.
    slow_factor : float
        Factor above the settled version's quantile from which a sample counts as slow.
    """

    def __init__(self, error_rate: float, slow_factor: float = SLOW_FACTOR):
        self._error_rate = error_rate
        self._slow_factor = slow_factor
        self._streams: dict[TrafficStream, StreamTests] = {}
        self._crashes = CrashTest()
        self._requests: dict[RouteName, int] = {}
        self._finding: Finding | None = None

    def observe(self, comparison: Comparison) -> None:
        """Add the counts of one window."""
        stream = comparison.stream
        tests = self._streams.setdefault(stream, StreamTests(self._slow_factor))
        tests.observe(comparison.trial, comparison.settled)
        self._crashes.observe(comparison.at_ms, comparison.trial, comparison.settled)
        requests = self._requests.get(stream.route, 0)
        self._requests[stream.route] = requests + comparison.trial.requests
        self._finding = self._finding or self._find(stream)

    def finding(self) -> Finding | None:
        """Return why the version is bad, or None; a finding is never withdrawn."""
        return self._finding

    def suspicious(self) -> bool:
        """Return whether any test's likelihood ratio has reached `SUSPICION_RATIO`."""
        tests = [test for stream in self._streams.values() for test in stream.tests.values()]
        return any(
            test.evidence.log >= math.log(SUSPICION_RATIO) for test in [*tests, self._crashes]
        )

    def requests(self, route: RouteName) -> int:
        """Return the number of the new version's requests compared on `route`."""
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
    """Plug-in that provides the rollout judge `sequential`.

    Its options are `error_rate`, the upper bound on the probability that a version that is no
    worse is rolled back, and `slow_factor`, the factor above the settled version's quantile from
    which a sample counts as slow.
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
