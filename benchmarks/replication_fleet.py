"""Quotas with copies and without, in the model: 3, 40 and 200 gateways, 64 groups, faults in a payday burst.

python -m benchmarks.replication_fleet [SEEDS]
"""

from __future__ import annotations

import sys
import time

from joblib import Parallel, delayed

from mapleshunt.simulation.day import draw_run
from mapleshunt.simulation.replicated_fleet import ReplicatedFleetEngine
from mapleshunt.simulation.replication_scenarios import replication_scenario
from mapleshunt.simulation.score import Score, score_run
from mapleshunt.simulation.stats import interval

# Seconds by trouble: the burst lasts six tenths of them, and what breaks begins at three tenths.
TROUBLES = {"none": 24.0, "restart": 24.0, "lost": 24.0, "cut6": 24.0, "cut30": 60.0}
SIZES = (3, 40, 200)


def play(what: str, gateways: int, seed: int, leased: bool) -> tuple[Score, dict[str, float]]:
    seconds = TROUBLES[what]
    engine = ReplicatedFleetEngine(draw_run(replication_scenario(what, gateways, seconds), seed), leased)
    engine.run()
    found = score_run(engine)
    load = {
        "frames": engine.frames / seconds, "bytes": engine.bytes / seconds,
        "operations": 100 * engine.operations / found.requests, "elections": engine.elections,
    }  # fmt: skip
    return found, load


def main() -> None:
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    jobs = [
        (what, size, seed, leased)
        for size in reversed(SIZES) for what in reversed(TROUBLES) for seed in range(1, seeds + 1)
        for leased in (True, False)
    ]  # fmt: skip
    begun = time.monotonic()
    done = dict(zip(jobs, Parallel(n_jobs=-1)(delayed(play)(*job) for job in jobs), strict=True))
    print(f"{len(jobs)} days, seeds 1 to {seeds}, {time.monotonic() - begun:.0f} s; means with 95% intervals")
    for size in SIZES:
        for what in TROUBLES:
            all_seeds = range(1, seeds + 1)
            rows = {one: [done[what, size, seed, one] for seed in all_seeds] for one in (False, True)}
            over = {one: interval([found.over_quota for found, _ in rows[one]]) for one in rows}
            paired = zip(rows[True], rows[False], strict=True)
            less = interval([b[0].over_quota - a[0].over_quota for a, b in paired])
            print(
                f"{size:4} {what:8} units beyond quotas: without {over[False].mean:.4f} "
                f"({over[False].low:.4f} to {over[False].high:.4f}), with copies {over[True].mean:.4f} "
                f"({over[True].low:.4f} to {over[True].high:.4f}); less by {less.mean:.4f} ("
                f"{less.low:.4f} to {less.high:.4f})"
            )
            of = {key: [load[key] for _, load in rows[True]] for key in rows[True][0][1]}
            mean = {key: sum(values) / seeds for key, values in of.items()}
            room = [sum(found.refused_with_room for found, _ in rows[one]) / seeds for one in (False, True)]
            print(
                f"              frames/s {mean['frames']:.0f}, bytes/s {mean['bytes']:.0f}, operations for "
                f"100 requests {mean['operations']:.0f}, elections {mean['elections']:.0f}; refused with "
                f"room {room[0]:.3f} without, {room[1]:.3f} with"
            )


if __name__ == "__main__":
    main()
