"""Bookings sent and resent while daemons are killed or paused and services fail calls."""

import random
import threading
import time
from collections import Counter, defaultdict
from collections.abc import Iterator

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.callers import CallResult
from nutmegdrum_testing.deployment import Deployment, Options
from nutmegdrum_testing.faults import Fault, FaultKind

SEED = 2
CALLERS = 12
CALLER_TIMEOUTS_S = (0.3, 2.0, 8.0)
OPTIONS = Options(
    states=3,
    entries=3,
    engines=1,
    plains=3,
    plain_options=("--call-ms", "30"),
    settings={"claims": {"call_timeout": "3s"}},
)


class Bookings:
    """Callers that send each key one to three times, to random entry VMs, until stopped."""

    def __init__(self, deployment: Deployment, seed: int):
        self.answers: defaultdict[str, list[CallResult]] = defaultdict(list)
        self._caller = deployment.booking_caller()
        self._entries = len(deployment.entries)
        self._stopping = threading.Event()
        self._threads = [
            threading.Thread(target=self._run, args=(index, random.Random(f"{seed}/{index}")))
            for index in range(CALLERS)
        ]
        for thread in self._threads:
            thread.start()

    def stop(self) -> None:
        """Stop the callers and wait for the answers to requests in flight."""
        self._stopping.set()
        for thread in self._threads:
            thread.join()

    def _run(self, index: int, rng: random.Random) -> None:
        number = 0
        while not self._stopping.is_set():
            number += 1
            key = f"{index}-{number}"
            for _ in range(rng.randint(1, 3)):
                entry = rng.randrange(self._entries)
                timeout_s = rng.choice(CALLER_TIMEOUTS_S)
                self.answers[key].append(self._caller.book("farm", key, entry, timeout_s))


def inject_faults(deployment: Deployment, rng: random.Random, seconds: float) -> None:
    """Kill and pause daemons and make services fail calls, one fault at a time."""
    end_s = time.monotonic() + seconds
    while time.monotonic() < end_s:
        time.sleep(rng.uniform(0.3, 1.2))
        kind = rng.choice(["kill", "pause", "service", "service"])
        daemon = rng.choice(deployment.daemons)
        if kind == "kill":
            daemon.running.kill()
            time.sleep(rng.uniform(0.1, 1.0))
            daemon.start()
        elif kind == "pause":
            daemon.running.pause()
            time.sleep(rng.uniform(0.2, 3.0))
            daemon.running.resume()
        else:
            fault = rng.choice([FaultKind.HANG, FaultKind.CLOSE])
            late = rng.random() < 0.5
            rate = rng.random()
            service = rng.choice(deployment.plains)
            service.control.set_faults(Fault(kind=fault, after_execution=late, rate=rate, times=3))


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the keys that ran twice, and those that ran but whose last answer said not-run."""
    rng = random.Random(SEED)
    with Deployment(OPTIONS) as deployment:
        bookings = Bookings(deployment, SEED)
        inject_faults(deployment, rng, sizes.pick(60, 15))
        bookings.stop()
        ledger = Counter(entry["key"] for entry in deployment.executions())
    keys = len(bookings.answers)
    twice = sum(count > 1 for count in ledger.values())
    false_not_run = sum(bool(ledger[key]) and _not_run(bookings.answers[key][-1]) for key in ledger)
    verdicts = Counter(_verdict(answer) for sent in bookings.answers.values() for answer in sent)
    note = ", ".join(f"{name} {count}" for name, count in verdicts.most_common())
    yield Figure(
        name="keys that ran twice", value=twice, unit="keys", samples=keys, bound="double-runs"
    )
    yield Figure(
        name="keys that ran, last answered not-run",
        value=false_not_run,
        unit="keys",
        samples=keys,
        bound="false-not-run",
        note=note,
    )


def _not_run(answer: CallResult) -> bool:
    return answer.problem is not None and answer.problem.verdict == "not-run"


def _verdict(answer: CallResult) -> str:
    if answer.problem is not None:
        return f"{answer.problem.reason}/{answer.problem.verdict}"
    return "ran" if answer.status else "no answer"
