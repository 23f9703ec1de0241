import json

import pytest
from nutmegdrum.rpc import PeerUnreachable
from nutmegdrum_relay import settings_watch
from nutmegdrum_relay.control_client import ControlClient
from nutmegdrum_relay.settings import load_relay_settings
from nutmegdrum_relay.settings_watch import SettingsWatch
from nutmegdrum_relay.views import ControlView, EntryReport
from nutmegdrum_testing.waiting import wait_for

SETTINGS = {
    "deployment": "test",
    "role": "entry",
    "place": {"name": "e1", "data_centre": "dc", "region": "r"},
    "listen": {
        "peers": "10.0.0.9:1",
        "metrics": "10.0.0.9:2",
        "callers": "10.0.0.9:3",
        "readiness": "10.0.0.9:4",
    },
    "state_seeds": ["10.0.0.1:7"],
    "backend_list": "10.0.1.1:80",
}


class World:
    def __init__(self, folder):
        self.path = folder / "settings.json"
        self.write()
        self.applied = []
        cfg = load_relay_settings(self.path)
        self.watch = SettingsWatch(self.path, cfg, self.applied.append)

    def write(self, **changes):
        self.path.write_text(json.dumps({**SETTINGS, **changes}))


@pytest.fixture
def logged(monkeypatch):
    lines = []
    monkeypatch.setattr(
        settings_watch,
        "log_decision",
        lambda kind, **inputs: lines.append({"decision": kind, **inputs}),
    )
    return lambda: lines


@pytest.fixture
def world(tmp_path):
    return World(tmp_path)


class TestCheck:
    def test_a_file_with_equal_settings_changes_nothing(self, world):
        world.watch.check()
        world.path.write_text(world.path.read_text() + "\n")
        world.watch.check()
        assert world.applied == []

    def test_new_seeds_and_list_are_applied_at_once(self, world):
        world.write(state_seeds=["10.0.0.5:7", "10.0.0.6:7"], backend_list="10.0.1.2:80")
        world.watch.check()
        (cfg,) = world.applied
        assert cfg.seed_peers() == ["10.0.0.5:1", "10.0.0.6:1"]
        assert cfg.backend_list == "10.0.1.2:80"
        world.watch.check()
        assert len(world.applied) == 1

    @pytest.mark.parametrize(
        "damage",
        [
            lambda text: text[:40],
            lambda text: "",
            lambda text: "[" * 100_000,
            lambda text: text.replace("10.0.0.1:7", "nowhere"),
            lambda text: text.replace("state_seeds", "state_sedes"),
        ],
    )
    def test_an_invalid_file_is_refused_as_a_whole_and_the_next_one_applied(
        self, world, damage, logged
    ):
        world.path.write_text(damage(json.dumps({**SETTINGS, "backend_list": "10.0.1.2:80"})))
        world.watch.check()
        world.watch.check()
        assert world.applied == []
        assert [line["decision"] for line in logged()] == ["settings_refused"]
        world.write(backend_list="10.0.1.3:80")
        world.watch.check()
        assert [cfg.backend_list for cfg in world.applied] == ["10.0.1.3:80"]

    def test_a_file_that_is_missing_for_a_while_changes_nothing(self, world):
        world.path.unlink()
        world.watch.check()
        world.write()
        world.watch.check()
        assert world.applied == []

    def test_keys_that_need_a_restart_are_logged_and_not_applied(self, world, logged):
        world.write(place={**SETTINGS["place"], "data_centre": "other"}, tolerated_losses=2)
        world.watch.check()
        (cfg,) = world.applied
        assert (cfg.tolerated_losses, cfg.place.data_centre) == (2, "dc")
        (line,) = logged()
        assert (line["in_force"], line["at_next_start"]) == (["tolerated_losses"], ["place"])


class TestThread:
    def test_changes_are_applied_with_and_without_a_signal(self, world):
        world.watch.start()
        world.write(backend_list="10.0.1.2:80")
        wait_for(lambda: len(world.applied) == 1)
        world.write(backend_list="10.0.1.3:80")
        world.watch.on_signal()
        wait_for(lambda: len(world.applied) == 2)


class TestSeeds:
    def test_an_entry_vm_calls_new_seeds_besides_learned_replicas(self):
        called = []

        class Rpc:
            def call(self, address, method, data, timeout_ms):
                called.append(address)
                raise PeerUnreachable("nobody there", sent=False)

        client = ControlClient(Rpc(), ["10.0.0.1:1"])
        client._learn(None, ControlView(fresh=True, version=0, replicas=("10.0.0.2:1",)))
        client.set_seeds(["10.0.0.5:1"])
        assert client.report(EntryReport(vm="e", version=0, wait_ms=0)) is None
        assert called == ["10.0.0.2:1", "10.0.0.5:1"]
