"""Model checking of maintenance: all interleavings for a few machines to a given depth, and random walks.

The decisions are those of `maintenance.jobs` and `maintenance.agent`. The model adds machines that crash, are
delayed, disconnected or worked on, and the invariants that must hold in every order of events.
"""

from __future__ import annotations

import copy
import random
from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from ..maintenance import commands as w
from ..maintenance.agent import AgentAction, AgentActionKind, MaintenanceAgent, RemainingWork
from ..maintenance.budget import Budget
from ..maintenance.jobs import MaintenanceError, MaintenanceJobs
from ..maintenance.records import MachineJob

NAMES = ("a", "b", "c")
ZONES = {"a": "x", "b": "y", "c": "y"}
DRAIN_S = 10.0
BUDGET = Budget(max_out=1, max_out_per_zone=1, max_load=2.0, pause_s=0.0, drain_s=DRAIN_S, max_failures=9)
REQUESTS = (
    w.RequestMaintenance("r1", ("a", "b"), "disks", "op", 1000.0),
    w.RequestMaintenance("r2", ("c",), "memory", "op", 1000.0),
)
TIME_STEP_S = 6.0  # of the move "pass": a grant of DRAIN_S expires during the second one


class InvariantViolationError(Exception):
    """An invariant was violated; the text says which."""


@dataclass
class Machine:
    """A machine with its agent, which is replaced when the machine restarts."""

    up: bool = True
    worked_on: bool = False
    drained: bool = False
    agent: MaintenanceAgent = field(default_factory=MaintenanceAgent)
    last_read_job: MachineJob | None = None


class MaintenanceModel:
    """A state of the model, with the moves from it. Planted faults replace the types of jobs and agents."""

    requests: tuple[w.RequestMaintenance, ...] = REQUESTS
    end_moves: tuple[str, ...] = ("start", "finish", "see", "look", "look", "work", "finish", "see")

    def __init__(
        self,
        jobs_type: type[MaintenanceJobs] = MaintenanceJobs,
        agent_type: type[MaintenanceAgent] = MaintenanceAgent,
    ) -> None:
        # Two gateways apply the same log.
        self.maintenance, self.replica, self.agent_type = jobs_type(), jobs_type(), agent_type
        self.now = 0.0  # s, of the log and of all machines
        self.machines = {name: Machine(agent=agent_type()) for name in NAMES}
        self.hidden = ""  # a machine that the coordinator does not see
        self.requested = 0  # how many of `requests` were made
        self.out_counts: dict[tuple[str, str], int] = {}  # by request and machine: times out
        self.apply(w.SetBudget(BUDGET, "op"))

    def apply(self, operation: w.Operation) -> bool:
        """Apply an operation at both gateways, and return whether it was accepted."""
        applied = []
        for number, maintenance in enumerate((self.maintenance, self.replica)):
            try:
                self.apply_to_replica(number, maintenance, operation)
                applied.append(True)
            except MaintenanceError:
                applied.append(False)
        if applied[0] != applied[1] or self.maintenance.snapshot() != self.replica.snapshot():
            raise InvariantViolationError("two gateways reached different states from the same log")
        return applied[0]

    def apply_to_replica(self, number: int, maintenance: MaintenanceJobs, operation: w.Operation) -> None:
        """Apply an operation at a gateway."""
        maintenance.apply(1000 * self.now, operation)

    # Moves

    def moves(self) -> Iterator[tuple[str, ...]]:
        """Yield the possible moves: a kind and, for some, a machine."""
        if self.requested < len(self.requests):
            yield ("ask",)
        yield ("see",)
        yield ("pass",)
        for name, machine in self.machines.items():
            if machine.up:
                yield "look", name
                if machine.last_read_job is not None:
                    yield "wake", name  # continues with the job that it read last
                yield "crash", name
                if self.hidden != name:
                    yield "hide", name
            elif not machine.worked_on:
                yield "start", name
            job = self.maintenance.job_of(name)
            if job is not None and job.state == "safe" and machine.up:
                yield "work", name
            if machine.worked_on:
                yield "finish", name
        if self.requested:
            yield ("again",)
        if self.hidden:
            yield ("show",)

    def move(self, move: str, name: str = "") -> None:
        """Make a move and check the invariants."""
        machine = self.machines.get(name, Machine())
        match move:
            case "ask":
                self.apply(self.requests[self.requested])
                self.requested += 1
            case "again":  # repeats a request whose reply was lost
                self.apply(self.requests[self.requested - 1])
            case "see":
                self.apply_fleet_view()
            case "pass":
                self.now += TIME_STEP_S
            case "look":
                machine.last_read_job = self.maintenance.job_of(name)
                machine.agent.update_grant(self.now, 1000 * self.now, machine.last_read_job)
                self.step_agent(name, machine)
            case "wake":
                self.step_agent(name, machine)
            case "crash":
                machine.up = machine.drained = False
                machine.agent, machine.last_read_job = self.agent_type(), None
            case "start":
                machine.up = True
            case "hide":
                self.hidden = name
            case "show":
                self.hidden = ""
            case "work":
                job = self.maintenance.job_of(name)
                if job is not None and self.apply(w.ReportProgress(name, job.fencing_token, "out")):
                    self.out_counts[job.request_id, name] = self.out_counts.get((job.request_id, name), 0) + 1
                    machine.up, machine.worked_on, machine.drained = False, True, False
                    machine.agent, machine.last_read_job = self.agent_type(), None
            case "finish":
                job = self.maintenance.job_of(name)
                machine.up, machine.worked_on = True, False
                if job is not None:
                    self.apply(w.ReportProgress(name, job.fencing_token, "returning"))
        self.check_invariants()

    def apply_fleet_view(self) -> None:
        """Apply the coordinator's view of the fleet, and check the grants that it leads to."""
        views = tuple(
            w.MachineView(name, ZONES[name], machine.up and name != self.hidden)
            for name, machine in self.machines.items()
        )
        available = tuple(view.name for view in views if view.available)
        already_granted = {key for key, job in self.maintenance.jobs.items() if job.state == "granted"}
        self.apply(w.FleetView(self.now, views, (w.GroupView(NAMES, available),)))
        for key, granted_job in self.maintenance.jobs.items():
            if granted_job.state == "granted" and key not in already_granted:
                unavailable = [
                    view.name for view in views if not view.available and view.name != granted_job.machine
                ]
                if len(unavailable) + 1 > BUDGET.max_out:
                    raise InvariantViolationError(
                        f"{granted_job.machine} was granted though {' and '.join(unavailable)} is unavailable"
                    )

    def step_agent(self, name: str, machine: Machine) -> None:
        """Step a machine's agent with the job that it read last, and carry out its actions."""
        job = machine.last_read_job
        remaining = self.remaining_work(name, machine)
        for action in machine.agent.step(self.now, job, self.moves_replicas(job), remaining):
            self.carry_out(name, machine, action)

    def remaining_work(self, _name: str, machine: Machine) -> RemainingWork:
        """Return what a machine must have none of to be safe."""
        return RemainingWork(0, 0, 0, 0, machine.drained)

    def moves_replicas(self, job: MachineJob | None) -> bool:
        """Return whether a job has the machine's replicas migrate."""
        return job is not None and self.maintenance.requests[job.request_id].details.move_replicas

    def carry_out(self, name: str, machine: Machine, action: AgentAction) -> None:
        """Carry out an action of a machine's agent."""
        if action.kind == "drain":
            self.check_grant(name)
            machine.drained = True
        elif action.kind == "resume":
            machine.drained = False
        elif action.kind == "tell":
            self.apply(w.ReportProgress(name, action.fencing_token, action.state, action.reason))

    # Invariants

    def check_grant(self, name: str) -> None:
        """Check that a machine that begins to drain has a grant that has not expired."""
        job = self.maintenance.job_of(name)
        if job is None or job.state not in ("granted", "draining", "safe", "recalled"):
            raise InvariantViolationError(f"{name} drains without a grant: {job and job.state}")
        if 1000 * self.now > job.expires_at:
            raise InvariantViolationError(f"{name} drains under an expired grant")

    def check_invariants(self) -> None:
        """Check the invariants that hold in every state."""
        out = [name for name, machine in self.machines.items() if machine.drained or machine.worked_on]
        if len(out) > BUDGET.max_out:
            raise InvariantViolationError(f"{' and '.join(out)} are out by plan, more than {BUDGET.max_out}")
        for key, count in self.out_counts.items():
            if count > 1 or self.maintenance.jobs[key].state in ("queued", "granted", "draining", "safe"):
                raise InvariantViolationError(f"{key[1]} was out for {key[0]}, and is to be taken out again")
        for job in self.maintenance.jobs.values():
            if job.state == "done" and self.machines[job.machine].worked_on:
                raise InvariantViolationError(f"{job.machine} is done while it is worked on")
            if job.state == "done" and not any(step.state == "out" for step in job.history):
                raise InvariantViolationError(f"{job.machine} is done but was never out")
        expected = sum(len(request.machines) for request in self.requests[: self.requested])
        if len(self.maintenance.requests) != self.requested or len(self.maintenance.jobs) != expected:
            raise InvariantViolationError("a request was accepted twice, or lost")

    def end_faults(self) -> None:
        """End all faults but those of machines."""
        self.hidden = ""

    def check_end(self) -> None:
        """Check the state in which the model ends up once all faults have ended."""
        if open_jobs := self.maintenance.open_jobs():
            raise InvariantViolationError(
                f"jobs still open after all faults ended: {[(job.machine, job.state) for job in open_jobs]}"
            )

    def state_key(self) -> bytes:
        """Return a key that is equal for states with the same future: without histories and past times."""
        jobs = tuple(
            (job.request_id, job.machine, job.state, job.fencing_token > 0, job.outcome,
             job.expires_at > 0 and job.expires_at - 1000 * self.now)
            for job in self.maintenance.jobs.values()
        )  # fmt: skip
        machines = tuple(
            (machine.up, machine.worked_on, machine.drained, machine.agent.fencing_token > 0,
             machine.agent.drained, machine.agent.deadline > self.now and machine.agent.deadline - self.now,
             machine.last_read_job and (machine.last_read_job.state, machine.last_read_job.fencing_token ==
                                        getattr(self.maintenance.job_of(name), "fencing_token", -1)))
            for name, machine in self.machines.items()
        )  # fmt: skip
        return repr(
            (jobs, machines, self.hidden, self.requested, self.out_counts, self.maintenance.failures)
        ).encode()


def explore(
    depth: int,
    jobs_type: type[MaintenanceJobs] = MaintenanceJobs,
    agent_type: type[MaintenanceAgent] = MaintenanceAgent,
) -> tuple[int, str]:
    """Explore all interleavings to a depth.

    Returns:
        The number of states, and the first violated invariant with the moves that lead to it, or "".
    """
    initial = MaintenanceModel(jobs_type, agent_type)
    seen = {initial.state_key()}
    layer: list[tuple[MaintenanceModel, tuple[tuple[str, ...], ...]]] = [(initial, ())]
    for _ in range(depth):
        next_layer: list[tuple[MaintenanceModel, tuple[tuple[str, ...], ...]]] = []
        for model, path in layer:
            for move in list(model.moves()):
                successor = copy.deepcopy(model)
                try:
                    successor.move(*move)
                except InvariantViolationError as violation:
                    return len(seen), f"{violation}: {' '.join('.'.join(step) for step in (*path, move))}"
                if (key := successor.state_key()) not in seen:
                    seen.add(key)
                    next_layer.append((successor, (*path, move)))
        layer = next_layer
    return len(seen), ""


def random_walk(
    seed: int,
    move_count: int,
    jobs_type: type[MaintenanceJobs] = MaintenanceJobs,
    agent_type: type[MaintenanceAgent] = MaintenanceAgent,
    model_type: type[MaintenanceModel] = MaintenanceModel,
) -> tuple[MaintenanceModel, str]:
    """Make random moves, then end all faults and check that every job ends.

    Returns:
        The last state, and the violated invariant, or "".
    """
    rng, model = random.Random(seed), model_type(jobs_type, agent_type)
    try:
        for _ in range(move_count):
            model.move(*rng.choice(list(model.moves())))
        for _ in range(40):
            model.end_faults()
            for kind in model.end_moves:
                for move in [candidate for candidate in model.moves() if candidate[0] == kind]:
                    model.move(*move)
            if model.requested < len(model.requests):
                model.move("ask")
        model.check_end()
    except InvariantViolationError as violation:
        return model, str(violation)
    return model, ""


# Planted faults


class ExpiredGrantUsed(MaintenanceAgent):
    """Continues to use a grant that has expired by its own clock."""

    def update_grant(self, requested_at: float, stamp: float, job: MachineJob | None) -> None:
        """Set the grant without its end."""
        super().update_grant(requested_at, stamp, job)
        self.deadline = float("inf")


class GrantsItself(MaintenanceAgent):
    """Treats a queued job as a grant."""

    def step(
        self, now: float, job: MachineJob | None, move_replicas: bool, remaining: RemainingWork
    ) -> list[AgentAction]:
        """Drain for a queued job as well."""
        if job is not None and job.state == "queued":
            self.drained = True
            return [AgentAction(AgentActionKind.DRAIN)]
        return super().step(now, job, move_replicas, remaining)


class ForgetsUnplanned(MaintenanceJobs):
    """Machines that are unavailable without a grant count as available, for the budget and for majorities."""

    def _machines_out(self, views: Mapping[str, w.MachineView]) -> set[str]:
        return {
            job.machine for job in self.open_jobs() if job.state in ("granted", "draining", "safe", "out")
        }


class ReturnTakenForGranted(MaintenanceJobs):
    """Marks a machine that has been out for some time as done, though it has not returned."""

    def _expire_grants(self, now: float) -> None:
        super()._expire_grants(now)
        for job in self.open_jobs():
            if job.state == "out" and now > job.state_since:
                self._enter(now, job, "done", fencing_token=0)


class AskedTwice(MaintenanceJobs):
    """Creates the jobs of a repeated request again."""

    def _request_maintenance(self, now: float, details: w.RequestMaintenance) -> None:
        if details.request_id in self.requests:
            for machine in details.machines:
                self.jobs[details.request_id, machine] = MachineJob(
                    machine, details.request_id, state_since=now
                )
        super()._request_maintenance(now, details)


class OrderByOwnClock(MaintenanceJobs):
    """Stamps operations by each gateway's own clock, so that waiting times differ between gateways."""

    count = 0

    def apply(self, now: float, operation: w.Operation) -> float:
        """Apply an operation at a time that differs between gateways."""
        OrderByOwnClock.count += 1
        return super().apply(now + OrderByOwnClock.count, operation)


PLANTED_FAULTS: dict[str, tuple[type[MaintenanceJobs], type[MaintenanceAgent]]] = {
    "ExpiredGrantUsed": (MaintenanceJobs, ExpiredGrantUsed), "GrantsItself": (MaintenanceJobs, GrantsItself),
    "ForgetsUnplanned": (ForgetsUnplanned, MaintenanceAgent), "AskedTwice": (AskedTwice, MaintenanceAgent),
    "ReturnTakenForGranted": (ReturnTakenForGranted, MaintenanceAgent),
    "OrderByOwnClock": (OrderByOwnClock, MaintenanceAgent),
}  # fmt: skip
