"""Run the soak: `python -m nutmegdrum_testing.soak --seeds 1-50`."""

import argparse
import random
import secrets
import sys
from contextlib import nullcontext
from pathlib import Path

from nutmegdrum_testing.processes import Processes
from nutmegdrum_testing.soak.faults import CHANGES, Faults
from nutmegdrum_testing.soak.world import ENTRIES, SoakWorld

FAULTS_S = 8.0
CHANGES_S = 5.0
"""Duration of all faults, and of silences beside changes after them."""

FRESH_SEED_BITS = 31


def play(
    seed: int,
    seconds: float = FAULTS_S,
    entries: int = ENTRIES,
    other_build: Path | None = None,
    silences: bool = False,
    stops: bool = False,
) -> list[str]:
    """Play one seed and return the problems found; if there are any, the logs are kept.

    Parameters
    ----------
    seconds : float
        Duration of the faults in s.
    entries : int
        Number of entry daemons.
    other_build : Path or None
        Checkout of another build, which some starts of daemons take.
    silences : bool
        Whether sound backend servers fall silent beside the faults, and once more beside changes
        and restarts after them.
    stops : bool
        Whether planned work, above all stops of entry daemons, is played in place of all faults.
    """
    with Processes() as processes:
        world = SoakWorld(seed, processes, entries, other_build, silences, stops)
        problems = world.callers.problems
        faults = Faults(world, random.Random(seed + 2))
        try:
            world.start()
            if stops:
                _play_stops(world, seconds)
            else:
                _play_faults(world, faults, seconds, silences)
        except Exception as exc:
            problems.append(f"the soak was aborted: {exc!r}")
        outcomes = dict(sorted(world.callers.outcomes.items()))
        print(
            f"seed {seed}: {len(problems)} problems; {len(faults.injected)} faults; "
            f"{world.stops.summary(world.engines) if stops else world.silences.summary()}; "
            f"{world.starts()}; roll-outs {world.roll_outs.results}; {outcomes}"
        )
        if problems:
            print(f"  faults: {faults.injected}\n  logs: {world.folder}")
        for problem in problems[:10]:
            print(f"  {problem}")
        world.close(keep=bool(problems))
    return problems


def _play_faults(world: SoakWorld, faults: Faults, seconds: float, silences: bool) -> None:
    with world.silences.running() if silences else nullcontext():
        faults.run(seconds)
    world.check_recovery()
    if silences:
        with world.silences.running():
            faults.run(CHANGES_S, CHANGES)
    world.callers.stop()
    world.callers.check_runs()
    world.callers.problems.extend(world.silences.problems(world.replaced_at_s))


def _play_stops(world: SoakWorld, seconds: float) -> None:
    world.stops.run(seconds)
    world.check_after_stops()
    world.callers.stop()
    world.callers.check_runs()
    world.callers.problems.extend(world.stops.problems(world.engines))


def _seeds(text: str) -> list[int]:
    first, _, last = text.partition("-")
    return list(range(int(first), int(last or first) + 1))


def main() -> None:
    """Play the seeds and exit with status 1 if any had a problem."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=_seeds, default=[], help="one seed, or FIRST-LAST")
    parser.add_argument("--fresh", type=int, default=0, help="number of random seeds in addition")
    parser.add_argument(
        "--seconds", type=float, default=FAULTS_S, help="duration of the faults of each seed"
    )
    parser.add_argument(
        "--entries", type=int, default=ENTRIES, help="number of entry daemons of each seed"
    )
    parser.add_argument(
        "--other-build",
        type=Path,
        metavar="DIR",
        help="checkout of another build, installed there, that half of the daemons' starts take",
    )
    parser.add_argument(
        "--silences", action="store_true", help="let sound backend servers fall silent"
    )
    parser.add_argument(
        "--stops", action="store_true", help="play planned work only, and check stops"
    )
    args = parser.parse_args()
    seeds = args.seeds + [secrets.randbits(FRESH_SEED_BITS) for _ in range(args.fresh)]
    failed = [
        seed
        for seed in seeds
        if play(seed, args.seconds, args.entries, args.other_build, args.silences, args.stops)
    ]
    print(f"{len(seeds)} seeds, failed: {failed or 'none'}")
    sys.exit(bool(failed))


if __name__ == "__main__":
    main()
