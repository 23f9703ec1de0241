from nutmegdrum.journal_messages import EpochStart, StreamHead
from nutmegdrum.messages import Finish, FinishReason, Token
from nutmegdrum.session import Session
from nutmegdrum.streams import Stream
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_testing.journal_world import REQ

FINISH = Finish(FinishReason.LENGTH, 3)
TOKENS = [Token(index, f" t{index}") for index in range(3)]


def finished_session():
    stream = Stream(REQ, "g1", 1, 99)
    stream.begin("b1", "1")
    stream.accept(stream.attempt, [*TOKENS, FINISH])
    head = StreamHead(request=REQ, lineage=[EpochStart(1, 0)])
    return Session(stream, head, [], ManualClock())


class TestBatch:
    def test_contains_only_released_tokens(self):
        session = finished_session()
        session.done, session.released = False, 2
        assert session.batch(0) == TOKENS[:2]
        assert session.batch(1) == TOKENS[1:2]

    def test_finish_never_comes_before_the_last_token(self):
        session = finished_session()
        session.done, session.released = True, 2
        assert session.batch(0) == [*TOKENS, FINISH]
        assert session.batch(2) == [TOKENS[2], FINISH]
