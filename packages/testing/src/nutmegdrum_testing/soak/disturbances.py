"""Record of the faults that may end a request, and of what they hit."""

import math
import threading
import time
from collections.abc import Collection, Iterator
from contextlib import contextmanager

SERVERS = "servers"
"""Target of faults that hit requests at any backend server."""

AFTER_S = 3.0
"""Time in s after a fault in which it still counts, in which a daemon starts."""


def entry_target(number: int) -> str:
    """Return the target of faults that hit requests at one entry VM."""
    return f"entry {number}"


class Disturbances:
    """Times and targets of faults; thread-safe."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._number = 0
        self._times: dict[int, tuple[str, float, float]] = {}
        self._requests: set[str] = set()

    @contextmanager
    def during(self, target: str) -> Iterator[None]:
        """Record a fault of `target` for the time of a `with` block."""
        began_s = time.monotonic()
        with self._lock:
            self._number += 1
            number = self._number
            self._times[number] = (target, began_s, math.inf)
        try:
            yield
        finally:
            with self._lock:
                self._times[number] = (target, began_s, time.monotonic() + AFTER_S)

    def add_request(self, request_id: str) -> None:
        """Record a fault of one request."""
        with self._lock:
            self._requests.add(request_id)

    def hit(
        self, request_id: str, targets: Collection[str], began_s: float, ended_s: float
    ) -> bool:
        """Return whether a fault hit a request that used `targets` between two times in s."""
        with self._lock:
            return request_id in self._requests or any(
                target in targets and began_s < until_s and since_s < ended_s
                for target, since_s, until_s in self._times.values()
            )
