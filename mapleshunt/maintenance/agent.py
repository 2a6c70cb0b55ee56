"""A machine's side of its grant: when it empties itself, is safe to work on, and takes back. Pure.

It acts only on a grant that it can show to be valid by its own clock: from before it asked, for what the log
says is left, less what clocks may drift. One that slept past the end takes back what it began before it does
anything else, whatever the log says by then.
"""

from __future__ import annotations

from dataclasses import dataclass

from .records import MachineJob

MAX_CLOCK_DRIFT = 0.01  # part of a grant by which two clocks may differ


@dataclass(slots=True, frozen=True)
class RemainingWork:
    """What a gateway has to be rid of before it is safe."""

    open_requests: int  # requests that are owed an answer
    clients: int
    groups_led: int  # groups
    replicas: int
    drained: bool  # it takes no clients

    def waits_for(self, long: bool) -> str:
        left = {"requests": self.open_requests, "clients": self.clients, "groups led": self.groups_led}
        if long:
            left["copies"] = self.replicas
        return ", ".join(f"{name} {number}" for name, number in left.items() if number)


@dataclass(slots=True, frozen=True)
class AgentAction:
    """`how`: drain, resume, hand_over (leadership, and with `long` copies), take_back (copies), or tell."""

    kind: str
    state: str = ""
    reason: str = ""
    fencing_token: int = 0


class MaintenanceAgent:
    def __init__(self) -> None:
        self.fencing_token, self.deadline = 0, float("-inf")
        self.drained = self.replicas_moved = False  # by its grant; operators may have drained it besides

    def update_grant(self, asked: float, stamp: float, place: MachineJob | None) -> None:
        """What the log says of it: asked for at `asked` (s, own clock), at the log's time `stamp` (ms)."""
        if place is not None and place.state in ("granted", "draining", "safe"):
            self.fencing_token = place.fencing_token
            self.deadline = asked + (place.expires_at - stamp) / 1000 * (1 - MAX_CLOCK_DRIFT)

    def step(
        self, now: float, place: MachineJob | None, long: bool, sees: RemainingWork
    ) -> list[AgentAction]:
        state = place.state if place is not None else ""
        if (
            place is not None
            and state in ("granted", "draining", "safe")
            and place.fencing_token == self.fencing_token
        ):
            if now >= self.deadline:
                return [
                    *self._undo(),
                    AgentAction("tell", "undone", "too late by its own clock", place.fencing_token),
                ]
            return self._empty(place, long, sees)
        if state == "recalled" and place is not None:
            # It has taken back what it began, if this life began anything, and takes clients again.
            tell = AgentAction("tell", "undone", "called back", place.fencing_token)
            return self._undo() or ([tell] if not sees.drained else [])
        if state in ("out", "overdue"):
            return []  # whoever works on it ends it
        return self._undo()

    def _empty(self, place: MachineJob, long: bool, sees: RemainingWork) -> list[AgentAction]:
        if not self.drained:
            self.drained, self.replicas_moved = True, long
            acts = [AgentAction("drain"), AgentAction("hand_over", "copies" if long else "")]
            return (
                [*acts, AgentAction("tell", "draining", "", place.fencing_token)]
                if place.state == "granted"
                else acts
            )
        if place.state == "granted":
            return [AgentAction("tell", "draining", "", place.fencing_token)]
        left = sees.waits_for(long)
        if place.state == "draining" and not left and sees.drained:
            return [AgentAction("tell", "safe", "", place.fencing_token)]
        return [AgentAction("hand_over", "copies" if long else "", left)] if sees.groups_led else []

    def _undo(self) -> list[AgentAction]:
        if not self.drained:
            return []
        acts = [AgentAction("resume"), *([AgentAction("take_back")] if self.replicas_moved else [])]
        self.drained = self.replicas_moved = False
        return acts
