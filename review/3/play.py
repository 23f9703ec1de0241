"""Case 3: a re-elected leader hands out its old list, in which a leaving replica is ready."""

import itertools
import re
import signal
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402

FIRST_NET = 40
ROUNDS = 4
STATE = [1, 2, 3]
ENTRIES = [101, 104]
"""Entry VMs of one zone, that of the leaving replica."""

SERVICE = "desk"
FREEZE_S = 3.0
DOWN_S = 1.0
CATCH_UP_S = 4.0
"""Time for which a machine still counts as lost after that; only one is lost at once."""

DRAIN_S = 3.0
LINGER_S = 12.0
"""Time for which the draining replica serves on beyond `DRAIN_S`; the pages allow many seconds."""

LONGEST_S = 80.0
SENDERS = 2
PAUSE_S = 0.1


class Clients:
    """Clients that send requests one after the other, on new connections."""

    def __init__(self, entries: list[h.Daemon], port: int):
        self._port = port
        self._stopped = threading.Event()
        self.lock = threading.Lock()
        self.sent: dict[str, float] = {}
        self.statuses: dict[int, int] = {}
        self.by_entry: dict[str, str] = {}
        self.first_leaving: dict[str, float] = {}
        self._threads = [
            threading.Thread(target=self._send, args=(entry,))
            for entry in entries
            for _ in range(SENDERS)
        ]

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

    def _send(self, entry: h.Daemon) -> None:
        for number in itertools.count():
            if self._stopped.wait(PAUSE_S):
                return
            request_id = f"{threading.get_ident() & 0xFFFFFFFF:08x}{number:08x}"
            with self.lock:
                self.sent[request_id] = time.monotonic()
                self.by_entry[request_id] = entry.host
            status, headers, _ = h.request(entry, self._port, "/safe/x", Request_Id=request_id)
            with self.lock:
                self.statuses[status] = self.statuses.get(status, 0) + 1
                if headers.get("server-leaving") == "1":
                    self.first_leaving.setdefault(entry.host, time.monotonic())


class LeavingReplica(h.Replica):
    """A replica that says in all its answers that it leaves, once `leaves` is set."""

    leaves = False

    def sealed(self, headers: dict[str, str]) -> dict[str, str]:
        """Return the headers of an answer."""
        found = super().sealed(headers)
        return {**found, "Server-Leaving": "1"} if self.leaves else found


class Core:
    """The state replicas, of which one at a time is frozen."""

    def __init__(self, deployment: h.Deployment, record: h.PartRecord):
        self._deployment = deployment
        self._record = record
        self.led: set[str] = set()
        self.begun = time.monotonic()

    def leader(self, other_than: h.Daemon | None = None) -> h.Daemon:
        """Return the replica that leads, as its own metrics say."""

        def found() -> h.Daemon | None:
            for replica in self._deployment.replicas:
                if replica is other_than:
                    continue
                address = (replica.host, self._deployment.metrics)
                _, metrics = h.call(address, "GET", "/metrics", timeout_s=0.3)
                if re.search(rb"^nutmegdrum_log_leads 1", metrics, re.MULTILINE):
                    return replica
            return None

        replica = h.wait_for(found, 10.0, "a leader")
        assert isinstance(replica, h.Daemon)
        self.led.add(replica.host)
        return replica

    def freeze(self, replica: h.Daemon) -> h.Daemon:
        """Freeze a replica for `FREEZE_S`, and return the one that leads meanwhile."""
        self._record.write(f"{replica.host} freezes")
        frozen = time.monotonic()
        replica.signal(signal.SIGSTOP)
        try:
            leader = self.leader(replica)
            self._record.write(f"{leader.host} leads")
            time.sleep(max(0.0, frozen + FREEZE_S - time.monotonic()))
        finally:
            replica.signal(signal.SIGCONT)
        self._record.write(f"{replica.host} wakes")
        return leader

    def kill(self, replica: h.Daemon) -> h.Daemon:
        """Kill a replica, start it again after `DOWN_S`, and return the one that leads then."""
        self._record.write(f"{replica.host} is killed")
        killed = time.monotonic()
        replica.kill()
        leader = self.leader(replica)
        self._record.write(f"{leader.host} leads")
        time.sleep(max(0.0, killed + DOWN_S - time.monotonic()))
        replica.start()
        self._record.write(f"{replica.host} starts")
        return leader

    def settle(self) -> None:
        """Wait until the replica that was frozen or killed counts as back."""
        time.sleep(CATCH_UP_S)


class Round:
    """One deployment, with one replica that leaves.

    Parameters
    ----------
    number : int
        Number of the deployment, which chooses its addresses.

    Attributes
    ----------
    held : bool or None
        Whether no request reached the leaving replica too late; None if it could not be played.
    """

    def __init__(self, number: int, record: h.Record):
        net = f"127.0.{FIRST_NET + number}"
        self.record = h.PartRecord(record, f"deployment {number}")
        self.deployment = h.Deployment(net, STATE, STATE, entries=ENTRIES)
        self.ready = [h.Replica(net, 51 + n, f"i-ready-{n}", SERVICE) for n in range(2)]
        self.leaving = LeavingReplica(net, 62, "i-leaving", SERVICE)
        self.clients = Clients(self.deployment.entries, self.deployment.front)
        self.held: bool | None = None

    def play(self) -> None:
        """Play the round and judge it."""
        try:
            self._start()
            _play_freezes(self.record, self.deployment, self.clients, self.leaving)
            self.clients.stop()
            self.held = _judge(self.record, self.clients, self.leaving)
        except h.CannotRun as exc:
            self.record.write(f"cannot run: {exc}")

    def _start(self) -> None:
        self.deployment.platform.listed = [r.listed for r in (*self.ready, self.leaving)]
        for daemon in (*self.deployment.replicas, *self.deployment.entries):
            daemon.start()
        config = h.configuration(1, [h.route(h.SAFE, SERVICE)], [SERVICE])
        h.replace_config(self.deployment, config, self.record)
        h.wait_ready(self.deployment, "/safe/x")
        self.clients.start()

    def close(self) -> None:
        """End the clients and all processes."""
        self.clients.stop()
        for replica in self.deployment.replicas:
            replica.signal(signal.SIGCONT)
        self.deployment.close()


def play(record: h.Record) -> bool:
    """Play all rounds; return whether no request reached a leaving replica too late."""
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


def _play_freezes(
    record: h.PartRecord, deployment: h.Deployment, clients: Clients, leaving: LeavingReplica
) -> None:
    core = Core(deployment, record)
    leader = core.leader()
    record.write(f"{leader.host} leads")
    while h.TROUBLE and len(core.led) < len(STATE):
        if time.monotonic() - core.begun > LONGEST_S:
            raise h.CannotRun("not every replica has led")
        leader = core.freeze(leader)
        core.settle()
    leaving.leaves = True
    listed = {**leaving.listed, "state": "draining"}
    others = [entry for entry in deployment.platform.listed if entry["id"] != leaving.name]
    deployment.platform.listed = [*others, listed]
    record.write(f"{leaving.name} is listed as draining, and says so in its answers")
    h.wait_for(
        lambda: len(clients.first_leaving) == len(ENTRIES),
        8.0,
        "answers of the leaving replica, passed on by each entry VM",
    )
    first = max(clients.first_leaving.values())
    record.write("each entry VM has passed on an answer with Server-Leaving")
    time.sleep(DRAIN_S + 1.0)
    leaves = first + DRAIN_S + LINGER_S
    while h.TROUBLE and time.monotonic() + DOWN_S + CATCH_UP_S < leaves:
        leader = core.kill(leader)
        core.settle()
    time.sleep(max(0.0, leaves - time.monotonic()))
    deployment.platform.listed = others
    record.write(f"{leaving.name} has left")


def _judge(record: h.PartRecord, clients: Clients, leaving: LeavingReplica) -> bool:
    late = 0
    for at, _, _, headers in leaving.ran:
        request_id = headers["request-id"]
        entry = clients.by_entry.get(request_id)
        if entry not in clients.first_leaving:
            continue
        after = clients.sent[request_id] - clients.first_leaving[entry]
        if after > DRAIN_S:
            late += 1
            record.write(
                f"request {request_id}, sent to {entry} {after:.3f} s after that had passed on an "
                f"answer with Server-Leaving, reached {leaving.name} at "
                f"{at - clients.sent[request_id]:.3f} s"
            )
    record.write(f"answers by status: {clients.statuses}; requests that came too late: {late}")
    return late == 0


if __name__ == "__main__":
    h.run_case(Path(sys.argv[1]), play)
