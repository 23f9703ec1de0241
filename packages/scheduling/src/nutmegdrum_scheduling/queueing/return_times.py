"""Times at which refused callers should return, so that the servers can sustain their return."""

import random
from collections import OrderedDict
from collections.abc import Hashable

MIN_RETRY_MS = 50
"""Shortest backoff hint, in ms; about the time that an answer and a new request take."""

HINT_DIVISOR = 3
"""Divisor of the time that a caller has left, which gives the longest hint that it honours."""

FIRST_RETURN, LATER_RETURN, RETURN_SPREAD = 0.5, 0.75, 0.25
"""Bands of the longest hint for the most urgent rank and for others, if no capacity is expected."""

EARLY_MS = 20
"""Time by which a caller may return early because of its own clock and rounding, in ms."""

GRACE_MS = 1_000
"""Time after the due time for which a returning request keeps its place, in ms."""

MAX_BOOKED = 2_000
"""Contents whose returns are kept; the oldest are dropped beyond it."""

MAX_PER_CONTENT = 4
"""Returns that are kept for one content. Several callers may ask for the same, but one that asks
again and again must not be expected as often."""


class ReturnTimes:
    """Booked returns of refused requests.

    The bookings of one rank follow each other at the rate at which capacity becomes free, after
    those of more urgent ranks. If all callers returned after the same time, they would find the
    servers full again.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._next_ms: dict[int, float] = {}
        self._booked: OrderedDict[Hashable, tuple[int, ...]] = OrderedDict()

    def book(
        self,
        identity: Hashable,
        rank: int,
        earliest_ms: float,
        gap_ms: float,
        left_ms: int,
        now_ms: int,
    ) -> int:
        """Book the return of a refused request and return its backoff hint in ms.

        Parameters
        ----------
        identity : Hashable
            Content of the request, by which its return is recognized.
        earliest_ms : float
            Elapsed time in ms at which capacity is expected for it.
        gap_ms : float
            Time in which the capacity for one such request becomes free, in ms.
        left_ms : int
            Time that the caller has left, in ms.
        """
        booked = [ms for other, ms in self._next_ms.items() if other <= rank]
        start_ms = max([earliest_ms, now_ms + MIN_RETRY_MS, *booked])
        hint = int(start_ms - now_ms + gap_ms * self._rng.random())
        longest = left_ms // HINT_DIVISOR
        if hint > longest:
            # Its caller would not wait for its turn; more urgent ones still return before others.
            part = FIRST_RETURN if rank == 0 else LATER_RETURN
            hint = int(longest * (part + RETURN_SPREAD * self._rng.random()))
        else:
            self._next_ms[rank] = start_ms + gap_ms
        hint = max(MIN_RETRY_MS, hint)
        self._expect(identity, now_ms + hint, now_ms)
        return hint

    def early_by(self, identity: Hashable, now_ms: int) -> int:
        """Return the time in ms by which a request is back too early; 0 if it is not."""
        due = self._due(identity, now_ms)
        if not due or due[0] - EARLY_MS <= now_ms:
            return 0
        return due[0] - now_ms

    def on_early(self, identity: Hashable, early_ms: int, now_ms: int) -> None:
        """Expect a request that came too early, perhaps of another caller, when it is told to."""
        self._expect(identity, now_ms + early_ms, now_ms)

    def take(self, identity: Hashable, now_ms: int) -> bool:
        """Drop a request's first return, and return whether it came back when it was due."""
        due = self._due(identity, now_ms)
        self._booked.pop(identity, None)
        if due[1:]:
            self._booked[identity] = due[1:]
        return bool(due) and due[0] - EARLY_MS <= now_ms

    def booked(self, now_ms: int) -> int:
        """Return the number of returns that are still expected."""
        expected = ((identity, self._due(identity, now_ms)) for identity in self._booked)
        self._booked = OrderedDict((identity, due) for identity, due in expected if due)
        return sum(map(len, self._booked.values()))

    def _due(self, identity: Hashable, now_ms: int) -> tuple[int, ...]:
        """Return the times at which requests of this content are still expected, in order."""
        return tuple(ms for ms in self._booked.get(identity, ()) if ms + GRACE_MS > now_ms)

    def _expect(self, identity: Hashable, due_ms: int, now_ms: int) -> None:
        due = sorted((*self._due(identity, now_ms), due_ms))
        self._booked.pop(identity, None)
        self._booked[identity] = tuple(due[:MAX_PER_CONTENT])
        while len(self._booked) > MAX_BOOKED:
            self._booked.popitem(last=False)
