"""Small deployment for the scripts of this review: the real daemons, and stand-ins around them.

The daemons run as separate processes with the command, the environment and the settings templates
of `deploy/system.toml`, on loopback addresses. The platform's list, the replicas, the operator and
the clients are small stand-ins in the script's own process.
"""

import http.client
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from collections.abc import Callable, Sequence
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from typing import Protocol

ROOT = Path(__file__).resolve().parent.parent
DEPS = ROOT / "target" / "deps"
COMMAND = ["python3", "-m", "nutmegdrum_platform"]
"""`run` of both roles in `deploy/system.toml`."""

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2

BOUNDS = {"grace_s": 8}
KEY = "xd9dnn2ctnfzs989anu6"
TENANT = "huka270"
HOST = "ficu95.example"
SAFE, UNSAFE, STREAM = "safe", "unsafe", "streaming"
CLIENT_TIMEOUT_S = 6.0
_FIRST_PORT, _LAST_PORT = 20_000, 32_000


class CannotRun(Exception):
    """The case could not be set up."""


class Writer(Protocol):
    """Takes lines of a record."""

    def write(self, text: str) -> None:
        """Add a line."""
        ...


class Record:
    """File with what was sent, answered and run, and the time of each line.

    Parameters
    ----------
    path : Path
        The file, `record.txt` in the folder of a case.
    """

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._lock = threading.Lock()
        self._begun = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line."""
        with self._lock:
            self._file.write(f"{time.monotonic() - self._begun:8.3f} {text}\n")
            self._file.flush()


class PartRecord:
    """Record whose lines begin with the name of a part."""

    def __init__(self, record: Record, name: str):
        self._record = record
        self._name = name

    def write(self, text: str) -> None:
        """Add a line."""
        self._record.write(f"{self._name}: {text}")


def free_ports(count: int) -> list[int]:
    """Return distinct ports on which nothing listens, below the range of ephemeral ports."""
    ports: list[int] = []
    while len(ports) < count:
        port = random.SystemRandom().randrange(_FIRST_PORT, _LAST_PORT)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("", port))
            except OSError:
                continue
        if port not in ports:
            ports.append(port)
    return ports


def wait_for(condition: Callable[[], object], timeout_s: float, what: str) -> object:
    """Return the condition's first true value.

    Raises
    ------
    CannotRun
        If there is none within `timeout_s`.
    """
    until = time.monotonic() + timeout_s
    while time.monotonic() < until:
        value = condition()
        if value:
            return value
        time.sleep(0.02)
    raise CannotRun(f"no success within {timeout_s} s: {what}")


def _render(template: str, fields: dict) -> str:
    def value(match: re.Match) -> str:
        found: object = fields
        path, _, form = match[1].partition("|")
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name) if isinstance(found, dict) else None
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([^}]+)\}\}", value, template)


class Daemon:
    """One process of the system on a loopback address.

    Parameters
    ----------
    fields : dict
        Fields of the platform's settings file, from which the template is filled in.
    """

    def __init__(self, folder: Path, role: str, fields: dict):
        self.host = fields["ip"]
        self._path = folder / f"{fields['node_name']}.json"
        self._log = folder / f"{fields['node_name']}.log"
        self._template = (ROOT / "deploy" / f"{role}.json").read_text()
        self._fields = fields
        self._process: subprocess.Popen | None = None

    @property
    def log(self) -> str:
        """Return the output of the process and of those before it."""
        return self._log.read_text(errors="replace")

    @property
    def pid(self) -> int:
        """Return the id of the process."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Start the process; it must not run."""
        self._path.write_text(_render(self._template, self._fields))
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env |= {"PYTHONPATH": str(DEPS), "NUTMEGDRUM_CONFIG": str(self._path)}
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                COMMAND, cwd=ROOT, env=env, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def signal(self, signum: signal.Signals) -> None:
        """Send a signal to the process."""
        if self._process is not None:
            self._process.send_signal(signum)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        if self._process is not None and self._process.poll() is None:
            self._process.kill()
            self._process.wait(10)

    def lose_disk(self) -> None:
        """Empty the data folder of a process that does not run; its next start is no bootstrap."""
        shutil.rmtree(self._fields["data_dir"])
        self._fields["bootstrap"] = False
        Path(self._fields["data_dir"]).mkdir()


class Deployment:
    """Processes and the platform of one deployment, in a folder of its own.

    Parameters
    ----------
    net : str
        First three parts of all addresses.
    state : sequence of int
        Last parts of the state replicas' addresses.
    seeds : sequence of int
        Last parts of the addresses of the replicas that the settings name.
    entries : sequence of int
        Last parts of the entry VMs' addresses.
    losses : int
        `fault_tolerance.machines`.
    """

    def __init__(
        self,
        net: str,
        state: list[int],
        seeds: list[int],
        entries: Sequence[int] = (),
        losses: int = 1,
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        internal, metrics, self.control, self.front, ready, platform = free_ports(6)
        self.metrics, self.ready = metrics, ready
        self.platform = Platform(f"{net}.200", platform)
        common = {
            "region": "kochi",
            "internal_port_range": [internal, metrics],
            "seeds": [f"{net}.{number}:{self.control}" for number in seeds],
            "cloud_api": {"address": self.platform.address},
            "bounds": BOUNDS,
            "fault_tolerance": {"machines": losses},
            "bootstrap": True,
        }
        self.replicas = []
        for number in state:
            ip = f"{net}.{number}"
            data = self.folder / f"disk-{number}"
            data.mkdir()
            fields = {
                **common,
                "node_name": f"core-{number}",
                "ip": ip,
                "zone": f"zone-{number % 3}",
                "listen": {"control": f"{ip}:{self.control}"},
                "data_dir": str(data),
            }
            self.replicas.append(Daemon(self.folder, "state", fields))
        self.entries = []
        for number in entries:
            ip = f"{net}.{number}"
            listen = {"front": f"{ip}:{self.front}", "ready": f"{ip}:{ready}"}
            fields = {
                **common,
                "node_name": f"front-{number}",
                "ip": ip,
                "zone": f"zone-{number % 3}",
                "listen": listen,
            }
            self.entries.append(Daemon(self.folder, "entry", fields))

    def control_of(self, replica: Daemon) -> tuple[str, int]:
        """Return the address of a replica's listener for the operator."""
        return replica.host, self.control

    def close(self) -> None:
        """End all processes that were started, and remove the folder."""
        for daemon in (*self.entries, *self.replicas):
            daemon.kill()
        self.platform.close()
        shutil.rmtree(self.folder, ignore_errors=True)


class _QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore connections that a peer has closed."""


class _Handler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True

    def log_message(self, format: str, *args: object) -> None:
        """Write no log."""

    def reply(self, status: int, headers: dict[str, str], body: bytes) -> None:
        """Send a complete answer."""
        self.send_response_only(status)
        for name, value in headers.items():
            self.send_header(name, value)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)


class Platform:
    """The platform's list of replicas.

    Attributes
    ----------
    listed : list of dict
        Entries of the list, which a script changes.
    """

    def __init__(self, host: str, port: int):
        self.listed: list[dict] = []
        platform = self

        class Handler(_Handler):
            def do_GET(self) -> None:  # noqa: N802
                page = {"instances": platform.listed, "next": None}
                headers = {"Content-Type": "application/json"}
                self.reply(200, headers, json.dumps(page).encode())

        self._server = _QuietServer((host, port), Handler)
        self.address = f"{host}:{port}"
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def close(self) -> None:
        """Close the listener."""
        self._server.shutdown()
        self._server.server_close()


class Replica:
    """A replica that answers with `answer`, which a script replaces.

    Attributes
    ----------
    ran : list
        Time, method, path and headers of each request that it began to work on.
    """

    def __init__(self, net: str, number: int, name: str, service: str, slots: int = 6):
        self.name = name
        self.ran: list[tuple[float, str, str, dict[str, str]]] = []
        self.answer: Callable[[_Handler, dict[str, str], bytes], None] = self.succeed
        self.lock = threading.Lock()
        replica = self

        class Handler(_Handler):
            def serve(self) -> None:
                """Run one request, unless it is meant for another replica."""
                headers = {name.lower(): value for name, value in self.headers.items()}
                body = self.rfile.read(int(headers.get("content-length", "0")))
                own = {"Request-Id": headers.get("request-id", "")}
                if headers.get("expect-instance", replica.name) != replica.name:
                    self.reply(421, {**own, "Not-Executed": "1"}, b"")
                    return
                if "request-id" not in headers:
                    self.reply(400, {"Not-Executed": "1"}, b"")
                    return
                with replica.lock:
                    replica.ran.append((time.monotonic(), self.command, self.path, headers))
                replica.answer(self, headers, body)

            do_GET = do_POST = serve  # noqa: N815

        self._server = _QuietServer((f"{net}.{number}", 0), Handler)
        port = self._server.server_address[1]
        self.listed = {
            "id": name,
            "service": service,
            "address": f"{net}.{number}:{port}",
            "zone": f"zone-{number % 3}",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold_remaining_ms": 0,
        }
        threading.Thread(target=self._server.serve_forever, args=(0.05,), daemon=True).start()

    def succeed(self, handler: _Handler, headers: dict[str, str], body: bytes) -> None:
        """Answer with success at once."""
        handler.reply(200, self.sealed(headers), b"done by " + self.name.encode())

    def sealed(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of an answer to a request."""
        return {"Request-Id": headers["request-id"], "Response-Seal": f"seal.{self.name}"}

    def close(self) -> None:
        """Close the listener."""
        self._server.shutdown()
        self._server.server_close()


def route(kind: str, service: str, **changes: object) -> dict:
    """Return a route of a kind under the prefix of its name."""
    found = {
        "name": f"r-{kind}",
        "host": HOST,
        "path_prefix": f"/{kind}/",
        "kind": kind,
        "timeout_ms": 2_500,
        "target_latency_ms": 200,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "auth_exempt": False,
    }
    return {**found, **changes}


def configuration(version: int, routes: list[dict], services: list[str]) -> dict:
    """Return a complete configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/health",
                "max_connections": 110,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY], "priority": 1}],
    }


def call(
    address: tuple[str, int], method: str, path: str, body: bytes = b"", timeout_s: float = 1.0
) -> tuple[int, bytes]:
    """Make one call of the operator; status 0 if there is no answer."""
    conn = http.client.HTTPConnection(*address, timeout=timeout_s)
    try:
        conn.request(method, path, body, {"Content-Type": "application/json"})
        answer = conn.getresponse()
        return answer.status, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()


def replace_config(
    deployment: Deployment, config: dict, record: Writer, timeout_s: float = 15.0
) -> None:
    """Send a configuration to one node after the other until it is acknowledged.

    Raises
    ------
    CannotRun
        If no node acknowledges it in time.
    """
    body = json.dumps(config).encode()

    def acknowledged() -> bool:
        for replica in deployment.replicas:
            status, _ = call(deployment.control_of(replica), "POST", "/Config.Replace", body)
            if status == 200:
                record.write(
                    f"operator: version {config['version']} acknowledged by {replica.host}"
                )
                return True
        return False

    wait_for(acknowledged, timeout_s, "acknowledgement of a configuration")


def wait_ready(deployment: Deployment, path: str, timeout_s: float = 15.0) -> None:
    """Wait until each entry VM serves a path."""
    for entry in deployment.entries:
        wait_for(
            lambda entry=entry: request(entry, deployment.front, path)[0] == 200,
            timeout_s,
            f"service at {entry.host}",
        )


_numbers = iter(range(1, 1 << 40))
_id_lock = threading.Lock()


def new_id() -> str:
    """Return an id that no request has had."""
    with _id_lock:
        return f"{next(_numbers):016x}"


def client_headers(**extra: str) -> dict[str, str]:
    """Return a client's headers; underscores in names become dashes."""
    named = {name.replace("_", "-"): value for name, value in extra.items()}
    return {
        "Host": HOST,
        "Request-Id": new_id(),
        "Deadline-Ms": "2500",
        "Authorization": f"Bearer {KEY}",
        **named,
    }


def request(
    entry: Daemon, port: int, path: str, method: str = "GET", body: bytes = b"", **extra: str
) -> tuple[int, dict[str, str], bytes]:
    """Make one request on a new connection; status 0 if there is no answer."""
    conn = http.client.HTTPConnection(entry.host, port, timeout=CLIENT_TIMEOUT_S)
    try:
        conn.request(method, path, body or None, client_headers(**extra))
        answer = conn.getresponse()
        return answer.status, {k.lower(): v for k, v in answer.getheaders()}, answer.read()
    except (OSError, http.client.HTTPException):
        return 0, {}, b""
    finally:
        conn.close()


def run_case(path: Path, play: Callable[[Record], bool]) -> None:
    """Play a case and exit with its status.

    Parameters
    ----------
    path : Path
        File for the record.
    play : callable
        Plays the case; returns whether the rule held.
    """
    record = Record(path)
    if not DEPS.is_dir():
        record.write("target/deps is missing; run deploy/build first")
        sys.exit(NOT_RUN)
    try:
        held = play(record)
    except CannotRun as exc:
        record.write(f"cannot run: {exc}")
        sys.exit(NOT_RUN)
    record.write("the rule held" if held else "the rule was broken")
    sys.exit(HELD if held else BROKEN)
