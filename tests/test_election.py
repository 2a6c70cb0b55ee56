"""Elections between configured gateways: their seeds come from the configuration, time is virtual."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from pathlib import Path

from mapleshunt.net.replication.host import ReplicationHost
from mapleshunt.replication import messages as m
from mapleshunt.replication.roles import Role

from .test_replica_stores import GATEWAY_NAMES, replication_host_in

MESSAGE_DELAY_S = 0.001
ELECTIONS = 10  # longest election timeouts within which two of three replicas have to elect a leader


class VirtualGroup:
    """Group 0 on gateways that start at the same time and exchange messages with the same delay."""

    def __init__(self, hosts: list[ReplicationHost], missing: str) -> None:
        voters = (*(host.knowledge.replica() for host in hosts), missing)
        stored = m.PersistentState(m.Snapshot(1, 1, 0.0, m.Members(voters), b""), term=1)
        self.nodes = {host.knowledge.replica(): host.groups.open(0, stored).node for host in hosts}
        self.start = (
            max(node.election.deadline for node in self.nodes.values())
            - 2 * hosts[0].services.raft_config.election_timeout_s
        )
        self.events: list[tuple[float, int, str, m.Event]] = []
        self.order = itertools.count()

    def schedule(self, at: float, name: str, event: m.Event) -> None:
        heapq.heappush(self.events, (at, next(self.order), name, event))

    def elect_leader(self, until: float) -> str:
        """Return the first leader; an empty string if there is none by `until`."""
        for name, node in self.nodes.items():
            self.schedule(node.wake_time(), name, m.Tick())
        while self.events and self.events[0][0] < until:
            now, _, name, event = heapq.heappop(self.events)
            node = self.nodes[name]
            for output in node.step(now, event):
                match output:
                    case m.Send(to, message) if to in self.nodes:
                        self.schedule(now + MESSAGE_DELAY_S, to, m.MessageReceived(name, message))
                    case m.Write():
                        self.schedule(now + MESSAGE_DELAY_S, name, m.WriteCompleted(output.number))
            if node.role is Role.LEADER:
                return name
            if isinstance(event, m.Tick):
                self.schedule(max(now + MESSAGE_DELAY_S, node.wake_time()), name, m.Tick())
        return ""


def test_gateways_that_share_a_configured_seed_elect_a_leader(tmp_path: Path) -> None:
    """Two of three replicas are up. With equal timeouts both campaign at once, and neither gets a vote."""

    async def run() -> str:
        hosts = [replication_host_in(tmp_path / name, name) for name in GATEWAY_NAMES[:2]]
        group = VirtualGroup(hosts, missing=f"{GATEWAY_NAMES[2]}/gone")
        leader = group.elect_leader(
            group.start + ELECTIONS * 2 * hosts[0].services.raft_config.election_timeout_s
        )
        for host in hosts:
            host.peers.close()
            host.store.close()
        return leader

    assert asyncio.run(run())
