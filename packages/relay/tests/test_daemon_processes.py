"""Signal handling of relay daemon processes."""

import os
import signal

import msgspec
import pytest
from nutmegdrum_testing.processes import Processes, free_ports
from nutmegdrum_testing.waiting import wait_for

ROUNDS = 12


@pytest.fixture
def start(tmp_path):
    """Return a function that starts an entry daemon and waits until it has started."""
    with Processes() as processes:

        def start(number):
            ports = free_ports(5)
            peers, metrics, callers, ready, other = (f"127.0.0.1:{port}" for port in ports)
            settings = {
                "deployment": "test",
                "role": "entry",
                "place": {"name": f"e{number}", "data_centre": "dc", "region": "r"},
                "listen": {
                    "peers": peers,
                    "metrics": metrics,
                    "callers": callers,
                    "readiness": ready,
                },
                "state_seeds": [other],
                "backend_list": other,
                "entry": {"stop_within": "1s", "shutdown_notice": "10ms"},
            }
            path, log = tmp_path / f"{number}.json", tmp_path / f"{number}.log"
            path.write_bytes(msgspec.json.encode(settings))
            process = processes.start_module(
                "nutmegdrum_testing.soak.daemon", str(path), output=log
            )
            wait_for(lambda: log.exists() and b"nutmegdrum:started" in log.read_bytes(), 30)
            return process

        yield start


class TestSignals:
    def test_sigterm_right_after_sigcont_is_not_lost(self, start):
        # In the soak with seed 9 the signal was delivered to another thread, and the main thread
        # kept waiting.
        for number in range(ROUNDS):
            process = start(number)
            os.kill(process.pid, signal.SIGSTOP)
            os.kill(process.pid, signal.SIGCONT)
            os.kill(process.pid, signal.SIGTERM)
            process.wait(8)

    def test_repeated_signals_are_all_handled(self, start):
        process = start(0)
        for _ in range(50):
            os.kill(process.pid, signal.SIGHUP)
        os.kill(process.pid, signal.SIGTERM)
        process.wait(8)
