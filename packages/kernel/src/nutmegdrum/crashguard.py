"""Keeps suspects apart and reports their crashes, for all request paths of an entry VM."""

import threading
import time
from collections.abc import Callable, Iterable
from concurrent.futures import ThreadPoolExecutor
from enum import Enum

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint, VmId
from nutmegdrum_coord.parts import Command
from nutmegdrum_coord.quarantine import (
    Accused,
    EndTry,
    QuarantineAnswer,
    Quarantined,
    ReportCrash,
    ReserveTry,
    TryBusy,
)
from nutmegdrum_coord.verdict import Refusal, Verdict

from nutmegdrum import metrics
from nutmegdrum.fingerprints import generation_fingerprint
from nutmegdrum.messages import BackendLost, GenerationRequest, LossKind
from nutmegdrum.suspects import CLEARED_AFTER_TOKENS, CRASHES, Suspects
from nutmegdrum.view import View

ACCUSED_MARGIN_MS = 20
_MS_PER_S = 1_000

SILENCE_MS = 2_000
"""Time for which the state replicas are not asked again after they did not answer, in ms."""


class ReservationResult(Enum):
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
    is_down : callable
        Says whether a backend server takes no connections. One that breaks off an exchange and
        still takes others has not crashed.
    tell : callable
        Tells other entry VMs of a new suspect, without waiting.
    """

    def __init__(
        self,
        vm: VmId,
        clock: Clock,
        propose: Callable[[Command], QuarantineAnswer],
        is_down: Callable[[BackendId], bool],
        sleep: Callable[[float], object] = time.sleep,
        notify_peers: Callable[[Fingerprint], object] = lambda fingerprint: None,
    ):
        self._vm = vm
        self._is_down = is_down
        self._notify_peers = notify_peers
        self._sleep = sleep
        self._clock = clock
        self._propose = propose
        self._suspects = Suspects()
        self._silent_until_ms = 0
        self._trying: set[Fingerprint] = set()
        self._ends = ThreadPoolExecutor(1, thread_name_prefix="suspects")
        self._lock = threading.Lock()

    def set_view(self, view: View, received_ms: int) -> None:
        """Take the quarantines and suspects of a view."""
        with self._lock:
            self._suspects.set_view(view.quarantines, view.suspects, received_ms)

    def add_peer_suspects(self, suspects: Iterable[Fingerprint]) -> None:
        """Take suspects that another entry VM told of, ahead of the next view."""
        with self._lock:
            for fingerprint in suspects:
                self._suspects.on_peer_suspect(fingerprint, self._clock.elapsed_ms())

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

    def reserve(self, fingerprint: Fingerprint, backend: BackendId) -> ReservationResult:
        """Reserve `backend` for a suspect's isolated attempt.

        Without a quorum the attempt is isolated among this VM's requests only.

        Raises
        ------
        Refusal
            `QUARANTINED` if the request has been named meanwhile.
        """
        answer = self._ask(ReserveTry(fingerprint=fingerprint, vm=self._vm, backend=backend))
        self._raise_if_quarantined(fingerprint, answer)
        if isinstance(answer, TryBusy):
            return ReservationResult.OTHER_BACKEND if answer.here else ReservationResult.WAIT
        with self._lock:
            self._trying.add(fingerprint)
        return ReservationResult.RUN

    def lost(
        self, fingerprint: Fingerprint, backend: BackendId, kind: LossKind, tokens: int = 0
    ) -> None:
        """Note an attempt's loss after `tokens` tokens, and report it if a backend server died.

        Raises
        ------
        Refusal
            `QUARANTINED`, may have run, if this names the request as the culprit.
        """
        try:
            self._report_loss(fingerprint, backend, kind, tokens)
        except Refusal as refusal:
            refusal.verdict = Verdict.MAY_HAVE_RUN
            raise

    def _report_loss(
        self, fingerprint: Fingerprint, backend: BackendId, kind: LossKind, tokens: int
    ) -> None:
        if kind not in CRASHES or not self._is_down(backend):
            self.ended(fingerprint, cleared=False)
            return
        now_ms = self._clock.elapsed_ms()
        metrics.CRASH_REPORTS.inc()
        with self._lock:
            self._trying.discard(fingerprint)
            self._suspects.on_crash(fingerprint, now_ms)
        self._notify_peers(fingerprint)
        command = ReportCrash(fingerprint=fingerprint, vm=self._vm, backend=backend, tokens=tokens)
        answer = self._ask(command)
        if isinstance(answer, Accused):
            self._sleep((answer.wait_ms + ACCUSED_MARGIN_MS) / _MS_PER_S)
            command = ReserveTry(fingerprint=fingerprint, vm=self._vm, backend=backend)
            answer = self._ask(command)
            self._ask(EndTry(fingerprint=fingerprint, vm=self._vm, cleared=False))
        if answer is None:
            with self._lock:
                self._suspects.on_report_failed(fingerprint, now_ms)
            self.check(fingerprint)
        self._raise_if_quarantined(fingerprint, answer)

    def ended(self, fingerprint: Fingerprint, cleared: bool) -> None:
        """End a suspect's try, if there is one; `cleared` says that it went well."""
        with self._lock:
            if fingerprint not in self._trying:
                return
            self._trying.discard(fingerprint)
            if cleared:
                self._suspects.on_cleared(fingerprint)
        self._ends.submit(self._ask, EndTry(fingerprint=fingerprint, vm=self._vm, cleared=cleared))

    def progressed(self, req: GenerationRequest, tokens: int, ended: bool) -> None:
        """Note that a generation's attempt yielded `tokens` tokens so far."""
        if self._trying and (ended or tokens >= CLEARED_AFTER_TOKENS):
            self.ended(generation_fingerprint(req.workspace, req.model, req.prompt), cleared=True)

    def stream_lost(self, req: GenerationRequest, loss: BackendLost, tokens: int) -> None:
        """Note that a generation's attempt was lost after it yielded `tokens` tokens.

        Raises
        ------
        Refusal
            `QUARANTINED` if this names the request as the culprit.
        """
        fingerprint = generation_fingerprint(req.workspace, req.model, req.prompt)
        self.lost(fingerprint, loss.backend, loss.kind, tokens)

    def _ask(self, command: Command) -> QuarantineAnswer | None:
        """Return the answer to a command; None while the state replicas do not answer."""
        now_ms = self._clock.elapsed_ms()
        if now_ms < self._silent_until_ms:
            return None
        try:
            return self._propose(command)
        except Refusal:
            self._silent_until_ms = now_ms + SILENCE_MS
            return None

    def _raise_if_quarantined(
        self, fingerprint: Fingerprint, answer: QuarantineAnswer | None
    ) -> None:
        if not isinstance(answer, Quarantined):
            return
        metrics.QUARANTINED.inc()
        with self._lock:
            now_ms = self._clock.elapsed_ms()
            self._suspects.on_quarantined(fingerprint, answer.remaining_ms, now_ms)
        self.check(fingerprint)
