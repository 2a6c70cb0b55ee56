"""The coordinator of maintenance: what it saw while it led group 0 is not proposed to the next leader."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

from mapleshunt.maintenance.commands import FleetView, RequestMaintenance
from mapleshunt.maintenance.jobs import MaintenanceJobs
from mapleshunt.net.maintenance.coordinator import Coordinator
from mapleshunt.net.maintenance.proposal_session import RETRY_INTERVAL_S, ProposalSessions
from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state.results import Result

from .test_sessions import FakeGroup

ZONES = {"g0": "a", "g1": "b", "g2": "c"}


class LeadingGateway:
    """A fake of `ReplicationHost` whose replica of group 0 leads in term 3."""

    def __init__(self, requests: FakeGroup) -> None:
        self.requests, self.gateway, self.zones = requests, "g0", ZONES
        self.section = SimpleNamespace(groups=1)
        self.peers = SimpleNamespace(connected_peers=lambda: [])
        self.status = lambda: {"groups": [], "incarnation": "1"}
        self.leads, self.node = True, SimpleNamespace(term=3)
        self.groups = {0: SimpleNamespace(is_leader=lambda: self.leads, node=self.node)}

    def cut_off(self) -> None:
        """Lose the leadership, as after a cut."""
        self.leads = False

    def lead_again(self) -> None:
        """Win a later election; others led meanwhile."""
        self.node.term = 5


def check_that_a_view_is_dropped(group: FakeGroup, change: Callable[[LeadingGateway], None]) -> None:
    """Propose a fleet view, have `change` happen before it is answered, and check what is sent after that."""
    jobs = MaintenanceJobs()
    jobs.apply(0.0, RequestMaintenance("r", ("g0",), "disk", "ana"))
    section: Any = SimpleNamespace(budget=lambda: jobs.budget)
    gateway: Any = LeadingGateway(group)
    requests: Any = group
    sessions = ProposalSessions(requests)
    coordinator = Coordinator(gateway, sessions, section)
    coordinator.tick(group.now(), jobs)
    group.answer_all()  # the session is open
    assert [type(operation) for operation in sent_operations(group)] == [FleetView]
    change(gateway)
    group.calls.clear()  # cut off: never answered
    results = list[Result]()
    sessions.at(0).propose(w.SetRecord("a", "1", 0), results.append)
    for interval in range(1, 4):
        sessions.tick(group.now() + interval * RETRY_INTERVAL_S)
    assert {type(operation) for operation in sent_operations(group)} == {w.SetRecord}
    group.answer_all()
    assert len(results) == 1  # the operations behind the view go on


def sent_operations(group: FakeGroup) -> list[w.Operation]:
    return [w.decode_command(call).operation for call in group.calls.values()]


def test_fleet_view_is_not_sent_to_the_next_leader() -> None:
    # Guards against grants by an old view, which was sent again until the next leader committed it.
    async def run() -> None:
        for change in (LeadingGateway.cut_off, LeadingGateway.lead_again):
            check_that_a_view_is_dropped(FakeGroup(), change)

    asyncio.run(run())
