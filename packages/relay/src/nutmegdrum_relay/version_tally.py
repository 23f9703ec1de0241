"""Results of attempts by version on this entry VM, as evidence for the state leader."""

import itertools
import threading
from bisect import bisect_right
from dataclasses import dataclass
from typing import NamedTuple

from nutmegdrum_coord.ids import ServiceName, VersionName

from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.views import VersionSample

MAX_TIMES = 8
"""Most times of one version and route in a report; more add little evidence."""


class TallyKey(NamedTuple):
    """Service, route and version that an attempt counts under."""

    service: ServiceName
    route: RouteName
    version: VersionName


WAIT_MARKS_MS = tuple(int(100 * 1.5**number) for number in range(14))
"""Bucket bounds in ms for times to the first event, up to 19 s: from a short plain answer to more
than callers wait for a stream. Each bound is 1.5 times the one before, so waits are known to
within that factor."""


@dataclass(eq=False)
class FirstEventWait:
    """Censored wait of an attempt for its first event.

    Attributes
    ----------
    sent_ms : int
        Elapsed time in ms at which the attempt was sent.
    passed : int
        Number of wait marks that it has passed and that were counted.
    """

    tally_key: TallyKey
    number: int
    sent_ms: int
    passed: int = 0


class VersionTally:
    """Counts by service, route and version since the last report; thread-safe.

    An attempt is counted at its first event, or at its end if that comes first, as a stream may
    last longer than a rollout.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: dict[TallyKey, VersionSample] = {}
        self._waits: dict[int, FirstEventWait] = {}
        self._numbers = itertools.count()

    def on_sent(self, tally_key: TallyKey, now_ms: int) -> FirstEventWait:
        """Start the wait of an attempt, counted as it goes on; `on_wait_over` must follow."""
        with self._lock:
            wait = FirstEventWait(tally_key, next(self._numbers), now_ms)
            self._waits[wait.number] = wait
        return wait

    def on_wait_over(self, wait: FirstEventWait, now_ms: int, answered: bool) -> None:
        """End a wait with or without the first event; later calls have no effect."""
        with self._lock:
            if self._waits.pop(wait.number, None) is None:
                return
            self._pass_marks(wait, now_ms)
            if answered:
                sample = self._sample(wait.tally_key)
                count = sample.answered.get(wait.passed, 0)
                sample.answered[wait.passed] = count + 1

    def on_first_event(self, tally_key: TallyKey, ms: int | None) -> None:
        """Count an attempt that answered after `ms`; None if the time is not representative."""
        with self._lock:
            sample = self._sample(tally_key)
            sample.requests += 1
            if ms is not None and len(sample.first_token_ms) < MAX_TIMES:
                sample.first_token_ms.append(ms)

    def on_gap(self, tally_key: TallyKey, ms: int) -> None:
        """Record the time between two chunks of a stream."""
        with self._lock:
            sample = self._sample(tally_key)
            if len(sample.token_gap_ms) < MAX_TIMES:
                sample.token_gap_ms.append(ms)

    def on_error(self, tally_key: TallyKey, counted: bool) -> None:
        """Count a failed attempt; `counted` if it was already counted as a request."""
        with self._lock:
            sample = self._sample(tally_key)
            sample.requests += not counted
            sample.errors += 1

    def on_crash(self, tally_key: TallyKey, counted: bool) -> None:
        """Count an attempt that broke off; `counted` if it was already counted as a request."""
        with self._lock:
            sample = self._sample(tally_key)
            sample.requests += not counted
            sample.crashes += 1

    def collect(self, now_ms: int) -> tuple[VersionSample, ...]:
        """Return and reset the counts, with the censored waits as of `now_ms`."""
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
