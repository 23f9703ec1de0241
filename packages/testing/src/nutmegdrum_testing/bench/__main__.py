"""Run the measures, print them as a table and write them as JSON.

`python -m nutmegdrum_testing.bench --only overhead --json FILE`
"""

import argparse
import importlib
import sys
import traceback
from collections.abc import Iterator
from pathlib import Path

import msgspec

from nutmegdrum_testing.bench.bounds import BOUNDS
from nutmegdrum_testing.bench.figures import Figure, Sizes, Status

MEASURES = {
    "recovery": "resume latency after a reset, silence, a pause and the loss of an entry VM",
    "overhead": "first token, token gap, processor time and memory against direct",
    "claims": "non-idempotent calls a second",
    "claim_faults": "bookings resent while daemons are killed and paused",
    "claim_log": "claims a second that the state replicas commit",
    "goodput": "whole answers under 0.5x to 4x load",
    "overload_table": "admission under overload in model time",
    "notes": "release note from submission to in force",
    "leader_cost": "processor time and bytes of views and decisions against sizes",
    "log_throughput": "commands a second, restart and failover of the replicated log",
    "state_cost": "memory, bytes and processor time of claims and release notes",
    "control_cost": "bytes and processor time of control against sizes",
    "rollout_table": "good and bad versions in model time",
}


_FAILING = (Status.MISSED, Status.FAILED)


def run_measure(name: str, sizes: Sizes) -> Iterator[Figure]:
    """Yield the figures of one measure, each compared with its bound."""
    module_name = f"nutmegdrum_testing.bench.{name}"
    try:
        module = importlib.import_module(module_name)
    except ModuleNotFoundError as exc:
        yield _without_value(name, Status.NOT_RUN, str(exc))
        return
    try:
        for figure in module.measure(sizes):
            yield judge(figure)
    except Exception as exc:  # noqa: BLE001
        traceback.print_exc()
        yield _without_value(name, Status.FAILED, f"{type(exc).__name__}: {exc}")


def _without_value(name: str, status: Status, why: str) -> Figure:
    return Figure(name=name, value=None, unit="", samples=0, status=status, note=why[:200])


def judge(figure: Figure) -> Figure:
    """Set the figure's status by its bound and return the figure."""
    if figure.status is Status.MEASURED and figure.value is None:
        figure.status = Status.NOT_RUN
    elif figure.status is Status.MEASURED and figure.bound:
        holds = BOUNDS[figure.bound].holds(figure.value)
        figure.status = Status.WITHIN if holds else Status.MISSED
    return figure


def format_line(figure: Figure) -> str:
    """Return a figure's line of the table."""
    value = "-" if figure.value is None else f"{figure.value:,.2f}"
    bound = ""
    if figure.bound:
        limit = BOUNDS[figure.bound]
        bound = f"{'>=' if limit.at_least else '<='} {limit.limit:g}"
    return (
        f"{figure.name:<48} {value:>14} {figure.unit:<10} {figure.samples:>8} "
        f"{bound:>12} {figure.status.value:<9} {figure.note}"
    )


def main() -> int:
    """Run the selected measures; return 1 if a bound is missed or a measure failed."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--only", nargs="*", default=list(MEASURES), choices=list(MEASURES))
    parser.add_argument("--json", type=Path)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--quick", action="store_true", help="small sizes, for a trial run")
    args = parser.parse_args()
    sizes = Sizes(seed=args.seed, quick=args.quick)
    results: dict[str, list[Figure]] = {}
    for name in args.only:
        print(f"\n{name}: {MEASURES[name]}", flush=True)
        results[name] = []
        for figure in run_measure(name, sizes):
            results[name].append(figure)
            print(format_line(figure), flush=True)
    if args.json:
        args.json.parent.mkdir(parents=True, exist_ok=True)
        args.json.write_bytes(msgspec.json.format(msgspec.json.encode(results)))
    return _summarise(results)


def _summarise(results: dict[str, list[Figure]]) -> int:
    listed = [
        f"{name}: {format_line(figure)}"
        for name, figures in results.items()
        for figure in figures
        if figure.status in (*_FAILING, Status.NOT_RUN)
    ]
    print("\nmissed, failed or not run:" if listed else "\nall bounds hold")
    print("\n".join(listed))
    return int(any(f.status in _FAILING for figures in results.values() for f in figures))


if __name__ == "__main__":
    sys.exit(main())
