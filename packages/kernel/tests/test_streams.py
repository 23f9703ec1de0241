import pytest
from nutmegdrum.messages import Finish, FinishReason, GenerationRequest, LossKind, Token
from nutmegdrum.streams import Stream, StreamState
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import (
    BackendId,
    Epoch,
    GenerationId,
    ModelName,
    VersionName,
    WorkspaceId,
)

REQ = GenerationRequest(
    workspace=WorkspaceId("w"), model=ModelName("m"), prompt="p", max_tokens=8, seed=1
)
B1, B2 = BackendId("b1"), BackendId("b2")
V1, V2 = VersionName("1"), VersionName("2")
NOW = ElapsedMs(5)


def make(**kwargs):
    return Stream(REQ, GenerationId("g"), Epoch(1), 3, **kwargs)


class TestStream:
    def test_accepts_the_next_tokens_and_the_finish(self):
        stream = make()
        call = stream.begin(B1, V1)
        items = [Token(0, "a"), Token(1, "b"), Finish(FinishReason.STOP, 2)]
        assert stream.accept(call.attempt, items) == items
        assert stream.state is StreamState.FINISHED

    def test_drops_repeats_gaps_and_older_attempts(self):
        stream = make()
        first = stream.begin(B1, V1).attempt
        stream.accept(first, [Token(0, "a")])
        stream.lose(first, LossKind.RESET, NOW)
        second = stream.begin(B2, V1)
        assert second.prefix == ["a"]
        assert stream.accept(first, [Token(1, "x")]) == []
        assert stream.accept(second.attempt, [Token(0, "a"), Token(2, "c")]) == []
        assert stream.dropped == 3
        assert stream.tokens == ["a"]

    def test_drops_a_finish_that_counts_other_tokens(self):
        stream = make()
        attempt = stream.begin(B1, V1).attempt
        assert stream.accept(attempt, [Finish(FinishReason.STOP, 1)]) == []
        assert stream.state is StreamState.RUNNING

    def test_version_is_free_until_a_token_was_accepted(self):
        stream = make()
        first = stream.begin(B1, V1).attempt
        stream.lose(first, LossKind.REFUSED, NOW)
        assert stream.query().version is None
        second = stream.begin(B2, V2).attempt
        stream.accept(second, [Token(0, "a")])
        stream.lose(second, LossKind.RESET, NOW)
        assert stream.query().version == V2
        with pytest.raises(ValueError):
            stream.begin(B1, V1)

    def test_avoids_lost_backend_servers_and_runs_apart_after_a_crash(self):
        stream = make()
        stream.lose(stream.begin(B1, V1).attempt, LossKind.REFUSED, NOW)
        assert stream.query().excluded == {B1}
        assert not stream.query().isolated
        stream.lose(stream.begin(B2, V1).attempt, LossKind.RESET, NOW)
        assert stream.query().excluded == {B1, B2}
        assert stream.query().isolated

    def test_attempts_are_bounded(self):
        stream = make()
        for _ in range(3):
            assert not stream.exhausted_reason()
            stream.lose(stream.begin(B1, V1).attempt, LossKind.RESET, NOW)
        assert stream.exhausted_reason() is not None

    def test_attempts_of_two_owners_have_different_numbers(self):
        later = Stream(REQ, GenerationId("g"), Epoch(2), 3)
        assert make().begin(B1, V1).attempt != later.begin(B1, V1).attempt
