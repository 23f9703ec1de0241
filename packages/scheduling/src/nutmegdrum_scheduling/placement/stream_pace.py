"""Pace of one stream, from the times of its events."""

from dataclasses import dataclass, field
from statistics import median

BLOCK_EVENTS = 4
"""Events of one block at least. Events that arrive together would look fast one by one."""

MIN_BLOCKS = 3
"""Blocks without which a stream has no pace."""

STEP_GROWTH = 0.02
"""Growth of an engine's decode step with each generation beside, relative to its step without."""


@dataclass
class StreamPace:
    """Times between the events of one stream.

    The median over blocks of events is taken, as an engine that prefills another prompt makes few
    events in that time, each of them late.

    Parameters
    ----------
    beside : float
        Generations that run beside the stream.
    alone : bool
        Whether no other prompt was known to await prefill when it was sent.
    warming_up : bool
        Whether its server was still slow after its start when it was sent.
    """

    beside: float = 0.0
    alone: bool = False
    warming_up: bool = False
    _last_ms: int | None = None
    _block_ms: int = 0
    _block_events: int = 0
    _gaps: list[float] = field(default_factory=list)

    def on_chunk(self, now_ms: int, events: int) -> None:
        """Record that a chunk has arrived.

        Parameters
        ----------
        events : int
            Events of the stream that were complete before this chunk.
        """
        arrived_ms, self._last_ms = self._last_ms, now_ms
        if arrived_ms is None or not events:
            return
        if not self._block_events:
            self._block_ms, self._block_events = arrived_ms, events
        elif events - self._block_events >= BLOCK_EVENTS:
            self._gaps.append((arrived_ms - self._block_ms) / (events - self._block_events))
            self._block_ms, self._block_events = arrived_ms, events

    def event_time(self) -> float | None:
        """Return the time of an event in ms, as if the stream ran alone; None if not known."""
        if len(self._gaps) < MIN_BLOCKS:
            return None
        usual = median(self._gaps)
        return usual / (1 + STEP_GROWTH * self.beside) if usual > 0 else None
