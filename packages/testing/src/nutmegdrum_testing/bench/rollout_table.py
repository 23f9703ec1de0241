"""Figures of the `rollouts` table: good and bad versions in model time."""

from collections.abc import Iterator

from nutmegdrum.settings import CapacityPriority

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.bench.rollout_faults import CASES, NO_SLACK
from nutmegdrum_testing.bench.rollouts import SEEDS, Outcome, run_table, summarise


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the shares of good versions in time and of bad ones rolled back, by priority."""
    seeds = list(SEEDS)[: sizes.pick(len(SEEDS), 1)]
    outcomes = run_table(CASES, seeds)
    for weigh in CapacityPriority:
        yield from _figures(outcomes, weigh)


def _figures(outcomes: list[Outcome], weigh: CapacityPriority) -> Iterator[Figure]:
    found = summarise(outcomes, weigh)
    tight = [row for row in outcomes if row.weigh is weigh and row.case == NO_SLACK.name]
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
        note=f"{sum(row.in_time for row in tight)} of {len(tight)} in row `{NO_SLACK.name}`",
    )
    for label, value, unit in (
        ("good versions taken back", found.good_taken_back, "versions"),
        ("requests after a fault, median", found.after_fault_median, "requests"),
        ("requests after a fault, worst", found.after_fault_max, "requests"),
        ("fault to last request, worst", found.fault_to_last_max_ms, "ms"),
        ("stop to last request, worst", found.stop_max_ms, "ms"),
        ("resume latency meanwhile, mean", found.resume_mean_ms, "ms"),
        ("resume latency meanwhile, p99", found.resume_p99_ms, "ms"),
        ("loads running at a death", found.loading_at_deaths_permille, "permille"),
    ):
        yield Figure(name=f"{label}, {name}", value=value, unit=unit, samples=found.bad)
