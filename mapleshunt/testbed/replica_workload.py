"""What clients of replicas do: operations of every kind, one after another, each until it is answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..replicated_state import commands as w
from ..replicated_state.results import LeaseGranted
from .replica_client import ReplicaClient

CUSTOMERS = 4
RECORDS = 2
RATE, BURST = 5.0, 40.0
TERM = 1500.0  # ms of a lease
PAUSE_S = 0.002  # between two operations
KINDS = ("lease", "lease", "return", "count", "count", "read", "put", "reserve")


async def run_workload(caller: ReplicaClient, over: Callable[[], bool], pause: float = PAUSE_S) -> None:
    """Operations as a gateway would have them, until it is over."""
    chance = caller.chance
    await caller.do(w.OpenSession())
    leases: list[tuple[str, int, float]] = []
    versions: dict[str, int] = {}
    while not over():
        customer = f"c{chance.randrange(CUSTOMERS)}"
        match chance.choice(KINDS):
            case "lease":
                units = chance.choice([1.0, 5.0, 15.0])
                got = await caller.do(w.AcquireLease(customer, RATE, BURST, units, 1.0, TERM))
                if isinstance(got, LeaseGranted):
                    leases.append((customer, got.lease_id, got.units))
            case "return" if leases:
                whose, lease, units = leases.pop(0)
                await caller.do(w.ReturnLease(whose, lease, chance.uniform(0.0, units)))
            case "count":
                await caller.do(w.CountUsage(customer, float(chance.randint(1, 9))))
            case "read":
                await caller.read("store", customer)
            case "put":
                key, value = f"k{chance.randrange(RECORDS)}", f"{caller.name}-{caller.number}"
                result = await caller.do(w.SetRecord(key, value, versions.get(key, 0)))
                versions[key] = int(result.value) if not isinstance(result, LeaseGranted) else 0
            case "reserve":
                await caller.do(w.ReserveUnits(customer, f"{caller.name}-{caller.number}", 1.0, TERM))
        await asyncio.sleep(pause)


async def read_final_state(caller: ReplicaClient, patience: float) -> dict[str, Any]:
    """What stores and records hold in the end. Raises TimeoutError if one is not told within `patience` s."""
    found: dict[str, Any] = {}
    for number in range(CUSTOMERS):
        found[f"store c{number}"] = await asyncio.wait_for(caller.read("store", f"c{number}"), patience)
    for number in range(RECORDS):
        found[f"record k{number}"] = await asyncio.wait_for(caller.read("record", f"k{number}"), patience)
    return found
