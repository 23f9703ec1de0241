import random

import msgspec
import pytest
from nutmegdrum.fleet import ListedVm, LiveList
from nutmegdrum.leader import Leader, NeedWeights, Propose
from nutmegdrum.messages import LoadedVersion, LoadReport
from nutmegdrum.orders import Orders
from nutmegdrum.packing import pack, unpack
from nutmegdrum.queries import AuditQuery, Report
from nutmegdrum.releases import Releases, SubmitNote
from nutmegdrum.reports import answer_query
from nutmegdrum.schedule import Weights
from nutmegdrum.service_log import ServiceLog
from nutmegdrum.settings import parse_settings
from nutmegdrum.view import HeartbeatAnswer, HeartbeatReport
from nutmegdrum_coord.parts import CompositeState, encode_command
from nutmegdrum_plugins.sequential_judge import SequentialJudgePlugin

ADDRESS = "127.0.0.1:0"
WALL_MS = 1_800_000_000_000
SETTINGS = {
    "deployment": "test",
    "vm": {"id": "s1", "data_centre": "a", "region": "r", "data_folder": "/x"},
    "roles": ["state"],
    "listen": {"ops": ADDRESS, "peers": ADDRESS, "operators": ADDRESS},
    "state_replicas": [{"vm": "s1", "address": ADDRESS, "data_centre": "a"}],
    "entry_vms": [{"vm": f"e{i}", "address": ADDRESS, "data_centre": "a"} for i in range(2)],
    "services": [{"name": "s", "kind": "model"}],
    "models": [{"name": "m", "service": "s", "version": "1"}],
    "backend_servers": [
        {"id": f"b{i}", "address": ADDRESS, "service": "s", "data_centre": "a"} for i in range(3)
    ],
}


class World:
    """One leader and a replicated state to which commands are applied immediately."""

    def __init__(self, **settings):
        cfg = parse_settings(msgspec.json.encode(SETTINGS | settings))
        self.state = CompositeState([Releases(cfg.models), Orders(), ServiceLog()])
        judges = SequentialJudgePlugin().make
        self.leader = Leader(cfg, self.state, random.Random(0), judges, 1, 0)
        self.now = 0

    def submit(self, complete_by="2099-01-01T00:00:00Z"):
        change = {"model": "m", "version": "2", "complete_by": complete_by}
        note = msgspec.json.encode({"number": 1, "changed": [change]})
        self.apply(SubmitNote(operator="anu", note=note))

    def apply(self, command):
        self.state.apply(self.state.position + 1, self.now, encode_command(command))

    def tick(self):
        self.now += 500
        outputs = self.leader.tick(self.now, self.now, WALL_MS + self.now)
        for output in outputs:
            if isinstance(output, Propose):
                self.apply(output.command)
        return outputs

    def beat(self, vm, **keys):
        known = {"vm": vm, "incarnation": "i", "generation": 0, "note": 0, "ready": True}
        return self.leader.on_heartbeat(self.now, HeartbeatReport(**known | keys))

    def report(self):
        observed = self.leader.observed(self.now, WALL_MS + self.now)
        return answer_query(self.state, observed, Report())


class TestPredictedDelay:
    def test_predicted_delay_is_reported_once_and_before_the_deadline(self):
        world = World()
        for backend in ("b0", "b1", "b2"):
            report = LoadReport(
                sequence=1, running=0, queued=0, slots=16, loaded=[LoadedVersion("m", "1")]
            )
            world.leader.on_load_report(0, backend, report)
        world.submit("2027-01-15T08:10:00Z")
        needed = [output for output in world.tick() if isinstance(output, NeedWeights)]
        assert needed == [NeedWeights("m", "2")]
        assert world.report().open_late == 0
        world.leader.on_weights(needed[0], Weights(400 << 30, 1 << 30))
        world.tick()
        assert world.report().open_late == 1
        events = answer_query(world.state, world.leader.observed(0, 0), AuditQuery()).events
        assert [event.action for event in events].count("move late") == 1
        world.tick()
        move = world.report().moves[0]
        assert move.predicted > move.complete_by
        assert not move.late


class TestAcknowledgements:
    def test_report_names_vms_without_the_note_and_why(self):
        world = World()
        world.submit()
        view = world.beat("e0").view
        assert view.note == 1
        world.beat("e0", generation=view.generation, note=1)
        missing = {entry.vm: entry.why for entry in world.report().unacknowledged}
        assert missing == {"e1": "no heartbeat since this leader began"}
        world.now += 10_000
        world.beat("e1")
        missing = {entry.vm: entry.why for entry in world.report().unacknowledged}
        assert missing == {
            "e0": "no heartbeat for 10000 ms; serves settled versions only",
            "e1": "has note 0 in force",
        }

    def test_unchanged_view_is_not_resent(self):
        world = World()
        view = world.beat("e0").view
        assert world.beat("e0", generation=view.generation).view is None
        world.submit()
        assert world.beat("e0", generation=view.generation).view.generation > view.generation

    def test_answers_can_be_encoded(self):
        answer = World().beat("e0")
        assert unpack(pack(answer), HeartbeatAnswer) == answer


class TestLiveList:
    def test_older_live_list_does_not_revert_a_leaving_backend_server(self):
        world = World()
        for sequence, state in ((2, "leaving"), (1, "live")):
            vm = ListedVm(id="b0", address=ADDRESS, kind="backend", service="s", state=state)
            live = msgspec.convert(
                msgspec.to_builtins(LiveList(sequence=sequence, vms=[vm])), LiveList
            )
            world.leader.on_live_list(live)
        leaving = [backend.id for backend in world.leader.view().backends if backend.leaving]
        assert leaving == ["b0"]

    @pytest.mark.parametrize("state", ["live", "leaving"])
    def test_an_entry_of_another_writer_with_the_id_of_a_server_is_ignored(self, state):
        # Guards against an entry that names no server and takes a sound one out of use.
        world = World()
        sound = ListedVm(id="b0", address=ADDRESS, kind="backend", service="s", state="live")
        other = msgspec.structs.replace(sound, service="elsewhere", state=state)
        live = LiveList(sequence=1, vms=[sound, other])
        world.leader.on_live_list(msgspec.convert(msgspec.to_builtins(live), LiveList))
        assert "b0" in [each.id for each in world.leader.view().backends if not each.leaving]
        world.leader.on_live_list(
            msgspec.convert(msgspec.to_builtins(LiveList(sequence=2, vms=[sound])), LiveList)
        )
        assert "b0" in [each.id for each in world.leader.view().backends if not each.leaving]

    def test_a_view_before_the_first_live_list_says_that_leaving_servers_are_unknown(self):
        world = World(platform={"live_list": ADDRESS})
        before = world.leader.view()
        assert not before.knows_leaving
        world.leader.on_live_list(LiveList(sequence=1))
        after = world.leader.view()
        assert after.knows_leaving
        assert after.generation > before.generation


class TestNewLeader:
    """A new leader must not take missing load reports for idle or empty backend servers."""

    def report(self, world, backend, *versions):
        loaded = [LoadedVersion("m", version) for version in versions]
        report = LoadReport(sequence=1, running=0, queued=0, slots=16, loaded=loaded)
        world.leader.on_load_report(world.now, backend, report)

    def states(self, world):
        return {move.state.value for move in world.state.parts["releases"].moves.values()}

    def test_withdrawal_stays_draining_until_load_reports_arrive(self):
        world = World()
        entry = {"model": "m", "complete_by": "2099-01-01T00:00:00Z"}
        note = msgspec.json.encode({"number": 1, "withdrawn": [entry]})
        world.apply(SubmitNote(operator="anu", note=note))
        world.tick()
        world.tick()
        assert self.states(world) == {"draining"}

    def test_trial_does_not_start_before_all_load_reports_arrive(self):
        world = World()
        world.submit()
        world.tick()
        self.report(world, "b0", "1", "2")
        world.tick()
        world.tick()
        assert "trial" not in self.states(world)
        for backend in ("b1", "b2"):
            self.report(world, backend, "1", "2")
        world.tick()
        world.tick()
        assert self.states(world) == {"trial"}

    def test_adapter_is_added_although_dead_servers_never_report(self):
        world = World()
        entry = {"model": "m", "adapter": "a", "complete_by": "2099-01-01T00:00:00Z"}
        note = msgspec.json.encode({"number": 1, "added": [entry]})
        world.apply(SubmitNote(operator="anu", note=note))
        for sequence in range(30):
            loaded = [LoadedVersion("m", "1"), LoadedVersion("m", "1", "a")]
            report = LoadReport(sequence=sequence, running=0, queued=0, slots=16, loaded=loaded)
            world.leader.on_load_report(world.now, "b0", report)
            world.tick()
        assert self.states(world) == {"done"}
