import itertools
import random
import threading
from collections import Counter

import msgspec
import pytest
from nutmegdrum_coord.clock import SystemClock
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.faults import Fault, FaultKind
from nutmegdrum_testing.waiting import wait_for

CALL_MS = 20
DISPATCH_DEADLINE_MS = 2_000
CRASHES_ALLOWED, REQUESTS_ALLOWED = 5, 3
"""The users' bound on a deadly part: crashes, and requests that may still be sent 3 s later."""

OPTIONS = Options(
    states=3, entries=2, engines=1, plains=2, plain_options=["--call-ms", str(CALL_MS)]
)


@pytest.fixture
def deployment():
    with Deployment(OPTIONS) as running:
        yield running


class Booking:
    """Booking made on a separate thread."""

    def __init__(self, caller, what, key, entry=0):
        self.what = what
        self.key = key
        self.result = None
        self._call = (caller, entry)
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        caller, entry = self._call
        self.result = caller.book(self.what, self.key, entry)

    def join(self):
        self._thread.join(40)
        assert self.result is not None
        return self.result


def executions_of(deployment, key):
    return [entry for entry in deployment.executions() if entry["key"] == key]


def executed(deployment):
    return wait_for(deployment.executions)


class TestBooking:
    def test_resend_at_another_vm_gets_the_recorded_reply(self, deployment):
        caller = deployment.booking_caller()
        first = caller.book("farm", "k1", entry=0)
        again = caller.book("farm", "k1", entry=1)
        assert first.status == again.status == 201
        assert again.body == first.body
        assert again.headers["Idempotency-Replayed"] == "true"
        assert len(executions_of(deployment, "k1")) == 1

    def test_same_key_with_another_body_is_a_conflict(self, deployment):
        caller = deployment.booking_caller()
        caller.book("farm", "k1")
        problem = caller.book("pit", "k1", entry=1).problem
        assert (problem.reason, problem.verdict) == ("key-conflict", "not-run")

    def test_no_quorum_refuses_bookings_as_not_run_and_serves_look_ups(self, deployment):
        caller = deployment.booking_caller()
        booking = caller.book("farm", "k1").body["booking"]
        for state in deployment.states[1:]:
            state.running.kill()
        refused = wait_for(lambda: _refused(caller.book("farm", "k2", entry=1)), 20)
        assert refused.problem.verdict == "not-run"
        assert int(refused.headers["Retry-After"]) > 0
        assert executions_of(deployment, "k2") == []
        found = [caller.look_up(booking, entry).status for entry in (0, 1, 0, 1)]
        assert set(found) <= {200, 404}

    def test_booking_is_not_retried_after_its_backend_server_dies(self, deployment):
        caller = deployment.booking_caller()
        for plain in deployment.plains:
            plain.control.set_faults(Fault(kind=FaultKind.DIE, prompt="pit", after_execution=True))
        lost = caller.book("pit", "k1")
        assert (lost.problem.reason, lost.problem.verdict) == ("backend-lost", "may-have-run")
        again = caller.book("pit", "k1", entry=1)
        assert again.problem.verdict == "may-have-run"
        running = [plain for plain in deployment.plains if plain.process.exit_code is None]
        assert len(running) == 1
        assert executions_of(deployment, "k1") == []

    def test_booking_of_a_killed_owner_is_not_run_again(self, deployment):
        caller = deployment.booking_caller()
        for plain in deployment.plains:
            plain.control.set_faults(Fault(kind=FaultKind.HANG, prompt="pit", after_execution=True))
        booking = Booking(caller, "pit", "k1")
        executed(deployment)
        deployment.daemon("n1").running.kill()
        assert booking.join().status == 0
        again = caller.book("pit", "k1", entry=1)
        assert again.problem.verdict == "may-have-run"
        assert len(executions_of(deployment, "k1")) == 1


def cut_off_last_replica(deployment):
    """Partition the last state replica, book, kill the other replicas; return the cut links."""
    *others, lagging = deployment.states
    links = [deployment.link(vm.vm, lagging.vm) for vm in others]
    links += [deployment.link(lagging.vm, vm.vm) for vm in others]
    for link in links:
        link.silence()
    caller = deployment.booking_caller()
    wait_for(lambda: caller.book("farm", "k1").status == 201, 20)
    for state in others:
        state.running.kill()
    return links


class TestLaggingReplica:
    """Guards against a wrong `not-run`: the only live replica lacks the claim of a booking.

    The booking is resent to the VM that did not send it.
    """

    def check_resend(self, deployment):
        caller = deployment.booking_caller()
        refused = wait_for(lambda: _refused(caller.book("farm", "k1", entry=1)), 20)
        assert refused.problem.verdict == "may-have-run"
        assert len(executions_of(deployment, "k1")) == 1

    def test_resend_may_have_run_if_the_claim_never_reached_the_replica(self):
        with Deployment(msgspec.structs.replace(OPTIONS, peer_links=True)) as deployment:
            for link in cut_off_last_replica(deployment):
                link.reset()
                link.heal()
            self.check_resend(deployment)

    def test_resend_may_have_run_if_the_replica_missed_the_claim(self):
        with Deployment(msgspec.structs.replace(OPTIONS, peer_links=True)) as deployment:
            for link in cut_off_last_replica(deployment):
                link.heal()
            self.check_resend(deployment)


class TestPausedOwner:
    def test_bookings_of_an_owner_that_pauses_run_at_most_once(self, deployment):
        caller = deployment.booking_caller()
        rng = random.Random(4)
        results = {}
        for pause in range(3):
            bookings = [Booking(caller, "farm", f"k{pause}-{n}") for n in range(12)]
            deployment.daemon("n1").running.pause()
            resent = [Booking(caller, "farm", b.key, entry=1) for b in bookings]
            rng.shuffle(resent)
            for booking in resent:
                results.setdefault(booking.key, []).append(booking.join())
            _wait_past_dispatch_deadline()
            deployment.daemon("n1").running.resume()
            for booking in bookings:
                results[booking.key].append(booking.join())
        ledger = Counter(entry["key"] for entry in deployment.executions())
        assert max(ledger.values()) == 1
        for key, replies in results.items():
            bodies = {reply.body["booking"] for reply in replies if reply.status == 201}
            assert len(bodies) <= 1
            if not ledger[key]:
                assert not bodies


class TestLimits:
    def test_requests_beyond_the_limit_are_refused_at_once_as_not_run(self):
        limits = {"max_streams": 1, "requests_per_s": 2, "tokens_per_s": 1_000}
        options = Options(states=1, entries=1, engines=1, plains=1, workspace_limits=limits)
        with Deployment(options) as deployment:
            caller = deployment.booking_caller()
            replies = [caller.book("farm", f"k{n}") for n in range(30)]
            refused = [reply for reply in replies if reply.problem is not None]
            assert refused
            assert {reply.problem.reason for reply in refused} == {"limit-reached"}
            assert {reply.status for reply in refused} == {429}
            assert {reply.problem.verdict for reply in refused} == {"not-run"}
            assert all(int(reply.headers["Retry-After"]) > 0 for reply in refused)
            assert len(deployment.executions()) == len(replies) - len(refused)


class TestCrashingRequest:
    def test_crashes_two_engines_and_is_then_refused_at_every_vm(self):
        options = Options(states=3, entries=2, engines=5, engine_options=["--token-ms", "20"])
        with Deployment(options) as deployment:
            caller = deployment.caller()
            for engine in deployment.engines:
                engine.control.set_faults(Fault(kind=FaultKind.DIE, prompt="poison"))
            first = caller.generate("m", "poison", 20, entry=0)
            assert first.problem.reason == "quarantined"
            assert first.problem.verdict == "may-have-run"
            again = wait_for(lambda: _quarantined(caller.generate("m", "poison", 20, entry=1)), 5)
            assert again.problem.verdict == "not-run"
            dead = [e for e in deployment.engines if e.process.exit_code is not None]
            assert len(dead) == 2
            caller.generate("m", "a hive's history", 20, entry=1).check(20)

    def test_different_prompts_with_a_deadly_line_are_refused_while_engines_are_left(self):
        options = Options(states=3, entries=2, engines=9, engine_options=["--token-ms", "20"])
        with Deployment(options) as deployment:
            caller = deployment.caller()
            for engine in deployment.engines:
                engine.control.set_faults(Fault(kind=FaultKind.DIE, prompt="deadly"))
            numbers = itertools.count()

            def is_refused_unsent():
                number = next(numbers)
                sound = caller.generate("m", f"system\nsound\nq{number}", 20, entry=number % 2)
                sound.check(20)
                deadly = f"system\ndeadly\nq{number}"
                result = caller.generate("m", deadly, 20, entry=number % 2)
                return _quarantined(result).problem.verdict == "not-run"

            wait_for(is_refused_unsent)
            dead = [e for e in deployment.engines if e.process.exit_code is not None]
            assert len(dead) <= CRASHES_ALLOWED + REQUESTS_ALLOWED


def _refused(result):
    return result if result.problem is not None else None


def _quarantined(result):
    assert result.ended != "done"
    return result if result.problem.reason == "quarantined" else None


def _wait_past_dispatch_deadline():
    """Wait until the dispatch deadline of the paused owner's claims has passed."""
    clock = SystemClock()
    until_ms = clock.elapsed_ms() + DISPATCH_DEADLINE_MS + 100
    wait_for(lambda: clock.elapsed_ms() > until_ms)
