"""Send, follow and close the orders of one leader's term."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId, FencingNumber, OrderId

from nutmegdrum.fleet import Fleet
from nutmegdrum.messages import LoadedVersion, Order, OrderKind, OrderStatus
from nutmegdrum.orders import CloseOrder, IntendOrder, OpenOrder, OrderOutcome, Orders
from nutmegdrum.settings import BackendSettings

POLL_MS = 500
"""Time between two sendings of an open order, each of which asks for its status, in ms."""

GIVE_UP_MS = 120_000
"""Time after which an order that a backend server accepted is closed as abandoned, in ms."""

RETRY_MS = 5_000
"""Time before the same order is given to a backend server again after it failed, in ms."""

_OUTCOMES = {
    OrderStatus.DONE: OrderOutcome.DONE,
    OrderStatus.STALE: OrderOutcome.STALE,
    OrderStatus.EXPIRED: OrderOutcome.EXPIRED,
    OrderStatus.FAILED: OrderOutcome.FAILED,
}


class SendOrder(NamedTuple):
    """Order that the daemon sends now; its answer goes to `Leader.on_order_status`."""

    backend: BackendSettings
    order: Order


class OrderDispatcher:
    """Orders of one leader's term: at most one in flight on each backend server.

    A backend server that ignores fencing numbers gets no order before the old leader's lease
    and the longest order deadline have passed. Open orders of earlier terms are closed then, or
    at once where fencing numbers are checked.

    Parameters
    ----------
    orders : Orders
        Replicated intents.
    fleet : Fleet
        Backend servers.
    fencing : FencingNumber
        This leader's term.
    began_ms : ElapsedMs
        When this leader's term began here.
    lease_ms, deadline_ms : int
        Longest lease of an earlier leader, and the deadline of orders, in ms.
    rng : random.Random
        Source of order ids.
    """

    def __init__(
        self,
        orders: Orders,
        fleet: Fleet,
        fencing: FencingNumber,
        began_ms: ElapsedMs,
        lease_ms: int,
        deadline_ms: int,
        rng: random.Random,
    ):
        self._orders = orders
        self._fleet = fleet
        self._fencing = fencing
        self._quiet_until_ms = began_ms + lease_ms + deadline_ms
        self._deadline_ms = deadline_ms
        self._rng = rng
        self._began_ms = began_ms
        self._first_sent: dict[OrderId, ElapsedMs] = {}
        self._sent: dict[OrderId, ElapsedMs] = {}
        self._status: dict[OrderId, OrderStatus] = {}
        self._retry_at: dict[tuple[BackendId, OrderKind, LoadedVersion], int] = {}

    def on_status(self, order: OrderId, status: OrderStatus) -> None:
        """Take in a backend server's answer to an order."""
        self._status[order] = status

    def busy(self, backend: BackendId) -> bool:
        """Return whether an order is open on `backend`."""
        return backend in self._orders.open

    def intend(
        self, now_ms: ElapsedMs, backend: BackendId, kind: OrderKind, version: LoadedVersion
    ) -> IntendOrder | None:
        """Return the intent of a new order, or None if none may be given to `backend` now."""
        member = self._fleet.members[backend]
        if self.busy(backend) or member.leaving or member.gone or not member.reachable(now_ms):
            return None
        if not member.cfg.checks_fencing and now_ms < self._quiet_until_ms:
            return None
        if now_ms < self._retry_at.get((backend, kind, version), 0):
            return None
        order = Order(
            id=OrderId(f"{self._fencing}-{self._rng.getrandbits(64):016x}"),
            fencing=self._fencing,
            deadline_ms=self._deadline_ms,
            kind=kind,
            version=version,
        )
        return IntendOrder(backend=backend, order=order)

    def tick(self, now_ms: ElapsedMs) -> tuple[list[CloseOrder], list[SendOrder]]:
        """Return the orders to close and those to send (again)."""
        closes: list[CloseOrder] = []
        sends: list[SendOrder] = []
        for backend, entry in sorted(self._orders.open.items()):
            outcome = self._outcome(now_ms, entry)
            if outcome is not None:
                self._note_outcome(now_ms, entry, outcome)
                closes.append(CloseOrder(backend=backend, order=entry.order.id, outcome=outcome))
            elif entry.order.fencing == self._fencing and self._due(now_ms, entry):
                sends.append(self._send(now_ms, entry))
        self._forget(self._orders.open)
        return closes, sends

    def _outcome(self, now_ms: ElapsedMs, entry: OpenOrder) -> OrderOutcome | None:
        member = self._fleet.members.get(entry.backend)
        if member is None or member.gone:
            return OrderOutcome.ABANDONED
        if entry.order.fencing != self._fencing:
            over = member.cfg.checks_fencing or now_ms >= self._quiet_until_ms
            return OrderOutcome.ABANDONED if over else None
        status = self._status.get(entry.order.id)
        if status in _OUTCOMES:
            return _OUTCOMES[status]
        first = self._first_sent.get(entry.order.id, now_ms)
        if member.restarted_ms is not None and first < member.restarted_ms:
            return OrderOutcome.ABANDONED
        limit_ms = GIVE_UP_MS if status is OrderStatus.ACCEPTED else 2 * self._deadline_ms
        return OrderOutcome.ABANDONED if now_ms - first >= limit_ms else None

    def _due(self, now_ms: ElapsedMs, entry: OpenOrder) -> bool:
        if not self._fleet.members[entry.backend].reachable(now_ms):
            return False
        sent_ms = self._sent.get(entry.order.id)
        return sent_ms is None or now_ms - sent_ms >= POLL_MS

    def _send(self, now_ms: ElapsedMs, entry: OpenOrder) -> SendOrder:
        self._sent[entry.order.id] = now_ms
        self._first_sent.setdefault(entry.order.id, now_ms)
        return SendOrder(self._fleet.members[entry.backend].cfg, entry.order)

    def _note_outcome(self, now_ms: ElapsedMs, entry: OpenOrder, outcome: OrderOutcome) -> None:
        if outcome is not OrderOutcome.DONE and entry.order.version is not None:
            key = (entry.backend, entry.order.kind, entry.order.version)
            self._retry_at[key] = now_ms + RETRY_MS

    def _forget(self, open_orders: Mapping[BackendId, OpenOrder]) -> None:
        current = {entry.order.id for entry in open_orders.values()}
        for known in (self._first_sent, self._sent, self._status):
            for order in [order for order in known if order not in current]:
                del known[order]
