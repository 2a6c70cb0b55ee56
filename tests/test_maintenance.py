"""Tests of maintenance: the model explored for a few machines, and each rule of the state machine."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from mapleshunt.maintenance import commands as w
from mapleshunt.maintenance.agent import AgentAction, AgentActionKind, MaintenanceAgent, RemainingWork
from mapleshunt.maintenance.budget import Budget, budget_error
from mapleshunt.maintenance.jobs import URGENCY_STEP_MS, MaintenanceError, MaintenanceJobs
from mapleshunt.maintenance.records import OUT_STATES, HistoryEntry, MachineJob, MaintenanceSnapshot
from mapleshunt.maintenance.summary import summarize
from mapleshunt.simulation.long_maintenance_plays import PLANTED_FAULTS as LONG_PLANTED_FAULTS
from mapleshunt.simulation.long_maintenance_plays import LongMaintenanceModel
from mapleshunt.simulation.maintenance_plays import PLANTED_FAULTS, explore, random_walk

# Depth at which the model check finds a planted fault; 5 for the others.
DEPTH = {"AskedTwice": 7, "ReturnTakenForGranted": 8, "ForgetsUnplanned": 7}


def test_every_interleaving_up_to_a_depth_keeps_the_rules() -> None:
    states, broken = explore(7)
    assert not broken and states > 1500  # at depth 12 there are 14510


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_long_random_walks_keep_the_rules_and_finish_all_jobs(first: int) -> None:
    for seed in range(first, first + 20):
        world, broken = random_walk(seed, 80)
        assert not broken, (seed, broken)
        assert {job.state for job in world.maintenance.jobs.values()} == {"done"}


@pytest.mark.parametrize("plant", PLANTED_FAULTS)
def test_planted_fault_is_found(plant: str) -> None:
    _, broken = explore(DEPTH.get(plant, 5), *PLANTED_FAULTS[plant])
    assert broken


# The first seed that finds each planted fault of long maintenance.
FIRST_FINDING_SEED = {"RevokedOnce": 150, "ForgottenAtRestart": 0}


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_long_maintenance_ends_and_leaves_no_mark(first: int) -> None:
    for seed in range(first, first + 20):
        _, broken = random_walk(seed, 80, model_type=LongMaintenanceModel)
        assert not broken, (seed, broken)


@pytest.mark.parametrize("plant", LONG_PLANTED_FAULTS)
def test_planted_fault_of_long_maintenance_is_found(plant: str) -> None:
    seed = FIRST_FINDING_SEED[plant]
    assert random_walk(seed, 80, model_type=LONG_PLANTED_FAULTS[plant])[1]
    assert not random_walk(seed, 80, model_type=LongMaintenanceModel)[1]


NAMES = [f"g{n}" for n in range(6)]


class Fleet:
    """Six machines in two zones, and the state machine of their jobs."""

    def __init__(self, **budget: Any) -> None:
        self.jobs, self.now, self.wall_time = MaintenanceJobs(), 0.0, 1000.0
        self.load, self.down, self.up_to_date = 0.1, set[str](), set(NAMES)
        self.versions: dict[str, str] = {}
        defaults = {"max_out": 2, "pause_s": 0.0, "drain_s": 10.0}
        self.apply(w.SetBudget(Budget(**{**defaults, **budget}), "op"))

    def apply(self, operation: w.Operation) -> None:
        self.jobs.apply(1000 * self.now, operation)

    def request(self, id: str, *machines: str, **more: Any) -> None:
        self.apply(w.RequestMaintenance(id, machines, "disks", "op", **more))

    def apply_view(self) -> list[str]:
        """Apply the coordinator's view of the fleet, and return the machines that are out after that."""
        views = tuple(
            w.MachineView(name, f"z{n % 2}", name not in self.down, 0, self.load, self.versions.get(name, ""))
            for n, name in enumerate(NAMES)
        )
        voters = ("g0", "g1", "g2")
        available = tuple(voter for voter in voters if voter in self.up_to_date and voter not in self.down)
        self.apply(w.FleetView(self.wall_time, views, (w.GroupView(voters, available),)))
        return sorted(job.machine for job in self.jobs.open_jobs() if job.state in OUT_STATES)

    def report(self, machine: str, *states: str) -> None:
        for state in states:
            job = self.jobs.job_of(machine)
            assert job is not None
            self.apply(w.ReportProgress(machine, job.fencing_token, state))

    def take_out(self, machine: str) -> None:
        self.report(machine, "draining", "safe", "out")
        self.down.add(machine)

    def bring_back(self, machine: str) -> None:
        self.down.discard(machine)
        self.report(machine, "returning")


@pytest.mark.parametrize(
    ("budget", "message"),
    [
        ({"max_out": 0}, "nobody ever goes"), ({"max_out_per_zone": 0}, "nobody ever goes"),
        ({"max_out_per_zone": 3}, "more than most"),
        ({"max_load": 0.1, "load_slack": 0.1}, "not above slack"), ({"drain_s": 0.0}, "drain must be 1 s"),
        ({"pause_s": float("nan")}, "pause must be 0"),
        ({"closed_windows": ((2.0, 1.0),)}, "ends before it begins"),
    ],
)  # fmt: skip
def test_budget_that_allows_no_grant_is_rejected(budget: dict[str, Any], message: str) -> None:
    invalid = Budget(**{"max_out": 2, **budget})
    assert message in budget_error(invalid)
    with pytest.raises(MaintenanceError, match=message):
        MaintenanceJobs().apply(0.0, w.SetBudget(invalid, "op"))


def test_machines_of_a_request_alternate_zones_and_leave_a_majority_of_each_group() -> None:
    fleet = Fleet(max_out=3, max_out_per_zone=2)
    fleet.request("all", *NAMES)
    assert fleet.apply_view() == ["g0"]  # without g1 or g2 its group would have no majority
    assert "majority" in fleet.jobs.blocked_reason
    fleet.take_out("g0")
    fleet.bring_back("g0")
    assert fleet.apply_view() == ["g1"]  # g2 is next, and no other machine overtakes it
    taken_out = ["g0", "g1"]
    for _ in range(20):
        for job in list(fleet.jobs.open_jobs()):
            if job.state == "granted":
                fleet.take_out(job.machine)
                fleet.bring_back(job.machine)
                taken_out += [job.machine] if job.machine not in taken_out else []
        fleet.apply_view()
    assert sorted(taken_out) == NAMES and not fleet.jobs.open_jobs()


def test_unplanned_loss_uses_up_the_budget_and_recalls_a_draining_machine() -> None:
    fleet = Fleet()
    fleet.request("r", "g3", "g4")
    assert fleet.apply_view() == ["g3", "g4"]
    fleet.report("g3", "draining")
    fleet.down.add("g5")
    fleet.apply_view()
    assert [job.state for job in fleet.jobs.open_jobs()] == ["draining", "recalled"]  # the last granted
    fleet.report("g4", "undone")
    assert fleet.apply_view() == ["g3"] and "2 of 2 are out: g3, g5" in fleet.jobs.blocked_reason
    fleet.down.clear()
    assert fleet.apply_view() == ["g3", "g4"]


def test_expired_grant_counts_until_it_is_undone_and_its_fencing_token_is_rejected() -> None:
    fleet = Fleet(max_out=1)
    fleet.request("r", "g3", "g4")
    fleet.apply_view()
    fence = fleet.jobs.last_fencing_token
    fleet.report("g3", "draining")
    fleet.now += 11
    with pytest.raises(MaintenanceError, match="run out"):
        fleet.report("g3", "safe")
    assert fleet.apply_view() == ["g3"] and fleet.jobs.open_jobs()[0].state == "recalled"
    fleet.report("g3", "undone")
    assert fleet.apply_view() == ["g3"] and fleet.jobs.last_fencing_token == fence + 1
    with pytest.raises(MaintenanceError, match="fence"):
        fleet.apply(w.ReportProgress("g3", fence, "safe"))


def test_reason_why_a_machine_waits_is_stored_and_force_overrides_all_but_a_majority() -> None:
    fleet = Fleet(max_load=0.5, load_slack=0.2, closed_windows=((2000.0, 3000.0),), pause_s=5.0)
    fleet.request("r", "g3", earliest_time=1500.0)
    for wall_time, reason in (1000.0, "earliest"), (2500.0, "closed window"), (3000.0, ""):
        fleet.wall_time = wall_time
        fleet.load = 0.1 if reason else 0.45
        assert bool(fleet.apply_view()) is not bool(reason) or "loaded" in fleet.jobs.blocked_reason
        assert reason in fleet.jobs.blocked_reason
    fleet.load = 0.3  # below the limit, but by less than the slack
    assert not fleet.apply_view() and "loaded to 0.36 of 0.30" in fleet.jobs.blocked_reason
    fleet.load = 0.2
    assert fleet.apply_view() == ["g3"]
    fleet.take_out("g3")
    fleet.bring_back("g3")
    fleet.request("s", "g4")
    assert not fleet.apply_view() and "pause" in fleet.jobs.blocked_reason
    fleet.apply(w.SetHold(True, "op", "payday"))
    fleet.now += 6
    assert not fleet.apply_view() and "held: payday (op)" in fleet.jobs.blocked_reason
    fleet.apply(w.ForceGrant("g4", "op", "it burns"))
    assert fleet.apply_view() == ["g4"]
    fleet.request("t", "g0")
    fleet.up_to_date = {"g0", "g1"}
    fleet.apply(w.ForceGrant("g0", "op", "now"))
    assert fleet.apply_view() == ["g4"] and "majority" in fleet.jobs.blocked_reason


def test_failures_stop_grants_until_an_operator_resumes() -> None:
    fleet = Fleet(max_out=1, max_failures=1)
    fleet.request("roll", "g3", "g4", target_version="2")
    fleet.apply_view()
    fleet.take_out("g3")
    fleet.bring_back("g3")
    fleet.versions["g3"] = "1"
    assert not fleet.apply_view() and "1 machines failed" in fleet.jobs.blocked_reason
    history = fleet.jobs.jobs["roll", "g3"].history
    assert history[-1].reason == "it is back with version 1, not 2"
    fleet.apply(w.SetHold(False, "op"))
    assert fleet.apply_view() == ["g4"]


def test_urgent_request_does_not_overtake_one_that_has_waited_for_longer_than_a_step() -> None:
    fleet = Fleet(max_out=1)
    fleet.request("old", "g3")
    fleet.apply(w.SetHold(True, "op"))
    fleet.now += URGENCY_STEP_MS / 1000 + 1
    fleet.request("urgent", "g4", urgency=1)
    fleet.apply(w.SetHold(False, "op"))
    assert fleet.apply_view() == ["g3"]


def test_request_is_accepted_once_and_withdrawn_in_any_state() -> None:
    fleet = Fleet(max_out=1)
    fleet.request("r", "g3", "g4")
    fleet.request("r", "g3", "g4")
    with pytest.raises(MaintenanceError, match="g4 is asked for already, by r"):
        fleet.request("s", "g4")
    fleet.apply_view()
    fleet.report("g3", "draining")
    fleet.apply(w.WithdrawRequest("r", "op"))
    assert [fleet.jobs.jobs["r", name].state for name in ("g3", "g4")] == ["recalled", "withdrawn"]
    fleet.report("g3", "undone")
    assert not fleet.jobs.open_jobs()
    restored = MaintenanceJobs()
    data = msgspec.msgpack.encode(fleet.jobs.snapshot())
    restored.restore(msgspec.msgpack.decode(data, type=MaintenanceSnapshot))
    assert restored.snapshot() == fleet.jobs.snapshot()


EMPTY, BUSY = RemainingWork(0, 0, 0, 0, True), RemainingWork(2, 1, 1, 1, True)


def test_agent_drains_under_its_grant_and_undoes_that_when_the_grant_ends() -> None:
    agent = MaintenanceAgent()
    job = MachineJob("g3", "r", "granted", fencing_token=4, expires_at=10_000.0)
    agent.update_grant(100.0, 0.0, job)
    actions = agent.step(100.1, job, False, RemainingWork(2, 1, 1, 1, False))
    assert actions == [
        AgentAction(AgentActionKind.DRAIN),
        AgentAction(AgentActionKind.HAND_OVER),
        AgentAction(AgentActionKind.REPORT, "draining", "", 4),
    ]
    job = msgspec.structs.replace(job, state="draining")
    assert agent.step(101.0, job, False, BUSY) == [
        AgentAction(AgentActionKind.HAND_OVER, "", "requests 2, clients 1, groups led 1")
    ]
    suspended = MaintenanceAgent()
    suspended.update_grant(100.0, 0.0, job)
    suspended.step(100.1, job, True, BUSY)
    assert suspended.step(109.95, job, True, EMPTY) == [  # after a SIGSTOP: another machine may have a grant
        AgentAction(AgentActionKind.RESUME),
        AgentAction(AgentActionKind.TAKE_BACK),
        AgentAction(AgentActionKind.REPORT, "undone", "too late by its own clock", 4),
    ]
    assert agent.step(102.0, job, False, EMPTY) == [AgentAction(AgentActionKind.REPORT, "safe", "", 4)]
    recalled = msgspec.structs.replace(job, state="recalled")
    assert agent.step(103.0, recalled, False, EMPTY) == [AgentAction(AgentActionKind.RESUME)]
    assert agent.step(103.1, recalled, False, EMPTY) == []  # reported once it accepts clients again
    assert agent.step(103.2, recalled, False, RemainingWork(0, 0, 0, 0, False))[0].state == "undone"


def test_summary_of_a_large_state_fits_in_a_response_and_includes_all_open_requests() -> None:
    jobs, machines = MaintenanceJobs(), tuple(f"n{number}" for number in range(200))
    for number in range(40):
        jobs.apply(float(number), w.RequestMaintenance(f"roll-{number}", machines, "reason" * 20, "op", 60.0))
        for machine in machines if number < 39 else machines[:100]:
            job = jobs.jobs[f"roll-{number}", machine]
            history = tuple(HistoryEntry(float(step), "granted", "why" * 10) for step in range(20))
            jobs.jobs[f"roll-{number}", machine] = msgspec.structs.replace(job, state="done", history=history)
    snapshot, max_bytes = jobs.snapshot(), 500_000
    summary = summarize(snapshot, max_bytes)
    assert len(msgspec.msgpack.encode(snapshot)) > max_bytes >= len(msgspec.msgpack.encode(summary))
    included = [request.details.request_id for request in summary.requests]
    assert included == [f"roll-{number}" for number in range(40 - len(included), 40)] and len(included) > 1
    restored = MaintenanceJobs()
    restored.restore(summary)
    assert [open_job.machine for open_job in restored.open_jobs()] == [
        open_job.machine for open_job in jobs.open_jobs()
    ]
    assert summarize(snapshot, 1 << 30) == snapshot
