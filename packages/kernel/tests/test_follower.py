import pytest
from nutmegdrum.follower import OWNER_SILENCE_MS, POLL_MS, StreamFollower
from nutmegdrum.journal_messages import EpochStart, StreamHead, encode_head
from nutmegdrum.journal_reader import CopyAnswers
from nutmegdrum.messages import Finish, FinishReason
from nutmegdrum.session import ReadBatch
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import DEADLINE_UNREACHABLE, Refusal, Verdict
from nutmegdrum_testing.journal_world import REQ
from nutmegdrum_wire.gen.messages.ttypes import StreamCopy

PATIENCE_MS = 6_000
FOREVER = 10**9
RPC_MS = 400


class Joiner:
    """Caller at another VM than the owner, in model time.

    Parameters
    ----------
    dead_at : int
        Time from which the owner does not answer, in ms.
    goes_on_at : int
        Time at which the owner adds the rest of the stream, in ms.
    """

    def __init__(self, dead_at=FOREVER, goes_on_at=FOREVER, until=None, tokens=("a",)):
        self.tokens = list(tokens)
        self.dead_at = dead_at
        self.goes_on_at = goes_on_at
        self.clock = ManualClock()
        self.began_ms = self.clock.elapsed_ms()
        self.taken_over_ms = None
        self.follower = StreamFollower(
            self.clock,
            self,
            "g",
            "w",
            self.take_over,
            lambda s: self.clock.advance(int(s * 1_000)),
            PATIENCE_MS,
            None if until is None else self.began_ms + until,
        )

    @property
    def now_ms(self):
        return self.clock.elapsed_ms() - self.began_ms

    def fetch(self, generation, workspace):
        whole = self.now_ms >= self.goes_on_at
        copy = StreamCopy(
            generation="g",
            workspace="w",
            epoch=1,
            request=encode_head(StreamHead(request=REQ, lineage=[EpochStart(1, 0)])),
            tokens=["a", "b"] if whole else self.tokens,
            finish_reason="length" if whole else "",
            owner="n1",
            found=True,
        )
        return CopyAnswers({"n2": copy})

    def answers(self, vm, generation, workspace):
        assert vm == "n1"
        if self.now_ms < self.dead_at:
            return True
        self.clock.advance(RPC_MS)
        return False

    def take_over(self, position):
        self.taken_over_ms = self.now_ms
        yield ReadBatch(2, [Finish(FinishReason.LENGTH, 1)])

    def read(self):
        items = [item for part in self.follower.read() for item in part.items]
        assert isinstance(items[-1], Finish)


class TestSilentStream:
    @pytest.mark.parametrize("goes_on_at", [1_500, 4_000, 5_500])
    def test_is_left_to_an_owner_that_answers(self, goes_on_at):
        joiner = Joiner(goes_on_at=goes_on_at)
        joiner.read()
        assert joiner.taken_over_ms is None

    @pytest.mark.parametrize("dead_at", [0, 2_000])
    def test_is_taken_over_from_a_dead_owner_in_time(self, dead_at):
        joiner = Joiner(dead_at=dead_at)
        joiner.read()
        assert OWNER_SILENCE_MS < joiner.taken_over_ms <= OWNER_SILENCE_MS + RPC_MS + 2 * POLL_MS

    def test_is_taken_over_as_soon_as_its_owner_is_dead(self):
        joiner = Joiner(dead_at=4_000)
        joiner.read()
        assert 4_000 <= joiner.taken_over_ms <= 4_000 + RPC_MS + 2 * POLL_MS

    def test_is_taken_over_if_it_has_no_token(self):
        joiner = Joiner(tokens=())
        joiner.read()
        assert OWNER_SILENCE_MS < joiner.taken_over_ms <= OWNER_SILENCE_MS + 2 * POLL_MS

    def test_is_taken_over_from_an_owner_that_has_lost_it(self):
        joiner = Joiner()
        joiner.read()
        assert PATIENCE_MS < joiner.taken_over_ms <= PATIENCE_MS + 2 * POLL_MS


class TestDeadline:
    def test_is_answered_by_the_deadline(self):
        joiner = Joiner(until=2_000)
        with pytest.raises(Refusal) as caught:
            joiner.read()
        refusal = caught.value
        assert (refusal.why, refusal.verdict) == (DEADLINE_UNREACHABLE, Verdict.MAY_HAVE_RUN)
        assert joiner.now_ms == 2_000
