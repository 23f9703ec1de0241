import signal
import sys

import pytest
from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.waiting import wait_for

WAITS = """
import signal, threading
signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
threading.Thread(target=threading.Event().wait, daemon=True).start()
print("listening here", flush=True)
signal.sigwait({signal.SIGHUP})
"""
IGNORES = """
import threading
print("listening here", flush=True)
threading.Event().wait()
"""


@pytest.fixture
def processes():
    with Processes() as processes:
        yield processes


def start(processes, code):
    process = processes.start([sys.executable, "-c", code])
    process.wait_ready()
    return process


class TestBlocks:
    def test_a_process_that_waits_for_a_signal_blocks_it(self, processes):
        process = start(processes, WAITS)
        # Its main thread is woken by the signal that it waits for, so the system does not list it.
        wait_for(lambda: "S" in main_thread(process)["State"], 10)
        assert process.blocks(signal.SIGHUP)
        assert not process.blocks(signal.SIGTERM)
        process.hang_up()
        assert process.wait() == 0

    def test_another_one_does_not_until_it_has_ended(self, processes):
        process = start(processes, IGNORES)
        assert not process.blocks(signal.SIGHUP)
        process.hang_up()
        assert process.wait() == -signal.SIGHUP
        assert process.blocks(signal.SIGHUP)


def main_thread(process):
    with open(f"/proc/{process.pid}/status") as status:
        return dict(line.split(":", 1) for line in status)
