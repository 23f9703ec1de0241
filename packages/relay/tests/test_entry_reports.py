from nutmegdrum_coord.clock import ManualClock
from nutmegdrum_coord.ids import BackendId, VmId
from nutmegdrum_relay.entry_reports import REPORT_VALID, EntryReports, report_wait_ms
from nutmegdrum_relay.views import EntryReport, Work

E1, E2, E3 = VmId("e1"), VmId("e2"), VmId("e3")
B1, B2 = BackendId("b1"), BackendId("b2")


def report(vm, **fields):
    return EntryReport(vm=vm, version=0, wait_ms=0, **fields)


class TestEntryReports:
    def test_others_work_is_added_up_without_the_own(self):
        reports = EntryReports(ManualClock())
        reports.note(report(E1, work={B1: Work(5, 5)}))
        reports.note(report(E2, work={B1: Work(1, 2)}))
        reports.note(report(E3, work={B1: Work(3, 4), B2: Work(1, 1)}))
        merged = reports.others(E1)
        assert merged.work() == {B1: Work(4, 6), B2: Work(1, 1)}
        assert len(merged) == 2

    def test_a_vm_found_down_by_two_is_named_once(self):
        reports = EntryReports(ManualClock())
        reports.note(report(E1, down=(B1,)))
        reports.note(report(E2, down=(B1, B2)))
        assert sorted(reports.others(E3).down()) == [B1, B2]

    def test_a_newer_report_replaces_the_older(self):
        reports = EntryReports(ManualClock())
        reports.note(report(E1, work={B1: Work(5, 5)}))
        reports.note(report(E1, work={}))
        assert reports.others(E2).work() == {}

    def test_reports_count_for_a_while_only(self):
        clock = ManualClock()
        reports = EntryReports(clock)
        reports.note(report(E1, down=(B1,)))
        clock.advance(REPORT_VALID + 1)
        assert len(reports.others(E2)) == 0


class TestReportWait:
    def test_many_entry_vms_report_less_often(self):
        assert report_wait_ms(1) == 100
        assert report_wait_ms(300) == 1_000
