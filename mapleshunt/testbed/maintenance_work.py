"""Work on machines that maintenance has made safe, as an operator or a script does it, and its traces."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from ..maintenance import commands as w
from ..maintenance.jobs import MaintenanceJobs
from ..maintenance.records import MachineJob, MaintenanceSnapshot
from ..replicated_state.results import Applied
from .replica_client import ReplicaClient


async def read_maintenance_state(client: ReplicaClient) -> MaintenanceJobs:
    """Return the state of maintenance as the group's leader has it; repeats its call until it is answered."""
    works = MaintenanceJobs()
    _, frozen = await client.read("works", "", tuple[float, MaintenanceSnapshot])
    works.restore(frozen)
    return works


async def work_on_safe_machine(
    client: ReplicaClient, place: MachineJob, restart: Callable[[str], Awaitable[None]]
) -> None:
    """Take a safe machine out, restart its gateway and say that it returns; nothing if it may not go.

    `restart` gets the machine's name and returns once its gateway is back. A cancelled call leaves the
    machine out.
    """
    result = await client.execute(w.ReportProgress(place.machine, place.fencing_token, "out"))
    if isinstance(result, Applied):
        await restart(place.machine)
        await client.execute(w.ReportProgress(place.machine, place.fencing_token, "returning"))


def grants_of_two_machines(logs: Mapping[str, Path]) -> dict[str, set[str]]:
    """Return the grants under which several machines were drained, by number, from the logs by machine."""
    drained: dict[str, set[str]] = {}
    for name, log in logs.items():
        for found in re.finditer(r"event=maintenance_drains fence=(\d+)", log.read_text(errors="replace")):
            drained.setdefault(found[1], set()).add(name)
    return {fence: names for fence, names in drained.items() if len(names) > 1}
