"""Cost of replication and its time of recovery, on real processes on this machine.

    python -m benchmarks.replication_cost

Measures the durable operations per second of one group on three gateways, and alternately the durable
batches per second of the store alone; and the time from the loss of a machine's disk until its replicas are
replaced, by number of customers.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import tempfile
import time
from concurrent.futures import ProcessPoolExecutor
from pathlib import Path

from mapleshunt.replicated_state import commands as state_commands
from mapleshunt.replication import messages
from mapleshunt.storage.durable_store import DurableStore
from mapleshunt.testbed.faults.process_faults import ProcessFaults
from mapleshunt.testbed.faults.replicated_fleet import FLEET_NAME, ReplicatedFleet, replicas_only_config
from mapleshunt.testbed.replica_client import Address, ReplicaClient

SESSIONS = 64  # at once
PROCESSES = 4  # for the sessions; a single one is slower than the gateways
DURATION_S = 4.0
ROUNDS = 3


def measure_bare_store(folder: Path, commit_delay_s: float) -> float:
    """Return the durable batches of one entry per second, with a delay added to each commit."""
    store = DurableStore(folder, "bare", "a")
    store.create(0, messages.Snapshot(0, 0, 0.0, messages.Members(("a/1",)), b""))
    begun, count = time.perf_counter(), 0
    while time.perf_counter() - begun < DURATION_S / 2:
        count += 1
        time.sleep(commit_delay_s)
        store.commit([(0, messages.Write(count, 1, "a/1", (messages.Entry(count, 1, 0.0, b"x" * 100),)))])
    rate = count / (time.perf_counter() - begun)
    store.close()
    return rate


def run_sessions(addresses: dict[str, Address], first: int, count: int) -> list[float]:
    """Run that many sessions at once in this process; return the duration of each operation (s)."""

    async def run() -> list[float]:
        end = time.perf_counter() + DURATION_S
        clients = [
            ReplicaClient(f"s{number}", addresses, FLEET_NAME, 0, [], time.monotonic, random.Random(number))
            for number in range(first, first + count)
        ]
        results = await asyncio.gather(*(count_until(client, end, "c") for client in clients))
        return [duration_s for result in results for duration_s in result]

    return asyncio.run(run())


async def count_until(client: ReplicaClient, until: float, prefix: str) -> list[float]:
    """Count usage of new customers until that time; return the duration of each operation (s)."""
    durations_s: list[float] = []
    await client.execute(state_commands.OpenSession())
    while time.perf_counter() < until:
        begun = time.perf_counter()
        await client.execute(state_commands.CountUsage(f"{prefix}{client.operations}-{client.name}", 1.0))
        durations_s.append(time.perf_counter() - begun)
    return durations_s


async def measure_rates(folder: Path, pool: ProcessPoolExecutor, commit_delay_s: float) -> None:
    """Print the rates of the bare store and of a group in alternating rounds."""
    print(f"{1000 * commit_delay_s:g} ms added to each commit of this disk")
    for round_number in range(ROUNDS):
        bare_rate = measure_bare_store(folder / f"bare{round_number}", commit_delay_s)
        fleet = ReplicatedFleet(folder / f"fleet{round_number}", replicas_only_config(), 3, 1, 3)
        try:
            await fleet.start()
            for machine in fleet.machines.values():
                machine.set_faults(ProcessFaults(commit_delay_s=commit_delay_s))
            addresses = {name: machine.address for name, machine in fleet.machines.items()}
            loop = asyncio.get_running_loop()
            results = await asyncio.gather(*(
                loop.run_in_executor(pool, run_sessions, addresses, number * SESSIONS, SESSIONS // PROCESSES)
                for number in range(PROCESSES)
            ))  # fmt: skip
            durations_s = [duration_s for result in results for duration_s in result]
            alone = await count_until(fleet.client(999), time.perf_counter() + DURATION_S / 2, "a")
        finally:
            await fleet.stop()
        rate = len(durations_s) / DURATION_S
        median, single = 1000 * statistics.median(durations_s), 1000 * statistics.median(alone)
        print(
            f"round {round_number}: bare batches {bare_rate:.0f}/s; "
            f"operations {rate:.0f}/s ({rate / bare_rate:.2f} of bare)"
        )
        print(f"  {SESSIONS} sessions, median {median:.1f} ms; one session {single:.1f} ms", flush=True)


async def measure_recovery(folder: Path) -> None:
    """Print the time from a lost disk until the fleet has settled, by number of customers."""
    for customers in (100, 2000, 10_000):
        fleet = ReplicatedFleet(folder / f"size{customers}", replicas_only_config(), 4, 1, 3)
        try:
            await fleet.start()
            clients = [fleet.client(number) for number in range(SESSIONS)]

            async def fill(client: ReplicaClient, count: int) -> None:
                await client.execute(state_commands.OpenSession())
                for _ in range(count):
                    await client.execute(state_commands.CountUsage(f"{client.name}-{client.operations}", 1.0))

            await asyncio.gather(*(fill(client, customers // SESSIONS + 1) for client in clients))
            leader = await fleet.wait_for_leader()
            (status,) = (await fleet.statuses())[leader.name]["groups"]
            voters = {messages.gateway_of(voter) for voter in status["voters"]}
            follower = next(
                machine
                for name, machine in fleet.machines.items()
                if machine is not leader and name in voters
            )
            begun = time.perf_counter()
            follower.lose_store()
            follower.start()
            await fleet.wait_until_settled(60.0)
            duration_s = time.perf_counter() - begun
            print(f"{customers} customers: settled {duration_s:.2f} s after a disk was lost", flush=True)
        finally:
            await fleet.stop()


def main() -> None:
    """Measure with and without a delay of commits, then the recovery."""
    with tempfile.TemporaryDirectory(dir="/var/tmp") as folder:
        with ProcessPoolExecutor(PROCESSES) as pool:
            for commit_delay_s in (0.0, 0.002):
                asyncio.run(measure_rates(Path(folder) / f"slow{commit_delay_s}", pool, commit_delay_s))
        asyncio.run(measure_recovery(Path(folder)))


if __name__ == "__main__":
    main()
