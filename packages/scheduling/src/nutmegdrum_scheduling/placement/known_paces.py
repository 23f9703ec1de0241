"""What an entry VM knows of servers' paces, and the samples that it has not sent yet."""

import threading
from collections import deque
from collections.abc import Iterable

from nutmegdrum_coord.ids import BackendId

from nutmegdrum_scheduling.placement.paces import NUMBERS_OF_LEADER, Paces, PaceSample

MAX_SAMPLES = 16
"""Samples that wait for the next report at most, some 40 bytes each; the newest ones are kept."""


class KnownPaces:
    """Paces from the leader, and samples for it; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._samples: deque[PaceSample] = deque(maxlen=MAX_SAMPLES)
        self._paces = Paces()
        self._repeated: dict[BackendId, int] = {}

    @property
    def number(self) -> int:
        """Return the number of the known paces; 0 to be told all of them."""
        return 0 if self._repeated else self._paces.number

    def add(self, sample: PaceSample) -> None:
        """Add a sample to the next report; the oldest one is dropped if there are too many."""
        with self._lock:
            self._samples.append(sample)

    def take(self) -> tuple[tuple[PaceSample, ...], dict[BackendId, int]]:
        """Return the samples to send, and the paces to repeat to a new leader."""
        with self._lock:
            samples = tuple(self._samples)
            self._samples.clear()
            return samples, self._repeated

    def requeue(self, samples: Iterable[PaceSample]) -> None:
        """Put back samples of a report that no leader has answered."""
        with self._lock:
            later = tuple(self._samples)
            self._samples.clear()
            self._samples.extend((*samples, *later))

    def on_answer(self, paces: Paces | None, repeated: dict[BackendId, int]) -> Paces:
        """Apply a leader's answer, and return the paces that are in force.

        A new leader knows nothing. Until it has answered a report that repeats what this VM knows,
        the known paces stay in force for the servers that it does not name.

        Parameters
        ----------
        paces : Paces or None
            The leader's paces; None if they are those that this VM has.
        repeated : dict
            Paces that the answered report repeated.
        """
        with self._lock:
            if paces is None:
                return self._paces
            leader = paces.number // NUMBERS_OF_LEADER
            known = self._paces.percent
            if known and leader != self._paces.number // NUMBERS_OF_LEADER:
                self._repeated = known
            elif repeated:
                self._repeated = {}
            self._paces = Paces(paces.number, {**self._repeated, **paces.percent})
            return self._paces
