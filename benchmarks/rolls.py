"""Maintenance of all machines of a real fleet under faults, several fleets at the same time.

python -m benchmarks.rolls [RUNS] [AT_ONCE] [FAULTS]
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


def run_maintenance(seed: int, faults: int) -> tuple[RollingMaintenanceReport, int]:
    """Work on all machines of 5, 7 or 9 gateways by seed; return the report and the number of gateways."""
    gateways = (5, 5, 7, 9)[seed % 4]
    with tempfile.TemporaryDirectory() as folder:
        fleet = ReplicatedFleet(Path(folder), replicas_only_config(), gateways, seed, election_ms=500.0)
        report = asyncio.run(RollingMaintenanceRun(fleet).run(faults=faults))
        if report.violations:
            log_folder = Path(tempfile.mkdtemp(prefix=f"rolls-{seed}-"))
            for machine in fleet.machines.values():
                log = machine.log
                (log_folder / machine.name).write_bytes(log.read_bytes() if log.exists() else b"")
        return report, gateways


def main() -> None:
    """Run the fleets and print what they found."""
    runs, at_once, faults = (int(text) for text in [*sys.argv[1:], "100", "4", "3"][:3])
    with ProcessPoolExecutor(at_once) as pool:
        results = list(pool.map(run_maintenance, range(runs), [faults] * runs))
    broken = [(seed, report) for seed, (report, _) in enumerate(results) if report.violations]
    print(f"runs {runs}, seeds 0 to {runs - 1}, {faults} faults each, {at_once} at once")
    max_drained = max(report.most_drained for report, _ in results)
    print(f"gateways 5, 7, 9 by seed; with violations {len(broken)}; drained at once {max_drained} at most")
    for size in (5, 7, 9):
        durations_s = [report.seconds for report, gateways in results if gateways == size]
        if durations_s:
            print(
                f"{size} gateways: median duration {statistics.median(durations_s):.0f} s, "
                f"{max(durations_s):.0f} s at most"
            )
    for seed, report in broken:
        print(f"seed {seed}: {report.faults}: {report.violations[0][:400]}")


if __name__ == "__main__":
    main()
