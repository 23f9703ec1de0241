import socket
import threading

import pytest
from nutmegdrum.units import Address
from nutmegdrum_coord import verdict as v
from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_relay.crash_watch import (
    MAX_REPORTS,
    MAX_WAITING,
    RECENT_SUCCESS,
    BrokenAttempt,
    CrashWatch,
    server_has_ended,
)
from nutmegdrum_relay.views import CrashReport, Quarantined
from nutmegdrum_testing.waiting import wait_for

DEAD, ALIVE = Address("10.0.0.1:80"), Address("10.0.0.2:80")


class StandInProbe:
    """Says that the server at `DEAD` has ended; each question waits for `may_answer`."""

    def __init__(self):
        self.asked = []
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __call__(self, address):
        self.may_answer.wait(10)
        self.asked.append(address)
        return address == DEAD


def broken(name, address, began_ms, fingerprint="f", events=0) -> BrokenAttempt:
    return BrokenAttempt(fingerprint, name, address, began_ms, events)


class World:
    def __init__(self):
        self.clock = ManualClock(10_000)
        self.probe = StandInProbe()
        self.watch = CrashWatch(self.clock, self.probe)
        self.watch.start()
        self.told = []

    def crashes(self):
        self.told += self.watch.take_reports()[0]
        return self.told


@pytest.fixture
def world():
    world = World()
    yield world
    world.watch.stop()


class TestCrashes:
    def test_only_a_server_that_takes_no_connection_has_crashed(self, world):
        world.watch.on_broken(broken("alive", ALIVE, began_ms=9_000))
        world.watch.on_broken(broken("dead", DEAD, began_ms=9_900))
        world.clock.advance(50)
        wait_for(world.crashes)
        assert world.told == [CrashReport("f", "dead", 150, 50)]
        assert world.probe.asked == [ALIVE, DEAD]

    def test_a_server_whose_listener_closes_last_has_crashed(self):
        with socket.create_server(("127.0.0.1", 0)) as listener:
            address = Address(f"127.0.0.1:{listener.getsockname()[1]}")
            ending = threading.Thread(target=lambda: (listener.accept(), listener.close()))
            ending.start()
            assert server_has_ended(address)
            ending.join()

    def test_many_attempts_that_one_death_broke_off_take_one_probe(self, world):
        world.probe.may_answer.clear()
        world.watch.on_broken(broken("alive", ALIVE, began_ms=9_900))
        for number in range(10):
            world.watch.on_broken(broken("dead", DEAD, 9_900, f"f{number}"))
        world.probe.may_answer.set()
        wait_for(lambda: len(world.crashes()) == 10)
        assert world.probe.asked.count(DEAD) <= 2

    def test_a_request_that_ran_well_a_moment_before_is_a_victim(self, world):
        world.watch.on_success("popular")
        world.watch.on_broken(broken("dead", DEAD, 9_900, "popular"))
        world.watch.on_broken(broken("dead", DEAD, 9_900, "culprit"))
        wait_for(world.crashes)
        assert [crash.fingerprint for crash in world.told] == ["culprit"]
        world.clock.advance(RECENT_SUCCESS)
        world.watch.on_broken(broken("dead", DEAD, 19_900, "popular"))
        wait_for(lambda: len(world.crashes()) == 2)

    def test_what_no_leader_took_is_told_again_with_its_age(self, world):
        world.watch.on_broken(broken("dead", DEAD, began_ms=9_900))
        (crash,) = wait_for(world.crashes)
        made_ms = world.clock.elapsed_ms()
        world.clock.advance(700)
        world.watch.requeue((crash,), ("g",), made_ms)
        crashes, cleared = world.watch.take_reports()
        assert crashes == (CrashReport("f", "dead", 800, 700),)
        assert cleared == ("g",)

    def test_many_broken_attempts_neither_block_nor_pile_up(self, world):
        world.probe.may_answer.clear()
        for number in range(10 * MAX_WAITING):
            world.watch.on_broken(broken("dead", DEAD, 9_900, f"f{number}"))
        world.probe.may_answer.set()
        wait_for(lambda: len(world.crashes()) >= MAX_WAITING)
        world.watch.requeue([world.told[0]] * 2 * MAX_REPORTS, (), 10_000)
        assert len(world.watch.take_reports()[0]) <= MAX_REPORTS


class TestQuarantines:
    def test_a_quarantined_request_is_refused_until_its_time_is_over(self, world):
        world.watch.set_view([Quarantined("f", 5_000)], [])
        with pytest.raises(v.Refusal) as exc:
            world.watch.check("f", "q1")
        assert (exc.value.why, exc.value.verdict) == (v.QUARANTINED, v.Verdict.NOT_RUN)
        world.watch.check("g", "q1")
        world.clock.advance(5_000)
        world.watch.check("f", "q1")

    def test_only_suspects_that_the_leader_told_of_are_cleared(self, world):
        world.watch.on_success("f")
        assert world.watch.take_reports() == ((), ())
        world.watch.set_view([], ["f"])
        world.watch.on_success("f")
        world.watch.on_success("f")
        assert world.watch.take_reports() == ((), ("f",))
