"""Case 1: a first start leaves state replicas outside; two lost disks lose the configuration."""

import json
import sys
import threading
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import harness as h  # noqa: E402

DEPLOYMENTS = 4
REPLICAS = [1, 2, 3, 4, 5]
SEEDS = [3, 4, 5]
LAST = 5
"""Replica that starts last, 0.25 s after the first one; the pages allow 0.3 s and any order."""

START_SPREAD_S = 0.25
LOSSES = 2
TRAFFIC_S = 16.0
"""Time from the start of the machines to the traffic, and thus to the change below."""

DOWN_S = 1.0
RECOVER_S = 15.0
CONTACT_S = 4.0
CALL_PAUSE_S = 0.2


class FirstStart:
    """One deployment that starts for the first time.

    Parameters
    ----------
    number : int
        Number of the deployment, which chooses its addresses.
    """

    def __init__(self, number: int, record: h.Record):
        self._name = f"deployment {number}"
        self._record = record
        self.deployment = h.Deployment(f"127.0.{20 + number}", REPLICAS, SEEDS, losses=LOSSES)
        self.held: bool | None = None
        self.error = ""
        self._answers: dict[str, str] = {}

    def play(self) -> None:
        """Start the replicas, lose two disks, and read the configuration back."""
        try:
            self.held = self._play()
        except h.CannotRun as exc:
            self.error = str(exc)

    def _play(self) -> bool:
        started = time.monotonic()
        replicas = {int(r.host.rpartition(".")[2]): r for r in self.deployment.replicas}
        for number in REPLICAS:
            if number != LAST:
                replicas[number].start()
        time.sleep(max(0.0, started + START_SPREAD_S - time.monotonic()))
        replicas[LAST].start()
        self._write(f"all started within {time.monotonic() - started:.3f} s")
        first = self._change(1, self.deployment.replicas)
        time.sleep(max(0.0, started + TRAFFIC_S - time.monotonic()))
        others = [r for r in self.deployment.replicas if r is not first]
        second = self._change(2, others)
        if h.TROUBLE:
            self._lose_disks([first, second])
        return self._reads_back(2)

    def _change(self, version: int, asked: list[h.Daemon]) -> h.Daemon:
        config = h.configuration(version, [h.route(h.SAFE, "desk")], ["desk"])
        body = json.dumps(config).encode()

        def acknowledged() -> h.Daemon | None:
            for replica in asked:
                address = self.deployment.control_of(replica)
                status, _ = h.call(address, "POST", "/Config.Replace", body)
                self._write_change(f"version {version} sent to {replica.host}", f"{status}")
                if status == 200:
                    return replica
            return None

        found = h.wait_for(acknowledged, 15.0, f"acknowledgement of version {version}")
        assert isinstance(found, h.Daemon)
        return found

    def _lose_disks(self, lost: list[h.Daemon]) -> None:
        for replica in lost:
            replica.kill()
            replica.lose_disk()
        self._write(f"killed, and their disks emptied: {', '.join(r.host for r in lost)}")
        time.sleep(DOWN_S)
        for replica in lost:
            replica.start()
        self._write("started again with empty disks")

    def _reads_back(self, version: int) -> bool:
        """Read at all nodes until one answers, or long after all are back."""
        until = time.monotonic() + RECOVER_S + CONTACT_S
        while time.monotonic() < until:
            for replica in self.deployment.replicas:
                address = self.deployment.control_of(replica)
                status, body = h.call(address, "GET", "/Config.Get")
                found = json.loads(body)["version"] if status == 200 else None
                self._write_change(f"read at {replica.host}", f"{status}, version {found}")
                if found is not None:
                    return found == version
            time.sleep(CALL_PAUSE_S)
        self._write(f"no answer within {RECOVER_S + CONTACT_S} s")
        return False

    def _write_change(self, call: str, answer: str) -> None:
        """Write an answer unless the same call had the same one before."""
        if self._answers.get(call) != answer:
            self._answers[call] = answer
            self._write(f"{call}: {answer}")

    def _write(self, text: str) -> None:
        self._record.write(f"{self._name}: {text}")


def play(record: h.Record) -> bool:
    """Play all deployments; return whether each configuration was read back."""
    starts = [FirstStart(number, record) for number in range(DEPLOYMENTS)]
    try:
        threads = [threading.Thread(target=start.play) for start in starts]
        for thread in threads:
            thread.start()
            # Apart, so that the starts of one deployment do not slow down those of the next.
            time.sleep(2.0)
        for thread in threads:
            thread.join()
    finally:
        for start in starts:
            start.deployment.close()
    for number, start in enumerate(starts):
        if start.error:
            record.write(f"deployment {number}: not judged: {start.error}")
    results = [start.held for start in starts if start.held is not None]
    if not results:
        raise h.CannotRun("no deployment could be played")
    return all(results)


if __name__ == "__main__":
    h.run_case(Path(sys.argv[1]), play)
