import pytest
from nutmegdrum_coord import verdict as v
from nutmegdrum_relay.refusals import refusal_answer, refusal_status


class TestRefusalAnswer:
    @pytest.mark.parametrize("why", [v.NO_BACKEND, v.NO_QUORUM, v.OVERLOADED, v.OUTCOME_UNKNOWN])
    def test_503_is_sent_only_for_requests_that_have_not_run(self, why):
        assert refusal_status(v.Refusal(why, v.Verdict.NOT_RUN)) == 503
        assert refusal_status(v.Refusal(why, v.Verdict.MAY_HAVE_RUN)) == 502

    def test_a_passed_deadline_gives_no_backoff_hint(self):
        refusal = v.Refusal(v.DEADLINE_UNREACHABLE, v.Verdict.MAY_HAVE_RUN, 500)
        status, headers, _ = refusal_answer(refusal)
        assert status == 504
        assert "Retry-After" not in dict(headers)

    def test_the_backoff_hint_may_be_a_fraction_of_a_second(self):
        _, headers, body = refusal_answer(v.Refusal(v.NO_BACKEND, retry_after_ms=125))
        assert dict(headers)["Retry-After"] == "0.125"
        assert b'"verdict":"not-run"' in body
