"""Admission control under overload in model time, compared with admitting everything."""

from collections.abc import Iterator

from nutmegdrum_testing.bench.figures import Figure, Sizes
from nutmegdrum_testing.bench.overload import Overload

LOADS = (0.5, 1.0, 2.0, 4.0)


def measure(sizes: Sizes) -> Iterator[Figure]:
    """Yield goodput and shares at each load, and goodput as a ratio to admitting everything."""
    for load in LOADS:
        ours = Overload(load).run()
        base = Overload(load, admits_all=True).run()
        note = "model time; share of what the engines can make"
        yield Figure(name=f"goodput, {load}x", value=ours.goodput, unit="share", note=note)
        yield Figure(
            name=f"goodput against admitting all, {load}x",
            value=ours.goodput / base.goodput,
            unit="ratio",
        )
        for priority, share in ours.in_time.items():
            yield Figure(name=f"in time, {priority}, {load}x", value=share, unit="share")
        shares = ours.small_in_time / ours.large_in_time if ours.large_in_time else None
        yield Figure(
            name=f"small workspaces in time against large, {load}x", value=shares, unit="ratio"
        )
        yield Figure(
            name=f"longest wait before a refusal, {load}x", value=ours.worst_wait_ms, unit="ms"
        )
