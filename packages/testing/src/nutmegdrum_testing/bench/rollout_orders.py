"""Table of ordered rollouts in model time: exposure of bad versions, and ends of good ones.

Run as ``python -m nutmegdrum_testing.bench.rollout_orders``; model time gives the same figures on
every run.
"""

import sys
from itertools import product
from typing import NamedTuple

from nutmegdrum.moves import MoveState

from nutmegdrum_testing.rollout_order_world import (
    PLAIN,
    STREAM,
    Behaviour,
    Case,
    Result,
    RolloutWorld,
    failing,
    good,
    slow,
)

SEEDS = range(10)
DURATIONS_MS = (12_000, 40_000)
REQUESTS_PER_S = (4, 40, 80)

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
"""Users' bound on the requests of a bad version: a share of all requests plus a slack."""


class Row(NamedTuple):
    """One kind of version, and extra options of its case."""

    name: str
    behaviour: Behaviour
    options: dict[str, float]


ROWS = [
    Row("good", good, {}),
    Row("good, 200 entry VMs", good, {"entry_vms": 200}),
    Row("good, leader lost half-way", good, {"leader_lost": 0.5}),
    Row("good, leader lost at 85 %", good, {"leader_lost": 0.85}),
    Row("good, 30 % of VMs cut off", good, {"cut_off": 0.3}),
    Row("fails all", failing(1.0), {}),
    Row("fails 30 %", failing(0.3), {}),
    Row("fails 10 %", failing(0.1), {}),
    Row("fails 40 % on one route", failing(0.4, route=PLAIN), {}),
    Row("fails 30 % from half-way on", failing(0.3, after=0.5), {}),
    Row("fails 30 % from 80 % on", failing(0.3, after=0.8), {}),
    Row("fails 30 % under load", failing(0.3, load=0.7), {}),
    Row("4 times as slow", slow(4), {}),
    Row("3 times as slow on one route", slow(3, route=STREAM), {}),
    Row("4 times as slow from half-way on", slow(4, after=0.5), {}),
    Row("fails 30 %, leader lost at 30 %", failing(0.3), {"leader_lost": 0.3}),
    Row("fails 30 %, 200 entry VMs", failing(0.3), {"entry_vms": 200}),
]


def run_row(row: Row, per_s: float, duration_ms: int) -> list[Result]:
    """Run a row with all seeds."""
    case = Case(row.name, row.behaviour, per_s, duration_ms, **row.options)
    return [RolloutWorld(case, seed).play() for seed in SEEDS]


def exceeds_bounds(result: Result) -> bool:
    """Return whether a bad version got more or later requests than the users' bounds allow."""
    return result.exposed > EXPOSURE_SHARE * result.requests + EXPOSURE_SLACK or result.late > 0


def main() -> int:
    """Print one line for each row, rate and duration."""
    for row, per_s, duration_ms in product(ROWS, REQUESTS_PER_S, DURATIONS_MS):
        results = run_row(row, per_s, duration_ms)
        done = sum(r.state is MoveState.DONE for r in results)
        in_time = sum(r.ended_ms is not None and r.ended_ms <= duration_ms for r in results)
        exceeding = "-" if row.behaviour is good else sum(map(exceeds_bounds, results))
        exposed = sorted(r.exposed for r in results)[len(results) // 2]
        print(
            f"{row.name:34} {per_s:3}/s {duration_ms // 1_000:3} s  done {done:2} of {len(results)}"
            f"  ended in time {in_time:2}  over the bound {exceeding:>2}  exposed {exposed:4}",
            flush=True,
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
