import itertools

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, precondition, rule
from nutmegdrum.messages import Finish, FinishReason, LossKind, Token
from nutmegdrum.streams import StreamState
from nutmegdrum_coord.verdict import Refusal
from nutmegdrum_testing.journal_world import PROMPT, Caller, World
from nutmegdrum_testing.tokens import check_chain

COUNT = 4
VMS = st.integers(0, COUNT - 1)
PICK = st.integers(0, 99)


class JournalMachine(RuleBasedStateMachine):
    """Tokens, losses, delays, partitions, crashes and takeovers of one generation in any order."""

    @initialize(vm=VMS, seed=st.integers(0, 2**32))
    def begin(self, vm, seed):
        self.world = World(COUNT, seed)
        first = self.world.start(self.world.vms[vm])
        self.generation = first.generation
        self.world.settle(self.world.vms[vm])
        self.callers = [Caller(), Caller()]
        self.callers[0].session = first

    def pick(self, number):
        return self.world.sessions[number % len(self.world.sessions)]

    def has_sessions(self):
        return bool(self.world.sessions)

    @precondition(has_sessions)
    @rule(pick=PICK, count=st.integers(1, 3), finish=st.sampled_from([False] * 9 + [True]))
    def produce(self, pick, count, finish):
        vm, session = self.pick(pick)
        self.world.produce(vm, session, count, finish)

    @precondition(has_sessions)
    @rule(pick=PICK)
    def lose_engine(self, pick):
        stream = self.pick(pick)[1].stream
        if stream.state is StreamState.RUNNING:
            old = stream.attempt
            stream.lose(old, LossKind.RESET, self.world.clock.elapsed_ms())
            assert stream.accept(old, []) == []

    @rule(vm=VMS, holder=VMS, lost=st.sampled_from(["", "", "", "request", "answer"]))
    def send(self, vm, holder, lost):
        if vm != holder:
            self.world.send(self.world.vms[vm], self.world.vms[holder], lost, late=True)

    @rule(vm=VMS)
    def settle(self, vm):
        self.world.settle(self.world.vms[vm])

    @precondition(lambda self: self.world.late)
    @rule(pick=PICK)
    def arrive_late(self, pick):
        self.world.arrive(pick % len(self.world.late))

    @rule(group=st.sets(VMS))
    def partition(self, group):
        vms = self.world.vms
        inside = {vms[number] for number in group}
        pairs = itertools.combinations(vms, 2)
        self.world.cut = {frozenset(pair) for pair in pairs if len(inside.intersection(pair)) == 1}

    @rule(first=VMS, second=VMS)
    def cut_or_heal(self, first, second):
        if first != second:
            self.world.cut ^= {frozenset((self.world.vms[first], self.world.vms[second]))}

    @precondition(has_sessions)
    @rule(pick=PICK, count=st.integers(1, 3))
    def run(self, pick, count):
        vm, session = self.pick(pick)
        self.world.produce(vm, session, count)
        self.world.settle(vm)
        for caller in self.callers:
            if caller.session is session and not session.journalled.superseded:
                caller.take(session)

    @precondition(has_sessions)
    @rule(pick=PICK)
    def take_crossed_tokens(self, pick):
        stream = self.pick(pick)[1].stream
        count = len(stream.tokens)
        crossed = [
            Token(count + 1, "x"),
            Token(count - 1, "x"),
            Finish(FinishReason.STOP, count + 1),
        ]
        assert stream.accept(stream.attempt, crossed) == []

    @rule(vm=VMS, often=st.integers(0, 3))
    def crash(self, vm, often):
        if often:
            return
        self.world.crash(self.world.vms[vm])
        for caller in self.callers:
            if all(session is not caller.session for _, session in self.world.sessions):
                caller.session = None

    @rule(number=st.integers(0, 1))
    def read(self, number):
        caller = self.callers[number]
        if caller.session is not None and not caller.session.journalled.superseded:
            caller.take(caller.session)

    @rule(number=st.integers(0, 1), vm=VMS)
    def reconnect(self, number, vm):
        caller = self.callers[number]
        caller.session = None
        try:
            session = self.world.take_over(self.world.vms[vm], self.generation, caller.position)
        except Refusal:
            return
        caller.session = session
        caller.take(session)

    @invariant()
    def callers_have_one_chain(self):
        for caller in getattr(self, "callers", []):
            check_chain(PROMPT, caller.tokens)

    @invariant()
    def holders_have_what_was_released(self):
        if not hasattr(self, "world"):
            return
        for _vm, session in self.world.sessions:
            stream = session.journalled
            for holder, cursor in stream.cursors.items():
                copy = self.world.nodes[holder].service.fetch_stream(stream.generation, "w")
                if cursor.length is not None and copy.found and copy.epoch == stream.epoch:
                    assert copy.tokens[: cursor.length] == stream.tokens[: cursor.length]
                    assert stream.superseded or session.released <= len(copy.tokens)


TestJournalMachine = JournalMachine.TestCase
TestJournalMachine.settings = settings(max_examples=300, stateful_step_count=50, deadline=None)
