"""Evidence on parts of prompts that crash each backend server that begins to answer them."""

from collections import OrderedDict
from collections.abc import Callable, Iterable, Sequence

import msgspec

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import BackendId, Fingerprint

CRASHES_OF_A_PART = 3
"""Backend servers that crash under a part before it is quarantined, as for a single request."""

SETTLE_MS = 1_500
"""Time in ms after a part's second crash for reports of sound starts from all entry VMs."""

SUSPICION_MS = 600_000
"""Time in ms after its last crash for which a part remains a suspect."""

SAME_DEATH_MS = 1_000
"""Difference in ms up to which two times of death of one backend server are the same."""

MAX_PART_SUSPECTS = 1_000
MAX_CRASHES_KEPT = 16

MAX_SHOWN = 100
"""Suspected parts that entry VMs are asked about at a time, those with the newest crashes."""


class PartCrash(msgspec.Struct, frozen=True):
    """Crash of a backend server on which an answer to `request` was beginning."""

    backend: BackendId
    request: Fingerprint
    died: LogMs

    def is_at(self, backend: BackendId, died: LogMs) -> bool:
        """Return whether this is the crash of `backend` at about `died`."""
        return self.backend == backend and abs(self.died - died) < SAME_DEATH_MS


class _Record(msgspec.Struct):
    """Evidence on one part; `started` is the time of its last sound start, 0 for none."""

    crashes: list[PartCrash] = []
    started: LogMs = LogMs(0)


class _Accusation(msgspec.Struct, frozen=True):
    """Shared parts of a request whose backend server crashed, one of which is to be quarantined."""

    parts: tuple[Fingerprint, ...]
    due: LogMs


class PartsSnapshot(msgspec.Struct):
    """Encodable state of `PartSuspects`."""

    records: list[tuple[Fingerprint, _Record]] = []
    accusations: list[_Accusation] = []


class PartSuspects:
    """Parts of prompts on which backend servers crashed, and the sound starts that clear them.

    A deadly part crashes every backend server that begins to answer a request with it. A request
    that was beginning on a crashed server therefore makes all its parts suspects, and one that gets
    past its beginning clears all of its parts. Parts that a deadly one comes with are cleared by
    the sound requests that share them.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[Fingerprint, _Record] = OrderedDict()
        self._accusations: list[_Accusation] = []

    def on_crash(self, at: LogMs, parts: tuple[Fingerprint, ...], crash: PartCrash) -> None:
        """Record a crash under a request with `parts`; accuse them if it is one of several."""
        for part in parts:
            record = self._records.setdefault(part, _Record())
            known = any(earlier.is_at(crash.backend, crash.died) for earlier in record.crashes)
            if not known and record.started < crash.died:
                record.crashes = [*record.crashes, crash][-MAX_CRASHES_KEPT:]
                self._records.move_to_end(part)
        while len(self._records) > MAX_PART_SUSPECTS:
            self._records.popitem(last=False)
        candidates = self._candidates(parts)
        if candidates and all(accused.parts != parts for accused in self._accusations):
            second = min(self._records[part].crashes[1].died for part in candidates)
            self._accusations.append(_Accusation(parts, max(at, LogMs(second + SETTLE_MS))))

    def on_sound_start(self, part: Fingerprint, at: LogMs) -> None:
        """Record that an answer to a request with `part` was past its beginning at `at`."""
        record = self._records.get(part)
        if record is not None and at > record.started:
            record.started = at
            record.crashes = [crash for crash in record.crashes if crash.died > at]

    def is_news(self, part: Fingerprint, at: LogMs) -> bool:
        """Return whether a sound start at log time `at` would change the evidence."""
        record = self._records.get(part)
        if record is None or at <= record.started:
            return False
        return not record.started or any(crash.died <= at for crash in record.crashes)

    def is_due(self, at: LogMs) -> bool:
        """Return whether an accusation is to be decided."""
        return any(accused.due <= at for accused in self._accusations)

    def decide(self, at: LogMs) -> list[tuple[Fingerprint, list[PartCrash]]]:
        """Return the parts to be quarantined now, with the crashes that led to it."""
        due = [accused for accused in self._accusations if accused.due <= at]
        self._accusations = [accused for accused in self._accusations if accused.due > at]
        named: dict[Fingerprint, list[PartCrash]] = {}
        for accused in due:
            candidates = self._candidates(accused.parts)
            if candidates and not any(part in named for part in accused.parts):
                part = max(candidates, key=self._rank(accused.parts))
                named[part] = self._records[part].crashes
        return list(named.items())

    def shown(self) -> list[Fingerprint]:
        """Return the parts with more than one crash, which entry VMs are asked about."""
        repeated = [part for part, record in self._records.items() if len(record.crashes) > 1]
        return repeated[-MAX_SHOWN:]

    def forget(self, explained: PartCrash) -> None:
        """Remove a crash that a deadly part explains from the parts of other requests.

        The parts that came with the deadly one remain suspects until they are cleared.
        """
        for record in self._records.values():
            record.crashes = [
                crash
                for crash in record.crashes
                if crash.request == explained.request
                or not crash.is_at(explained.backend, explained.died)
            ]

    def expire(self, at: LogMs) -> None:
        """Drop parts without a crash or a sound start in the last `SUSPICION_MS`."""
        while self._records:
            part, record = next(iter(self._records.items()))
            last_crash = record.crashes[-1].died if record.crashes else LogMs(0)
            if at - max(last_crash, record.started) < SUSPICION_MS:
                return
            del self._records[part]

    def snapshot(self) -> PartsSnapshot:
        """Return the state as an object that msgspec can encode."""
        return PartsSnapshot(list(self._records.items()), self._accusations)

    def restore(self, snapshot: PartsSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self._records = OrderedDict(snapshot.records)
        self._accusations = snapshot.accusations

    def _candidates(self, parts: Iterable[Fingerprint]) -> list[Fingerprint]:
        """Return the parts with enough crashes since they were last sound.

        A part that has been sound before is held responsible only for several requests' crashes,
        as a single one may crash servers by itself.
        """
        return [part for part in parts if _is_candidate(self._records.get(part))]

    def _rank(self, parts: Sequence[Fingerprint]) -> Callable[[Fingerprint], tuple]:
        """Return the order of candidates: most crashes, never sound, latest in the prompt.

        Later parts are shared by fewer requests, so that a wrong choice refuses fewer of them.
        """

        def rank(part: Fingerprint) -> tuple[int, bool, int]:
            record = self._records[part]
            return len(record.crashes), not record.started, parts.index(part)

        return rank


def _is_candidate(record: _Record | None) -> bool:
    if record is None or len(record.crashes) < CRASHES_OF_A_PART:
        return False
    return not record.started or len({crash.request for crash in record.crashes}) > 1
