"""Operator's command line, as a test or benchmark runs it against a deployment."""

import datetime
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

from nutmegdrum_testing.deployment import Deployment

COMPLETE_WITHIN = datetime.timedelta(seconds=90)
"""Time from the submission of a note to its complete-by time."""


class Operator:
    """Runs `nutmegdrum` commands against one deployment."""

    def __init__(self, deployment: Deployment):
        self._folder = deployment.folder
        self._settings = str(deployment.states[0].settings_file)

    def command(self, *args: str) -> Any:
        """Run a command with `--json` and return its decoded output."""
        program = str(Path(sys.executable).parent / "nutmegdrum")
        full = [program, *args, "--settings", self._settings, "--json"]
        done = subprocess.run(full, capture_output=True, text=True, check=True)
        return json.loads(done.stdout)

    def change_version(self, version: str, number: int = 1) -> Any:
        """Submit a release note that moves model `m` to `version`, and return the output."""
        complete_by = datetime.datetime.now(datetime.UTC) + COMPLETE_WITHIN
        change = {"model": "m", "version": version, "complete_by": complete_by.isoformat()}
        path = self._folder / f"note-{number}.json"
        path.write_text(json.dumps({"number": number, "changed": [change]}))
        return self.command("note", "submit", str(path))

    def ended_move(self) -> dict[str, Any] | None:
        """Return the only move if it has ended, else None."""
        (move,) = self.command("report")["moves"]
        return move if move["ended"] else None
