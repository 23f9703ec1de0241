import random
from types import SimpleNamespace

import pytest
from nutmegdrum_testing.soak.__main__ import play
from nutmegdrum_testing.soak.callers import Sent
from nutmegdrum_testing.soak.disturbances import SERVERS, Disturbances, entry_target
from nutmegdrum_testing.soak.silences import SENDS_SLACK, WINDOW_S, Silence, Silences

REGRESSIONS: dict[int, str] = {
    9: "a daemon that was paused, resumed and terminated at once missed the signal",
    23: "a popular lookup in flight beside a request that crashed engines was quarantined too",
}
"""Seeds that once failed, each with the fault behind it."""

SHORT_S = 4.0
SILENT_SEED = 2

BEGAN_S = 100.0
SILENCE = Silence(BEGAN_S + 0.1, BEGAN_S + 1.2, servers=2, of=4)


def lost_stream(outcome="502", took_s=1.0, began_s=BEGAN_S):
    return Sent("stream-1", entry_target(0), began_s, began_s + took_s, 4.5, outcome)


class World:
    """Records of a play, in which one silence was played."""

    def __init__(self, *streams, arrivals=()):
        self.disturbances = Disturbances()
        engines = SimpleNamespace(disturbances=self.disturbances, arrivals=list(arrivals))
        callers = SimpleNamespace(sent_streams=list(streams))
        self.silences = Silences(None, engines, callers, random.Random(1))
        self.silences.played.append(SILENCE)

    def problems(self, since_s=0.0):
        return self.silences.problems(since_s)


def disturb(monkeypatch, disturbances, target, began_s, ended_s):
    times = iter([began_s, ended_s])
    monkeypatch.setattr(
        "nutmegdrum_testing.soak.disturbances.time", SimpleNamespace(monotonic=lambda: next(times))
    )
    with disturbances.during(target):
        pass


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *REGRESSIONS])
    def test_finds_no_problems_under_faults(self, seed):
        assert play(seed, SHORT_S) == []

    def test_finds_no_problems_while_sound_servers_fall_silent(self):
        assert play(SILENT_SEED, SHORT_S, silences=True) == []


class TestLostStreams:
    @pytest.mark.parametrize("outcome", ["502", "503", "IncompleteRead"])
    def test_a_stream_that_ends_early_beside_a_silence_is_told(self, outcome):
        (problem,) = World(lost_stream(outcome)).problems()
        assert f"stream-1 ended with {outcome} after 1.00 s of its 4.5 s" in problem

    @pytest.mark.parametrize(
        "stream",
        [
            lost_stream("200"),
            lost_stream(took_s=4.5),
            lost_stream(began_s=SILENCE.ended_s + 0.1),
            lost_stream(began_s=BEGAN_S - 2.0),
        ],
        ids=["whole", "at its deadline", "after the silence", "before the silence"],
    )
    def test_other_streams_are_not(self, stream):
        assert World(stream).problems() == []

    @pytest.mark.parametrize(
        ("target", "told"), [(SERVERS, 0), (entry_target(0), 0), (entry_target(1), 1)]
    )
    def test_a_stream_that_another_fault_hit_is_not(self, monkeypatch, target, told):
        world = World(lost_stream())
        disturb(monkeypatch, world.disturbances, target, BEGAN_S - 5.0, BEGAN_S - 2.9)
        assert len(world.problems()) == told

    def test_a_fault_long_before_is_no_excuse(self, monkeypatch):
        world = World(lost_stream())
        disturb(monkeypatch, world.disturbances, SERVERS, BEGAN_S - 9.0, BEGAN_S - 8.0)
        assert len(world.problems()) == 1

    def test_a_stream_whose_server_failed_it_is_not(self):
        world = World(lost_stream())
        world.disturbances.add_request("stream-1")
        assert world.problems() == []

    def test_streams_before_the_last_old_daemon_was_replaced_are_not(self):
        assert World(lost_stream()).problems(since_s=BEGAN_S + 0.01) == []


def sends(requests, again, began_s=BEGAN_S):
    firsts = [(began_s, f"r{number}") for number in range(requests)]
    return firsts + [(began_s + 1.0, "r0") for _ in range(again)]


class TestSends:
    def test_more_than_the_users_bound_in_a_window_are_told(self):
        allowed = SENDS_SLACK + 80
        assert World(arrivals=sends(100, allowed)).problems() == []
        (problem,) = World(arrivals=sends(100, allowed + 1)).problems()
        assert problem.startswith(f"{allowed + 1} sends beyond the first for 100 requests")

    def test_sends_of_different_windows_are_not_added_up(self):
        later_s = BEGAN_S + WINDOW_S + 1.0
        arrivals = sends(1, SENDS_SLACK) + sends(1, SENDS_SLACK - 1, later_s)
        assert World(arrivals=arrivals).problems() == []
