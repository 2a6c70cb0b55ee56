"""Work on all machines of a real fleet, with faults in the middle, several fleets beside each other.

python -m benchmarks.rolls [SCHEDULES] [AT_ONCE] [STRIKES]
"""

from __future__ import annotations

import asyncio
import statistics
import sys
import tempfile
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from mapleshunt.testbed.faults.replicated_fleet import ReplicatedFleet, replicas_only_config
from mapleshunt.testbed.rolling_maintenance import RollingMaintenanceReport, RollingMaintenanceRun


def one(seed: int, strikes: int) -> tuple[RollingMaintenanceReport, int]:
    """5, 7 or 9 gateways by seed."""
    gateways = (5, 5, 7, 9)[seed % 4]
    with tempfile.TemporaryDirectory() as folder:
        fleet = ReplicatedFleet(Path(folder), replicas_only_config(), gateways, seed, election_ms=500.0)
        roll = asyncio.run(RollingMaintenanceRun(fleet).run(faults=strikes))
        if roll.violations:
            keep = Path(tempfile.mkdtemp(prefix=f"rolls-{seed}-"))
            for machine in fleet.machines.values():
                log = machine.log
                (keep / machine.name).write_bytes(log.read_bytes() if log.exists() else b"")
        return roll, gateways


def main() -> None:
    schedules, at_once, strikes = (int(text) for text in [*sys.argv[1:], "100", "4", "3"][:3])
    with ProcessPoolExecutor(at_once) as pool:
        rolls = list(pool.map(one, range(schedules), [strikes] * schedules))
    broken = [(seed, roll) for seed, (roll, _) in enumerate(rolls) if roll.violations]
    print(f"schedules {schedules}, seeds 0 to {schedules - 1}, {strikes} strikes each, {at_once} at once")
    most = max(roll.most_drained for roll, _ in rolls)
    print(f"gateways 5, 7, 9 by seed; broken {len(broken)}; most out by plan {most}")
    for size in (5, 7, 9):
        took = [roll.seconds for roll, gateways in rolls if gateways == size]
        if took:
            print(f"{size} gateways: a roll took {statistics.median(took):.0f} s, {max(took):.0f} at most")
    for seed, roll in broken:
        print(f"seed {seed}: {roll.faults}: {roll.violations[0][:400]}")


if __name__ == "__main__":
    main()
