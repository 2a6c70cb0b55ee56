"""Rolling maintenance on real gateways: one machine after another, with faults injected meanwhile.

Each machine has a worker that waits until it is safe, restarts its gateway and reports that. A fault is
injected not at a time, but when a machine is next in a given state.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import time
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass, field
from enum import StrEnum

from ..maintenance import commands as maintenance_commands
from ..maintenance.jobs import MaintenanceJobs
from ..replicated_state import commands
from ..replicated_state.results import Applied
from .errors import GatewayError
from .faults.gateway_machine import GatewayMachine
from .faults.replicated_fleet import SETTLE_TIMEOUT_S, ReplicatedFleet
from .maintenance_work import grants_of_two_machines, read_maintenance_state, work_on_safe_machine
from .replica_client import ReplicaClient

GRANT_DURATION_S = 3.0  # for which a grant to drain is valid
PAUSE_BEYOND_GRANT_S = 1.0  # by which a pause exceeds the grant
FAULT_DURATION_S = 1.5  # for which a cut or a kill of another machine lasts
KILL_DURATION_S = 0.5  # for which a killed machine is down
ROLL_TIMEOUT_S = 4 * SETTLE_TIMEOUT_S  # from the last fault until all machines are done
FIRST_WORKER_NUMBER = 1000  # client number of the first machine's worker


class MaintenanceFault(StrEnum):
    """Faults that can be injected during rolling maintenance; seeds draw from them in this order."""

    KILL_COORDINATOR = "kill_coordinator"
    KILL_IT = "kill_it"
    PAUSE_IT = "pause_it"
    CUT_IT = "cut_it"
    KILL_ALL = "kill_all"
    LOSE_DISK = "lose_disk"
    KILL_ANOTHER = "kill_another"


STATES = ("granted", "draining", "safe", "out", "returning")  # of a machine at which a fault can be injected


@dataclass(frozen=True)
class ScheduledMaintenanceFault:
    """A fault, and the machine state at which it is injected."""

    kind: MaintenanceFault
    state: str


@dataclass
class RollingMaintenanceReport:
    """The result of a run."""

    faults: list[str] = field(default_factory=list)  # injected, each with its machine and state
    violations: list[str] = field(default_factory=list)
    times_out: dict[str, int] = field(default_factory=dict)  # for maintenance, by machine
    most_drained: int = 0  # most machines that were drained at once
    seconds: float = 0.0
    states: list[str] = field(default_factory=list)  # that each machine passed through


class RollingMaintenanceRun:
    """One run on a fleet that has not been started; it changes the fleet's settings for maintenance."""

    def __init__(self, fleet: ReplicatedFleet, max_out: int = 1, grant_s: float = GRANT_DURATION_S) -> None:
        """At most `max_out` machines may be out at once; a grant to drain is valid for `grant_s` s."""
        self.fleet, self.max_out, self.grant_s = fleet, max_out, grant_s
        self.report = RollingMaintenanceReport()
        fleet.settings.lease, fleet.settings.groups = False, 2
        fleet.settings.more_sections = (
            f"(maintenance (most {max_out}) (zone 1) (pause-s 0.2) (drain-s {grant_s}) (failures 99)"
            " (most-load 9.0))"
        )
        self._out: set[str] = set()  # machines that are being worked on
        self._jobs = MaintenanceJobs()  # as last read
        self._ended = False
        self._handlers: dict[MaintenanceFault, Callable[[GatewayMachine], Awaitable[None]]] = {
            MaintenanceFault.KILL_COORDINATOR: self._kill_coordinator,
            MaintenanceFault.KILL_IT: self._kill,
            MaintenanceFault.PAUSE_IT: self._pause,
            MaintenanceFault.CUT_IT: self._cut,
            MaintenanceFault.KILL_ALL: self._kill_all,
            MaintenanceFault.LOSE_DISK: self._lose_store,
            MaintenanceFault.KILL_ANOTHER: self._kill_another,
        }

    async def run(
        self, schedule: Sequence[ScheduledMaintenanceFault] = (), faults: int = 3
    ) -> RollingMaintenanceReport:
        """Work on all machines during the schedule's faults, or `faults` that the seed draws.

        All machines must be done. Violations are in the report. If cancelled, all tasks and the fleet are
        stopped.
        """
        started_at = time.monotonic()
        drawn = self._draw(faults)
        tasks: list[asyncio.Task[None]] = []
        client = self.fleet.client(1)
        try:
            await self.fleet.start()
            await self._request_all(client)
            for number, machine in enumerate(self.fleet.machines.values()):
                tasks.append(asyncio.create_task(self._work_on(machine, number)))
            tasks.append(asyncio.create_task(self._watch_drained()))
            for fault in schedule or drawn:
                await self._inject(fault, client)
            await self._wait_until_done(client)
            self._ended = True
            await asyncio.wait_for(asyncio.gather(*tasks), SETTLE_TIMEOUT_S)
            self._check_result()
        except (GatewayError, TimeoutError) as error:
            self.report.violations.append(f"run aborted: {error!r}; machines: {self._states()}")
        finally:
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks, return_exceptions=True)
            client.close()
            await self.fleet.stop()
        self.report.seconds = round(time.monotonic() - started_at, 1)
        return self.report

    def _draw(self, count: int) -> list[ScheduledMaintenanceFault]:
        kinds, rng = tuple(MaintenanceFault), self.fleet.random
        return [ScheduledMaintenanceFault(rng.choice(kinds), rng.choice(STATES)) for _ in range(count)]

    async def _request_all(self, client: ReplicaClient) -> None:
        await client.execute(commands.OpenSession())
        request = maintenance_commands.RequestMaintenance(
            "roll", tuple(self.fleet.machines), "memory", "op", 60.0
        )
        for _ in range(2):  # repeated as by a client that got no response
            result = await client.execute(request)
            if not isinstance(result, Applied):
                raise GatewayError(f"maintenance request denied: {result}")

    async def _wait_until_done(self, client: ReplicaClient) -> None:
        end = time.monotonic() + ROLL_TIMEOUT_S
        while True:
            jobs = await self._read(client)
            if not jobs.open_jobs() or time.monotonic() >= end:
                break
            await asyncio.sleep(0.1)
        await self.fleet.wait_until_settled()

    async def _read(self, client: ReplicaClient) -> MaintenanceJobs:
        self._jobs = await asyncio.wait_for(read_maintenance_state(client), SETTLE_TIMEOUT_S)
        return self._jobs

    # Work on machines

    async def _work_on(self, machine: GatewayMachine, number: int) -> None:
        """Work on a machine whenever it is safe."""
        client = self.fleet.client(FIRST_WORKER_NUMBER + number)
        await client.execute(commands.OpenSession())
        while not self._ended:
            job = (await self._read(client)).job_of(machine.name)
            if job is not None and job.state == "safe":
                await work_on_safe_machine(client, job, self._restart)
                self._out.discard(machine.name)
            await asyncio.sleep(0.1)
        client.close()

    async def _restart(self, name: str) -> None:
        machine = self.fleet.machines[name]
        self._out.add(name)
        self.report.times_out[name] = self.report.times_out.get(name, 0) + 1
        if len(self._out) > self.max_out:
            self.report.violations.append(
                f"{sorted(self._out)} are out at once, at most {self.max_out} may be"
            )
        await asyncio.to_thread(machine.kill, signal.SIGTERM)
        await asyncio.sleep(self.fleet.random.uniform(0.1, 0.4))
        machine.start()

    async def _watch_drained(self) -> None:
        """Count the machines drained at once: those that took clients in their boot and no longer do.

        A machine that a fault ended takes none while it starts, which is not planned.
        """
        served: set[tuple[str, int]] = set()  # machines and boots that took clients
        while not self._ended:
            statuses = await self.fleet.statuses()
            served |= {
                (name, status["boot"]) for name, status in statuses.items() if status.get("takes", True)
            }
            idle = {name for name, status in statuses.items() if not status.get("takes", True)}
            drained = {name for name in idle if (name, statuses[name]["boot"]) in served} | self._out
            self.report.most_drained = max(self.report.most_drained, len(drained))
            if len(drained) > self.max_out:
                self.report.violations.append(
                    f"{sorted(drained)} are drained at once, at most {self.max_out} may be"
                )
            await asyncio.sleep(0.05)

    # Faults

    async def _next_in_state(self, client: ReplicaClient, state: str) -> GatewayMachine:
        """Wait until a machine is in that state and return it. Raises `GatewayError`."""
        end = time.monotonic() + SETTLE_TIMEOUT_S
        while time.monotonic() < end:
            for job in (await self._read(client)).open_jobs():
                if job.state == state:
                    return self.fleet.machines[job.machine]
            await asyncio.sleep(0.02)
        raise GatewayError(
            f"no machine is {state} after {SETTLE_TIMEOUT_S:g} s; blocked: {self._jobs.blocked_reason}"
        )

    async def _inject(self, fault: ScheduledMaintenanceFault, client: ReplicaClient) -> None:
        """Inject a fault once a machine is in its state, then heal it; one that is out keeps its process."""
        machine = await self._next_in_state(client, fault.state)
        self.report.faults.append(f"{fault.kind} while {machine.name} is {fault.state}")
        hits_process = fault.kind in (
            MaintenanceFault.KILL_IT, MaintenanceFault.LOSE_DISK, MaintenanceFault.PAUSE_IT
        )  # fmt: skip
        if not (hits_process and machine.name in self._out):
            await self._handlers[fault.kind](machine)
        for direction in self.fleet.directions(None, None):
            direction.open.set()
        for other in self._machines_not_out():
            other.resume()
            other.start()

    def _machines_not_out(self) -> list[GatewayMachine]:
        return [machine for machine in self.fleet.machines.values() if machine.name not in self._out]

    async def _kill_coordinator(self, _machine: GatewayMachine) -> None:
        leader = await self.fleet.wait_for_leader()
        if leader.name not in self._out:
            leader.kill()

    async def _kill(self, machine: GatewayMachine) -> None:
        machine.kill()
        await asyncio.sleep(KILL_DURATION_S)

    async def _lose_store(self, machine: GatewayMachine) -> None:
        machine.lose_store()

    async def _pause(self, machine: GatewayMachine) -> None:
        machine.pause()
        await asyncio.sleep(self.grant_s + PAUSE_BEYOND_GRANT_S)
        machine.resume()

    async def _cut(self, machine: GatewayMachine) -> None:
        directions = [*self.fleet.directions(None, machine), *self.fleet.directions(machine, None)]
        for direction in directions:
            direction.open.clear()
        await asyncio.sleep(FAULT_DURATION_S)

    async def _kill_another(self, machine: GatewayMachine) -> None:
        others = [other for other in self._machines_not_out() if other is not machine]
        self.fleet.random.choice(others).kill()
        await asyncio.sleep(FAULT_DURATION_S)

    async def _kill_all(self, _machine: GatewayMachine) -> None:
        for machine in self._machines_not_out():
            machine.kill()

    # Checks

    def _states(self) -> str:
        return ", ".join(f"{job.machine} {job.state}" for job in self._jobs.jobs.values())

    def _check_result(self) -> None:
        report, job_list = self.report, self._jobs.jobs.values()
        if unfinished := [job for job in job_list if job.state != "done"]:
            report.violations.append(f"{len(unfinished)} not done: {self._states()}")
        for job in job_list:
            report.states.append(f"{job.machine}: {' '.join(step.state for step in job.history)}")
        if repeated := {name: count for name, count in report.times_out.items() if count != 1}:
            report.violations.append(f"out more than once: {repeated}")
        # A grant's fencing token is for one machine only, whichever gateway coordinated.
        logs = {machine.name: machine.log for machine in self.fleet.machines.values()}
        if shared := grants_of_two_machines(logs):
            report.violations.append(f"several machines under one grant: {shared}")
        if len(report.times_out) != len(self.fleet.machines):
            report.violations.append(f"only these machines were out: {sorted(report.times_out)}")
