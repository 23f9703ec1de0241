"""Detection of requests that crash backend servers, on one entry VM.

Such a request crashes each backend server that runs it and may be resent at any entry VM. An
attempt that broke off is reported to the state leader, with the number of events received, if its
backend server then accepts no connections. The replicated state quarantines a request if several
backend servers crashed at the same point while running it; all entry VMs then refuse the request.
A successful attempt clears its request of suspicion.
"""

import contextlib
import queue
import threading
from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from nutmegdrum.probes import has_ended
from nutmegdrum.sound_starts import SoundStarts
from nutmegdrum.suspects import Suspects
from nutmegdrum.units import Address, Duration
from nutmegdrum.view import QuarantineView
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint
from nutmegdrum_coord.quarantine import EARLY_TOKENS
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum_relay.decisions import log_decision
from nutmegdrum_relay.loop import Loop
from nutmegdrum_relay.running import BeginningAttempts
from nutmegdrum_relay.views import CrashReport, Quarantined, SoundPart

PROBE_TIMEOUT = Duration(100)
"""Time-out of the connection that probes for a crash; several round trips."""

SETTLE_TIME = Duration(100)
"""Time within which the operating system closes all sockets of a crashed process, the listener
included; see docs/design/crashing-requests.md, limits."""

MAX_QUEUED_PROBES = 64
"""Most broken attempts queued for a probe; more break off at once only if many servers crash
together, which no single request causes."""

MAX_REPORTS = 256
"""Most crashes, and most cleared requests, that wait to be reported."""

RECENT_SUCCESS = Duration(10_000)
"""Time for which a success clears a request: a frequent request is in progress on every server that
another request crashes, and has succeeded elsewhere just before."""

BEGINNING = Duration(500)
"""Time after its first event during which an answer is at its beginning; several events."""

MAX_SUCCESSES = 10_000
"""Requests whose last success is kept; an entry VM completes fewer within `RECENT_SUCCESS`."""


class BrokenAttempt(NamedTuple):
    """Attempt that broke off before its end.

    Attributes
    ----------
    sent_ms : int
        Elapsed time in ms when it was sent.
    events : int
        Events of its stream received by then.
    first_event_ms : int or None
        Elapsed time in ms when its first event arrived; None if none did.
    parts : tuple of Fingerprint
        Parts of its prompt that other requests may share.
    """

    fingerprint: Fingerprint
    backend: BackendId
    address: Address
    sent_ms: int
    events: int = 0
    first_event_ms: int | None = None
    parts: tuple[Fingerprint, ...] = ()

    def wrote_ms(self, died_ms: int) -> int:
        """Return the time in ms from its first event to its end; 0 if it had no event."""
        return 0 if self.first_event_ms is None else died_ms - self.first_event_ms

    def was_beginning(self, died_ms: int) -> bool:
        """Return whether its answer was just beginning when it broke off."""
        return self.events <= EARLY_TOKENS or self.wrote_ms(died_ms) < BEGINNING


class _Crash(NamedTuple):
    fingerprint: Fingerprint
    backend: BackendId
    sent_ms: int
    died_ms: int
    events: int
    parts: tuple[Fingerprint, ...] = ()


def server_has_ended(address: Address) -> bool:
    """Return whether a backend server has ended or is ending."""
    return has_ended(address, int(PROBE_TIMEOUT), int(SETTLE_TIME))


class CrashWatch:
    """Reports crashes and refuses quarantined requests on this entry VM; thread-safe.

    Parameters
    ----------
    ended : callable
        Returns whether the backend server at an address has ended.

    Attributes
    ----------
    beginning : BeginningAttempts
        Attempts that a new quarantine may abort.
    """

    def __init__(self, clock: Clock, ended: Callable[[Address], bool] = server_has_ended):
        self._clock = clock
        self._ended = ended
        self.beginning = BeginningAttempts()
        self._lock = threading.Lock()
        self._suspects = Suspects()
        self._leader_suspects: frozenset[Fingerprint] = frozenset()
        self._crashes: list[_Crash] = []
        self._cleared: list[Fingerprint] = []
        self._successes: OrderedDict[Fingerprint, int] = OrderedDict()
        self._sound_starts = SoundStarts()
        self._suspect_parts: tuple[Fingerprint, ...] = ()
        self._waiting: queue.Queue[tuple[BrokenAttempt, int]] = queue.Queue(MAX_QUEUED_PROBES)
        self._loop = Loop("crashes", self._probe_waiting)
        self.start = self._loop.start
        self.stop = self._loop.stop

    def check(
        self, fingerprint: Fingerprint, request: str, parts: Sequence[Fingerprint] = ()
    ) -> None:
        """Raise a refusal if the request or a part of its prompt is quarantined.

        Raises
        ------
        Refusal
            `QUARANTINED`, not run.
        """
        for named in (fingerprint, *parts):
            refusal = self._refusal(named)
            if refusal is not None:
                log_decision("quarantined_request", request=request, fingerprint=named)
                raise refusal

    def _refusal(self, fingerprint: Fingerprint) -> Refusal | None:
        with self._lock:
            return self._suspects.refusal(fingerprint, self._clock.elapsed_ms())

    def on_broken(self, attempt: BrokenAttempt) -> None:
        """Queue a probe whether the backend server of a broken attempt has crashed."""
        if self._succeeded_recently(attempt.fingerprint):
            _log_ruled_out(attempt, "ran-well-lately")
            return
        try:
            self._waiting.put_nowait((attempt, self._clock.elapsed_ms()))
        except queue.Full:
            _log_ruled_out(attempt, "not-looked-at")

    def on_success(self, fingerprint: Fingerprint) -> None:
        """Record that a request succeeded; clear it if it is a suspect."""
        with self._lock:
            self._successes[fingerprint] = self._clock.elapsed_ms()
            self._successes.move_to_end(fingerprint)
            if len(self._successes) > MAX_SUCCESSES:
                self._successes.popitem(last=False)
            if fingerprint not in self._leader_suspects:
                return
            self._leader_suspects -= {fingerprint}
            if len(self._cleared) < MAX_REPORTS:
                self._cleared.append(fingerprint)

    def on_sound_start(self, parts: Iterable[Fingerprint]) -> None:
        """Record that an answer to a request whose prompt has `parts` got past its beginning."""
        with self._lock:
            self._sound_starts.record(parts, self._clock.elapsed_ms())

    def take_sound_parts(self) -> tuple[SoundPart, ...]:
        """Return the suspected parts with sound starts that were not reported yet."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            news = self._sound_starts.take_news(self._suspect_parts)
        return tuple(SoundPart(start.part, now_ms - start.at_ms) for start in news)

    def take_reports(self) -> tuple[tuple[CrashReport, ...], tuple[Fingerprint, ...]]:
        """Remove and return the crashes and the cleared requests to report to the leader."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            unreported, self._crashes = self._crashes, []
            cleared, self._cleared = self._cleared, []
        crashes = (
            CrashReport(
                crash.fingerprint,
                crash.backend,
                now_ms - crash.sent_ms,
                now_ms - crash.died_ms,
                crash.events,
                crash.parts,
            )
            for crash in unreported
        )
        return tuple(crashes), tuple(cleared)

    def requeue(
        self, crashes: Iterable[CrashReport], cleared: Iterable[Fingerprint], made_ms: int
    ) -> None:
        """Put back the contents of a report that no leader received, for the next one.

        Parameters
        ----------
        made_ms : int
            Elapsed time in ms at which the report was made.
        """
        requeued = [
            _Crash(
                c.fingerprint,
                c.backend,
                made_ms - c.began_ms_ago,
                made_ms - c.died_ms_ago,
                c.events,
                c.parts,
            )
            for c in crashes
        ]
        with self._lock:
            self._crashes = [*requeued, *self._crashes][:MAX_REPORTS]
            self._cleared = [*cleared, *self._cleared][:MAX_REPORTS]
            self._sound_starts.report_again()

    def set_view(
        self,
        quarantined: Iterable[Quarantined],
        suspects: Iterable[Fingerprint],
        suspect_parts: Iterable[Fingerprint] = (),
    ) -> None:
        """Apply the quarantines, suspects and suspected parts that the state leader sent."""
        views = [
            QuarantineView(fingerprint=q.fingerprint, remaining_ms=q.remaining_ms)
            for q in quarantined
        ]
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._leader_suspects = frozenset(suspects)
            self._suspect_parts = tuple(suspect_parts)
            new = [q for q in views if self._suspects.refusal(q.fingerprint, now_ms) is None]
            self._suspects.set_view(views, (), now_ms)
        for view in new:
            log_decision(
                "quarantine_in_force",
                fingerprint=view.fingerprint,
                remaining_ms=view.remaining_ms,
                aborted=self.beginning.abort(view.fingerprint),
            )

    def _succeeded_recently(self, fingerprint: Fingerprint) -> bool:
        with self._lock:
            success_ms = self._successes.get(fingerprint)
        return success_ms is not None and self._clock.elapsed_ms() - success_ms < RECENT_SUCCESS

    def _probe_waiting(self) -> Duration:
        """Probe each address of the queued attempts once, as one crash breaks many attempts."""
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
                self._record_crash(attempt, died_ms)
            else:
                _log_ruled_out(attempt, "takes-connections")
        return Duration(0)

    def _record_crash(self, attempt: BrokenAttempt, died_ms: int) -> None:
        log_decision(
            "crash_seen",
            fingerprint=attempt.fingerprint,
            backend=attempt.backend,
            parts=attempt.parts,
            events=attempt.events,
            wrote_ms=attempt.wrote_ms(died_ms),
            age_ms=self._clock.elapsed_ms() - died_ms,
        )
        parts = attempt.parts if attempt.was_beginning(died_ms) else ()
        crash = _Crash(
            attempt.fingerprint, attempt.backend, attempt.sent_ms, died_ms, attempt.events, parts
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
