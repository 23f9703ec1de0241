from nutmegdrum.load_updates import LoadUpdates
from nutmegdrum.messages import LoadReport


def report(sequence, running, slots=100):
    return LoadReport(sequence=sequence, running=running, queued=0, slots=slots)


class TestLoadDigest:
    def test_each_vm_gets_a_change_once(self):
        digest = LoadUpdates()
        digest.on_report("b1", report(1, 10))
        assert [load.running for load in digest.since_last("n1")] == [10]
        assert digest.since_last("n1") == []
        assert [load.id for load in digest.since_last("n2")] == ["b1"]

    def test_small_change_is_not_spread(self):
        digest = LoadUpdates()
        digest.on_report("b1", report(1, 10))
        digest.since_last("n1")
        digest.on_report("b1", report(2, 12))
        assert digest.since_last("n1") == []
        digest.on_report("b1", report(3, 15))
        assert [load.running for load in digest.since_last("n1")] == [15]

    def test_restarted_vm_gets_everything(self):
        digest = LoadUpdates()
        digest.on_report("b1", report(1, 10))
        digest.since_last("n1")
        digest.forget("n1")
        assert len(digest.since_last("n1")) == 1

    def test_restarted_backend_server_is_spread(self):
        digest = LoadUpdates()
        digest.on_report("b1", report(50, 10))
        digest.since_last("n1")
        digest.on_report("b1", report(1, 10))
        assert len(digest.since_last("n1")) == 1
