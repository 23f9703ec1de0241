"""Processes started by a test, which it can pause and kill and which are always cleaned up."""

import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path
from typing import IO

from nutmegdrum_testing.waiting import wait_for

READY_PREFIX = "listening "
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 10.0
_FIRST_PORT = 20_000
_LAST_PORT = 32_000
_TAIL_CHARS = 2_000


def free_ports(count: int, host: str = "127.0.0.1") -> list[int]:
    """Return distinct TCP ports that are free on `host` at the time of the call.

    They lie below the range of ephemeral ports, so that no outgoing connection uses one of them
    before its listener starts.
    """
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(_FIRST_PORT, _LAST_PORT)
        if port not in ports and _is_free(host, port):
            ports.append(port)
    return ports


def _is_free(host: str, port: int) -> bool:
    with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


def _open_output(path: Path | None) -> IO[bytes]:
    if path is None:
        return tempfile.NamedTemporaryFile()  # noqa: SIM115
    return path.open("ab")


def _blocked(status: Path) -> int:
    """Return the mask of blocked signals in the status file of a thread; 0 if it has ended."""
    try:
        lines = status.read_text().splitlines()
    except (FileNotFoundError, ProcessLookupError):
        return 0
    return next(int(line.split()[1], 16) for line in lines if line.startswith("SigBlk:"))


class RunningProcess:
    """One running process.

    Parameters
    ----------
    args : sequence of str
        Program and arguments.
    output : Path or None
        File for standard output and error; a temporary one by default.
    """

    def __init__(self, args: Sequence[str], output: Path | None = None):
        self.args = list(args)
        self._file = _open_output(output)
        self._path = Path(self._file.name)
        self._paused = False
        self._popen = subprocess.Popen(
            self.args, stdin=subprocess.DEVNULL, stdout=self._file, stderr=subprocess.STDOUT
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self._popen.pid

    @property
    def exit_code(self) -> int | None:
        """Return the exit code, or None while the process runs."""
        return self._popen.poll()

    def output(self) -> str:
        """Return the output of the process so far."""
        return self._path.read_text(errors="replace")

    def wait_ready(self, timeout_s: float = START_TIMEOUT_S) -> str:
        """Wait for the line `listening ADDRESS` and return the address."""
        return wait_for(self._ready_address, timeout_s)

    def _ready_address(self) -> str:
        for line in self.output().splitlines():
            if line.startswith(READY_PREFIX):
                return line.removeprefix(READY_PREFIX)
        self.check_running()
        return ""

    def check_running(self) -> None:
        """Raise RuntimeError with the end of the output if the process has ended."""
        if self.exit_code is not None:
            tail = self.output()[-_TAIL_CHARS:]
            raise RuntimeError(f"{self.args} ended with exit code {self.exit_code}:\n{tail}")

    def kill(self) -> None:
        """Kill the process with SIGKILL and wait for its end."""
        if self.exit_code is None:
            self._popen.kill()
            self._popen.wait(STOP_TIMEOUT_S)

    def pause(self) -> None:
        """Stop the process with SIGSTOP; its sockets stay open."""
        os.kill(self.pid, signal.SIGSTOP)
        self._paused = True

    def resume(self) -> None:
        """Resume a paused process with SIGCONT."""
        os.kill(self.pid, signal.SIGCONT)
        self._paused = False

    def show_stacks(self) -> None:
        """Send SIGUSR1, on which a process with a handler writes its threads' stacks."""
        os.kill(self.pid, signal.SIGUSR1)

    def blocks(self, signum: signal.Signals) -> bool:
        """Return whether the process has blocked a signal, to wait for it, or has ended."""
        if self.exit_code is not None:
            return True
        # A thread that waits for a signal does not block it meanwhile; the others do.
        threads = Path(f"/proc/{self.pid}/task").glob("*/status")
        return any(_blocked(status) >> (signum - 1) & 1 for status in threads)

    def hang_up(self) -> None:
        """Send SIGHUP, on which a daemon reloads its settings file."""
        os.kill(self.pid, signal.SIGHUP)

    def terminate(self) -> None:
        """Send SIGTERM, on which a daemon shuts down gracefully."""
        self._popen.terminate()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int:
        """Wait for the end of the process and return its exit code."""
        return self._popen.wait(timeout_s)

    def close(self) -> None:
        """Kill the process if it still runs, and close its output file."""
        if self.exit_code is None and self._paused:
            self.resume()
        if self.exit_code is None:
            self.kill()
        self._file.close()


class Processes:
    """Processes that are all ended at the end of a `with` block."""

    def __init__(self) -> None:
        self._all: list[RunningProcess] = []

    def __enter__(self) -> "Processes":
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    def start(self, args: Sequence[str], output: Path | None = None) -> RunningProcess:
        """Start a process."""
        process = RunningProcess(args, output)
        self._all.append(process)
        return process

    def start_module(
        self, module: str, *options: str, output: Path | None = None
    ) -> RunningProcess:
        """Start a Python module with this interpreter."""
        return self.start([sys.executable, "-m", module, *options], output)

    def close(self) -> None:
        """End all processes, the last started first."""
        for process in reversed(self._all):
            process.close()
        self._all.clear()
