"""Small complete deployment of real processes for a test, a benchmark or the demo."""

import hashlib
import sys
import tempfile
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import Any

import msgspec
import urllib3

from nutmegdrum_testing.callers import BookingCaller, Caller, new_pool
from nutmegdrum_testing.control import Control
from nutmegdrum_testing.link import Link, Network
from nutmegdrum_testing.processes import Processes, RunningProcess, free_ports
from nutmegdrum_testing.waiting import wait_for

READY_TIMEOUT_S = 30.0
_TAIL_CHARS = 2_000
_ANY = ""
_LEADS = "nutmegdrum_log_leads"
MODEL_SERVICE = "llm"
PLAIN_SERVICE = "booking"
MODEL = "m"
PLUGINS = ("http_engine", "sequential_judge", "prefix_affinity", "fair_share")
HIGH_LIMITS = {"max_streams": 5_000, "tokens_per_s": 10_000_000, "requests_per_s": 100_000}
"""Workspace limits high enough that no test reaches them unless it sets its own."""


def key_of(workspace: str) -> str:
    """Return the API key of a workspace's callers."""
    return f"key-{workspace}"


def key_digest(workspace: str) -> str:
    """Return the SHA-256 of a workspace's key in hex, as written in the settings."""
    return hashlib.sha256(key_of(workspace).encode()).hexdigest()


class Options(msgspec.Struct, kw_only=True):
    """Shape of a deployment.

    Attributes
    ----------
    states, entries : int
        Daemons of each role; the first `shared` entry daemons are state replicas too, and count
        as both.
    peer_links, engine_links : bool
        Whether each pair of daemons communicates over a link that can be cut, and each backend
        server is reached over one.
    workspace_limits : dict
        Limits of each workspace, by settings key.
    listed_engines, listed_models, listed_entries : int
        Additional backend servers in the settings, which share the engines' addresses, additional
        models, and additional entry VMs, which share the last entry daemon's address.
    settings : dict
        Settings that replace or extend the generated ones, section by section.
    """

    states: int = 3
    entries: int = 2
    shared: int = 0
    engines: int = 2
    plains: int = 0
    versions: tuple[str, ...] = ("1",)
    workspaces: tuple[str, ...] = ("w1", "w2")
    workspace_limits: dict[str, int] = msgspec.field(default_factory=HIGH_LIMITS.copy)
    data_centres: tuple[str, ...] = ("dc-a", "dc-b", "dc-c")
    engine_options: tuple[str, ...] = ()
    plain_options: tuple[str, ...] = ()
    plugins: tuple[str, ...] = PLUGINS
    settings: dict[str, Any] = {}
    listed_engines: int = 0
    listed_models: int = 0
    listed_entries: int = 0
    peer_links: bool = False
    engine_links: bool = False
    platform: bool = False
    platform_lag_ms: int = 300


class Backend:
    """One fake backend server.

    Attributes
    ----------
    address : str
        Address that it listens on; daemons may reach it over a link instead.
    """

    def __init__(
        self, processes: Processes, name: str, module: str, options: Sequence[str], address: str
    ):
        self.id = name
        self.address = address
        self._processes = processes
        self._command = (module, "--id", name, "--address", address, *options)
        self.start()

    def start(self) -> None:
        """Start it, or restart it at the same address after it has ended."""
        self.process = self._processes.start_module(*self._command)
        self.control = Control(self.address)

    def wait_ready(self) -> None:
        """Wait until it accepts connections."""
        self.process.wait_ready()


class Daemon:
    """One nutmegdrumd process of the deployment."""

    def __init__(self, processes: Processes, cfg: dict[str, Any], folder: Path):
        self.vm: str = cfg["vm"]["id"]
        self.cfg = cfg
        self.settings_file = folder / f"{self.vm}.json"
        self.output_file = folder / f"{self.vm}.log"
        self._processes = processes
        self.process: RunningProcess | None = None

    def address(self, listener: str) -> str:
        """Return the address of the listener `callers`, `ops`, `peers` or `operators`."""
        return self.cfg["listen"][listener]

    def start(self) -> None:
        """Write the settings file and start the daemon."""
        self.settings_file.write_bytes(msgspec.json.format(msgspec.json.encode(self.cfg)))
        program = str(Path(sys.executable).parent / "nutmegdrumd")
        self.process = self._processes.start(
            [program, "--settings", str(self.settings_file)], self.output_file
        )

    @property
    def pid(self) -> int:
        """Return the process id."""
        return self.running.pid

    @property
    def running(self) -> RunningProcess:
        """Return the running process; raises RuntimeError if it was not started."""
        if self.process is None:
            raise RuntimeError(f"{self.vm} was not started")
        return self.process

    def is_ready(self) -> bool:
        """Return whether `/readyz` answers 200."""
        self.running.check_running()
        try:
            return self.ops("/readyz").status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def ops(self, path: str) -> urllib3.BaseHTTPResponse:
        """Send a GET request to the `ops` listener and return the response."""
        url = f"http://{self.address('ops')}{path}"
        return urllib3.request("GET", url, timeout=2.0, retries=False)

    def metric(self, name: str) -> float | None:
        """Return the value of the metric `name` without labels, or None if there is none."""
        for line in self.ops("/metrics").data.decode().splitlines():
            found, _, value = line.rpartition(" ")
            if found == name:
                return float(value)
        return None


class Deployment:
    """Deployment that runs for the duration of its `with` block.

    Parameters
    ----------
    options : Options
        Shape of the deployment.
    """

    def __init__(self, options: Options | None = None):
        self.options = options or Options()
        self._temporary = tempfile.TemporaryDirectory(prefix="nutmegdrum-")
        self.folder = Path(self._temporary.name)
        self.processes = Processes()
        self.network = Network()
        self.pool = new_pool()
        self.links: dict[tuple[str, str], Link] = {}
        self.backends: list[Backend] = []
        self.platform: Control | None = None
        self.daemons: list[Daemon] = []

    def __enter__(self) -> "Deployment":
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def entries(self) -> list[Daemon]:
        """Return the entry daemons."""
        return [daemon for daemon in self.daemons if "entry" in daemon.cfg["roles"]]

    @property
    def states(self) -> list[Daemon]:
        """Return the state replicas."""
        return [daemon for daemon in self.daemons if "state" in daemon.cfg["roles"]]

    @property
    def engines(self) -> list[Backend]:
        """Return the fake model engines."""
        return self.backends[: self.options.engines]

    @property
    def plains(self) -> list[Backend]:
        """Return the fake plain services."""
        return self.backends[self.options.engines :]

    def leader(self) -> Daemon:
        """Wait for a state leader and return its daemon."""
        return wait_for(self._find_leader, READY_TIMEOUT_S)

    def follower(self) -> Daemon:
        """Return a state replica that is not the leader."""
        leader = self.leader()
        return next(daemon for daemon in self.states if daemon is not leader)

    def _find_leader(self) -> Daemon | None:
        for daemon in self.states:
            if daemon.running.exit_code is None and daemon.metric(_LEADS) == 1:
                return daemon
        return None

    def caller(self, workspace: str = "w1") -> Caller:
        """Return a caller of the workspace."""
        addresses = [daemon.address("callers") for daemon in self.entries]
        return Caller(addresses, key_of(workspace), self.pool)

    def booking_caller(self, workspace: str = "w1") -> BookingCaller:
        """Return a caller of the booking service."""
        addresses = [daemon.address("callers") for daemon in self.entries]
        return BookingCaller(addresses, key_of(workspace), pool=self.pool)

    def link(self, source: str, target: str) -> Link:
        """Return the link for connections from the VM `source` to the VM `target`."""
        return self.links[(source, target)]

    def engine_link(self, backend: str) -> Link:
        """Return the link for connections from all daemons to a backend server.

        All daemons share it, since entry VMs get the addresses from the state leader.
        """
        return self.links[(_ANY, backend)]

    def daemon(self, vm: str) -> Daemon:
        """Return the daemon of a VM."""
        return next(daemon for daemon in self.daemons if daemon.vm == vm)

    def executions(self) -> list[dict[str, Any]]:
        """Return the executions in the ledgers of all running plain services."""
        running = [plain for plain in self.plains if plain.process.exit_code is None]
        return [entry for plain in running for entry in plain.control.get("/ledger")]

    def wait_ready(self, timeout_s: float = READY_TIMEOUT_S) -> None:
        """Wait until every daemon is ready."""
        for daemon in self.daemons:
            try:
                wait_for(daemon.is_ready, timeout_s)
            except TimeoutError:
                tail = daemon.running.output()[-_TAIL_CHARS:]
                raise TimeoutError(f"{daemon.vm} is not ready:\n{tail}") from None

    def close(self) -> None:
        """End all processes and remove the temporary files."""
        self.processes.close()
        self.network.close()
        self.pool.clear()
        self._temporary.cleanup()

    def _start(self) -> None:
        self._start_backends()
        self._start_platform()
        for cfg in self._all_settings():
            daemon = Daemon(self.processes, cfg, self.folder)
            self.daemons.append(daemon)
            daemon.start()
        self.wait_ready()

    def _start_backends(self) -> None:
        options = self.options
        names = [f"e{i + 1}" for i in range(options.engines)]
        names += [f"p{i + 1}" for i in range(options.plains)]
        for index, (name, port) in enumerate(zip(names, free_ports(len(names)), strict=True)):
            address = f"127.0.0.1:{port}"
            if index < options.engines:
                version = options.versions[index % len(options.versions)]
                more = ["--model", MODEL, "--version", version, *options.engine_options]
                module = "nutmegdrum_testing.fake_engine"
            else:
                more = options.plain_options
                module = "nutmegdrum_testing.fake_plain"
            self.backends.append(Backend(self.processes, name, module, more, address))
        for backend in self.backends:
            backend.wait_ready()

    def _start_platform(self) -> None:
        if not self.options.platform:
            return
        process = self.processes.start_module(
            "nutmegdrum_testing.fake_platform", "--lag-ms", str(self.options.platform_lag_ms)
        )
        self.platform_address = process.wait_ready()
        self.platform = Control(self.platform_address)

    def _all_settings(self) -> list[dict[str, Any]]:
        options = self.options
        roles: list[tuple[str, list[str]]] = []
        for index in range(options.entries):
            both = index < options.shared
            roles.append((f"n{index + 1}", ["entry", "state"] if both else ["entry"]))
        for index in range(options.states - options.shared):
            roles.append((f"s{index + 1}", ["state"]))
        listens = {vm: _listen(index, kinds) for index, (vm, kinds) in enumerate(roles)}
        return [self._settings(vm, index, roles, listens) for index, (vm, _) in enumerate(roles)]

    def _settings(
        self,
        vm: str,
        index: int,
        roles: list[tuple[str, list[str]]],
        listens: dict[str, dict[str, str]],
    ) -> dict[str, Any]:
        options = self.options
        kinds = dict(roles)
        place = {name: self._data_centre(i) for i, (name, _) in enumerate(roles)}
        peers = {name: self._peer(vm, name, listens[name], place[name]) for name in kinds}
        cfg: dict[str, Any] = {
            "deployment": "test",
            "vm": {"id": vm, "data_centre": self._data_centre(index), "region": "r1"},
            "roles": kinds[vm],
            "listen": listens[vm],
            "state_replicas": [peers[name] for name in kinds if "state" in kinds[name]],
            "entry_vms": self._entry_vms([peers[n] for n in kinds if "entry" in kinds[n]]),
            "workspaces": [
                {"id": name, "key_sha256": key_digest(name), **options.workspace_limits}
                for name in options.workspaces
            ],
            "services": [
                {"name": MODEL_SERVICE, "kind": "model"},
                {"name": PLAIN_SERVICE, "kind": "plain"},
            ],
            "models": [{"name": MODEL, "service": MODEL_SERVICE, "version": options.versions[0]}],
            "routes": [
                {
                    "prefix": "/bookings",
                    "service": PLAIN_SERVICE,
                    "methods": {"GET": "idempotent", "POST": "non-idempotent"},
                }
            ],
            "backend_servers": self._backend_servers(),
            "plugins": options.plugins,
        }
        if "state" in kinds[vm]:
            cfg["vm"]["data_folder"] = str(self.folder / f"{vm}-data")
        if options.platform:
            cfg["platform"] = {"live_list": self.platform_address, "poll": "200ms"}
        return merge(cfg, options.settings)

    def _entry_vms(self, peers: list[dict[str, Any]]) -> list[dict[str, Any]]:
        listed = [
            peers[-1] | {"vm": f"listed-{i}", "data_centre": self._data_centre(i)}
            for i in range(self.options.listed_entries)
        ]
        return peers + listed

    def _data_centre(self, index: int) -> str:
        return self.options.data_centres[index % len(self.options.data_centres)]

    def _peer(self, vm: str, peer: str, listen: Mapping[str, str], place: str) -> dict[str, Any]:
        address = listen["peers"]
        if self.options.peer_links and vm != peer:
            address = self._link(vm, peer, address).address
        found = {"vm": peer, "address": address, "data_centre": place}
        if "operators" in listen:
            found["operators"] = listen["operators"]
        return found

    def _backend_servers(self) -> list[dict[str, Any]]:
        servers = [self._backend(i) for i in range(len(self.backends))]
        listed = [
            self._backend(i % self.options.engines) | {"id": f"listed-{i}"}
            for i in range(self.options.listed_engines)
        ]
        return servers + listed

    def _backend(self, index: int) -> dict[str, Any]:
        backend = self.backends[index]
        address = backend.address
        if self.options.engine_links:
            address = self._link(_ANY, backend.id, address).address
        is_engine = index < self.options.engines
        return {
            "id": backend.id,
            "address": address,
            "service": MODEL_SERVICE if is_engine else PLAIN_SERVICE,
            "data_centre": self._data_centre(index),
            "checks_fencing": "--ignore-fencing" not in self.options.engine_options,
        }

    def _link(self, source: str, target: str, address: str) -> Link:
        if (source, target) not in self.links:
            self.links[(source, target)] = self.network.link(address)
        return self.links[(source, target)]


def _listen(index: int, roles: Sequence[str]) -> dict[str, str]:
    host = f"127.0.0.{10 + index}"
    names = ["ops", "peers"]
    names += ["callers"] if "entry" in roles else []
    names += ["operators"] if "state" in roles else []
    ports = free_ports(len(names), host)
    return {name: f"{host}:{port}" for name, port in zip(names, ports, strict=True)}


def merge(base: Mapping[str, Any], more: Mapping[str, Any]) -> dict[str, Any]:
    """Return `base` updated recursively with `more`; values other than objects are replaced."""
    merged = dict(base)
    for key, value in more.items():
        known = merged.get(key)
        if isinstance(known, Mapping) and isinstance(value, Mapping):
            value = merge(known, value)
        merged[key] = value
    return merged
