"""Usual paces of backend servers, learned by the state leader from all entry VMs' requests.

A pace is the time that a server takes relative to the usual one of its service: 1 is usual and 2
takes twice as long. One entry VM sees a server only once in minutes, so entry VMs send samples to
the leader, which compares servers per kind of measurement and returns those that differ.
"""

import math
from collections import defaultdict
from dataclasses import dataclass, field
from statistics import median

import msgspec
from nutmegdrum_coord.clock import Clock, Duration
from nutmegdrum_coord.ids import BackendId

BATCH_TIME = Duration(1_000)
"""Time whose samples of one server count as one, by their mean. Servers are slow for periods of
600 ms, in which the samples of busy servers are no independent ones: one of 30 equally fast servers
at 1,200 requests a second was told to be slow for a fifth of the time."""

WINDOW = 200
"""Batches that dominate the mean of one server; speeds change slowly, and a server of speed 0.6 is
known after 62 plain requests whose costs differ by a factor of ten."""

MIN_SAMPLES = 3
"""Batches of a server before its mean is compared with others."""

MIN_SERVERS = 2
"""Servers with a mean before the usual one among them is known."""

MIN_DIFFERENCE = 10
"""Difference from the usual pace, in hundredths of the natural logarithm, from which on a server's
pace is told; about a tenth, which is the difference between an idle and a full engine's steps."""

CONFIDENCE = 4.0
"""Standard errors that a difference must exceed besides; with 140 servers compared once a second,
three would name an ordinary server every few seconds."""

MAX_DEVIATION = 100
"""Largest deviation of one batch from its server's mean that counts, in hundredths of the natural
logarithm, so that one stalled request does not change a server's pace."""

EARLY_SAMPLES = 10
EARLY_DEVIATIONS = 3.0
EARLY_VARIANCE = 20
"""Largest deviation that counts among a server's first batches, in standard deviations, once these
are known from so many batches of all servers. One of the first three that took 100 times as long
made a new server count as 4 times slower, and streams avoid such a server while others are free."""

POOLED = 500
"""Batches that dominate the variance of one measurement."""

UNKNOWN = 8.0
"""Widens confidence bounds while the variance is known from few batches: four standard errors
become 12 with 4 batches and 4.6 with 50, about the quantiles of Student's distribution. Without it,
one of 20 fleets of three equal servers with costs that differ by a factor of ten was told of a pace
in its first 15 s."""

STEP_PERCENT = 5
"""Rounding of the paces that are told, so that they change seldom."""

MIN_PERCENT = 25
MAX_PERCENT = 400
"""Bounds of the paces that are told. A server that answers at once without doing the work looks
fast, and must not get most requests."""

PACE_VALID = Duration(600_000)
"""Time without samples after which what was measured of a server on a route is forgotten. Requests
avoid slow servers, so that a wrong pace would otherwise last as long as the server."""

COMPARE_PERIOD = Duration(1_000)
"""Shortest time between two comparisons, which take time proportional to the samples' servers."""

NUMBERS_OF_LEADER = 1 << 20
"""Numbers that one leader may use for its paces; a number tells from which leader they are."""


class PaceSample(msgspec.Struct, frozen=True, array_like=True):
    """Measured time of one request.

    Attributes
    ----------
    measurement : str
        What was measured, of which service and route; only such samples are compared.
    log_time : int
        Time per unit of work, in hundredths of the natural logarithm.
    """

    backend: BackendId
    measurement: str
    log_time: int


def log_time(time: float) -> int:
    """Return a time in hundredths of its natural logarithm, as in `PaceSample`."""
    return round(100 * math.log(time))


class Paces(msgspec.Struct, frozen=True, array_like=True):
    """Paces of the servers that differ from the usual one.

    Attributes
    ----------
    number : int
        Increases with each change at one leader.
    percent : dict
        Pace by backend server, in percent of the usual time.
    """

    number: int = 0
    percent: dict[BackendId, int] = {}


@dataclass
class _Mean:
    """Moving mean that a single outlier changes little."""

    samples: int = 0
    mean: float = 0.0
    first: list[float] = field(default_factory=list)

    def add(self, value: float, early_limit: float) -> float:
        """Add a value and return its deviation from the mean before it.

        Parameters
        ----------
        early_limit : float
            Largest deviation that counts among the first values.
        """
        deviation = value - self.mean if self.samples else 0.0
        self.samples = min(self.samples + 1, WINDOW)
        if self.samples <= MIN_SAMPLES:
            self.first.append(value)
            middle = median(self.first)
            near = [middle + _within(each - middle, early_limit) for each in self.first]
            self.mean = sum(near) / self.samples
            return deviation
        limit = early_limit if self.samples <= EARLY_SAMPLES else MAX_DEVIATION
        self.mean += _within(deviation, limit) / self.samples
        return _within(deviation, MAX_DEVIATION)


def _within(value: float, limit: float) -> float:
    return max(-limit, min(limit, value))


@dataclass
class _Batch:
    began_ms: int
    samples: int = 0
    total: float = 0.0


@dataclass
class _Measured:
    """One measurement at all servers."""

    servers: dict[BackendId, _Mean] = field(default_factory=lambda: defaultdict(_Mean))
    batches: dict[BackendId, _Batch] = field(default_factory=dict)
    seen_ms: dict[BackendId, int] = field(default_factory=dict)
    samples: int = 0
    variance: float = 0.0

    def add(self, backend: BackendId, value: float, now_ms: int) -> None:
        self.seen_ms[backend] = now_ms
        batch = self.batches.setdefault(backend, _Batch(now_ms))
        if now_ms - batch.began_ms >= BATCH_TIME:
            self._end(backend)
            batch = self.batches[backend] = _Batch(now_ms)
        batch.samples += 1
        batch.total += value

    def forget(self, oldest_ms: int) -> None:
        """Forget the servers without samples since then."""
        for backend, seen_ms in list(self.seen_ms.items()):
            if seen_ms < oldest_ms:
                del self.seen_ms[backend]
                self.servers.pop(backend, None)
                self.batches.pop(backend, None)

    def end_batches(self, now_ms: int) -> None:
        """Count the batches whose time is over."""
        for backend, batch in list(self.batches.items()):
            if now_ms - batch.began_ms >= BATCH_TIME:
                self._end(backend)

    def _end(self, backend: BackendId) -> None:
        batch = self.batches.pop(backend)
        value = batch.total / batch.samples
        known = self.servers[backend]
        had = known.samples
        deviation = known.add(value, self._early_limit())
        if had:
            # The mean itself deviates as well, by a share that falls with its samples.
            own = deviation**2 * had / (had + 1)
            self.samples = min(self.samples + 1, POOLED)
            self.variance += (own - self.variance) / self.samples

    def _early_limit(self) -> float:
        if self.samples < EARLY_VARIANCE:
            return MAX_DEVIATION
        return _within(EARLY_DEVIATIONS * math.sqrt(self.variance), MAX_DEVIATION)

    def upper_variance(self) -> float:
        """Return a bound of the variance, which is not known well from few samples."""
        if not self.samples:
            return math.inf
        return self.variance * (1 + UNKNOWN / self.samples) ** 2

    def usual(self) -> float | None:
        """Return the median of the servers' means; None if too few are known."""
        means = [each.mean for each in self.servers.values() if each.samples >= MIN_SAMPLES]
        return median(means) if len(means) >= MIN_SERVERS else None


@dataclass
class _Compared:
    """Sums over the measurements of one server, weighted by samples."""

    samples: int = 0
    difference: float = 0.0
    variance: float = 0.0

    def add(self, samples: int, difference: float, variance: float) -> None:
        """Add a measurement; `variance` is that of one of its samples."""
        self.samples += samples
        self.difference += samples * difference
        self.variance += samples * variance

    def log_pace(self) -> float:
        return self.difference / self.samples

    def standard_error(self) -> float:
        return math.sqrt(self.variance) / self.samples

    def agrees_with(self, percent: int) -> bool:
        """Return whether a pace is within the confidence bounds of the measured one."""
        difference = abs(self.log_pace() - log_time(percent / 100))
        return difference <= CONFIDENCE * self.standard_error()


class PaceTable:
    """Paces of all servers at the leader; the caller serializes the calls.

    Parameters
    ----------
    leader : int
        Tells this leader's numbers from another one's; a random number of up to 32 bits.
    """

    def __init__(self, clock: Clock, leader: int):
        self._clock = clock
        self._measured: dict[str, _Measured] = defaultdict(_Measured)
        self._told: dict[BackendId, tuple[int, int]] = {}
        self._paces = Paces(leader * NUMBERS_OF_LEADER + 1, {})
        self._due_ms = 0

    def record(self, samples: tuple[PaceSample, ...]) -> None:
        """Record the samples of an entry VM's report."""
        now_ms = self._clock.elapsed_ms()
        for sample in samples:
            self._measured[sample.measurement].add(sample.backend, sample.log_time, now_ms)

    def adopt(self, percent: dict[BackendId, int]) -> None:
        """Take over paces that an entry VM has from another leader.

        Each is valid until what is measured contradicts it, or for `PACE_VALID`.
        """
        now_ms = self._clock.elapsed_ms()
        for backend, pace in percent.items():
            self._told.setdefault(backend, (now_ms, pace))
        if percent:
            self._due_ms = 0

    def newer(self, number: int) -> Paces | None:
        """Return the paces; None if those with this number are the newest."""
        now_ms = self._clock.elapsed_ms()
        if now_ms >= self._due_ms:
            self._due_ms = now_ms + COMPARE_PERIOD
            self._forget(now_ms - PACE_VALID)
            for measured in self._measured.values():
                measured.end_batches(now_ms)
            percent = self._compare()
            if percent != self._paces.percent:
                self._paces = Paces(self._paces.number + 1, percent)
        return self._paces if self._paces.number != number else None

    def _forget(self, oldest_ms: int) -> None:
        for measured in self._measured.values():
            measured.forget(oldest_ms)
        self._told = {b: told for b, told in self._told.items() if told[0] >= oldest_ms}
        self._measured = defaultdict(
            _Measured,
            {name: each for name, each in self._measured.items() if each.seen_ms},
        )

    def _compare(self) -> dict[BackendId, int]:
        """Return the paces of the servers that differ, in percent."""
        compared: dict[BackendId, _Compared] = defaultdict(_Compared)
        for measured in self._measured.values():
            usual = measured.usual()
            if usual is None:
                continue
            for backend, known in measured.servers.items():
                if known.samples >= MIN_SAMPLES:
                    compared[backend].add(
                        known.samples, known.mean - usual, measured.upper_variance()
                    )
        percent = {
            backend: pace
            for backend, (_, pace) in self._told.items()
            if backend not in compared and pace
        }
        for backend, sums in compared.items():
            _, adopted = self._told.get(backend, (0, 0))
            if adopted and sums.agrees_with(adopted):
                pace: int | None = adopted
            else:
                pace = self._to_tell(sums, self._paces.percent.get(backend))
            if pace is not None:
                percent[backend] = pace
        return percent

    def _to_tell(self, sums: _Compared, told: int | None) -> int | None:
        """Return the pace to tell, in percent; None if it is usual."""
        difference = abs(sums.log_pace())
        uncertain = CONFIDENCE * sums.standard_error() if told is None else 0.0
        if difference < MIN_DIFFERENCE + uncertain:
            return None
        pace = 100 * math.exp(sums.log_pace() / 100)
        pace = max(MIN_PERCENT, min(MAX_PERCENT, pace))
        if told is not None and abs(pace - told) <= STEP_PERCENT:
            return told
        return STEP_PERCENT * round(pace / STEP_PERCENT)
