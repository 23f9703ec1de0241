import sys
import types

import pytest
from nutmegdrum.errors import UserError
from nutmegdrum.plugins import Event, Kind, Plugin, load_plugins


class Example(Plugin):
    def __init__(self):
        super().__init__("example")
        self.config.update(limit=3)
        self.received = []

    def register(self, registry):
        registry.provide(Kind.ROUTING, "example", self)
        registry.listen(Event.BACKEND_LOST, lambda **details: self.received.append(details))


@pytest.fixture(autouse=True)
def module(monkeypatch):
    module = types.ModuleType("example_plugins.example")
    module.Example = Example
    monkeypatch.setitem(sys.modules, "example_plugins", types.ModuleType("example_plugins"))
    monkeypatch.setitem(sys.modules, "example_plugins.example", module)


NAME = "example_plugins.example"


class TestLoadPlugins:
    def test_plugin_registers_behaviour_and_a_listener(self):
        registry = load_plugins([NAME], {NAME: {"limit": 5}})
        plugin = registry.get(Kind.ROUTING, "example")
        registry.send(Event.BACKEND_LOST, backend="b1")
        assert plugin.config == {"limit": 5}
        assert plugin.received == [{"backend": "b1"}]

    @pytest.mark.parametrize("options", [{"limits": 5}, {"limit": "5"}])
    def test_wrong_option_names_its_path(self, options):
        with pytest.raises(UserError, match=r"`\$\.plugin_settings\.example\."):
            load_plugins([NAME], {NAME: options})

    def test_missing_module_is_a_user_error(self):
        with pytest.raises(UserError, match="cannot be loaded"):
            load_plugins(["no_such_plugin"], {})

    def test_two_plugins_with_the_same_name_are_an_error(self):
        with pytest.raises(UserError, match="two plug-ins"):
            load_plugins([NAME, NAME], {})
