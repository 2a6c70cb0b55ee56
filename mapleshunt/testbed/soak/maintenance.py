"""Maintenance in the soak test: machines with replicas are taken out, worked on and returned."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from ...maintenance import commands as maintenance_commands
from ...maintenance.records import MachineJob
from ...replicated_state import commands as state_commands
from ...replicated_state.results import Applied
from ..maintenance_work import read_maintenance_state, work_on_safe_machine
from ..replica_client import ReplicaClient

MAINTENANCE_SECTION = (
    "(maintenance (most 1) (zone 1) (pause-s 0.2) (drain-s 4.0) (failures 99) (most-load 9.0))"
)
POLL_INTERVAL_S = 0.1  # between two reads of the jobs' states
EXPECTED_DURATION_S = 60.0  # of the work on a machine, as requested
STATES_WITHOUT_CLIENTS = ("draining", "safe", "out", "overdue")


class MachineWork:
    """An operator who works on machines once they are safe and restarts their gateways."""

    def __init__(
        self,
        client: ReplicaClient,
        restart: Callable[[str], Awaitable[None]],
        set_takes_clients: Callable[[str, bool], None],
    ) -> None:
        """Store the callbacks.

        `restart` ends the named gateway and returns once it is back; `set_takes_clients` sets whether the
        front sends clients to the named gateway.
        """
        self._client, self._restart, self._set_takes_clients = client, restart, set_takes_clients

    async def roll(self, request: str, machines: Sequence[str]) -> None:
        """Request maintenance of these machines, and work on each until all are done.

        Returns at once if the request is denied. When cancelled, a machine may stay out.
        """
        await self._client.execute(state_commands.OpenSession())
        operation = maintenance_commands.RequestMaintenance(
            request, tuple(machines), "memory", "soak", EXPECTED_DURATION_S
        )
        if not isinstance(await self._client.execute(operation), Applied):
            return  # another request has one of the machines
        while jobs := await self._open_jobs(request):
            for job in jobs:
                self._set_takes_clients(job.machine, job.state not in STATES_WITHOUT_CLIENTS)
                if job.state == "safe":
                    await work_on_safe_machine(self._client, job, self._restart)
            await asyncio.sleep(POLL_INTERVAL_S)
        for machine in machines:
            self._set_takes_clients(machine, True)

    async def _open_jobs(self, request: str) -> list[MachineJob]:
        state = await read_maintenance_state(self._client)
        return [job for job in state.open_jobs() if job.request_id == request]
