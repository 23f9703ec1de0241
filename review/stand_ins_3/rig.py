"""Small deployment on loopback addresses for the scripts of this review.

The daemons are started with the commands and settings templates of the deploy file. The list of
servers, the servers and the operator are stand-ins with the formats of the platform's pages.
"""

import contextlib
import http.client
import json
import os
import random
import re
import shlex
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HOST = "shop.example"
KEY = "key-of-tenant-a"
TENANT = "tenant-a"
START_TIMEOUT_S = 20.0
RESTART_DELAY_S = 0.2
FIRST_PORT, LAST_PORT = 20_000, 32_000


def free_port(ip: str) -> int:
    """Return a TCP port that is free on `ip`, below the range of ephemeral ports."""
    while True:
        port = random.SystemRandom().randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as sock, contextlib.suppress(OSError):
            sock.bind((ip, port))
            return port


def fill_template(text: str, fields: dict) -> str:
    """Fill in the placeholders that the deploy file's templates use."""

    def value(match: re.Match) -> str:
        name, _, form = match[1].partition("|")
        found: object = fields
        for part in name.split("."):
            found = found[int(part)] if isinstance(found, list) else found.get(part)
            if found is None:
                break
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"{{([^{}]+)}}", value, text)


class Record:
    """Lines of `record.txt`, with the time since the start in s; thread-safe."""

    def __init__(self, folder: Path):
        self._file = (folder / "record.txt").open("w", encoding="utf-8")
        self._began_s = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
            self._file.flush()


class ListServer:
    """Stand-in of the platform's list of servers."""

    def __init__(self, ip: str):
        entries = self.entries = []

        class Handler(BaseHTTPRequestHandler):
            protocol_version = "HTTP/1.1"

            def do_GET(self) -> None:  # noqa: N802
                body = json.dumps({"instances": list(entries), "next": None}).encode()
                self.send_response(200)
                self.send_header("Content-Type", "application/json")
                self.send_header("Content-Length", str(len(body)))
                self.end_headers()
                self.wfile.write(body)

            def log_message(self, *_: object) -> None:
                pass

        self._server = ThreadingHTTPServer((ip, free_port(ip)), Handler)
        self._server.daemon_threads = True
        self.address = f"{ip}:{self._server.server_port}"
        threading.Thread(target=self._server.serve_forever, daemon=True).start()


class Daemon:
    """One process of the deploy file, restarted when it ends by itself, as the platform does.

    Attributes
    ----------
    ends : list of int
        Exit codes of the processes that have ended so far.
    collects : threading.Event
        Set while the process's output is read.
    """

    def __init__(self, role: str, fields: dict, folder: Path, record: Record):
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"][role]
        self._command = shlex.split(deploy["run"])
        self._template = (ROOT / deploy["template"]).read_text()
        self.name = fields["node_name"]
        self.fields = fields
        self._settings = folder / f"{self.name}.json"
        self._output = folder / f"{self.name}.log"
        self.collects = threading.Event()
        self.collects.set()
        self._record = record
        self.ends: list[int] = []
        self.started_s = 0.0
        self._stopping = False
        self.write_settings()
        self._start()
        threading.Thread(target=self._watch, daemon=True).start()

    def write_settings(self) -> None:
        """Fill in the template, as the platform does at each start and change."""
        self._settings.write_text(fill_template(self._template, self.fields))

    def _start(self) -> None:
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["NUTMEGDRUM_CONFIG"] = str(self._settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        env["PYTHONDONTWRITEBYTECODE"] = "1"
        self.process = subprocess.Popen(
            self._command,
            cwd=ROOT,
            env=env,
            stdin=subprocess.DEVNULL,
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        self.started_s = time.monotonic()
        threading.Thread(target=self._collect, args=(self.process,), daemon=True).start()
        self._record.write(f"{self.name}: started")

    def _collect(self, process: subprocess.Popen) -> None:
        """Collect the output of a process into a file, while `collects` is set."""
        with self._output.open("ab", buffering=0) as file:
            while True:
                self.collects.wait()
                data = os.read(process.stdout.fileno(), 65_536)
                if not data:
                    return
                file.write(data)

    def _watch(self) -> None:
        while True:
            code = self.process.wait()
            if self._stopping:
                return
            self.ends.append(code)
            self._record.write(f"{self.name}: ended with code {code}")
            time.sleep(RESTART_DELAY_S)
            if self._stopping:
                return
            self.write_settings()
            self._start()

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        with contextlib.suppress(ProcessLookupError):
            os.kill(self.process.pid, signum)

    def output(self) -> str:
        """Return what the process has written so far."""
        return self._output.read_text(errors="replace")

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        self._stopping = True
        with contextlib.suppress(ProcessLookupError):
            self.process.kill()
        self.process.wait()
        self.collects.set()


class Deployment:
    """State replicas, entry VMs, a list of servers and an operator."""

    def __init__(self, record: Record, states: int = 1, entries: int = 1, **bounds: object):
        self.record = record
        self._folder = tempfile.TemporaryDirectory(prefix="nutmegdrum-review-")
        folder = Path(self._folder.name)
        self._bounds = {
            "grace_s": 8,
            "retry_budget_ratio": 0.8,
            "retry_window_s": 10,
            "retry_slack": 150,
            **bounds,
        }
        self.list = ListServer("127.0.0.1")
        state_ips = [f"127.0.1.{number + 1}" for number in range(states)]
        entry_ips = [f"127.0.2.{number + 1}" for number in range(entries)]
        peers = free_port(state_ips[0])
        metrics = free_port(state_ips[0])
        control = free_port(state_ips[0])
        front, ready = free_port(entry_ips[0]), free_port(entry_ips[0])
        self._ports = (peers, metrics)
        self.seeds = [f"{ip}:{control}" for ip in state_ips]
        self.states = []
        self.entries = []
        for number, ip in enumerate(state_ips):
            data = folder / f"data-{number}"
            data.mkdir()
            fields = self._fields(f"core-{number}", ip, memory_mb=296, max_fds=4_096)
            fields |= {"listen": {"control": f"{ip}:{control}"}, "data_dir": str(data)}
            fields |= {"bootstrap": True}
            self.states.append(Daemon("state", fields, folder, record))
        for number, ip in enumerate(entry_ips):
            fields = self._fields(f"front-{number}", ip, memory_mb=300, max_fds=4_100)
            fields |= {"listen": {"front": f"{ip}:{front}", "ready": f"{ip}:{ready}"}}
            self.entries.append(Daemon("entry", fields, folder, record))
        self.folder = folder

    def _fields(self, name: str, ip: str, memory_mb: int, max_fds: int) -> dict:
        return {
            "node_name": name,
            "ip": ip,
            "zone": "zone-a",
            "region": "region-a",
            "internal_port_range": list(self._ports),
            "seeds": self.seeds,
            "cloud_api": {"address": self.list.address},
            "limits": {"memory_mb": memory_mb, "max_fds": max_fds},
            "fault_tolerance": {"machines": 0 if len(self.seeds) < 3 else 1},
            "bounds": dict(self._bounds),
        }

    def __enter__(self) -> "Deployment":
        return self

    def __exit__(self, *_: object) -> None:
        for daemon in (*self.entries, *self.states):
            daemon.stop()
        self._folder.cleanup()

    def front(self, number: int = 0) -> tuple[str, int]:
        """Return the address for clients of an entry VM."""
        ip, _, port = self.entries[number].fields["listen"]["front"].rpartition(":")
        return ip, int(port)

    def is_ready(self, number: int = 0) -> bool:
        """Return whether an entry VM answers the balancer's question with 200."""
        ip, _, port = self.entries[number].fields["listen"]["ready"].rpartition(":")
        return call("GET", (ip, int(port)), "/ready")[0] == 200

    def operator(self, method: str, path: str, body: object = None, number: int = 0) -> tuple:
        """Send one call of the operator; return status and body, status 0 without an answer."""
        ip, _, port = self.seeds[number].rpartition(":")
        data = None if body is None else json.dumps(body).encode()
        return call(method, (ip, int(port)), path, data)

    def configure(self, config: dict) -> None:
        """Send a configuration until it is acknowledged."""
        wait_for(lambda: self.operator("POST", "/Config.Replace", config)[0] == 200)
        self.record.write(f"configuration {config['version']} acknowledged")


def call(
    method: str,
    address: tuple[str, int],
    path: str,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float = 2.5,
) -> tuple[int, bytes]:
    """Send one request on a new connection; status 0 stands for no answer."""
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    if headers is None:
        headers = {"Content-Type": "application/json"} if body is not None else {}
    try:
        conn.request(method, path, body=body, headers=headers)
        answer = conn.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()


def wait_for(condition: Callable[[], object], timeout_s: float = START_TIMEOUT_S) -> None:
    """Wait until a condition holds.

    Raises
    ------
    CannotRun
        If it does not hold in time.
    """
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until_s:
            raise CannotRun("a condition of the case's set-up did not come about in time")
        time.sleep(0.05)


class CannotRun(Exception):
    """The case could not run."""


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route as the pages show it."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": prefix,
        "kind": kind,
        "timeout_ms": 5_000,
        "target_latency_ms": 500,
        "priority": 1,
        "service": service,
        "max_attempts": 1 if kind == "unsafe" else 3,
        "auth_exempt": False,
        **more,
    }


def config(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a configuration with one tenant."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_connections": 110} for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def listed(server_id: str, service: str, address: str, **more: object) -> dict:
    """Return an entry of the list of servers."""
    return {
        "service": service,
        "address": address,
        "zone": "zone-a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_remaining_ms": 0,
        "id": server_id,
        **more,
    }


def run_case(main: Callable[[Record, bool], bool]) -> None:
    """Run a case and exit: 1 if its rule was broken, 0 if it held, 2 if it could not run."""
    record = Record(Path(sys.argv[1]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        broken = main(record, trouble)
    except Exception as exc:
        # Any error of the script itself says nothing about the rule.
        record.write(f"could not run: {exc!r}")
        sys.exit(2)
    record.write("result: the rule is broken" if broken else "result: the rule held")
    sys.exit(1 if broken else 0)
