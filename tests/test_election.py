"""Elections between gateways as they are configured: seeds come from the configuration, time is virtual."""

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
ELECTIONS = 10  # timeouts of the longest kind within which two of three have to agree


class Play:
    """Group 0 on gateways that begin at the same time and hear each other after the same delay."""

    def __init__(self, copies: list[ReplicationHost], missing: str) -> None:
        voters = (*(one.knowledge.replica() for one in copies), missing)
        stored = m.PersistentState(m.Snapshot(1, 1, 0.0, m.Members(voters), b""), term=1)
        self.nodes = {one.knowledge.replica(): one.groups.open(0, stored).node for one in copies}
        self.start = (
            max(one.election.deadline for one in self.nodes.values())
            - 2 * copies[0].services.raft_config.election_timeout_s
        )
        self.events: list[tuple[float, int, str, m.Event]] = []
        self.order = itertools.count()

    def put(self, at: float, name: str, event: m.Event) -> None:
        heapq.heappush(self.events, (at, next(self.order), name, event))

    def leader(self, until: float) -> str:
        """The first leader; an empty string if there is none by then."""
        for name, node in self.nodes.items():
            self.put(node.wake_time(), name, m.Tick())
        while self.events and self.events[0][0] < until:
            now, _, name, event = heapq.heappop(self.events)
            node = self.nodes[name]
            for output in node.step(now, event):
                match output:
                    case m.Send(to, message) if to in self.nodes:
                        self.put(now + MESSAGE_DELAY_S, to, m.MessageReceived(name, message))
                    case m.Write():
                        self.put(now + MESSAGE_DELAY_S, name, m.WriteCompleted(output.number))
            if node.role is Role.LEADER:
                return name
            if isinstance(event, m.Tick):
                self.put(max(now + MESSAGE_DELAY_S, node.wake_time()), name, m.Tick())
        return ""


def test_gateways_that_share_a_configured_seed_elect_a_leader(tmp_path: Path) -> None:
    """Two of three are left. With timeouts drawn alike both campaign at once, and neither gets a vote."""

    async def run() -> str:
        copies = [replication_host_in(tmp_path / name, name) for name in GATEWAY_NAMES[:2]]
        play = Play(copies, missing=f"{GATEWAY_NAMES[2]}/gone")
        leader = play.leader(play.start + ELECTIONS * 2 * copies[0].services.raft_config.election_timeout_s)
        for one in copies:
            one.peers.close()
            one.store.close()
        return leader

    assert asyncio.run(run())
