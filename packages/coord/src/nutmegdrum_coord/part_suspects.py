"""Evidence on parts of prompts that crash each backend server that begins to answer them."""

from collections import OrderedDict
from collections.abc import Sequence

import msgspec

from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import BackendId, Fingerprint

CRASHES_OF_A_PART = 3
"""Backend servers that crash under a part before it is quarantined, as for a single request."""

FIRST_REPORT_MS = 1_500
"""Time in ms after a part's second crash within which all entry VMs have been asked about it and
have answered."""

NEXT_REPORT_MS = 1_000
"""Time in ms within which they report later sound starts of a part that they are asked about."""

SUSPICION_MS = 600_000
"""Time in ms after its last crash for which a request or part remains a suspect."""

SAME_DEATH_MS = 1_000
"""Time in ms within which reports of one backend server's death, or deaths of one cause, differ."""

MAX_PART_SUSPECTS = 1_000
MAX_CRASHES_KEPT = 16
"""Newest crashes kept for each suspect; a long stream may lose many backend servers."""

MAX_REQUESTS_KEPT = 16

MAX_SHOWN = 100
"""Suspected parts that entry VMs are asked about at a time, those with the newest crashes."""


class PartCrash(msgspec.Struct, frozen=True):
    """Crash of a backend server on which answers to `requests` were beginning.

    Attributes
    ----------
    depth : int
        Position of the part in the prompt; later parts are shared by fewer requests.
    """

    backend: BackendId
    died: LogMs
    requests: tuple[Fingerprint, ...]
    depth: int = 0

    def is_at(self, backend: BackendId, died: LogMs) -> bool:
        """Return whether this is the crash of `backend` at about `died`."""
        return self.backend == backend and abs(self.died - died) < SAME_DEATH_MS


class _Record(msgspec.Struct):
    """Evidence on one part; `started` is the time of its last sound start, 0 for none."""

    crashes: list[PartCrash] = []
    started: LogMs = LogMs(0)

    def add(self, crash: PartCrash) -> bool:
        """Add a crash, or its request to a known one; return whether the crash is new."""
        for number, known in enumerate(self.crashes):
            if known.is_at(crash.backend, crash.died):
                requests = dict.fromkeys((*known.requests, *crash.requests))
                kept = tuple(requests)[:MAX_REQUESTS_KEPT]
                self.crashes[number] = msgspec.structs.replace(known, requests=kept)
                return False
        self.crashes = [*self.crashes, crash][-MAX_CRASHES_KEPT:]
        return True

    def find(self, crash: PartCrash) -> PartCrash | None:
        """Return this part's record of a crash, or None."""
        return next((c for c in self.crashes if c.is_at(crash.backend, crash.died)), None)

    def is_candidate(self) -> bool:
        """Return whether there are enough crashes since the last sound start.

        A part that has been sound before is held responsible only for several requests' crashes,
        and those of one moment count once, as they have another cause in common.
        """
        if not self.started:
            return len(self.crashes) >= CRASHES_OF_A_PART
        requests = {request for crash in self.crashes for request in crash.requests}
        moments = 0
        last = LogMs(-SAME_DEATH_MS)
        for died in sorted(crash.died for crash in self.crashes):
            if died - last >= SAME_DEATH_MS:
                moments += 1
                last = died
        return moments >= CRASHES_OF_A_PART and len(requests) > 1

    def settled(self) -> LogMs:
        """Return the log time by which all entry VMs have reported sound starts."""
        asked, newest = self.crashes[1].died, self.crashes[-1].died
        return LogMs(max(asked + FIRST_REPORT_MS, newest + NEXT_REPORT_MS))

    def rank(self) -> tuple[bool, int, int]:
        """Return the order of candidates: never sound, most crashes, latest in the prompt."""
        return not self.started, len(self.crashes), self.crashes[-1].depth


class PartsSnapshot(msgspec.Struct):
    """Encodable state of `PartSuspects`."""

    records: list[tuple[Fingerprint, _Record]] = []
    accused: dict[Fingerprint, LogMs] = {}


class PartSuspects:
    """Parts of prompts on which backend servers crashed, and the sound starts that clear them.

    A deadly part crashes every backend server that begins to answer a request with it. A request
    that was beginning on a crashed server therefore makes all its parts suspects, and one that gets
    past its beginning clears all of its parts. Of the parts with several crashes since they were
    last sound, the one that explains most crashes is named, and these no longer count for others.
    """

    def __init__(self) -> None:
        self._records: OrderedDict[Fingerprint, _Record] = OrderedDict()
        self._accused: dict[Fingerprint, LogMs] = {}

    def on_crash(
        self,
        parts: Sequence[Fingerprint],
        backend: BackendId,
        request: Fingerprint,
        died: LogMs,
    ) -> None:
        """Record a crash under a request with `parts`, and accuse those with several crashes."""
        for depth, part in enumerate(parts):
            record = self._records.setdefault(part, _Record())
            if record.started >= died:
                continue
            if record.add(PartCrash(backend, died, (request,), depth)):
                self._records.move_to_end(part)
            if record.is_candidate():
                self._accused.setdefault(part, record.settled())
        while len(self._records) > MAX_PART_SUSPECTS:
            part, _ = self._records.popitem(last=False)
            self._accused.pop(part, None)

    def on_sound_start(self, part: Fingerprint, at: LogMs) -> None:
        """Record that an answer to a request with `part` was past its beginning at `at`."""
        record = self._records.get(part)
        if record is None or at <= record.started:
            return
        record.started = at
        record.crashes = [crash for crash in record.crashes if crash.died > at]
        if not record.is_candidate():
            self._accused.pop(part, None)

    def clear(self, part: Fingerprint) -> None:
        """Drop the crashes of a part that was found innocent."""
        record = self._records.get(part)
        if record is not None:
            record.crashes = []
            self._accused.pop(part, None)

    def is_news(self, part: Fingerprint, at: LogMs) -> bool:
        """Return whether a sound start at log time `at` would change the evidence."""
        record = self._records.get(part)
        if record is None or at <= record.started:
            return False
        return not record.started or any(crash.died <= at for crash in record.crashes)

    def is_due(self, at: LogMs) -> bool:
        """Return whether an accusation is to be decided."""
        return any(due <= at for due in self._accused.values())

    def decide(self, at: LogMs) -> list[tuple[Fingerprint, list[PartCrash]]]:
        """Return the parts to be quarantined now, with the crashes that led to it.

        A part whose crashes another one may explain as well is decided again later.
        """
        due = [part for part, due in self._accused.items() if due <= at]
        named: list[tuple[Fingerprint, list[PartCrash]]] = []
        for part in due:
            del self._accused[part]
        while candidates := [part for part in due if self._records[part].is_candidate()]:
            best = max(candidates, key=lambda part: self._records[part].rank())
            due.remove(best)
            record = self._records[best]
            if self._has_rival(best, record):
                self._accused[best] = LogMs(at + NEXT_REPORT_MS)
            else:
                named.append((best, record.crashes))
                for crash in record.crashes:
                    self.forget(crash, named=best)
                due = [part for part in due if not self._came_with(part, record)]
                for part in [p for p in self._accused if self._came_with(p, record)]:
                    del self._accused[part]
        return named

    def _has_rival(self, part: Fingerprint, record: _Record) -> bool:
        """Return whether a never sound part of other requests shares all crashes of `part`."""
        return any(
            other != part
            and not rival.started
            and all(
                (shared := rival.find(crash)) is not None
                and set(shared.requests).isdisjoint(crash.requests)
                for crash in record.crashes
            )
            for other, rival in self._records.items()
        )

    def _came_with(self, part: Fingerprint, named: _Record) -> bool:
        """Return whether a part shares a crashed request with a part that has been named."""
        own = {request for crash in self._records[part].crashes for request in crash.requests}
        return any(not own.isdisjoint(crash.requests) for crash in named.crashes)

    def shown(self) -> list[Fingerprint]:
        """Return the parts with more than one crash, which entry VMs are asked about."""
        repeated = [part for part, record in self._records.items() if len(record.crashes) > 1]
        return repeated[-MAX_SHOWN:]

    def forget(self, explained: PartCrash, named: Fingerprint | None = None) -> None:
        """Remove a crash that a deadly part explains from all other parts.

        Never sound parts that came with it remain suspects, as the choice may have been wrong.

        Parameters
        ----------
        named : Fingerprint or None
            The part that explains it, whose own record stays.
        """
        for part, record in self._records.items():
            crash = record.find(explained)
            if crash is None or part == named:
                continue
            if record.started or set(crash.requests).isdisjoint(explained.requests):
                record.crashes.remove(crash)

    def expire(self, at: LogMs) -> None:
        """Drop parts without a crash or a sound start in the last `SUSPICION_MS`."""
        while self._records:
            part, record = next(iter(self._records.items()))
            last_crash = record.crashes[-1].died if record.crashes else LogMs(0)
            if at - max(last_crash, record.started) < SUSPICION_MS:
                return
            del self._records[part]
            self._accused.pop(part, None)

    def snapshot(self) -> PartsSnapshot:
        """Return the state as an object that msgspec can encode."""
        return PartsSnapshot(list(self._records.items()), self._accused)

    def restore(self, snapshot: PartsSnapshot) -> None:
        """Replace the state with that of a snapshot."""
        self._records = OrderedDict(snapshot.records)
        self._accused = snapshot.accused
