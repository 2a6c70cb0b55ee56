"""What copies cost and how soon they are whole again, on real processes on this machine.

    python -m benchmarks.replication_cost

Durable operations a second of one group on three gateways, beside the store's bare durable batches in the
same run, alternating; and the time from a machine's loss with its disk until its place is taken, by size.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from mapleshunt.replicated_state import commands as w
from mapleshunt.replication import messages as m
from mapleshunt.storage.durable_store import DurableStore
from mapleshunt.testbed.faults.process_faults import ProcessFaults
from mapleshunt.testbed.faults.replicated_fleet import FLEET_NAME, ReplicatedFleet, replicas_only_config
from mapleshunt.testbed.replica_client import Address, ReplicaClient

AT_ONCE = 64  # sessions
PROCESSES = 4  # that the sessions are in: one alone is slower than the gateways
SECONDS = 4.0
ROUNDS = 3


def bare(folder: Path, slow: float) -> float:
    """Durable batches of one entry a second, each `slow` s slower than the disk is."""
    disk = DurableStore(folder, "bare", "a")
    disk.create(0, m.Snapshot(0, 0, 0.0, m.Members(("a/1",)), b""))
    begun, count = time.perf_counter(), 0
    while time.perf_counter() - begun < SECONDS / 2:
        count += 1
        time.sleep(slow)
        disk.commit([(0, m.Write(count, 1, "a/1", (m.Entry(count, 1, 0.0, b"x" * 100),)))])
    rate = count / (time.perf_counter() - begun)
    disk.close()
    return rate


def sessions(where: dict[str, Address], first: int, count: int) -> list[float]:
    """So many sessions at once, in a process of their own: what each operation took, s."""

    async def run() -> list[float]:
        end = time.perf_counter() + SECONDS
        some = [
            ReplicaClient(f"s{n}", where, FLEET_NAME, 0, [], time.monotonic, random.Random(n))
            for n in range(first, first + count)
        ]
        parts = await asyncio.gather(*(count_up(one, end, "c") for one in some))
        return [one for part in parts for one in part]

    return asyncio.run(run())


async def count_up(caller: ReplicaClient, until: float, prefix: str) -> list[float]:
    took: list[float] = []
    await caller.execute(w.OpenSession())
    while time.perf_counter() < until:
        begun = time.perf_counter()
        await caller.execute(w.CountUsage(f"{prefix}{caller.operations}-{caller.name}", 1.0))
        took.append(time.perf_counter() - begun)
    return took


async def rates(folder: Path, pool: ProcessPoolExecutor, slow: float) -> None:
    print(f"commits {1000 * slow:g} ms slower than this disk's")
    for turn in range(ROUNDS):
        raw = bare(folder / f"bare{turn}", slow)
        fleet = ReplicatedFleet(folder / f"fleet{turn}", replicas_only_config(), 3, 1, 3)
        try:
            await fleet.start()
            for machine in fleet.machines.values():
                machine.set_faults(ProcessFaults(commit_delay_s=slow))
            where = {name: machine.address for name, machine in fleet.machines.items()}
            loop = asyncio.get_running_loop()
            parts = await asyncio.gather(*(
                loop.run_in_executor(pool, sessions, where, number * AT_ONCE, AT_ONCE // PROCESSES)
                for number in range(PROCESSES)
            ))  # fmt: skip
            took = [one for part in parts for one in part]
            alone = await count_up(fleet.client(999), time.perf_counter() + SECONDS / 2, "a")
        finally:
            await fleet.stop()
        rate = len(took) / SECONDS
        median, single = 1000 * statistics.median(took), 1000 * statistics.median(alone)
        print(f"round {turn}: bare batches {raw:.0f}/s; operations {rate:.0f}/s ({rate / raw:.2f} of bare)")
        print(f"  {AT_ONCE} sessions, median {median:.1f} ms; one alone {single:.1f} ms", flush=True)


async def recovery(folder: Path) -> None:
    for customers in (100, 2000, 10_000):
        fleet = ReplicatedFleet(folder / f"size{customers}", replicas_only_config(), 4, 1, 3)
        try:
            await fleet.start()
            some = [fleet.client(number) for number in range(AT_ONCE)]

            async def fill(caller: ReplicaClient, count: int) -> None:
                await caller.execute(w.OpenSession())
                for _ in range(count):
                    await caller.execute(w.CountUsage(f"{caller.name}-{caller.operations}", 1.0))

            await asyncio.gather(*(fill(one, customers // AT_ONCE + 1) for one in some))
            leader = await fleet.wait_for_leader()
            (status,) = (await fleet.statuses())[leader.name]["groups"]
            voters = {m.gateway_of(one) for one in status["voters"]}
            other = next(one for name, one in fleet.machines.items() if one is not leader and name in voters)
            begun = time.perf_counter()
            other.lose_store()
            other.start()
            await fleet.wait_until_settled(60.0)
            took = time.perf_counter() - begun
            print(f"{customers} customers: whole again {took:.2f} s after a disk was lost", flush=True)
        finally:
            await fleet.stop()


def main() -> None:
    with tempfile.TemporaryDirectory(dir="/var/tmp") as text:
        with ProcessPoolExecutor(PROCESSES) as pool:
            for slow in (0.0, 0.002):
                asyncio.run(rates(Path(text) / f"slow{slow}", pool, slow))
        asyncio.run(recovery(Path(text)))


if __name__ == "__main__":
    main()
