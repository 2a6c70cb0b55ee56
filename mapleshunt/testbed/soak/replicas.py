"""Replication in the soak test: some gateways hold replicas on disks that fail, over links that break."""

from __future__ import annotations

import asyncio
import itertools
import random
import socket
import time
from collections.abc import Sequence
from pathlib import Path

from ...simulation.history_checker import HistoryEvent, find_violations
from ..fault_proxy import FaultProxy
from ..ports import HOST, free_port
from ..replica_client import Address, ReplicaClient, gateway_statuses, leader_status
from ..replica_workload import BURST, read_final_state, run_workload
from ..replication_settings import PeerAddress, ReplicationSettings
from .maintenance import MAINTENANCE

FLEET = "soak"
GROUPS = 4
SIZE = 3  # replicas of a group
ELECTION_MS = 500.0
CALLERS = 2  # clients of each group
CALL_PAUSE_S = 0.1  # between two operations of a client
CALM_S = 20.0  # within which all has to be answered once nothing is broken any more
REPLICATION = ReplicationSettings(
    FLEET, groups=GROUPS, replicas=SIZE, election_ms=ELECTION_MS, more_sections=MAINTENANCE
)


class SoakReplicas:
    """The first gateways of a fleet hold replicas, each pair of them linked by a proxy."""

    def __init__(self, folder: Path, count: int, seed: int) -> None:
        self.folder, self.names = folder, [f"n{number}" for number in range(count)]
        self.random = random.Random(f"{seed} copies")
        self.histories: dict[int, list[HistoryEvent]] = {}  # by group
        self.callers: list[ReplicaClient] = []
        self.calls: list[asyncio.Task[None]] = []
        self.over = False
        self.ports = {name: free_port(socket.SOCK_STREAM) for name in self.names}
        self.proxies = {
            pair: FaultProxy(self.ports[pair[1]]) for pair in itertools.combinations(sorted(self.names), 2)
        }

    def addresses(self) -> dict[str, Address]:
        """Where each gateway's replicas are called."""
        return {name: (HOST, port) for name, port in self.ports.items()}

    def disk(self, name: str) -> Path:
        """The folder of that gateway's store, which is there from the start."""
        place = self.folder / f"disk-{name}"
        place.mkdir(parents=True, exist_ok=True)
        return place

    def environment(self, name: str) -> dict[str, str]:
        """The variables that switch replication on in that gateway."""
        peers = []
        for other in self.names:
            proxy = self.proxies.get((name, other))  # the lower name dials
            peers.append(PeerAddress(other, proxy.port if proxy is not None else self.ports[other]))
        file = self.folder / f"operators-{name}.sexp"
        file.write_text(REPLICATION.render(self.disk(name), peers))
        return {"PROXY_OPERATORS": str(file)}

    async def start(self) -> None:
        for proxy in self.proxies.values():
            await proxy.start()

    def begin_calls(self) -> None:
        """Let clients call each group from now on; all that they are told is kept."""
        for group in range(GROUPS if self.names else 0):
            for number in range(CALLERS):
                caller = self.caller(f"s{number}", group)
                caller.history = self.histories.setdefault(group, [])
                self.callers.append(caller)
                call = run_workload(caller, lambda: self.over, CALL_PAUSE_S)
                self.calls.append(asyncio.create_task(call))

    def caller(self, name: str, group: int) -> ReplicaClient:
        """A further client of a group, whose operations are not among those that are judged."""
        chance = random.Random(self.random.getrandbits(64))
        return ReplicaClient(name, self.addresses(), FLEET, group, [], time.monotonic, chance)

    async def broken_promises(self) -> list[str]:
        """End the calls, each of which has to be answered now that all is healed, and judge what was told."""
        self.over = True
        try:
            await asyncio.wait_for(asyncio.gather(*self.calls), CALM_S)
            found: list[str] = []
            for group, history in self.histories.items():
                final = await read_final_state(self.callers[CALLERS * group], CALM_S)
                found += [f"group {group}: {one}" for one in find_violations(history, final, BURST)]
            return found
        except TimeoutError:
            events = [one for history in self.histories.values() for one in history]
            return [f"not answered: {one.session} {one.operation}" for one in events if not one.ended_at]

    async def close(self) -> None:
        for task in self.calls:
            task.cancel()
        for caller in self.callers:
            caller.close()
        for proxy in self.proxies.values():
            await proxy.close()

    def of(self, names: Sequence[str]) -> list[FaultProxy]:
        """The proxies of all links of those gateways."""
        return [proxy for pair, proxy in self.proxies.items() if set(pair) & set(names)]

    async def faults(self) -> list[str]:
        """What is wrong with the groups: each must have a leader and all its replicas."""
        told = await gateway_statuses(self.addresses(), FLEET)
        found = [f"{name} does not answer on its replication port" for name, one in told.items() if not one]
        for group in range(GROUPS):
            leads = leader_status(told, group)
            if leads is None:
                found.append(f"group {group} has no leader")
            elif len(leads["voters"]) != SIZE:
                found.append(f"group {group} has voters {leads['voters']}")
        return found

    def damaged(self) -> list[str]:
        """Stores that were set aside."""
        return [str(place) for name in self.names for place in self.disk(name).glob("damaged-*")]
