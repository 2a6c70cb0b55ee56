"""The coordinator of maintenance: what it saw while it led group 0 is not proposed to the next leader."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import Any

import pytest

from mapleshunt.maintenance.commands import FleetView, RequestMaintenance
from mapleshunt.maintenance.jobs import MaintenanceJobs
from mapleshunt.net.maintenance.coordinator import Coordinator
from mapleshunt.net.maintenance.proposal_session import RETRY_INTERVAL_S, ProposalSessions
from mapleshunt.replicated_state import commands as w
from mapleshunt.replicated_state.results import Result

from .test_sessions import FakeGroup


def sent_operations(group: FakeGroup) -> list[type[w.Operation]]:
    return [type(w.decode_command(call).operation) for call in group.calls.values()]


@pytest.mark.parametrize(
    ("leads", "term", "sent"),
    [(True, 3, FleetView), (False, 3, w.SetRecord), (False, 4, w.SetRecord), (True, 5, w.SetRecord)],
)
def test_fleet_view_is_sent_again_only_under_the_leadership_that_saw_it(
    leads: bool, term: int, sent: type[w.Operation]
) -> None:
    # Guards against grants by an old view, which was sent again until the next leader committed it.
    async def run() -> None:
        group, jobs, results = FakeGroup(), MaintenanceJobs(), list[Result]()
        jobs.apply(0.0, RequestMaintenance("r", ("g0",), "disk", "ana"))
        leadership = SimpleNamespace(is_leader=lambda: leads, node=SimpleNamespace(term=3))
        gateway: Any = SimpleNamespace(
            requests=group,
            gateway="g0",
            zones={"g0": "a", "g1": "b", "g2": "c"},
            section=SimpleNamespace(groups=1),
            peers=SimpleNamespace(connected_peers=lambda: []),
            status=lambda: {"groups": [], "incarnation": "1"},
            groups={0: SimpleNamespace(is_leader=lambda: True, node=leadership.node)},
        )
        requests: Any = group
        sessions = ProposalSessions(requests)
        section: Any = SimpleNamespace(budget=lambda: jobs.budget)
        Coordinator(gateway, sessions, section).tick(group.now(), jobs)
        group.answer_all()  # the session is open
        assert sent_operations(group) == [FleetView]
        group.calls.clear()  # cut off: never answered
        gateway.groups[0], leadership.node.term = leadership, term
        sessions.at(0).propose(w.SetRecord("a", "1", 0), results.append)
        for interval in range(1, 4):
            sessions.tick(group.now() + interval * RETRY_INTERVAL_S)
        assert set(sent_operations(group)) == {sent}
        group.answer_all()
        group.answer_all()
        assert len(results) == 1  # the operation behind the view goes on

    asyncio.run(run())
