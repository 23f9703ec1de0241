"""Limits that backend servers announce in their answers, for all entry VMs together."""

import math
import re
import threading
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

import msgspec
from nutmegdrum_coord.clock import Clock
from nutmegdrum_coord.ids import BackendId
from prometheus_client import Counter, Gauge

from nutmegdrum.logs import log_change
from nutmegdrum.units import Duration, parse_count

RATE_LIMIT_HEADER = "Nutmegdrum-Rate-Limit"
"""Header of the product's own protocol with a backend server's limit in requests a second."""

MAX_REJECTED_HEADER = "Nutmegdrum-Max-Rejected"
"""Header of the product's own protocol with the requests that a server can reject in a second."""

END_REPORTED = Duration(10_000)
"""Time for which the end of a limit is passed on; longer than entry VMs report the limit itself."""

_DECIMAL = re.compile(r"[0-9]{1,12}(\.[0-9]{1,12})?")

LIMITED = Gauge("nutmegdrum_rate_limited_backends", "Backend servers with a limit in force")
INVALID = Counter("nutmegdrum_rate_limits_invalid", "Announced limits that are no number")


class ServerLimits(NamedTuple):
    """Limits of a backend server, for all entry VMs together.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it takes; None for any number.
    max_rejected : int or None
        Requests that it can reject in a second, for want of room, before it falls over; None for
        any number.
    """

    per_s: float | None = None
    max_rejected: int | None = None


NO_LIMITS = ServerLimits()


class AnnouncedLimit(msgspec.Struct, frozen=True, array_like=True):
    """Last word of a backend server about its limits.

    Attributes
    ----------
    per_s : float or None
        Requests a second that it takes from all entry VMs together; None for no limit any more.
    ms_ago : int
        Time since it was received, in ms.
    max_rejected : int or None
        Requests that it can reject in a second; None for no limit any more.
    """

    per_s: float | None
    ms_ago: int
    max_rejected: int | None = None

    @property
    def limits(self) -> ServerLimits:
        """Return the limits without their age."""
        return ServerLimits(self.per_s, self.max_rejected)


def parse_per_s(value: str) -> float | None:
    """Return the value of a rate limit's header in requests a second, or None if it is invalid."""
    if _DECIMAL.fullmatch(value.strip()) is None:
        INVALID.inc()
        return None
    per_s = float(value)
    return per_s if math.isfinite(per_s) else None


class KnownLimits:
    """Newest known limits of each backend server; thread-safe.

    A limit is in force until a later answer of the same incarnation comes without it.

    Parameters
    ----------
    log : callable
        Writes a log line.
    """

    def __init__(self, clock: Clock, log: Callable[..., None] = log_change):
        self._clock = clock
        self._log = log
        self._lock = threading.Lock()
        self._limits: dict[BackendId, tuple[ServerLimits, int]] = {}

    def on_answer(self, backend: BackendId, limits: ServerLimits) -> None:
        """Record the limits in an answer that has just arrived."""
        if limits == NO_LIMITS and backend not in self._limits:
            return
        with self._lock:
            self._record(backend, limits, self._clock.elapsed_ms())

    def on_headers(self, backend: BackendId, headers: Mapping[str, str]) -> None:
        """Record the limits in the headers of an answer of the product's own protocol."""
        per_s = headers.get(RATE_LIMIT_HEADER)
        rejected = parse_count(headers.get(MAX_REJECTED_HEADER, ""))
        limits = ServerLimits(None if per_s is None else parse_per_s(per_s), rejected)
        self.on_answer(backend, limits)

    def merge(self, announced: Mapping[BackendId, AnnouncedLimit]) -> None:
        """Record what another VM knows; the newest word about each backend server counts."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            for backend, limit in announced.items():
                self._record(backend, limit.limits, now_ms - limit.ms_ago)

    def of(self, backend: BackendId) -> ServerLimits:
        """Return the limits of a backend server."""
        limits, _ = self._limits.get(backend, (NO_LIMITS, 0))
        return limits

    def announced(self) -> dict[BackendId, AnnouncedLimit]:
        """Return the limits in force, and the ones that ended within `END_REPORTED`."""
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            return {
                backend: AnnouncedLimit(limits.per_s, now_ms - heard_ms, limits.max_rejected)
                for backend, (limits, heard_ms) in self._limits.items()
                if limits != NO_LIMITS or now_ms - heard_ms <= END_REPORTED
            }

    def retain(self, listed: Collection[BackendId]) -> None:
        """Forget backend servers that are not listed any more."""
        with self._lock:
            self._limits = {b: known for b, known in self._limits.items() if b in listed}

    def _record(self, backend: BackendId, limits: ServerLimits, heard_ms: int) -> None:
        known, known_ms = self._limits.get(backend, (NO_LIMITS, heard_ms))
        if heard_ms < known_ms:
            return
        self._limits[backend] = (limits, heard_ms)
        if limits != known:
            LIMITED.set(sum(each != NO_LIMITS for each, _ in self._limits.values()))
            self._log(
                "rate_limit",
                backend=backend,
                per_s=limits.per_s,
                max_rejected=limits.max_rejected,
                before=known.per_s,
            )
