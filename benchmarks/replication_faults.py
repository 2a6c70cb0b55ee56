"""Fault schedules on real gateways with replicas, several fleets at the same time.

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

ELECTION_MS = 500.0


def run_schedule(seed: int, faults: int) -> FaultReport:
    """Run a schedule on 3, 5, 7 or 9 gateways by seed, with a group of three or five replicas."""
    gateways = (3, 5, 7, 9)[seed % 4]
    with tempfile.TemporaryDirectory() as folder:
        size = 5 if gateways >= 5 and seed % 8 > 3 else 3
        fleet = ReplicatedFleet(
            Path(folder), replicas_only_config(), gateways, seed, size, election_ms=ELECTION_MS
        )
        report = asyncio.run(FaultScheduleRun(fleet).run(faults))
        if report.broken:
            log_folder = Path(tempfile.mkdtemp(prefix=f"faults-{seed}-"))
            for machine in fleet.machines.values():
                log = machine.log
                (log_folder / machine.name).write_bytes(log.read_bytes() if log.exists() else b"")
        return report


def main() -> None:
    """Run the schedules and print what they found."""
    schedules, at_once, faults = (int(text) for text in [*sys.argv[1:], "200", "3", "5"][:3])
    with ProcessPoolExecutor(at_once) as pool:
        reports = list(pool.map(run_schedule, range(schedules), [faults] * schedules))
    broken = [report for report in reports if report.broken]
    leaderless_s = sorted(duration_s for report in reports for duration_s in report.leaderless_s)
    print(f"schedules {schedules}, seeds 0 to {schedules - 1}, {faults} faults each, {at_once} at once")
    print(f"gateways 3, 5, 7, 9 by seed; with violations {len(broken)}")
    calls = sum(sum(report.calls.values()) for report in reports)
    print(f"calls {calls}, repeated {sum(report.repeats for report in reports)}")
    if leaderless_s:
        print(f"kills of a leader {len(leaderless_s)}; "
              f"time without one, in elections of {ELECTION_MS:g} ms: median "
              f"{1000 * statistics.median(leaderless_s) / ELECTION_MS:.2f}, 99th percentile "
              f"{1000 * leaderless_s[int(0.99 * (len(leaderless_s) - 1))] / ELECTION_MS:.2f}")  # fmt: skip
    for report in broken:
        print(f"seed {report.seed}: {report.faults}: {report.broken[0]}")


if __name__ == "__main__":
    main()
