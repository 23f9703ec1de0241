"""Measure of the rollout table, for the table of all measures."""

from collections.abc import Iterator

from nutmegdrum.settings import Weigh

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.bench.rollout_faults import CASES, NO_SLACK
from nutmegdrum_testing.bench.rollouts import SEEDS, Outcome, run_table, summarise


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield the shares of both kinds of error and their costs, under both weights."""
    seeds = range(sizes.pick(len(SEEDS), 1))
    outcomes = run_table(CASES, seeds)
    for weigh in Weigh:
        yield from _figures(outcomes, weigh)


def _figures(outcomes: list[Outcome], weigh: Weigh) -> Iterator[Figure]:
    tight = [row for row in outcomes if row.weigh is weigh and row.case == NO_SLACK.name]
    summary = summarise([row for row in outcomes if row.case != NO_SLACK.name], weigh)
    note = f"{summary.bad} bad and {summary.good} good versions, model time"
    name = weigh.value
    taken_back = summary.taken_back / summary.bad
    in_time = summary.good_in_time / summary.good
    yield Figure(
        name=f"bad versions taken back, {name}",
        value=taken_back,
        unit="share",
        samples=summary.bad,
        bound="bad-taken-back",
        note=note,
    )
    yield Figure(
        name=f"good versions in time, {name}",
        value=in_time,
        unit="share",
        samples=summary.good,
        bound="good-in-time",
        note=note,
    )
    yield Figure(
        name=f"good versions in time without slack, {name}",
        value=sum(row.in_time for row in tight) / len(tight),
        unit="share",
        samples=len(tight),
        note=NO_SLACK.name,
    )
    for label, value, unit in (
        ("good versions taken back", summary.good_taken_back, "versions"),
        ("requests from fault on, median", summary.after_fault_median, "requests"),
        ("requests from fault on, most", summary.after_fault_max, "requests"),
        ("last request after a stop", summary.stop_max_ms, "ms"),
        ("resume latency in model time, mean", summary.resume_mean_ms, "ms"),
        ("loads running at a death", summary.loading_at_deaths_permille, "permille"),
    ):
        yield Figure(name=f"{label}, {name}", value=value, unit=unit, note=note)
