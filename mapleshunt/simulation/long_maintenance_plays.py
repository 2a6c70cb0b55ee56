"""Random walks of long maintenance: replicas that migrate, withdrawals, and a group without a leader.

The decisions are those of `maintenance.jobs`, `maintenance.agent` and `maintenance.evacuation`. At the end,
when all faults have ended, every job ends and no machine keeps a mark that maintenance set.
"""

from __future__ import annotations

from collections.abc import Iterator

import msgspec

from ..maintenance import commands as w
from ..maintenance.agent import AgentAction, AgentActionKind, MaintenanceAgent, RemainingWork
from ..maintenance.evacuation import (
    EVACUATED_FOR_MAINTENANCE,
    NOT_EVACUATED,
    STATES_WITH_REPLICAS_AWAY,
    EvacuationMarks,
)
from ..maintenance.jobs import MaintenanceJobs
from ..maintenance.records import MachineJob
from .maintenance_plays import NAMES, REQUESTS, InvariantViolationError, Machine, MaintenanceModel

GROUP = 0  # the only group; each machine holds a replica of it unless it is marked


class LongMaintenanceModel(MaintenanceModel):
    """A model in which replicas migrate first. Planted faults replace the type of the marks."""

    requests = tuple(msgspec.structs.replace(request, move_replicas=True) for request in REQUESTS)
    end_moves = ("start", "finish", "see", "look", "look", "look", "work", "finish", "see", "look")
    marks_type: type[EvacuationMarks] = EvacuationMarks

    def __init__(
        self,
        jobs_type: type[MaintenanceJobs] = MaintenanceJobs,
        agent_type: type[MaintenanceAgent] = MaintenanceAgent,
    ) -> None:
        """Start without requests, with a leader of the group."""
        super().__init__(jobs_type, agent_type)
        self.has_leader = True
        self.records = dict.fromkeys(NAMES, NOT_EVACUATED)  # of the group
        self.marks = {name: self.marks_type(GROUP + 1) for name in NAMES}  # of each machine's process
        self.withdrawn = 0  # how many of `requests` were withdrawn

    def moves(self) -> Iterator[tuple[str, ...]]:
        """Yield the possible moves."""
        yield from super().moves()
        yield ("lose_leader",) if self.has_leader else ("elect",)
        if self.withdrawn < self.requested and self._is_begun(self.requests[self.withdrawn]):
            yield ("withdraw",)

    def _is_begun(self, request: w.RequestMaintenance) -> bool:
        """Return whether a machine of the request has its replicas away, or is about to."""
        jobs = (self.maintenance.jobs[request.request_id, name] for name in request.machines)
        return any(job.state in STATES_WITH_REPLICAS_AWAY for job in jobs)

    def move(self, move: str, name: str = "") -> None:
        """Make a move and check the invariants."""
        match move:
            case "lose_leader":
                self.has_leader = False
            case "elect":
                self.has_leader = True
            case "withdraw":
                self.apply(w.WithdrawRequest(self.requests[self.withdrawn].request_id, "op"))
                self.withdrawn += 1
        super().move(move, name)
        if move in ("crash", "work"):
            self.marks[name] = self.marks_type(GROUP + 1)

    def step_agent(self, name: str, machine: Machine) -> None:
        """Step a machine's agent, and have its process read and write its record if the group answers."""
        super().step_agent(name, machine)
        marks = self.marks[name]
        marks.follow(machine.last_read_job)
        if marks.wanted is None or GROUP not in marks.unconfirmed:
            return
        if not self.has_leader:
            self.read_refused(marks)
            return
        new_value = marks.record_read(GROUP, marks.wanted, self.records[name])
        if new_value is not None:
            self.records[name] = new_value

    def read_refused(self, marks: EvacuationMarks) -> None:
        """Act on a refused read: none of the marks' decisions depend on it."""

    def remaining_work(self, name: str, machine: Machine) -> RemainingWork:
        """Return what a machine must have none of: its replica, until its mark is set."""
        replicas = int(self.records[name] == NOT_EVACUATED)
        return RemainingWork(0, 0, 0, replicas, machine.drained)

    def carry_out(self, name: str, machine: Machine, action: AgentAction) -> None:
        """Carry out an action of a machine's agent."""
        super().carry_out(name, machine, action)
        if action.kind is AgentActionKind.HAND_OVER and action.state:
            self.marks[name].evacuate()
        elif action.kind is AgentActionKind.TAKE_BACK:
            self.marks[name].revoke()

    def end_faults(self) -> None:
        """End all faults but those of machines."""
        super().end_faults()
        self.has_leader = True

    def check_end(self) -> None:
        """Check that all jobs have ended and that no mark is left."""
        super().check_end()
        if left := [name for name, value in self.records.items() if value == EVACUATED_FOR_MAINTENANCE]:
            raise InvariantViolationError(f"{' and '.join(left)} kept the mark of maintenance that is over")


# Planted faults


class RevokedOnce(LongMaintenanceModel):
    """A refused read is not repeated."""

    def read_refused(self, marks: EvacuationMarks) -> None:
        """Forget what is owed."""
        marks.unconfirmed.clear()


class ForgottenAtRestart(EvacuationMarks):
    """A process revokes only what it has set itself."""

    def follow(self, job: MachineJob | None) -> None:
        """Revoke nothing that this process has not set."""
        if self.wanted is not None:
            super().follow(job)


class ForgetfulModel(LongMaintenanceModel):
    """A model whose processes forget at a restart what is owed."""

    marks_type = ForgottenAtRestart


PLANTED_FAULTS: dict[str, type[LongMaintenanceModel]] = {
    "RevokedOnce": RevokedOnce,
    "ForgottenAtRestart": ForgetfulModel,
}
