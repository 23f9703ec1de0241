from types import SimpleNamespace

import pytest
from nutmegdrum.attempt_starter import AttemptStarter
from nutmegdrum.routing_query import RouteQuery
from nutmegdrum.settings import StreamSettings
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import NO_BACKEND, NOT_FOUND, Refusal, Verdict


def refusal_of(why, recovers):
    """Return how a request is refused for which routing names no backend server."""
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
        recovers=recovers,
        attempts=int(recovers),
        req=SimpleNamespace(priority=None),
        exhausted_reason=lambda: None,
        query=lambda **_: RouteQuery(model="none", workspace="w", prompt="p", generation="g"),
    )
    session = SimpleNamespace(stream=stream, last_output_ms=0, lost_at_ms=None, ended=False)
    with pytest.raises(Refusal) as caught:
        starter.begin(session)
    return caught.value


class TestRefusal:
    def test_a_first_attempt_at_an_unknown_model_is_not_found(self):
        refusal = refusal_of(NOT_FOUND, recovers=False)
        assert (refusal.why, refusal.verdict) == (NOT_FOUND, Verdict.NOT_RUN)
        assert refusal.retry_after_ms is None
        assert "none" in refusal.detail

    @pytest.mark.parametrize("why", [NOT_FOUND, NO_BACKEND])
    def test_a_recovery_never_says_that_its_model_does_not_exist(self, why):
        refusal = refusal_of(why, recovers=True)
        assert (refusal.why, refusal.verdict) == (NO_BACKEND, Verdict.MAY_HAVE_RUN)
        assert refusal.retry_after_ms
