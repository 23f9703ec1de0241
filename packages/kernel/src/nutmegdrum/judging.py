"""Comparison of a new version with the settled one over the same time and routes."""

from typing import NamedTuple, Protocol

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import RouteName, VersionName

WINDOW_MS = 2_000
"""Default length of the windows whose counts are compared, in ms."""

PAIRING_TIMEOUT_MS = 30_000
"""Default time for which a window waits for the other version's counts, in ms."""

LOAD_BOUNDS_PERMILLE = (500, 800)
"""Lower bounds of medium and high load of the engines, in permille of their slots."""


class Counts(msgspec.Struct, kw_only=True):
    """Counts and latency samples of one version on one route at one load level."""

    requests: int = 0
    errors: int = 0
    crashes: int = 0
    truncated: int = 0
    wrong: int = 0
    first_token_ms: list[int] = []
    token_gap_ms: list[int] = []

    def add(self, sample: "Sample | Counts") -> None:
        """Add the counts and latency samples of `sample`."""
        self.requests += sample.requests
        self.errors += sample.errors
        self.crashes += sample.crashes
        self.truncated += sample.truncated
        self.wrong += sample.wrong
        self.first_token_ms = [*self.first_token_ms, *sample.first_token_ms]
        self.token_gap_ms = [*self.token_gap_ms, *sample.token_gap_ms]


class Sample(Protocol):
    """Counts of one version on one route, as reported by an entry VM."""

    version: VersionName
    route: RouteName
    load_permille: int
    requests: int
    errors: int
    crashes: int
    truncated: int
    wrong: int
    first_token_ms: list[int]
    token_gap_ms: list[int]


class TrafficStream(NamedTuple):
    """Part of the traffic in which versions are compared: a route at one load level.

    Load levels are 0 for low, 1 for medium and 2 for high, see `load_level`.
    """

    route: RouteName
    load: int


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of both versions over one window that ended at `at_ms`.

    The settled version's counts are empty while the new version gets all traffic.
    """

    at_ms: ElapsedMs
    stream: TrafficStream
    trial: Counts
    settled: Counts


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """Reason to roll a version back."""

    route: RouteName
    what: str
    detail: str

    def __str__(self) -> str:
        return f"{self.what} on route {self.route}: {self.detail}"


class RolloutJudge(Protocol):
    """Judge of one version under trial."""

    def observe(self, comparison: Comparison) -> None:
        """Add the counts of one window to the evidence."""
        ...

    def finding(self) -> Finding | None:
        """Return why the version is bad, or None while the evidence does not show it."""
        ...

    def suspicious(self) -> bool:
        """Return whether the evidence is strong enough to delay the next share step."""
        ...

    def requests(self, route: RouteName) -> int:
        """Return the number of the version's requests on `route` that were compared."""
        ...


class JudgeFactory(Protocol):
    """Factory of judges, one for each version under trial."""

    def __call__(self) -> RolloutJudge:
        """Return a new judge without evidence."""
        ...


class _Waiting(msgspec.Struct):
    since: ElapsedMs
    trial: Counts
    settled: Counts


class Comparator:
    """Collects entry VMs' samples into windows and passes these to the judge.

    A window that has counts of only one version waits for the other version, so that both are
    compared over the same time. After `pairing_timeout_ms` the trial's counts are passed on alone
    and the settled version's are dropped. Windows do not wait for a settled version that gets no
    traffic at all.

    Parameters
    ----------
    trial, settled : VersionName
        Versions to compare.
    judge : RolloutJudge
        Receives the comparisons.
    window_ms, pairing_timeout_ms : int
        Length of a window, and the time for which it waits for the other version, in ms.
    """

    def __init__(
        self,
        trial: VersionName,
        settled: VersionName,
        judge: RolloutJudge,
        window_ms: int = WINDOW_MS,
        pairing_timeout_ms: int = PAIRING_TIMEOUT_MS,
    ):
        self._window_ms = window_ms
        self._pairing_timeout_ms = pairing_timeout_ms
        self.trial = trial
        self.settled = settled
        self.judge = judge
        self._waiting: dict[TrafficStream, _Waiting] = {}
        self._closed_ms: ElapsedMs | None = None
        self._settled_ms: ElapsedMs | None = None

    def add(self, now_ms: ElapsedMs, sample: Sample) -> None:
        """Add a sample of either version; samples of other versions are ignored."""
        if sample.version not in (self.trial, self.settled):
            return
        stream = TrafficStream(sample.route, load_level(sample.load_permille))
        waiting = self._waiting.get(stream)
        if waiting is None:
            waiting = self._waiting[stream] = _Waiting(now_ms, Counts(), Counts())
        if sample.version == self.settled:
            self._settled_ms = now_ms
        counts = waiting.trial if sample.version == self.trial else waiting.settled
        counts.add(sample)

    def close_windows(self, now_ms: ElapsedMs, alone: bool = False) -> None:
        """Pass the finished windows to the judge.

        Parameters
        ----------
        alone : bool
            Whether it is known that the settled version gets no more requests.
        """
        if self._closed_ms is None:
            self._closed_ms = now_ms
        if now_ms - self._closed_ms < self._window_ms:
            return
        self._closed_ms = now_ms
        alone = (
            alone
            or self._settled_ms is not None
            and now_ms - self._settled_ms >= self._pairing_timeout_ms
        )
        for stream, waiting in sorted(self._waiting.items()):
            paired = waiting.trial.requests > 0 and waiting.settled.requests > 0
            timed_out = alone or now_ms - waiting.since >= self._pairing_timeout_ms
            if paired or (timed_out and waiting.trial.requests > 0):
                self.judge.observe(
                    Comparison(
                        at_ms=now_ms, stream=stream, trial=waiting.trial, settled=waiting.settled
                    )
                )
            if paired or timed_out:
                del self._waiting[stream]


def load_level(permille: int) -> int:
    """Return 0, 1 or 2 for low, medium or high load."""
    return sum(permille >= bound for bound in LOAD_BOUNDS_PERMILLE)
