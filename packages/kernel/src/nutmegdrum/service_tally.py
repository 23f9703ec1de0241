"""Counts of outcomes for callers by workspace, on one entry VM."""

import bisect
import threading
from typing import Any

import msgspec
from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_coord.verdict import Verdict

RESUME_BOUNDS_MS = (100, 250, 500, 1_000, 2_000, 5_000, 10_000, 60_000)
"""Upper bounds of the resume latency buckets, in ms; the last bucket is unbounded."""


class ServiceCounts(msgspec.Struct, kw_only=True):
    """Counts of outcomes for one workspace.

    Attributes
    ----------
    finished : int
        Requests that were answered completely.
    refused : dict
        Refusals by verdict.
    resume_classes : list of int
        Resumed streams by resume latency bucket, see `RESUME_BOUNDS_MS`.
    prefilled : int
        Tokens that engines prefilled again for resumed streams.
    """

    finished: int = 0
    refused: dict[Verdict, int] = {}
    resume_classes: list[int] = []
    prefilled: int = 0

    def plus(self, other: "ServiceCounts", sign: int = 1) -> "ServiceCounts":
        """Return the sum with `other`, or the difference if `sign` is -1."""
        verdicts = self.refused.keys() | other.refused.keys()
        return ServiceCounts(
            finished=self.finished + sign * other.finished,
            refused={
                v: self.refused.get(v, 0) + sign * other.refused.get(v, 0)
                for v in sorted(verdicts, key=lambda verdict: verdict.value)
            },
            resume_classes=[
                ours + sign * theirs
                for ours, theirs in zip(
                    _padded_buckets(self.resume_classes),
                    _padded_buckets(other.resume_classes),
                    strict=True,
                )
            ],
            prefilled=self.prefilled + sign * other.prefilled,
        )

    @property
    def total(self) -> int:
        """Return the sum of all counts, which increases with each count."""
        counted = self.finished + sum(self.refused.values())
        return counted + sum(self.resume_classes) + self.prefilled

    def resume_percentile_ms(self, percent: int) -> int | None:
        """Return the upper bound in ms of the bucket that contains a percentile of resumes.

        None if there were no resumes. The bound of the last bucket is taken as twice the bound of
        the one before.
        """
        classes = _padded_buckets(self.resume_classes)
        wanted = sum(classes) * percent
        seen = 0
        for place, count in enumerate(classes):
            seen += count
            if count and seen * 100 >= wanted:
                bounds = (*RESUME_BOUNDS_MS, 2 * RESUME_BOUNDS_MS[-1])
                return bounds[place]
        return None


class ServiceTally:
    """Counter of outcomes since the start of the daemon; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._counts: dict[WorkspaceId, ServiceCounts] = {}

    def finished(self, workspace: WorkspaceId) -> None:
        """Count a request that was answered completely."""
        with self._lock:
            self._counts_of(workspace).finished += 1

    def refused(self, workspace: WorkspaceId, verdict: Verdict) -> None:
        """Count a refused request."""
        with self._lock:
            refused = self._counts_of(workspace).refused
            refused[verdict] = refused.get(verdict, 0) + 1

    def on_recovered(
        self, workspace: WorkspaceId, waited_ms: int, prefilled: int, **_: Any
    ) -> None:
        """Count a resumed stream; listener for the event `stream-recovered`."""
        with self._lock:
            counts = self._counts_of(workspace)
            counts.resume_classes[bisect.bisect_left(RESUME_BOUNDS_MS, waited_ms)] += 1
            counts.prefilled += prefilled

    def totals(self) -> dict[WorkspaceId, ServiceCounts]:
        """Return a copy of the counts since the start of the daemon."""
        with self._lock:
            return {name: counts.plus(ServiceCounts()) for name, counts in self._counts.items()}

    def _counts_of(self, workspace: WorkspaceId) -> ServiceCounts:
        if workspace not in self._counts:
            self._counts[workspace] = ServiceCounts(refused={}, resume_classes=_padded_buckets([]))
        return self._counts[workspace]


def _padded_buckets(counts: list[int]) -> list[int]:
    missing = len(RESUME_BOUNDS_MS) + 1 - len(counts)
    return [*counts, *[0] * missing]
