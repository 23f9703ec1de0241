"""Permission to send a request again, from the retry budget of its service."""

import threading
import time
from collections import defaultdict
from collections.abc import Callable
from enum import Enum

import prometheus_client
from nutmegdrum_coord.clock import Clock, ElapsedMs
from nutmegdrum_coord.ids import ServiceName
from nutmegdrum_scheduling.resends.budget import POLL, RetryBudget
from nutmegdrum_scheduling.resends.kinds import Resend
from nutmegdrum_scheduling.resends.windows import PERMIT_VALID

from nutmegdrum_relay.pending_request import PendingRequest

WAITS = prometheus_client.Counter(
    "nutmegdrum_resend_waits",
    "Waits for a resend by what was lacking and how they ended",
    ["lacks", "end"],
)

_MS_PER_S = 1_000


class Lack(Enum):
    """What a request that may be sent again waits for."""

    PERMIT = "permit"
    SERVER = "server"


class WaitEnd(Enum):
    """How a wait for a resend ended."""

    AVAILABLE = "available"
    TIME_UP = "time-up"
    CALLER_GONE = "caller-gone"
    STOPPED = "stopped"
    FORBIDDEN = "forbidden"


class Resends:
    """Asks the retry budget for each send of a request but its first; thread-safe.

    Whatever makes a request be sent again, the backend servers get it once more: retries,
    recoveries of streams, rejections and requests that are passed on draw on one budget.

    Parameters
    ----------
    sleep : callable
        Sleeps for a number of seconds.
    """

    def __init__(
        self, budget: RetryBudget, clock: Clock, sleep: Callable[[float], object] = time.sleep
    ):
        self._budget = budget
        self._clock = clock
        self._sleep = sleep
        self._lock = threading.Lock()
        self._ready_recoveries: defaultdict[ServiceName, set[object]] = defaultdict(set)

    def on_request(self, pending: PendingRequest) -> None:
        """Count a request; the entry VM that passed it on has counted it already."""
        if not pending.passed_on:
            self._budget.on_request(pending.service.name)

    def allows(self, pending: PendingRequest, kind: Resend) -> bool:
        """Return whether a request may be sent now, with a permission that is valid for a while.

        Recoveries that wait for a permit go before retries.
        """
        if self._needs_permit(pending):
            if self._goes_after_others(pending, kind):
                return False
            granted = self._budget.take(pending.service.name, kind)
            self._set_permit(pending, granted)
        return not pending.sends or pending.may_send_again

    def _needs_permit(self, pending: PendingRequest) -> bool:
        held_ms = self._clock.elapsed_ms() - pending.permit_ms
        return pending.sends > 0 and not (pending.may_send_again and held_ms < PERMIT_VALID)

    def _set_permit(self, pending: PendingRequest, granted: bool) -> None:
        pending.may_send_again = granted
        pending.permit_ms = self._clock.elapsed_ms()

    def wait(
        self,
        pending: PendingRequest,
        kind: Resend,
        until_ms: int,
        has_server: Callable[[], bool],
        is_permitted: Callable[[], bool],
    ) -> WaitEnd:
        """Wait until a request may be sent again and a backend server is available for it.

        A permission is taken only once there is a server; one from before is dropped. Recoveries
        go before retries.

        Parameters
        ----------
        until_ms : int
            Elapsed time in ms at which the wait ends at the latest.
        has_server : callable
            Returns whether a backend server is available.
        is_permitted : callable
            Returns whether the request may be sent at all; it may be quarantined meanwhile.
        """
        waiter = object()

        def is_ready() -> bool:
            has_one = has_server()
            if kind is Resend.RECOVERY:
                self._set_ready(pending.service.name, waiter, has_one)
            return has_one and not self._goes_after_others(pending, kind)

        def end() -> WaitEnd | None:
            return self._end(pending, until_ms, is_permitted)

        pending.may_send_again = False
        try:
            is_ready()
            while (ended := end()) is None:
                left_ms = until_ms - self._clock.elapsed_ms()
                self._sleep(max(0, min(POLL, left_ms)) / _MS_PER_S)
                if (
                    end() is None
                    and is_ready()
                    and self._take(
                        pending, kind, until_ms, lambda: end() is not None or not is_ready()
                    )
                    # The leader's answer takes time, in which the caller may leave.
                    and end() in (None, WaitEnd.TIME_UP)
                ):
                    return WaitEnd.AVAILABLE
            return ended
        finally:
            self._set_ready(pending.service.name, waiter, False)

    def _take(
        self,
        pending: PendingRequest,
        kind: Resend,
        until_ms: int,
        is_ended: Callable[[], bool],
    ) -> bool:
        if self._needs_permit(pending):
            granted = self._budget.wait(
                pending.service.name, kind, ElapsedMs(until_ms), self._sleep, is_ended
            )
            self._set_permit(pending, granted)
        return not pending.sends or pending.may_send_again

    def _end(
        self, pending: PendingRequest, until_ms: int, is_permitted: Callable[[], bool]
    ) -> WaitEnd | None:
        if pending.caller_gone:
            return WaitEnd.CALLER_GONE
        if pending.ended:
            return WaitEnd.STOPPED
        if self._clock.elapsed_ms() >= until_ms:
            return WaitEnd.TIME_UP
        return None if is_permitted() else WaitEnd.FORBIDDEN

    def _goes_after_others(self, pending: PendingRequest, kind: Resend) -> bool:
        return kind is Resend.RETRY and bool(self._ready_recoveries[pending.service.name])

    def _set_ready(self, service: ServiceName, waiter: object, ready: bool) -> None:
        """Record whether a waiting recovery has a server, and lacks only a permit.

        One without a server would keep back retries that need none of what it waits for.
        """
        with self._lock:
            waiters = self._ready_recoveries[service]
            if ready:
                waiters.add(waiter)
            else:
                waiters.discard(waiter)
