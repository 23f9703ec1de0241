import msgspec
from nutmegdrum.moves import MoveState
from nutmegdrum.notes import parse_note
from nutmegdrum.releases import (
    AdvanceMove,
    MoveChanged,
    MoveUnchanged,
    NoteAccepted,
    NoteConflict,
    NoteInvalid,
    Releases,
    SubmitNote,
    TakeBack,
)
from nutmegdrum.settings import ModelSettings
from nutmegdrum_coord.parts import CompositeState, decode_answer, encode_command

ANSWERS = NoteAccepted | NoteConflict | NoteInvalid | MoveChanged | MoveUnchanged
MODEL = ModelSettings(name="m", service="s", version="1")


def fresh_state():
    return CompositeState([Releases([MODEL])])


def note(number, version="2", **extra):
    changed = [{"model": "m", "version": version, "complete_by": "2026-12-05T06:00:00Z"}]
    return msgspec.json.encode({"number": number, "changed": changed, **extra})


class Log:
    """State with a position that rises with each command."""

    def __init__(self):
        self.state = fresh_state()

    def apply(self, command, command_id=""):
        position = self.state.position + 1
        data = encode_command(command, command_id)
        return decode_answer(self.state.apply(position, position * 10, data), ANSWERS)

    def submit(self, operator, data, command_id=""):
        return self.apply(SubmitNote(operator=operator, note=data), command_id)

    def restart(self):
        snapshot = self.state.snapshot()
        self.state = fresh_state()
        self.state.restore(snapshot)
        assert self.state.snapshot() == snapshot


class TestSubmit:
    def test_race_accepts_one_and_shows_it_to_the_other(self):
        log = Log()
        accepted = log.submit("anu", note(1, "2"))
        conflict = log.submit("biju", note(1, "3"))
        assert accepted == NoteAccepted(number=1, position=1)
        assert (conflict.number, conflict.operator) == (1, "anu")
        assert parse_note(conflict.standing).changed[0].version == "2"

    def test_resend_gets_the_first_answer_after_a_restart(self):
        log = Log()
        first = log.submit("anu", note(1), "c1")
        log.submit("anu", note(2, "3"), "c2")
        log.restart()
        assert log.submit("anu", note(1), "c1") == first
        assert len(log.state.parts["releases"].notes) == 2

    def test_lower_number_is_refused_with_its_path(self):
        log = Log()
        log.submit("anu", note(5))
        answer = log.submit("biju", note(4, "3"))
        assert answer.why == "Expected a number above 5 - at `$.number`"

    def test_unknown_model_is_refused_with_its_path(self):
        data = note(1).replace(b'"m"', b'"x"')
        assert "$.changed[0].model" in Log().submit("anu", data).why

    def test_newer_change_supersedes_an_open_one(self):
        log = Log()
        log.submit("anu", note(1, "2"))
        log.submit("anu", note(2, "3"))
        moves = log.state.parts["releases"].moves
        assert [move.state for move in moves.values()] == [
            MoveState.SUPERSEDED,
            MoveState.PLANNED,
        ]


class TestMoves:
    def test_taken_back_is_final_and_keeps_the_note(self):
        log = Log()
        log.submit("anu", note(1))
        taken = TakeBack(move="1:m", reason="errors")
        assert isinstance(log.apply(taken), MoveChanged)
        assert isinstance(log.apply(taken), MoveUnchanged)
        late = AdvanceMove(
            move="1:m", from_state=MoveState.PLANNED, from_step=0, state=MoveState.LOADING
        )
        assert isinstance(log.apply(late), MoveUnchanged)
        releases = log.state.parts["releases"]
        assert (releases.newest, releases.models["m"].settled) == (1, "1")
        ended = [event for event in log.state.audit if event.action == "move taken back"]
        assert [event.details for event in ended] == [{"reason": "errors"}]

    def test_steps_cannot_be_skipped(self):
        log = Log()
        log.submit("anu", note(1))
        skip = AdvanceMove(
            move="1:m", from_state=MoveState.PLANNED, from_step=0, state=MoveState.BAKING, step=3
        )
        assert isinstance(log.apply(skip), MoveUnchanged)
