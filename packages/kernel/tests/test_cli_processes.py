import json
import subprocess
import sys
from pathlib import Path

import pytest
from nutmegdrum_testing.deployment import Deployment, Options

NOTE = {
    "number": 1,
    "changed": [{"model": "m", "version": "2", "complete_by": "2100-01-01T00:00:00Z"}],
}


@pytest.fixture(scope="module")
def deployment():
    with Deployment(Options(states=1, entries=1)) as running:
        yield running


class Cli:
    def __init__(self, deployment):
        self._settings = str(deployment.entries[0].settings_file)
        self.folder = deployment.folder

    def run(self, *args, settings=True):
        program = str(Path(sys.executable).parent / "nutmegdrum")
        more = ["--settings", self._settings] if settings else []
        return subprocess.run([program, *args, *more], capture_output=True, text=True, check=False)

    def note(self, name, document):
        path = self.folder / name
        path.write_text(json.dumps(document))
        return str(path)


@pytest.fixture
def cli(deployment):
    return Cli(deployment)


class TestCommandLine:
    def test_settings_check(self, cli, deployment):
        done = cli.run(
            "settings", "check", str(deployment.entries[0].settings_file), settings=False
        )
        assert done.returncode == 0

    def test_settings_check_names_the_path_of_an_error(self, cli):
        path = cli.note("wrong.json", {"deployment": 1})
        done = cli.run("settings", "check", path, settings=False)
        assert done.returncode == 2
        assert "$.deployment" in done.stderr

    def test_resent_note_gets_the_first_answer(self, cli):
        note = cli.note("note.json", NOTE)
        first = cli.run("note", "submit", note, "--command-id", "c1", "--json")
        again = cli.run("note", "submit", note, "--command-id", "c1", "--json")
        assert first.returncode == 0
        assert again.stdout == first.stdout

    def test_another_note_with_the_same_number_is_a_conflict(self, cli):
        cli.run("note", "submit", cli.note("note.json", NOTE), "--command-id", "c1")
        other = NOTE | {"comment": "another"}
        done = cli.run("note", "submit", cli.note("other.json", other), "--json")
        assert done.returncode == 3
        assert json.loads(done.stdout)["number"] == 1

    def test_invalid_note_names_the_path(self, cli):
        wrong = NOTE | {"number": 0}
        done = cli.run("note", "submit", cli.note("wrong-note.json", wrong))
        assert done.returncode in (2, 3)
        assert "$.number" in done.stdout + done.stderr

    @pytest.mark.parametrize(
        "command",
        [
            ["note", "show"],
            ["note", "show", "1"],
            ["note", "history"],
            ["report"],
            ["report", "--note", "1"],
            ["report", "--since", "2026-01-01T00:00:00Z", "--until", "2100-01-01T00:00:00+02:00"],
            ["report", "--workspace", "w1"],
            ["audit"],
            ["audit", "--after", "1"],
            ["vms"],
            ["state"],
        ],
    )
    def test_queries_answer_in_text_and_json(self, cli, command):
        text = cli.run(*command)
        assert (text.returncode, text.stderr) == (0, "")
        as_json = cli.run(*command, "--json")
        assert isinstance(json.loads(as_json.stdout), dict)

    def test_time_without_an_offset_is_a_user_error(self, cli):
        done = cli.run("report", "--since", "2026-01-01T00:00:00")
        assert done.returncode == 2
        assert done.stderr.count("\n") == 1
