import pytest
from nutmegdrum.adaptive_timeouts import AdaptiveTimeouts
from nutmegdrum.settings import StreamSettings
from nutmegdrum.units import Duration
from nutmegdrum_coord.clock import ElapsedMs
from nutmegdrum_coord.ids import BackendId

B1 = BackendId("b1")
CFG = StreamSettings()
SHORT = StreamSettings(min_token_timeout=Duration(600))
T0 = ElapsedMs(1_000_000)


class TestGapTimeout:
    def test_unknown_backend_server_gets_the_longest_timeout(self):
        assert AdaptiveTimeouts(CFG).gap_timeout_ms(B1, T0) == CFG.max_token_timeout

    def test_follows_the_longest_recent_gaps(self):
        timeouts = AdaptiveTimeouts(SHORT)
        timeouts.on_gap(B1, 300, T0)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_200
        assert timeouts.gap_timeout_ms(B1, ElapsedMs(T0 + 120_000)) == SHORT.min_token_timeout

    def test_timeout_grows_with_load(self):
        timeouts = AdaptiveTimeouts(SHORT)
        timeouts.on_gap(B1, 200, T0)
        timeouts.on_load(B1, 2.0)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_600

    def test_timeout_is_shortest_after_a_loss_until_the_backend_server_sends_again(self):
        timeouts = AdaptiveTimeouts(SHORT)
        timeouts.on_gap(B1, 300, T0)
        timeouts.on_timeout(B1, 1_200)
        assert timeouts.gap_timeout_ms(B1, T0) == SHORT.min_token_timeout + 300
        timeouts.on_activity(B1, T0)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_800

    @pytest.mark.parametrize("gap_ms", [1, 60, 150, 200])
    @pytest.mark.parametrize("alarm", [False, True])
    def test_outlasts_a_silence_after_the_usual_gap(self, gap_ms, alarm):
        timeouts = AdaptiveTimeouts(CFG)
        timeouts.on_gap(B1, gap_ms, T0)
        if alarm:
            timeouts.on_timeout(B1, 1_800 + gap_ms)
        assert timeouts.gap_timeout_ms(B1, T0) == 1_800 + gap_ms

    def test_never_exceeds_the_longest_timeout(self):
        timeouts = AdaptiveTimeouts(CFG)
        timeouts.on_gap(B1, 1_500, T0)
        assert timeouts.gap_timeout_ms(B1, T0) == CFG.max_token_timeout
        timeouts.on_timeout(B1, 2_000)
        assert timeouts.gap_timeout_ms(B1, T0) == CFG.max_token_timeout


class TestFirstTokenTimeout:
    def test_follows_observed_times_to_first_token(self):
        timeouts = AdaptiveTimeouts(CFG)
        assert timeouts.first_timeout_ms(B1, T0) == CFG.first_token_timeout
        timeouts.on_first_token(B1, 950, T0)
        assert timeouts.first_timeout_ms(B1, T0) == 2_850

    def test_outlasts_a_silence_before_the_usual_time(self):
        timeouts = AdaptiveTimeouts(CFG)
        timeouts.on_first_token(B1, 500, T0)
        assert timeouts.first_timeout_ms(B1, T0) == 2_300

    @pytest.mark.parametrize("remaining_ms,expected", [(4_400, 2_200), (3_000, 1_800), (0, 1_800)])
    def test_recovery_reserves_time_for_another_attempt(self, remaining_ms, expected):
        timeouts = AdaptiveTimeouts(CFG)
        assert timeouts.first_timeout_ms(B1, T0, remaining_ms=remaining_ms) == expected
