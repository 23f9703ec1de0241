"""Record of the prompts' parts whose requests were answered past their beginning."""

from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from nutmegdrum_coord.ids import Fingerprint

MAX_PARTS = 20_000
"""Parts whose last sound start is kept; the least recent ones are dropped first."""


class SoundStart(NamedTuple):
    """Part of a prompt, and the elapsed time in ms of its last sound start."""

    part: Fingerprint
    at_ms: int


class SoundStarts:
    """Last sound start of each part at this entry VM; not thread-safe."""

    def __init__(self) -> None:
        self._last: OrderedDict[Fingerprint, int] = OrderedDict()
        self._reported: dict[Fingerprint, int] = {}

    def record(self, parts: Iterable[Fingerprint], now_ms: int) -> None:
        """Record that an answer to a request with `parts` got past its beginning."""
        for part in parts:
            self._last[part] = now_ms
            self._last.move_to_end(part)
        while len(self._last) > MAX_PARTS:
            self._last.popitem(last=False)

    def take_news(self, suspects: Iterable[Fingerprint]) -> list[SoundStart]:
        """Return the sound starts of suspected parts since the last call."""
        last = {part: self._last[part] for part in suspects if part in self._last}
        news = [SoundStart(p, at) for p, at in last.items() if self._reported.get(p) != at]
        self._reported = last
        return news

    def report_again(self) -> None:
        """Return all sound starts of suspected parts at the next call, as the last was lost."""
        self._reported = {}
