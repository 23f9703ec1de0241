import random

from nutmegdrum.judging import Comparison, Counts, TrafficStream
from nutmegdrum_plugins.sequential_judge import SequentialJudge

STREAM = TrafficStream("chat", 0)
RUNS = 300
WINDOWS = 200


def binomial(rng, number, chance):
    return sum(rng.random() < chance for _ in range(number))


def window(rng, place, trial_errors, settled_errors, slow=1.0):
    def times(number, factor):
        return [int(200 * factor * rng.lognormvariate(0, 0.35)) for _ in range(number)]

    trial = Counts(requests=5, errors=binomial(rng, 5, trial_errors), first_token_ms=times(4, slow))
    settled = Counts(
        requests=100, errors=binomial(rng, 100, settled_errors), first_token_ms=times(16, 1)
    )
    return Comparison(at_ms=place * 2_000, stream=STREAM, trial=trial, settled=settled)


def found(seed, error_rate, windows=WINDOWS, **kinds):
    rng = random.Random(seed)
    judge = SequentialJudge(error_rate)
    for place in range(windows):
        judge.observe(window(rng, place, **kinds))
        if judge.finding() is not None:
            return judge.finding()
    return None


class TestErrorRates:
    def test_equal_versions_are_found_bad_as_rarely_as_stated(self):
        stated = 0.05
        wrong = [
            found(seed, stated, trial_errors=0.02, settled_errors=0.02) for seed in range(RUNS)
        ]
        assert sum(finding is not None for finding in wrong) <= stated * RUNS

    def test_bad_versions_are_found(self):
        missed = [
            seed
            for seed in range(50)
            if found(seed, 0.001, trial_errors=0.2, settled_errors=0.02) is None
        ]
        assert missed == []

    def test_slow_versions_are_found(self):
        findings = [
            found(seed, 0.001, trial_errors=0, settled_errors=0, slow=2.0) for seed in range(20)
        ]
        assert {finding.what for finding in findings} == {"slow first token"}


class TestCrashes:
    def judge(self, trial, settled):
        judge = SequentialJudge(0.001)
        for place in range(40):
            judge.observe(
                Comparison(
                    at_ms=place * 12_000,
                    stream=STREAM,
                    trial=Counts(requests=20, crashes=trial(place)),
                    settled=Counts(requests=980, crashes=settled(place)),
                )
            )
        return judge.finding()

    def test_deaths_that_hit_both_alike_are_no_finding(self):
        assert self.judge(lambda place: int(place % 8 == 0), lambda place: 5) is None

    def test_deaths_that_always_hit_the_new_version_are_one(self):
        assert self.judge(lambda place: 1, lambda place: 5).what == "crashes"
