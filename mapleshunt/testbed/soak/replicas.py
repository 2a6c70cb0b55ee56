"""Replication in the soak test: some gateways hold replicas; disks and connections between them fail."""

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
from .maintenance import MAINTENANCE_SECTION

FLEET_NAME = "soak"
GROUPS = 4
REPLICAS_PER_GROUP = 3
ELECTION_MS = 500.0
CLIENTS_PER_GROUP = 2
CALL_INTERVAL_S = 0.1  # from the end of a client's operation to its next
SETTLE_TIMEOUT_S = 20.0  # for open calls to be answered once all faults have ended
SETTINGS = ReplicationSettings(
    FLEET_NAME,
    groups=GROUPS,
    replicas=REPLICAS_PER_GROUP,
    election_ms=ELECTION_MS,
    more_sections=MAINTENANCE_SECTION,
)


class SoakReplicas:
    """Replicas on the first gateways of a fleet; each pair of these connects through a proxy."""

    def __init__(self, folder: Path, count: int, seed: int) -> None:
        """Prepare replicas on `count` gateways, with stores and settings in `folder`."""
        self.names = [f"n{number}" for number in range(count)]
        self._folder = folder
        self._random = random.Random(f"{seed} copies")
        self._histories: dict[int, list[HistoryEvent]] = {}  # by group
        self._clients: list[ReplicaClient] = []  # group by group
        self._workloads: list[asyncio.Task[None]] = []
        self._ended = False  # clients start no more calls
        self._ports = {name: free_port(socket.SOCK_STREAM) for name in self.names}
        self._proxies = {
            pair: FaultProxy(self._ports[pair[1]]) for pair in itertools.combinations(sorted(self.names), 2)
        }

    @property
    def calls(self) -> int:
        """Number of calls that the clients have started."""
        return sum(map(len, self._histories.values()))

    def store(self, name: str) -> Path:
        """Return the folder of a gateway's store; it is created if it does not exist."""
        folder = self._folder / f"disk-{name}"
        folder.mkdir(parents=True, exist_ok=True)
        return folder

    def environment(self, name: str) -> dict[str, str]:
        """Return the environment variables that enable replication in a gateway."""
        peers = []
        for other in self.names:
            proxy = self._proxies.get((name, other))  # of two gateways the one with the lower name connects
            peers.append(PeerAddress(other, proxy.port if proxy is not None else self._ports[other]))
        file = self._folder / f"operators-{name}.sexp"
        file.write_text(SETTINGS.render(self.store(name), peers))
        return {"PROXY_OPERATORS": str(file)}

    async def start(self) -> None:
        """Start the proxies."""
        for proxy in self._proxies.values():
            await proxy.start()

    def start_clients(self) -> None:
        """Start the clients of each group and record their calls."""
        for group in range(GROUPS if self.names else 0):
            for number in range(CLIENTS_PER_GROUP):
                client = self.client(f"s{number}", group)
                client.history = self._histories.setdefault(group, [])
                self._clients.append(client)
                workload = run_workload(client, lambda: self._ended, CALL_INTERVAL_S)
                self._workloads.append(asyncio.create_task(workload))

    def client(self, name: str, group: int) -> ReplicaClient:
        """Return another client of a group, whose operations are not checked."""
        rng = random.Random(self._random.getrandbits(64))
        return ReplicaClient(name, self._addresses(), FLEET_NAME, group, [], time.monotonic, rng)

    def proxies_of(self, names: Sequence[str]) -> list[FaultProxy]:
        """Return the proxies of all connections of those gateways."""
        return [proxy for pair, proxy in self._proxies.items() if set(pair) & set(names)]

    async def violations(self) -> list[str]:
        """Stop the clients and return the violations in their histories; open calls must be answered."""
        self._ended = True
        try:
            await asyncio.wait_for(asyncio.gather(*self._workloads), SETTLE_TIMEOUT_S)
            found: list[str] = []
            for group, history in self._histories.items():
                final = await read_final_state(self._clients[CLIENTS_PER_GROUP * group], SETTLE_TIMEOUT_S)
                violations = find_violations(history, final, BURST)
                found += [f"group {group}: {violation}" for violation in violations]
        except TimeoutError:
            events = [event for history in self._histories.values() for event in history]
            unanswered = [event for event in events if not event.ended_at]
            return [
                f"not answered within {SETTLE_TIMEOUT_S:g} s: {event.session} {event.operation}"
                for event in unanswered
            ]
        return found

    async def unhealthy_groups(self) -> list[str]:
        """Return a line for each gateway without an answer and each group without a leader or voters."""
        statuses = await gateway_statuses(self._addresses(), FLEET_NAME)
        found = [
            f"gateway {name} does not answer on its replication port"
            for name, status in statuses.items()
            if not status
        ]
        for group in range(GROUPS):
            status = leader_status(statuses, group)
            if status is None:
                found.append(f"group {group} has no leader")
            elif len(status["voters"]) != REPLICAS_PER_GROUP:
                found.append(f"group {group} must have {REPLICAS_PER_GROUP} voters, has {status['voters']}")
        return found

    def damaged_stores(self) -> list[str]:
        """Return the stores that gateways have set aside as damaged."""
        return [str(store) for name in self.names for store in self.store(name).glob("damaged-*")]

    async def close(self) -> None:
        """Cancel the clients' calls and close all connections."""
        for workload in self._workloads:
            workload.cancel()
        for client in self._clients:
            client.close()
        for proxy in self._proxies.values():
            await proxy.close()

    def _addresses(self) -> dict[str, Address]:
        return {name: (HOST, port) for name, port in self._ports.items()}
