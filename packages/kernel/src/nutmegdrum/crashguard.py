"""Isolation of suspects and reporting of crashes, for all request paths of an entry VM."""

import threading
import time
from collections.abc import Callable, Iterable, Sequence
from concurrent.futures import ThreadPoolExecutor
from enum import Enum

from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId, Fingerprint, VmId
from nutmegdrum_coord.parts import Command
from nutmegdrum_coord.quarantine import (
    EARLY_TOKENS,
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
from nutmegdrum.fingerprints import generation_fingerprint, prompt_parts
from nutmegdrum.messages import BackendLost, GenerationRequest, LossKind
from nutmegdrum.sound_starts import SoundStart, SoundStarts
from nutmegdrum.suspects import CLEARED_AFTER_TOKENS, CRASHES, Suspects
from nutmegdrum.view import View

ACCUSED_MARGIN_MS = 20
"""Time added to the wait that an `Accused` answer asks for, in ms."""

_MS_PER_S = 1_000

REPLICA_BACKOFF_MS = 2_000
"""Backoff after the state replicas did not answer, in ms."""


class ReservationResult(Enum):
    """Result of reserving a backend server for a suspect.

    `RUN`: reserved; `OTHER_BACKEND`: taken, another one may be free; `WAIT`: retry later.
    """

    RUN = "run"
    OTHER_BACKEND = "other-backend"
    WAIT = "wait"


class CrashGuard:
    """Thread-safe wrapper of `Suspects` that reports to the replicated state.

    Parameters
    ----------
    propose : callable
        Commits a command and returns its answer; raises `Refusal` if the commit is not certain.
    is_down : callable
        Returns whether a backend server accepts no connections. One that breaks off an exchange
        but accepts others has not crashed.
    notify_peers : callable
        Sends a new suspect to the other entry VMs without blocking.
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
        self._backoff_until_ms = 0
        self._sound_starts = SoundStarts()
        self._suspect_parts: frozenset[Fingerprint] = frozenset()
        self._reserved: set[Fingerprint] = set()
        self._end_executor = ThreadPoolExecutor(1, thread_name_prefix="suspects")
        self._lock = threading.Lock()

    def set_view(self, view: View, received_ms: int) -> None:
        """Merge the quarantines and suspects of a view."""
        with self._lock:
            self._suspects.set_view(view.quarantines, view.suspects, received_ms)
            self._suspect_parts = frozenset(view.suspect_parts)
        self._report_sound_starts()

    def add_peer_suspects(self, suspects: Iterable[Fingerprint]) -> None:
        """Merge suspects that another entry VM reported, ahead of the next view."""
        with self._lock:
            for fingerprint in suspects:
                self._suspects.on_peer_suspect(fingerprint, self._clock.elapsed_ms())

    def check(self, fingerprint: Fingerprint, parts: Sequence[Fingerprint] = ()) -> None:
        """Raise the refusal for a request that is quarantined, or has a quarantined part.

        Raises
        ------
        Refusal
            `QUARANTINED`, not run, with the remaining time of the quarantine.
        """
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            refusals = [self._suspects.refusal(named, now_ms) for named in (fingerprint, *parts)]
        for refusal in refusals:
            if refusal is not None:
                raise refusal

    def suspected(self, fingerprint: Fingerprint) -> bool:
        """Return whether the request's next attempt must be isolated."""
        with self._lock:
            return self._suspects.suspected(fingerprint, self._clock.elapsed_ms())

    def reserve(
        self, fingerprint: Fingerprint, backend: BackendId, parts: Sequence[Fingerprint] = ()
    ) -> ReservationResult:
        """Reserve `backend` for a suspect's isolated attempt.

        Without a quorum the attempt is isolated only from this VM's own suspects.

        Raises
        ------
        Refusal
            `QUARANTINED` if the request has been quarantined in the meantime.
        """
        answer = self._propose_or_none(
            ReserveTry(fingerprint=fingerprint, vm=self._vm, backend=backend, parts=tuple(parts))
        )
        self._raise_if_quarantined(fingerprint, answer)
        if isinstance(answer, TryBusy):
            return ReservationResult.OTHER_BACKEND if answer.here else ReservationResult.WAIT
        with self._lock:
            self._reserved.add(fingerprint)
        return ReservationResult.RUN

    def on_loss(
        self,
        fingerprint: Fingerprint,
        backend: BackendId,
        kind: LossKind,
        tokens: int = 0,
        parts: Sequence[Fingerprint] = (),
    ) -> None:
        """Record the loss of an attempt after `tokens` tokens; report it if a server crashed.

        Parameters
        ----------
        parts : sequence of Fingerprint
            Shared parts of the prompt, if the answer was just beginning.

        Raises
        ------
        Refusal
            `QUARANTINED`, may have run, if the report causes the request's quarantine.
        """
        try:
            self._report_loss(fingerprint, backend, kind, tokens, tuple(parts))
        except Refusal as refusal:
            refusal.verdict = Verdict.MAY_HAVE_RUN
            raise

    def _report_loss(
        self,
        fingerprint: Fingerprint,
        backend: BackendId,
        kind: LossKind,
        tokens: int,
        parts: tuple[Fingerprint, ...],
    ) -> None:
        if kind not in CRASHES or not self._is_down(backend):
            self.on_attempt_end(fingerprint, cleared=False)
            return
        now_ms = self._clock.elapsed_ms()
        metrics.CRASH_REPORTS.inc()
        with self._lock:
            self._reserved.discard(fingerprint)
            self._suspects.on_crash(fingerprint, now_ms)
        self._notify_peers(fingerprint)
        command = ReportCrash(
            fingerprint=fingerprint, vm=self._vm, backend=backend, tokens=tokens, parts=parts
        )
        answer = self._propose_or_none(command)
        if isinstance(answer, Accused):
            self._sleep((answer.wait_ms + ACCUSED_MARGIN_MS) / _MS_PER_S)
            command = ReserveTry(fingerprint=fingerprint, vm=self._vm, backend=backend, parts=parts)
            answer = self._propose_or_none(command)
            self._propose_or_none(EndTry(fingerprint=fingerprint, vm=self._vm, cleared=False))
        if answer is None:
            with self._lock:
                self._suspects.on_report_failed(fingerprint, now_ms)
            self.check(fingerprint)
        self._raise_if_quarantined(fingerprint, answer)

    def on_attempt_end(self, fingerprint: Fingerprint, cleared: bool) -> None:
        """End a suspect's isolated attempt, if any; `cleared` means that it succeeded."""
        with self._lock:
            if fingerprint not in self._reserved:
                return
            self._reserved.discard(fingerprint)
            if cleared:
                self._suspects.on_cleared(fingerprint)
        self._end_executor.submit(
            self._propose_or_none, EndTry(fingerprint=fingerprint, vm=self._vm, cleared=cleared)
        )

    def on_progress(self, req: GenerationRequest, tokens: int, ended: bool) -> None:
        """Record that a generation's attempt has yielded `tokens` tokens so far."""
        if ended or tokens == CLEARED_AFTER_TOKENS:
            self.on_sound_start(prompt_parts(req.model, req.prompt))
        if self._reserved and (ended or tokens >= CLEARED_AFTER_TOKENS):
            self.on_attempt_end(
                generation_fingerprint(req.workspace, req.model, req.prompt), cleared=True
            )

    def on_sound_start(self, parts: Sequence[Fingerprint]) -> None:
        """Record that an answer to a prompt with `parts` got past its beginning."""
        with self._lock:
            self._sound_starts.record(parts, self._clock.elapsed_ms())
            suspected = not self._suspect_parts.isdisjoint(parts)
        if suspected:
            self._report_sound_starts()

    def _report_sound_starts(self) -> None:
        with self._lock:
            news = self._sound_starts.take_news(self._suspect_parts)
        for start in news:
            self._end_executor.submit(self._propose_sound_start, start)

    def _propose_sound_start(self, start: SoundStart) -> None:
        command = EndTry(
            fingerprint=start.part,
            vm=self._vm,
            cleared=True,
            ms_ago=self._clock.elapsed_ms() - start.at_ms,
        )
        if self._propose_or_none(command) is None:
            with self._lock:
                self._sound_starts.report_again()

    def on_stream_loss(self, req: GenerationRequest, loss: BackendLost, tokens: int) -> None:
        """Record that a generation's attempt was lost after it yielded `tokens` tokens.

        Raises
        ------
        Refusal
            `QUARANTINED` if the report causes the request's quarantine.
        """
        fingerprint = generation_fingerprint(req.workspace, req.model, req.prompt)
        parts = prompt_parts(req.model, req.prompt) if tokens <= EARLY_TOKENS else ()
        self.on_loss(fingerprint, loss.backend, loss.kind, tokens, parts)

    def _propose_or_none(self, command: Command) -> QuarantineAnswer | None:
        """Return the answer to a command, or None while the state replicas do not answer."""
        now_ms = self._clock.elapsed_ms()
        if now_ms < self._backoff_until_ms:
            return None
        try:
            return self._propose(command)
        except Refusal:
            self._backoff_until_ms = now_ms + REPLICA_BACKOFF_MS
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
