import pytest
from nutmegdrum_testing.soak.__main__ import play

REGRESSIONS: dict[int, str] = {
    9: "a daemon that was paused, resumed and terminated at once missed the signal",
    23: "a popular lookup in flight beside a request that crashed engines was quarantined too",
}
"""Seeds that once failed, each with the fault behind it."""

SHORT_S = 4.0


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *REGRESSIONS])
    def test_finds_no_problems_under_faults(self, seed):
        assert play(seed, SHORT_S) == []
