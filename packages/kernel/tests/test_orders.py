import msgspec
from nutmegdrum.messages import LoadedVersion, Order, OrderKind
from nutmegdrum.orders import (
    CloseOrder,
    IntendOrder,
    OrderClosed,
    OrderIntended,
    OrderOutcome,
    OrderRefused,
    Orders,
)
from nutmegdrum_coord.parts import CompositeState, decode_answer, encode_command

ANSWERS = OrderIntended | OrderRefused | OrderClosed


def order(name, fencing):
    version = LoadedVersion("m", "2")
    return Order(id=name, fencing=fencing, deadline_ms=10, kind=OrderKind.LOAD, version=version)


class TestOrders:
    def apply(self, state, command):
        data = state.apply(state.position + 1, 0, encode_command(command))
        return decode_answer(data, ANSWERS)

    def test_one_open_order_a_backend_server(self):
        state = CompositeState([Orders()])
        first = IntendOrder(backend="b", order=order("1-a", 1))
        assert isinstance(self.apply(state, first), OrderIntended)
        crossed = IntendOrder(backend="b", order=order("2-a", 2))
        assert isinstance(self.apply(state, crossed), OrderRefused)
        assert isinstance(self.apply(state, first), OrderIntended)
        self.apply(state, CloseOrder(backend="b", order="1-a", outcome=OrderOutcome.ABANDONED))
        assert isinstance(self.apply(state, crossed), OrderIntended)

    def test_an_old_leaders_intent_is_refused(self):
        state = CompositeState([Orders()])
        self.apply(state, IntendOrder(backend="b", order=order("2-a", 2)))
        restored = CompositeState([Orders()])
        restored.restore(state.snapshot())
        late = IntendOrder(backend="c", order=order("1-b", 1))
        assert isinstance(self.apply(restored, late), OrderRefused)
        assert msgspec.to_builtins(restored.parts["orders"].open).keys() == {"b"}
