"""Load generator with many concurrent streams in one process; prints its results as JSON.

Without a key the streams go directly to the engines, as a baseline without daemons.
"""

import argparse
import asyncio
import sys
import time
from collections.abc import Sequence

import msgspec

from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.stream_calls import StreamOutcome, StreamPlan, run_stream

_START_SPREAD_S = 1.0


class LoadResult(msgspec.Struct, kw_only=True):
    """Results of all streams of one load.

    Attributes
    ----------
    whole, broken, refused : int
        Streams that ended with every token exactly once, that did not, and that were refused.
    """

    first_token_ms: list[float] = []
    gaps_ms: list[float] = []
    whole: int = 0
    broken: int = 0
    refused: int = 0
    tokens: int = 0
    elapsed_s: float = 0.0
    details: list[str] = []

    def record(self, outcome: StreamOutcome) -> None:
        """Record the outcome of one stream."""
        if outcome.first_token_ms is not None:
            self.first_token_ms.append(outcome.first_token_ms)
        self.gaps_ms.extend(outcome.gaps_ms)
        self.tokens += len(outcome.tokens)
        if not outcome.problem:
            self.whole += 1
            return
        self.details.append(outcome.problem)
        if outcome.status == 200:
            self.broken += 1
        else:
            self.refused += 1


async def _run_one(args: argparse.Namespace, number: int, result: LoadResult) -> None:
    await asyncio.sleep(number * _START_SPREAD_S / args.streams)
    address = args.addresses[number % len(args.addresses)]
    prompt = f"{args.name} {number}"
    plan = StreamPlan(address=address, prompt=prompt, max_tokens=args.tokens, key=args.key)
    result.record(await run_stream(plan))


async def _run(args: argparse.Namespace) -> LoadResult:
    result = LoadResult()
    began = time.monotonic()
    await asyncio.gather(*(_run_one(args, i, result) for i in range(args.streams)))
    result.elapsed_s = time.monotonic() - began
    return result


def run_load(
    processes: Processes,
    addresses: Sequence[str],
    streams: int,
    tokens: int,
    *,
    key: str = "",
    name: str = "load",
    timeout_s: float = 300.0,
) -> LoadResult:
    """Run a load in its own process and return its result; without a key, on engines."""
    options = ["--streams", str(streams), "--tokens", str(tokens), "--name", name, "--key", key]
    process = processes.start_module("nutmegdrum_testing.stream_load", *options, *addresses)
    code = process.wait(timeout_s)
    if code:
        raise RuntimeError(process.output())
    return msgspec.json.decode(process.output(), type=LoadResult)


def main() -> None:
    """Run the streams and print the result."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("addresses", nargs="+")
    parser.add_argument("--streams", type=int, default=1)
    parser.add_argument("--tokens", type=int, default=100)
    parser.add_argument("--key", default="")
    parser.add_argument("--name", default="load")
    result = asyncio.run(_run(parser.parse_args()))
    sys.stdout.buffer.write(msgspec.json.encode(result))


if __name__ == "__main__":
    main()
