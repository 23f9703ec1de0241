"""Figures that the measures yield, and distributions of samples."""

from collections.abc import Callable, Iterable
from enum import Enum

import msgspec
from hdrh.histogram import HdrHistogram

_LOWEST_US = 1
_HIGHEST_US = 600_000_000
_DIGITS = 3
_US_PER_MS = 1000


class Status(Enum):
    """Result of comparing a figure with its bound."""

    MEASURED = "measured"
    WITHIN = "within"
    MISSED = "MISSED"
    NOT_RUN = "not run"
    FAILED = "FAILED"


class Figure(msgspec.Struct, kw_only=True):
    """One result of a measure.

    Attributes
    ----------
    bound : str
        Key in `BOUNDS`; empty for a figure without a bound.
    note : str
        Sizes, baseline or failure in short.
    """

    name: str
    value: float | None
    unit: str
    samples: int = 1
    bound: str = ""
    note: str = ""
    status: Status = Status.MEASURED


class Sizes(msgspec.Struct, kw_only=True):
    """Seed and sizes of the measures."""

    seed: int = 1
    quick: bool = False

    def pick(self, full: int, quick: int) -> int:
        """Return `full`, or `quick` in a quick run."""
        return quick if self.quick else full


Measure = Callable[[Sizes], Iterable[Figure]]


class Distribution:
    """Distribution of samples in ms, stored in an HDR histogram."""

    def __init__(self, samples_ms: Iterable[float] = ()):
        self._histogram = HdrHistogram(_LOWEST_US, _HIGHEST_US, _DIGITS)
        for sample in samples_ms:
            self.add(sample)

    def add(self, sample_ms: float) -> None:
        """Add one sample."""
        self._histogram.record_value(max(_LOWEST_US, round(sample_ms * _US_PER_MS)))

    @property
    def count(self) -> int:
        """Return the number of samples."""
        return self._histogram.get_total_count()

    def percentile(self, percent: float) -> float:
        """Return a percentile in ms."""
        return self._histogram.get_value_at_percentile(percent) / _US_PER_MS

    def figures(self, name: str, bounds: dict[str, str], note: str = "") -> list[Figure]:
        """Return figures of p50, p95 and worst; `bounds` maps these to keys in `BOUNDS`."""
        points = {"p50": 50.0, "p95": 95.0, "worst": 100.0}
        return [
            Figure(
                name=f"{name} {point}",
                value=self.percentile(percent) if self.count else None,
                unit="ms",
                samples=self.count,
                bound=bounds.get(point, ""),
                note=note,
            )
            for point, percent in points.items()
        ]


def slope(points: Iterable[tuple[float, float]]) -> tuple[float, float]:
    """Return intercept and slope of the least-squares line through `points`."""
    pairs = list(points)
    mean_x = sum(x for x, _ in pairs) / len(pairs)
    mean_y = sum(y for _, y in pairs) / len(pairs)
    spread = sum((x - mean_x) ** 2 for x, _ in pairs)
    rise = sum((x - mean_x) * (y - mean_y) for x, y in pairs) / spread
    return mean_y - rise * mean_x, rise
