"""Admission by weighted fair queueing, with options for the queue's limits."""

from collections.abc import Mapping

from nutmegdrum.plugins import Kind, Plugin, Registry
from nutmegdrum_coord.ids import WorkspaceId
from nutmegdrum_scheduling.queueing.fair_queue import (
    DEFAULT_MAX_QUEUED,
    DEFAULT_MAX_WAIT_MS,
    FairQueue,
)


class FairShare(Plugin):
    """Plug-in that provides `FairQueue`, with the options `max_queued` and `max_wait_ms`."""

    def __init__(self) -> None:
        super().__init__()
        self.config.update(max_queued=DEFAULT_MAX_QUEUED, max_wait_ms=DEFAULT_MAX_WAIT_MS)

    def register(self, registry: Registry) -> None:
        """Register the factory of the queue."""
        registry.provide(Kind.ADMISSION, self.name, self._new_queue)

    def _new_queue(self, weights: Mapping[WorkspaceId, int]) -> FairQueue:
        return FairQueue(weights, self.config["max_queued"], self.config["max_wait_ms"])
