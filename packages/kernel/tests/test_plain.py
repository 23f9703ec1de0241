import contextlib
import random

import pytest
from nutmegdrum.claimed_calls import ClaimAccess
from nutmegdrum.crashguard import CrashGuard
from nutmegdrum.guarded_routing import GuardedRouting
from nutmegdrum.messages import BackendLost, LossKind
from nutmegdrum.plain import PlainHandler
from nutmegdrum.plain_http import PlainReply, SendForbidden
from nutmegdrum.plugins import Registry
from nutmegdrum.queries import ClaimKnown
from nutmegdrum.routing import Router
from nutmegdrum.settings import Settings, parse_settings
from nutmegdrum_coord.claims import Claims
from nutmegdrum_coord.clock import LogMs, ManualClock
from nutmegdrum_coord.ids import IncarnationId, LogPosition, VmId, WorkspaceId
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import Quarantine
from nutmegdrum_coord.verdict import (
    BACKEND_LOST,
    DISPATCH_EXPIRED,
    KEY_CONFLICT,
    NO_QUORUM,
    OUTCOME_UNKNOWN,
    Refusal,
    Verdict,
)

SETTINGS = b"""{
  "deployment": "d", "vm": {"id": "e1", "data_centre": "dc", "region": "r"}, "roles": ["entry"],
  "listen": {"ops": "127.0.0.1:0", "peers": "127.0.0.1:0", "callers": "127.0.0.1:0"},
  "state_replicas": [], "services": [{"name": "desk", "kind": "plain"}],
  "routes": [{"prefix": "/desk", "service": "desk",
              "methods": {"GET": "idempotent", "POST": "non-idempotent"}}],
  "claims": {"join_wait": "0ms"},
  "backend_servers": [
    {"id": "b1", "address": "127.0.0.1:1", "service": "desk", "data_centre": "dc"},
    {"id": "b2", "address": "127.0.0.1:2", "service": "desk", "data_centre": "dc"}]}"""


class State:
    """Fake of the state replicas, whose answers can be lost."""

    def __init__(self):
        self.claims = Claims()
        self.quarantine = Quarantine()
        self.failure: Refusal | None = None
        self.applies = True
        self.readable = True
        self.age_ms = 0
        self.vms = []

    def look_up(self, begin):
        if not self.readable:
            return []
        answer = self.claims.look_up(begin.key, begin.digest)
        return [ClaimKnown(answer=answer, age_ms=self.age_ms)]

    def propose(self, command):
        answer = None
        if self.applies:
            ctx = Context(LogPosition(1), LogMs(0), Envelope(command=b""))
            claims = type(command) in Claims.commands
            answer = (self.claims if claims else self.quarantine).apply(ctx, command)
        if self.failure is not None:
            raise self.failure
        return answer


class Sender:
    """Fake of the backend servers, which run calls, refuse connections or break them off."""

    def __init__(self):
        self.runs = []
        self.refusing = set()
        self.breaking = set()
        self.status = 201
        self.before_send = lambda: None

    def send(self, backend, call, may_send, connect_timeout_ms, timeout_ms, extend=None):
        if backend.id in self.refusing:
            raise BackendLost(backend.id, LossKind.REFUSED, False)
        self.before_send()
        if not may_send():
            raise SendForbidden
        self.runs.append((backend.id, call))
        if backend.id in self.breaking:
            raise BackendLost(backend.id, LossKind.RESET, True)
        return PlainReply(self.status, {"X-Run": str(len(self.runs))}, b"booked")


class Vm:
    """Plain-request handler of one entry VM, with shared state and backend servers."""

    def __init__(self, state=None, sender=None, name="e1", budget=None):
        self.cfg: Settings = parse_settings(SETTINGS)
        self.clock = ManualClock()
        self.state = state or State()
        self.sender = sender or Sender()
        router = Router(self.cfg, self.clock, random.Random(1), Registry())
        writer = ClaimAccess(
            VmId(name),
            IncarnationId(name),
            self.state.propose,
            self.state.look_up,
            self._ask_entry_vms,
        )
        self.state.vms.append(self)
        self.answers = True
        guard = CrashGuard(VmId(name), self.clock, self.state.propose, lambda backend: True)
        routing = GuardedRouting(router, guard)
        self.handler = PlainHandler(
            self.cfg, self.clock, routing, guard, writer, budget, self.sender
        )

    def _ask_entry_vms(self, key):
        others = [vm for vm in self.state.vms if vm is not self]
        return [vm.handler.sent_key_record(key) if vm.answers else None for vm in others]

    def call(self, method="POST", body=b"farm 7", key="k1", headers=None):
        headers = {**(headers or {}), **({"Idempotency-Key": key} if key else {})}
        route = self.handler.find_route("/desk/bookings")
        workspace = WorkspaceId("w")
        return self.handler.handle(workspace, route, method, "/desk/bookings", headers, body)

    def refusal(self, **options):
        with pytest.raises(Refusal) as caught:
            self.call(**options)
        return caught.value


class TestNonIdempotentCall:
    def test_resend_at_another_vm_gets_the_recorded_reply(self):
        first = Vm()
        second = Vm(first.state, first.sender, "e2")
        assert first.call().body == b"booked"
        assert second.call().headers["Idempotency-Replayed"] == "true"
        assert len(first.sender.runs) == 1

    def test_same_key_with_another_body_is_a_conflict(self):
        vm = Vm()
        vm.call()
        refusal = vm.refusal(body=b"farm 8")
        assert (refusal.why, refusal.verdict) == (KEY_CONFLICT, Verdict.NOT_RUN)

    def test_connection_refused_tries_another_backend_server(self):
        vm = Vm()
        vm.sender.refusing = {"b1"}
        for index in range(8):
            assert vm.call(key=f"k{index}").status == 201
        assert {backend for backend, _ in vm.sender.runs} == {"b2"}

    def test_all_connections_refused_releases_the_claim(self):
        vm = Vm()
        vm.sender.refusing = {"b1", "b2"}
        assert vm.refusal().verdict is Verdict.NOT_RUN
        vm.sender.refusing = set()
        assert vm.call().status == 201

    def test_loss_after_sending_is_never_retried(self):
        vm = Vm()
        vm.sender.breaking = {"b1", "b2"}
        refusal = vm.refusal()
        assert (refusal.why, refusal.verdict) == (BACKEND_LOST, Verdict.MAY_HAVE_RUN)
        vm.sender.breaking = set()
        refusal = Vm(vm.state, vm.sender, "e2").refusal()
        assert (refusal.why, refusal.verdict) == (OUTCOME_UNKNOWN, Verdict.MAY_HAVE_RUN)
        assert len(vm.sender.runs) == 1

    def test_owner_paused_past_the_dispatch_deadline_sends_nothing(self):
        vm = Vm()
        vm.sender.before_send = lambda: vm.clock.advance(vm.cfg.claims.dispatch_deadline)
        refusal = vm.refusal()
        assert (refusal.why, refusal.verdict) == (DISPATCH_EXPIRED, Verdict.NOT_RUN)
        assert vm.sender.runs == []
        vm.sender.before_send = lambda: None
        assert vm.call().status == 201

    def test_no_quorum_is_refused_as_not_run(self):
        vm = Vm()
        vm.clock.advance(1)
        vm.state.applies = False
        vm.state.failure = Refusal(NO_QUORUM, Verdict.NOT_RUN)
        refusal = vm.refusal()
        assert (refusal.why, refusal.verdict) == (NO_QUORUM, Verdict.NOT_RUN)
        assert refusal.retry_after_ms
        assert vm.handler.pending_claims() == 0

    def test_resend_without_quorum_gets_the_recorded_reply_from_a_replica(self):
        vm = Vm()
        vm.call()
        vm.state.failure = Refusal(NO_QUORUM, Verdict.NOT_RUN)
        vm.state.applies = False
        assert Vm(vm.state, vm.sender, "e2").call().headers["Idempotency-Replayed"] == "true"

    def test_resend_without_any_replica_may_have_run(self):
        vm = Vm()
        vm.state.applies = vm.state.readable = False
        vm.state.failure = Refusal(NO_QUORUM, Verdict.NOT_RUN)
        assert vm.refusal().verdict is Verdict.MAY_HAVE_RUN
        assert vm.refusal(key="").verdict is Verdict.NOT_RUN

    def test_claim_with_an_unknown_outcome_is_not_run_and_released_later(self):
        vm = Vm()
        other = Vm(vm.state, vm.sender, "e2")
        for each in (vm, other):
            each.clock.advance(1)
        vm.state.failure = Refusal(NO_QUORUM, Verdict.MAY_HAVE_RUN)
        assert vm.refusal().verdict is Verdict.NOT_RUN
        vm.state.failure = None
        assert other.refusal().verdict is Verdict.MAY_HAVE_RUN
        vm.clock.advance(1_000)
        vm.handler.tick()
        assert other.call().status == 201
        assert len(vm.sender.runs) == 1

    def test_calls_without_a_key_all_run_and_leave_no_claim(self):
        vm = Vm()
        vm.call(key="")
        vm.call(key="")
        assert len(vm.sender.runs) == 2
        assert len(vm.state.claims) == 0

    def test_resend_without_quorum_after_a_send_may_have_run(self):
        vm = Vm()
        vm.call()
        vm.state.failure = Refusal(NO_QUORUM, Verdict.NOT_RUN)
        assert vm.refusal().verdict is Verdict.MAY_HAVE_RUN


class TestWithoutQuorum:
    """Guards against a wrong `not-run`: the only replica that answers lacks the newest claims."""

    AGE_MS = 2_000

    def world(self):
        first = Vm()
        second = Vm(first.state, first.sender, "e2")
        for vm in (first, second):
            vm.clock.advance(10_000)
        return first, second

    def lose_quorum(self, state):
        state.claims = Claims()
        state.applies = False
        state.age_ms = self.AGE_MS
        state.failure = Refusal(NO_QUORUM, Verdict.NOT_RUN)

    def test_sending_vm_knows_a_claim_that_the_replica_lacks(self):
        first, second = self.world()
        first.call()
        self.lose_quorum(first.state)
        assert second.refusal().verdict is Verdict.MAY_HAVE_RUN
        assert second.refusal(key="k2").verdict is Verdict.NOT_RUN

    def test_request_that_another_vm_may_still_send_may_have_run(self):
        first, second = self.world()
        verdicts = []

        def resend():
            self.lose_quorum(first.state)
            verdicts.append(second.refusal().verdict)

        first.sender.before_send = resend
        first.call()
        assert verdicts == [Verdict.MAY_HAVE_RUN]

    def test_unreachable_vm_may_have_sent_the_request(self):
        first, second = self.world()
        first.call()
        self.lose_quorum(first.state)
        first.answers = False
        assert second.refusal().verdict is Verdict.MAY_HAVE_RUN

    def test_vm_restarted_within_the_age_of_the_replica_may_have_sent_the_request(self):
        first, second = self.world()
        first.call()
        self.lose_quorum(first.state)
        first.state.vms.remove(first)
        restarted = Vm(first.state, first.sender)
        restarted.clock.advance(self.AGE_MS)
        assert second.refusal().verdict is Verdict.MAY_HAVE_RUN

    def test_replica_of_unknown_age_does_not_exclude_an_earlier_send(self):
        first, second = self.world()
        self.lose_quorum(first.state)
        first.state.age_ms = None
        assert second.refusal().verdict is Verdict.MAY_HAVE_RUN


class TestIdempotentCall:
    def test_loss_is_retried_on_another_backend_server_without_quorum(self):
        vm = Vm()
        vm.state.failure = Refusal(NO_QUORUM, Verdict.NOT_RUN)
        vm.sender.breaking = {"b1"}
        for _ in range(4):
            assert vm.call(method="GET", key="").status == 201

    def test_loss_on_all_backend_servers_may_have_run(self):
        vm = Vm()
        vm.sender.breaking = {"b1", "b2"}
        assert vm.refusal(method="GET").verdict is Verdict.MAY_HAVE_RUN
        assert len(vm.sender.runs) == 2


class Budget:
    """Fake of the retry budget, which allows `left` resends."""

    def __init__(self, left):
        self.left = left
        self.requests = []
        self.asked = 0

    def on_request(self, service):
        self.requests.append(service)

    def take(self, service, kind):
        self.asked += 1
        self.left -= 1
        return self.left >= 0


class TestRetryBudget:
    @pytest.mark.parametrize("left", [0, 1])
    def test_an_idempotent_call_is_sent_again_only_within_the_budget(self, left):
        vm = Vm(budget=Budget(left))
        vm.sender.status = 503
        assert vm.call(method="GET").status == 503
        assert len(vm.sender.runs) == 1 + left

    def test_refused_connections_cost_nothing(self):
        budget = Budget(9)
        vm = Vm(budget=budget)
        vm.sender.status = 503
        vm.sender.before_send = lambda: vm.sender.refusing.update({"b1", "b2"})
        assert vm.call(method="GET").status == 503
        assert (len(vm.sender.runs), budget.asked) == (1, 1)
        assert vm.refusal(method="GET").verdict is Verdict.NOT_RUN
        assert budget.asked == 1

    def test_a_call_is_counted_by_the_vm_that_got_it_from_the_caller(self):
        budget = Budget(9)
        vm = Vm(budget=budget)
        vm.call(method="GET")
        vm.call(method="GET", headers={"nutmegdrum-passed-on": "e2"})
        assert budget.requests == ["desk"]

    @pytest.mark.parametrize("breaks", [True, False])
    def test_a_non_idempotent_call_is_never_sent_again(self, breaks):
        vm = Vm(budget=Budget(9))
        vm.sender.status = 503
        vm.sender.breaking = {"b1", "b2"} if breaks else set()
        for _ in range(3):
            with contextlib.suppress(Refusal):
                vm.call()
        assert len(vm.sender.runs) == 1
