"""Maintenance in the soak test: machines with replicas are taken out, worked on and brought back."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from ...maintenance import commands as w
from ...maintenance.records import MachineJob
from ...replicated_state import commands as h
from ...replicated_state.results import Applied
from ..maintenance_work import read_maintenance_state, work_on_safe_machine
from ..replica_client import ReplicaClient

MAINTENANCE = "(maintenance (most 1) (zone 1) (pause-s 0.2) (drain-s 4.0) (failures 99) (most-load 9.0))"
LOOK_S = 0.1  # between two looks at a machine's state
EXPECTED_S = 60.0  # for the work on a machine, as it is asked for
WITHOUT_CLIENTS = ("draining", "safe", "out", "overdue")


class MachineWork:
    """Somebody who works on machines once they are safe: ends each gateway, starts it again, and says so."""

    def __init__(
        self,
        caller: ReplicaClient,
        restart: Callable[[str], Awaitable[None]],
        take_clients: Callable[[str, bool], None],
    ) -> None:
        """`restart` ends a gateway by its name and waits until it is back; `take_clients` tells the front
        whether to send it clients.
        """
        self.caller, self.restart, self.take_clients = caller, restart, take_clients

    async def roll(self, request: str, machines: Sequence[str]) -> None:
        """Ask for these machines, and work on each until it is done."""
        await self.caller.do(h.OpenSession())
        ask = w.RequestMaintenance(request, tuple(machines), "memory", "soak", EXPECTED_S)
        if not isinstance(await self.caller.do(ask), Applied):
            return  # one of them is asked for already
        while open_places := await self._open_places(request):
            for place in open_places:
                self.take_clients(place.machine, place.state not in WITHOUT_CLIENTS)
                if place.state == "safe":
                    await work_on_safe_machine(self.caller, place, self.restart)
            await asyncio.sleep(LOOK_S)
        for machine in machines:
            self.take_clients(machine, True)

    async def _open_places(self, request: str) -> list[MachineJob]:
        works = await read_maintenance_state(self.caller)
        return [one for one in works.open_jobs() if one.request_id == request]
