from nutmegdrum.sent_keys import SentKeyRecord, SentKeys
from nutmegdrum_coord.claims import ClaimKey
from nutmegdrum_coord.clock import ManualClock

K1, K2, K3 = (ClaimKey("w", "/desk", name) for name in ("k1", "k2", "k3"))


class TestSentKeys:
    def test_a_request_counts_while_it_may_be_sent(self):
        keys = SentKeys(ManualClock())
        keys.begin(K1)
        assert keys.lookup(K1).sent
        assert not keys.lookup(K1, own=1).sent
        keys.end(K1)
        assert not keys.lookup(K1).sent

    def test_a_sent_request_counts_after_its_end(self):
        keys = SentKeys(ManualClock())
        keys.begin(K1)
        keys.note_sent(K1)
        keys.end(K1)
        assert keys.lookup(K1, own=1).sent
        assert keys.was_sent(K1)

    def test_covers_the_time_since_the_start(self):
        clock = ManualClock()
        clock.advance(5_000)
        keys = SentKeys(clock)
        clock.advance(300)
        assert keys.lookup(K1) == SentKeyRecord(sent=False, covers_ms=300)

    def test_covers_less_once_a_key_is_forgotten(self):
        clock = ManualClock()
        keys = SentKeys(clock, most=2)
        for key in (K1, K2, K3):
            clock.advance(100)
            keys.note_sent(key)
        assert keys.lookup(K1) == SentKeyRecord(sent=False, covers_ms=200)
        assert keys.lookup(K2).sent
