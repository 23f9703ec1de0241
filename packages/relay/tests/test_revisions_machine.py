from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.ids import LogPosition
from nutmegdrum_coord.parts import CompositeState, decode_answer, encode_command
from nutmegdrum_relay.revisions import (
    DocumentStored,
    PutAnswer,
    PutDocument,
    Revisions,
    VersionTaken,
)


class RevisionsMachine(RuleBasedStateMachine):
    """Concurrent and resent documents of operators, across restarts."""

    def __init__(self):
        super().__init__()
        self.part = Revisions()
        self.state = CompositeState([self.part])
        self.position = 0
        self.held: dict[int, bytes] = {}
        self.highest = 0

    @rule(version=st.integers(1, 6), source=st.sampled_from([b"x", b"y"]))
    def put(self, version, source):
        self.position += 1
        command = encode_command(PutDocument(version=version, source=source))
        data = self.state.apply(LogPosition(self.position), LogMs(0), command)
        answer = decode_answer(data, PutAnswer)
        if version == self.highest and self.held[version] != source:
            assert answer == VersionTaken(version=version)
            return
        if version > self.highest:
            self.highest = version
            self.held[version] = source
        assert answer == DocumentStored(newest=self.highest)

    @rule()
    def restart_from_snapshot(self):
        snapshot = self.state.snapshot()
        self.part = Revisions()
        self.state = CompositeState([self.part])
        self.state.restore(snapshot)

    @invariant()
    def newest_is_the_first_document_under_the_highest_version(self):
        assert self.part.newest.version == self.highest
        assert self.part.newest.source == self.held.get(self.highest, b"")


TestRevisions = RevisionsMachine.TestCase
TestRevisions.settings = settings(max_examples=100, stateful_step_count=30)
