"""Results of attempts by version on this entry VM, as evidence for the state leader.

The evidence must outlive the leader that has it, since the next one decides on the rollout too.
An entry VM therefore keeps its newest samples and sends them to each new leader.
"""

import itertools
import threading
from bisect import bisect_right
from collections import Counter, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.ids import ServiceName, VersionName

from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.views import VersionSample

MAX_TIMES = 8
"""Most times of one version and route in a report; more add little evidence."""

MAX_KEPT_TIMES = 4 * MAX_TIMES
"""Most times of a kept sample, the newest ones."""

KEPT_MS = 8_000
"""Age in ms up to which samples are kept for the next leader: the longest tail of a rollout."""

KEPT_WINDOW_MS = 500
"""Samples that arrive at a leader within this time, in ms, are kept as one."""

PAST_LEADERS = 8
"""Number of replaced leaders whose late answers are recognized."""

MAX_KEPT = 256
"""Most samples that wait to be sent again, so that a long outage costs little memory."""


SETTLED = VersionName("")
"""Stands for all versions that are not under trial together."""


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


class _Kept(NamedTuple):
    at_ms: int
    sample: VersionSample


class VersionTally:
    """Counts by service, route and version since the last report; thread-safe.

    An attempt is counted at its first event, or at its end if that comes first, as a stream may
    last longer than a rollout.
    """

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: dict[TallyKey, VersionSample] = {}
        self._batches = itertools.count(1)
        self._unsent: deque[_Kept] = deque(maxlen=MAX_KEPT)
        self._kept: deque[_Kept] = deque(maxlen=MAX_KEPT)
        self._evidence = ""
        self._past_evidence: deque[str] = deque(maxlen=PAST_LEADERS)
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
        """Return and reset the counts, with the censored waits as of `now_ms`.

        `on_collected` or `on_not_collected` must follow with the result.
        """
        with self._lock:
            for wait in self._waits.values():
                self._pass_marks(wait, now_ms)
            samples, self._samples = self._samples, {}
            batch = next(self._batches)
            for sample in samples.values():
                sample.batch = batch
            waiting = [kept.sample for kept in self._unsent if now_ms - kept.at_ms <= KEPT_MS]
            self._unsent.clear()
        return (*waiting, *samples.values())

    def on_not_collected(self, samples: Iterable[VersionSample], now_ms: int) -> None:
        """Send samples again with the next report, as it is unknown whether a leader has them."""
        with self._lock:
            self._unsent.extend(_Kept(now_ms, sample) for sample in samples)

    def on_collected(self, samples: Iterable[VersionSample], evidence: str, now_ms: int) -> None:
        """Keep samples that a leader has collected, and send it the earlier ones if it is new.

        Parameters
        ----------
        evidence : str
            Identifies the evidence that the leader has; empty for an older build.
        """
        with self._lock:
            while self._kept and now_ms - self._kept[0].at_ms > KEPT_MS:
                self._kept.popleft()
            if evidence in self._past_evidence:
                # A late answer of a leader that has been replaced.
                self._unsent.extend(_Kept(now_ms, sample) for sample in samples)
                return
            if evidence not in ("", self._evidence):
                if self._evidence:
                    self._past_evidence.append(self._evidence)
                self._evidence = evidence
                self._hand_over()
            for sample in samples:
                self._keep(sample, now_ms)

    def retain(self, trials: Mapping[ServiceName, VersionName]) -> None:
        """Drop all samples but those of the services' versions under trial."""
        with self._lock:
            for each in (self._unsent, self._kept):
                samples = [
                    kept
                    for kept in each
                    if kept.sample.version in (SETTLED, trials.get(kept.sample.service))
                    and trials.get(kept.sample.service)
                ]
                each.clear()
                each.extend(samples)

    def _hand_over(self) -> None:
        batch = next(self._batches)
        for kept in self._kept:
            sample = msgspec.structs.replace(kept.sample, batch=batch, earlier=True)
            self._unsent.append(_Kept(kept.at_ms, sample))
        self._kept.clear()

    def _keep(self, sample: VersionSample, now_ms: int) -> None:
        for kept in reversed(self._kept):
            if now_ms - kept.at_ms > KEPT_WINDOW_MS:
                break
            if _key(kept.sample) == _key(sample):
                _merge(kept.sample, sample)
                return
        self._kept.append(_Kept(now_ms, msgspec.structs.replace(sample, earlier=False)))

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


def _key(sample: VersionSample) -> TallyKey:
    return TallyKey(sample.service, sample.route, sample.version)


def _merge(into: VersionSample, sample: VersionSample) -> None:
    into.add(sample)
    into.first_token_ms = into.first_token_ms[-MAX_KEPT_TIMES:]
    into.token_gap_ms = into.token_gap_ms[-MAX_KEPT_TIMES:]
    into.passed = dict(Counter(into.passed) + Counter(sample.passed))
    into.answered = dict(Counter(into.answered) + Counter(sample.answered))
