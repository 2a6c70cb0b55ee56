"""Real gateways with replicas on loopback: a machine each, and a fault proxy between each pair."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from pathlib import Path
from typing import Any

from ...platform_terms import init_from_settings
from ...policy import Plan, RequestClass, Settings
from ...simulation.history_checker import HistoryEvent
from ..errors import GatewayError
from ..fault_proxy import Direction, FaultProxy
from ..replica_client import ReplicaClient, gateway_statuses, leader_status
from ..replica_workload import BURST, RATE
from ..replication_settings import PeerAddress, ReplicationSettings
from .gateway_machine import GatewayMachine
from .process_faults import ProcessFaults

FLEET_NAME = "faults"
SETTLE_TIMEOUT_S = 20.0  # within which all calls must be answered once no fault is left
ANSWERS_TIMEOUT_S = 3.0  # to wait for calls during a fault, when perhaps none can be answered
PROGRAM = Path(__file__).parents[3]  # this checkout


def replicas_only_config() -> dict[str, Any]:
    """Return a gateway's configuration (its JSON) with no backends or peers: only its replicas are used."""
    settings = Settings(
        gateway_index=0,
        gateway_count=1,
        classes={"look": RequestClass("look", latency_objective=500, deadline=2000)},
        plans={"plan": Plan("plan", rate=RATE, burst=BURST)},
    )
    return {
        "name": "g0",
        "listen": "127.0.0.1:0",
        "discovery": "127.0.0.1:1",
        "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 256},
        "settings": init_from_settings(settings),
    }


class ReplicatedFleet:
    """The machines of one run, the connections between them, and their state as seen from outside."""

    def __init__(
        self,
        folder: Path,
        config: dict[str, Any],  # JSON of the gateways' configuration file
        gateways: int = 3,
        seed: int = 1,
        replicas: int = 3,
        election_ms: float = 400.0,
        program: Path | None = None,
    ) -> None:
        """`program` is the checkout whose gateways run, by default this one."""
        self.seed = seed
        self.random = random.Random(seed)  # the source of all choices of a run, in order
        self.settings = ReplicationSettings(FLEET_NAME, replicas=replicas, election_ms=election_ms)
        self.proxies: dict[tuple[str, str], FaultProxy] = {}  # by the names of both ends, the lower first
        self.machines: dict[str, GatewayMachine] = {}
        for number in range(gateways):
            name = f"g{number}"
            self.machines[name] = GatewayMachine(
                name, folder / name, program or PROGRAM, config, self.settings, self._peers_of
            )
        self.history: list[HistoryEvent] = []  # the calls of all clients
        self._origin = time.monotonic()

    def _peers_of(self, name: str) -> list[PeerAddress]:
        peers = []
        for other in self.machines.values():
            # The gateway with the lower name connects, through the pair's proxy.
            proxy = self.proxies.get((name, other.name))
            peers.append(PeerAddress(other.name, proxy.port if proxy is not None else other.port))
        return peers

    # Start and stop

    async def start(self) -> None:
        """Start all machines, each pair connected by a proxy, and wait until the group has settled.

        Raises `GatewayError`. If it is cancelled, `stop` ends what was started.
        """
        for lower, higher in itertools.product(self.machines, repeat=2):
            if lower < higher:
                self.proxies[lower, higher] = FaultProxy(self.machines[higher].port)
                await self.proxies[lower, higher].start()
        for machine in self.machines.values():
            machine.start()
        await self.wait_until_settled()

    async def stop(self) -> None:
        """Kill all machines and close all proxies."""
        for machine in self.machines.values():
            machine.kill()
        for proxy in self.proxies.values():
            await proxy.close()

    def now(self) -> float:
        """Return the time since this fleet was created (s)."""
        return time.monotonic() - self._origin

    def client(self, number: int) -> ReplicaClient:
        """Return a client of group 0 whose calls go into the history."""
        addresses = {name: machine.address for name, machine in self.machines.items()}
        rng = random.Random(self.seed * 1000 + number)
        return ReplicaClient(f"s{number}", addresses, FLEET_NAME, 0, self.history, self.now, rng)

    # State as seen from outside

    @property
    def answered_calls(self) -> int:
        """The number of answered calls in the history."""
        return sum(bool(event.ended_at) for event in self.history)

    async def wait_for_answers(self, calls: int, timeout_s: float = ANSWERS_TIMEOUT_S) -> None:
        """Wait until that many more calls are answered, or until the timeout, which is no error."""
        target, end = self.answered_calls + calls, time.monotonic() + timeout_s
        while True:
            if self.answered_calls >= target or time.monotonic() >= end:
                return
            await asyncio.sleep(0.01)

    async def statuses(self) -> dict[str, dict[str, Any]]:
        """Return the status (decoded msgpack) of each machine that answers."""
        addresses = {
            machine.name: machine.address
            for machine in self.machines.values()
            if machine.process and not machine.paused
        }
        statuses = await gateway_statuses(addresses, FLEET_NAME)
        return {name: status for name, status in statuses.items() if status is not None}

    async def wait_for_leader(
        self, other_than: str = "", timeout_s: float = SETTLE_TIMEOUT_S
    ) -> GatewayMachine:
        """Return the leader of group 0 in the highest term that is known. Raises `GatewayError`."""
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            group = leader_status(await self.statuses(), 0)
            if group is not None and group["leader"] != other_than:
                return self.machines[group["leader"]]
            await asyncio.sleep(0.03)
        raise GatewayError(f"group 0 has no leader after {timeout_s:g} s")

    async def wait_until_settled(self, timeout_s: float = SETTLE_TIMEOUT_S) -> None:
        """Wait until all machines answer and group 0 has its voters, all of the present incarnations.

        Raises `GatewayError`.
        """
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            if self._is_settled(await self.statuses()):
                return
            await asyncio.sleep(0.05)
        raise GatewayError(f"group 0 is not settled after {timeout_s:g} s: {await self.statuses()}")

    def _is_settled(self, statuses: dict[str, dict[str, Any]]) -> bool:
        present = {f"{name}/{status['incarnation']}" for name, status in statuses.items()}
        group = leader_status(statuses, 0)
        voters = set(group["voters"]) if group is not None else set()
        all_answer = len(statuses) == len(self.machines)
        return all_answer and voters <= present and len(voters) == self.settings.replicas

    # Faults

    def directions(self, source: GatewayMachine | None, target: GatewayMachine | None) -> list[Direction]:
        """Return the proxied directions from one machine to another; None stands for any machine."""
        matching = []
        for (lower, higher), proxy in self.proxies.items():
            for sender, receiver, direction in (
                (lower, higher, proxy.to_target),
                (higher, lower, proxy.from_target),
            ):
                from_source = source is None or source.name == sender
                to_target = target is None or target.name == receiver
                if from_source and to_target:
                    matching.append(direction)
        return matching

    def heal(self) -> None:
        """End all faults of connections, processes and disks, and start the machines that are down."""
        for direction in self.directions(None, None):
            direction.delay_s, direction.bytes_to_reset = 0.0, None
            direction.open.set()
        for machine in self.machines.values():
            machine.set_faults(ProcessFaults())
            machine.free_disk()
            machine.resume()
            machine.start()
