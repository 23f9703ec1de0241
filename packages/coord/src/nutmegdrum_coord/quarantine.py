"""Replicated suspicion and quarantine of requests that crash backend servers."""

from collections import OrderedDict
from typing import Any

import msgspec

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import BackendId, Fingerprint, VmId
from nutmegdrum_coord.parts import Answer, Command, Context

SUSPICION_MS = 600_000
QUARANTINE_MS = 3_600_000
RESERVATION_MS = 5_000
DUPLICATE_REPORT_MS = 5_000
ACCUSATION_MS = 300
MAX_SUSPECTS = 10_000
MAX_QUARANTINES = 10_000
EARLY_TOKENS = 2
CRASHES_AT_ANY_POINT = 4
MAX_CRASHES_KEPT = 16
"""Newest crashes of a request that are kept; a stream may lose engine after engine midway."""
CORRELATED_DEATHS_MS = 1_000
"""Time in ms within which the deaths of a data centre's backend servers are noticed. Three crashes
are counted within twice as long, before the users' bound on crashing requests (3 s) is over."""


class ReportCrash(Command):
    """Say that a backend server died while it ran a request.

    Attributes
    ----------
    tokens : int
        Tokens that this attempt yielded before.
    began_ms_ago, died_ms_ago : int
        Time since the attempt began, and since it broke off, in ms.
    """

    fingerprint: Fingerprint
    vm: VmId
    backend: BackendId
    tokens: int = 0
    began_ms_ago: int = 0
    died_ms_ago: int = 0


class ReserveTry(Command):
    """Ask to run a suspect on a backend server that runs no other suspect."""

    fingerprint: Fingerprint
    vm: VmId
    backend: BackendId


class EndTry(Command):
    """Say that a suspect's try went well, which clears it, or was given up.

    Attributes
    ----------
    cleared : bool
        Whether the request got past the point at which its last backend server died.
    """

    fingerprint: Fingerprint
    vm: VmId
    cleared: bool


class SuspectNoted(Answer):
    """The request is a suspect, or is none any more."""


class TryGranted(Answer):
    """The backend server is kept free of other suspects for this try."""


class TryBusy(Answer):
    """Another suspect is tried there, or this one elsewhere.

    Attributes
    ----------
    here : bool
        Whether another backend server may be free.
    """

    here: bool


class Accused(Answer):
    """The request will be quarantined unless another suspect turns out to have run there.

    Attributes
    ----------
    wait_ms : int
        Time after which a `ReserveTry` tells the outcome, in ms.
    """

    wait_ms: int


class Quarantined(Answer):
    """The request is refused from now on.

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


class Quarantine:
    """Part of the replicated state that finds and holds crashing requests.

    All that a backend server ran when it died are suspects. Each suspect's next try reserves a
    backend server for itself, over all entry VMs, so that a second death there names the culprit.
    Copies of a request that were running elsewhere at its first crash hold no reservation; if one
    of them was there too, nobody is named yet. A try that gets past the point of the last crash
    clears its request.

    Parameters
    ----------
    quarantine_ms : int
        Length of a quarantine, in ms of the log's time.
    crash_limit : int or None
        Backend servers that died at the same point of a request, one after the other, after which
        it is quarantined without a reserved try; None if only such tries name a culprit. Servers
        that die together under attempts which ran side by side are one crash, as they have a cause
        of their own.
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

    def apply(self, ctx: Context, command: Any) -> QuarantineAnswer:
        """Apply one command and return its answer."""
        self._expire(ctx)
        self._quarantine_accused(ctx)
        until = self._quarantines.get(command.fingerprint)
        if until is not None:
            return Quarantined(remaining_ms=until - ctx.at)
        if isinstance(command, ReportCrash):
            return self._report(ctx, command)
        if isinstance(command, ReserveTry):
            return self._reserve(ctx.at, command)
        return self._end(command)

    def repeatedly_crashed(self) -> list[Fingerprint]:
        """Return the requests that more than one backend server died under, at the same point."""
        return [f for f, crashes in self._crashes.items() if _count_at_last_point(crashes) > 1]

    def crashes(self, fingerprint: Fingerprint) -> int:
        """Return how many crashes are counted against a request that is not in quarantine."""
        return len(self._crashes.get(fingerprint, ()))

    def suspects(self) -> list[Fingerprint]:
        """Return the requests under suspicion, of which some may have expired by now."""
        return list(self._crashes)

    def quarantines(self, at: LogMs) -> dict[Fingerprint, int]:
        """Return the requests in quarantine at log time `at`, with the remaining time in ms."""
        return {f: until - at for f, until in self._quarantines.items() if until > at}

    def snapshot(self) -> _Snapshot:
        """Return the whole state."""
        return _Snapshot(
            crashes=list(self._crashes.items()),
            tries=self._tries,
            accusations=self._accusations,
            quarantines=list(self._quarantines.items()),
        )

    def restore(self, state: bytes) -> None:
        """Replace the whole state."""
        snapshot = msgspec.msgpack.decode(state, type=_Snapshot)
        self._crashes = OrderedDict(snapshot.crashes)
        self._tries = snapshot.tries
        self._accusations = snapshot.accusations
        self._quarantines = OrderedDict(snapshot.quarantines)

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
            self._quarantine(ctx, command.fingerprint)
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
        """Return whether another suspect was lost with the same backend server just now."""
        for fingerprint, crashes in self._crashes.items():
            last = crashes[-1]
            just_now = last.backend == command.backend and at - last.at < ACCUSATION_MS
            if fingerprint != command.fingerprint and len(crashes) > 1 and just_now:
                return True
        return False

    def _drop_accusations(self, backend: BackendId) -> None:
        """Drop accusations of those that were on `backend` beside an unreserved suspect."""
        self._accusations = {f: a for f, a in self._accusations.items() if a.backend != backend}

    def _quarantine_accused(self, ctx: Context) -> None:
        due = [f for f, a in self._accusations.items() if ctx.at - a.at >= ACCUSATION_MS]
        for fingerprint in due:
            del self._accusations[fingerprint]
            self._quarantine(ctx, fingerprint)

    def _quarantine(self, ctx: Context, fingerprint: Fingerprint) -> None:
        self._quarantines[fingerprint] = LogMs(ctx.at + self._quarantine_ms)
        if len(self._quarantines) > MAX_QUARANTINES:
            self._quarantines.popitem(last=False)
        crashes = self._crashes.pop(fingerprint, [])
        backends = ", ".join(crash.backend for crash in crashes)
        ctx.audit("request quarantined", fingerprint, crashed=backends)

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
        self._tries = {b: t for b, t in self._tries.items() if t.until > ctx.at}
        while self._crashes and ctx.at - self._oldest_crash().at >= SUSPICION_MS:
            self._crashes.popitem(last=False)
        while self._quarantines and next(iter(self._quarantines.values())) <= ctx.at:
            fingerprint, _ = self._quarantines.popitem(last=False)
            ctx.audit("quarantine ended", fingerprint)

    def _oldest_crash(self) -> _Crash:
        return next(iter(self._crashes.values()))[-1]


def _is_duplicate(crash: _Crash, other: _Crash) -> bool:
    return crash.backend == other.backend and crash.at - other.at < DUPLICATE_REPORT_MS


def _count_at_last_point(crashes: list[_Crash]) -> int:
    """Return how many crashes came at the point of the last one, which counts too."""
    return sum(_same_point(crash, crashes[-1]) for crash in crashes)


def _same_point(crash: _Crash, other: _Crash) -> bool:
    early = crash.tokens <= EARLY_TOKENS and other.tokens <= EARLY_TOKENS
    return early or abs(crash.tokens - other.tokens) <= 1


def _is_correlated(crash: _Crash, earlier: _Crash) -> bool:
    overlapping = crash.began < earlier.died
    return overlapping and abs(crash.died - earlier.died) < CORRELATED_DEATHS_MS


def _is_reproduced(crashes: list[_Crash]) -> bool:
    """Return whether the last crash came where an earlier one did.

    A request that got further than before may just have met another failure. One that did so
    again and again is named nevertheless.
    """
    last = crashes[-1]
    if last.tokens <= EARLY_TOKENS or len(crashes) >= CRASHES_AT_ANY_POINT:
        return True
    return _count_at_last_point(crashes) > 1
