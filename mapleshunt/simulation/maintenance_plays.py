"""Machines taken out for work, walked through: every interleaving for a few machines to a stated depth, and
long random walks. What decides is `maintenance.jobs` and `maintenance.agent`; here are machines that crash,
sleep, are cut off and are worked on, and what must hold whatever order things come in.
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
DRAIN = 10.0  # s
BUDGET = Budget(max_out=1, max_out_per_zone=1, max_load=2.0, pause_s=0.0, drain_s=DRAIN, max_failures=9)
REQUESTS = (
    w.RequestMaintenance("r1", ("a", "b"), "disks", "op", 1000.0),
    w.RequestMaintenance("r2", ("c",), "memory", "op", 1000.0),
)
PASS = 6.0  # s that pass at a time: a grant ends within the second


class InvariantViolationError(Exception):
    """A rule did not hold; the text tells which."""


@dataclass
class Machine:
    up: bool = True
    worked_on: bool = False
    drained: bool = False
    holder: MaintenanceAgent = field(default_factory=MaintenanceAgent)
    view: MachineJob | None = None  # what it last read


class MaintenanceModel:
    def __init__(
        self,
        works: type[MaintenanceJobs] = MaintenanceJobs,
        holder: type[MaintenanceAgent] = MaintenanceAgent,
    ) -> None:
        self.maintenance, self.twin, self.make = works(), works(), holder  # the twin: another gateway's copy
        self.now = 0.0  # s, the log's and, here, everybody's
        self.machines = {name: Machine(holder=holder()) for name in NAMES}
        self.hidden = ""  # a machine that the coordinator does not see
        self.asked = 0
        self.went: dict[tuple[str, str], int] = {}
        self.apply(w.SetBudget(BUDGET, "op"))

    def apply(self, operation: w.Operation) -> bool:
        done = []
        for number, one in enumerate((self.maintenance, self.twin)):
            try:
                self.on_copy(number, one, operation)
                done.append(True)
            except MaintenanceError:
                done.append(False)
        if done[0] != done[1] or self.maintenance.snapshot() != self.twin.snapshot():
            raise InvariantViolationError("two gateways came to different states from the same log")
        return done[0]

    def on_copy(self, number: int, works: MaintenanceJobs, operation: w.Operation) -> None:
        works.apply(1000 * self.now, operation)

    # Moves

    def moves(self) -> Iterator[tuple[str, ...]]:
        if self.asked < len(REQUESTS):
            yield ("ask",)
        yield ("see",)
        yield ("pass",)
        for name, one in self.machines.items():
            if one.up:
                yield "look", name
                if one.view is not None:
                    yield "wake", name  # it goes on with what it knew
                yield "crash", name
                if self.hidden != name:
                    yield "hide", name
            elif not one.worked_on:
                yield "start", name
            place = self.maintenance.job_of(name)
            if place is not None and place.state == "safe" and one.up:
                yield "work", name
            if one.worked_on:
                yield "finish", name
        if self.asked:
            yield ("again",)
        if self.hidden:
            yield ("show",)

    def move(self, what: str, name: str = "") -> None:
        one = self.machines.get(name, Machine())
        match what:
            case "ask":
                self.apply(REQUESTS[self.asked])
                self.asked += 1
            case "again":  # nobody answered the first time
                self.apply(REQUESTS[self.asked - 1])
            case "see":
                self.see()
            case "pass":
                self.now += PASS
            case "look":
                one.view = self.maintenance.job_of(name)
                one.holder.update_grant(self.now, 1000 * self.now, one.view)
                self.act(name, one)
            case "wake":
                self.act(name, one)
            case "crash":
                one.up = one.drained = False
                one.holder, one.view = self.make(), None
            case "start":
                one.up = True
            case "hide":
                self.hidden = name
            case "show":
                self.hidden = ""
            case "work":
                place = self.maintenance.job_of(name)
                if place is not None and self.apply(w.ReportProgress(name, place.fencing_token, "out")):
                    self.went[place.request_id, name] = self.went.get((place.request_id, name), 0) + 1
                    one.up, one.worked_on, one.drained = False, True, False
                    one.holder, one.view = self.make(), None
            case "finish":
                place = self.maintenance.job_of(name)
                one.up, one.worked_on = True, False
                if place is not None:
                    self.apply(w.ReportProgress(name, place.fencing_token, "returning"))
        self.check()

    def see(self) -> None:
        sights = tuple(
            w.MachineView(name, ZONES[name], one.up and name != self.hidden)
            for name, one in self.machines.items()
        )
        sound = tuple(one.name for one in sights if one.available)
        before = {key for key, one in self.maintenance.jobs.items() if one.state == "granted"}
        self.apply(w.FleetView(self.now, sights, (w.GroupView(NAMES, sound),)))
        for key, place in self.maintenance.jobs.items():
            if place.state == "granted" and key not in before:
                lost = [one.name for one in sights if not one.available and one.name != place.machine]
                if len(lost) + 1 > BUDGET.max_out:
                    raise InvariantViolationError(
                        f"{place.machine} was granted though {' and '.join(lost)} is lost"
                    )

    def act(self, name: str, one: Machine) -> None:
        place = one.view
        acts = one.holder.step(self.now, place, False, RemainingWork(0, 0, 0, 0, one.drained))
        for act in acts:
            if act.kind == "drain":
                self.granted(name)
                one.drained = True
            elif act.kind == "resume":
                one.drained = False
            elif act.kind == "tell":
                self.apply(w.ReportProgress(name, act.fencing_token, act.state, act.reason))

    # What must hold

    def granted(self, name: str) -> None:
        place = self.maintenance.job_of(name)
        if place is None or place.state not in ("granted", "draining", "safe", "recalled"):
            raise InvariantViolationError(f"{name} drains without a grant: {place and place.state}")
        if 1000 * self.now > place.expires_at:
            raise InvariantViolationError(f"{name} drains under a grant that has run out")

    def check(self) -> None:
        planned = [name for name, one in self.machines.items() if one.drained or one.worked_on]
        if len(planned) > BUDGET.max_out:
            raise InvariantViolationError(f"{' and '.join(planned)} are out by plan, {BUDGET.max_out} may be")
        for key, count in self.went.items():
            if count > 1 or self.maintenance.jobs[key].state in ("queued", "granted", "draining", "safe"):
                raise InvariantViolationError(f"{key[1]} was out for {key[0]}, and is to go again")
        for place in self.maintenance.jobs.values():
            if place.state == "done" and self.machines[place.machine].worked_on:
                raise InvariantViolationError(f"{place.machine} is done while it is worked on")
            if place.state == "done" and not any(step.state == "out" for step in place.history):
                raise InvariantViolationError(f"{place.machine} is done and never was out")
        wanted = sum(len(one.machines) for one in REQUESTS[: self.asked])
        if len(self.maintenance.requests) != self.asked or len(self.maintenance.jobs) != wanted:
            raise InvariantViolationError("a request was taken twice, or lost")

    def key(self) -> bytes:
        """States alike in all that decides what comes; stories and times before now do not."""
        places = tuple(
            (one.request_id, one.machine, one.state, one.fencing_token > 0, one.outcome,
             one.expires_at > 0 and one.expires_at - 1000 * self.now)
            for one in self.maintenance.jobs.values()
        )  # fmt: skip
        machines = tuple(
            (one.up, one.worked_on, one.drained, one.holder.fencing_token > 0, one.holder.drained,
             one.holder.deadline > self.now and one.holder.deadline - self.now,
             one.view and (one.view.state, one.view.fencing_token ==
                           getattr(self.maintenance.job_of(name), "fencing_token", -1)))
            for name, one in self.machines.items()
        )  # fmt: skip
        return repr(
            (places, machines, self.hidden, self.asked, self.went, self.maintenance.failures)
        ).encode()


def explore(
    depth: int,
    works: type[MaintenanceJobs] = MaintenanceJobs,
    holder: type[MaintenanceAgent] = MaintenanceAgent,
) -> tuple[int, str]:
    """All interleavings to that depth: how many states there are, and what broke, with the moves to it."""
    first = MaintenanceModel(works, holder)
    seen = {first.key()}
    layer: list[tuple[MaintenanceModel, tuple[tuple[str, ...], ...]]] = [(first, ())]
    for _ in range(depth):
        further: list[tuple[MaintenanceModel, tuple[tuple[str, ...], ...]]] = []
        for world, path in layer:
            for move in list(world.moves()):
                then = copy.deepcopy(world)
                try:
                    then.move(*move)
                except InvariantViolationError as broken:
                    return len(seen), f"{broken}: {' '.join('.'.join(one) for one in (*path, move))}"
                if (key := then.key()) not in seen:
                    seen.add(key)
                    further.append((then, (*path, move)))
        layer = further
    return len(seen), ""


def random_walk(
    seed: int,
    moves: int,
    works: type[MaintenanceJobs] = MaintenanceJobs,
    holder: type[MaintenanceAgent] = MaintenanceAgent,
) -> tuple[MaintenanceModel, str]:
    """One long way by chance, then calm: all has to come to its end."""
    chance, world = random.Random(seed), MaintenanceModel(works, holder)
    try:
        for _ in range(moves):
            world.move(*chance.choice(list(world.moves())))
        for _ in range(40):
            world.hidden = ""
            for what in ("start", "finish", "see", "look", "look", "work", "finish", "see"):
                for move in [one for one in world.moves() if one[0] == what]:
                    world.move(*move)
            if world.asked < len(REQUESTS):
                world.move("ask")
        if left := world.maintenance.open_jobs():
            raise InvariantViolationError(
                f"not done when all was calm: {[(one.machine, one.state) for one in left]}"
            )
    except InvariantViolationError as broken:
        return world, str(broken)
    return world, ""


# Planted faults


class ExpiredGrantUsed(MaintenanceAgent):
    """A machine goes on under a grant that has run out by its own clock."""

    def update_grant(self, asked: float, stamp: float, place: MachineJob | None) -> None:
        super().update_grant(asked, stamp, place)
        self.deadline = float("inf")


class GrantsItself(MaintenanceAgent):
    """With nobody to ask it takes its place in the order for a grant."""

    def step(
        self, now: float, place: MachineJob | None, long: bool, sees: RemainingWork
    ) -> list[AgentAction]:
        if place is not None and place.state == "queued":
            self.drained = True
            return [AgentAction(AgentActionKind.DRAIN)]
        return super().step(now, place, long, sees)


class ForgetsUnplanned(MaintenanceJobs):
    """The budget counts what it took out, and nothing else; and so do majorities."""

    def _machines_out(self, views: Mapping[str, w.MachineView]) -> set[str]:
        return {
            one.machine for one in self.open_jobs() if one.state in ("granted", "draining", "safe", "out")
        }


class ReturnTakenForGranted(MaintenanceJobs):
    """What was worked on for as long as was expected is taken to be back."""

    def _expire_grants(self, now: float) -> None:
        super()._expire_grants(now)
        for place in self.open_jobs():
            if place.state == "out" and now > place.state_since:
                self._enter(now, place, "done", fencing_token=0)


class AskedTwice(MaintenanceJobs):
    """A request that comes again begins anew."""

    def _request_maintenance(self, now: float, ask: w.RequestMaintenance) -> None:
        if ask.request_id in self.requests:
            for machine in ask.machines:
                self.jobs[ask.request_id, machine] = MachineJob(machine, ask.request_id, state_since=now)
        super()._request_maintenance(now, ask)


class OrderByOwnClock(MaintenanceJobs):
    """Who has waited longest is told by each gateway's own clock."""

    count = 0

    def apply(self, now: float, operation: w.Operation) -> float:
        OrderByOwnClock.count += 1
        return super().apply(now + OrderByOwnClock.count, operation)


PLANTED_FAULTS: dict[str, tuple[type[MaintenanceJobs], type[MaintenanceAgent]]] = {
    "ExpiredGrantUsed": (MaintenanceJobs, ExpiredGrantUsed), "GrantsItself": (MaintenanceJobs, GrantsItself),
    "ForgetsUnplanned": (ForgetsUnplanned, MaintenanceAgent), "AskedTwice": (AskedTwice, MaintenanceAgent),
    "ReturnTakenForGranted": (ReturnTakenForGranted, MaintenanceAgent),
    "OrderByOwnClock": (OrderByOwnClock, MaintenanceAgent),
}  # fmt: skip
