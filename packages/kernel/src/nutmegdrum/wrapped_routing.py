"""Base of routings that restrict another one's choices."""

from nutmegdrum_coord.ids import BackendId

from nutmegdrum.messages import LossKind
from nutmegdrum.routing_query import Routing


class WrappedRouting:
    """Records of attempts go to the wrapped routing; subclasses restrict its choices."""

    def __init__(self, router: Routing):
        self._router = router

    def started(self, backend: BackendId, isolated: bool = False) -> None:
        """Count the start of an attempt."""
        self._router.started(backend, isolated)

    def finished(self, backend: BackendId, ok: bool, isolated: bool = False) -> None:
        """Count the end of an attempt that `started` has counted."""
        self._router.finished(backend, ok, isolated)

    def load(self, backend: BackendId) -> float:
        """Return the estimated load of a backend server as a share of its slots."""
        return self._router.load(backend)

    def lost(self, backend: BackendId, kind: LossKind) -> None:
        """Suspect a backend server after the loss of an attempt."""
        self._router.lost(backend, kind)
