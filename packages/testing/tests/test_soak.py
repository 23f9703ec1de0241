import pytest
from nutmegdrum_testing.soak.__main__ import play

REGRESSIONS: dict[int, str] = {
    9: "a daemon that was paused, woken and asked to stop at once never learned of it",
    23: "a request that ended engine after engine had a popular lookup beside it quarantined",
}
"""Seeds that failed once, each with its cause."""

SHORT_S = 4.0


class TestSoak:
    @pytest.mark.parametrize("seed", [1, *REGRESSIONS])
    def test_promises_hold_under_faults(self, seed):
        assert play(seed, SHORT_S) == []
