"""Control of rollouts: next step from the counts of entry VMs, without I/O.

A new version may fail at once, later, only under load or only on one route. Until the last part of
a rollout, the tail, the version gets a bounded share as a canary. The share rises only after the
version has served requests on each route without a fault.
"""

from bisect import bisect_left
from collections import Counter, deque
from statistics import median
from typing import NamedTuple

from nutmegdrum.judging import Comparator, Comparison, Finding, JudgeFactory, RolloutJudge
from nutmegdrum.moves import MoveState
from nutmegdrum.units import PPM
from nutmegdrum_coord.clock import ElapsedMs, LogMs
from nutmegdrum_coord.ids import LogPosition, ServiceName, VersionName

from nutmegdrum_relay.documents import RouteName
from nutmegdrum_relay.rollouts import EndRollout, Rollout, SetShare
from nutmegdrum_relay.version_tally import SETTLED, WAIT_MARKS_MS
from nutmegdrum_relay.views import VersionSample

FIRST_SHARE_PPM = PPM // 20
"""Share while the request rate is unknown: 5 %. A bad version may get 10 % of all requests (users'
bound on exposure)."""

RATE_PART = 8
"""Divisor of a rollout's duration; the quotient is the time after which the request rate can be
estimated."""

SPARE_REQUESTS = 10
"""Requests that a bad version may get beyond its share; the users' bound allows 50."""

MAX_TRIAL_SHARE_PPM = PPM // 2

TAIL_PART = 4
MIN_TAIL_MS = 3_000
MAX_TAIL_MS = 8_000
"""Tail of a rollout, in which the share rises to all traffic: a quarter of the duration within
these bounds in ms. The upper one is the time for a change of state leader and three steps, as a
bad version may get all requests of the tail."""

TAIL_FIRST_SHARE_PPM = 3 * PPM // 10
FULL_AT = 0.4
DONE_AT = 0.65
"""Share at the start of the tail, and fractions of the tail after which the version gets all
traffic and after which the rollout completes; the rest is left for a change of state leader."""

COVERAGE_PART = 2
MIN_COVERAGE = 10
"""Coverage of a route by a version: half (the divisor) of the requests expected from its share, but
no more than `MIN_COVERAGE` requests, are enough."""

WINDOW_MS = 500
"""Length in ms of the windows in which versions are compared; a tenth of the time within which a
bad version must be rolled back (users' bound on rollbacks)."""

PAIRING_TIMEOUT_MS = 2_000
"""Time in ms for which a window waits for samples of the settled version, which gets no traffic in
the last step."""

HOLD_FAULTS = 2
HOLD_FAULT_RATE = 0.05
HOLD_FAULT_RATIO = 4
"""Number of faults, fault rate and multiple of the settled version's fault rate beyond which the
share of a version is held."""

HOLD_TIMES = 100
HOLD_MIN_TIMES = 4
HOLD_SLOWNESS = 2.5
"""Number of newest times compared, least number needed, and multiple of the settled version's
median beyond which the share of a version is held; bad versions take several times as long."""

HOLD_MIN_WAITS = 2
USUAL_LONG_PART = 4
"""Least number of long waits that hold the share. Long waits are not attributed to the version if
the settled version has more than one for every `USUAL_LONG_PART` short ones."""

HANDOVER_MS = 600
"""Time in ms for which a new leader commits no step: a report's time-out, by which each entry VM
in touch has reported to it, together with the evidence that earlier leaders had."""

JUDGE_STARTS = (0.0, 0.375, 0.625)
"""Fractions of a rollout's duration at which a judge starts with empty evidence. Evidence from a
healthy phase would hide a later fault. The judge's error rate applies to each judge."""


class FleetStatus(NamedTuple):
    """State of the fleet during a rollout, apart from the counts.

    Attributes
    ----------
    following : bool
        Whether each connected entry VM has the newest shares in force.
    serving : bool
        Whether backend servers of the version under trial are listed and accept requests.
    """

    following: bool
    serving: bool


class RolloutController:
    """Controller of one rollout; a new state leader starts with empty evidence.

    Entry VMs send it the evidence that earlier leaders had. Until then it only rolls back.

    Parameters
    ----------
    judges : JudgeFactory
        Factory of judges.
    """

    def __init__(self, rollout: Rollout, judges: JudgeFactory):
        self._duration_ms = rollout.duration_ms
        self._judge = _Judges(rollout, judges)
        self._weak_evidence = [_WeakEvidence()]
        self._comparator = Comparator(
            rollout.target, SETTLED, self._judge, WINDOW_MS, PAIRING_TIMEOUT_MS
        )
        self._trial: Counter[RouteName] = Counter()
        self._all: Counter[RouteName] = Counter()
        self._expected: Counter[RouteName] = Counter()
        self._since: LogMs | None = None

    def record(self, now_ms: ElapsedMs, rollout: Rollout, sample: VersionSample) -> None:
        """Record one sample of an entry VM."""
        for evidence in self._weak_evidence:
            evidence.record(sample)
        if not sample.earlier:
            # Shares were lower then, and other ones apply now.
            self._all[sample.route] += sample.requests
            self._expected[sample.route] += sample.requests * rollout.share_ppm
        if sample.version == rollout.target:
            self._trial[sample.route] += sample.requests
        self._comparator.add(now_ms, sample)

    def decide(
        self, now_ms: ElapsedMs, log_ms: LogMs, rollout: Rollout, fleet: FleetStatus
    ) -> SetShare | EndRollout | None:
        """Return the command that is due now, if any."""
        is_first = self._since is None
        if self._since is None:
            self._since = log_ms
        if self._judge.start_due(log_ms) and not is_first:
            self._weak_evidence.append(_WeakEvidence())
        without_settled = rollout.share_ppm >= PPM and fleet.following
        self._comparator.close_windows(now_ms, without_settled)
        finding = self._judge.finding()
        if finding is not None:
            return _end(rollout, MoveState.ROLLED_BACK, str(finding))
        lasted_ms = log_ms - rollout.started
        done_ms = self._duration_ms - (1 - DONE_AT) * _tail_ms(self._duration_ms)
        if lasted_ms >= done_ms and (self._is_held() or self._weak_evidence[0].waits_long(1)):
            # The deadline of the order leaves no time for more evidence, so roll back on suspicion.
            return _end(rollout, MoveState.ROLLED_BACK, "more faults than usual, or slower")
        if not fleet.serving:
            return None
        share_ppm = self._share_ppm(lasted_ms, log_ms, rollout)
        if share_ppm > rollout.share_ppm:
            if rollout.share_ppm and not self._may_rise(log_ms, fleet):
                return None
            return SetShare(service=rollout.service, number=rollout.number, share_ppm=share_ppm)
        if self._has_seen_all_traffic(log_ms, rollout) and lasted_ms >= done_ms:
            if not self._may_rise(log_ms, fleet):
                return None
            return _end(rollout, MoveState.DONE, "every entry VM in touch sends to the version")
        return None

    def _share_ppm(self, lasted_ms: int, log_ms: LogMs, rollout: Rollout) -> int:
        """Return the share that is due now; it rises by one step at a time."""
        tail_ms = _tail_ms(self._duration_ms)
        tail_at_ms = self._duration_ms - tail_ms
        if not rollout.share_ppm:
            return FIRST_SHARE_PPM
        if lasted_ms < self._duration_ms // RATE_PART:
            return FIRST_SHARE_PPM
        if lasted_ms < tail_at_ms:
            first = rollout.share_ppm == FIRST_SHARE_PPM
            return self._trial_share_ppm(log_ms) if first else rollout.share_ppm
        if rollout.share_ppm < TAIL_FIRST_SHARE_PPM:
            return TAIL_FIRST_SHARE_PPM
        if log_ms - rollout.since >= FULL_AT * tail_ms:
            return PPM
        return rollout.share_ppm

    def _trial_share_ppm(self, log_ms: LogMs) -> int:
        """Return the canary share that spreads `SPARE_REQUESTS` over the whole duration."""
        observed_ms = log_ms - (self._since or log_ms)
        requests = sum(self._all.values())
        if observed_ms < self._duration_ms // RATE_PART or not requests:
            return FIRST_SHARE_PPM
        expected_requests = requests * self._duration_ms / observed_ms
        spare_ppm = int(PPM * SPARE_REQUESTS / expected_requests)
        return min(MAX_TRIAL_SHARE_PPM, FIRST_SHARE_PPM + spare_ppm)

    def _may_rise(self, log_ms: LogMs, fleet: FleetStatus) -> bool:
        has_evidence = self._since is not None and log_ms - self._since >= HANDOVER_MS
        return has_evidence and fleet.following and not self._is_held() and self._is_covered()

    def _has_seen_all_traffic(self, log_ms: LogMs, rollout: Rollout) -> bool:
        """Return whether the version gets all traffic, and this leader has seen it do well."""
        if rollout.share_ppm < PPM or self._since is None:
            return False
        tail_at = rollout.started + self._duration_ms - _tail_ms(self._duration_ms)
        # A leader since before the tail has seen the version with each lower share.
        return self._since < tail_at or log_ms - rollout.since >= WINDOW_MS

    def _is_held(self) -> bool:
        return self._judge.suspicious() or self._weak_evidence[-1].any() or self._waits_long()

    def _waits_long(self) -> bool:
        # Long waits seen late in a rollout belong to attempts that were sent much earlier.
        return any(evidence.waits_long(HOLD_MIN_WAITS) for evidence in self._weak_evidence)

    def _is_covered(self) -> bool:
        """Return whether the version has served enough requests on each route for its share."""
        for route, expected in self._expected.items():
            needed = min(MIN_COVERAGE, expected // PPM // COVERAGE_PART)
            if self._trial[route] < needed:
                return False
        return True


class _WeakEvidence:
    """Evidence too weak to roll a version back, but sufficient to hold its share."""

    def __init__(self) -> None:
        self._requests: Counter[VersionName] = Counter()
        self._faults: Counter[VersionName] = Counter()
        self._times: dict[tuple[RouteName, VersionName], deque[int]] = {}
        self._passed: dict[tuple[RouteName, VersionName], Counter[int]] = {}
        self._answered: dict[tuple[RouteName, VersionName], Counter[int]] = {}

    def record(self, sample: VersionSample) -> None:
        """Record one sample of an entry VM."""
        self._requests[sample.version] += sample.requests
        self._faults[sample.version] += sample.errors + sample.crashes
        key = (sample.route, sample.version)
        times = self._times.setdefault(key, deque(maxlen=HOLD_TIMES))
        times.extend(sample.first_token_ms)
        self._passed.setdefault(key, Counter()).update(sample.passed)
        self._answered.setdefault(key, Counter()).update(sample.answered)

    def any(self) -> bool:
        """Return whether the version clearly has more faults or is slower."""
        return self._faulty() or self._slow()

    def _faulty(self) -> bool:
        faults = requests = 0
        for version, count in self._requests.items():
            if version != SETTLED:
                faults, requests = self._faults[version], count
        usual = self._faults[SETTLED] / max(1, self._requests[SETTLED])
        rate = max(HOLD_FAULT_RATE, HOLD_FAULT_RATIO * usual)
        return faults >= HOLD_FAULTS and faults > rate * requests

    def _slow(self) -> bool:
        for (route, version), times in self._times.items():
            settled = self._times.get((route, SETTLED))
            if version == SETTLED or not settled or len(times) < HOLD_MIN_TIMES:
                continue
            if median(times) > HOLD_SLOWNESS * median(settled):
                return True
        return False

    def waits_long(self, at_least: int) -> bool:
        """Return whether most attempts of the version wait long, on a route or on all together.

        Censored waits count as soon as they are too long, whereas the time to the first event is
        known only when the event arrives.

        Parameters
        ----------
        at_least : int
            Least number of attempts with a long wait.
        """
        all_long = all_short = 0
        for (route, version), passed in self._passed.items():
            mark = self._long_wait(route)
            if version == SETTLED or mark is None:
                continue
            long = passed[mark]
            short = self._short_waits((route, version), mark)
            if long >= at_least and long > short:
                return True
            all_long += long
            all_short += short
        return all_long >= at_least and all_long > all_short

    def _long_wait(self, route: RouteName) -> int | None:
        """Return the wait mark beyond which an attempt takes too long; None if unknown."""
        settled = (route, SETTLED)
        times = self._times.get(settled)
        if not times:
            return None
        mark = bisect_left(WAIT_MARKS_MS, HOLD_SLOWNESS * median(times))
        usual = self._passed[settled][mark] * USUAL_LONG_PART > self._short_waits(settled, mark)
        return None if usual or mark == len(WAIT_MARKS_MS) else mark

    def _short_waits(self, key: tuple[RouteName, VersionName], mark: int) -> int:
        return sum(count for passed, count in self._answered[key].items() if passed <= mark)


class _Judges:
    """Judges of one rollout, each with the evidence since its start."""

    def __init__(self, rollout: Rollout, judges: JudgeFactory):
        self._judges = judges
        self._starts_ms = [rollout.started + part * rollout.duration_ms for part in JUDGE_STARTS]
        self._started: list[RolloutJudge] = []

    def start_due(self, log_ms: LogMs) -> bool:
        """Start the judges that are due, and return whether there were any."""
        due = sum(log_ms >= start_ms for start_ms in self._starts_ms)
        starts = len(self._started) < due
        while len(self._started) < due:
            self._started.append(self._judges())
        return starts

    def observe(self, comparison: Comparison) -> None:
        """Pass the counts of one window to all judges."""
        for judge in self._started:
            judge.observe(comparison)

    def finding(self) -> Finding | None:
        """Return the finding of the first judge that rejects the version; None if none does."""
        return next((f for judge in self._started if (f := judge.finding()) is not None), None)

    def suspicious(self) -> bool:
        """Return whether any judge's evidence holds the share for now."""
        return any(judge.suspicious() for judge in self._started)

    def requests(self, route: RouteName) -> int:
        """Return how many requests of the version were compared on `route`."""
        return max((judge.requests(route) for judge in self._started), default=0)


class RolloutControllers:
    """Controllers of all rollouts in progress.

    Parameters
    ----------
    judges : JudgeFactory
        Factory of judges.
    """

    def __init__(self, judges: JudgeFactory):
        self._judges = judges
        self._controllers: dict[LogPosition, RolloutController] = {}

    def forget(self) -> None:
        """Drop all evidence, as this replica no longer leads."""
        self._controllers.clear()

    def record(self, now_ms: ElapsedMs, active: list[Rollout], sample: VersionSample) -> None:
        """Record one sample of an entry VM."""
        for rollout in active:
            if rollout.service == sample.service:
                self._controller_of(rollout).record(now_ms, rollout, sample)

    def decide(
        self,
        now_ms: ElapsedMs,
        log_ms: LogMs,
        active: list[Rollout],
        fleet: dict[ServiceName, FleetStatus],
    ) -> list[SetShare | EndRollout]:
        """Return the commands that are due now."""
        numbers = {rollout.number for rollout in active}
        self._controllers = {
            number: s for number, s in self._controllers.items() if number in numbers
        }
        due = (
            self._controller_of(rollout).decide(now_ms, log_ms, rollout, fleet[rollout.service])
            for rollout in active
        )
        return [command for command in due if command is not None]

    def _controller_of(self, rollout: Rollout) -> RolloutController:
        controller = self._controllers.get(rollout.number)
        if controller is None:
            controller = self._controllers[rollout.number] = RolloutController(
                rollout, self._judges
            )
        return controller


def _tail_ms(duration_ms: int) -> int:
    return min(max(duration_ms // TAIL_PART, MIN_TAIL_MS), MAX_TAIL_MS)


def _end(rollout: Rollout, state: MoveState, reason: str) -> EndRollout:
    return EndRollout(service=rollout.service, number=rollout.number, state=state, reason=reason)
