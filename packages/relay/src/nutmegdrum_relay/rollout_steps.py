"""Next step of a roll-out by order, from what entry VMs count; decides without I/O.

Answers the load of a new version that may be bad at once, later, under load or on one route only.
Until the last part of its time the version gets a share that is bounded whatever it does, and it
gets more only once it was seen on each route without a fault.
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
from nutmegdrum_relay.version_gate import SETTLED
from nutmegdrum_relay.version_tally import WAIT_MARKS_MS
from nutmegdrum_relay.views import VersionSample

FIRST_SHARE_PPM = PPM // 20
"""Share while the traffic's rate is not known; half of what a bad version may get in all (a tenth,
users' bound on exposure)."""

RATE_PART = 8
"""Part of a roll-out's time after which the traffic's rate is known well enough."""

SPARE_REQUESTS = 10
"""Requests that a bad version may get beside its share; the users' bound allows 50."""

MAX_TRIAL_SHARE_PPM = PPM // 2

TAIL_PART = 4
MIN_TAIL_MS = 3_000
MAX_TAIL_MS = 8_000
"""Last part of a roll-out's time, in which the share rises to the whole: a quarter, but no longer
than a change of the state leader and three steps take, since all of it may be spent on a bad
version."""

HALF_WAY_PPM = 3 * PPM // 10
WHOLE_AT = 0.4
DONE_AT = 0.65
"""Parts of the tail after which the version gets everything, and after which the roll-out is
complete; the rest is left for a change of leader."""

SHOWN_PART = 2
MIN_SHOWN = 10
"""A version was seen on a route once it had this part of the requests that its share makes likely
there, or this number."""

WINDOW_MS = 500
"""Length of the windows in which versions are compared; a tenth of the time in which a bad one must
be taken back (users' bound on roll-backs)."""

PAIRING_TIMEOUT_MS = 2_000
"""Time for which a window waits for the other version, which has no traffic in the last step."""

DOUBT_FAULTS = 2
DOUBT_FAULT_RATE = 0.05
DOUBT_RATIO = 4
"""Faults, their rate, and how many times the usual rate that is, from which a version gets no more
requests for now."""

DOUBT_TIMES = 100
DOUBT_MIN_TIMES = 4
DOUBT_SLOWNESS = 2.5
"""Newest times that count, how many are needed, and how many times the usual median theirs is from
which a version gets no more requests for now; bad versions take several times as long."""

DOUBT_MIN_WAITS = 2
USUAL_LONG_PART = 4
"""Attempts that must have waited too long, and what part of the usual version's attempts may do so
without waits being long for another reason."""

JUDGED_FROM = (0.0, 0.375, 0.625)
"""Parts of a roll-out's time at which a judgement begins: evidence from a time at which the version
was sound would hide a fault that comes later. The error rate counts for each."""


class FleetStatus(NamedTuple):
    """What the leader knows of the fleet beside the counts.

    Attributes
    ----------
    following : bool
        Whether each entry VM in touch has the newest shares in force.
    serving : bool
        Whether backend servers of the version under trial are listed and take requests.
    """

    following: bool
    serving: bool


class RolloutController:
    """Judgement of one roll-out; a change of leader begins its evidence anew.

    Parameters
    ----------
    judges : JudgeFactory
        Maker of judges.
    """

    def __init__(self, rollout: Rollout, judges: JudgeFactory):
        self._duration_ms = rollout.duration_ms
        self._judge = _Judges(rollout, judges)
        self._doubts: list[_Doubts] = []
        self._comparator = Comparator(
            rollout.target, SETTLED, self._judge, WINDOW_MS, PAIRING_TIMEOUT_MS
        )
        self._trial: Counter[RouteName] = Counter()
        self._all: Counter[RouteName] = Counter()
        self._expected: Counter[RouteName] = Counter()
        self._since: LogMs | None = None

    def record(self, now_ms: ElapsedMs, rollout: Rollout, sample: VersionSample) -> None:
        """Take in one sample of an entry VM."""
        for doubts in self._doubts:
            doubts.record(sample)
        self._all[sample.route] += sample.requests
        self._expected[sample.route] += sample.requests * rollout.share_ppm
        if sample.version == rollout.target:
            self._trial[sample.route] += sample.requests
        self._comparator.add(now_ms, sample)

    def decide(
        self, now_ms: ElapsedMs, log_ms: LogMs, rollout: Rollout, fleet: FleetStatus
    ) -> SetShare | EndRollout | None:
        """Return the change that is due now, if any."""
        if self._since is None:
            self._since = log_ms
        if self._judge.begin(log_ms):
            self._doubts.append(_Doubts())
        alone = rollout.share_ppm >= PPM and fleet.following
        self._comparator.close_windows(now_ms, alone)
        finding = self._judge.finding()
        if finding is not None:
            return _end(rollout, MoveState.ROLLED_BACK, str(finding))
        lasted_ms = log_ms - rollout.started
        done_ms = self._duration_ms - (1 - DONE_AT) * _tail_ms(self._duration_ms)
        if lasted_ms >= done_ms and (self._doubted() or self._doubts[0].waits_long(1)):
            # The order gives no time to find out more, and a version is not left half tried.
            return _end(rollout, MoveState.ROLLED_BACK, "more faults than usual, or slower")
        if not fleet.serving:
            return None
        share_ppm = self._share_ppm(lasted_ms, log_ms, rollout)
        if share_ppm > rollout.share_ppm:
            if rollout.share_ppm and not self._may_rise(fleet):
                return None
            return SetShare(service=rollout.service, number=rollout.number, share_ppm=share_ppm)
        if rollout.share_ppm >= PPM and lasted_ms >= done_ms and self._may_rise(fleet):
            return _end(rollout, MoveState.DONE, "every entry VM in touch sends to the version")
        return None

    def _share_ppm(self, lasted_ms: int, log_ms: LogMs, rollout: Rollout) -> int:
        """Return the share for this moment, one step at a time."""
        tail_ms = _tail_ms(self._duration_ms)
        tail_at_ms = self._duration_ms - tail_ms
        if not rollout.share_ppm:
            return FIRST_SHARE_PPM
        if lasted_ms < self._duration_ms // RATE_PART:
            return FIRST_SHARE_PPM
        if lasted_ms < tail_at_ms:
            first = rollout.share_ppm == FIRST_SHARE_PPM
            return self._trial_share_ppm(log_ms) if first else rollout.share_ppm
        if rollout.share_ppm < HALF_WAY_PPM:
            return HALF_WAY_PPM
        if log_ms - rollout.since >= WHOLE_AT * tail_ms:
            return PPM
        return rollout.share_ppm

    def _trial_share_ppm(self, log_ms: LogMs) -> int:
        """Return the share that spends the spare requests over the whole time."""
        known_ms = log_ms - (self._since or log_ms)
        requests = sum(self._all.values())
        if known_ms < self._duration_ms // RATE_PART or not requests:
            return FIRST_SHARE_PPM
        in_all = requests * self._duration_ms / known_ms
        spare_ppm = int(PPM * SPARE_REQUESTS / in_all)
        return min(MAX_TRIAL_SHARE_PPM, FIRST_SHARE_PPM + spare_ppm)

    def _may_rise(self, fleet: FleetStatus) -> bool:
        return fleet.following and not self._doubted() and self._shown()

    def _doubted(self) -> bool:
        return self._judge.suspicious() or self._doubts[-1].any() or self._waits_long()

    def _waits_long(self) -> bool:
        # Waits at the end of a roll-out are those of attempts that were sent well before.
        return any(doubts.waits_long(DOUBT_MIN_WAITS) for doubts in self._doubts)

    def _shown(self) -> bool:
        """Return whether the version was seen on each route as often as its share makes likely."""
        for route, expected in self._expected.items():
            wanted = min(MIN_SHOWN, expected // PPM // SHOWN_PART)
            if self._trial[route] < wanted:
                return False
        return True


class _Doubts:
    """Counts that speak against a version too weakly to take it back, but against more requests."""

    def __init__(self) -> None:
        self._requests: Counter[VersionName] = Counter()
        self._faults: Counter[VersionName] = Counter()
        self._times: dict[tuple[RouteName, VersionName], deque[int]] = {}
        self._passed: dict[tuple[RouteName, VersionName], Counter[int]] = {}
        self._answered: dict[tuple[RouteName, VersionName], Counter[int]] = {}

    def record(self, sample: VersionSample) -> None:
        """Take in one sample of an entry VM."""
        self._requests[sample.version] += sample.requests
        self._faults[sample.version] += sample.errors + sample.crashes
        key = (sample.route, sample.version)
        times = self._times.setdefault(key, deque(maxlen=DOUBT_TIMES))
        times.extend(sample.first_token_ms)
        self._passed.setdefault(key, Counter()).update(sample.passed)
        self._answered.setdefault(key, Counter()).update(sample.answered)

    def any(self) -> bool:
        """Return whether the version has clearly more faults, or takes clearly longer."""
        return self._faulty() or self._slow()

    def _faulty(self) -> bool:
        faults = requests = 0
        for version, count in self._requests.items():
            if version != SETTLED:
                faults, requests = self._faults[version], count
        usual = self._faults[SETTLED] / max(1, self._requests[SETTLED])
        rate = max(DOUBT_FAULT_RATE, DOUBT_RATIO * usual)
        return faults >= DOUBT_FAULTS and faults > rate * requests

    def _slow(self) -> bool:
        for (route, version), times in self._times.items():
            settled = self._times.get((route, SETTLED))
            if version == SETTLED or not settled or len(times) < DOUBT_MIN_TIMES:
                continue
            if median(times) > DOUBT_SLOWNESS * median(settled):
                return True
        return False

    def waits_long(self, at_least: int) -> bool:
        """Return whether most of the version's attempts wait long, on a route or on all together.

        An attempt that still waits speaks for itself as soon as it has waited too long, while its
        time would be known only at its end.

        Parameters
        ----------
        at_least : int
            Attempts that must have waited long.
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
        """Return the wait mark past which an attempt takes too long; None if that isn't known."""
        settled = (route, SETTLED)
        times = self._times.get(settled)
        if not times:
            return None
        mark = bisect_left(WAIT_MARKS_MS, DOUBT_SLOWNESS * median(times))
        usual = self._passed[settled][mark] * USUAL_LONG_PART > self._short_waits(settled, mark)
        return None if usual or mark == len(WAIT_MARKS_MS) else mark

    def _short_waits(self, key: tuple[RouteName, VersionName], mark: int) -> int:
        return sum(count for passed, count in self._answered[key].items() if passed <= mark)


class _Judges:
    """Judges of one roll-out, each with the evidence from its beginning on."""

    def __init__(self, rollout: Rollout, judges: JudgeFactory):
        self._judges = judges
        self._from_ms = [rollout.started + part * rollout.duration_ms for part in JUDGED_FROM]
        self._begun: list[RolloutJudge] = []

    def begin(self, log_ms: LogMs) -> bool:
        """Begin the judgements that are due, and return whether there were any."""
        due = sum(log_ms >= from_ms for from_ms in self._from_ms)
        begins = len(self._begun) < due
        while len(self._begun) < due:
            self._begun.append(self._judges())
        return begins

    def observe(self, comparison: Comparison) -> None:
        """Take in the counts of one window."""
        for judge in self._begun:
            judge.observe(comparison)

    def finding(self) -> Finding | None:
        """Return why the version is bad, as the first judge that shows it."""
        return next((f for judge in self._begun if (f := judge.finding()) is not None), None)

    def suspicious(self) -> bool:
        """Return whether the evidence of any judge forbids a larger share for now."""
        return any(judge.suspicious() for judge in self._begun)

    def requests(self, route: RouteName) -> int:
        """Return the number of the version's requests that were compared on `route`."""
        return max((judge.requests(route) for judge in self._begun), default=0)


class RolloutControllers:
    """Judgements of all roll-outs in progress.

    Parameters
    ----------
    judges : JudgeFactory
        Maker of judges.
    """

    def __init__(self, judges: JudgeFactory):
        self._judges = judges
        self._steps: dict[LogPosition, RolloutController] = {}

    def forget(self) -> None:
        """Drop all evidence, as a replica that leads no more."""
        self._steps.clear()

    def record(self, now_ms: ElapsedMs, active: list[Rollout], sample: VersionSample) -> None:
        """Take in one sample of an entry VM."""
        for rollout in active:
            if rollout.service == sample.service:
                self._of(rollout).record(now_ms, rollout, sample)

    def decide(
        self,
        now_ms: ElapsedMs,
        log_ms: LogMs,
        active: list[Rollout],
        fleet: dict[ServiceName, FleetStatus],
    ) -> list[SetShare | EndRollout]:
        """Return the changes that are due now."""
        numbers = {rollout.number for rollout in active}
        self._steps = {number: s for number, s in self._steps.items() if number in numbers}
        due = (
            self._of(rollout).decide(now_ms, log_ms, rollout, fleet[rollout.service])
            for rollout in active
        )
        return [command for command in due if command is not None]

    def _of(self, rollout: Rollout) -> RolloutController:
        steps = self._steps.get(rollout.number)
        if steps is None:
            steps = self._steps[rollout.number] = RolloutController(rollout, self._judges)
        return steps


def _tail_ms(duration_ms: int) -> int:
    return min(max(duration_ms // TAIL_PART, MIN_TAIL_MS), MAX_TAIL_MS)


def _end(rollout: Rollout, state: MoveState, reason: str) -> EndRollout:
    return EndRollout(service=rollout.service, number=rollout.number, state=state, reason=reason)
