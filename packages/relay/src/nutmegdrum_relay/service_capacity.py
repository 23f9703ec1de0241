"""Capacity of a service's servers, and the work of other entry VMs there, as one VM sees them."""

from collections.abc import Collection

from nutmegdrum_scheduling.placement.choice import Demand
from nutmegdrum_scheduling.queueing.service_load import Amount, ServiceLoad

from nutmegdrum_relay.backends import LOAD_VALID, Backend, Health
from nutmegdrum_relay.documents import Service

NEED_WEIGHT = 0.1
"""Weight of the newest request in the moving average of requests' tokens."""


class ServiceCapacity:
    """Capacity and use of one service; not thread-safe.

    Reports tell the tokens of other entry VMs' requests but not their number, which is estimated
    from the mean tokens of this VM's requests. Servers that are no engines report their requests.
    """

    def __init__(self) -> None:
        self._service: Service | None = None
        self._mean_tokens = 0.0

    def set_service(self, service: Service) -> None:
        """Set the service, as the newest routing document has it."""
        self._service = service

    def need(self, demand: Demand) -> Amount:
        """Return what a request occupies, and learn the mean."""
        engine = self._service.engine if self._service is not None else None
        if engine is None or not engine.cache_tokens or not demand.tokens:
            return Amount(1)
        weight = NEED_WEIGHT if self._mean_tokens else 1.0
        self._mean_tokens += weight * (demand.tokens - self._mean_tokens)
        # One that is larger than an engine's cache gets a whole engine.
        return Amount(1, min(demand.tokens, engine.cache_tokens))

    def load(
        self,
        backends: Collection[Backend],
        now_ms: int,
        *,
        others_known: bool,
        share: float,
        others_queued: tuple[int, ...],
        age_ms: int,
    ) -> ServiceLoad:
        """Return the load; its capacity has no slots if no server is up, or none tells its slots.

        Parameters
        ----------
        backends : collection of Backend
            Servers of the service that are neither draining nor gone.
        others_known : bool
            Whether other entry VMs' work on engines is recent.
        """
        up = [backend for backend in backends if backend.health(now_ms) is Health.UP]
        engine = self._service.engine if self._service is not None else None
        if engine is None:
            slots = sum(backend.listed.slots for backend in up)
            others = Amount(sum(_reported_by_others(backend, now_ms) for backend in up))
            return ServiceLoad(Amount(slots), others, True, share, others_queued, age_ms)
        capacity = Amount(engine.slots * len(up), engine.cache_tokens * len(up))
        # Copies take only room that is left, and give way to requests.
        tokens = sum(b.others_work.resident - b.others_work.copied for b in up)
        others = Amount(tokens / self._mean_tokens if self._mean_tokens else 0.0, tokens)
        return ServiceLoad(capacity, others, others_known, share, others_queued, age_ms)


def _reported_by_others(backend: Backend, now_ms: int) -> int:
    if backend.load is None or now_ms - backend.load_ms > LOAD_VALID:
        return 0
    return max(0, backend.load.running + backend.load.waiting - backend.requests)
