"""Schedules of faults on real gateways with copies, several beside each other.

python -m benchmarks.replication_faults [SCHEDULES] [AT_ONCE] [FAULTS]
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from mapleshunt.testbed.faults.replicated_fleet import ReplicatedFleet, replicas_only_config
from mapleshunt.testbed.faults.report import FaultReport
from mapleshunt.testbed.faults.schedule import FaultScheduleRun

ELECTION = 500.0  # ms


def one(seed: int, faults: int) -> FaultReport:
    """3, 5, 7 or 9 gateways by seed; a group of three or five."""
    gateways = (3, 5, 7, 9)[seed % 4]
    with tempfile.TemporaryDirectory() as folder:
        size = 5 if gateways >= 5 and seed % 8 > 3 else 3
        fleet = ReplicatedFleet(
            Path(folder), replicas_only_config(), gateways, seed, size, election_ms=ELECTION
        )
        report = asyncio.run(FaultScheduleRun(fleet).run(faults))
        if report.broken:
            keep = Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
            for machine in fleet.machines.values():
                log = machine.log
                (keep / machine.name).write_bytes(log.read_bytes() if log.exists() else b"")
        return report


def main() -> None:
    schedules, at_once, faults = (int(text) for text in [*sys.argv[1:], "200", "3", "5"][:3])
    with ProcessPoolExecutor(at_once) as pool:
        reports = list(pool.map(one, range(schedules), [faults] * schedules))
    broken = [one for one in reports if one.broken]
    left = sorted(s for one in reports for s in one.leaderless_s)
    print(f"schedules {schedules}, seeds 0 to {schedules - 1}, {faults} faults each, {at_once} at once")
    print(f"gateways 3, 5, 7, 9 by seed; broken {len(broken)}")
    calls = sum(sum(one.calls.values()) for one in reports)
    print(f"calls {calls}, repeated {sum(one.repeats for one in reports)}")
    if left:
        print(f"kills of a leader {len(left)}; without one, in elections of {ELECTION:g} ms: median "
              f"{1000 * statistics.median(left) / ELECTION:.2f}, 99 in 100 "
              f"{1000 * left[int(0.99 * (len(left) - 1))] / ELECTION:.2f}")  # fmt: skip
    for each in broken:
        print(f"seed {each.seed}: {each.faults}: {each.broken[0]}")


if __name__ == "__main__":
    main()
