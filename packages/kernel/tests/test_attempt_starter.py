import threading
from types import SimpleNamespace

import pytest
from nutmegdrum.attempt_starter import MAX_REJECTIONS, AttemptStarter
from nutmegdrum.messages import BackendLost, GenerationRequest, LossKind
from nutmegdrum.routing_query import Choice, RouteQuery
from nutmegdrum.session import Session
from nutmegdrum.settings import StreamSettings
from nutmegdrum.streams import Stream
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.verdict import NO_BACKEND, NOT_FOUND, OVERLOADED, Refusal, Verdict

ALLOWING = SimpleNamespace(take=lambda *_: True, wait=lambda *_: True)
"""Retry budget that allows every resend."""


def refusal_of(why, is_recovery):
    """Return the refusal of a request for which routing returns `why`."""
    clock = ManualClock()
    starter = AttemptStarter(
        StreamSettings(),
        clock,
        protocol=None,
        routing=SimpleNamespace(choose=lambda query: why),
        recovery_queue=SimpleNamespace(wait=lambda *_: True),
        resends=ALLOWING,
        attempts=SimpleNamespace(report_loss=lambda session: None),
        sleep=lambda s: clock.advance(int(s * 1_000)),
    )
    stream = SimpleNamespace(
        is_recovery=is_recovery,
        attempts=int(is_recovery),
        sent=is_recovery,
        may_send_again=False,
        unreached_in_row=0,
        req=SimpleNamespace(model="none", priority=None),
        exhausted_reason=lambda: None,
        query=lambda **_: RouteQuery(model="none", workspace="w", prompt="p", generation="g"),
    )
    session = SimpleNamespace(
        stream=stream,
        last_output_ms=0,
        lost_at_ms=None,
        answer_by=None,
        ended=False,
        lock=threading.Lock(),
    )
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


class Fleet:
    """Backend servers that lose every attempt, each in its own way.

    Parameters
    ----------
    kinds : list of LossKind
        How each of them loses an attempt.
    """

    def __init__(self, *kinds):
        self.kinds = {f"b{number}": kind for number, kind in enumerate(kinds)}
        self.clock = ManualClock()
        self.sent = []
        self.cut_off = False
        self.starter = AttemptStarter(
            StreamSettings(),
            self.clock,
            protocol=SimpleNamespace(open=self.open),
            routing=SimpleNamespace(choose=self.choose),
            recovery_queue=SimpleNamespace(wait=lambda *_: True),
            resends=ALLOWING,
            attempts=SimpleNamespace(
                report_loss=lambda session: None,
                record_start=lambda session, attempt: None,
                lose=self.lose,
            ),
            sleep=lambda s: self.clock.advance(int(s * 1_000)),
            is_cut_off=lambda model: self.cut_off,
        )

    def choose(self, query):
        left = [name for name in self.kinds if name not in query.excluded]
        return Choice(SimpleNamespace(id=left[0]), "1") if left else NO_BACKEND

    def open(self, backend, call, timeout_ms):
        self.sent.append(backend.id)
        self.clock.advance(20)
        kind = self.kinds[backend.id]
        raise BackendLost(backend.id, kind, sent=kind is not LossKind.REFUSED)

    def lose(self, session, attempt, loss):
        session.attempt = None
        session.stream.lose(attempt.number, loss.kind, self.clock.elapsed_ms())

    def refusal(self, tokens=()):
        """Return the refusal of a stream that has `tokens` and is lost now."""
        req = GenerationRequest(workspace="w", model="m", prompt="p", max_tokens=9, seed=1)
        stream = Stream(req, "g", 1, max_attempts=6, version="1", tokens=tokens)
        session = Session(stream, None, [], self.clock)
        session.lost_at_ms = self.clock.elapsed_ms()
        with pytest.raises(Refusal) as caught:
            while True:
                self.starter.begin(session)
        return caught.value


class TestUnreachedServers:
    def test_a_request_that_reached_no_server_has_no_backend(self):
        fleet = Fleet(*[LossKind.REFUSED] * 20)
        refusal = fleet.refusal()
        assert (refusal.why, refusal.verdict) == (NO_BACKEND, Verdict.NOT_RUN)
        assert len(fleet.sent) == MAX_REJECTIONS

    @pytest.mark.parametrize("kinds", [[LossKind.BUSY], [LossKind.REFUSED, LossKind.BUSY]])
    @pytest.mark.parametrize("repeated", [1, 10], ids=["few", "many"])
    def test_a_request_that_a_server_rejected_is_refused_as_overloaded(self, kinds, repeated):
        refusal = Fleet(*kinds * repeated).refusal()
        assert (refusal.why, refusal.verdict) == (OVERLOADED, Verdict.NOT_RUN)

    @pytest.mark.parametrize("servers", [3, 20])
    def test_a_recovery_that_reaches_no_server_ends_at_its_deadline(self, servers):
        fleet = Fleet(*[LossKind.REFUSED] * servers)
        refusal = fleet.refusal(tokens=["a", "b"])
        assert (refusal.why, refusal.verdict) == (NO_BACKEND, Verdict.MAY_HAVE_RUN)
        assert fleet.clock.elapsed_ms() <= int(StreamSettings().recovery_deadline) + 300

    def test_a_recovery_ends_at_once_if_others_are_known_to_reach_the_servers(self):
        fleet = Fleet(*[LossKind.REFUSED] * 20)
        fleet.cut_off = True
        refusal = fleet.refusal(tokens=["a", "b"])
        assert (refusal.why, refusal.verdict) == (NO_BACKEND, Verdict.MAY_HAVE_RUN)
        assert len(fleet.sent) == MAX_REJECTIONS
