import socket
import threading

import pytest
from nutmegdrum.units import Address
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_relay.crash_watch import (
    MAX_QUEUED_PROBES,
    MAX_REPORTS,
    RECENT_SUCCESS,
    BrokenAttempt,
    CrashWatch,
    server_has_ended,
)
from nutmegdrum_relay.views import CrashReport, Quarantined
from nutmegdrum_testing.waiting import wait_for

DEAD, ALIVE = Address("10.0.0.1:80"), Address("10.0.0.2:80")


class StandInProbe:
    """Reports the server at `DEAD` as ended; blocks each probe until `may_answer` is set."""

    def __init__(self):
        self.probed = []
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __call__(self, address):
        self.may_answer.wait(10)
        self.probed.append(address)
        return address == DEAD


def broken(name, address, sent_ms, fingerprint="f", events=0) -> BrokenAttempt:
    return BrokenAttempt(fingerprint, name, address, sent_ms, events)


class World:
    def __init__(self):
        self.clock = ManualClock(10_000)
        self.probe = StandInProbe()
        self.watch = CrashWatch(self.clock, self.probe)
        self.watch.start()
        self.reported = []

    def crashes(self):
        self.reported += self.watch.take_reports()[0]
        return self.reported


@pytest.fixture
def world():
    world = World()
    yield world
    world.watch.stop()


class TestCrashes:
    def test_only_a_server_that_accepts_no_connection_has_crashed(self, world):
        world.watch.on_broken(broken("alive", ALIVE, sent_ms=9_000))
        world.watch.on_broken(broken("dead", DEAD, sent_ms=9_900))
        world.clock.advance(50)
        wait_for(world.crashes)
        assert world.reported == [CrashReport("f", "dead", 150, 50)]
        assert world.probe.probed == [ALIVE, DEAD]

    def test_a_server_whose_listener_closes_last_has_crashed(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
            ending = threading.Thread(target=lambda: (listener.accept(), listener.close()))
            ending.start()
            assert server_has_ended(address)
            ending.join()

    def test_attempts_broken_by_one_crash_share_one_probe(self, world):
        world.probe.may_answer.clear()
        world.watch.on_broken(broken("alive", ALIVE, sent_ms=9_900))
        for number in range(10):
            world.watch.on_broken(broken("dead", DEAD, 9_900, f"f{number}"))
        world.probe.may_answer.set()
        wait_for(lambda: len(world.crashes()) == 10)
        assert world.probe.probed.count(DEAD) <= 2

    def test_a_request_that_succeeded_recently_is_not_reported(self, world):
        world.watch.on_success("popular")
        world.watch.on_broken(broken("dead", DEAD, 9_900, "popular"))
        world.watch.on_broken(broken("dead", DEAD, 9_900, "culprit"))
        wait_for(world.crashes)
        assert [crash.fingerprint for crash in world.reported] == ["culprit"]
        world.clock.advance(RECENT_SUCCESS)
        world.watch.on_broken(broken("dead", DEAD, 19_900, "popular"))
        wait_for(lambda: len(world.crashes()) == 2)

    def test_unacknowledged_reports_are_resent_with_their_age(self, world):
        world.watch.on_broken(broken("dead", DEAD, sent_ms=9_900))
        (crash,) = wait_for(world.crashes)
        made_ms = world.clock.elapsed_ms()
        world.clock.advance(700)
        world.watch.requeue((crash,), ("g",), made_ms)
        crashes, cleared = world.watch.take_reports()
        assert crashes == (CrashReport("f", "dead", 800, 700),)
        assert cleared == ("g",)

    def test_queues_of_attempts_and_reports_are_bounded(self, world):
        world.probe.may_answer.clear()
        for number in range(10 * MAX_QUEUED_PROBES):
            world.watch.on_broken(broken("dead", DEAD, 9_900, f"f{number}"))
        world.probe.may_answer.set()
        wait_for(lambda: len(world.crashes()) >= MAX_QUEUED_PROBES)
        world.watch.requeue([world.reported[0]] * 2 * MAX_REPORTS, (), 10_000)
        assert len(world.watch.take_reports()[0]) <= MAX_REPORTS


class TestQuarantines:
    def test_a_quarantined_request_is_refused_until_the_quarantine_expires(self, world):
        world.watch.set_view([Quarantined("f", 5_000)], [])
        with pytest.raises(v.Refusal) as exc:
            world.watch.check("f", "q1")
        assert (exc.value.why, exc.value.verdict) == (v.QUARANTINED, v.Verdict.NOT_RUN)
        world.watch.check("g", "q1")
        world.clock.advance(5_000)
        world.watch.check("f", "q1")

    def test_only_suspects_named_by_the_leader_are_cleared(self, world):
        world.watch.on_success("f")
        assert world.watch.take_reports() == ((), ())
        world.watch.set_view([], ["f"])
        world.watch.on_success("f")
        world.watch.on_success("f")
        assert world.watch.take_reports() == ((), ("f",))
