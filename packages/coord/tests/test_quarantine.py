from nutmegdrum_coord.clock import LogMs
from nutmegdrum_coord.parts import Context, Envelope
from nutmegdrum_coord.quarantine import (
    Accused,
    Quarantine,
    Quarantined,
    ReportCrash,
    ReserveTry,
    SuspectNoted,
    TryGranted,
)


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
