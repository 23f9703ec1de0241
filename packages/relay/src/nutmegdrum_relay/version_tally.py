"""Counts of what versions under trial do on this entry VM, for the state leader to judge."""

import itertools
import threading
from bisect import bisect_right
from dataclasses import dataclass
from typing import NamedTuple

from nutmegdrum_coord.ids import ServiceName, VersionName

from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.views import VersionSample

MAX_TIMES = 8
"""Times of one version and route in a report; more add little to a judgement."""


class TallyKey(NamedTuple):
    """What an attempt counts for."""

    service: ServiceName
    route: RouteName
    version: VersionName


WAIT_MARKS_MS = tuple(int(100 * 1.5**number) for number in range(14))
"""Waits for a first event that are counted, in ms, up to 19 s: from a short plain answer to more
than callers wait for a stream. A wait is told to within a half."""


@dataclass(eq=False)
class FirstEventWait:
    """An attempt that waits for its first event.

    Attributes
    ----------
    sent_ms : int
        Elapsed time in ms at its sending.
    passed : int
        Wait marks that it has passed and that were counted.
    """

    tally_key: TallyKey
    number: int
    sent_ms: int
    passed: int = 0


class VersionTally:
    """Counts by service, route and version since the last report; thread-safe.

    Attempts count as soon as their first event or their end shows how they go, as streams may
    last longer than a roll-out.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: dict[TallyKey, VersionSample] = {}
        self._waits: dict[int, FirstEventWait] = {}
        self._numbers = itertools.count()

    def on_sent(self, tally_key: TallyKey, now_ms: int) -> FirstEventWait:
        """Note an attempt whose wait is counted while it lasts; `on_wait_over` must follow."""
        with self._lock:
            wait = FirstEventWait(tally_key, next(self._numbers), now_ms)
            self._waits[wait.number] = wait
        return wait

    def on_wait_over(self, wait: FirstEventWait, now_ms: int, answered: bool) -> None:
        """Note the end of a wait, and whether the first event came; later calls do nothing."""
        with self._lock:
            if self._waits.pop(wait.number, None) is None:
                return
            self._pass_marks(wait, now_ms)
            if answered:
                sample = self._sample(wait.tally_key)
                count = sample.answered.get(wait.passed, 0)
                sample.answered[wait.passed] = count + 1

    def on_first_event(self, tally_key: TallyKey, ms: int | None) -> None:
        """Count an attempt that answered after `ms`; None if that time says nothing."""
        with self._lock:
            sample = self._sample(tally_key)
            sample.requests += 1
            if ms is not None and len(sample.first_token_ms) < MAX_TIMES:
                sample.first_token_ms.append(ms)

    def on_gap(self, tally_key: TallyKey, ms: int) -> None:
        """Note the time between two pieces of a stream."""
        with self._lock:
            sample = self._sample(tally_key)
            if len(sample.token_gap_ms) < MAX_TIMES:
                sample.token_gap_ms.append(ms)

    def on_error(self, tally_key: TallyKey, counted: bool) -> None:
        """Count an attempt that ended with a failure; `counted` says it had answered before."""
        with self._lock:
            sample = self._sample(tally_key)
            sample.requests += not counted
            sample.errors += 1

    def on_crash(self, tally_key: TallyKey, counted: bool) -> None:
        """Count an attempt that broke off; `counted` says it had answered before."""
        with self._lock:
            sample = self._sample(tally_key)
            sample.requests += not counted
            sample.crashes += 1

    def collect(self, now_ms: int) -> tuple[VersionSample, ...]:
        """Return the counts, with those of attempts that wait at `now_ms`, and begin anew."""
        with self._lock:
            for wait in self._waits.values():
                self._pass_marks(wait, now_ms)
            samples, self._samples = self._samples, {}
        return tuple(samples.values())

    def _pass_marks(self, wait: FirstEventWait, now_ms: int) -> None:
        marks = bisect_right(WAIT_MARKS_MS, now_ms - wait.sent_ms)
        for mark in range(wait.passed, marks):
            passed = self._sample(wait.tally_key).passed
            passed[mark] = passed.get(mark, 0) + 1
        wait.passed = marks

    def _sample(self, tally_key: TallyKey) -> VersionSample:
        sample = self._samples.get(tally_key)
        if sample is None:
            sample = self._samples[tally_key] = VersionSample(
                service=tally_key.service, route=tally_key.route, version=tally_key.version
            )
        return sample
