import pytest
from nutmegdrum.units import Duration
from nutmegdrum_coord.verdict import Verdict
from nutmegdrum_relay.documents import RouteKind
from nutmegdrum_relay.retry_policy import (
    MAX_UNSENT_ATTEMPTS,
    Loss,
    Progress,
    attempt_timeout,
    come_back_after,
    may_retry,
)
from nutmegdrum_testing.relay_world import route

MAY_HAVE_RUN = [Loss.BROKEN, Loss.SILENT, Loss.FAILED]
NOT_RUN = [Loss.NOT_SENT, Loss.OTHER_BACKEND, Loss.NOT_RUN]


def progress(sent=1, unsent=0, left=1_000):
    return Progress(sent, unsent, Duration(left))


class TestVerdicts:
    @pytest.mark.parametrize("loss", NOT_RUN)
    def test_what_has_not_run(self, loss):
        assert loss.verdict is Verdict.NOT_RUN

    @pytest.mark.parametrize("loss", MAY_HAVE_RUN)
    def test_what_may_have_run(self, loss):
        assert loss.verdict is not Verdict.NOT_RUN


class TestMayRetry:
    @pytest.mark.parametrize("loss", MAY_HAVE_RUN)
    def test_non_idempotent_requests_are_never_sent_again_after_they_may_have_run(self, loss):
        assert not may_retry(route(RouteKind.NON_IDEMPOTENT), loss, progress())
        assert not may_retry(route(RouteKind.STREAM, resumable=False), loss, progress())

    @pytest.mark.parametrize("loss", NOT_RUN)
    def test_what_has_not_run_goes_elsewhere(self, loss):
        for kind in RouteKind:
            assert may_retry(route(kind), loss, progress())

    @pytest.mark.parametrize("loss", [*MAY_HAVE_RUN, *NOT_RUN])
    def test_no_more_than_the_routes_attempts_and_time(self, loss):
        idempotent = route(RouteKind.IDEMPOTENT, max_attempts=2)
        assert may_retry(idempotent, loss, progress(sent=1))
        assert not may_retry(idempotent, loss, progress(sent=2))
        assert not may_retry(idempotent, loss, progress(left=0))

    def test_attempts_that_reach_nobody_are_bounded_by_themselves(self):
        once = route(RouteKind.NON_IDEMPOTENT, max_attempts=1)
        assert may_retry(once, Loss.NOT_SENT, progress(sent=0, unsent=1))
        assert not may_retry(once, Loss.NOT_SENT, progress(0, MAX_UNSENT_ATTEMPTS))


class TestTimes:
    def test_only_an_idempotent_request_with_attempts_left_keeps_time_back(self):
        idempotent = route(RouteKind.IDEMPOTENT, max_attempts=2)
        assert attempt_timeout(idempotent, progress(sent=0)) == 400
        assert attempt_timeout(idempotent, progress(sent=1)) == 1_000
        assert attempt_timeout(route(RouteKind.NON_IDEMPOTENT), progress(sent=0)) == 1_000

    def test_refused_callers_come_back_within_a_second(self):
        assert come_back_after(route(RouteKind.IDEMPOTENT)) == 200
        assert come_back_after(route(RouteKind.STREAM, latency_objective=Duration(4_500))) == 1_000
