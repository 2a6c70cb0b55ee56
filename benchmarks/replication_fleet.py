"""Quotas with and without leases, simulated: 3, 40 and 200 gateways, 64 groups, faults in a payday burst.

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

# The burst lasts six tenths of a run, and the fault begins at three tenths.
DURATION_S_BY_FAULT = {"none": 24.0, "restart": 24.0, "lost": 24.0, "cut6": 24.0, "cut30": 60.0}
SIZES = (3, 40, 200)


def run(fault: str, gateways: int, seed: int, leased: bool) -> tuple[Score, dict[str, float]]:
    """Return the score of a run and its load of replication."""
    seconds = DURATION_S_BY_FAULT[fault]
    engine = ReplicatedFleetEngine(draw_run(replication_scenario(fault, gateways, seconds), seed), leased)
    engine.run()
    score = score_run(engine)
    load = {
        "frames": engine.frames / seconds, "bytes": engine.bytes / seconds,
        "operations": 100 * engine.operations / score.requests, "elections": engine.elections,
    }  # fmt: skip
    return score, load


def main() -> None:
    """Print the units beyond quotas and the load of replication by fleet and fault."""
    seeds = int(sys.argv[1]) if len(sys.argv) > 1 else 5
    jobs = [
        (fault, size, seed, leased)
        for size in reversed(SIZES) for fault in reversed(DURATION_S_BY_FAULT) for seed in range(1, seeds + 1)
        for leased in (True, False)
    ]  # fmt: skip
    begun = time.monotonic()
    results = dict(zip(jobs, Parallel(n_jobs=-1)(delayed(run)(*job) for job in jobs), strict=True))
    print(f"{len(jobs)} runs, seeds 1 to {seeds}, {time.monotonic() - begun:.0f} s; means with 95% intervals")
    for size in SIZES:
        for fault in DURATION_S_BY_FAULT:
            all_seeds = range(1, seeds + 1)
            rows = {
                enabled: [results[fault, size, seed, enabled] for seed in all_seeds]
                for enabled in (False, True)
            }
            over = {enabled: interval([score.over_quota for score, _ in rows[enabled]]) for enabled in rows}
            paired = zip(rows[True], rows[False], strict=True)
            reduction = interval(
                [without[0].over_quota - with_leases[0].over_quota for with_leases, without in paired]
            )
            print(
                f"{size:4} {fault:8} units beyond quotas: without {over[False].mean:.4f} "
                f"({over[False].low:.4f} to {over[False].high:.4f}), with leases {over[True].mean:.4f} "
                f"({over[True].low:.4f} to {over[True].high:.4f}); less by {reduction.mean:.4f} ("
                f"{reduction.low:.4f} to {reduction.high:.4f})"
            )
            load_by_figure = {key: [load[key] for _, load in rows[True]] for key in rows[True][0][1]}
            mean = {key: sum(values) / seeds for key, values in load_by_figure.items()}
            rejected = [
                sum(score.refused_with_room for score, _ in rows[enabled]) / seeds
                for enabled in (False, True)
            ]
            print(
                f"              frames/s {mean['frames']:.0f}, bytes/s {mean['bytes']:.0f}, operations per "
                f"100 requests {mean['operations']:.0f}, elections {mean['elections']:.0f}; rejected despite "
                f"capacity {rejected[0]:.3f} without, {rejected[1]:.3f} with"
            )


if __name__ == "__main__":
    main()
