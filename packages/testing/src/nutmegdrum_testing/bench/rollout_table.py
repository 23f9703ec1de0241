"""Good and bad versions in model time, as the table of `rollouts` runs them."""

from collections.abc import Iterator

from nutmegdrum.settings import Weigh

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.bench.rollout_faults import CASES
from nutmegdrum_testing.bench.rollouts import SEEDS, run_table, summarise


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the shares of good versions in time and of bad ones taken back, by weight."""
    seeds = list(SEEDS)[: sizes.pick(len(SEEDS), 1)]
    outcomes = run_table(CASES, seeds)
    for weigh in Weigh:
        found = summarise(outcomes, weigh)
        name = weigh.value
        yield Figure(
            name=f"bad versions taken back, {name}",
            value=found.taken_back / found.bad,
            unit="share",
            samples=found.bad,
            bound="bad-taken-back",
        )
        yield Figure(
            name=f"good versions done in time, {name}",
            value=found.good_in_time / found.good,
            unit="share",
            samples=found.good,
            bound="good-in-time",
        )
        yield Figure(
            name=f"requests after a fault, worst, {name}",
            value=found.after_fault_max,
            unit="requests",
            samples=found.bad,
        )
        yield Figure(
            name=f"fault to last request, worst, {name}",
            value=found.fault_to_last_max_ms,
            unit="ms",
            samples=found.bad,
        )
        yield Figure(
            name=f"resume latency meanwhile p99, {name}", value=found.resume_p99_ms, unit="ms"
        )
