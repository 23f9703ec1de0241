import contextlib
import math
import os
import random
import sys
import time
from types import SimpleNamespace

import pytest
from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.soak.__main__ import play
from nutmegdrum_testing.soak.callers import Sent
from nutmegdrum_testing.soak.disturbances import SERVERS, Disturbances, entry_target
from nutmegdrum_testing.soak.engines import Work
from nutmegdrum_testing.soak.silences import SENDS_SLACK, WINDOW_S, Silence, Silences
from nutmegdrum_testing.soak.stops import DEADLINE_S, Form, Life, Request, Result, Stops, message
from nutmegdrum_testing.soak.stops import result as result_by_rule

REGRESSIONS: dict[int, str] = {
    9: "a daemon that was paused, resumed and terminated at once missed the signal",
    23: "a popular lookup in flight beside a request that crashed engines was quarantined too",
}
"""Seeds that once failed, each with the fault behind it."""

SHORT_S = 4.0
SILENT_SEED = 2
STOPS_SEED, STOPS_S = 1, 20.0

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

    def test_finds_no_problems_around_planned_stops(self):
        assert play(STOPS_SEED, STOPS_S, stops=True) == []


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


SELECT_LIMIT = 1_024
WITHIN_S = 8.0
STOPPED_S = BEGAN_S + 10.0


def cut_request(sent=1.0, cut=7.2, status=200, error="incomplete", began=None):
    """Return a request with times in s relative to the SIGTERM."""
    sent_s = None if sent is None else STOPPED_S + sent
    began_s = STOPPED_S + (sent - 0.5 if began is None else began) if sent is not None else BEGAN_S
    return Request(
        "stops-1", 0, "length, 0.5 s late", began_s, sent_s, STOPPED_S + cut, status, 99, error
    )


def at_work(began=1.0, ended=7.3):
    return Work(STOPPED_S + began, STOPPED_S + ended)


def life(is_other=False, stopped_s=STOPPED_S):
    return Life(0, BEGAN_S, is_other, stopped_s, stopped_s + 7.4)


def result(request, works, of=None):
    return result_by_rule(request, of or life(), works, WITHIN_S)


class TestCutAroundAStop:
    """Times in s after SIGTERM; a sixth of 8 s before the end is 6.67 s, three eighths are 3 s."""

    def test_is_exempt_if_sent_early_and_its_engine_is_at_work_at_the_end(self):
        assert result(cut_request(sent=3.0, cut=6.7), [at_work()]) is Result.EXEMPT
        assert result(cut_request(sent=-5.0, cut=8.0), [at_work(ended=math.inf)]) is Result.EXEMPT

    @pytest.mark.parametrize(
        ("request_", "works"),
        [
            (cut_request(sent=3.01), [at_work(began=3.1)]),
            (cut_request(cut=6.6), [at_work()]),
            (cut_request(cut=8.3), [at_work(ended=math.inf)]),
            (cut_request(), [at_work(ended=6.6)]),
            (cut_request(cut=-0.5, sent=-1.0), [at_work(began=-1.0, ended=-0.5)]),
        ],
        ids=["sent late", "cut early", "cut late", "engine had ended", "cut before the SIGTERM"],
    )
    def test_is_lost_otherwise(self, request_, works):
        assert result(request_, works) is Result.LOST

    def test_is_lost_without_a_stop(self):
        running = Life(0, BEGAN_S)
        assert result(cut_request(), [at_work()], running) is Result.LOST
        assert result_by_rule(cut_request(), None, [at_work()], WITHIN_S) is Result.LOST

    def test_one_of_several_engines_at_work_at_the_end_is_enough(self):
        assert result(cut_request(), [at_work(ended=2.0), at_work(began=2.0)]) is Result.EXEMPT

    def test_is_exempt_at_its_deadline(self):
        late = cut_request(sent=4.0, began=4.0, cut=4.0 + DEADLINE_S)
        assert result(late, [at_work(began=4.0)]) is Result.EXEMPT

    def test_no_problem_if_no_engine_got_it(self):
        assert result(cut_request(sent=7.0, status=0, error="reset"), []) is Result.NOT_RUN

    def test_no_problem_if_its_last_byte_could_not_be_sent(self):
        assert result(cut_request(sent=None, status=0, error="reset"), []) is Result.UNSENT

    def test_cuts_of_the_other_build_are_not_counted(self):
        assert result(cut_request(sent=5.0), [at_work()], life(is_other=True)) is Result.OTHER_BUILD


class TestAnsweredAroundAStop:
    def test_a_whole_answer_is_no_problem(self):
        assert result(cut_request(sent=5.0, error=""), [at_work()]) is Result.WHOLE

    def test_a_refusal_is_no_problem_unless_an_engine_got_the_request(self):
        refused = cut_request(sent=5.0, cut=5.1, status=503, error="")
        assert result(refused, []) is Result.REFUSED
        assert result(refused, [at_work(began=5.0)]) is Result.LOST

    def test_another_status_after_an_engine_got_it_is_lost(self):
        failed = cut_request(sent=5.0, cut=5.1, status=502, error="")
        assert result(failed, [at_work(began=5.0)]) is Result.LOST


class TestStopProblems:
    @staticmethod
    def stops(*requests):
        stops = Stops(SimpleNamespace(), random.Random(1), WITHIN_S)
        stops.requests.extend(requests)
        stops.lives += [
            Life(0, 0.0, stopped_s=BEGAN_S - 20.0, ended_s=BEGAN_S - 13.0),
            Life(1, 0.0),
            life(),
            Life(0, STOPPED_S + 8.0),
        ]
        return stops

    def test_a_lost_request_is_told_with_times_from_its_sigterm(self):
        engines = SimpleNamespace(works=lambda request_id: [at_work(began=4.0)])
        (problem,) = self.stops(cut_request(sent=4.0)).problems(engines)
        assert problem == (
            "stops-1 at entry 0 was sent +4.000 s and cut +7.200 s from the SIGTERM; status 200, "
            "99 bytes, incomplete; body: length, 0.5 s late; engines at work +4.00 to +7.30 s"
        )

    def test_the_process_that_ran_when_a_request_was_sent_counts(self):
        stops = self.stops()
        assert stops.life_of(cut_request(sent=7.3)).stopped_s == STOPPED_S
        assert stops.life_of(cut_request(sent=7.5)).stopped_s == math.inf

    def test_a_daemon_that_ends_late_is_told(self):
        stops = self.stops()
        stops._check_end(
            SimpleNamespace(name="127.0.0.11"), 8.1, is_other=False, stopped_at=1_000.5
        )
        stops._check_end(SimpleNamespace(name="127.0.0.12"), 8.0, is_other=False)
        stops._check_end(SimpleNamespace(name="127.0.0.13"), 8.1, is_other=True)
        assert stops.problems(None) == ["127.0.0.11 ended 8.10 s after SIGTERM at 1000.500"]

    def test_an_end_is_seen_with_many_open_files(self):
        with contextlib.ExitStack() as files, Processes() as processes:
            while files.enter_context(open(os.devnull)).fileno() <= SELECT_LIMIT:
                pass
            process = processes.start([sys.executable, "-c", "input()"])
            daemon = SimpleNamespace(process=process)
            assert self.stops()._terminate(daemon) <= time.monotonic()

    def test_an_exception_in_a_thread_of_the_play_is_told(self):
        stops = self.stops()
        stops._guard(stops._stop_series, 5, random.Random(1))
        assert stops.problems(None)[0].startswith("_stop_series was aborted: AttributeError")


class TestMessage:
    @pytest.mark.parametrize("form", Form)
    def test_its_late_part_completes_the_body(self, form):
        first, late = message("stops-1", form, 50)
        assert late
        head, _, body = (first + late).partition(b"\r\n\r\n")
        if form is Form.LENGTH:
            assert b"Content-Length: %d" % len(body) in head
        else:
            assert body.endswith(b"\r\n0\r\n\r\n")
