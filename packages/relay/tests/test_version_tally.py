from nutmegdrum_relay.version_tally import MAX_TIMES, WAIT_MARKS_MS, TallyKey, VersionTally

NEW = TallyKey("svc", "r", "v2")
OLD = TallyKey("svc", "r", "")


class TestVersionTally:
    def test_counts_are_reset_by_each_report(self):
        tally = VersionTally()
        tally.on_first_event(NEW, 40)
        tally.on_first_event(OLD, 50)
        tally.on_gap(NEW, 7)
        new, old = tally.collect(0)
        assert (new.version, new.requests, new.first_token_ms, new.token_gap_ms) == (
            "v2",
            1,
            [40],
            [7],
        )
        assert (old.version, old.requests, old.first_token_ms) == ("", 1, [50])
        assert tally.collect(0) == ()

    def test_a_stream_that_breaks_off_after_its_first_event_counts_as_one_request(self):
        tally = VersionTally()
        tally.on_first_event(NEW, 40)
        tally.on_crash(NEW, counted=True)
        tally.on_error(NEW, counted=False)
        (sample,) = tally.collect(0)
        assert (sample.requests, sample.crashes, sample.errors) == (2, 1, 1)

    def test_times_are_limited_and_none_adds_no_time(self):
        tally = VersionTally()
        tally.on_first_event(NEW, None)
        for ms in range(100):
            tally.on_first_event(NEW, ms)
            tally.on_gap(NEW, ms)
        (sample,) = tally.collect(0)
        assert sample.requests == 101
        assert sample.first_token_ms == sample.token_gap_ms == list(range(MAX_TIMES))


class TestWaits:
    def test_a_censored_wait_counts_at_each_mark_it_passes(self):
        tally = VersionTally()
        wait = tally.on_sent(NEW, 1_000)
        assert tally.collect(1_000 + WAIT_MARKS_MS[0] - 1) == ()
        (sample,) = tally.collect(1_000 + WAIT_MARKS_MS[2])
        assert (sample.passed, sample.answered, sample.requests) == ({0: 1, 1: 1, 2: 1}, {}, 0)
        tally.on_wait_over(wait, 1_000 + WAIT_MARKS_MS[3], answered=True)
        (sample,) = tally.collect(60_000)
        assert (sample.passed, sample.answered) == ({3: 1}, {4: 1})

    def test_an_abandoned_wait_counts_up_to_its_last_mark(self):
        tally = VersionTally()
        wait = tally.on_sent(NEW, 0)
        tally.on_wait_over(wait, WAIT_MARKS_MS[1], answered=False)
        tally.on_wait_over(wait, 9_000, answered=True)
        (sample,) = tally.collect(60_000)
        assert (sample.passed, sample.answered) == ({0: 1, 1: 1}, {})
