import shutil

import msgspec
import pytest
from nutmegdrum.errors import UserError
from nutmegdrum.operators import OperatorsClient
from nutmegdrum.queries import NoteHistory
from nutmegdrum.releases import NoteAccepted
from nutmegdrum.settings import load_settings
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.procstat import usage
from nutmegdrum_testing.waiting import wait_for

TIMEOUT_S = 60.0
RESTART_COMMANDS = 500
RESTART_TIMEOUT_S = 20.0
MAX_RESIDENT_BYTES = 256 << 20


class Operator:
    """Submits numbered notes and remembers which were accepted."""

    def __init__(self, deployment):
        self._client = OperatorsClient(load_settings(deployment.states[0].settings_file))
        self.accepted = []

    def submit(self):
        number = len(self.accepted) + 1
        answer = wait_for(lambda: self._try(number), TIMEOUT_S)
        assert isinstance(answer, NoteAccepted), answer
        self.accepted.append(number)

    def _try(self, number):
        note = {
            "number": number,
            "changed": [{"model": "m", "version": "2", "complete_by": "2100-01-01T00:00:00Z"}],
        }
        try:
            return self._client.submit(f"c{number}", "op", msgspec.json.encode(note))
        except UserError:
            return None

    def numbers(self):
        try:
            return sorted(note.number for note in self._client.query(NoteHistory()).notes)
        except UserError:
            return None

    def check(self):
        wait_for(lambda: self.numbers() == self.accepted, TIMEOUT_S)


@pytest.fixture
def deployment():
    with Deployment(Options(states=3, entries=0, engines=1)) as running:
        yield running


@pytest.fixture
def operator(deployment):
    return Operator(deployment)


def others(deployment, daemon):
    return [other for other in deployment.states if other is not daemon]


class TestStateReplicas:
    def test_no_note_is_lost_when_each_replica_is_killed_in_turn(self, deployment, operator):
        for daemon in deployment.states:
            operator.submit()
            daemon.running.kill()
            operator.submit()
            daemon.start()
            wait_for(daemon.is_ready, TIMEOUT_S)
        operator.check()

    def test_no_note_is_lost_with_one_disk_and_then_a_second_vm(self, deployment, operator):
        operator.submit()
        leader = deployment.leader()
        lost = others(deployment, leader)[0]
        lost.running.kill()
        shutil.rmtree(lost.cfg["vm"]["data_folder"])
        operator.submit()
        lost.start()
        wait_for(lost.is_ready, TIMEOUT_S)
        wait_for(lambda: lost.metric("nutmegdrum_log_votes") == 1, TIMEOUT_S)
        leader.running.kill()
        operator.submit()
        operator.check()

    def test_leader_that_was_frozen_does_not_lead_after_it_resumes(self, deployment, operator):
        operator.submit()
        leader = deployment.leader()
        leader.running.pause()
        operator.submit()
        leader.running.resume()
        wait_for(lambda: leader.metric("nutmegdrum_log_leads") == 0, TIMEOUT_S)
        operator.submit()
        operator.check()

    def test_restart_after_many_commands_is_fast_and_small(self, deployment, operator):
        for _ in range(RESTART_COMMANDS):
            operator.submit()
        for daemon in deployment.states:
            daemon.running.kill()
        for daemon in deployment.states:
            daemon.start()
        for daemon in deployment.states:
            wait_for(daemon.is_ready, RESTART_TIMEOUT_S)
        operator.check()
        for daemon in deployment.states:
            assert usage(daemon.pid).resident_bytes < MAX_RESIDENT_BYTES
