from nutmegdrum_coord.clock import ManualClock, SystemClock


class TestManualClock:
    def test_advance_moves_elapsed_and_wall_time_alike(self):
        clock = ManualClock(now_ms=5, wall_offset_ms=1_000)
        clock.advance(20)
        assert clock.elapsed_ms() == 25
        assert clock.wall_ms() == 1_025


class TestSystemClock:
    def test_elapsed_time_never_goes_back(self):
        clock = SystemClock()
        first = clock.elapsed_ms()
        assert clock.elapsed_ms() >= first
