import pytest
from nutmegdrum.silence import (
    CATCH_UP_MS,
    QUIET_MS,
    SCOUT_INTERVAL_MS,
    Decision,
    Silences,
    SilentAttempt,
)

T0 = 100_000
SILENT_MS = 1_800


class Service:
    """Service with one running attempt on each backend server, all heard at T0."""

    def __init__(self, *backends):
        self.silences = Silences()
        for backend in backends:
            self.silences.on_start("s", backend, T0)
            self.hear(backend, T0)

    def hear(self, backend, now_ms):
        self.silences.on_output("s", backend, now_ms)

    def decide(self, now_ms, is_last=False, deadline=T0 + 5_000):
        return self.silences.decide(SilentAttempt("s", "b1", deadline, is_last), now_ms)


class TestOneSilent:
    def test_is_given_up_while_another_answers(self):
        service = Service("b1", "b2")
        service.hear("b2", T0 + SILENT_MS - 50)
        assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP

    def test_is_given_up_if_nothing_is_known_of_the_others(self):
        assert Service("b1").decide(T0 + SILENT_MS) is Decision.GIVE_UP

    def test_one_that_has_just_got_work_is_no_sign_of_a_shared_silence(self):
        service = Service("b1")
        service.silences.on_start("s", "b2", T0 + SILENT_MS - QUIET_MS + 1)
        assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP

    def test_other_services_do_not_count(self):
        service = Service("b1")
        service.silences.on_start("other", "b2", T0)
        assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP

    def test_ended_attempts_do_not_count(self):
        service = Service("b1", "b2")
        service.silences.on_end("s", "b2")
        assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP

    def test_last_attempt_is_held_until_the_deadline(self):
        service = Service("b1", "b2")
        service.hear("b2", T0 + 4_999)
        assert service.decide(T0 + 4_999, is_last=True) is Decision.HOLD_LAST
        assert service.decide(T0 + 5_000, is_last=True) is Decision.GIVE_UP


class TestAllSilent:
    def test_one_attempt_moves_and_the_others_are_held_until_the_deadline(self):
        service = Service("b1", "b2", "b3")
        assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP
        for now_ms in range(T0 + SILENT_MS, T0 + SILENT_MS + SCOUT_INTERVAL_MS, 25):
            assert service.decide(now_ms) is Decision.HOLD_SHARED
        assert service.decide(T0 + SILENT_MS + SCOUT_INTERVAL_MS) is Decision.GIVE_UP
        assert service.decide(T0 + 4_999) is Decision.HOLD_SHARED
        assert service.decide(T0 + 5_000) is Decision.GIVE_UP

    def test_the_rest_gets_time_to_go_on_once_one_answers(self):
        service = Service("b1", "b2")
        assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP
        service.hear("b2", T0 + 2_500)
        assert service.decide(T0 + 2_500) is Decision.HOLD_SHARED
        service.hear("b2", T0 + 2_500 + CATCH_UP_MS)
        assert service.decide(T0 + 2_500 + CATCH_UP_MS) is Decision.GIVE_UP


@pytest.mark.parametrize("attempts", [1, 3])
def test_backend_server_without_attempts_is_no_longer_silent(attempts):
    service = Service("b1")
    for _ in range(attempts):
        service.silences.on_start("s", "b2", T0)
    for _ in range(attempts):
        service.silences.on_end("s", "b2")
    service.silences.on_end("s", "b2")
    assert service.decide(T0 + SILENT_MS) is Decision.GIVE_UP
