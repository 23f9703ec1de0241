"""Sending, tracking and closing of the orders of one leader's term."""

import random
from collections.abc import Mapping
from typing import NamedTuple

from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId, FencingNumber, OrderId

from nutmegdrum.fleet import Fleet
from nutmegdrum.messages import LoadedVersion, Order, OrderKind, OrderStatus
from nutmegdrum.orders import CloseOrder, IntendOrder, OpenOrder, OrderOutcome, Orders
from nutmegdrum.settings import BackendSettings

STATUS_POLL_MS = 500
"""Interval at which an open order is resent to poll its status, in ms."""

RESULT_TIMEOUT_MS = 120_000
"""Time after which an accepted order without a result is closed as abandoned, in ms."""

RETRY_MS = 5_000
"""Time before an order that did not succeed is repeated on the same backend server, in ms."""

_OUTCOMES = {
    OrderStatus.DONE: OrderOutcome.DONE,
    OrderStatus.STALE: OrderOutcome.STALE,
    OrderStatus.EXPIRED: OrderOutcome.EXPIRED,
    OrderStatus.FAILED: OrderOutcome.FAILED,
}


class SendOrder(NamedTuple):
    """Order to send; the answer is passed to `Leader.on_order_status`."""

    backend: BackendSettings
    order: Order


class OrderDispatcher:
    """Dispatcher of one leader's orders; at most one is in flight per backend server.

    A backend server that ignores fencing numbers gets no order until the previous leader's lease
    and the longest order deadline have passed. Open orders of earlier terms are closed then, or
    immediately if the backend server checks fencing numbers.

    Parameters
    ----------
    orders : Orders
        Replicated open orders.
    fleet : Fleet
        Backend servers.
    fencing : FencingNumber
        This leader's term.
    began_ms : ElapsedMs
        Time at which this replica started the term.
    lease_ms, deadline_ms : int
        Longest lease of a previous leader, and the start deadline of orders, in ms.
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
        self._unfenced_from_ms = began_ms + lease_ms + deadline_ms
        self._deadline_ms = deadline_ms
        self._rng = rng
        self._began_ms = began_ms
        self._first_sent: dict[OrderId, ElapsedMs] = {}
        self._sent: dict[OrderId, ElapsedMs] = {}
        self._status: dict[OrderId, OrderStatus] = {}
        self._retry_at: dict[tuple[BackendId, OrderKind, LoadedVersion], int] = {}

    def on_status(self, order: OrderId, status: OrderStatus) -> None:
        """Record a backend server's answer to an order."""
        self._status[order] = status

    def busy(self, backend: BackendId) -> bool:
        """Return whether an order is open on `backend`."""
        return backend in self._orders.open

    def new_intent(
        self, now_ms: ElapsedMs, backend: BackendId, kind: OrderKind, version: LoadedVersion
    ) -> IntendOrder | None:
        """Return the intent of a new order, or None if `backend` must not get an order now."""
        member = self._fleet.members[backend]
        if self.busy(backend) or member.leaving or member.gone or not member.reachable(now_ms):
            return None
        if not member.cfg.checks_fencing and now_ms < self._unfenced_from_ms:
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
        """Return the orders to close and the orders to send or resend."""
        closes: list[CloseOrder] = []
        sends: list[SendOrder] = []
        for backend, entry in sorted(self._orders.open.items()):
            outcome = self._outcome(now_ms, entry)
            if outcome is not None:
                self._schedule_retry(now_ms, entry, outcome)
                closes.append(CloseOrder(backend=backend, order=entry.order.id, outcome=outcome))
            elif entry.order.fencing == self._fencing and self._send_due(now_ms, entry):
                sends.append(self._send(now_ms, entry))
        self._forget_closed(self._orders.open)
        return closes, sends

    def _outcome(self, now_ms: ElapsedMs, entry: OpenOrder) -> OrderOutcome | None:
        member = self._fleet.members.get(entry.backend)
        if member is None or member.gone:
            return OrderOutcome.ABANDONED
        if entry.order.fencing != self._fencing:
            expired = member.cfg.checks_fencing or now_ms >= self._unfenced_from_ms
            return OrderOutcome.ABANDONED if expired else None
        status = self._status.get(entry.order.id)
        if status in _OUTCOMES:
            return _OUTCOMES[status]
        first_sent_ms = self._first_sent.get(entry.order.id, now_ms)
        if member.restarted_ms is not None and first_sent_ms < member.restarted_ms:
            return OrderOutcome.ABANDONED
        limit_ms = RESULT_TIMEOUT_MS if status is OrderStatus.ACCEPTED else 2 * self._deadline_ms
        return OrderOutcome.ABANDONED if now_ms - first_sent_ms >= limit_ms else None

    def _send_due(self, now_ms: ElapsedMs, entry: OpenOrder) -> bool:
        if not self._fleet.members[entry.backend].reachable(now_ms):
            return False
        sent_ms = self._sent.get(entry.order.id)
        return sent_ms is None or now_ms - sent_ms >= STATUS_POLL_MS

    def _send(self, now_ms: ElapsedMs, entry: OpenOrder) -> SendOrder:
        self._sent[entry.order.id] = now_ms
        self._first_sent.setdefault(entry.order.id, now_ms)
        return SendOrder(self._fleet.members[entry.backend].cfg, entry.order)

    def _schedule_retry(self, now_ms: ElapsedMs, entry: OpenOrder, outcome: OrderOutcome) -> None:
        if outcome is not OrderOutcome.DONE and entry.order.version is not None:
            key = (entry.backend, entry.order.kind, entry.order.version)
            self._retry_at[key] = now_ms + RETRY_MS

    def _forget_closed(self, open_orders: Mapping[BackendId, OpenOrder]) -> None:
        current = {entry.order.id for entry in open_orders.values()}
        for known in (self._first_sent, self._sent, self._status):
            for order in [order for order in known if order not in current]:
                del known[order]
