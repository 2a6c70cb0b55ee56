"""Simulated replicas by seed, and how many seeds it takes to find each planted fault.

python -m benchmarks.replication_plays [RUNS] [MAX_SEEDS]
"""

from __future__ import annotations

import sys
import time

from joblib import Parallel, delayed

from mapleshunt.simulation.replication_planted_faults import PLANTED_FAULTS, run_seed

RUNS_PER_JOB = 100
MAX_VIOLATIONS_PRINTED = 20


def find_violations(first: int, end: int) -> list[tuple[int, str]]:
    """Return the seeds from `first` to before `end` whose runs violate an invariant, with the violation."""
    violations = []
    for seed in range(first, end):
        if violation := run_seed(seed):
            violations.append((seed, violation))
    return violations


def find_planted_fault(planted_fault: str, max_seeds: int) -> tuple[str, int | None, str]:
    """Return the first seed whose run finds a planted fault, with the violation; None if none does."""
    for seed in range(max_seeds):
        if violation := run_seed(seed, planted_fault):
            return planted_fault, seed, violation
    return planted_fault, None, ""


def main() -> None:
    """Print the first seed that finds each planted fault, and the violations without any."""
    runs, max_seeds = (int(argument) for argument in [*sys.argv[1:], "20000", "4000"][:2])
    searches = (delayed(find_planted_fault)(planted_fault, max_seeds) for planted_fault in PLANTED_FAULTS)
    for planted_fault, seed, violation in Parallel(n_jobs=-1)(searches):
        print(f"{planted_fault:24} seed {seed}: {violation[:70]}", flush=True)
    begun = time.monotonic()
    starts = range(0, runs, RUNS_PER_JOB)
    jobs = (delayed(find_violations)(start, min(runs, start + RUNS_PER_JOB)) for start in starts)
    violations = [violation for part in Parallel(n_jobs=-1)(jobs) for violation in part]
    elapsed = time.monotonic() - begun
    print(f"{runs} runs, seeds 0 to {runs - 1}: {len(violations)} violations, {elapsed:.0f} s")
    for seed, violation in violations[:MAX_VIOLATIONS_PRINTED]:
        print(f"  seed {seed}: {violation}")


if __name__ == "__main__":
    main()
