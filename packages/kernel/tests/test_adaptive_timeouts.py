from nutmegdrum.adaptive_timeouts import AdaptiveTimeouts
from nutmegdrum.settings import StreamSettings
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

B1 = BackendId("b1")
CFG = StreamSettings()
T0 = ElapsedMs(1_000_000)


class TestGapTimeout:
    def test_unknown_backend_server_gets_the_longest(self):
        assert AdaptiveTimeouts(CFG).gap_timeout_ms(B1, T0) == CFG.max_token_timeout

    def test_follows_the_longest_gaps_of_late(self):
        timeouts = AdaptiveTimeouts(CFG)
        timeouts.on_gap(B1, 300, T0)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_200
        assert timeouts.gap_timeout_ms(B1, ElapsedMs(T0 + 60_000)) == CFG.min_token_timeout

    def test_waits_longer_for_a_busy_backend_server(self):
        timeouts = AdaptiveTimeouts(CFG)
        timeouts.on_gap(B1, 200, T0)
        timeouts.on_load(B1, 2.0)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_600

    def test_a_silence_shortens_the_wait_until_the_backend_server_is_heard(self):
        timeouts = AdaptiveTimeouts(CFG)
        timeouts.on_gap(B1, 300, T0)
        timeouts.on_silence(B1, 1_200)
        assert timeouts.gap_timeout_ms(B1, T0) == CFG.min_token_timeout
        timeouts.on_activity(B1, T0)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_800


class TestFirstTokenTimeout:
    def test_follows_observed_first_tokens(self):
        timeouts = AdaptiveTimeouts(CFG)
        assert timeouts.first_timeout_ms(B1, T0) == CFG.first_token_timeout
        timeouts.on_first_token(B1, 500, T0)
        assert timeouts.first_timeout_ms(B1, T0) == 1_500

    def test_leaves_a_recovery_time_for_another_attempt(self):
        assert AdaptiveTimeouts(CFG).first_timeout_ms(B1, T0, remaining_ms=3_000) == 1_500
