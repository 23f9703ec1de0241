from pathlib import Path

import pytest
from nutmegdrum.plugins import load_plugins
from nutmegdrum.settings import Role, load_settings
from nutmegdrum_testing.examples import SHAPES, write_examples

EXAMPLES = Path(__file__).parents[3] / "examples"
SETTINGS = sorted(path for path in EXAMPLES.rglob("*.json") if not path.stem.startswith("note"))


class TestExamples:
    @pytest.mark.parametrize("path", SETTINGS, ids=lambda path: f"{path.parent.name}-{path.stem}")
    def test_every_example_is_accepted(self, path):
        cfg = load_settings(path)
        load_plugins(cfg.plugins, cfg.plugin_settings)

    @pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.deployment)
    def test_files_match_the_generator_output(self, shape, tmp_path):
        write_examples(tmp_path)
        written = sorted((tmp_path / shape.deployment).iterdir())
        assert len(written) == 7
        for path in written:
            assert path.read_text() == (EXAMPLES / shape.deployment / path.name).read_text()

    @pytest.mark.parametrize("shape", SHAPES, ids=lambda shape: shape.deployment)
    def test_three_of_seven_vms_are_state_replicas(self, shape):
        files = (EXAMPLES / shape.deployment).glob("*.json")
        roles = [load_settings(path).roles for path in files]
        assert len(roles) == 7
        assert roles.count([Role.ENTRY, Role.STATE]) == 3
