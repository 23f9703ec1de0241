"""Entries of another writer at the addresses of sound replicas, which come and go."""

import json
import sys
import threading
import time
import uuid
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "stand_ins_2"))

from deployment import BOUNDS, LIST_LAG_S, Deployment, Record, call, run_case, trouble  # noqa: E402
from servers import Replica  # noqa: E402

HOST = "api.example"
SERVICES = ("first", "later")
REPLICAS = 3
FOREIGN_S = 3.0
COUNTED_S = 25.0
MIN_REQUESTS = 20
LEAST_PART = 0.25


def document(services: tuple[str, ...]) -> bytes:
    """Return a configuration with a route for each of the services."""
    routes = [
        {
            "name": f"r-{name}",
            "host": HOST,
            "path_prefix": f"/{name}/",
            "kind": "unsafe",
            "timeout_ms": 1_200,
            "target_latency_ms": 150,
            "priority": 2,
            "service": name,
            "max_attempts": 1,
            "auth_exempt": False,
        }
        for name in services
    ]
    listed = [
        {
            "name": name,
            "health_path": "/health",
            "max_connections": 110,
            "protocol": "h1",
            "tls": False,
        }
        for name in SERVICES
    ]
    return json.dumps(
        {
            "version": len(services),
            "routes": routes,
            "services": listed,
            "tenants": [{"name": "team", "api_keys": ["key-1"], "priority": 1}],
        }
    ).encode()


class Listing:
    """The platform's list, to which another writer may add entries for a while."""

    def __init__(self, replicas: list[Replica]):
        self._replicas = replicas
        self.has_foreign = False

    def entries(self) -> list[dict]:
        """Return the entries."""
        sound = [replica.entry() for replica in self._replicas]
        foreign = [
            entry | {"id": f"other-{number}", "service": "elsewhere"}
            for number, entry in enumerate(sound)
            if entry["service"] == "later"
        ]
        return sound + foreign if self.has_foreign else sound


class Clients:
    """Clients that send requests on one route after the other, and count the answers."""

    def __init__(self, world: Deployment, record: Record):
        self._world, self._record = world, record
        self._stopped = threading.Event()
        self._lock = threading.Lock()
        self.answers: list[tuple[float, str, int]] = []
        self._threads = [
            threading.Thread(target=self._run, args=(name, number))
            for name in SERVICES
            for number in range(2)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop after the requests in progress."""
        self._stopped.set()
        for thread in self._threads:
            thread.join()

    def served(self, name: str, from_s: float, until_s: float) -> tuple[int, int]:
        """Return the requests on a service's route sent in a time, and those answered 200."""
        found = [s for at, asked, s in self.answers if asked == name and from_s <= at < until_s]
        return len(found), found.count(200)

    def _run(self, name: str, number: int) -> None:
        while not self._stopped.wait(0.2):
            host, port = self._world.front_addresses[number]
            headers = {
                "Host": HOST,
                "Request-Id": uuid.uuid4().hex[:16],
                "Deadline-Ms": "2500",
                "Authorization": "Bearer key-1",
            }
            at_s = self._record.now_s()
            status, _ = call(host, port, "POST", f"/{name}/1", b"{}", headers, 2.5)
            with self._lock:
                self.answers.append((at_s, name, status))


def case() -> bool:
    """Return whether requests on the later route were served too seldom in steady state."""
    record = Record(Path(__file__).with_name("record.txt"))
    replicas = [
        Replica(record, name, f"zone-{'abc'[number]}", "127.0.0.1", slots=6)
        for name in SERVICES
        for number in range(REPLICAS)
    ]
    listing = Listing(replicas)
    with Deployment(record, listing.entries) as world:
        if not world.put(document(SERVICES[:1])) or not world.wait_ready():
            raise RuntimeError("the deployment did not start")
        time.sleep(BOUNDS["contact_ms"] / 1_000)
        if not world.put(document(SERVICES)):
            raise RuntimeError("the second route was not acknowledged")
        time.sleep(BOUNDS["config_apply_ms"] / 1_000)
        clients = Clients(world, record)
        before_s = record.now_s()
        time.sleep(5.0)
        foreign_s = record.now_s()
        if trouble():
            listing.has_foreign = True
            record.line("another writer adds its entries to the list")
        time.sleep(FOREIGN_S)
        listing.has_foreign = False
        record.line("the list holds the sound entries only")
        time.sleep(LIST_LAG_S + BOUNDS["contact_ms"] / 1_000)
        steady_s = record.now_s()
        time.sleep(COUNTED_S)
        clients.stop()
    parts = {}
    for name in SERVICES:
        asked, good = clients.served(name, before_s, foreign_s)
        record.line(f"before, route of {name}: {asked} requests, {good} answered 200")
        asked, good = clients.served(name, steady_s, steady_s + COUNTED_S)
        record.line(f"in steady state, route of {name}: {asked} requests, {good} answered 200")
        if asked < MIN_REQUESTS:
            raise RuntimeError("too few requests were sent")
        parts[name] = good / asked
    ran = sum(replica.is_up for replica in replicas)
    record.line(f"{ran} of {len(replicas)} replicas take connections")
    return parts["later"] < LEAST_PART * parts["first"]


run_case(case)
