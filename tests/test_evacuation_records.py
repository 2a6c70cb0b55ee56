"""The records by which a machine's replicas migrate for long maintenance: what is set is revoked."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from mapleshunt.maintenance.records import JobState, MachineJob
from mapleshunt.net.maintenance.evacuation_records import CHECK_INTERVAL_S
from mapleshunt.net.replication.local_calls import OnResponse
from mapleshunt.replicated_state import commands
from mapleshunt.replicated_state.state_machine import Record
from mapleshunt.replication import wire

from .test_sessions import machine_of

GATEWAY, LEADER = "g0", "g1"


class FakeGroups:
    """Groups whose leader, if they have one, is another gateway; this one refuses and names it."""

    def __init__(self, values: list[str]) -> None:
        self.records = [Record(value, 1, "ana", 0.0) for value in values]
        self.asked = [GATEWAY] * len(values)  # by group: the gateway that is asked next
        self.has_leader = True
        self.job: MachineJob | None = MachineJob(GATEWAY, "r", JobState.DRAINING, 1, expires_at=1e9)

    def leader_of(self, group: int) -> str:
        return self.asked[group]

    def apply_redirect(self, group: int, response: wire.ClientResponse) -> None:
        self.asked[group] = response.leader_hint or GATEWAY

    def send(self, group: int, _command: bytes, to: str, on_response: OnResponse, read: str) -> int:
        is_of_job = read == f"place {GATEWAY}"
        assert is_of_job or read == f"record copies/away/{GATEWAY}"
        if is_of_job or (to == LEADER and self.has_leader):
            data = msgspec.msgpack.encode((0.0, self.job, True, True) if is_of_job else self.records[group])
            on_response(wire.ClientResponse(1, "done", "", data))
        else:
            on_response(wire.ClientResponse(1, "refused", LEADER if self.has_leader else ""))
        return 1

    def at(self, group: int) -> Any:
        """Return the session of a group."""

        def propose(operation: commands.SetRecord, _: object) -> None:
            assert operation.expected_version == self.records[group].version
            self.records[group] = Record(operation.value, operation.expected_version + 1, GATEWAY, 0.0)

        return SimpleNamespace(is_busy=lambda: False, propose=propose)


@pytest.mark.parametrize("restarts", [False, True])
@pytest.mark.parametrize(
    ("state", "value"),
    [(JobState.QUEUED, ""), (JobState.RETURNING, ""), (None, ""), (JobState.OUT, "work")],
)
def test_records_are_set_and_revoked_though_groups_refuse_and_the_gateway_restarts(
    state: JobState | None, value: str, restarts: bool
) -> None:
    # A refusal was dropped: the record stayed for good, and the group never used the machine again.
    groups, now = FakeGroups(["", "", "1"]), 0.0  # operators set the last one
    machine = machine_of(GATEWAY, groups, groups, [], groups=3)
    later_job = None if state is None else MachineJob(GATEWAY, "r", state, 1)
    for has_leader, job, expected in (
        (True, groups.job, ["work", "work", "1"]),
        (False, later_job, ["work", "work", "1"]),
        (True, later_job, [value, value, "1"]),
    ):
        groups.has_leader, groups.job = has_leader, job
        if not has_leader:
            groups.asked = [GATEWAY] * 3
            machine = machine_of(GATEWAY, groups, groups, [], groups=3) if restarts else machine
        for _ in range(4):  # a read that is refused, one of the leader, one after the write, and one more
            machine.tick(now)
            now += CHECK_INTERVAL_S
        assert [record.value for record in groups.records] == expected
