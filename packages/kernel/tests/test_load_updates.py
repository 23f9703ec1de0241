from nutmegdrum.load_updates import LoadUpdates
from nutmegdrum.messages import LoadReport


def report(sequence, running, slots=100):
    return LoadReport(sequence=sequence, running=running, queued=0, slots=slots)


class TestLoadUpdates:
    def test_each_vm_gets_a_change_once(self):
        updates = LoadUpdates()
        updates.on_report("b1", report(1, 10))
        assert [load.running for load in updates.since_last("n1")] == [10]
        assert updates.since_last("n1") == []
        assert [load.id for load in updates.since_last("n2")] == ["b1"]

    def test_small_change_is_not_sent(self):
        updates = LoadUpdates()
        updates.on_report("b1", report(1, 10))
        updates.since_last("n1")
        updates.on_report("b1", report(2, 12))
        assert updates.since_last("n1") == []
        updates.on_report("b1", report(3, 15))
        assert [load.running for load in updates.since_last("n1")] == [15]

    def test_restarted_vm_gets_all_loads(self):
        updates = LoadUpdates()
        updates.on_report("b1", report(1, 10))
        updates.since_last("n1")
        updates.forget("n1")
        assert len(updates.since_last("n1")) == 1

    def test_restart_of_a_backend_server_is_sent(self):
        updates = LoadUpdates()
        updates.on_report("b1", report(50, 10))
        updates.since_last("n1")
        updates.on_report("b1", report(1, 10))
        assert len(updates.since_last("n1")) == 1
