"""Replicated record of requests suspected of crashing backend servers, and their quarantine."""

from collections import OrderedDict
from collections.abc import Sequence
from typing import Any

import msgspec

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import BackendId, Fingerprint, VmId
from nutmegdrum_coord.part_suspects import (
    MAX_CRASHES_KEPT,
    SUSPICION_MS,
    PartCrash,
    PartsSnapshot,
    PartSuspects,
)
from nutmegdrum_coord.parts import Answer, Command, Context

QUARANTINE_MS = 3_600_000
RESERVATION_MS = 5_000
"""Time in ms after which the reservation of a backend server for a try expires."""
DUPLICATE_REPORT_MS = 5_000
"""Time in ms within which reports of crashes on one backend server count as one crash."""
ACCUSATION_MS = 300
"""Time in ms that an accused request waits for reports of other suspects on the same server."""
MAX_SUSPECTS = 10_000
MAX_QUARANTINES = 10_000
EARLY_TOKENS = 2
"""Crashes after at most this many tokens count as crashes at the same point."""
CRASHES_AT_ANY_POINT = 4
"""Number of crashes after which a crash of a reserved try leads to quarantine at any point."""
CORRELATED_DEATHS_MS = 1_000
"""Time in ms within which the deaths of a data centre's backend servers are detected. Three crashes
are counted within twice this time, and so within the 3 s that users allow crashing requests."""


MAX_EXPLAINED = 100
"""Crashes by quarantined parts that are kept, for reports that arrive later."""

_PART_PREFIX = "part:"


def part_fingerprint(scope: str, part: str) -> Fingerprint:
    """Return the fingerprint of a part of prompts of one model or service, `scope`."""
    return Fingerprint(f"{_PART_PREFIX}{scope}/{part}")


def is_part(fingerprint: Fingerprint) -> bool:
    """Return whether a fingerprint is that of a part of prompts, not of a request."""
    return fingerprint.startswith(_PART_PREFIX)


class ReportCrash(Command):
    """Report that a backend server died while it ran a request.

    Attributes
    ----------
    tokens : int
        Tokens that this attempt yielded before the crash.
    began_ms_ago, died_ms_ago : int
        Time since the attempt began, and since it broke off, in ms.
    parts : tuple of Fingerprint
        Shared parts of the prompt, if the answer was just beginning; see `PartSuspects`.
    """

    fingerprint: Fingerprint
    vm: VmId
    backend: BackendId
    tokens: int = 0
    began_ms_ago: int = 0
    died_ms_ago: int = 0
    parts: tuple[Fingerprint, ...] = ()


class ReserveTry(Command):
    """Reserve a backend server that runs no other suspect, to try a suspect there."""

    fingerprint: Fingerprint
    vm: VmId
    backend: BackendId
    parts: tuple[Fingerprint, ...] = ()


class EndTry(Command):
    """Report the end of a suspect's try, which clears the suspect if it succeeded.

    Attributes
    ----------
    fingerprint : Fingerprint
        The suspect: a request, or a part of prompts.
    cleared : bool
        Whether the request got past the point at which its last backend server died; False if
        the try was abandoned.
    ms_ago : int
        Time since then, in ms.
    """

    fingerprint: Fingerprint
    vm: VmId
    cleared: bool
    ms_ago: int = 0


class SuspectNoted(Answer):
    """The report was applied; the request is not in quarantine."""


class TryGranted(Answer):
    """The backend server is reserved for this suspect."""


class TryBusy(Answer):
    """The reservation was refused: another suspect is tried there, or this one elsewhere.

    Attributes
    ----------
    here : bool
        Whether only this backend server is taken, so that another one may be free.
    """

    here: bool


class Accused(Answer):
    """The request will be quarantined unless another suspect is reported from the same server.

    Attributes
    ----------
    wait_ms : int
        Time after which a `ReserveTry` returns the decision, in ms.
    """

    wait_ms: int


class Quarantined(Answer):
    """The request is in quarantine and is refused.

    Attributes
    ----------
    remaining_ms : int
        Time until the quarantine ends, in ms.
    """

    remaining_ms: int


QuarantineAnswer = SuspectNoted | TryGranted | TryBusy | Accused | Quarantined


class _Crash(msgspec.Struct, frozen=True):
    backend: BackendId
    tokens: int
    at: LogMs
    began: LogMs = LogMs(0)
    died: LogMs = LogMs(0)


class _Try(msgspec.Struct, frozen=True):
    fingerprint: Fingerprint
    vm: VmId
    until: LogMs


class _Accusation(msgspec.Struct, frozen=True):
    backend: BackendId
    at: LogMs


class _Snapshot(msgspec.Struct):
    crashes: list[tuple[Fingerprint, list[_Crash]]]
    tries: dict[BackendId, _Try]
    accusations: dict[Fingerprint, _Accusation]
    quarantines: list[tuple[Fingerprint, LogMs]]
    parts: PartsSnapshot = msgspec.field(default_factory=PartsSnapshot)
    explained: list[PartCrash] = []
    part_crashes: dict[Fingerprint, list[PartCrash]] = {}


class Quarantine:
    """Part of the replicated state that identifies and quarantines crashing requests.

    All requests that a backend server was running when it died are suspects. The next try of each
    suspect reserves a backend server across all entry VMs, so that a second death there identifies
    the request that caused it. Attempts that were already running elsewhere at the first crash
    hold no reservation; if such an attempt was on the same server, no request is quarantined yet.
    A try that gets past the point of the last crash clears its request.

    Parts of prompts are identified beside requests, since requests that differ may share a deadly
    one. Crashes under a quarantined part are not counted for the other requests on that server.

    Parameters
    ----------
    quarantine_ms : int
        Length of a quarantine, in ms of the log's time.
    crash_limit : int or None
        Number of successive crashes at the same point of a request after which it is quarantined
        without a reserved try; None if only crashes of reserved tries lead to quarantine. Backend
        servers that die together during overlapping attempts count as one crash, as such deaths
        have another cause.
    """

    name = "quarantine"
    commands = (ReportCrash, ReserveTry, EndTry)

    def __init__(self, quarantine_ms: int = QUARANTINE_MS, crash_limit: int | None = None):
        self._quarantine_ms = quarantine_ms
        self._crash_limit = crash_limit
        self._crashes: OrderedDict[Fingerprint, list[_Crash]] = OrderedDict()
        self._tries: dict[BackendId, _Try] = {}
        self._accusations: dict[Fingerprint, _Accusation] = {}
        self._quarantines: OrderedDict[Fingerprint, LogMs] = OrderedDict()
        self._parts = PartSuspects()
        self._explained: list[PartCrash] = []
        self._part_crashes: dict[Fingerprint, list[PartCrash]] = {}

    def apply(self, ctx: Context, command: Any) -> QuarantineAnswer:
        """Apply one command and return its answer."""
        self._expire(ctx)
        self._quarantine_accused(ctx)
        self._quarantine_parts(ctx)
        if isinstance(command, EndTry) and command.cleared:
            self._on_sound_start(ctx, command)
        if isinstance(command, ReportCrash):
            return self._report_crash(ctx, command)
        until = self._quarantined_until(command)
        if until is not None:
            return Quarantined(remaining_ms=until - ctx.at)
        if isinstance(command, ReserveTry):
            return self._reserve(ctx.at, command)
        return self._end(command)

    def repeatedly_crashed(self) -> list[Fingerprint]:
        """Return the requests with more than one crash at the point of the last one."""
        return [f for f, crashes in self._crashes.items() if _count_at_last_point(crashes) > 1]

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return the number of crashes recorded for a request that is not in quarantine."""
        return len(self._crashes.get(fingerprint, ()))

    def suspected_parts(self) -> list[Fingerprint]:
        """Return the parts of prompts of which the entry VMs should report sound starts."""
        quarantined = [f for f in self._quarantines if is_part(f)]
        return [*self._parts.shown(), *quarantined]

    def is_news(self, part: Fingerprint, at: LogMs) -> bool:
        """Return whether a sound start of a part at log time `at` would change the state."""
        return part in self._quarantines or self._parts.is_news(part, at)

    def is_part_due(self, at: LogMs) -> bool:
        """Return whether the next command, if applied at log time `at`, decides on a part."""
        return self._parts.is_due(at)

    def suspects(self) -> list[Fingerprint]:
        """Return all suspects; some may already have expired."""
        return list(self._crashes)

    def quarantines(self, at: LogMs) -> dict[Fingerprint, int]:
        """Return the requests in quarantine at log time `at`, with their remaining time in ms."""
        return {f: until - at for f, until in self._quarantines.items() if until > at}

    def snapshot(self) -> _Snapshot:
        """Return the state as an object that msgspec can encode."""
        return _Snapshot(
            crashes=list(self._crashes.items()),
            tries=self._tries,
            accusations=self._accusations,
            quarantines=list(self._quarantines.items()),
            parts=self._parts.snapshot(),
            explained=self._explained,
            part_crashes=self._part_crashes,
        )

    def restore(self, state: bytes) -> None:
        """Replace the state with that of an encoded snapshot."""
        snapshot = msgspec.msgpack.decode(state, type=_Snapshot)
        self._crashes = OrderedDict(snapshot.crashes)
        self._tries = snapshot.tries
        self._accusations = snapshot.accusations
        self._quarantines = OrderedDict(snapshot.quarantines)
        self._parts.restore(snapshot.parts)
        self._explained = snapshot.explained
        self._part_crashes = snapshot.part_crashes

    def _quarantined_until(self, command: Any) -> LogMs | None:
        """Return the end of the quarantine of the command's request or of a part of its prompt."""
        named = (command.fingerprint, *getattr(command, "parts", ()))
        ends = [self._quarantines[f] for f in named if f in self._quarantines]
        return max(ends, default=None)

    def _report_crash(self, ctx: Context, command: ReportCrash) -> QuarantineAnswer:
        died = LogMs(ctx.at - command.died_ms_ago)
        crash = PartCrash(command.backend, died, (command.fingerprint,))
        if any(part in self._quarantines for part in command.parts):
            self._explain(crash)
        elif any(crash.is_at(known.backend, known.died) for known in self._explained):
            return SuspectNoted()
        elif command.parts:
            self._parts.on_crash(command.parts, command.backend, command.fingerprint, died)
            self._quarantine_parts(ctx)
        until = self._quarantined_until(command)
        if until is not None:
            return Quarantined(remaining_ms=until - ctx.at)
        return self._report(ctx, command)

    def _quarantine_parts(self, ctx: Context) -> None:
        for part, crashes in self._parts.decide(ctx.at):
            self._lift_explained(ctx, crashes)
            self._quarantine(ctx, part, crashes)
            self._part_crashes[part] = crashes
            for crash in crashes:
                self._explain(crash)

    def _lift_explained(self, ctx: Context, crashes: list[PartCrash]) -> None:
        """Lift quarantines of parts that came with one that explains more than their crashes."""
        for part, theirs in list(self._part_crashes.items()):
            if len(theirs) < len(crashes) and all(
                any(crash.is_at(c.backend, c.died) for c in crashes) for crash in theirs
            ):
                self._lift(ctx, part)

    def _lift(self, ctx: Context, part: Fingerprint) -> None:
        self._part_crashes.pop(part, None)
        self._parts.clear(part)
        if self._quarantines.pop(part, None) is not None:
            ctx.audit("quarantine lifted", part)

    def _explain(self, crash: PartCrash) -> None:
        """Stop counting a crash, which a quarantined part caused, for other requests."""
        self._explained = [*self._explained, crash][-MAX_EXPLAINED:]
        self._parts.forget(crash)
        for fingerprint, crashes in list(self._crashes.items()):
            left = [c for c in crashes if not crash.is_at(c.backend, c.died)]
            if left:
                self._crashes[fingerprint] = left
            else:
                del self._crashes[fingerprint]

    def _on_sound_start(self, ctx: Context, command: EndTry) -> None:
        """Clear a part; one in quarantine that has a sound start since then was innocent."""
        part, started = command.fingerprint, LogMs(ctx.at - command.ms_ago)
        until = self._quarantines.get(part)
        self._parts.on_sound_start(part, started)
        if until is not None and is_part(part) and started > until - self._quarantine_ms:
            self._lift(ctx, part)

    def _report(self, ctx: Context, command: ReportCrash) -> QuarantineAnswer:
        crash = _Crash(
            command.backend,
            command.tokens,
            ctx.at,
            LogMs(ctx.at - command.began_ms_ago),
            LogMs(ctx.at - command.died_ms_ago),
        )
        earlier = self._crashes.pop(command.fingerprint, [])
        if self._crash_limit is not None and any(_is_correlated(crash, e) for e in earlier):
            self._crashes[command.fingerprint] = earlier
            return SuspectNoted()
        reserved_try = self._had_reservation(command)
        if not reserved_try and any(_is_duplicate(crash, other) for other in earlier):
            self._crashes[command.fingerprint] = earlier
            return SuspectNoted()
        if reserved_try:
            del self._tries[command.backend]
        crashes = [*earlier, crash][-MAX_CRASHES_KEPT:]
        self._crashes[command.fingerprint] = crashes
        lost_with_another = self._lost_with_another(command, ctx.at)
        if earlier and reserved_try and not lost_with_another and _is_reproduced(crashes):
            self._accusations[command.fingerprint] = _Accusation(command.backend, ctx.at)
            return Accused(wait_ms=ACCUSATION_MS)
        if self._reached_crash_limit(crashes):
            self._quarantine(ctx, command.fingerprint, self._crashes.pop(command.fingerprint, []))
            return Quarantined(remaining_ms=self._quarantine_ms)
        if earlier:
            self._drop_accusations(command.backend)
        if len(self._crashes) > MAX_SUSPECTS:
            self._crashes.popitem(last=False)
        return SuspectNoted()

    def _had_reservation(self, command: ReportCrash) -> bool:
        reserved = self._tries.get(command.backend)
        if reserved is None:
            return False
        return (reserved.fingerprint, reserved.vm) == (command.fingerprint, command.vm)

    def _lost_with_another(self, command: ReportCrash, at: LogMs) -> bool:
        """Return whether another suspect recently crashed on the same backend server."""
        for fingerprint, crashes in self._crashes.items():
            last = crashes[-1]
            just_now = last.backend == command.backend and at - last.at < ACCUSATION_MS
            if fingerprint != command.fingerprint and len(crashes) > 1 and just_now:
                return True
        return False

    def _drop_accusations(self, backend: BackendId) -> None:
        """Drop accusations on `backend`, as a suspect without a reservation ran there too."""
        self._accusations = {f: a for f, a in self._accusations.items() if a.backend != backend}

    def _quarantine_accused(self, ctx: Context) -> None:
        due = [f for f, a in self._accusations.items() if ctx.at - a.at >= ACCUSATION_MS]
        for fingerprint in due:
            del self._accusations[fingerprint]
            self._quarantine(ctx, fingerprint, self._crashes.pop(fingerprint, []))

    def _quarantine(
        self, ctx: Context, fingerprint: Fingerprint, crashes: Sequence[_Crash | PartCrash]
    ) -> None:
        self._quarantines[fingerprint] = LogMs(ctx.at + self._quarantine_ms)
        if len(self._quarantines) > MAX_QUARANTINES:
            self._quarantines.popitem(last=False)
        backends = ", ".join(crash.backend for crash in crashes)
        kind = "part" if is_part(fingerprint) else "request"
        ctx.audit(f"{kind} quarantined", fingerprint, crashed=backends)

    def _reached_crash_limit(self, crashes: list[_Crash]) -> bool:
        if self._crash_limit is None:
            return False
        return _count_at_last_point(crashes) >= self._crash_limit

    def _reserve(self, at: LogMs, command: ReserveTry) -> QuarantineAnswer:
        if command.fingerprint in self._accusations:
            return TryBusy(here=False)
        for backend, other in self._tries.items():
            mine = other.fingerprint == command.fingerprint
            if mine and (other.vm, backend) != (command.vm, command.backend):
                return TryBusy(here=False)
            if backend == command.backend and not mine:
                return TryBusy(here=True)
        until = LogMs(at + RESERVATION_MS)
        self._tries[command.backend] = _Try(command.fingerprint, command.vm, until)
        return TryGranted()

    def _end(self, command: EndTry) -> QuarantineAnswer:
        held = [t for t in self._tries.values() if t.fingerprint == command.fingerprint]
        if all(t.vm == command.vm for t in held):
            self._drop_tries(command.fingerprint)
            if command.cleared:
                self._crashes.pop(command.fingerprint, None)
        return SuspectNoted()

    def _drop_tries(self, fingerprint: Fingerprint) -> None:
        self._tries = {b: t for b, t in self._tries.items() if t.fingerprint != fingerprint}

    def _expire(self, ctx: Context) -> None:
        self._parts.expire(ctx.at)
        self._tries = {b: t for b, t in self._tries.items() if t.until > ctx.at}
        while self._crashes and ctx.at - self._oldest_crash().at >= SUSPICION_MS:
            self._crashes.popitem(last=False)
        while self._quarantines and next(iter(self._quarantines.values())) <= ctx.at:
            fingerprint, _ = self._quarantines.popitem(last=False)
            self._part_crashes.pop(fingerprint, None)
            ctx.audit("quarantine ended", fingerprint)

    def _oldest_crash(self) -> _Crash:
        return next(iter(self._crashes.values()))[-1]


def _is_duplicate(crash: _Crash, other: _Crash) -> bool:
    return crash.backend == other.backend and crash.at - other.at < DUPLICATE_REPORT_MS


def _count_at_last_point(crashes: list[_Crash]) -> int:
    """Return the number of crashes at the same point as the last one, itself included."""
    return sum(_same_point(crash, crashes[-1]) for crash in crashes)


def _same_point(crash: _Crash, other: _Crash) -> bool:
    early = crash.tokens <= EARLY_TOKENS and other.tokens <= EARLY_TOKENS
    return early or abs(crash.tokens - other.tokens) <= 1


def _is_correlated(crash: _Crash, earlier: _Crash) -> bool:
    overlapping = crash.began < earlier.died
    return overlapping and abs(crash.died - earlier.died) < CORRELATED_DEATHS_MS


def _is_reproduced(crashes: list[_Crash]) -> bool:
    """Return whether the last crash repeats an earlier one, or there were too many crashes.

    A request that got further than before may have met an unrelated failure. After
    `CRASHES_AT_ANY_POINT` crashes it is held responsible nevertheless.
    """
    last = crashes[-1]
    if last.tokens <= EARLY_TOKENS or len(crashes) >= CRASHES_AT_ANY_POINT:
        return True
    return _count_at_last_point(crashes) > 1
