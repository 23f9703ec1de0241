"""Retry budget: how often requests to a service may be sent again, by all entry VMs together.

Retries, recoveries of streams, hand-overs to other entry VMs and resends after a rejection all
multiply the load while backend servers fail, so that one budget for each service covers them all.
Each entry VM may resend a share of the requests that it sends; a further number, for entry VMs that
have few requests when a backend server is lost, is granted by the state leader to all of them.
"""

import random
import threading
from collections import defaultdict
from collections.abc import Callable
from typing import NamedTuple

from nutmegdrum_coord.clock import Clock, Duration, ElapsedMs
from nutmegdrum_coord.ids import ServiceName
from prometheus_client import Counter

from nutmegdrum_scheduling.resends.fleet_budget import BudgetRule
from nutmegdrum_scheduling.resends.kinds import Resend
from nutmegdrum_scheduling.resends.leases import LeaseHolder
from nutmegdrum_scheduling.resends.windows import WINDOW, WindowCount

LEADER_RETRY = Duration(300)
"""Time after an unanswered or denied request in which the leader is not asked again."""

POLL = Duration(50)
"""Interval at which one who waits for a resend asks again."""

UNKNOWN_ENTRY_VMS = 32
"""Assumed number of entry VMs before it is known."""

_MS_PER_S = 1_000

RESENDS = Counter(
    "nutmegdrum_resends", "Requests to send again by kind and outcome", ["kind", "outcome"]
)

PERMITS_FROM = Counter(
    "nutmegdrum_resend_permits", "Resends of an entry VM by where the permit came from", ["source"]
)


def _no_log(kind: str, /, **inputs: object) -> None:
    """Drop a log line."""


class RetryLimits(NamedTuple):
    """Limits on the resends to one service in `WINDOW`.

    Attributes
    ----------
    ratio : float
        Resends for each request, at the entry VM that sends it; callers that move to another entry
        VM within `WINDOW` have it twice.
    shared : int
        Further resends of all entry VMs together; a change of leader grants them twice.
    leaderless : int
        Further resends of all entry VMs together while no leader answers.
    """

    ratio: float = 0.4
    shared: int = 50
    leaderless: int = 25


class SharedRetryBudget:
    """Resends that the state leader grants to entry VMs; thread-safe."""

    def __init__(self, clock: Clock, limits: RetryLimits = RetryLimits()):
        self._clock = clock
        self._limits = limits
        self._lock = threading.Lock()
        self._granted: defaultdict[ServiceName, WindowCount] = defaultdict(WindowCount)

    def grant(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it."""
        limit = kind.share * self._limits.shared
        with self._lock:
            return self._granted[service].add_up_to(limit, self._clock.elapsed_ms())


class _OwnPart:
    """An entry VM's equal part of the shared budget, for while no leader answers.

    A part of less than one resend in `WINDOW` is used at turns, from a random first one, as all
    entry VMs lose the leader at once.
    """

    def __init__(self, rng: random.Random, window: Duration):
        self._rng = rng
        self._window = window
        self._resends = WindowCount(window)
        self._next_ms: int | None = None

    def take(self, now_ms: int, per_window: float) -> bool:
        if per_window >= 1:
            return self._resends.add_up_to(per_window, now_ms)
        if per_window <= 0:
            return False
        interval_ms = int(self._window / per_window)
        if self._next_ms is None:
            self._next_ms = now_ms + int(self._rng.random() * interval_ms)
        if now_ms < self._next_ms:
            return False
        self._next_ms = now_ms + interval_ms
        return True


class _ServiceBudget:
    def __init__(self, rng: random.Random, window: Duration) -> None:
        self.requests = WindowCount()
        self.resends = WindowCount()
        self.own_part = _OwnPart(rng, window)


class RetryBudget:
    """Retry budget of one entry VM; thread-safe.

    Parameters
    ----------
    ask_leader : callable or None
        Asks the state leader for a resend from the shared budget; returns None if it does not
        answer. Without one, this VM has the shared budget for itself.
    log : callable
        Writes a line of a kind to the log.
    rule : BudgetRule or None
        Bound that all entry VMs keep together by leases and the leader's grants, as long as the
        leader knows it; without one, `limits` apply.

    Attributes
    ----------
    leases : LeaseHolder or None
        Permits that this VM holds in advance; None without a rule.
    told_entry_vms : int
        Number of entry VMs as a leader has told it; 0 before.
    """

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        ask_leader: Callable[[ServiceName, Resend], bool | None] | None = None,
        limits: RetryLimits = RetryLimits(),
        log: Callable[..., object] = _no_log,
        rule: BudgetRule | None = None,
    ):
        self._rule = rule
        self.leases = None if rule is None else LeaseHolder(clock, rule.window)
        self._clock = clock
        self._rng = rng
        self._log = log
        self._ask_leader = ask_leader or SharedRetryBudget(clock, limits).grant
        self._limits = limits
        self._lock = threading.Lock()
        self._entry_vms = UNKNOWN_ENTRY_VMS
        self.told_entry_vms = 0
        self._leader_silent_until_ms = 0
        self._denied_until_ms: dict[tuple[ServiceName, Resend], int] = {}
        self._asking: set[tuple[ServiceName, Resend]] = set()
        self._asked = threading.Condition()
        self._services: dict[ServiceName, _ServiceBudget] = {}

    def set_entry_vms(self, count: int) -> None:
        """Set the number of entry VMs, which share the further resends while no leader answers."""
        self._entry_vms = self.told_entry_vms = max(1, count)

    def on_request(self, service: ServiceName) -> None:
        """Count a caller's request, at the entry VM that got it from the caller."""
        with self._lock:
            self._service(service).requests.add(self._clock.elapsed_ms())
        if self.leases is not None:
            self.leases.on_request(service)

    def take(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether a request may be sent again; if so, count it.

        May wait for the state leader's answer.
        """
        granted = self._try_take(service, kind)
        self._record(service, kind, granted)
        return granted

    def wait(
        self,
        service: ServiceName,
        kind: Resend,
        deadline: ElapsedMs,
        sleep: Callable[[float], object],
        is_ended: Callable[[], bool] = lambda: False,
    ) -> bool:
        """Wait until a request may be sent again, and count it.

        Return False if `deadline` passes first, or the request ends.

        Parameters
        ----------
        sleep : callable
            Sleeps for a number of seconds.
        """

        def is_over() -> bool:
            return is_ended() or self._clock.elapsed_ms() >= deadline

        while not is_ended():
            granted = self._try_take(service, kind, is_over)
            if granted or self._clock.elapsed_ms() >= deadline:
                self._record(service, kind, granted)
                return granted
            sleep(POLL / _MS_PER_S)
        return False

    def _try_take(
        self, service: ServiceName, kind: Resend, is_over: Callable[[], bool] = lambda: False
    ) -> bool:
        leases = self.leases
        if leases is None:
            return self._take_local(service, kind) or self._take_shared(service, kind, is_over)
        if not leases.in_force:
            granted = self._take_local(service, kind) or self._take_shared(service, kind, is_over)
            if granted:
                leases.on_resend(service, asked=False)
            return granted
        granted = self._ask(service, kind, is_over)
        if granted:
            leases.on_resend(service, asked=True)
            PERMITS_FROM.labels("leader").inc()
            return True
        if leases.take(service, kind):
            PERMITS_FROM.labels("lease").inc()
            return True
        if granted is None and self._take_own_part(service, kind):
            leases.on_resend(service, asked=False)
            PERMITS_FROM.labels("own-part").inc()
            return True
        return False

    def _record(self, service: ServiceName, kind: Resend, granted: bool) -> None:
        RESENDS.labels(kind.value, "granted" if granted else "refused").inc()
        if not granted:
            self._log("resend_refused", service=service, resend=kind.value)

    def _take_local(self, service: ServiceName, kind: Resend) -> bool:
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            counts = self._service(service)
            allowed = kind.share * self._limits.ratio * counts.requests.total(now_ms)
            return counts.resends.add_up_to(allowed, now_ms)

    def _take_shared(self, service: ServiceName, kind: Resend, is_over: Callable[[], bool]) -> bool:
        granted = self._ask(service, kind, is_over)
        return self._take_own_part(service, kind) if granted is None else granted

    def _ask(self, service: ServiceName, kind: Resend, is_over: Callable[[], bool]) -> bool | None:
        """Return the leader's answer; None for no answer.

        A denial and silence hold for a while. One thread asks at a time for a service and kind, as
        all that wait would ask at once whenever a denial ends; the others use its answer unless it
        is a permit, and ask for one of their own then. False if `is_over` before it is this one's
        turn.
        """
        key = service, kind
        check_ms = 0
        while True:
            with self._asked:
                now_ms = self._clock.elapsed_ms()
                if now_ms < self._denied_until_ms.get(key, 0):
                    return False
                if now_ms < self._leader_silent_until_ms:
                    return None
                if key not in self._asking:
                    self._asking.add(key)
                    break
                self._asked.wait(POLL / _MS_PER_S)
            # Each answer wakes all that wait, and `is_over` looks at all servers.
            if now_ms >= check_ms:
                if is_over():
                    return False
                check_ms = now_ms + int(POLL)
        granted = None
        try:
            granted = self._ask_leader(service, kind)
        finally:
            with self._asked:
                self._asking.discard(key)
                until_ms = self._clock.elapsed_ms() + int(LEADER_RETRY)
                if granted is None:
                    self._leader_silent_until_ms = until_ms
                elif not granted:
                    self._denied_until_ms[key] = until_ms
                self._asked.notify_all()
        return granted

    def _take_own_part(self, service: ServiceName, kind: Resend) -> bool:
        """Return whether this VM's equal part of what is left without a leader allows a resend."""
        now_ms = self._clock.elapsed_ms()
        in_force = self.leases is not None and self.leases.in_force
        leaderless = self._rule.part if self._rule and in_force else self._limits.leaderless
        per_window = kind.share * leaderless / self._entry_vms
        with self._lock:
            return self._service(service).own_part.take(now_ms, per_window)

    def _service(self, service: ServiceName) -> _ServiceBudget:
        budget = self._services.get(service)
        if budget is None:
            window = WINDOW if self._rule is None else self._rule.counted
            budget = self._services[service] = _ServiceBudget(self._rng, window)
        return budget
