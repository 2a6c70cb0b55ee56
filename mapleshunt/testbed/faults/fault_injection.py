"""The faults of a schedule: each is injected until it has taken effect, and healed by the caller."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from enum import StrEnum

from ..replica_client import query_operator_port
from .gateway_machine import GatewayMachine
from .process_faults import CrashStep, ProcessFaults
from .replicated_fleet import FLEET_NAME, ReplicatedFleet

MAX_CALLS_DURING_FAULT = 30  # awaited while a fault lasts
CALLS_BEFORE_RESTORE = 10  # at least, between saving a store and restoring it
CALLS_BEFORE_CRASH = 30  # at least, for a process to reach the step at which it crashes
MAX_OCCURRENCE = 6  # of a step, at which a process crashes
MAX_BYTES_BEFORE_RESET = 4000
DELAYED_DIRECTIONS = 2
DELAY_RANGE_S = (0.01, 0.2)
COMMIT_DELAYS_S = (0.02, 0.1)
CLOCK_OFFSET_S = 5.0
START_GAPS_S = (0.0, 0.0, 0.3)  # between two machines that start after all were killed
LARGE_GROUP = 5  # machines and replicas with which two may be down at once


class FaultKind(StrEnum):
    """Kinds of faults; the values are the names that operators give in a schedule's file."""

    KILL_LEADER = "kill_leader"
    KILL = "kill"
    KILL_TWO = "kill_two"
    PAUSE_LEADER = "pause_leader"
    CUT_LEADER = "cut_leader"
    DEAFEN_LEADER = "deafen_leader"
    MUTE_LEADER = "mute_leader"
    DELAY = "delay"
    RESET = "reset"
    WIPE_FOLLOWER = "wipe_follower"
    WIPE_LEADER = "wipe_leader"
    OLD_DISK = "old_disk"
    KILL_ALL = "kill_all"
    TRANSFER = "transfer"
    TERM = "term"
    DISK_FULL = "disk_full"
    START_AGAIN = "start_again"
    DIE = "die"
    SLOW_DISK = "slow_disk"
    CLOCKS = "clocks"


@dataclass(frozen=True)
class FaultTargets:
    """The targets of a fault, drawn before it is injected."""

    leader: GatewayMachine
    others: list[GatewayMachine]  # all machines but the leader
    other: GatewayMachine  # one of them
    calls: int  # to be answered while it lasts


class FaultInjector:
    """Injects faults into a fleet; all choices are drawn from the fleet's random generator, in order."""

    def __init__(self, fleet: ReplicatedFleet, leaderless_s: list[float]) -> None:
        """`leaderless_s` receives the time (s) from each kill of a leader until another leads."""
        self._fleet, self._leaderless_s = fleet, leaderless_s
        self._random = fleet.random
        self._handlers: dict[FaultKind, Callable[[FaultTargets], Awaitable[None]]] = {
            FaultKind.KILL_LEADER: self._kill_leader,
            FaultKind.TERM: self._terminate_leader,
            FaultKind.KILL: self._kill_follower,
            FaultKind.KILL_TWO: self._kill_two,
            FaultKind.PAUSE_LEADER: self._pause_leader,
            FaultKind.CUT_LEADER: self._cut_leader,
            FaultKind.DEAFEN_LEADER: self._deafen_leader,
            FaultKind.MUTE_LEADER: self._mute_leader,
            FaultKind.DELAY: self._delay_connections,
            FaultKind.RESET: self._reset_connections,
            FaultKind.WIPE_FOLLOWER: self._lose_follower_store,
            FaultKind.WIPE_LEADER: self._lose_leader_store,
            FaultKind.OLD_DISK: self._restore_old_store,
            FaultKind.KILL_ALL: self._kill_all,
            FaultKind.DISK_FULL: self._fill_leader_disk,
            FaultKind.START_AGAIN: self._rolling_restart,
            FaultKind.DIE: self._crash_at_step,
            FaultKind.SLOW_DISK: self._slow_disks,
            FaultKind.CLOCKS: self._set_clocks_apart,
            FaultKind.TRANSFER: self._transfer_leadership,
        }

    async def inject(self, kind: FaultKind) -> None:
        """Inject a fault and wait for its effect: a new leader, or a number of answered calls.

        Raises `GatewayError` if the group does not recover in time. A cancelled fault is not healed:
        `ReplicatedFleet.heal` does that.
        """
        leader = await self._fleet.wait_for_leader()
        others = [machine for machine in self._fleet.machines.values() if machine is not leader]
        other = self._random.choice(others)
        calls = self._random.randint(0, MAX_CALLS_DURING_FAULT)
        await self._handlers[kind](FaultTargets(leader, others, other, calls))

    # Processes

    async def _kill_leader(self, targets: FaultTargets) -> None:
        killed_at = time.monotonic()
        targets.leader.kill()
        await self._fleet.wait_for_leader(other_than=targets.leader.name)
        self._leaderless_s.append(time.monotonic() - killed_at)

    async def _terminate_leader(self, targets: FaultTargets) -> None:
        targets.leader.kill(signal.SIGTERM)
        await self._fleet.wait_for_leader(other_than=targets.leader.name)

    async def _kill_follower(self, targets: FaultTargets) -> None:
        targets.other.kill()
        await self._fleet.wait_for_answers(targets.calls)

    async def _kill_two(self, targets: FaultTargets) -> None:
        large = len(self._fleet.machines) >= LARGE_GROUP and self._fleet.settings.replicas >= LARGE_GROUP
        for machine in [targets.leader, targets.other] if large else [targets.other]:
            machine.kill()
        await self._fleet.wait_for_answers(targets.calls)

    async def _pause_leader(self, targets: FaultTargets) -> None:
        targets.leader.pause()
        await self._fleet.wait_for_leader(other_than=targets.leader.name)
        await self._fleet.wait_for_answers(targets.calls)
        targets.leader.resume()  # it still acts as the leader

    async def _kill_all(self, _targets: FaultTargets) -> None:
        order = list(self._fleet.machines.values())
        self._random.shuffle(order)
        for machine in order:
            machine.kill()
        self._random.shuffle(order)
        for machine in order:
            machine.start()
            await asyncio.sleep(self._random.choice(START_GAPS_S))

    async def _rolling_restart(self, _targets: FaultTargets) -> None:
        """Restart one machine after another, each once the one before is back."""
        for machine in self._fleet.machines.values():
            machine.kill(signal.SIGTERM)
            machine.start()
            await self._fleet.wait_until_settled()

    async def _crash_at_step(self, targets: FaultTargets) -> None:
        step, occurrence = self._random.choice(tuple(CrashStep)), self._random.randint(1, MAX_OCCURRENCE)
        machine = self._random.choice([targets.leader, targets.other])
        machine.set_faults(ProcessFaults(crash_step=step, occurrence=occurrence))
        await self._fleet.wait_for_answers(CALLS_BEFORE_CRASH + targets.calls)

    async def _set_clocks_apart(self, targets: FaultTargets) -> None:
        targets.leader.set_faults(ProcessFaults(clock_offset_s=CLOCK_OFFSET_S))
        targets.other.set_faults(ProcessFaults(clock_offset_s=-CLOCK_OFFSET_S))
        await self._fleet.wait_for_answers(targets.calls)

    async def _transfer_leadership(self, targets: FaultTargets) -> None:
        await query_operator_port(targets.leader.address, FLEET_NAME, "transfer", 0)
        await self._fleet.wait_for_answers(targets.calls)

    # Connections

    async def _cut_leader(self, targets: FaultTargets) -> None:
        await self._cut(targets, incoming=True, outgoing=True)

    async def _deafen_leader(self, targets: FaultTargets) -> None:
        await self._cut(targets, incoming=True, outgoing=False)

    async def _mute_leader(self, targets: FaultTargets) -> None:
        await self._cut(targets, incoming=False, outgoing=True)

    async def _cut(self, targets: FaultTargets, *, incoming: bool, outgoing: bool) -> None:
        directions = self._fleet.directions(None, targets.leader) if incoming else []
        if outgoing:
            directions += self._fleet.directions(targets.leader, None)
        for direction in directions:
            direction.open.clear()
        await self._fleet.wait_for_answers(targets.calls)

    async def _delay_connections(self, targets: FaultTargets) -> None:
        for direction in self._random.sample(self._fleet.directions(None, None), DELAYED_DIRECTIONS):
            direction.delay_s = self._random.uniform(*DELAY_RANGE_S)
        await self._fleet.wait_for_answers(targets.calls)

    async def _reset_connections(self, targets: FaultTargets) -> None:
        for direction in self._fleet.directions(targets.leader, None):
            direction.bytes_to_reset = self._random.randint(1, MAX_BYTES_BEFORE_RESET)
        await self._fleet.wait_for_answers(targets.calls)

    # Disks

    async def _lose_follower_store(self, targets: FaultTargets) -> None:
        await self._lose_store(targets.other, targets.calls)

    async def _lose_leader_store(self, targets: FaultTargets) -> None:
        await self._lose_store(targets.leader, targets.calls)

    async def _lose_store(self, machine: GatewayMachine, calls: int) -> None:
        machine.lose_store()
        await self._fleet.wait_for_answers(self._random.choice([0, 0, calls]))
        machine.start()  # replaced soon, under the same name
        await self._fleet.wait_until_settled()

    async def _restore_old_store(self, targets: FaultTargets) -> None:
        machine = targets.other
        machine.save_store()
        machine.start()
        await self._fleet.wait_until_settled()
        await self._fleet.wait_for_answers(CALLS_BEFORE_RESTORE + targets.calls)
        machine.restore_saved_store()
        machine.start()
        await self._fleet.wait_until_settled()

    async def _fill_leader_disk(self, targets: FaultTargets) -> None:
        targets.leader.fill_disk()
        # It transfers its leadership when it cannot write.
        await self._fleet.wait_for_leader(other_than=targets.leader.name)
        await self._fleet.wait_for_answers(targets.calls)

    async def _slow_disks(self, targets: FaultTargets) -> None:
        for machine in [targets.leader, *self._random.sample(targets.others, 1)]:
            machine.set_faults(ProcessFaults(commit_delay_s=self._random.choice(COMMIT_DELAYS_S)))
        await self._fleet.wait_for_answers(targets.calls)
