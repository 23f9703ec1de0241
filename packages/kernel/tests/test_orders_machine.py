import random

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from nutmegdrum.leader import Leader, Propose
from nutmegdrum.messages import LoadedVersion
from nutmegdrum.order_dispatcher import SendOrder
from nutmegdrum.orders import Orders
from nutmegdrum.placement import Placement
from nutmegdrum.releases import Releases, SubmitNote
from nutmegdrum.settings import parse_settings
from nutmegdrum_coord.parts import CompositeState, encode_command
from nutmegdrum_plugins.sequential_judge import SequentialJudgePlugin
from nutmegdrum_testing.model_engine import ModelEngine

SETTLED = LoadedVersion("m", "1")
TICK_MS = 500
QUIET_MS = 1_000 + 30_000
SETTINGS = {
    "deployment": "test",
    "vm": {"id": "s1", "data_centre": "a", "region": "r", "data_folder": "/x"},
    "roles": ["state"],
    "listen": {"ops": "127.0.0.1:0", "peers": "127.0.0.1:0", "operators": "127.0.0.1:0"},
    "state_replicas": [{"vm": "s1", "address": "127.0.0.1:0", "data_centre": "a"}],
    "services": [{"name": "s", "kind": "model"}],
    "models": [{"name": "m", "service": "s", "version": "1"}],
    "backend_servers": [
        {
            "id": f"b{i}",
            "address": f"127.0.0.1:{i + 1}",
            "service": "s",
            "data_centre": "a",
            "checks_fencing": i % 2 == 0,
        }
        for i in range(4)
    ],
}


def make_settings():
    return parse_settings(msgspec.json.encode(SETTINGS))


class OrderMachine(RuleBasedStateMachine):
    """Leaders that are replaced amid orders, whose messages arrive late, twice or never."""

    def __init__(self):
        super().__init__()
        self.cfg = make_settings()
        self.state = CompositeState([Releases(self.cfg.models), Orders()])
        self.engines = {b.id: ModelEngine(b, {SETTLED}) for b in self.cfg.backend_servers}
        self.now = 0
        self.term = 0
        self.number = 0
        self.adapters = set()
        self.intended = set()
        self.on_the_way = []
        self.lead()

    @rule()
    def lead(self):
        """Begin a new term; messages of the one before stay on their way."""
        self.term += 1
        self.began = self.now
        judges = SequentialJudgePlugin().make
        self.leader = Leader(
            self.cfg, self.state, random.Random(self.term), judges, self.term, self.now
        )

    @rule()
    def restart_state(self):
        snapshot = self.state.snapshot()
        self.state = CompositeState([Releases(self.cfg.models), Orders()])
        self.state.restore(snapshot)
        self.lead()

    @rule(adapter=st.sampled_from(["a", "b"]), crossed=st.booleans())
    def submit(self, adapter, crossed):
        key = "withdrawn" if adapter in self.adapters else "added"
        self.adapters ^= {adapter}
        self.number += 1
        entry = {"model": "m", "adapter": adapter, "complete_by": "2026-12-05T06:00:00Z"}
        note = msgspec.json.encode({"number": self.number, key: [entry]})
        self.apply(SubmitNote(operator="anu", note=note))
        if crossed:
            self.apply(SubmitNote(operator="biju", note=note))

    @rule(ticks=st.sampled_from([1, 5, 70]))
    def tick(self, ticks):
        for _ in range(ticks):
            self.now += TICK_MS
            self.report()
            for output in self.leader.tick(self.now, self.now, self.now):
                self.obey(output)

    @precondition(lambda self: self.on_the_way)
    @rule(data=st.data(), times=st.integers(0, 2))
    def deliver(self, data, times):
        place = data.draw(st.integers(0, len(self.on_the_way) - 1))
        leader, sent = self.on_the_way.pop(place)
        for _ in range(times):
            self.hand_over(leader, sent)

    @rule()
    def deliver_all(self):
        while self.on_the_way:
            self.hand_over(*self.on_the_way.pop(0))

    def report(self):
        for engine in self.engines.values():
            self.leader.on_load_report(self.now, engine.cfg.id, engine.report())

    def apply(self, command):
        self.state.apply(self.state.position + 1, self.now, encode_command(command))

    def obey(self, output):
        if isinstance(output, Propose):
            self.apply(output.command)
            self.intended |= {e.order.id for e in self.state.parts["orders"].open.values()}
        elif isinstance(output, SendOrder):
            assert output.order.id in self.intended
            quiet_over = self.now - self.began >= QUIET_MS
            assert output.backend.checks_fencing or quiet_over
            self.on_the_way.append((self.leader, output))

    def hand_over(self, leader, sent):
        status = self.engines[sent.backend.id].order(sent.order)
        leader.on_order_status(sent.order.id, status)

    @invariant()
    def fencing_never_falls_where_it_is_checked(self):
        for engine in self.engines.values():
            numbers = [order.fencing for order in engine.orders_run]
            if engine.cfg.checks_fencing:
                assert numbers == sorted(numbers)

    def teardown(self):
        """Check that observed state is corrected, whatever arrived late."""
        self.deliver_all()
        for _ in range(8):
            self.tick(30)
            self.deliver_all()
            for _ in range(20):
                self.tick(1)
                self.deliver_all()
        placement = Placement(self.state.parts["releases"], self.leader.fleet, self.now)
        expected = {SETTLED} | {LoadedVersion("m", "1", a) for a in self.adapters}
        for backend, engine in self.engines.items():
            assert engine.loaded == expected == set(placement.wanted[backend])
        assert not self.state.parts["releases"].open_moves()
        assert not self.state.parts["orders"].open


TestOrderMachine = OrderMachine.TestCase
TestOrderMachine.settings = settings(max_examples=25, stateful_step_count=25)
