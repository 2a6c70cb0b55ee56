"""The workload of a client of replicas: operations of every kind, one at a time, each until answered."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from ..replicated_state import commands
from ..replicated_state.results import LeaseGranted
from .replica_client import ReplicaClient

CUSTOMERS = 4
RECORDS = 2
RATE, BURST = 5.0, 40.0  # units/s and units, of each customer's token bucket
LEASE_TERM_MS = 1500.0
LEASE_UNITS = (1.0, 5.0, 15.0)
MAX_COUNTED_UNITS = 9
PAUSE_S = 0.002  # between two operations
KINDS = (
    "lease",
    "lease",
    "return",
    "count",
    "count",
    "read",
    "put",
    "reserve",
)  # drawn uniformly: repeated entries are likelier


class ReplicaWorkload:
    """The operations of one client, drawn from its own random numbers."""

    def __init__(self, client: ReplicaClient) -> None:
        self._client, self._rng = client, client.rng
        self._leases: list[
            tuple[str, int, float]
        ] = []  # customer, lease id and units of each not returned yet
        self._versions: dict[str, int] = {}  # of records, as last known

    async def run(self, ended: Callable[[], bool], pause_s: float) -> None:
        """Open the session, then execute operations until the run has ended."""
        await self._client.execute(commands.OpenSession())
        while not ended():
            customer = f"c{self._rng.randrange(CUSTOMERS)}"
            await self._operate(self._rng.choice(KINDS), customer)
            await asyncio.sleep(pause_s)

    async def _operate(self, kind: str, customer: str) -> None:
        match kind:
            case "lease":
                await self._acquire_lease(customer)
            case "return" if self._leases:
                await self._return_oldest_lease()
            case "count":
                units = float(self._rng.randint(1, MAX_COUNTED_UNITS))
                await self._client.execute(commands.CountUsage(customer, units))
            case "read":
                await self._client.read("store", customer)
            case "put":
                await self._set_record()
            case "reserve":
                operation = commands.ReserveUnits(customer, self._unique_name(), 1.0, LEASE_TERM_MS)
                await self._client.execute(operation)

    def _unique_name(self) -> str:
        return f"{self._client.name}-{self._client.operations}"

    async def _acquire_lease(self, customer: str) -> None:
        units = self._rng.choice(LEASE_UNITS)
        operation = commands.AcquireLease(customer, RATE, BURST, units, 1.0, LEASE_TERM_MS)
        result = await self._client.execute(operation)
        if isinstance(result, LeaseGranted):
            self._leases.append((customer, result.lease_id, result.units))

    async def _return_oldest_lease(self) -> None:
        customer, lease_id, units = self._leases.pop(0)
        await self._client.execute(commands.ReturnLease(customer, lease_id, self._rng.uniform(0.0, units)))

    async def _set_record(self) -> None:
        key, value = f"k{self._rng.randrange(RECORDS)}", self._unique_name()
        result = await self._client.execute(commands.SetRecord(key, value, self._versions.get(key, 0)))
        self._versions[key] = int(result.value) if not isinstance(result, LeaseGranted) else 0


async def run_workload(client: ReplicaClient, ended: Callable[[], bool], pause_s: float = PAUSE_S) -> None:
    """Execute operations until the run has ended. If cancelled, the last one may have no answer."""
    await ReplicaWorkload(client).run(ended, pause_s)


async def read_final_state(client: ReplicaClient, timeout_s: float) -> dict[str, Any]:
    """Return what the token buckets and records hold; raises `TimeoutError` if a read takes longer."""
    state: dict[str, Any] = {}
    for number in range(CUSTOMERS):
        state[f"store c{number}"] = await asyncio.wait_for(client.read("store", f"c{number}"), timeout_s)
    for number in range(RECORDS):
        state[f"record k{number}"] = await asyncio.wait_for(client.read("record", f"k{number}"), timeout_s)
    return state
