"""Work on machines that maintenance has made safe, as an operator does it, and its traces in the logs."""

from __future__ import annotations

import re
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path

from ..maintenance import commands
from ..maintenance.jobs import MaintenanceJobs
from ..maintenance.records import MachineJob, MaintenanceSnapshot
from ..replicated_state.results import Applied
from .replica_client import ReplicaClient


async def read_maintenance_state(client: ReplicaClient) -> MaintenanceJobs:
    """Return the maintenance state of the group's leader; the call is repeated until it is answered."""
    jobs = MaintenanceJobs()
    _, snapshot = await client.read("works", "", tuple[float, MaintenanceSnapshot])
    jobs.restore(snapshot)
    return jobs


async def work_on_safe_machine(
    client: ReplicaClient, job: MachineJob, restart: Callable[[str], Awaitable[None]]
) -> None:
    """Report a safe machine as out, restart its gateway and report it as returning, if it may go out.

    `restart` gets the machine's name and returns once its gateway is started. A cancelled call leaves the
    machine out.
    """
    result = await client.execute(commands.ReportProgress(job.machine, job.fencing_token, "out"))
    if isinstance(result, Applied):
        await restart(job.machine)
        await client.execute(commands.ReportProgress(job.machine, job.fencing_token, "returning"))


def grants_of_two_machines(logs: Mapping[str, Path]) -> dict[str, set[str]]:
    """Return the machines drained under a shared grant, by its fencing token; `logs` are by machine."""
    drained: dict[str, set[str]] = {}
    for name, log in logs.items():
        for match in re.finditer(r"event=maintenance_drains fence=(\d+)", log.read_text(errors="replace")):
            drained.setdefault(match[1], set()).add(name)
    return {fence: names for fence, names in drained.items() if len(names) > 1}
