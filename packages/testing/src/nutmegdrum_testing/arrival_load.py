"""Open-loop load generator: requests at a given rate, independent of earlier ones; prints JSON."""

import argparse
import asyncio
import random
import sys
import time

import msgspec

from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.stream_calls import StreamOutcome, StreamPlan, run_stream

PRIORITIES = ("urgent", "normal", "batch")


class Source(msgspec.Struct, kw_only=True):
    """One workspace that sends requests, with its key and its share of all arrivals."""

    name: str
    key: str
    share: float


class Arrivals(msgspec.Struct, kw_only=True):
    """Parameters of a load: workspaces, arrival rate and duration."""

    addresses: list[str]
    sources: list[Source]
    rate_per_s: float
    seconds: float
    max_tokens: int
    seed: int


class ClassResult(msgspec.Struct, kw_only=True):
    """Results of the requests of one workspace and priority."""

    source: str
    priority: str
    offered: int = 0
    whole: int = 0
    refused: int = 0
    broken: int = 0
    refused_ms: list[float] = []
    first_token_ms: list[float] = []
    problems: list[str] = []

    def record(self, outcome: StreamOutcome) -> None:
        """Record the outcome of one request."""
        self.offered += 1
        if not outcome.problem:
            self.whole += 1
            self.first_token_ms.append(outcome.first_token_ms or 0.0)
        elif outcome.status in (429, 503):
            self.refused += 1
            self.refused_ms.append(outcome.answered_ms)
        else:
            self.broken += 1
            self.problems.append(outcome.problem)


class ArrivalResult(msgspec.Struct, kw_only=True):
    """Results by workspace and priority, and the time in s from the start to the last end."""

    elapsed_s: float
    classes: list[ClassResult]


async def _run(arrivals: Arrivals) -> ArrivalResult:
    rng = random.Random(arrivals.seed)
    results = {
        (source.name, priority): ClassResult(source=source.name, priority=priority)
        for source in arrivals.sources
        for priority in PRIORITIES
    }
    tasks = []
    began, due_s = time.monotonic(), 0.0
    while due_s < arrivals.seconds:
        await asyncio.sleep(max(0.0, began + due_s - time.monotonic()))
        source = rng.choices(arrivals.sources, [s.share for s in arrivals.sources])[0]
        priority = rng.choice(PRIORITIES)
        plan = StreamPlan(
            address=rng.choice(arrivals.addresses),
            prompt=f"{arrivals.rate_per_s:.0f} {len(tasks)}",
            max_tokens=arrivals.max_tokens,
            key=source.key,
            priority=priority,
        )
        tasks.append(asyncio.create_task(_run_one(plan, results[source.name, priority])))
        due_s += rng.expovariate(arrivals.rate_per_s)
    await asyncio.gather(*tasks)
    return ArrivalResult(elapsed_s=time.monotonic() - began, classes=list(results.values()))


async def _run_one(plan: StreamPlan, result: ClassResult) -> None:
    result.record(await run_stream(plan))


def run_arrivals(processes: Processes, arrivals: Arrivals) -> ArrivalResult:
    """Run a load in its own process and return the results."""
    text = msgspec.json.encode(arrivals).decode()
    process = processes.start_module("nutmegdrum_testing.arrival_load", text)
    code = process.wait(arrivals.seconds + 120)
    if code:
        raise RuntimeError(process.output())
    return msgspec.json.decode(process.output(), type=ArrivalResult)


def main() -> None:
    """Run the load and print the results."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("arrivals", help="load parameters (Arrivals) as a JSON document")
    args = parser.parse_args()
    arrivals = msgspec.json.decode(args.arrivals, type=Arrivals)
    sys.stdout.buffer.write(msgspec.json.encode(asyncio.run(_run(arrivals))))


if __name__ == "__main__":
    main()
