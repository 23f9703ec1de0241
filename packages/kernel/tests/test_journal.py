from nutmegdrum.journal import Journal
from nutmegdrum.journal_messages import (
    EpochStart,
    Position,
    Snapshot,
    StreamHead,
    covers,
    encode_head,
    encode_snapshot,
    newest_copy,
)
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_testing.journal_world import REQ
from nutmegdrum_wire.gen.messages.ttypes import StreamAppend, StreamOpen

NOW = ElapsedMs(0)


def head_of(epoch):
    return encode_head(StreamHead(request=REQ, lineage=[EpochStart(epoch, 0)]))


def opened(tokens=(), epoch=1, generation="g", key="", owner="n1"):
    snapshot = Snapshot(head=head_of(epoch), tokens=list(tokens))
    return StreamOpen(generation, "w", epoch, key, encode_snapshot(snapshot), owner)


def append(first, tokens, epoch=1, finish=""):
    return StreamAppend("g", epoch, first, list(tokens), finish)


def make(retention_ms=1_000, max_bytes=1 << 20):
    return Journal(retention_ms, max_bytes)


class TestAppend:
    def test_repeated_appends_add_nothing(self):
        journal = make()
        journal.open(opened("ab"), NOW)
        for first, tokens in [(2, "c"), (1, "bc"), (0, "abcd")]:
            assert journal.append([append(first, tokens)], NOW)[0].accepted
        assert journal.fetch("g", "w").tokens == list("abcd")

    def test_refuses_gaps_unknown_streams_and_other_epochs(self):
        journal = make()
        assert not journal.append([append(0, "a")], NOW)[0].accepted
        journal.open(opened("ab", epoch=5), NOW)
        for refused in [append(3, "d", 5), append(2, "c", 4), append(2, "c", 6)]:
            assert not journal.append([refused], NOW)[0].accepted
        assert journal.fetch("g", "w").tokens == ["a", "b"]


class TestOpen:
    def test_a_late_older_snapshot_does_not_shorten_the_copy(self):
        journal = make()
        journal.open(opened("abc"), NOW)
        journal.open(opened("ab"), NOW)
        assert journal.fetch("g", "w").tokens == list("abc")

    def test_bound_key_returns_the_first_generation(self):
        journal = make()
        journal.open(opened(generation="g1", key="k"), NOW)
        assert journal.open(opened(generation="g2", key="k"), NOW).generation == "g1"
        journal.close("g1")
        assert journal.open(opened(generation="g2", key="k"), NOW).generation == "g2"


class TestTakeOver:
    def test_former_owner_is_fenced_off(self):
        journal = make()
        journal.open(opened("ab"), NOW)
        assert journal.take_over("g", "w", 2, NOW).tokens == ["a", "b"]
        result = journal.append([append(2, "c")], NOW)[0]
        assert (result.accepted, result.epoch) == (False, 2)
        assert journal.open(opened("abc"), NOW).epoch == 2
        assert journal.fetch("g", "w").tokens == ["a", "b"]

    def test_takeover_with_a_lower_epoch_returns_the_higher_one(self):
        journal = make()
        journal.open(opened("ab"), NOW)
        journal.take_over("g", "w", 7, NOW)
        assert journal.take_over("g", "w", 6, NOW).epoch == 7

    def test_another_workspace_finds_nothing(self):
        journal = make()
        journal.open(opened("ab", key="k"), NOW)
        assert not journal.fetch("g", "other").found
        assert not journal.take_over("g", "other", 9, NOW).found
        assert not journal.find("other", "k").found
        assert journal.append([append(2, "c")], NOW)[0].accepted


class TestBounds:
    def test_copies_expire_after_their_last_change(self):
        journal = make(retention_ms=100)
        journal.open(opened("a", key="k"), ElapsedMs(0))
        journal.append([append(1, "b")], ElapsedMs(50))
        journal.expire(ElapsedMs(149))
        assert journal.find("w", "k").found
        journal.expire(ElapsedMs(150))
        assert not journal.find("w", "k").found
        assert journal.bytes == 0

    def test_drops_the_oldest_copies_above_its_memory(self):
        journal = make(max_bytes=10_000)
        for number in range(20):
            journal.open(opened("a" * 10, generation=f"g{number}"), ElapsedMs(number))
        assert journal.bytes <= 10_000
        assert not journal.fetch("g0", "w").found
        assert journal.fetch("g19", "w").found


class TestCopies:
    def test_caller_with_tokens_of_another_owner_is_not_covered(self):
        lineage = [EpochStart(1, 0), EpochStart(5, 3)]
        assert covers(lineage, 6, Position(3, 1))
        assert covers(lineage, 6, Position(5, 5))
        assert not covers(lineage, 6, Position(4, 1))
        assert not covers(lineage, 6, Position(7, 5))

    def test_newest_owner_wins_over_longer_copy(self):
        old, new = make(), make()
        old.open(opened("abcdef", epoch=1), NOW)
        new.open(opened("ab", epoch=2), NOW)
        copies = [old.fetch("g", "w"), new.fetch("g", "w"), old.fetch("other", "w")]
        assert newest_copy(copies).tokens == ["a", "b"]
