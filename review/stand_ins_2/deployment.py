"""Small deployment of the project's daemons on loopback addresses, with a stand-in platform."""

import json
import os
import random
import re
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
FIRST_PORT, LAST_PORT = 20_000, 32_000
STATE_HOSTS = ("127.0.0.11", "127.0.0.12", "127.0.0.13")
ENTRY_HOSTS = ("127.0.0.21", "127.0.0.22", "127.0.0.23")
ZONES = ("zone-a", "zone-b", "zone-c")
RESTART_DELAY_S = 0.5
LIST_LAG_S = 0.8
LIST_SAMPLE_S = 0.1

BOUNDS = {
    "contact_ms": 3_000,
    "drain_ms": 3_000,
    "grace_s": 8,
    "config_apply_ms": 2_000,
    "retry_budget_ratio": 0.8,
    "retry_window_s": 10,
    "retry_slack": 150,
}
"""Bounds of the small deployments."""

_given: set[int] = set()
"""Ports that `free_port` has returned."""

_PLACEHOLDER = re.compile(r"\{\{([a-z_.0-9]+)(\|json)?\}\}")


def trouble() -> bool:
    """Return whether the script plays its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port(hosts: tuple[str, ...]) -> int:
    """Return a port that is free on all `hosts`."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        if port not in _given and all(_is_free(host, port) for host in hosts):
            _given.add(port)
            return port


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


class Record:
    """File `record.txt` of a case; thread-safe."""

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._began_s = time.monotonic()

    def now_s(self) -> float:
        """Return the time since the start of the script in s."""
        return time.monotonic() - self._began_s

    def line(self, text: str) -> None:
        """Write a line with the time."""
        with self._lock:
            self._file.write(f"{self.now_s():8.3f} {text}\n")
            self._file.flush()


class Platform:
    """List of backend servers, which lags; `entries` returns the current entries."""

    def __init__(self, entries):
        self._entries = entries
        self._history = [(time.monotonic(), entries())]
        threading.Thread(target=self._sample, daemon=True).start()
        listed = self._listed

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self):
                body = json.dumps({"instances": listed(), "next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *args):
                pass

        self._server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self._server.daemon_threads = True
        self.address = f"127.0.0.1:{self._server.server_address[1]}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()

    def _sample(self) -> None:
        while True:
            time.sleep(LIST_SAMPLE_S)
            self._history = [*self._history[-20:], (time.monotonic(), self._entries())]

    def _listed(self) -> list[dict]:
        """Return the entries as they were before the lag."""
        until_s = time.monotonic() - LIST_LAG_S
        history = self._history
        return next((e for at_s, e in reversed(history) if at_s <= until_s), history[0][1])


class Daemon:
    """One process of the deploy file, which the platform restarts when it ends."""

    def __init__(self, template: str, fields: dict, folder: Path, record: Record):
        self.name = fields["node_name"]
        self.fields = fields
        self._record = record
        self._settings = folder / f"{self.name}.json"
        text = (ROOT / template).read_text()
        self._settings.write_text(_PLACEHOLDER.sub(lambda m: _render(fields, m), text))
        self._log = (folder / f"{self.name}.log").open("ab")
        self.starts = 0
        self.ends: list[tuple[float, int]] = []
        self.closing = False
        self.process: subprocess.Popen | None = None
        self.start()

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        self.starts += 1
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "NUTMEGDRUM_CONFIG": str(self._settings),
        }
        self.process = subprocess.Popen(
            ["python3", "-m", "nutmegdrum_platform"],
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=self._log,
            stderr=subprocess.STDOUT,
        )
        self._record.line(f"start of {self.name}")

    def poll(self) -> None:
        """Note the process's end and restart it, as the platform does."""
        if self.closing or self.process.poll() is None:
            return
        self.ends.append((self._record.now_s(), self.process.returncode))
        self._record.line(f"end of {self.name}, code {self.process.returncode}")
        time.sleep(RESTART_DELAY_S)
        self.start()

    def memory_mb(self) -> float:
        """Return the resident memory in MB."""
        try:
            text = Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", text)
        return int(found[1]) * 1_024 / 1e6 if found else 0.0

    def signal(self, signum: int) -> None:
        """Send a signal to the process."""
        if self.process.poll() is None:
            os.kill(self.process.pid, signum)

    def close(self) -> None:
        """Kill the process."""
        self.closing = True
        if self.process.poll() is None:
            self.signal(signal.SIGCONT)
            self.process.kill()
        self.process.wait()
        self._log.close()


def _render(fields: dict, match: re.Match) -> str:
    value = fields
    for part in match[1].split("."):
        value = value[int(part)] if isinstance(value, list) else value[part]
    if match[2]:
        return json.dumps(value)
    return ",".join(map(str, value)) if isinstance(value, list) else str(value)


class Deployment:
    """Daemons of a small deployment, as the deploy file starts them.

    Parameters
    ----------
    entries : callable
        Returns the entries of the platform's list.
    """

    def __init__(self, record: Record, entries, states: int = 3, fronts: int = 2):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="nutmegdrum-review-")
        folder = Path(self._folder.name)
        self.folder = folder
        self.platform = Platform(entries)
        states_at, fronts_at = STATE_HOSTS[:states], ENTRY_HOSTS[:fronts]
        hosts = STATE_HOSTS + ENTRY_HOSTS
        ports: list[int] = []
        while len(ports) < 5:
            ports.append(free_port(hosts))
        self.control_port, self.front_port, self.ready_port, first, last = ports
        seeds = [f"{host}:{self.control_port}" for host in states_at]
        self.daemons: list[Daemon] = []
        for index, host in enumerate(states_at + fronts_at):
            is_state = host in states_at
            fields = {
                "node_name": f"{'core' if is_state else 'front'}-{index}",
                "zone": ZONES[index % len(ZONES)],
                "region": "region",
                "ip": host,
                "internal_port_range": [first, last],
                "seeds": seeds,
                "bootstrap": True,
                "listen": {
                    "front": f"{host}:{self.front_port}",
                    "ready": f"{host}:{self.ready_port}",
                    "control": f"{host}:{self.control_port}",
                },
                "limits": {"memory_mb": 296 if is_state else 300, "max_fds": 4_096},
                "cloud_api": {"address": self.platform.address},
                "fault_tolerance": {"machines": 1},
                "bounds": BOUNDS,
                "data_dir": str(folder / f"disk-{index}"),
            }
            Path(fields["data_dir"]).mkdir()
            template = "deploy/state.json" if is_state else "deploy/entry.json"
            self.daemons.append(Daemon(template, fields, folder, record))
        self.states = self.daemons[:states]
        self.fronts = self.daemons[states:]
        self.controls = [(host, self.control_port) for host in states_at]
        self.front_addresses = [(host, self.front_port) for host in fronts_at]

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *exc: object) -> None:
        for daemon in reversed(self.daemons):
            daemon.close()
        if os.environ.get("KEEP_LOGS"):
            for daemon in self.daemons:
                log = self.folder / f"{daemon.name}.log"
                Path(os.environ["KEEP_LOGS"], log.name).write_bytes(log.read_bytes())
        self._folder.cleanup()

    def put(self, source: bytes, timeout_s: float = 10.0) -> bool:
        """Send a configuration to one control node after the other until one answers.

        Returns whether it was acknowledged; False if it was refused, or after `timeout_s`.
        """
        until_s = time.monotonic() + timeout_s
        pause_s = 0.05
        while time.monotonic() < until_s:
            for host, port in random.sample(self.controls, len(self.controls)):
                status, _ = call(host, port, "POST", "/Config.Replace", source)
                if status == 200:
                    return True
                if status in (400, 409, 412, 413, 422):
                    return False
            time.sleep(pause_s)
            pause_s = min(1.0, pause_s * 2)
        return False

    def get(self, timeout_s: float = 6.0) -> bytes | None:
        """Read the configuration back from any control node; None if none has it in time."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            for host, port in random.sample(self.controls, len(self.controls)):
                status, body = call(host, port, "GET", "/Config.Get")
                if status == 200:
                    return body
            time.sleep(0.2)
        return None

    def wait_ready(self, timeout_s: float = 30.0) -> bool:
        """Wait until all entry nodes report that they are ready."""
        until_s = time.monotonic() + timeout_s
        while time.monotonic() < until_s:
            states = [
                call(daemon.fields["ip"], self.ready_port, "GET", "/ready")[0]
                for daemon in self.fronts
            ]
            if all(state == 200 for state in states):
                return True
            time.sleep(0.1)
        return False


def call(
    host: str,
    port: int,
    method: str,
    path: str,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
    timeout_s: float = 1.0,
) -> tuple[int, bytes]:
    """Send one request on a new connection; status 0 if there was no whole answer in time."""
    headers = {"Host": host, "Connection": "close"} | (headers or {})
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if body or method == "POST":
        lines.append(f"Content-Length: {len(body)}")
    data = b""
    try:
        with socket.create_connection((host, port), timeout=1.0) as sock:
            sock.settimeout(timeout_s + len(body) / 1e6)
            sock.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            while chunk := sock.recv(1 << 16):
                data += chunk
    except OSError:
        return 0, b""
    head, _, rest = data.partition(b"\r\n\r\n")
    status = int(head[9:12]) if head[:5] == b"HTTP/" else 0
    length = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
    if length and len(rest) < int(length[1]):
        return 0, b""
    return status, rest


def run_case(case) -> None:
    """Run a case and exit with 1 if a rule was broken, 0 if it held, and 2 if it couldn't run."""
    try:
        broken = case()
    except Exception as exc:
        print(f"the case could not run: {exc!r}", file=sys.stderr)
        sys.exit(2)
    sys.exit(1 if broken else 0)
