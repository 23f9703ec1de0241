import pytest
from nutmegdrum.shutdown import Phase, Shutdown

NOTICE_MS = 3_000
TIMEOUT_MS = 60_000


@pytest.fixture
def shutdown():
    begun = Shutdown(NOTICE_MS, TIMEOUT_MS)
    begun.begin(1_000)
    return begun


class TestShutdown:
    def test_serving_before_the_shutdown_starts(self):
        assert Shutdown(NOTICE_MS, TIMEOUT_MS).phase(10**9, 0) is Phase.SERVING

    @pytest.mark.parametrize("open_requests", [0, 5])
    def test_serves_new_requests_during_the_notice(self, shutdown, open_requests):
        assert shutdown.phase(1_000 + NOTICE_MS - 1, open_requests) is Phase.NOTICE

    def test_is_done_when_the_last_request_has_ended(self, shutdown):
        assert shutdown.phase(1_000 + NOTICE_MS, 1) is Phase.DRAINING
        assert shutdown.phase(1_000 + NOTICE_MS, 0) is Phase.DONE

    def test_hands_over_streams_before_the_timeout_and_is_done_at_it(self, shutdown):
        assert shutdown.phase(1_000 + 49_999, 1) is Phase.DRAINING
        assert shutdown.phase(1_000 + 50_000, 1) is Phase.HANDING_OVER
        assert shutdown.phase(1_000 + TIMEOUT_MS, 1) is Phase.DONE

    def test_second_signal_does_not_restart_the_shutdown(self, shutdown):
        shutdown.begin(50_000)
        assert shutdown.phase(1_000 + TIMEOUT_MS, 1) is Phase.DONE

    def test_takes_what_is_complete_within_the_notice(self, shutdown):
        assert Shutdown(NOTICE_MS, TIMEOUT_MS).may_take(10**9)
        assert shutdown.may_take(999)
        assert shutdown.may_take(1_000 + NOTICE_MS - 1)
        assert not shutdown.may_take(1_000 + NOTICE_MS)
        assert not shutdown.may_take(1_000 + TIMEOUT_MS)
