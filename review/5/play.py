"""Case 5: a leader that takes over late in a rollout completes a bad version without evidence."""

import itertools
import json
import re
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402

FIRST_NET = 75
ROUNDS = 3
STATE = [1, 2, 3]
ENTRIES = [101, 102]
SERVICE = "desk"
OLD, NEW = "v1", "v2"
DURATION_S = 15.0
BAD_FROM_S = 12.6
BAD_EVERY = 3
"""From this time after the order on, the new version fails every second request."""

KILL_S = 13.1
DOWN_S = 1.0
LIST_EVERY_S = 0.05
PER_S = 24.0
"""Requests a second; the site has 23.9."""

SENDERS = 12
CONTACT_S = 3.0
BAD_ANSWERS = 50
ROLLBACK_S = 5.0
LONGEST_S = 60.0


class Version:
    """Replicas of one version, which turn bad at a time.

    Attributes
    ----------
    bad_from : float
        Monotonic time from which on every `BAD_EVERY`-th request fails.
    """

    def __init__(self, net: str, name: str, first: int):
        self.name = name
        self.bad_from = float("inf")
        self.lock = threading.Lock()
        self.answers: list[tuple[float, bool]] = []
        self.arrived: dict[str, float] = {}
        self._numbers = itertools.count()
        self.replicas = [h.Replica(net, first + n, f"i-{name}-{n}", SERVICE) for n in range(3)]
        for replica in self.replicas:
            replica.listed["version"] = name
            replica.answer = lambda handler, headers, body, replica=replica: self._answer(
                replica, handler, headers
            )

    def _answer(self, replica: h.Replica, handler, headers: dict[str, str]) -> None:
        now = time.monotonic()
        with self.lock:
            bad = now >= self.bad_from and next(self._numbers) % BAD_EVERY == 0
            self.arrived[headers["request-id"]] = now
        time.sleep(0.015)
        handler.reply(500 if bad else 200, replica.sealed(headers), b"bad" if bad else b"good")
        with self.lock:
            self.answers.append((time.monotonic(), bad))

    def listed(self) -> list[dict]:
        """Return the entries of the platform's list."""
        return [replica.listed for replica in self.replicas]

    def close(self) -> None:
        """Stop all replicas."""
        for replica in self.replicas:
            replica.close()


class Clients:
    """Clients that send requests to the entry VMs in turn, on new connections."""

    def __init__(self, deployment: h.Deployment):
        self._deployment = deployment
        self._stopped = threading.Event()
        self.lock = threading.Lock()
        self.sent: dict[str, float] = {}
        self.statuses: dict[int, int] = {}
        self._threads = [threading.Thread(target=self._send, args=(n,)) for n in range(SENDERS)]

    def start(self) -> None:
        """Start to send."""
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop, and wait for the last answers."""
        self._stopped.set()
        for thread in self._threads:
            if thread.ident is not None:
                thread.join()

    def _send(self, number: int) -> None:
        entry = self._deployment.entries[number % len(self._deployment.entries)]
        while not self._stopped.wait(SENDERS / PER_S):
            request_id = h.new_id()
            with self.lock:
                self.sent[request_id] = time.monotonic()
            status, _, _ = h.request(
                entry, self._deployment.front, "/unsafe/x", "POST", b"b", Request_Id=request_id
            )
            with self.lock:
                self.statuses[status] = self.statuses.get(status, 0) + 1


def _leader(deployment: h.Deployment) -> h.Daemon:
    def found() -> h.Daemon | None:
        for replica in deployment.replicas:
            address = (replica.host, deployment.metrics)
            _, metrics = h.call(address, "GET", "/metrics", timeout_s=0.3)
            if re.search(rb"^nutmegdrum_log_leads 1", metrics, re.MULTILINE):
                return replica
        return None

    replica = h.wait_for(found, 10.0, "a leader")
    assert isinstance(replica, h.Daemon)
    return replica


def _state(deployment: h.Deployment) -> str:
    """Return the state of the rollout, as any node tells it."""
    for replica in deployment.replicas:
        address = deployment.control_of(replica)
        status, body = h.call(address, "GET", f"/Rollouts.Get/{SERVICE}")
        if status == 200:
            return json.loads(body)["state"]
    return ""


class Round:
    """One deployment with one rollout.

    Parameters
    ----------
    number : int
        Number of the deployment, which chooses its addresses.

    Attributes
    ----------
    held : bool or None
        Whether the bad version got no request too late; None if it could not be played.
    """

    def __init__(self, number: int, record: h.Record):
        net = f"127.0.{FIRST_NET + number}"
        self.record = h.PartRecord(record, f"deployment {number}")
        self.deployment = h.Deployment(net, STATE, STATE, entries=ENTRIES)
        self.old, self.new = Version(net, OLD, 50), Version(net, NEW, 60)
        self.clients = Clients(self.deployment)
        self.held: bool | None = None

    def play(self) -> None:
        """Play the round and judge it."""
        try:
            self._start()
            unstable_until = _roll_out(self.record, self.deployment, self.old, self.new)
            self.held = _watch(
                self.record, self.deployment, self.old, self.new, self.clients, unstable_until
            )
        except h.CannotRun as exc:
            self.record.write(f"cannot run: {exc}")
        self.clients.stop()
        self.record.write(f"answers by status: {self.clients.statuses}")

    def _start(self) -> None:
        self.deployment.platform.listed = self.old.listed()
        for daemon in (*self.deployment.replicas, *self.deployment.entries):
            daemon.start()
        routes = [h.route(h.SAFE, SERVICE), h.route(h.UNSAFE, SERVICE, max_attempts=1)]
        config = h.configuration(1, routes, [SERVICE])
        h.replace_config(self.deployment, config, self.record)
        h.wait_ready(self.deployment, "/safe/x")
        self.clients.start()
        time.sleep(CONTACT_S + 1.0)

    def close(self) -> None:
        """End the clients and all processes."""
        self.clients.stop()
        self.deployment.close()


def play(record: h.Record) -> bool:
    """Play all rounds; return whether no bad version got a request too late."""
    rounds = [Round(number, record) for number in range(ROUNDS)]
    try:
        threads = [threading.Thread(target=each.play) for each in rounds]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
    finally:
        for each in rounds:
            each.close()
    results = [each.held for each in rounds if each.held is not None]
    if not results:
        raise h.CannotRun("no round was played")
    return all(results)


def _roll_out(record: h.PartRecord, deployment: h.Deployment, old: Version, new: Version) -> float:
    """Order the rollout; kill the leader late in it, and return until when the core is unstable."""
    order = {"service": SERVICE, "target": NEW, "duration_s": DURATION_S}
    body = json.dumps(order).encode()

    def accepted() -> bool:
        for replica in deployment.replicas:
            address = deployment.control_of(replica)
            if h.call(address, "POST", "/Rollouts.Start", body)[0] == 200:
                return True
        return False

    h.wait_for(accepted, 5.0, "acknowledgement of the rollout")
    begun = time.monotonic()
    record.write(f"rollout to {NEW} within {DURATION_S} s acknowledged")
    deployment.platform.listed = [*old.listed(), *new.listed()]
    new.bad_from = begun + BAD_FROM_S
    time.sleep(begun + KILL_S - time.monotonic())
    if not h.TROUBLE:
        return 0.0
    leader = _leader(deployment)
    leader.kill()
    record.write(f"{leader.host}, which leads, is killed; the rollout is {_state(deployment)!r}")
    time.sleep(DOWN_S)
    leader.start()
    record.write(f"{leader.host} starts")
    return time.monotonic() + CONTACT_S


def _watch(
    record: h.PartRecord,
    deployment: h.Deployment,
    old: Version,
    new: Version,
    clients: Clients,
    unstable_until: float,
) -> bool:
    """Act as the platform at the rollout's end; return whether the rule held."""
    until = time.monotonic() + LONGEST_S
    state = ""
    while time.monotonic() < until:
        known, state = state, _state(deployment) or state
        if state != known:
            record.write(f"the rollout is {state!r}")
        if state == "completed" and known != state:
            deployment.platform.listed = new.listed()
            old.close()
            record.write(f"the replicas of {OLD} stop")
        if state == "rolled_back":
            return True
        bad = sorted(at for at, failed in list(new.answers) if failed and at > unstable_until)
        if len(bad) >= BAD_ANSWERS:
            limit = bad[BAD_ANSWERS - 1] + ROLLBACK_S
            late = [i for i in list(new.arrived) if clients.sent.get(i, 0.0) > limit]
            if late:
                after = clients.sent[late[0]] - limit
                record.write(
                    f"{NEW} got request {late[0]}, sent {after:.3f} s later than {ROLLBACK_S} s "
                    f"after its {BAD_ANSWERS}th bad answer"
                )
                return False
        time.sleep(LIST_EVERY_S)
    return True


if __name__ == "__main__":
    h.run_case(Path(sys.argv[1]), play)
