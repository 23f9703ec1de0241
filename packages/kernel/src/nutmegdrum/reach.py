"""Services whose backend servers this entry VM cannot reach, though another entry VM can."""

import threading

from nutmegdrum_coord.clock import Clock

from nutmegdrum.logs import log_change
from nutmegdrum.units import Duration

RETRY_PERIOD = Duration(3_000)
"""Interval at which one request tests whether a service can be reached again."""


class ServiceReach:
    """Circuit breaker for services, by the names that requests have for them; thread-safe.

    It opens when another entry VM has served a request that reached no backend server from here: a
    service that is down for all VMs leaves it closed.
    """

    def __init__(self, clock: Clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._retry_ms: dict[str, int] = {}

    def on_cut_off(self, service: str) -> None:
        """Record that another VM has served a request that reached no backend server from here."""
        with self._lock:
            opened = service not in self._retry_ms
            self._retry_ms[service] = self._clock.elapsed_ms() + RETRY_PERIOD
        if opened:
            log_change("service-cut-off", service=service)

    def on_reached(self, service: str) -> None:
        """Record that a request was served by a backend server that this VM reached."""
        with self._lock:
            closed = self._retry_ms.pop(service, None) is not None
        if closed:
            log_change("service-reached", service=service)

    def takes_request(self, service: str) -> bool:
        """Return whether this VM should send a request itself.

        While the service is cut off, one request in each retry period tests it.
        """
        now_ms = self._clock.elapsed_ms()
        with self._lock:
            retry_ms = self._retry_ms.get(service)
            if retry_ms is None:
                return True
            if now_ms < retry_ms:
                return False
            self._retry_ms[service] = now_ms + RETRY_PERIOD
            return True

    def is_cut_off(self, service: str) -> bool:
        """Return whether a service is cut off; without requests, this is unknown after a while."""
        with self._lock:
            return self._is_current(self._retry_ms.get(service))

    def is_complete(self) -> bool:
        """Return whether no service is cut off."""
        with self._lock:
            return not any(map(self._is_current, self._retry_ms.values()))

    def _is_current(self, retry_ms: int | None) -> bool:
        return retry_ms is not None and self._clock.elapsed_ms() < retry_ms + RETRY_PERIOD
