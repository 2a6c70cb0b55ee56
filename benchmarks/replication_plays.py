"""Plays of replicas by seed, and how many it takes to find each planted fault.

python -m benchmarks.replication_plays [PLAYS] [MOST]
"""

from __future__ import annotations

import sys
import time

from joblib import Parallel, delayed

from mapleshunt.simulation.replication_planted_faults import PLANTED_FAULTS, run_seed

PLAYS_PER_JOB = 100
MAX_VIOLATIONS_PRINTED = 20


def find_violations(first: int, end: int) -> list[tuple[int, str]]:
    """The seeds from `first` to before `end` whose plays violate an invariant, with the violation."""
    violations = []
    for seed in range(first, end):
        if violation := run_seed(seed):
            violations.append((seed, violation))
    return violations


def find_planted_fault(plant: str, max_seeds: int) -> tuple[str, int | None, str]:
    """The first seed whose play finds a planted fault, with the violation; None if none does."""
    for seed in range(max_seeds):
        if violation := run_seed(seed, plant):
            return plant, seed, violation
    return plant, None, ""


def main() -> None:
    plays, max_seeds = (int(argument) for argument in [*sys.argv[1:], "20000", "4000"][:2])
    hunts = (delayed(find_planted_fault)(plant, max_seeds) for plant in PLANTED_FAULTS)
    for plant, seed, violation in Parallel(n_jobs=-1)(hunts):
        print(f"{plant:24} seed {seed}: {violation[:70]}", flush=True)
    begun = time.monotonic()
    starts = range(0, plays, PLAYS_PER_JOB)
    jobs = (delayed(find_violations)(start, min(plays, start + PLAYS_PER_JOB)) for start in starts)
    violations = [violation for part in Parallel(n_jobs=-1)(jobs) for violation in part]
    elapsed = time.monotonic() - begun
    print(f"{plays} plays, seeds 0 to {plays - 1}: {len(violations)} broken, {elapsed:.0f} s")
    for seed, violation in violations[:MAX_VIOLATIONS_PRINTED]:
        print(f"  seed {seed}: {violation}")


if __name__ == "__main__":
    main()
