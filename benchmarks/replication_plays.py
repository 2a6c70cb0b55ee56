"""Plays of copies by seed, and how many each planted fault takes to be found.

python -m benchmarks.replication_plays [PLAYS] [MOST]
"""

from __future__ import annotations

import sys
import time

from joblib import Parallel, delayed

from mapleshunt.simulation.replication_planted_faults import PLANTS, play


def some(first: int, end: int) -> list[tuple[int, str]]:
    return [(seed, said) for seed in range(first, end) if (said := play(seed))]


def hunt(plant: str, most: int) -> tuple[str, int | None, str]:
    for seed in range(most):
        if said := play(seed, plant):
            return plant, seed, said
    return plant, None, ""


def main() -> None:
    plays, most = (int(one) for one in [*sys.argv[1:], "20000", "4000"][:2])
    for plant, seed, said in Parallel(n_jobs=-1)(delayed(hunt)(plant, most) for plant in PLANTS):
        print(f"{plant:24} seed {seed}: {said[:70]}", flush=True)
    begun, step = time.monotonic(), 100
    parts = Parallel(n_jobs=-1)(delayed(some)(at, min(plays, at + step)) for at in range(0, plays, step))
    broken = [one for part in parts for one in part]
    print(f"{plays} plays, seeds 0 to {plays - 1}: {len(broken)} broken, {time.monotonic() - begun:.0f} s")
    for seed, said in broken[:20]:
        print(f"  seed {seed}: {said}")


if __name__ == "__main__":
    main()
