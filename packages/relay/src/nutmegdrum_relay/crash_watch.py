"""Requests beside which backend servers die, as one entry VM sees them.

Answers the load of a request that crashes each backend server which begins to run it, and comes
again at any entry VM. An attempt that breaks off and whose backend server then takes no connection
is reported, with how many events had come; the replicated state names a request under which
several died at the same point, and all entry VMs refuse it. An attempt that goes well clears its
request.
"""

import contextlib
import queue
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

from nutmegdrum.probes import has_ended
from nutmegdrum.suspects import Suspects
from nutmegdrum.units import Address, Duration
from nutmegdrum.view import QuarantineView
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.views import CrashReport, Quarantined

PROBE_TIMEOUT = Duration(100)
"""Wait for a connection to a backend server that may have died; several round trips."""

SETTLE_TIME = Duration(100)
"""Time in which the system has closed all connections of a process that died, the listener among
them; docs/design/crashing-requests.md, limits."""

MAX_WAITING = 64
"""Attempts that wait to be looked at; more break off together only when many servers die at once,
which no single request causes."""

MAX_REPORTS = 256

RECENT_SUCCESS = Duration(10_000)
"""Time for which a run that went well speaks for its request: a popular one runs on every server
that another request ends, and on others a moment before."""

MAX_SUCCESSES = 10_000
"""Requests whose last success is kept; one entry VM ends fewer in `RECENT_SUCCESS`."""


class BrokenAttempt(NamedTuple):
    """Attempt that its backend server broke off.

    Attributes
    ----------
    began_ms : int
        Elapsed time in ms at its beginning.
    events : int
        Events of its stream that had come.
    """

    fingerprint: Fingerprint
    backend: BackendId
    address: Address
    began_ms: int
    events: int = 0


class _Crash(NamedTuple):
    fingerprint: Fingerprint
    backend: BackendId
    began_ms: int
    died_ms: int
    events: int


def server_has_ended(address: Address) -> bool:
    """Return whether a backend server takes no connections, or is about to end."""
    return has_ended(address, int(PROBE_TIMEOUT), int(SETTLE_TIME))


class CrashWatch:
    """Suspects and quarantines on this entry VM; thread-safe.

    Parameters
    ----------
    ended : callable
        Returns whether the backend server at an address has ended.
    """

    def __init__(self, clock: Clock, ended: Callable[[Address], bool] = server_has_ended):
        self._clock = clock
        self._ended = ended
        self._lock = threading.Lock()
        self._suspects = Suspects()
        self._told: frozenset[Fingerprint] = frozenset()
        self._crashes: list[_Crash] = []
        self._cleared: list[Fingerprint] = []
        self._successes: OrderedDict[Fingerprint, int] = OrderedDict()
        self._waiting: queue.Queue[tuple[BrokenAttempt, int]] = queue.Queue(MAX_WAITING)
        self._loop = Loop("crashes", self._look)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def check(self, fingerprint: Fingerprint, request: str) -> None:
        """Refuse a request that is in quarantine.

        Raises
        ------
        Refusal
            `QUARANTINED`, not run.
        """
        refusal = self._refusal(fingerprint)
        if refusal is not None:
            log_decision("quarantined_request", request=request, fingerprint=fingerprint)
            raise refusal

    def is_quarantined(self, fingerprint: Fingerprint) -> bool:
        """Return whether a request is to be sent no more."""
        return self._refusal(fingerprint) is not None

    def _refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        with self._lock:
            return self._suspects.refusal(fingerprint, self._clock.elapsed_ms())

    def on_broken(self, attempt: BrokenAttempt) -> None:
        """Look soon whether the backend server of an attempt has died."""
        if self._ran_well_lately(attempt.fingerprint):
            _log_ruled_out(attempt, "ran-well-lately")
            return
        try:
            self._waiting.put_nowait((attempt, self._clock.elapsed_ms()))
        except queue.Full:
            _log_ruled_out(attempt, "not-looked-at")

    def on_success(self, fingerprint: Fingerprint) -> None:
        """Clear a request that a backend server has run well."""
        with self._lock:
            self._successes[fingerprint] = self._clock.elapsed_ms()
            self._successes.move_to_end(fingerprint)
            if len(self._successes) > MAX_SUCCESSES:
                self._successes.popitem(last=False)
            if fingerprint not in self._told:
                return
            self._told -= {fingerprint}
            if len(self._cleared) < MAX_REPORTS:
                self._cleared.append(fingerprint)

    def take_reports(self) -> tuple[tuple[CrashReport, ...], tuple[Fingerprint, ...]]:
        """Return the crashes and the cleared requests that the leader is to be told."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            broken, self._crashes = self._crashes, []
            cleared, self._cleared = self._cleared, []
        crashes = (
            CrashReport(
                crash.fingerprint,
                crash.backend,
                now_ms - crash.began_ms,
                now_ms - crash.died_ms,
                crash.events,
            )
            for crash in broken
        )
        return tuple(crashes), tuple(cleared)

    def requeue(
        self, crashes: Iterable[CrashReport], cleared: Iterable[Fingerprint], made_ms: int
    ) -> None:
        """Keep what no leader has taken for the next report.

        Parameters
        ----------
        made_ms : int
            Elapsed time in ms at which the report was made.
        """
        broken = [
            _Crash(
                c.fingerprint,
                c.backend,
                made_ms - c.began_ms_ago,
                made_ms - c.died_ms_ago,
                c.events,
            )
            for c in crashes
        ]
        with self._lock:
            self._crashes = [*broken, *self._crashes][:MAX_REPORTS]
            self._cleared = [*cleared, *self._cleared][:MAX_REPORTS]

    def set_view(self, quarantined: Iterable[Quarantined], suspects: Iterable[Fingerprint]) -> None:
        """Take what the state leader knows."""
        views = [
            QuarantineView(fingerprint=q.fingerprint, remaining_ms=q.remaining_ms)
            for q in quarantined
        ]
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._told = frozenset(suspects)
            new = [q for q in views if self._suspects.refusal(q.fingerprint, now_ms) is None]
            self._suspects.set_view(views, (), now_ms)
        for view in new:
            log_decision(
                "quarantine_in_force", fingerprint=view.fingerprint, remaining_ms=view.remaining_ms
            )

    def _ran_well_lately(self, fingerprint: Fingerprint) -> bool:
        with self._lock:
            success_ms = self._successes.get(fingerprint)
        return success_ms is not None and self._clock.elapsed_ms() - success_ms < RECENT_SUCCESS

    def _look(self) -> Duration:
        """Look at all attempts that wait, once at each address: one death breaks many off."""
        waiting = [self._waiting.get()]
        with contextlib.suppress(queue.Empty):
            while True:
                waiting.append(self._waiting.get_nowait())
        ended = {
            address: self._ended(address)
            for address in dict.fromkeys(attempt.address for attempt, _ in waiting)
        }
        for attempt, died_ms in waiting:
            if ended[attempt.address]:
                self._note_crash(attempt, died_ms)
            else:
                _log_ruled_out(attempt, "takes-connections")
        return Duration(0)

    def _note_crash(self, attempt: BrokenAttempt, died_ms: int) -> None:
        log_decision(
            "crash_seen",
            fingerprint=attempt.fingerprint,
            backend=attempt.backend,
            events=attempt.events,
            age_ms=self._clock.elapsed_ms() - died_ms,
        )
        crash = _Crash(
            attempt.fingerprint, attempt.backend, attempt.began_ms, died_ms, attempt.events
        )
        with self._lock:
            if len(self._crashes) < MAX_REPORTS:
                self._crashes.append(crash)


def _log_ruled_out(attempt: BrokenAttempt, reason: str) -> None:
    log_decision(
        "crash_ruled_out",
        fingerprint=attempt.fingerprint,
        backend=attempt.backend,
        events=attempt.events,
        reason=reason,
    )
