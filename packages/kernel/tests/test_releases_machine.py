import copy

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import Bundle, RuleBasedStateMachine, invariant, rule
from nutmegdrum.moves import TERMINAL, MoveKind, MoveState
from nutmegdrum.notes import MAX_FIRST_SHARE_PPM
from nutmegdrum.releases import (
    AdvanceMove,
    MoveChanged,
    MoveUnchanged,
    NoteAccepted,
    NoteConflict,
    NoteInvalid,
    PauseMove,
    Releases,
    ResumeMove,
    SubmitNote,
    TakeBack,
)
from nutmegdrum.settings import ModelSettings
from nutmegdrum_coord.parts import CompositeState, decode_answer, encode_command

ANSWERS = NoteAccepted | NoteConflict | NoteInvalid | MoveChanged | MoveUnchanged
OPERATORS = st.sampled_from(["anu", "biju"])
NUMBERS = st.integers(1, 6)
MODELS = st.sampled_from(["m", "n"])
VERSIONS = st.sampled_from(["1", "2", "3"])
TIME = "2026-12-05T06:00:00Z"


def fresh_state():
    models = [ModelSettings(name=name, service="s", version="1") for name in ("m", "n")]
    return CompositeState([Releases(models)])


class ReleaseMachine(RuleBasedStateMachine):
    sent = Bundle("sent")

    def __init__(self):
        super().__init__()
        self.state = fresh_state()
        self.now = 0
        self.answers = {}
        self.accepted = {}
        self.ended = {}
        self.newest = 0
        self.serial = 0

    @property
    def releases(self):
        return self.state.parts["releases"]

    def apply(self, command, command_id=""):
        self.now += 100
        data = encode_command(command, command_id, "vm", self.now)
        return decode_answer(self.state.apply(self.state.position + 1, self.now, data), ANSWERS)

    def submit(self, operator, document):
        self.serial += 1
        command_id = f"c{self.serial}"
        command = SubmitNote(operator=operator, note=msgspec.json.encode(document))
        standing = self.accepted.get(document["number"])
        answer = self.apply(command, command_id)
        if standing is not None:
            expected = (
                NoteConflict if standing.operator != operator else NoteConflict | NoteAccepted
            )
            assert isinstance(answer, expected)
        if isinstance(answer, NoteAccepted):
            record = self.releases.notes[answer.number]
            assert self.accepted.setdefault(answer.number, record) == record
        if isinstance(answer, NoteConflict):
            assert answer.standing == self.accepted[answer.number].note
            assert answer.operator == self.accepted[answer.number].operator
        self.answers[command_id] = (command, answer)
        return command_id

    @rule(target=sent, operator=OPERATORS, number=NUMBERS, model=MODELS, version=VERSIONS)
    def change(self, operator, number, model, version):
        entry = {"model": model, "version": version, "complete_by": TIME}
        return self.submit(operator, {"number": number, "changed": [entry]})

    @rule(target=sent, operator=OPERATORS, number=NUMBERS, model=MODELS, adapter=st.booleans())
    def withdraw(self, operator, number, model, adapter):
        entry = {"model": model, "complete_by": TIME, "adapter": "a" if adapter else ""}
        return self.submit(operator, {"number": number, "withdrawn": [entry]})

    @rule(target=sent, operator=OPERATORS, number=NUMBERS, model=MODELS, adapter=st.booleans())
    def add(self, operator, number, model, adapter):
        entry = {"model": model, "complete_by": TIME}
        entry |= {"adapter": "a"} if adapter else {"version": "1", "service": "s"}
        return self.submit(operator, {"number": number, "added": [entry]})

    @rule(command_id=sent)
    def resend(self, command_id):
        command, answer = self.answers[command_id]
        assert self.apply(command, command_id) == answer

    @rule(data=st.data(), times=st.integers(1, 2))
    def advance(self, data, times):
        """Bring a move on, by a command that is possibly doubled or of an earlier state."""
        if not self.releases.moves:
            return
        move = data.draw(st.sampled_from(sorted(self.releases.moves.values(), key=lambda m: m.id)))
        command = AdvanceMove(
            move=move.id,
            from_state=data.draw(st.sampled_from([move.state, MoveState.LOADING])),
            from_step=move.step,
            state=data.draw(st.sampled_from(list(MoveState))),
            step=data.draw(st.integers(0, 3)),
        )
        answers = [self.apply(command) for _ in range(times)]
        assert all(isinstance(answer, MoveUnchanged) for answer in answers[1:])

    @rule(data=st.data(), kind=st.sampled_from(["pause", "resume", "back"]))
    def steer(self, data, kind):
        if not self.releases.moves:
            return
        move = data.draw(st.sampled_from(sorted(self.releases.moves)))
        if kind == "pause":
            self.apply(PauseMove(move=move, reason="errors"))
        elif kind == "resume":
            self.apply(ResumeMove(move=move))
        else:
            self.apply(TakeBack(move=move, reason="errors"))

    @rule()
    def restart(self):
        snapshot = self.state.snapshot()
        self.state = fresh_state()
        self.state.restore(snapshot)
        assert self.state.snapshot() == snapshot

    @invariant()
    def accepted_notes_stand(self):
        assert self.releases.notes == self.accepted
        assert self.releases.newest >= self.newest
        self.newest = self.releases.newest

    @invariant()
    def ended_moves_stay_ended(self):
        for move in self.releases.moves.values():
            if move.id in self.ended:
                assert move == self.ended[move.id]
            elif move.state in TERMINAL:
                self.ended[move.id] = copy.copy(move)

    @invariant()
    def taken_back_is_reported_once(self):
        for move in self.releases.moves.values():
            events = [e for e in self.state.audit if e.subject == move.id]
            taken = [e for e in events if e.action == "move taken back"]
            assert len(taken) == (move.state is MoveState.ROLLED_BACK)

    @invariant()
    def one_open_change_a_model_with_its_share(self):
        for name, model in self.releases.models.items():
            changes = [
                move
                for move in self.releases.open_moves()
                if move.model == name and move.kind is MoveKind.CHANGE
            ]
            assert len(changes) <= 1
            for move in changes:
                if move.paused or move.state in (MoveState.PLANNED, MoveState.LOADING):
                    assert move.share_ppm == 0
                if move.step == 0:
                    assert move.share_ppm <= MAX_FIRST_SHARE_PPM
            done = [
                move.version
                for move in sorted(self.releases.moves.values(), key=lambda m: (m.ended or 0))
                if move.model == name
                and move.kind is MoveKind.CHANGE
                and move.state is MoveState.DONE
            ]
            if done and not any(
                m.kind is not MoveKind.CHANGE and not m.adapter and m.model == name
                for m in self.releases.moves.values()
            ):
                assert model.settled == done[-1]


TestReleaseMachine = ReleaseMachine.TestCase
TestReleaseMachine.settings = settings(max_examples=60, stateful_step_count=40)
