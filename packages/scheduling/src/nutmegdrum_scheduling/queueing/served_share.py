"""Share of requests that are served, in all and by priority."""

WINDOW_MS = 15_000
"""Interval after which older counts count half, in ms; small entry VMs see a request in seconds."""

PRIOR = 5.0
"""Served requests that are assumed at the start, so that a few refusals are no overload."""


class ServedShares:
    """Decided and served requests by rank of their priority, with exponential decay."""

    def __init__(self) -> None:
        self._decided: dict[int, float] = {}
        self._served: dict[int, float] = {}
        self._halved_ms = 0

    def on_refused(self, rank: int, now_ms: int) -> None:
        """Count a request that is refused; one that waits is not counted yet."""
        self.age(now_ms)
        self._decided[rank] = self._decided.get(rank, 0.0) + 1

    def on_served(self, rank: int, now_ms: int) -> None:
        """Count a request that is admitted."""
        self.age(now_ms)
        self._decided[rank] = self._decided.get(rank, 0.0) + 1
        self._served[rank] = self._served.get(rank, 0.0) + 1

    def age(self, now_ms: int) -> None:
        """Halve the counts once for each interval that has passed since they were halved."""
        intervals = (now_ms - self._halved_ms) // WINDOW_MS
        if intervals > 0:
            self._halved_ms = now_ms
            factor = 0.5**intervals
            self._decided = {key: count * factor for key, count in self._decided.items()}
            self._served = {key: count * factor for key, count in self._served.items()}

    def share(self, rank: int | None = None) -> float:
        """Return the share of a rank's requests, or of all, that are served."""
        if rank is not None:
            decided, served = self._decided.get(rank, 0.0), self._served.get(rank, 0.0)
        else:
            decided, served = sum(self._decided.values()), sum(self._served.values())
        return min(1.0, (served + PRIOR) / (decided + PRIOR))

    def served_before(self, rank: int) -> float:
        """Return the part of the served requests that are of more urgent ranks."""
        urgent = sum(count for other, count in self._served.items() if other < rank)
        return urgent / (PRIOR + sum(self._served.values()))

    def decided_after(self, rank: int) -> float:
        """Return the part of all requests that are of less urgent ranks."""
        later = sum(count for other, count in self._decided.items() if other > rank)
        return later / (PRIOR + sum(self._decided.values()))
