"""The records by which a machine's replicas migrate for long maintenance: what is set is revoked."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import msgspec
import pytest

from mapleshunt.maintenance.records import JobState, MachineJob
from mapleshunt.net.maintenance.evacuation_records import CHECK_INTERVAL_S
from mapleshunt.net.maintenance.machine import Machine
from mapleshunt.net.replication.local_calls import OnResponse
from mapleshunt.replicated_state import commands
from mapleshunt.replicated_state.results import Applied, Result
from mapleshunt.replicated_state.state_machine import Record
from mapleshunt.replication import wire

GATEWAY, LEADER = "g0", "g1"
KEY = f"copies/away/{GATEWAY}"


class FakeGroups:
    """Groups that gateway `g1` leads; others refuse and, if they know it, name it."""

    def __init__(self, values: list[str]) -> None:
        self.records = [Record(value, 1, "ana", 0.0) for value in values]
        self.asked = [GATEWAY] * len(values)  # by group: the gateway that is asked next
        self.has_leader = True
        self.job: MachineJob | None = None

    def leader_of(self, group: int) -> str:
        return self.asked[group]

    def apply_redirect(self, group: int, response: wire.ClientResponse) -> None:
        self.asked[group] = response.leader_hint or GATEWAY

    def send(self, group: int, _command: bytes, to: str, on_response: OnResponse, read: str) -> int:
        if read.startswith("place"):
            data = msgspec.msgpack.encode((0.0, self.job, True, True))
            on_response(wire.ClientResponse(1, "done", "", data))
        elif to == LEADER and self.has_leader:
            assert read == f"record {KEY}"
            on_response(wire.ClientResponse(1, "done", "", msgspec.msgpack.encode(self.records[group])))
        else:
            on_response(wire.ClientResponse(1, "refused", LEADER if self.has_leader else ""))
        return 1

    def abandon(self, _number: int) -> None: ...

    def at(self, group: int) -> Any:
        """Return the session of a group."""

        def propose(operation: commands.SetRecord, on_result: Callable[[Result], None]) -> None:
            assert operation.key == KEY and operation.expected_version == self.records[group].version
            self.records[group] = Record(operation.value, operation.expected_version + 1, GATEWAY, 0.0)
            on_result(Applied())

        return SimpleNamespace(is_busy=lambda: False, propose=propose)

    def values(self) -> list[str]:
        return [record.value for record in self.records]


def machine_of(groups: FakeGroups) -> Machine:
    """Return a machine whose job is that of the groups."""
    occupancy = SimpleNamespace(open_requests=0, client_connections=0, is_drained=False)
    replication: Any = SimpleNamespace(
        requests=groups,
        gateway=GATEWAY,
        groups=SimpleNamespace(hosts={}),
        knowledge=SimpleNamespace(replica=lambda: f"{GATEWAY}/1"),
        section=SimpleNamespace(groups=len(groups.records)),
    )
    controls: Any = SimpleNamespace(
        occupancy=lambda: occupancy, drain=lambda: None, resume=lambda: None, load=lambda: 0.0
    )
    sessions: Any = groups
    return Machine(replication, sessions, controls)


def tick_some_times(machine: Machine, start: float) -> float:
    """Tick a machine until each record that is read is read again; return the time after that."""
    for number in range(4):
        machine.tick(start + number * CHECK_INTERVAL_S)
    return start + 4 * CHECK_INTERVAL_S


@pytest.mark.parametrize("state", [JobState.QUEUED, JobState.RETURNING, None])
def test_records_are_revoked_though_groups_refuse_at_first(state: JobState | None) -> None:
    # A refusal was dropped: the record stayed for good, and the group never used the machine again.
    groups = FakeGroups(["", "", "1"])
    machine = machine_of(groups)
    groups.job = MachineJob(GATEWAY, "r", JobState.DRAINING, fencing_token=1, expires_at=1e9)
    now = tick_some_times(machine, 0.0)
    assert groups.values() == ["work", "work", "1"]  # operators set the last one
    groups.has_leader, groups.asked = False, [GATEWAY] * 3
    groups.job = MachineJob(GATEWAY, "r", state, fencing_token=1) if state is not None else None
    now = tick_some_times(machine, now)
    assert groups.values() == ["work", "work", "1"]
    groups.has_leader = True
    tick_some_times(machine, now)
    assert groups.values() == ["", "", "1"]


@pytest.mark.parametrize(("state", "value"), [(None, ""), (JobState.QUEUED, ""), (JobState.OUT, "work")])
def test_records_of_an_earlier_process_are_revoked_unless_work_goes_on(
    state: JobState | None, value: str
) -> None:
    groups = FakeGroups(["work", "1"])
    groups.job = MachineJob(GATEWAY, "r", state, fencing_token=1) if state is not None else None
    tick_some_times(machine_of(groups), 0.0)
    assert groups.values() == [value, "1"]
