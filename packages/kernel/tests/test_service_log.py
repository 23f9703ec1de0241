from nutmegdrum.service_log import DAY_MS, RecordService, ServiceLog, VmService
from nutmegdrum.service_tally import ServiceCounts, ServiceTally
from nutmegdrum_coord.parts import CompositeState, encode_command
from nutmegdrum_coord.verdict import Verdict


class TestServiceTally:
    def test_counts_by_verdict_and_class(self):
        tally = ServiceTally()
        tally.finished("w")
        tally.refused("w", Verdict.NOT_RUN)
        for waited_ms in (40, 300, 90_000):
            tally.on_recovered("w", waited_ms, 10, generation="g")
        counts = tally.totals()["w"]
        assert (counts.finished, counts.refused, counts.prefilled) == (
            1,
            {Verdict.NOT_RUN: 1},
            30,
        )
        assert [counts.resume_percentile_ms(p) for p in (30, 50, 99)] == [100, 500, 120_000]
        assert ServiceCounts().resume_percentile_ms(50) is None


class TestServiceLog:
    def setup_method(self):
        self.state = CompositeState([ServiceLog()])

    def record(self, finished, vm="e0", incarnation="i", day=0):
        counts = {"w": ServiceCounts(finished=finished)}
        rows = [VmService(vm=vm, incarnation=incarnation, counts=counts)]
        command = encode_command(RecordService(rows=rows), wall_ms=day * DAY_MS + 5)
        self.state.apply(self.state.position + 1, 0, command)

    def finished(self, since_ms=None, until_ms=None):
        totals = self.state.parts["service"].between(since_ms, until_ms, "w")
        return totals["w"].finished if totals else 0

    def test_doubled_and_crossed_recordings_add_nothing(self):
        for finished in (3, 3, 7, 5):
            self.record(finished)
        assert self.finished() == 7

    def test_a_restarted_vm_counts_anew(self):
        self.record(7)
        self.record(2, incarnation="j")
        self.record(4, vm="e1")
        assert self.finished() == 13

    def test_days_are_kept_apart_over_a_restart(self):
        self.record(3)
        self.record(10, day=1)
        restored = CompositeState([ServiceLog()])
        restored.restore(self.state.snapshot())
        self.state = restored
        self.record(11, day=2)
        assert self.finished(until_ms=DAY_MS) == 3
        assert self.finished(DAY_MS, 2 * DAY_MS) == 7
        assert self.finished() == 11
