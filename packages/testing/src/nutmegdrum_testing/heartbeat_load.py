"""Load generator for a state leader: heartbeats of many simulated entry VMs; prints JSON."""

import argparse
import sys
import threading
import time

import msgspec
from nutmegdrum.rpc import PeerUnreachable, RpcClient
from nutmegdrum.settings import PeerSettings
from nutmegdrum.state_client import StateClient
from nutmegdrum.units import Address
from nutmegdrum.view import HeartbeatReport
from nutmegdrum_wire.gen.messages.ttypes import Sender

from nutmegdrum_testing.processes import Processes

THREADS = 16
TIMEOUT_MS = 2_000

_MS_PER_S = 1_000


class HeartbeatResult(msgspec.Struct, kw_only=True):
    """Number of answers by kind, and the latency of each answered heartbeat in ms."""

    fresh: int = 0
    stale: int = 0
    lost: int = 0
    views: int = 0
    answer_ms: list[float] = []


class _SimulatedVm:
    def __init__(self, number: int, replicas: list[PeerSettings], deployment: str):
        self.name = f"load-{number}"
        sender = Sender(deployment, self.name, "1")
        self._state = StateClient(RpcClient(sender), replicas)
        self._generation = 0
        self._note = 0

    def send_heartbeat(self, result: HeartbeatResult) -> None:
        report = HeartbeatReport(
            vm=self.name,
            incarnation="1",
            generation=self._generation,
            note=self._note,
            ready=True,
        )
        began = time.monotonic()
        try:
            answer = self._state.heartbeat(report, TIMEOUT_MS)
        except PeerUnreachable:
            result.lost += 1
            return
        result.answer_ms.append((time.monotonic() - began) * _MS_PER_S)
        result.fresh += answer.fresh
        result.stale += not answer.fresh
        if answer.view is not None:
            result.views += 1
            self._generation = answer.view.generation
            self._note = answer.view.note


def _send_heartbeats(
    vms: list[_SimulatedVm], period_s: float, until_s: float, result: HeartbeatResult
) -> None:
    due_s = [time.monotonic() + period_s * i / max(len(vms), 1) for i in range(len(vms))]
    while vms and min(due_s) < until_s:
        index = due_s.index(min(due_s))
        time.sleep(max(0.0, due_s[index] - time.monotonic()))
        vms[index].send_heartbeat(result)
        due_s[index] = max(due_s[index] + period_s, time.monotonic())


def start_heartbeats(
    processes: Processes, replicas: list[str], nodes: int, seconds: float, period_ms: int
):
    """Start a process that sends the heartbeats of `nodes` VMs and prints a HeartbeatResult."""
    options = ["--nodes", str(nodes), "--seconds", str(seconds), "--period-ms", str(period_ms)]
    return processes.start_module("nutmegdrum_testing.heartbeat_load", *options, *replicas)


def main() -> None:
    """Send heartbeats for the given duration and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("replicas", nargs="+")
    parser.add_argument("--deployment", default="test")
    parser.add_argument("--nodes", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=5.0)
    parser.add_argument("--period-ms", type=int, default=500)
    args = parser.parse_args()
    replicas = [
        PeerSettings(vm=f"s{i}", address=Address(address), data_centre="dc")
        for i, address in enumerate(args.replicas)
    ]
    vms = [_SimulatedVm(i, replicas, args.deployment) for i in range(args.nodes)]
    result = HeartbeatResult()
    until_s = time.monotonic() + args.seconds
    period_s = args.period_ms / _MS_PER_S
    threads = [
        threading.Thread(target=_send_heartbeats, args=(vms[i::THREADS], period_s, until_s, result))
        for i in range(THREADS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
