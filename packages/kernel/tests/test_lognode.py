import pytest
from nutmegdrum_testing.logcluster import LogCluster
from nutmegdrum_testing.waiting import wait_for


@pytest.fixture
def cluster(tmp_path):
    cluster = LogCluster(tmp_path)
    yield cluster
    cluster.stop()


def submit(cluster, command):
    return wait_for(cluster.leader).propose(command).result(timeout=10)


def all_have(cluster, commands):
    return wait_for(lambda: all(cluster.machines[vm].commands == commands for vm in cluster.nodes))


class TestLogNode:
    def test_replicas_form_a_cluster_and_apply_commands(self, cluster):
        cluster.start()
        assert submit(cluster, b"a").answer == b"1"
        assert submit(cluster, b"b").answer == b"2"
        assert all_have(cluster, [b"a", b"b"])

    def test_commands_outlast_a_restart_of_all(self, cluster):
        cluster.start()
        submit(cluster, b"a")
        cluster.stop()
        cluster.start()
        submit(cluster, b"b")
        assert all_have(cluster, [b"a", b"b"])
