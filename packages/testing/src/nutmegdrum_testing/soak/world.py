"""One seed of the soak: daemons, backend servers, callers, faults and checks."""

import http.client
import random
import shutil
import signal
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import msgspec
from nutmegdrum.units import Address

from nutmegdrum_testing.link import Network
from nutmegdrum_testing.processes import Processes, RunningProcess, free_ports
from nutmegdrum_testing.scripted_backend import Received
from nutmegdrum_testing.soak import stops
from nutmegdrum_testing.soak.callers import DEADLINE_MS, Callers, Kind
from nutmegdrum_testing.soak.daemon import CUT_OFF_SUFFIX
from nutmegdrum_testing.soak.disturbances import Disturbances
from nutmegdrum_testing.soak.documents import DEPLOYMENT, IN_FORCE_S, ROUTE_TIMEOUT, Operator
from nutmegdrum_testing.soak.engines import CRASHING_BODY, DEADLY_PART, Engines
from nutmegdrum_testing.soak.rollouts import RollOuts
from nutmegdrum_testing.soak.silences import Silences
from nutmegdrum_testing.waiting import wait_for

REPLICAS = 5
SEEDS = 3
TOLERATED_LOSSES = 2
START_SPREAD_S = 0.3
"""State replicas, how many of them are seeds (those with the highest addresses), disks that may be
lost, and the time in s within which all start for the first time, in any order."""

ENTRIES = 3
ENGINES = 4
CALLERS = 12
CALLERS_BESIDE_STOPS = 4
STOP_WITHIN_S = 4.0
"""Callers of the usual kind, and how many of them beside stops; `entry.stop_within` in s."""

VM_LIMITS = {"memory_mib": 200, "descriptors": 4_100}
"""Memory and descriptors of the VMs, as of the users' small ones."""

RECOVERY_S = 12.0
"""Time in s after the last fault by which every request is served again (the users' bound)."""

CRASHING_SENDS = 10
CRASHING_PERIOD_S = 0.5
CONTACT_S = 3.0
MAX_LATE_CRASHES = 3
"""How often a request that crashes its backend servers is sent, and how many backend servers may
still crash later than `CONTACT_S` after a number of crashes (the users' bounds)."""

CRASHES_OF_A_REQUEST = 3
CRASHES_OF_A_PART = 5
"""Crashes from which the users' bounds count."""

LIMIT_PER_S = 3.0
LIMIT_WINDOW_S = 4.0
LIMIT_KNOWN_S = 1.0
ALLOWED_BY_LIMIT = 1.5 * LIMIT_PER_S * LIMIT_WINDOW_S + 5
"""Limit that all engines announce, the window of the users' bound on requests to one of them, the
time in s for all entry VMs to learn of it, and the bound."""

CUT_OFF_CALLS = 12
MIN_SERVED = 0.6
"""Calls to an entry VM that is cut off from all engines, and the share that must be served; the
users' bound is two thirds of what the others serve."""

SILENT_DEADLINE_MS = 4_500
"""Time in ms for a stream that may run into silences of backend servers."""

STOP_S = 20.0
"""Time-out in s of a daemon's shutdown, several times `entry.stop_within`."""

PYTHON = Path(".venv/bin/python")
OTHER_BUILD_SHARE = 0.5
"""Interpreter in a checkout, and the share of the starts that take the other build."""

SLACK_S = 3.0
"""Tolerance in s on the time bounds, since other work shares the machine."""


class Builds:
    """Draws the build that each start of a daemon takes, as while VMs are replaced.

    Parameters
    ----------
    other : Path or None
        Checkout of another build with an environment of its own; None to always take this build.

    Attributes
    ----------
    is_other : bool
        Whether the last start took the other build.
    starts : int
        Number of starts so far.
    other_starts : int
        Number of those that took the other build.
    """

    def __init__(self, rng: random.Random, other: Path | None):
        self._rng = rng
        self._other = other
        self.is_other = False
        self.starts = self.other_starts = 0

    def python(self) -> str:
        """Return the interpreter of the build to start."""
        self.is_other = self._other is not None and self._rng.random() < OTHER_BUILD_SHARE
        self.starts += 1
        self.other_starts += self.is_other
        return str(self._other / PYTHON) if self._other and self.is_other else sys.executable

    def take_only_this(self) -> None:
        """Take this build at each start from now on."""
        self._other = None


class Daemon:
    """A daemon process that is restarted whenever it ends."""

    def __init__(self, processes: Processes, settings: Path, log: Path, builds: Builds):
        self._processes = processes
        self.name = settings.stem
        self.builds = builds
        self._settings = settings
        self._log = log
        self._cut = settings.with_suffix(CUT_OFF_SUFFIX)
        self.process = self._start()

    def _start(self) -> RunningProcess:
        args = [self.builds.python(), "-m", "nutmegdrum_testing.soak.daemon", str(self._settings)]
        return self._processes.start(args, output=self._log)

    def kill(self) -> None:
        """Kill the process and start a new one."""
        self.process.kill()
        self.process = self._start()

    def restart(self) -> None:
        """Shut the process down gracefully and start a new one."""
        self.process.terminate()
        try:
            self.process.wait(STOP_S)
        except subprocess.TimeoutExpired:
            self.process.show_stacks()
            time.sleep(1.0)
            self.process.kill()
            raise
        finally:
            self.process = self._start()

    def start_again(self) -> None:
        """Start a new process after the last one has ended."""
        self.process = self._start()

    def change_settings(self, signalled: bool) -> None:
        """Rewrite the settings file once the process waits for signals; `rewrite_settings`."""
        # A signal ends an interpreter that has not run the daemon's first line yet, and no platform
        # starts it again here.
        wait_for(lambda: self.process.blocks(signal.SIGHUP), STOP_S)
        self.rewrite_settings(signalled)

    def rewrite_settings(self, signalled: bool) -> None:
        """Rewrite the settings file, first truncated, then whole; with SIGHUPs if `signalled`."""
        data = self._settings.read_bytes()
        self._settings.write_bytes(data[: len(data) // 2])
        if signalled and self.process.exit_code is None:
            self.process.hang_up()
        time.sleep(0.1)
        self._settings.write_bytes(data + b"\n")
        if signalled and self.process.exit_code is None:
            self.process.hang_up()

    def cut_off(self, seconds: float) -> None:
        """Cut the process off from new connections to backend servers for `seconds`."""
        self.is_cut_off = True
        time.sleep(seconds)
        self.is_cut_off = False

    @property
    def is_cut_off(self) -> bool:
        """Return whether the process is cut off from backend servers."""
        return self._cut.exists()

    @is_cut_off.setter
    def is_cut_off(self, value: bool) -> None:
        if value:
            self._cut.touch()
        else:
            self._cut.unlink(missing_ok=True)

    def pause(self, seconds: float) -> None:
        """Suspend the process for `seconds`; its sockets stay open."""
        self.process.pause()
        time.sleep(seconds)
        self.process.resume()


class SoakWorld:
    """Daemons, backend servers, callers and operator of one seed, with a folder of its own.

    Parameters
    ----------
    entries : int
        Number of entry daemons.
    other_build : Path or None
        Checkout of another build, which some starts of daemons take.
    has_silences : bool
        Whether backend servers fall silent, so that streams need more time.
    has_stops : bool
        Whether only planned work is played, beside callers that stops are checked with.

    Attributes
    ----------
    replaced_at_s : float
        Monotonic time in s since which all daemons are of this build.
    """

    def __init__(
        self,
        seed: int,
        processes: Processes,
        entries: int = ENTRIES,
        other_build: Path | None = None,
        has_silences: bool = False,
        has_stops: bool = False,
    ):
        self._seed = seed
        self._other_build = other_build
        self.folder = Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        self.rng = random.Random(seed)
        self.network = Network()
        self.disturbances = Disturbances()
        rng = random.Random(seed + 1)
        self.engines = Engines(self.network, rng, ENGINES, self.disturbances)
        self._processes = processes
        peers, operators, metrics, callers, ready = free_ports(5)
        replicas = [f"127.0.0.{i + 1}" for i in range(REPLICAS)]
        self._seeds = [f"{host}:{operators}" for host in replicas[-SEEDS:]]
        self._metrics: list[Address] = []
        self.replicas = []
        for host in self.rng.sample(replicas, REPLICAS):
            listen = {"operators": f"{host}:{operators}"}
            self.replicas.append(self._daemon(host, "state", peers, metrics, listen))
            self._metrics.append(Address(f"{host}:{metrics}"))
            time.sleep(self.rng.uniform(0, START_SPREAD_S / REPLICAS))
        hosts = [f"127.0.0.{i + 11}" for i in range(entries)]
        self.entries = [
            self._daemon(
                host,
                "entry",
                peers,
                metrics,
                {"callers": f"{host}:{callers}", "readiness": f"{host}:{ready}"},
            )
            for host in hosts
        ]
        self.entry_addresses = [Address(f"{host}:{callers}") for host in hosts]
        self.entry_links = [self.network.link(address) for address in self.entry_addresses]
        timeout = stops.ROUTE_TIMEOUT if has_stops else ROUTE_TIMEOUT
        self.operator = Operator([Address(f"{host}:{peers}") for host in replicas], timeout)
        self.roll_outs = RollOuts(
            self.engines, self.operator, random.Random(seed + 3), self._lose_leader
        )
        addresses = [Address(link.address) for link in self.entry_links]
        deadline_ms = SILENT_DEADLINE_MS if has_silences else DEADLINE_MS
        callers_count = CALLERS_BESIDE_STOPS if has_stops else CALLERS
        self.callers = Callers(addresses, self.engines, seed, callers_count, deadline_ms)
        self.silences = Silences(self.network, self.engines, self.callers, random.Random(seed + 4))
        self.stops = stops.Stops(self, random.Random(seed + 5), STOP_WITHIN_S)
        if has_stops:
            self.engines.faults_enabled = False
            self.engines.slow_stream = self._slow_stream
        self.replaced_at_s = 0.0

    def _slow_stream(self, received: Received, request_id: str) -> None:
        first = int(received.headers.get("x-last", "0")) + 1
        gap_s = self.stops.stream_s() / stops.EVENTS
        received.start_events(X_Id=request_id)
        for number in range(first, stops.EVENTS + 1):
            received.piece(stops.event(request_id, number))
            time.sleep(gap_s)
        received.end_events()

    def _daemon(self, host: str, role: str, peers: int, metrics: int, listen: dict) -> Daemon:
        settings = {
            "deployment": DEPLOYMENT,
            "role": role,
            "place": {"name": host, "data_centre": "dc0", "region": "r"},
            "listen": {"peers": f"{host}:{peers}", "metrics": f"{host}:{metrics}", **listen},
            "state_seeds": self._seeds,
            "backend_list": str(self.engines.list_server.address),
            "entry": {"stop_within": f"{STOP_WITHIN_S:.0f}s", "shutdown_notice": "500ms"},
            "tolerated_losses": TOLERATED_LOSSES,
            "control": {"synced_data_survives": True, "election_timeout": "600ms"},
        }
        if self._other_build is None:
            # Earlier builds refuse settings that they do not know.
            settings["retry_budget"] = {}
            settings["entry"] |= VM_LIMITS
            settings["state"] = VM_LIMITS
        if role == "state":
            settings["data_folder"] = str(self.folder / host)
        path = self.folder / f"{host}.json"
        path.write_bytes(msgspec.json.encode(settings))
        builds = Builds(random.Random(f"{self._seed} {host}"), self._other_build)
        return Daemon(self._processes, path, self.folder / f"{host}.log", builds)

    def starts(self) -> str:
        """Return the number of starts of daemons, and of those of the other build."""
        builds = [daemon.builds for daemon in (*self.entries, *self.replicas)]
        starts, others = sum(b.starts for b in builds), sum(b.other_starts for b in builds)
        return f"{starts} starts ({others} of the other build)" if others else f"{starts} starts"

    def start(self) -> None:
        """Wait until a first document is in force at every entry VM, then start the callers."""
        wait_for(self.operator.put_next, 30)
        wait_for(lambda: self._in_force(self.operator.acknowledged), 30)
        self.callers.start()

    def _in_force(self, version: int) -> bool:
        return all(
            (found := self.operator.version_at(address)) is not None and found >= version
            for address in self.entry_addresses
        )

    def check_recovery(self) -> None:
        """End the faults; check that requests are served and no acknowledged write is lost."""
        self.engines.faults_enabled = False
        self.engines.limit_per_s = None
        for entry in self.entries:
            entry.is_cut_off = False
        for link in (*self.entry_links, *self.engines.links()):
            link.heal()
        self._check_running()
        acknowledged = self.operator.acknowledged
        self._expect("a leader returns a document", lambda: self.operator.newest() is not None)
        newest = self.operator.newest()
        if newest is not None and newest < acknowledged:
            self.callers.problems.append(
                f"leader returned version {newest}, below the acknowledged {acknowledged}"
            )
        self._expect("the newest document is in force", lambda: self._in_force(acknowledged))
        self._check_rollouts()
        before = self.callers.outcomes["stream 200"]
        self._expect("streams complete", lambda: self.callers.outcomes["stream 200"] > before + 3)
        self._check_crashing("request", CRASHES_OF_A_REQUEST, lambda n: (CRASHING_BODY, "own"))
        self._check_crashing(
            "part", CRASHES_OF_A_PART, lambda n: (b"body %d" % n, f"system,{DEADLY_PART},own")
        )
        before = self.callers.outcomes["stream 200"]
        self._expect(
            "streams that share a part with the deadly ones complete",
            lambda: self.callers.outcomes["stream 200"] > before + 3,
        )
        self._end_replacement()
        self._expect("every state replica votes", lambda: all(map(_votes, self._metrics)))
        self._check_limit()
        self._check_cut_off()
        self.callers.faults_ended = True
        self._expect("a new document is acknowledged", self.operator.put_next)
        version = self.operator.acknowledged
        until = time.monotonic() + IN_FORCE_S + SLACK_S
        while time.monotonic() < until and not self._in_force(version):
            time.sleep(0.05)
        if not self._in_force(version):
            self.callers.problems.append(f"version {version} is not in force in time")

    def check_after_stops(self) -> None:
        """Check that all daemons run, the newest document is in force, and streams end."""
        self._check_running()
        acknowledged = self.operator.acknowledged
        self._expect("the newest document is in force", lambda: self._in_force(acknowledged))
        before = self.callers.outcomes["stream 200"]
        self._expect("streams complete", lambda: self.callers.outcomes["stream 200"] > before + 3)
        self._expect("every state replica votes", lambda: all(map(_votes, self._metrics)))

    def _lose_leader(self) -> None:
        for replica, address in zip(self.replicas, self._metrics, strict=True):
            if "nutmegdrum_log_leads 1" in _metrics(address):
                replica.kill()

    def _check_running(self) -> None:
        for daemon in (*self.entries, *self.replicas):
            code = daemon.process.exit_code
            if code is not None:
                self.callers.problems.append(f"{daemon.name} ended by itself with status {code}")

    def _end_replacement(self) -> None:
        """Replace the daemons of the other build, which need not know limits or cuts."""
        for daemon in (*self.entries, *self.replicas):
            daemon.builds.take_only_this()
            if daemon.builds.is_other:
                daemon.restart()
                self._expect(
                    "the newest document is in force after a replacement",
                    lambda: self._in_force(self.operator.acknowledged),
                )
                self.replaced_at_s = time.monotonic()

    def _check_rollouts(self) -> None:
        self.callers.problems.extend(self.roll_outs.problems)
        if self.roll_outs.target:
            rollout = self.operator.rollout()
            if rollout is None or rollout.target != self.roll_outs.target:
                self.callers.problems.append(f"roll-out of {self.roll_outs.target} is lost")

    def _check_crashing(
        self, what: str, allowed: int, request: Callable[[int], tuple[bytes, str]]
    ) -> None:
        """Send requests that crash their backend servers to each entry VM in turn.

        Parameters
        ----------
        allowed : int
            Crashes from which the bound counts.
        request : callable
            Returns body and parts of the prompt of a request, by its number.
        """
        self.engines.crashed_by_request_s.clear()
        outcomes = []
        for number in range(CRASHING_SENDS):
            entry = self.entry_addresses[number % len(self.entries)]
            outcomes.append(
                self.callers.call(Kind.STREAM, f"{what}-{number}", entry, *request(number))
            )
            time.sleep(CRASHING_PERIOD_S)
        crashed_s = self.engines.crashed_by_request_s
        late = [at for at in crashed_s[allowed:] if at > crashed_s[allowed - 1] + CONTACT_S]
        if len(late) > MAX_LATE_CRASHES or outcomes[-1] != "503":
            self.callers.problems.append(
                f"{len(crashed_s)} engines crashed by one {what}, {len(late)} late: {outcomes}"
            )

    def _check_limit(self) -> None:
        """Let all engines announce a limit; check that it is kept and that requests are served."""
        before = self.callers.outcomes["stream 200"]
        self.engines.limit_per_s = LIMIT_PER_S
        time.sleep(LIMIT_KNOWN_S)
        self.engines.limited_at_s.clear()
        time.sleep(LIMIT_WINDOW_S)
        counts = [len(times) for times in self.engines.limited_at_s.values()]
        self.engines.limit_per_s = None
        if max(counts, default=0) > ALLOWED_BY_LIMIT:
            self.callers.problems.append(f"engines limited to {LIMIT_PER_S} a second got {counts}")
        if self.callers.outcomes["stream 200"] == before:
            self.callers.problems.append("no stream was served while the engines had a limit")

    def _check_cut_off(self) -> None:
        """Cut an entry VM off from all engines; check that its callers are still served."""
        entry = self.rng.randrange(len(self.entries))
        self.entries[entry].is_cut_off = True
        outcomes = []
        for number in range(CUT_OFF_CALLS):
            time.sleep(CRASHING_PERIOD_S / 2)
            kind = list(Kind)[number % len(Kind)]
            address = self.entry_addresses[entry]
            outcomes.append(self.callers.call(kind, f"{kind.value}-cut-{number}", address))
        self.entries[entry].is_cut_off = False
        if outcomes.count("200") < MIN_SERVED * CUT_OFF_CALLS:
            self.callers.problems.append(f"an entry VM that is cut off answered {outcomes}")

    def _expect(self, what: str, condition) -> None:
        try:
            wait_for(condition, RECOVERY_S + SLACK_S)
        except TimeoutError:
            self.callers.problems.append(
                f"not within {RECOVERY_S:.0f} s after the last fault: {what}"
            )

    def close(self, keep: bool) -> None:
        """Stop all processes and servers; delete the folder with the logs unless `keep`."""
        self._processes.close()
        self.engines.stop()
        self.network.close()
        if not keep:
            shutil.rmtree(self.folder)


def _metrics(address: Address) -> str:
    """Return a daemon's metrics; empty if it does not answer."""
    conn = http.client.HTTPConnection(address.host, address.port, timeout=1)
    try:
        conn.request("GET", "/metrics")
        return conn.getresponse().read().decode()
    except (OSError, http.client.HTTPException):
        return ""
    finally:
        conn.close()


def _votes(address: Address) -> bool:
    return "nutmegdrum_log_votes 1" in _metrics(address)
