"""Tests of rolling maintenance of real gateways under faults; `benchmarks/` runs more schedules."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path

import pytest

from mapleshunt.maintenance.fleet_view import build_fleet_view
from mapleshunt.maintenance.jobs import MaintenanceJobs
from mapleshunt.settings import operators
from mapleshunt.settings.reader import SettingsError
from mapleshunt.testbed.faults.replicated_fleet import ReplicatedFleet, replicas_only_config
from mapleshunt.testbed.rolling_maintenance import (
    MaintenanceFault,
    RollingMaintenanceRun,
    ScheduledMaintenanceFault,
)

from .test_faults import PEERS, command_line

# The tests with real gateways are timed: they run one after another in one worker.
pytestmark = pytest.mark.xdist_group("gateways")

SCHEDULES = [
    [("kill_coordinator", "granted"), ("pause_it", "draining")],
    [("kill_it", "draining"), ("cut_it", "granted")],
    [("kill_all", "out")],
    [("kill_another", "safe"), ("lose_disk", "granted")],
    [("kill_coordinator", "out"), ("kill_coordinator", "returning")],
]


@pytest.mark.parametrize("number", range(len(SCHEDULES)))
def test_faults_during_rolling_maintenance_leave_each_machine_out_once_and_one_at_a_time(
    number: int, tmp_path: Path
) -> None:
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), 5, seed=number + 1, election_ms=500.0)
    schedule = [ScheduledMaintenanceFault(MaintenanceFault(kind), state) for kind, state in SCHEDULES[number]]
    report = asyncio.run(RollingMaintenanceRun(fleet).run(schedule))
    assert not report.violations and len(report.faults) == len(SCHEDULES[number]), report
    assert report.times_out == dict.fromkeys(fleet.machines, 1) and report.most_drained == 1
    logs = "".join(log.read_text() for log in tmp_path.glob("*/log"))
    assert "exception" not in logs and "event=maintenance_drains" in logs


def test_machines_are_taken_out_by_the_command_line(tmp_path: Path) -> None:
    fleet = ReplicatedFleet(tmp_path, replicas_only_config(), 3, seed=7, election_ms=500.0)
    # Each command starts a process; the grant is long enough for all of them on a busy machine.
    RollingMaintenanceRun(fleet, grant_s=60.0)  # sets the fleet's settings for maintenance

    async def run_commands() -> None:
        try:
            await fleet.start()
            run = command_line(tmp_path / "g0" / "operators.sexp")

            async def json_of(*args: str) -> object:
                code, text = await run("maintenance", *args, "--json")
                assert code == 0, text
                return json.loads(text)

            code, text = await run("maintenance", "request", "g9", "--reason", "disks")
            assert code == 2 and "no machine is named 'g9'" in text
            for _ in range(2):  # the second time as if the first response had been lost
                result = await json_of(
                    "request", "g1", "g2", "--reason", "disks", "--id", "r", "--expected", "5"
                )
                assert result == {"id": "r", "machines": ["g1", "g2"]}
            code, text = await run("maintenance", "request", "g2", "--reason", "more")
            assert code == 2 and "g2 is asked for already, by r" in text
            code, text = await run("maintenance", "return", "g2")
            assert code == 2 and "g2 is not out" in text
            plan = await json_of("plan")
            assert (
                isinstance(plan, dict) and [name for batch in plan["batches"] for name in batch][-1] == "g2"
            )
            code, text = await run("maintenance", "await-safe", "g1", "--patience", "20")
            assert code == 0, text
            assert (await run("maintenance", "hold", "--reason", "payday"))[0] == 0
            machine = fleet.machines["g1"]
            machine.kill()
            machine.start()
            assert (await run("maintenance", "return", "g1"))[0] == 0
            for _ in range(60):
                status = await json_of("status")
                assert isinstance(status, dict)
                if status["over"] == 1 and "held: payday" in status["waits_for"]:
                    break
            else:
                raise AssertionError(status)
            assert (await run("maintenance", "withdraw", "r"))[0] == 0
            assert (await run("maintenance", "await-safe", "g2", "--patience", "5"))[0] == 1
            shown = await json_of("show", "r")
            assert isinstance(shown, dict)
            states = [entry["state"] for entry in shown["story"] if entry["machine"] == "g1"]
            assert states == ["queued", "granted", "draining", "safe", "out", "returning", "done"]
            for machine in fleet.machines.values():
                machine.kill()
            assert (await run("maintenance", "list"))[0] == 1
        finally:
            await fleet.stop()

    asyncio.run(run_commands())


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("(maintenance (most 1))", "maintenance needs copies"),
        (f'(copies (fleet "f") (folder "x") {PEERS}) (maintenance (most 0))', "nobody ever goes"),
        (f'(copies (fleet "f") (folder "x") {PEERS}) (maintenance (most 1) (zone 2))', "more than most"),
    ],
)
def test_settings_that_allow_no_grant_are_rejected(text: str, message: str) -> None:
    with pytest.raises(SettingsError, match=message):
        operators.parse_settings(text)


def test_fleet_view_is_built_from_the_statuses_of_the_gateways() -> None:
    def status(name: str, accepts_clients: bool, role: str, commit: int) -> dict[str, object]:
        voters = [f"{voter}/i" for voter in ("a", "b", "c")]
        group = {"group": 0, "role": role, "term": 3, "leader": "a", "voters": voters, "commit": commit}
        return {"incarnation": "i", "takes": accepts_clients, "load": 0.5, "groups": [group]}

    statuses = {
        "a": status("a", True, "leader", 5000), "b": status("b", False, "follower", 4990),
        "c": status("c", True, "follower", 100), "d": None,
    }  # fmt: skip
    view = build_fleet_view(1.0, {"a": "x", "b": "x", "c": "y", "d": "y"}, 2, statuses, MaintenanceJobs())
    assert [(machine.name, machine.available, machine.groups_led) for machine in view.machines] == [
        ("a", True, 1), ("b", False, 0), ("c", True, 0), ("d", False, 0)
    ]  # fmt: skip
    assert view.groups[0].voters == ("a", "b", "c")
    assert view.groups[0].up_to_date == ("a", "b")  # c is too far behind
    assert (
        view.groups[1].voters == ("a", "b", "c", "d") and not view.groups[1].up_to_date
    )  # it has no known leader
