"""Machines taken out for work: what is settled, walked through for a few machines, and each rule."""

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
from mapleshunt.simulation.maintenance_plays import PLANTED_FAULTS, explore, random_walk

DEPTH = {"AskedTwice": 7, "ReturnTakenForGranted": 8, "ForgetsUnplanned": 7}  # by which each is found; else 5


def test_every_interleaving_to_a_depth_keeps_the_rules() -> None:
    states, broken = explore(7)
    assert not broken and states > 1500  # 14510 at depth 12


@pytest.mark.parametrize("first", range(0, 60, 20))
def test_long_ways_keep_the_rules_and_come_to_their_end(first: int) -> None:
    for seed in range(first, first + 20):
        world, broken = random_walk(seed, 80)
        assert not broken, (seed, broken)
        assert {one.state for one in world.maintenance.jobs.values()} == {"done"}


@pytest.mark.parametrize("plant", PLANTED_FAULTS)
def test_a_planted_fault_is_found(plant: str) -> None:
    _, broken = explore(DEPTH.get(plant, 5), *PLANTED_FAULTS[plant])
    assert broken


NAMES = [f"g{n}" for n in range(6)]


class Fleet:
    """Six machines in two zones, and the log."""

    def __init__(self, **budget: Any) -> None:
        self.works, self.now, self.wall = MaintenanceJobs(), 0.0, 1000.0
        self.load, self.down, self.sound = 0.1, set[str](), set(NAMES)
        self.versions: dict[str, str] = {}
        plain = {"max_out": 2, "pause_s": 0.0, "drain_s": 10.0}
        self.do(w.SetBudget(Budget(**{**plain, **budget}), "op"))

    def do(self, operation: w.Operation) -> None:
        self.works.apply(1000 * self.now, operation)

    def ask(self, id: str, *machines: str, **more: Any) -> None:
        self.do(w.RequestMaintenance(id, machines, "disks", "op", **more))

    def see(self) -> list[str]:
        """What the coordinator sees: who is at work after that."""
        sights = tuple(
            w.MachineView(name, f"z{n % 2}", name not in self.down, 0, self.load, self.versions.get(name, ""))
            for n, name in enumerate(NAMES)
        )
        voters = ("g0", "g1", "g2")
        up = tuple(one for one in voters if one in self.sound and one not in self.down)
        self.do(w.FleetView(self.wall, sights, (w.GroupView(voters, up),)))
        return sorted(one.machine for one in self.works.open_jobs() if one.state in OUT_STATES)

    def tell(self, machine: str, *what: str) -> None:
        for one in what:
            place = self.works.job_of(machine)
            assert place is not None
            self.do(w.ReportProgress(machine, place.fencing_token, one))

    def out(self, machine: str) -> None:
        self.tell(machine, "draining", "safe", "out")
        self.down.add(machine)

    def back(self, machine: str) -> None:
        self.down.discard(machine)
        self.tell(machine, "returning")


@pytest.mark.parametrize(
    ("budget", "said"),
    [
        ({"max_out": 0}, "nobody ever goes"), ({"max_out_per_zone": 0}, "nobody ever goes"),
        ({"max_out_per_zone": 3}, "more than most"),
        ({"max_load": 0.1, "load_slack": 0.1}, "not above slack"), ({"drain_s": 0.0}, "drain must be 1 s"),
        ({"pause_s": float("nan")}, "pause must be 0"),
        ({"closed_windows": ((2.0, 1.0),)}, "ends before it begins"),
    ],
)  # fmt: skip
def test_a_budget_that_lets_nobody_go_is_told_when_it_is_set(budget: dict[str, Any], said: str) -> None:
    whole = Budget(**{"max_out": 2, **budget})
    assert said in budget_error(whole)
    with pytest.raises(MaintenanceError, match=said):
        MaintenanceJobs().apply(0.0, w.SetBudget(whole, "op"))


def test_a_batch_goes_by_zones_in_turn_and_leaves_a_majority_of_each_group() -> None:
    fleet = Fleet(max_out=3, max_out_per_zone=2)
    fleet.ask("all", *NAMES)
    assert fleet.see() == ["g0"]  # g1 and g2 are the rest of its group: whoever is next waits for them
    assert "majority" in fleet.works.blocked_reason
    fleet.out("g0")
    fleet.back("g0")
    assert fleet.see() == ["g1"]  # g2 is next: nobody overtakes it
    went = ["g0", "g1"]
    for _ in range(20):
        for place in list(fleet.works.open_jobs()):
            if place.state == "granted":
                fleet.out(place.machine)
                fleet.back(place.machine)
                went += [place.machine] if place.machine not in went else []
        fleet.see()
    assert sorted(went) == NAMES and not fleet.works.open_jobs()


def test_unplanned_losses_use_the_budget_up_and_call_back_who_drains() -> None:
    fleet = Fleet()
    fleet.ask("r", "g3", "g4")
    assert fleet.see() == ["g3", "g4"]
    fleet.tell("g3", "draining")
    fleet.down.add("g5")
    fleet.see()
    assert [one.state for one in fleet.works.open_jobs()] == ["draining", "recalled"]  # the last granted
    fleet.tell("g4", "undone")
    assert fleet.see() == ["g3"] and "2 of 2 are out: g3, g5" in fleet.works.blocked_reason
    fleet.down.clear()
    assert fleet.see() == ["g3", "g4"]


def test_a_grant_that_ran_out_counts_until_it_is_taken_back_and_its_number_is_dead() -> None:
    fleet = Fleet(max_out=1)
    fleet.ask("r", "g3", "g4")
    fleet.see()
    fence = fleet.works.last_fencing_token
    fleet.tell("g3", "draining")
    fleet.now += 11
    with pytest.raises(MaintenanceError, match="run out"):
        fleet.tell("g3", "safe")
    assert fleet.see() == ["g3"] and fleet.works.open_jobs()[0].state == "recalled"
    fleet.tell("g3", "undone")
    assert fleet.see() == ["g3"] and fleet.works.last_fencing_token == fence + 1
    with pytest.raises(MaintenanceError, match="fence"):
        fleet.do(w.ReportProgress("g3", fence, "safe"))


def test_what_forbids_a_grant_is_told_and_force_passes_all_but_a_majority() -> None:
    fleet = Fleet(max_load=0.5, load_slack=0.2, closed_windows=((2000.0, 3000.0),), pause_s=5.0)
    fleet.ask("r", "g3", earliest_time=1500.0)
    for wall, said in (1000.0, "earliest"), (2500.0, "closed window"), (3000.0, ""):
        fleet.wall = wall
        fleet.load = 0.1 if said else 0.45
        assert bool(fleet.see()) is not bool(said) or "loaded" in fleet.works.blocked_reason
        assert said in fleet.works.blocked_reason
    fleet.load = 0.3  # below the limit, and not yet by the slack
    assert not fleet.see() and "loaded to 0.36 of 0.30" in fleet.works.blocked_reason
    fleet.load = 0.2
    assert fleet.see() == ["g3"]
    fleet.out("g3")
    fleet.back("g3")
    fleet.ask("s", "g4")
    assert not fleet.see() and "pause" in fleet.works.blocked_reason
    fleet.do(w.SetHold(True, "op", "payday"))
    fleet.now += 6
    assert not fleet.see() and "held: payday (op)" in fleet.works.blocked_reason
    fleet.do(w.ForceGrant("g4", "op", "it burns"))
    assert fleet.see() == ["g4"]
    fleet.ask("t", "g0")
    fleet.sound = {"g0", "g1"}
    fleet.do(w.ForceGrant("g0", "op", "now"))
    assert fleet.see() == ["g4"] and "majority" in fleet.works.blocked_reason


def test_failures_stop_the_roll_until_operators_resume() -> None:
    fleet = Fleet(max_out=1, max_failures=1)
    fleet.ask("roll", "g3", "g4", target_version="2")
    fleet.see()
    fleet.out("g3")
    fleet.back("g3")
    fleet.versions["g3"] = "1"
    assert not fleet.see() and "1 machines failed" in fleet.works.blocked_reason
    story = fleet.works.jobs["roll", "g3"].history
    assert story[-1].reason == "it is back with version 1, not 2"
    fleet.do(w.SetHold(False, "op"))
    assert fleet.see() == ["g4"]


def test_urgency_is_worth_some_waiting_and_no_more() -> None:
    fleet = Fleet(max_out=1)
    fleet.ask("old", "g3")
    fleet.do(w.SetHold(True, "op"))
    fleet.now += URGENCY_STEP_MS / 1000 + 1
    fleet.ask("urgent", "g4", urgency=1)
    fleet.do(w.SetHold(False, "op"))
    assert fleet.see() == ["g3"]


def test_requests_are_taken_once_and_withdrawn_wherever_they_are() -> None:
    fleet = Fleet(max_out=1)
    fleet.ask("r", "g3", "g4")
    fleet.ask("r", "g3", "g4")
    with pytest.raises(MaintenanceError, match="g4 is asked for already, by r"):
        fleet.ask("s", "g4")
    fleet.see()
    fleet.tell("g3", "draining")
    fleet.do(w.WithdrawRequest("r", "op"))
    assert [fleet.works.jobs["r", one].state for one in ("g3", "g4")] == ["recalled", "withdrawn"]
    fleet.tell("g3", "undone")
    assert not fleet.works.open_jobs()
    again = MaintenanceJobs()
    data = msgspec.msgpack.encode(fleet.works.snapshot())
    again.restore(msgspec.msgpack.decode(data, type=MaintenanceSnapshot))
    assert again.snapshot() == fleet.works.snapshot()


EMPTY, BUSY = RemainingWork(0, 0, 0, 0, True), RemainingWork(2, 1, 1, 1, True)


def test_a_machine_empties_itself_under_its_grant_and_takes_back_what_ran_out() -> None:
    holder = MaintenanceAgent()
    place = MachineJob("g3", "r", "granted", fencing_token=4, expires_at=10_000.0)
    holder.update_grant(100.0, 0.0, place)
    acts = holder.step(100.1, place, False, RemainingWork(2, 1, 1, 1, False))
    assert acts == [
        AgentAction(AgentActionKind.DRAIN),
        AgentAction(AgentActionKind.HAND_OVER),
        AgentAction(AgentActionKind.REPORT, "draining", "", 4),
    ]
    place = msgspec.structs.replace(place, state="draining")
    assert holder.step(101.0, place, False, BUSY) == [
        AgentAction(AgentActionKind.HAND_OVER, "", "requests 2, clients 1, groups led 1")
    ]
    slept = MaintenanceAgent()
    slept.update_grant(100.0, 0.0, place)
    slept.step(100.1, place, True, BUSY)
    assert slept.step(109.95, place, True, EMPTY) == [  # SIGSTOP until then: it may be another's turn
        AgentAction(AgentActionKind.RESUME),
        AgentAction(AgentActionKind.TAKE_BACK),
        AgentAction(AgentActionKind.REPORT, "undone", "too late by its own clock", 4),
    ]
    assert holder.step(102.0, place, False, EMPTY) == [AgentAction(AgentActionKind.REPORT, "safe", "", 4)]
    recalled = msgspec.structs.replace(place, state="recalled")
    assert holder.step(103.0, recalled, False, EMPTY) == [AgentAction(AgentActionKind.RESUME)]
    assert holder.step(103.1, recalled, False, EMPTY) == []  # told once it takes clients again
    assert holder.step(103.2, recalled, False, RemainingWork(0, 0, 0, 0, False))[0].state == "undone"


def test_what_is_told_of_the_state_fits_in_a_reply_and_keeps_all_that_is_not_over() -> None:
    works, machines = MaintenanceJobs(), tuple(f"n{number}" for number in range(200))
    for number in range(40):
        works.apply(
            float(number), w.RequestMaintenance(f"roll-{number}", machines, "reason" * 20, "op", 60.0)
        )
        for machine in machines if number < 39 else machines[:100]:
            place = works.jobs[f"roll-{number}", machine]
            story = tuple(HistoryEntry(float(step), "granted", "why" * 10) for step in range(20))
            works.jobs[f"roll-{number}", machine] = msgspec.structs.replace(
                place, state="done", history=story
            )
    whole, most = works.snapshot(), 500_000
    told = summarize(whole, most)
    assert len(msgspec.msgpack.encode(whole)) > most >= len(msgspec.msgpack.encode(told))
    kept = [one.details.request_id for one in told.requests]
    assert kept == [f"roll-{number}" for number in range(40 - len(kept), 40)] and len(kept) > 1
    thawed = MaintenanceJobs()
    thawed.restore(told)
    assert [one.machine for one in thawed.open_jobs()] == [one.machine for one in works.open_jobs()]
    assert summarize(whole, 1 << 30) == whole
