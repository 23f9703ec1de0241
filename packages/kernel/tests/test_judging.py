from nutmegdrum.judging import PAIRING_TIMEOUT_MS, WINDOW_MS, Comparator
from nutmegdrum.view import RouteSample


class Recorder:
    def __init__(self):
        self.seen = []

    def observe(self, comparison):
        self.seen.append(comparison)


def sample(version, route="chat"):
    return RouteSample(model="m", version=version, route=route, requests=10, crashes=1)


class TestComparator:
    def setup_method(self):
        self.judge = Recorder()
        self.comparator = Comparator("2", "1", self.judge)
        self.comparator.close_windows(0)

    def test_versions_are_compared_over_the_same_time(self):
        self.comparator.add(100, sample("2"))
        self.comparator.close_windows(WINDOW_MS)
        assert self.judge.seen == []
        self.comparator.add(WINDOW_MS, sample("1"))
        self.comparator.add(WINDOW_MS, sample("3"))
        self.comparator.close_windows(2 * WINDOW_MS)
        counts = [(c.trial.requests, c.settled.requests) for c in self.judge.seen]
        assert counts == [(10, 10)]

    def test_nothing_waits_for_a_settled_version_without_traffic(self):
        """Windows of the bake time lasted 32 s, so that each held some engine's death."""
        self.comparator.add(100, sample("1"))
        now_ms = 100 + PAIRING_TIMEOUT_MS
        for _ in range(5):
            self.comparator.add(now_ms, sample("2"))
            now_ms += WINDOW_MS
            self.comparator.close_windows(now_ms)
        assert [c.trial.requests for c in self.judge.seen] == [10] * 5
