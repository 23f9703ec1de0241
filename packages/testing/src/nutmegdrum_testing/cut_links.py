"""Plug-in that cuts a daemon's new connections to backend servers while a file says so.

All daemons of a test's deployment run on one machine and reach the same addresses; the file is
named by the process, so each daemon can be cut off by itself.
"""

import os
import socket
import time
from enum import Enum
from pathlib import Path
from typing import Any

from nutmegdrum.plugins import Plugin, Registry
from urllib3.util import connection

NAME = "nutmegdrum_testing.cut_links"
BACKEND_HOST = "127.0.0.1"
"""Host of all backend servers of a deployment; daemons have others."""


class Cut(Enum):
    """What happens to new connections."""

    REFUSED = "refused"
    HANGING = "hanging"


class CutLinks:
    """Switches for the daemons of one deployment."""

    def __init__(self, folder: Path):
        self._folder = folder

    def plugin_settings(self) -> dict[str, Any]:
        """Return the settings for the plug-in."""
        return {NAME: {"folder": str(self._folder)}}

    def cut(self, pid: int, how: Cut) -> None:
        """Cut a daemon's new connections to all backend servers."""
        _file(self._folder, pid).write_text(how.value)

    def restore(self, pid: int) -> None:
        """Let a daemon reach backend servers again."""
        _file(self._folder, pid).unlink()


def _file(folder: Path, pid: int) -> Path:
    return folder / f"cut-{pid}"


class CutLinksPlugin(Plugin):
    """Plug-in that replaces the function by which HTTP clients connect."""

    def __init__(self) -> None:
        super().__init__()
        self.config.update({"folder": ""})

    def register(self, registry: Registry) -> None:
        """Replace the function."""
        connect = connection.create_connection
        file = _file(Path(self.config["folder"]), os.getpid())

        def create_connection(
            address: tuple[str, int], timeout: Any = None, *args: Any, **options: Any
        ) -> socket.socket:
            if address[0] == BACKEND_HOST and file.exists():
                if file.read_text() == Cut.HANGING.value:
                    time.sleep(timeout)
                    raise TimeoutError("connection timed out")
                raise ConnectionRefusedError("connection refused")
            return connect(address, timeout, *args, **options)

        connection.create_connection = create_connection
