"""Backend server in simulated time that runs orders, loads weights, crashes and restarts."""

from nutmegdrum.messages import LoadedVersion, LoadReport, Order, OrderKind, OrderStatus
from nutmegdrum.settings import BackendSettings
from nutmegdrum_coord.clock import ElapsedMs


class ModelEngine:
    """Simulated backend server without I/O.

    Parameters
    ----------
    cfg : BackendSettings
        Settings of the backend server, such as its id and whether it checks fencing numbers.
    loaded : set of LoadedVersion
        Versions in memory at the start.
    weight_bytes : int
        Size of each version's weights in bytes; with 0 a version loads immediately.
    """

    def __init__(
        self,
        cfg: BackendSettings,
        loaded: set[LoadedVersion],
        weight_bytes: int = 0,
        slots: int = 16,
    ):
        self.cfg = cfg
        self.loaded = set(loaded)
        self.slots = slots
        self.running = 0
        self.dead_until: ElapsedMs | None = None
        self.orders_run: list[Order] = []
        self._weight_bytes = weight_bytes
        self._fencing = 0
        self._statuses: dict[str, OrderStatus] = {}
        self._loading: tuple[Order, int] | None = None
        self._sequence = 0

    @property
    def alive(self) -> bool:
        """Return whether the backend server is up."""
        return self.dead_until is None

    @property
    def loading(self) -> bool:
        """Return whether a load is in progress."""
        return self._loading is not None

    def order(self, order: Order) -> OrderStatus:
        """Run an order and return its status; a resent order runs only once."""
        if order.id in self._statuses:
            return self._statuses[order.id]
        if self.cfg.checks_fencing and order.fencing < self._fencing:
            return OrderStatus.STALE
        self._fencing = max(self._fencing, order.fencing)
        if self._loading is not None:
            return OrderStatus.FAILED
        self.orders_run.append(order)
        self._statuses[order.id] = self._start(order)
        return self._statuses[order.id]

    def advance(self, read_bytes: int) -> None:
        """Advance the load in progress by `read_bytes`."""
        if self._loading is None:
            return
        order, left = self._loading
        left -= read_bytes
        if left > 0:
            self._loading = (order, left)
            return
        self._loading = None
        self.loaded.add(order.version)
        self._statuses[order.id] = OrderStatus.DONE

    def die(self, until: ElapsedMs) -> None:
        """Crash: lose all memory and be down until the given time."""
        self.dead_until = until
        self.loaded.clear()
        self._loading = None
        self._statuses.clear()
        self._fencing = 0

    def revive(self, now_ms: ElapsedMs) -> None:
        """Restart if the time given to `die` has come."""
        if self.dead_until is not None and now_ms >= self.dead_until:
            self.dead_until = None
            self._sequence = 0

    def report(self) -> LoadReport:
        """Return the load report."""
        self._sequence += 1
        return LoadReport(
            sequence=self._sequence,
            running=self.running,
            queued=0,
            slots=self.slots,
            loaded=sorted(self.loaded),
        )

    def _start(self, order: Order) -> OrderStatus:
        if order.kind is OrderKind.LOAD and order.version not in self.loaded:
            if self._weight_bytes == 0:
                self.loaded.add(order.version)
                return OrderStatus.DONE
            self._loading = (order, self._weight_bytes)
            return OrderStatus.ACCEPTED
        if order.kind is OrderKind.UNLOAD:
            self.loaded.discard(order.version)
        return OrderStatus.DONE
