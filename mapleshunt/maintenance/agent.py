"""The machine's side of a grant: when it drains, is safe to work on, and serves again.

It acts only on a grant that is valid by its own clock: counted from before its request, for the time that the
log says is left, less the drift of clocks. A machine that was suspended past that end first undoes what it
began under the grant, whatever the log says by then.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .commands import Progress
from .records import GRANT_STATES, JobState, MachineJob

MAX_CLOCK_DRIFT = 0.01  # part of a grant's time by which two clocks may differ
WITH_REPLICAS = "copies"  # state of a hand-over action: migrate replicas as well as leadership


@dataclass(slots=True, frozen=True)
class RemainingWork:
    """Requests, clients and roles that a gateway must have none of to be safe."""

    open_requests: int
    clients: int
    groups_led: int
    replicas: int
    drained: bool  # it accepts no clients

    def describe(self, move_replicas: bool) -> str:
        """Return the names and numbers of what remains; empty if nothing does."""
        counts = {"requests": self.open_requests, "clients": self.clients, "groups led": self.groups_led}
        if move_replicas:
            counts["copies"] = self.replicas
        return ", ".join(f"{name} {count}" for name, count in counts.items() if count)


class AgentActionKind(StrEnum):
    """Kinds of actions that an agent's host carries out."""

    DRAIN = "drain"
    RESUME = "resume"
    HAND_OVER = "hand_over"  # leadership and, if the action's state is `WITH_REPLICAS`, replicas
    TAKE_BACK = "take_back"  # the migrated replicas
    REPORT = "tell"  # propose the action's state to the log


@dataclass(slots=True, frozen=True)
class AgentAction:
    """An action that an agent's host carries out."""

    kind: AgentActionKind
    state: str = ""
    reason: str = ""
    fencing_token: int = 0


class MaintenanceAgent:
    """Drains its gateway under a valid grant, and undoes that when the grant ends."""

    def __init__(self) -> None:
        self.fencing_token = 0
        self.deadline = float("-inf")  # s, by its own clock
        self.drained = False  # by its grant; operators may drain the gateway independently
        self.replicas_moved = False

    def update_grant(self, requested_at: float, stamp: float, job: MachineJob | None) -> None:
        """Set the grant from `job`, requested at `requested_at`, own s, and read at the log's `stamp`, ms."""
        if job is not None and job.state in GRANT_STATES:
            self.fencing_token = job.fencing_token
            self.deadline = requested_at + (job.expires_at - stamp) / 1000 * (1 - MAX_CLOCK_DRIFT)

    def step(
        self, now: float, job: MachineJob | None, move_replicas: bool, remaining: RemainingWork
    ) -> list[AgentAction]:
        """Return the actions at `now` (s of the own clock) for the job as it was last read."""
        if job is None:
            return self._undo()
        if job.state in GRANT_STATES and job.fencing_token == self.fencing_token:
            if now >= self.deadline:
                report = _report(job, Progress.UNDONE, "too late by its own clock")
                return [*self._undo(), report]
            return self._drain(job, move_replicas, remaining)
        if job.state == JobState.RECALLED:
            # Reported only when the gateway accepts clients again and this process has undone its changes.
            report = _report(job, Progress.UNDONE, "called back")
            return self._undo() or ([report] if not remaining.drained else [])
        if job.state in (JobState.OUT, JobState.OVERDUE):
            return []  # ended by the operator who works on the machine
        return self._undo()

    def _drain(self, job: MachineJob, move_replicas: bool, remaining: RemainingWork) -> list[AgentAction]:
        hand_over = AgentAction(AgentActionKind.HAND_OVER, WITH_REPLICAS if move_replicas else "")
        if not self.drained:
            self.drained = True
            self.replicas_moved = move_replicas
            actions = [AgentAction(AgentActionKind.DRAIN), hand_over]
            return [*actions, _report(job, Progress.DRAINING)] if job.state == JobState.GRANTED else actions
        if job.state == JobState.GRANTED:
            return [_report(job, Progress.DRAINING)]
        unfinished = remaining.describe(move_replicas)
        if job.state == JobState.DRAINING and not unfinished and remaining.drained:
            return [_report(job, Progress.SAFE)]
        return [AgentAction(hand_over.kind, hand_over.state, unfinished)] if remaining.groups_led else []

    def _undo(self) -> list[AgentAction]:
        if not self.drained:
            return []
        actions = [AgentAction(AgentActionKind.RESUME)]
        if self.replicas_moved:
            actions.append(AgentAction(AgentActionKind.TAKE_BACK))
        self.drained = False
        self.replicas_moved = False
        return actions


def _report(job: MachineJob, progress: Progress, reason: str = "") -> AgentAction:
    return AgentAction(AgentActionKind.REPORT, progress, reason, job.fencing_token)
