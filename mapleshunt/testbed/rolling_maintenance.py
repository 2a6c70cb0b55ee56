"""Work on real gateways, one machine after another, with faults in the middle; and what is seen from outside.

Each machine has somebody who works on it: waits until it is safe, ends it, starts it again, and says so.
Faults strike by what has happened: at the nth time that some machine is in a state.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import signal
import time
from collections import Counter
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from ..maintenance import commands as w
from ..maintenance.jobs import MaintenanceJobs
from ..maintenance.records import MaintenanceSnapshot
from ..replicated_state import commands as h
from ..replicated_state.results import Applied
from .faults.replicated_fleet import CALM, Faults, Machine
from .gateway_process import GatewayError
from .replica_client import ReplicaClient

DRAIN = 3.0  # s that a grant holds
STRIKES = ("kill_coordinator", "kill_it", "pause_it", "cut_it", "kill_all", "lose_disk", "kill_another")
STATES = ("granted", "draining", "safe", "out", "returning")


@dataclass
class Roll:
    """What came of it."""

    strikes: list[str] = field(default_factory=list)
    broken: list[str] = field(default_factory=list)
    times: dict[str, int] = field(default_factory=dict)  # that each machine was out
    most: int = 0  # that took no clients by plan at once, as they told
    seconds: float = 0.0
    story: list[str] = field(default_factory=list)


async def read_maintenance_state(caller: ReplicaClient) -> MaintenanceJobs:
    """The state of maintenance, as the group's leader tells it."""
    works = MaintenanceJobs()
    _, frozen = await caller.read("works", "", tuple[float, MaintenanceSnapshot])
    works.thaw(frozen)
    return works


def grants_of_two_machines(logs: Mapping[str, Path]) -> dict[str, set[str]]:
    """By number, the grants under which two machines were drained, from the gateways' logs by name."""
    drained: dict[str, set[str]] = {}
    for name, log in logs.items():
        for found in re.finditer(r"event=maintenance_drains fence=(\d+)", log.read_text(errors="replace")):
            drained.setdefault(found[1], set()).add(name)
    return {fence: names for fence, names in drained.items() if len(names) > 1}


class Rolls(Faults):
    def __init__(
        self, folder: Path, config: dict[str, Any], gateways: int = 5, seed: int = 1, most: int = 1
    ) -> None:
        super().__init__(folder, config, gateways, seed, 3, election_ms=500.0)
        self.lease, self.most, self.groups = False, most, 2
        self.further = (
            f"(maintenance (most {most}) (zone 1) (pause-s 0.2) (drain-s {DRAIN}) (failures 99)"
            " (most-load 9.0))"
        )
        self.roll = Roll()
        self.out: set[str] = set()
        self.works = MaintenanceJobs()

    async def read(self, caller: ReplicaClient) -> MaintenanceJobs:
        self.works = await asyncio.wait_for(read_maintenance_state(caller), CALM)
        return self.works

    async def works_on(self, machine: Machine, number: int) -> None:
        """Somebody who works on that machine once it is safe."""
        caller = self.caller(1000 + number)
        await caller.do(h.OpenSession())
        while not self.over:
            place = (await self.read(caller)).place_of(machine.name)
            if place is not None and place.state == "safe":
                told = await caller.do(w.ReportProgress(machine.name, place.fence, "out"))
                if isinstance(told, Applied):
                    await self.work(machine, caller, place.fence)
            await asyncio.sleep(0.1)
        caller.close()

    async def work(self, machine: Machine, caller: ReplicaClient, fence: int) -> None:
        self.out.add(machine.name)
        self.roll.times[machine.name] = self.roll.times.get(machine.name, 0) + 1
        if len(self.out) > self.most:
            self.roll.broken.append(f"{sorted(self.out)} are worked on, {self.most} may be")
        await asyncio.to_thread(machine.kill, signal.SIGTERM)
        await asyncio.sleep(self.random.uniform(0.1, 0.4))
        machine.start()
        await caller.do(w.ReportProgress(machine.name, fence, "returning"))
        self.out.discard(machine.name)

    async def watch(self) -> None:
        """How many take no clients, by what they tell themselves: those that had, and are drained since. One
        that a fault ended takes none while it starts, and that is no plan.
        """
        served: set[tuple[str, int]] = set()  # lives that have taken clients
        while not self.over:
            told = await self.statuses()
            served |= {(name, one["boot"]) for name, one in told.items() if one.get("takes", True)}
            drained = {name for name, one in told.items() if not one.get("takes", True)
                       and (name, one["boot"]) in served} | self.out  # fmt: skip
            self.roll.most = max(self.roll.most, len(drained))
            if len(drained) > self.most:
                self.roll.broken.append(f"{sorted(drained)} take no clients, {self.most} may not")
            await asyncio.sleep(0.05)

    async def when(self, caller: ReplicaClient, state: str) -> Machine:
        """The machine that is in that state next."""
        end = time.monotonic() + CALM
        while time.monotonic() < end:
            for place in (await self.read(caller)).open():
                if place.state == state:
                    return self.machines[place.machine]
            await asyncio.sleep(0.02)
        raise GatewayError(f"no machine is {state} after {CALM:g} s: {self.works.blocked}")

    async def strike(self, what: str, state: str, caller: ReplicaClient) -> None:
        it = await self.when(caller, state)
        self.roll.strikes.append(f"{what} while {it.name} is {state}")
        worked_on = it.name in self.out  # whoever works on it ends and starts it
        match what:
            case "kill_coordinator":
                leader = await self.leader()
                if leader.name not in self.out:
                    leader.kill()
            case "kill_it" if not worked_on:
                it.kill()
                await asyncio.sleep(0.5)
            case "lose_disk" if not worked_on:
                it.wipe()
            case "pause_it" if not worked_on:
                it.pause()
                await asyncio.sleep(DRAIN + 1.0)  # beyond its grant, and on
                it.go_on()
            case "cut_it":
                for way in [*self.ways(None, it), *self.ways(it, None)]:
                    way.open.clear()
                await asyncio.sleep(1.5)
            case "kill_another":
                others = [one for one in self.machines.values() if one is not it and one.name not in self.out]
                self.random.choice(others).kill()
                await asyncio.sleep(1.5)
            case "kill_all":
                for one in self.machines.values():
                    if one.name not in self.out:
                        one.kill()
        for way in self.ways(None, None):
            way.open.set()
        for one in self.machines.values():
            if one.name not in self.out:
                one.go_on()
                one.start()

    async def run(self, schedule: Sequence[tuple[str, str]] = (), strikes: int = 3) -> Roll:
        """Work on all machines, with those strikes or as many as the seed draws; at the end all are done."""
        begun = time.monotonic()
        drawn = [(self.random.choice(STRIKES), self.random.choice(STATES)) for _ in range(strikes)]
        tasks: list[asyncio.Task[None]] = []
        caller = self.caller(1)
        try:
            await self.up()
            await caller.do(h.OpenSession())
            ask = w.RequestMaintenance("roll", tuple(self.machines), "memory", "op", 60.0)
            for _ in range(2):  # the second time as if the first had not been answered
                done = await caller.do(ask)
                assert isinstance(done, Applied), done
            tasks = [
                *(asyncio.create_task(self.works_on(one, n)) for n, one in enumerate(self.machines.values())),
                asyncio.create_task(self.watch()),
            ]
            for what, state in schedule or drawn:
                await self.strike(what, state, caller)
            end = time.monotonic() + 4 * CALM
            while (await self.read(caller)).open() and time.monotonic() < end:
                await asyncio.sleep(0.1)
            await self.whole()
            self.over = True
            await asyncio.wait_for(asyncio.gather(*tasks), CALM)
            self._judge()
        except (GatewayError, TimeoutError) as error:
            self.roll.broken.append(f"not in time: {error!r}; {self._told()}")
        finally:
            for task in tasks:
                task.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await asyncio.gather(*tasks, return_exceptions=True)
            caller.close()
            await self.down()
        self.roll.seconds = round(time.monotonic() - begun, 1)
        return self.roll

    def _told(self) -> str:
        return ", ".join(f"{one.machine} {one.state}" for one in self.works.places.values())

    def _judge(self) -> None:
        broken = self.roll.broken
        if left := [one for one in self.works.places.values() if one.state != "done"]:
            broken.append(f"not done: {self._told()} ({len(left)})")
        for place in self.works.places.values():
            self.roll.story.append(f"{place.machine}: {' '.join(step.state for step in place.story)}")
        if odd := {name: n for name, n in self.roll.times.items() if n != 1}:
            broken.append(f"out more than once: {odd}")
        # Each grant's number was one machine's alone, whoever coordinated.
        logs = {machine.name: machine.folder / "log" for machine in self.machines.values()}
        if twice := grants_of_two_machines(logs):
            broken.append(f"two machines under one grant: {twice}")
        if len(Counter(self.roll.times)) != len(self.machines):
            broken.append(f"only {sorted(self.roll.times)} were out")
