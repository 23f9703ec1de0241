"""A release while another writer's entries in the platform's list lack fields."""

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
REPLICAS = 6
CLIENTS = 12
WORK_S = 1.0
GAP_S = 2.0
SERVES_ON_S = 8.0
"""Time for which a draining replica serves on after `drain_ms`."""

DRAIN_S = BOUNDS["drain_ms"] / 1_000


def document() -> bytes:
    """Return a configuration with one route for bookings."""
    route = {
        "name": "r-book",
        "host": HOST,
        "path_prefix": "/book/",
        "kind": "unsafe",
        "timeout_ms": 2_500,
        "target_latency_ms": 500,
        "priority": 1,
        "service": "booking",
        "max_attempts": 2,
        "auth_exempt": False,
    }
    service = {
        "name": "booking",
        "health_path": "/health",
        "max_connections": 110,
        "protocol": "h1",
        "tls": False,
    }
    return json.dumps(
        {
            "version": 1,
            "routes": [route],
            "services": [service],
            "tenants": [{"name": "team", "api_keys": ["key-1"], "priority": 1}],
        }
    ).encode()


class Release:
    """Replicas of one service, which are replaced one after the other."""

    def __init__(self, record: Record):
        self._record = record
        self.replicas = [self._new() for _ in range(REPLICAS)]
        self.all = list(self.replicas)
        self.draining_s: dict[str, float] = {}

    def _new(self) -> Replica:
        return Replica(self._record, "booking", "zone-a", "127.0.0.1", work_s=WORK_S, slots=6)

    def entries(self) -> list[dict]:
        """Return the platform's list, with the entries of the other writer if it is there."""
        sound = [replica.entry() for replica in self.replicas]
        return sound + [_without_fields(entry) for entry in sound] if trouble() else sound

    def play(self) -> None:
        """Replace all replicas: the new one starts first, then the old one drains and ends."""
        for old in list(self.replicas):
            self.replicas.append(self._new())
            self.all.append(self.replicas[-1])
            time.sleep(GAP_S / 2)
            old.state = "draining"
            old.leaving = True
            self.draining_s[old.id] = self._record.now_s()
            self._record.line(f"{old.id} drains")
            threading.Timer(DRAIN_S + SERVES_ON_S, self._end, (old,)).start()
            time.sleep(GAP_S / 2)
        time.sleep(DRAIN_S + SERVES_ON_S)

    def _end(self, old: Replica) -> None:
        old.stop()
        self.replicas.remove(old)
        self._record.line(f"{old.id} has ended")


def _without_fields(entry: dict) -> dict:
    """Return an entry as another writer makes it when a replica starts: with fields missing."""
    known = {name: entry[name] for name in ("id", "service", "address", "zone")}
    return known | {"version": "v1.0", "state": "ready"}


def case() -> bool:
    """Return whether a draining replica got requests later than `drain_ms`."""
    record = Record(Path(__file__).with_name("record.txt"))
    release = Release(record)
    stopped = threading.Event()
    answers: list[tuple[str, int]] = []
    with Deployment(record, release.entries) as world:
        if not world.put(document()) or not world.wait_ready():
            raise RuntimeError("the deployment did not start")
        time.sleep(BOUNDS["contact_ms"] / 1_000)

        def book(number: int) -> None:
            while not stopped.wait(0.05):
                host, port = world.front_addresses[number % 2]
                headers = {
                    "Host": HOST,
                    "Request-Id": uuid.uuid4().hex[:16],
                    "Deadline-Ms": "2500",
                    "Authorization": "Bearer key-1",
                }
                status, _ = call(host, port, "POST", "/book/1", b"{}", headers, 3.0)
                answers.append((headers["Request-Id"], status))

        clients = [threading.Thread(target=book, args=(n,)) for n in range(CLIENTS)]
        for client in clients:
            client.start()
        release.play()
        stopped.set()
        for client in clients:
            client.join()
    status_of = dict(answers)
    late = lost = 0
    for replica in release.all:
        listed_s = release.draining_s.get(replica.id)
        if listed_s is None:
            continue
        for at_s, request, _, _ in replica.arrivals:
            age_s = at_s - listed_s - LIST_LAG_S
            if age_s <= DRAIN_S:
                continue
            late += 1
            whole = status_of.get(request) == 200
            lost += not whole
            record.line(
                f"{request} reached {replica.id} {age_s:.1f} s after the list showed it draining; "
                f"its client got {status_of.get(request)}"
            )
    record.line(f"{len(answers)} bookings, {sum(s == 200 for _, s in answers)} answered 200")
    record.line(f"reached a draining replica later than drain_ms: {late}, not answered: {lost}")
    return late > 0


run_case(case)
