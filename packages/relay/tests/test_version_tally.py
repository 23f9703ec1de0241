from nutmegdrum_relay.version_tally import MAX_TIMES, WAIT_MARKS_MS, TallyKey, VersionTally

NEW = TallyKey("svc", "r", "v2")
OLD = TallyKey("svc", "r", "")


class TestVersionTally:
    def test_counts_begin_anew_with_each_report(self):
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

    def test_a_stream_that_breaks_off_later_counts_once_as_a_request(self):
        tally = VersionTally()
        tally.on_first_event(NEW, 40)
        tally.on_crash(NEW, counted=True)
        tally.on_error(NEW, counted=False)
        (sample,) = tally.collect(0)
        assert (sample.requests, sample.crashes, sample.errors) == (2, 1, 1)

    def test_times_are_bounded_and_none_says_nothing(self):
        tally = VersionTally()
        tally.on_first_event(NEW, None)
        for ms in range(100):
            tally.on_first_event(NEW, ms)
            tally.on_gap(NEW, ms)
        (sample,) = tally.collect(0)
        assert sample.requests == 101
        assert sample.first_token_ms == sample.token_gap_ms == list(range(MAX_TIMES))


class TestWaits:
    def test_an_attempt_counts_at_each_mark_while_it_waits(self):
        tally = VersionTally()
        wait = tally.on_sent(NEW, 1_000)
        assert tally.collect(1_000 + WAIT_MARKS_MS[0] - 1) == ()
        (sample,) = tally.collect(1_000 + WAIT_MARKS_MS[2])
        assert (sample.passed, sample.answered, sample.requests) == ({0: 1, 1: 1, 2: 1}, {}, 0)
        tally.on_wait_over(wait, 1_000 + WAIT_MARKS_MS[3], answered=True)
        (sample,) = tally.collect(60_000)
        assert (sample.passed, sample.answered) == ({3: 1}, {4: 1})

    def test_one_that_is_given_up_counts_as_far_as_it_waited(self):
        tally = VersionTally()
        wait = tally.on_sent(NEW, 0)
        tally.on_wait_over(wait, WAIT_MARKS_MS[1], answered=False)
        tally.on_wait_over(wait, 9_000, answered=True)
        (sample,) = tally.collect(60_000)
        assert (sample.passed, sample.answered) == ({0: 1, 1: 1}, {})
