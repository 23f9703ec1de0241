"""Keeps suspects apart and reports their crashes, for all request paths of an entry VM."""

import threading
from collections.abc import Callable
from enum import Enum

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint, VmId
from nutmegdrum_coord.parts import Command
from nutmegdrum_coord.quarantine import (
    EndTry,
    QuarantineAnswer,
    Quarantined,
    ReportCrash,
    ReserveTry,
    TryBusy,
)
from nutmegdrum_coord.verdict import Refusal

from nutmegdrum.messages import LossKind
from nutmegdrum.suspects import CLEARED_AFTER_TOKENS, CRASHES, Suspects
from nutmegdrum.view import View


class TryStep(Enum):
    """What a request path does with the backend server that routing chose."""

    RUN = "run"
    OTHER_BACKEND = "other-backend"
    WAIT = "wait"


class CrashGuard:
    """Thread-safe shell of `Suspects` that talks to the replicated state.

    Parameters
    ----------
    propose : callable
        Commits a command and returns its answer; raises `Refusal` if that is not certain.
    """

    def __init__(self, vm: VmId, clock: Clock, propose: Callable[[Command], QuarantineAnswer]):
        self._vm = vm
        self._clock = clock
        self._propose = propose
        self._suspects = Suspects()
        self._lock = threading.Lock()

    def set_view(self, view: View, received_ms: int) -> None:
        """Take the quarantines and suspects of a view."""
        with self._lock:
            self._suspects.set_view(view.quarantines, view.suspects, received_ms)

    def check(self, fingerprint: Fingerprint) -> None:
        """Refuse a request that is in quarantine.

        Raises
        ------
        Refusal
            `QUARANTINED`, not run, with the time that the quarantine lasts.
        """
        with self._lock:
            refusal = self._suspects.refusal(fingerprint, self._clock.elapsed_ms())
        if refusal is not None:
            raise refusal

    def suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request's next attempt must be isolated."""
        with self._lock:
            return self._suspects.suspected(fingerprint, self._clock.elapsed_ms())

    def reserve(self, fingerprint: Fingerprint, backend: BackendId) -> TryStep:
        """Reserve `backend` for a suspect's isolated attempt.

        Without a quorum the attempt is isolated among this VM's requests only.

        Raises
        ------
        Refusal
            `QUARANTINED` if the request has been named meanwhile.
        """
        command = ReserveTry(fingerprint=fingerprint, vm=self._vm, backend=backend)
        answer = self._ask(command)
        self._raise_if_quarantined(fingerprint, answer)
        if isinstance(answer, TryBusy):
            return TryStep.OTHER_BACKEND if answer.here else TryStep.WAIT
        return TryStep.RUN

    def lost(
        self, fingerprint: Fingerprint, backend: BackendId, kind: LossKind, tokens: int
    ) -> None:
        """Report an attempt's loss, if a backend server died; `tokens` is what the attempt yielded.

        Raises
        ------
        Refusal
            `QUARANTINED` if this names the request as the culprit.
        """
        if kind not in CRASHES:
            return
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            self._suspects.on_crash(fingerprint, now_ms)
        command = ReportCrash(fingerprint=fingerprint, vm=self._vm, backend=backend, tokens=tokens)
        answer = self._ask(command)
        if answer is None:
            with self._lock:
                self._suspects.on_report_failed(fingerprint, now_ms)
            self.check(fingerprint)
        self._raise_if_quarantined(fingerprint, answer)

    def progressed(self, fingerprint: Fingerprint, tokens: int) -> bool:
        """Return whether an isolated attempt of `tokens` tokens has shown itself harmless."""
        return tokens >= CLEARED_AFTER_TOKENS

    def ended(self, fingerprint: Fingerprint, cleared: bool) -> None:
        """End an isolated attempt; `cleared` says that it finished or progressed."""
        if cleared:
            with self._lock:
                self._suspects.on_cleared(fingerprint)
        self._ask(EndTry(fingerprint=fingerprint, vm=self._vm, cleared=cleared))

    def _ask(self, command: Command) -> QuarantineAnswer | None:
        try:
            return self._propose(command)
        except Refusal:
            return None

    def _raise_if_quarantined(
        self, fingerprint: Fingerprint, answer: QuarantineAnswer | None
    ) -> None:
        if not isinstance(answer, Quarantined):
            return
        with self._lock:
            now_ms = self._clock.elapsed_ms()
            self._suspects.on_quarantined(fingerprint, answer.remaining_ms, now_ms)
        self.check(fingerprint)
