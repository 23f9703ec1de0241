from types import SimpleNamespace

import pytest
from nutmegdrum.attempt_starter import AttemptStarter
from nutmegdrum.routing_query import RouteQuery
from nutmegdrum.settings import StreamSettings
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import NO_BACKEND, NOT_FOUND, Refusal, Verdict


def refusal_of(why, is_recovery):
    """Return the refusal of a request for which routing returns `why`."""
    clock = ManualClock()
    starter = AttemptStarter(
        StreamSettings(),
        clock,
        protocol=None,
        routing=SimpleNamespace(choose=lambda query: why),
        recovery_queue=SimpleNamespace(wait=lambda *_: True),
        attempts=SimpleNamespace(report_loss=lambda session: None),
        sleep=lambda s: clock.advance(int(s * 1_000)),
    )
    stream = SimpleNamespace(
        is_recovery=is_recovery,
        attempts=int(is_recovery),
        req=SimpleNamespace(priority=None),
        exhausted_reason=lambda: None,
        query=lambda **_: RouteQuery(model="none", workspace="w", prompt="p", generation="g"),
    )
    session = SimpleNamespace(stream=stream, last_output_ms=0, lost_at_ms=None, ended=False)
    with pytest.raises(Refusal) as caught:
        starter.begin(session)
    return caught.value


class TestRefusal:
    def test_unknown_model_is_not_found_on_the_first_attempt(self):
        refusal = refusal_of(NOT_FOUND, is_recovery=False)
        assert (refusal.why, refusal.verdict) == (NOT_FOUND, Verdict.NOT_RUN)
        assert refusal.retry_after_ms is None
        assert "none" in refusal.detail

    @pytest.mark.parametrize("why", [NOT_FOUND, NO_BACKEND])
    def test_recovery_never_reports_its_model_as_not_found(self, why):
        refusal = refusal_of(why, is_recovery=True)
        assert (refusal.why, refusal.verdict) == (NO_BACKEND, Verdict.MAY_HAVE_RUN)
        assert refusal.retry_after_ms
