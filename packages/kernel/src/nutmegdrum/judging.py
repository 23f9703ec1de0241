"""Comparison of a new version with the settled one, over the same minutes and routes."""

from typing import NamedTuple, Protocol

import msgspec
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import RouteName, VersionName

WINDOW_MS = 2_000
"""Usual length of the windows whose counts are compared, in ms."""

PAIRING_TIMEOUT_MS = 30_000
"""Usual time for which a window waits for the other version's counts, in ms."""

LOAD_BOUNDS_PERMILLE = (500, 800)
"""Bounds between low, medium and high load of the engines, in permille of their slots."""


class Counts(msgspec.Struct, kw_only=True):
    """What one version did on one route at one level of load."""

    requests: int = 0
    errors: int = 0
    crashes: int = 0
    truncated: int = 0
    wrong: int = 0
    first_token_ms: list[int] = []
    token_gap_ms: list[int] = []

    def add(self, sample: "Sample | Counts") -> None:
        """Add the counts of `sample`."""
        self.requests += sample.requests
        self.errors += sample.errors
        self.crashes += sample.crashes
        self.truncated += sample.truncated
        self.wrong += sample.wrong
        self.first_token_ms = [*self.first_token_ms, *sample.first_token_ms]
        self.token_gap_ms = [*self.token_gap_ms, *sample.token_gap_ms]


class Sample(Protocol):
    """Counts of one version on one route that an entry VM reports."""

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
    """Route and level of load (0 low, 1 medium, 2 high) at which versions are compared."""

    route: RouteName
    load: int


class Comparison(msgspec.Struct, frozen=True, kw_only=True):
    """Counts of both versions over one window that ended at `at_ms`.

    The settled version has no requests while the new one gets all traffic.
    """

    at_ms: ElapsedMs
    stream: TrafficStream
    trial: Counts
    settled: Counts


class Finding(msgspec.Struct, frozen=True, kw_only=True):
    """Reason to take a version back."""

    route: RouteName
    what: str
    detail: str

    def __str__(self) -> str:
        return f"{self.what} on route {self.route}: {self.detail}"


class RolloutJudge(Protocol):
    """Judge of one version under trial."""

    def observe(self, comparison: Comparison) -> None:
        """Take in the counts of one window."""
        ...

    def finding(self) -> Finding | None:
        """Return why the version is bad, or None as long as that is not shown."""
        ...

    def suspicious(self) -> bool:
        """Return whether the evidence against the version forbids a larger share for now."""
        ...

    def requests(self, route: RouteName) -> int:
        """Return the number of the version's requests that were compared on `route`."""
        ...


class JudgeFactory(Protocol):
    """Maker of judges, one for each version under trial."""

    def __call__(self) -> RolloutJudge:
        """Return a judge without evidence."""
        ...


class _Waiting(msgspec.Struct):
    since: ElapsedMs
    trial: Counts
    settled: Counts


class Comparator:
    """Collect entry VMs' samples into windows and hand them to the judge.

    A window with one version's counts alone waits for the other's, so that both stand for the
    same minutes; after `pairing_timeout_ms` the trial's counts are handed on alone and the settled
    version's are dropped. Once the settled version gets no traffic at all, nothing waits for it.

    Parameters
    ----------
    trial, settled : VersionName
        Versions that are compared.
    judge : RolloutJudge
        Receiver of the comparisons.
    window_ms, pairing_timeout_ms : int
        Length of the windows, and time for which one waits for the other version, in ms.
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
        """Add one sample of either version; samples of others are ignored."""
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
        """Hand the windows that are over to the judge.

        Parameters
        ----------
        alone : bool
            Whether the settled version is known to get no requests any more.
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
            both = waiting.trial.requests > 0 and waiting.settled.requests > 0
            old = alone or now_ms - waiting.since >= self._pairing_timeout_ms
            if both or (old and waiting.trial.requests > 0):
                self.judge.observe(
                    Comparison(
                        at_ms=now_ms, stream=stream, trial=waiting.trial, settled=waiting.settled
                    )
                )
            if both or old:
                del self._waiting[stream]


def load_level(permille: int) -> int:
    """Return 0, 1 or 2 for low, medium or high load."""
    return sum(permille >= bound for bound in LOAD_BOUNDS_PERMILLE)
