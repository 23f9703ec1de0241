"""Replicated rollouts under resent, concurrent and late commands, and across restarts."""

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nutmegdrum.moves import MoveState
from nutmegdrum.units import PPM
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import LogPosition
from nutmegdrum_coord.parts import CompositeState, decode_answer, encode_command
from nutmegdrum_relay.rollouts import (
    EndRollout,
    RolloutAccepted,
    RolloutConflict,
    Rollouts,
    SetShare,
    StartAnswer,
    StartRollout,
)

SERVICE = "svc"
DURATION_MS = 10_000
versions = st.sampled_from(["v1", "v2", "v3"])
ends = st.sampled_from([MoveState.DONE, MoveState.ROLLED_BACK])


class RolloutsMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.part = Rollouts()
        self.state = CompositeState([self.part])
        self.position = 0
        self.at_ms = 0
        self.active = None
        self.last = None
        self.numbers = []
        self.taken_back = set()
        self.told = 0

    def apply(self, command):
        self.position += 1
        at = LogMs(self.at_ms)
        return self.state.apply(LogPosition(self.position), at, encode_command(command))

    @rule(ms=st.sampled_from([1, 500, DURATION_MS]))
    def pass_time(self, ms):
        self.at_ms += ms

    @rule(version=versions)
    def start(self, version):
        target = version
        command = StartRollout(service=SERVICE, target=target, duration_ms=DURATION_MS)
        answer = decode_answer(self.apply(command), StartAnswer)
        if self.active is not None and target != self.active:
            assert answer == RolloutConflict(target=self.active)
            return
        assert isinstance(answer, RolloutAccepted)
        target_before, started, _ = self.last or ("", 0, 0)
        repeats = target == target_before and (
            self.active is not None or self.at_ms < started + DURATION_MS
        )
        if repeats:
            assert answer.number == self.numbers[-1]
            return
        assert answer.number == self.position
        self.numbers.append(answer.number)
        self.active = target
        self.last = (target, self.at_ms, answer.number)
        self.taken_back.discard(target)

    @rule(share=st.sampled_from([PPM // 20, PPM]), late=st.booleans())
    def set_share(self, share, late):
        if not self.numbers:
            return
        number = self.numbers[0 if late else -1]
        self.apply(SetShare(service=SERVICE, number=number, share_ppm=share))
        if self.active is not None and number == self.numbers[-1]:
            assert self.part.rollouts[SERVICE].share_ppm == share

    @rule(state=ends, late=st.booleans())
    def end(self, state, late):
        if not self.numbers:
            return
        number = self.numbers[0 if late else -1]
        self.apply(EndRollout(service=SERVICE, number=number, state=state, reason="x"))
        if self.active is not None and number == self.numbers[-1]:
            if state is MoveState.ROLLED_BACK:
                self.taken_back.add(self.active)
            self.active = None

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.state.snapshot()
        self.part = Rollouts()
        self.state = CompositeState([self.part])
        self.state.restore(snapshot)

    @invariant()
    def at_most_one_is_active_and_what_was_taken_back_gets_nothing(self):
        shares = self.part.shares()
        assert shares.number >= self.told
        self.told = shares.number
        assert [r.target for r in self.part.active()] == ([self.active] if self.active else [])
        told = {share.service: share for share in shares.shares}
        barred = told[SERVICE].barred if SERVICE in told else ()
        assert set(barred) == self.taken_back
        if SERVICE in told:
            assert told[SERVICE].trial == (self.active or "")


TestRollouts = RolloutsMachine.TestCase
TestRollouts.settings = settings(max_examples=150, stateful_step_count=40)
