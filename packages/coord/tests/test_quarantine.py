import msgspec
import pytest
from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import (
    QUARANTINE_MS,
    Accused,
    EndTry,
    Quarantine,
    Quarantined,
    ReportCrash,
    ReserveTry,
    SuspectNoted,
    TryGranted,
)

CONTACT_MS = 3_000
MAX_LATE_RETRIES = 3
"""The users' bound: retries sent later than `CONTACT_MS` after the third crash."""


class Part:
    """Quarantine part with the log time of each command."""

    def __init__(self):
        self._part = Quarantine()

    def crash(self, at, vm="e1", backend="b1"):
        return self._apply(at, ReportCrash(fingerprint="f", vm=vm, backend=backend))

    def reserve(self, at, vm="e1", backend="b1"):
        return self._apply(at, ReserveTry(fingerprint="f", vm=vm, backend=backend))

    def _apply(self, at, command):
        return self._part.apply(Context(1, LogMs(at), Envelope(command=b"")), command)


class TestSecondCrashOnOneBackendServer:
    def test_death_under_an_isolated_try_counts_however_soon_it_comes(self):
        part = Part()
        part.crash(at=0)
        assert isinstance(part.reserve(at=10), TryGranted)
        assert isinstance(part.crash(at=20), Accused | Quarantined)

    def test_report_of_the_same_death_by_another_vm_does_not_count(self):
        part = Part()
        part.crash(at=0)
        part.reserve(at=10)
        assert isinstance(part.crash(at=20, vm="e2"), SuspectNoted)


class CountingPart(Part):
    """Quarantine part that names a request after three crashes in a row."""

    def __init__(self):
        self._part = Quarantine(crash_limit=3)

    def crash(self, at, vm="e1", backend="b1", began=None, died=None, tokens=0):
        command = ReportCrash(
            fingerprint="f",
            vm=vm,
            backend=backend,
            tokens=tokens,
            began_ms_ago=at - (at if began is None else began),
            died_ms_ago=at - (at if died is None else died),
        )
        return self._apply(at, command)

    def clear(self, at):
        return self._apply(at, EndTry(fingerprint="f", vm="e2", cleared=True))


class TestNamedByCount:
    def test_three_backend_servers_one_after_the_other_name_a_request(self):
        part = CountingPart()
        assert part.crash(at=100, backend="b1", began=90, died=95) == SuspectNoted()
        assert part.crash(at=400, backend="b2", began=96, died=120) == SuspectNoted()
        assert isinstance(part.crash(at=500, backend="b3", began=121, died=150), Quarantined)
        assert part._part.quarantines(LogMs(600)) == {"f": QUARANTINE_MS - 100}

    def test_servers_that_die_together_are_one_crash(self):
        # A data centre goes down under many requests for one popular thing.
        part = CountingPart()
        for number, vm in enumerate(["e1", "e2", "e3", "e4"]):
            crash = part.crash(at=500 + number, vm=vm, backend=f"b{number}", began=80, died=100)
            assert crash == SuspectNoted()
        assert part._part.quarantines(LogMs(600)) == {}
        assert part._part.repeatedly_crashed() == []

    @pytest.mark.parametrize("run_ms", [50, 500, 3_000, 10_000])
    @pytest.mark.parametrize("every_ms", [20, 200, 700])
    def test_copies_side_by_side_end_no_more_servers_once_the_bound_is_over(self, run_ms, every_ms):
        part = CountingPart()
        sends = range(0, 120_000, every_ms)
        named_ms = next(
            began + run_ms
            for began in sends
            if isinstance(
                part.crash(began + run_ms, backend=f"b{began}", began=began, died=began + run_ms),
                Quarantined,
            )
        )
        third_ms = sends[2] + run_ms
        sent_late = [began for began in sends if third_ms + CONTACT_MS < began < named_ms]
        assert len(sent_late) <= MAX_LATE_RETRIES

    def test_servers_that_die_at_one_point_of_a_stream_name_it(self):
        part = CountingPart()
        part.crash(at=0, backend="b1", tokens=20)
        part.crash(at=100, backend="b2", tokens=50)
        assert part._part.repeatedly_crashed() == []
        part.crash(at=200, backend="b3", tokens=21)
        assert part._part.repeatedly_crashed() == ["f"]
        assert isinstance(part.crash(at=300, backend="b4", tokens=20), Quarantined)

    def test_a_stream_whose_engines_die_anywhere_is_not_named(self):
        part = CountingPart()
        for number in range(30):
            crash = part.crash(at=number * 1_000, backend=f"b{number}", tokens=3 + 5 * number)
            assert crash == SuspectNoted()
            assert part._part.repeatedly_crashed() == []

    def test_a_run_that_goes_well_clears_a_request(self):
        part = CountingPart()
        part.crash(at=100, backend="b1")
        part.crash(at=200, backend="b2")
        assert part._part.repeatedly_crashed() == ["f"]
        part.clear(at=250)
        assert part._part.repeatedly_crashed() == []
        assert part.crash(at=300, backend="b3") == SuspectNoted()

    def test_the_same_server_that_is_back_counts_again(self):
        part = CountingPart()
        part.crash(at=0)
        assert part.crash(at=10) == SuspectNoted()
        part.crash(at=6_000)
        assert isinstance(part.crash(at=12_000), Quarantined)

    def test_survives_a_snapshot(self):
        part = CountingPart()
        part.crash(at=100, backend="b1")
        part.crash(at=200, backend="b2")
        snapshot = msgspec.msgpack.encode(part._part.snapshot())
        other = CountingPart()
        other._part.restore(snapshot)
        assert isinstance(other.crash(at=300, backend="b3"), Quarantined)
