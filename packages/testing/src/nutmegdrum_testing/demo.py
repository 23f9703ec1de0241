"""Demo: a small deployment, a killed engine, a repeated booking and a release note's move.

Run as `python -m nutmegdrum_testing.demo` from the root of the workspace (`make demo`).
"""

import datetime
import json
import shutil
import subprocess
import sys
import threading
from pathlib import Path

import urllib3
from nutmegdrum.settings import Settings, load_settings

from nutmegdrum_testing.callers import BookingCaller, Caller, CallResult, StreamResult, new_pool
from nutmegdrum_testing.control import Control
from nutmegdrum_testing.processes import Processes, RunningProcess
from nutmegdrum_testing.waiting import wait_for

EXAMPLES = Path("examples/demo")
RUN = Path("run/demo")
DAEMONS = ("state-1", "state-2", "state-3", "entry-1", "entry-2")
ENTRIES = ("entry-1", "entry-2")
MODEL = "hive-guide"
PROMPT = "Swarm in an apple tree, four metres up. What first?"
TOKENS = 300
KILL_AFTER_TOKENS = 100
MOVE_TIME = datetime.timedelta(seconds=60)
TIMEOUT_S = 60.0
MOVE_TIMEOUT_S = 120.0


class Demo:
    """Processes and callers of the demo deployment."""

    def __init__(self, processes: Processes):
        self._processes = processes
        self.settings = {name: load_settings(EXAMPLES / f"{name}.json") for name in DAEMONS}
        self.engines: dict[str, RunningProcess] = {}
        callers = [str(self.settings[name].listen.callers) for name in ENTRIES]
        self._pool = new_pool()
        self.generation_caller = Caller(callers, "key-keepers", self._pool)
        self.booking_caller = BookingCaller(callers, "key-dispatch", pool=self._pool)

    def start(self) -> None:
        """Start the fake servers and the daemons, and wait until all are ready."""
        shutil.rmtree(RUN, ignore_errors=True)
        RUN.mkdir(parents=True)
        for backend in self.settings["entry-1"].backend_servers:
            self.engines[backend.id] = self._start_backend(backend.id)
        for engine in self.engines.values():
            engine.wait_ready()
        program = str(Path(sys.executable).parent / "nutmegdrumd")
        for name in DAEMONS:
            args = [program, "--settings", str(EXAMPLES / f"{name}.json")]
            self._processes.start(args, RUN / f"{name}.log")
        for name in DAEMONS:
            wait_for(lambda cfg=self.settings[name]: _is_ready(cfg), TIMEOUT_S)

    def _start_backend(self, name: str) -> RunningProcess:
        backends = self.settings["entry-1"].backend_servers
        backend = next(b for b in backends if b.id == name)
        module, options = "nutmegdrum_testing.fake_plain", []
        if backend.service == "hive-llm":
            module, options = "nutmegdrum_testing.fake_engine", ["--model", MODEL]
        options = ["--id", name, "--address", str(backend.address), *options]
        return self._processes.start_module(module, *options)

    def stream_with_loss(self) -> tuple[StreamResult, str, float]:
        """Stream a generation and kill its engine midway.

        Return the result, the engine's name and the longest gap since the kill in ms.
        """
        result = StreamResult(prompt=PROMPT)
        thread = threading.Thread(
            target=self.generation_caller.generate,
            args=(MODEL, PROMPT, TOKENS),
            kwargs={"into": result},
        )
        thread.start()
        wait_for(lambda: len(result.tokens) >= KILL_AFTER_TOKENS, TIMEOUT_S)
        engine = next(name for name in self._model_engines() if self._running(name))
        before = len(result.tokens)
        self.engines[engine].kill()
        thread.join()
        gaps_ms = result.gaps_ms()[before - 1 :]
        return result, engine, max(gaps_ms)

    def _model_engines(self) -> list[str]:
        return [name for name in self.engines if name.startswith("engine")]

    def _running(self, name: str) -> int:
        backends = self.settings["entry-1"].backend_servers
        backend = next(b for b in backends if b.id == name)
        return Control(backend.address).get("/v1/load")["running"]

    def restart(self, engine: str) -> None:
        """Restart a killed engine."""
        self.engines[engine] = self._start_backend(engine)
        self.engines[engine].wait_ready()

    def book_twice(self) -> tuple[CallResult, CallResult]:
        """Send one booking to both entry VMs under the same key; return both answers."""
        what, key = "collector to Uuetalu", "uuetalu-1"
        return self.booking_caller.book(what, key, entry=0), self.booking_caller.book(
            what, key, entry=1
        )

    def submit_note(self) -> None:
        """Submit the example note with a complete-by time `MOVE_TIME` from now."""
        note = json.loads((EXAMPLES / "note.json").read_text())
        complete_by = datetime.datetime.now(datetime.UTC) + MOVE_TIME
        note["changed"][0]["complete_by"] = complete_by.isoformat(timespec="seconds")
        path = RUN / "note.json"
        path.write_text(json.dumps(note, indent=2))
        print(command("note", "submit", str(path), "--operator", "demo"))

    def move_ended(self) -> bool:
        """Send some generations, and return whether the note's move has ended."""
        for index in range(20):
            self.generation_caller.generate(MODEL, f"question {index}", 5, entry=index % 2)
        report = json.loads(command("report", "--json"))
        return bool(report["moves"]) and all(move["ended"] for move in report["moves"])


def _is_ready(cfg: Settings) -> bool:
    try:
        url = f"http://{cfg.listen.ops}/readyz"
        return urllib3.request("GET", url, timeout=1.0, retries=False).status == 200
    except urllib3.exceptions.HTTPError:
        return False


def command(*args: str) -> str:
    """Run an operators' command and return its output."""
    program = str(Path(sys.executable).parent / "nutmegdrum")
    settings = ["--settings", str(EXAMPLES / "entry-1.json")]
    done = subprocess.run([program, *args, *settings], capture_output=True, text=True, check=False)
    if done.returncode:
        raise RuntimeError(f"nutmegdrum {' '.join(args)}: {done.stderr}")
    return done.stdout


def main() -> None:
    """Run the demo and print its results."""
    with Processes() as processes:
        demo = Demo(processes)
        print("starting 3 state replicas, 2 entry daemons and 4 fake backend servers")
        demo.start()
        result, engine, gap_ms = demo.stream_with_loss()
        print(f"\nanswer: {''.join(result.tokens)}\n")
        attempts = result.check(TOKENS)
        print(f"{engine} was killed after about {KILL_AFTER_TOKENS} tokens")
        print(f"tokens: {len(result.tokens)} of {TOKENS}, from {attempts} attempts, {result.ended}")
        print(f"resume latency: {gap_ms:.0f} ms\n")
        demo.restart(engine)
        first, second = demo.book_twice()
        print(f"booking sent twice, to two entry VMs: {first.body}, {second.body}\n")
        demo.submit_note()
        wait_for(demo.move_ended, MOVE_TIMEOUT_S)
        print(command("report"))


if __name__ == "__main__":
    main()
