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

FLEET_NAME = "soak"
GROUPS = 4
REPLICAS = 3  # of a group
ELECTION_MS = 500.0
CLIENTS = 2  # of each group
CALL_PAUSE_S = 0.1  # between two operations of a client
SETTLE_TIMEOUT_S = 20.0  # within which all has to be answered once no fault is left
SETTINGS = ReplicationSettings(
    FLEET_NAME, groups=GROUPS, replicas=REPLICAS, election_ms=ELECTION_MS, more_sections=MAINTENANCE
)


class SoakReplicas:
    """The first gateways of a fleet hold replicas, each pair of them linked by a proxy."""

    def __init__(self, folder: Path, count: int, seed: int) -> None:
        """`count` gateways hold replicas, whose stores and settings are in `folder`."""
        self.names = [f"n{number}" for number in range(count)]
        self._folder = folder
        self._random = random.Random(f"{seed} copies")
        self._histories: dict[int, list[HistoryEvent]] = {}  # by group
        self._clients: list[ReplicaClient] = []  # group by group
        self._workloads: list[asyncio.Task[None]] = []
        self._ended = False  # the clients begin no more calls
        self._ports = {name: free_port(socket.SOCK_STREAM) for name in self.names}
        self._proxies = {
            pair: FaultProxy(self._ports[pair[1]]) for pair in itertools.combinations(sorted(self.names), 2)
        }

    @property
    def calls(self) -> int:
        """How many calls the clients have begun."""
        return sum(map(len, self._histories.values()))

    def store(self, name: str) -> Path:
        """Return the folder of that gateway's store, which is there from the start."""
        folder = self._folder / f"disk-{name}"
        folder.mkdir(parents=True, exist_ok=True)
        return folder

    def environment(self, name: str) -> dict[str, str]:
        """Return the environment variables that switch replication on in that gateway."""
        peers = []
        for other in self.names:
            proxy = self._proxies.get((name, other))  # the lower name dials
            peers.append(PeerAddress(other, proxy.port if proxy is not None else self._ports[other]))
        file = self._folder / f"operators-{name}.sexp"
        file.write_text(SETTINGS.render(self.store(name), peers))
        return {"PROXY_OPERATORS": str(file)}

    async def start(self) -> None:
        """Let the proxies accept connections."""
        for proxy in self._proxies.values():
            await proxy.start()

    def start_clients(self) -> None:
        """Let clients call each group from now on; all that they see is recorded."""
        for group in range(GROUPS if self.names else 0):
            for number in range(CLIENTS):
                client = self.client(f"s{number}", group)
                client.history = self._histories.setdefault(group, [])
                self._clients.append(client)
                workload = run_workload(client, lambda: self._ended, CALL_PAUSE_S)
                self._workloads.append(asyncio.create_task(workload))

    def client(self, name: str, group: int) -> ReplicaClient:
        """Return a further client of a group, whose operations are not among those that are judged."""
        rng = random.Random(self._random.getrandbits(64))
        return ReplicaClient(name, self._addresses(), FLEET_NAME, group, [], time.monotonic, rng)

    def proxies_of(self, names: Sequence[str]) -> list[FaultProxy]:
        """Return the proxies of all links of those gateways."""
        return [proxy for pair, proxy in self._proxies.items() if set(pair) & set(names)]

    async def violations(self) -> list[str]:
        """End the calls, each of which has to be answered now that all is healed, and check the history."""
        self._ended = True
        try:
            await asyncio.wait_for(asyncio.gather(*self._workloads), SETTLE_TIMEOUT_S)
            found: list[str] = []
            for group, history in self._histories.items():
                final = await read_final_state(self._clients[CLIENTS * group], SETTLE_TIMEOUT_S)
                violations = find_violations(history, final, BURST)
                found += [f"group {group}: {violation}" for violation in violations]
        except TimeoutError:
            events = [event for history in self._histories.values() for event in history]
            unanswered = [event for event in events if not event.ended_at]
            return [f"not answered: {event.session} {event.operation}" for event in unanswered]
        return found

    async def unhealthy_groups(self) -> list[str]:
        """Return what is wrong with the groups: each must have a leader and all its replicas."""
        statuses = await gateway_statuses(self._addresses(), FLEET_NAME)
        found = [
            f"{name} does not answer on its replication port"
            for name, status in statuses.items()
            if not status
        ]
        for group in range(GROUPS):
            status = leader_status(statuses, group)
            if status is None:
                found.append(f"group {group} has no leader")
            elif len(status["voters"]) != REPLICAS:
                found.append(f"group {group} has voters {status['voters']}")
        return found

    def damaged_stores(self) -> list[str]:
        """Return the stores that gateways have set aside."""
        return [str(store) for name in self.names for store in self.store(name).glob("damaged-*")]

    async def close(self) -> None:
        """Cancel the clients' calls, and close all connections."""
        for workload in self._workloads:
            workload.cancel()
        for client in self._clients:
            client.close()
        for proxy in self._proxies.values():
            await proxy.close()

    def _addresses(self) -> dict[str, Address]:
        return {name: (HOST, port) for name, port in self._ports.items()}
