"""Replicated record of orders to backend servers, written before they are sent."""

from collections.abc import Sequence
from enum import Enum
from typing import Any

import msgspec
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import BackendId, FencingNumber, OrderId
from nutmegdrum_coord.parts import Answer, Command, Context

from nutmegdrum.messages import LoadedVersion, Order, OrderKind


class OrderOutcome(Enum):
    """Outcome of an order."""

    DONE = "done"
    STALE = "stale"
    EXPIRED = "expired"
    FAILED = "failed"
    ABANDONED = "abandoned"


class OpenOrder(msgspec.Struct, frozen=True, kw_only=True):
    """Order that may still reach a backend server or may be running there."""

    order: Order
    backend: BackendId
    at: LogMs


class IntendOrder(Command, frozen=True, kw_only=True):
    """Record the intent to send an order."""

    backend: BackendId
    order: Order


class CloseOrder(Command, frozen=True, kw_only=True):
    """Record that an order has taken effect or can no longer take effect."""

    backend: BackendId
    order: OrderId
    outcome: OrderOutcome


class OrderIntended(Answer, frozen=True, kw_only=True):
    """The order is recorded and may be sent."""

    order: OrderId


class OrderRefused(Answer, frozen=True, kw_only=True):
    """The order must not be sent: another one is open, or its fencing number is stale."""

    order: OrderId
    why: str


class OrderClosed(Answer, frozen=True, kw_only=True):
    """The order is not open, or no longer open."""

    order: OrderId


class _State(msgspec.Struct):
    open: list[OpenOrder]
    fencing: FencingNumber


class Orders:
    """Part of the replicated state with at most one open order per backend server."""

    name = "orders"
    commands: Sequence[type[Command]] = (IntendOrder, CloseOrder)

    def __init__(self) -> None:
        self.open: dict[BackendId, OpenOrder] = {}
        self.fencing = FencingNumber(0)

    def apply(self, ctx: Context, command: Any) -> Answer:
        """Apply one of this part's commands."""
        if isinstance(command, IntendOrder):
            return self._intend(ctx, command)
        return self._close(ctx, command)

    def snapshot(self) -> Any:
        """Return the open orders and the highest fencing number to encode."""
        return _State(open=list(self.open.values()), fencing=self.fencing)

    def restore(self, state: bytes) -> None:
        """Replace the open orders and the fencing number with those in `state`."""
        decoded = msgspec.msgpack.decode(state, type=_State)
        self.open = {entry.backend: entry for entry in decoded.open}
        self.fencing = decoded.fencing

    def _intend(self, ctx: Context, command: IntendOrder) -> Answer:
        order = command.order
        if order.fencing < self.fencing:
            return OrderRefused(order=order.id, why="fencing number is old")
        open_order = self.open.get(command.backend)
        if open_order is not None and open_order.order.id != order.id:
            return OrderRefused(order=order.id, why=f"order {open_order.order.id} is open")
        self.fencing = order.fencing
        self.open[command.backend] = OpenOrder(order=order, backend=command.backend, at=ctx.at)
        ctx.audit("order intended", command.backend, order=order.id, what=describe(order))
        return OrderIntended(order=order.id)

    def _close(self, ctx: Context, command: CloseOrder) -> Answer:
        open_order = self.open.get(command.backend)
        if open_order is not None and open_order.order.id == command.order:
            del self.open[command.backend]
            ctx.audit(
                "order closed",
                command.backend,
                order=command.order,
                outcome=command.outcome.value,
            )
        return OrderClosed(order=command.order)


def describe(order: Order) -> str:
    """Return a short description of `order`."""
    if order.kind is OrderKind.ROLE:
        return f"role {order.role}"
    return f"{order.kind.value} {format_version(order.version)}"


def format_version(version: LoadedVersion | None) -> str:
    """Return `version` as `model@version` or `model@version+adapter`."""
    if version is None:
        return ""
    adapter = f"+{version.adapter}" if version.adapter else ""
    return f"{version.model}@{version.version}{adapter}"
