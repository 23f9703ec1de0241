"""Backend servers of the soak, with a record of the requests that ran on them."""

import functools
import math
import random
import threading
import time
from collections import Counter
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass

import msgspec
from nutmegdrum.units import Address
from nutmegdrum_relay.dialect import ListedBackend

from nutmegdrum_testing.link import Link, Network
from nutmegdrum_testing.relay_world import SERVICE
from nutmegdrum_testing.scripted_backend import Received, ScriptedBackend
from nutmegdrum_testing.soak.disturbances import SERVERS, Disturbances

EVENTS = 12
EVENT_PERIOD_S = 0.03
FAULT_SHARES = {"reset": 0.03, "failure": 0.04, "full": 0.04, "break": 0.05, "noise": 0.02}
"""Share of the requests that meet each fault of a backend server while faults are enabled."""

CRASHING_BODY = b"culprit"
"""Body of a request that crashes every backend server after its first event."""

DEADLY_PART = "deadly"
"""Part of a prompt that does the same, in requests that differ."""

SLOW_PREFIX = "stops-"
"""Prefix of the ids of requests that `Engines.slow_stream` answers."""

FOREIGN_LISTS = 3
"""Reads of the list for which entries of another writer come, at the addresses of the servers, and
are gone again."""

FIRST_VERSION = "v1"
BAD_FAILURES = 0.6
"""Share of the requests that a bad version answers with status 500."""


def token(request_id: str, number: int) -> str:
    """Return the data of one event, unique to the stream and its number."""
    return f"{request_id}-{number}"


@dataclass
class Work:
    """Time in which an engine was at work on a request, in monotonic s."""

    began_s: float
    ended_s: float = math.inf


class Engines:
    """All backend servers, the platform's list of them, and counts of runs; thread-safe.

    Attributes
    ----------
    disturbances : Disturbances
        Records the faults that hit requests, those of single requests included.
    arrivals : list of tuple
        Monotonic time in s and id of each request that a backend server received.
    slow_stream : callable or None
        Answers streams in place of the usual one.
    """

    def __init__(
        self, network: Network, rng: random.Random, count: int, disturbances: Disturbances
    ):
        self.disturbances = disturbances
        self.arrivals: list[tuple[float, str]] = []
        self.slow_stream: Callable[[Received, str], None] | None = None
        self._works: dict[str, list[Work]] = {}
        self._network = network
        self._rng = rng
        self._lock = threading.Lock()
        self._number = 0
        self._lists = 0
        self._serving: list[tuple[ListedBackend, ScriptedBackend, Link]] = []
        self.run_counts: Counter[str] = Counter()
        self.faults_enabled = True
        self.limit_per_s: float | None = None
        self.limited_at_s: dict[ScriptedBackend, list[float]] = {}
        self._bad_versions: set[str] = set()
        self.received_at_s: dict[str, list[float]] = {}
        self.failed_at_s: dict[str, list[float]] = {}
        self.crashed_by_request_s: list[float] = []
        self.list_server = ScriptedBackend(self._list)
        for _ in range(count):
            self.start()

    def start(self, version: str = FIRST_VERSION) -> None:
        """Start a backend server under a new id."""
        backend = ScriptedBackend(functools.partial(self._serve, version))
        backend.set_script(functools.partial(self._serve_limited, version, backend))
        link = self._network.link(backend.address)
        with self._lock:
            self._number += 1
            entry = ListedBackend(
                id=f"b{self._number}",
                service=SERVICE,
                address=Address(link.address),
                data_centre=f"dc{self._number % 2}",
                version=version,
                slots=8,
                leaving=False,
                warming_up=False,
            )
            self._serving.append((entry, backend, link))

    def crash(self) -> None:
        """Crash a random backend server and start a replacement."""
        with self.disturbances.during(SERVERS):
            with self._lock:
                crashed = self._serving.pop(self._rng.randrange(len(self._serving)))
            self._replace(*crashed)

    def _replace(self, entry: ListedBackend, backend: ScriptedBackend, link: Link) -> None:
        """Stop a backend server that is no longer listed and start a replacement."""
        link.refuse()
        backend.stop()
        self.start(entry.version)

    def _crash_under_request(self, received: Received) -> None:
        received.start_events(X_Id=received.headers.get("x-id", ""))
        received.event(1)
        with self._lock:
            index = next(i for i, each in enumerate(self._serving) if received in each[1].received)
            crashed = self._serving.pop(index)
            self.crashed_by_request_s.append(time.monotonic())
        self._replace(*crashed)
        received.reset()

    def start_version(self, version: str, count: int, bad: bool) -> None:
        """Start `count` backend servers of another version in addition to the running ones."""
        if bad:
            self._bad_versions.add(version)
        for _ in range(count):
            self.start(version)

    def stop_versions(self, is_selected: Callable[[str], bool]) -> None:
        """Stop the backend servers of the versions that `is_selected` accepts, without draining."""
        with self._lock:
            stopped = [each for each in self._serving if is_selected(each[0].version)]
            self._serving = [each for each in self._serving if not is_selected(each[0].version)]
        with self.disturbances.during(SERVERS):
            for _, backend, link in stopped:
                link.reset()
                backend.stop()

    def turn_bad(self, version: str) -> None:
        """Let the backend servers of a version fail from now on."""
        self._bad_versions.add(version)

    def links(self) -> list[Link]:
        """Return the links to the backend servers."""
        with self._lock:
            return [link for _, _, link in self._serving]

    def stop(self) -> None:
        """Stop all backend servers and the list server."""
        for _, backend, _ in self._serving:
            backend.stop()
        self.list_server.stop()

    def _list(self, received: Received) -> None:
        with self._lock:
            servers = [
                {
                    "id": e.id,
                    "service": e.service,
                    "address": str(e.address),
                    "dc": e.data_centre,
                    "version": e.version,
                }
                for e, _, _ in self._serving
            ]
            self._lists += 1
            if self._lists // FOREIGN_LISTS % 2:
                servers += [
                    {**entry, "id": f"other-{entry['id']}", "service": "elsewhere"}
                    for entry in servers
                ]
        received.answer(200, msgspec.json.encode({"servers": servers, "next": ""}))

    def _fault(self) -> str:
        with self._lock:
            if not self.faults_enabled:
                return ""
            return self._rng.choices(
                ["", *FAULT_SHARES], [1 - sum(FAULT_SHARES.values()), *FAULT_SHARES.values()]
            )[0]

    def _record_time(self, times: dict[str, list[float]], version: str) -> None:
        with self._lock:
            times.setdefault(version, []).append(time.monotonic())

    def _serve_limited(self, version: str, backend: ScriptedBackend, received: Received) -> None:
        if self.limit_per_s is not None:
            received.add_header("X-Limit", str(self.limit_per_s))
            with self._lock:
                self.limited_at_s.setdefault(backend, []).append(time.monotonic())
        self._serve(version, received)

    def _serve(self, version: str, received: Received) -> None:
        request_id = received.headers.get("x-id", "")
        fault = self._fault()
        if received.target != "/x-report":
            self._record_time(self.received_at_s, version)
            if version in self._bad_versions and self._rng.random() < BAD_FAILURES:
                fault = "failure"
                self._record_time(self.failed_at_s, version)
            with self._lock:
                self.arrivals.append((time.monotonic(), request_id))
            if fault:
                self.disturbances.add_request(request_id)
        if received.target == "/x-report":
            received.answer(200)
        elif received.body == CRASHING_BODY or DEADLY_PART in received.headers.get("x-parts", ""):
            self._crash_under_request(received)
        elif fault == "full":
            received.answer(503, X_Not_Run="1")
        elif fault == "noise":
            received.send_raw(b"HTTP/1.1 200 OK\r\nContent-Length: -2\r\n\r\n")
        else:
            with self._lock:
                self.run_counts[request_id] += 1
            with self._working(request_id):
                self._run(received, request_id, fault)

    def works(self, request_id: str) -> list[Work]:
        """Return when engines were at work on a request; infinite ends if they still are."""
        with self._lock:
            return list(self._works.get(request_id, ()))

    @contextmanager
    def _working(self, request_id: str) -> Iterator[None]:
        work = Work(time.monotonic())
        with self._lock:
            self._works.setdefault(request_id, []).append(work)
        try:
            yield
        finally:
            work.ended_s = time.monotonic()

    def _run(self, received: Received, request_id: str, fault: str) -> None:
        if fault == "reset":
            received.reset()
        elif fault == "failure":
            received.answer(500, request_id.encode(), X_Id=request_id)
        elif received.target.startswith("/stream/"):
            if self.slow_stream and request_id.startswith(SLOW_PREFIX):
                self.slow_stream(received, request_id)
            else:
                self._stream(received, request_id, fault == "break")
        else:
            time.sleep(EVENT_PERIOD_S)
            received.answer(200, request_id.encode(), X_Id=request_id)

    def _stream(self, received: Received, request_id: str, breaks: bool) -> None:
        first = int(received.headers.get("x-last", "0")) + 1
        received.start_events(X_Id=request_id)
        for number in range(first, EVENTS + 1):
            data = b"id: %d\ndata: %s\n\n" % (number, token(request_id, number).encode())
            if breaks and number > first + 2:
                received.piece(data[:5])
                received.reset()
                return
            received.piece(data)
            time.sleep(EVENT_PERIOD_S)
        received.end_events()
