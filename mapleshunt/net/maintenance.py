"""The host of work on machines: this gateway's side of its grant and, where it leads group 0, of the order.

What is decided is in `maintenance.state` (in the log) and `maintenance.holder`; here are clock, calls, hands.
"""

from __future__ import annotations

import time
from collections import deque
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import Any

import msgspec

from ..maintenance import commands as w
from ..maintenance import fleet_view as sight
from ..maintenance.agent import AgentAction, MaintenanceAgent, RemainingWork
from ..maintenance.records import MachineJob
from ..replicated_state import commands as h
from ..replicated_state.results import Applied, Denied, Result, decode_result
from ..replicated_state.state_machine import Record
from ..replication import messages as m
from ..replication import wire
from ..settings.operators import Maintenance as Section
from . import log
from .counters import Counters
from .periodic import PeriodicTask
from .replication.group_host import EVACUATED_PREFIX
from .replication.host import ReplicationHost
from .replication.local_calls import OPEN_RETRY_DELAY_S

EVERY = 0.2  # s between two looks
IDLE = 1.0  # s between two questions while no work is asked for
SEE = 0.5  # s between two entries of what the coordinator sees
FRESH = 1.5  # s for which what a gateway told of itself holds
AGAIN = 0.5  # s after which an operation is sent again
MOST_PROPOSALS = 4  # that wait on a line, beyond which it counts as busy
BY_WORK = "work"  # the mark of copies that were moved off for work, beside those that operators moved

TOLD: msgspec.msgpack.Decoder[tuple[float, MachineJob | None, bool, bool]] = msgspec.msgpack.Decoder(
    tuple[float, MachineJob | None, bool, bool]
)


@dataclass(slots=True, frozen=True)
class Proposal:
    """An operation to be done; `done` is told what came of it."""

    operation: h.Operation
    done: Callable[[Result], None]


class ProposalSession:
    """One operation at a time, each sent until it is answered, by a session of its own at one group.

    A group may forget a session that is silent for long: another is begun, and the operation sent again. All
    of them may be done twice: they are fenced, bound to a version, or set what is set already.
    """

    def __init__(self, copies: ReplicationHost, group: int) -> None:
        self.copies, self.group = copies, group
        self.number = self.call = 0
        self.next = 0.0  # s, when the operation that is out is sent again
        self.command = b""  # that is out; empty if none is
        self.waiting: deque[Proposal] = deque()  # the first is out, once the session is open
        self._begin_session()

    def _begin_session(self) -> None:
        self.name, self.opened = self.copies.session_name(f"work{self.group}-"), False

    def busy(self) -> bool:
        return bool(self.command) or len(self.waiting) > MOST_PROPOSALS

    def propose(self, operation: h.Operation, done: Callable[[Result], None]) -> None:
        self.waiting.append(Proposal(operation, done))
        self.tend(self.copies.now())

    def tend(self, now: float) -> None:
        if not self.command and self.waiting:
            operation = self.waiting[0].operation if self.opened else h.OpenSession()
            self.number += 1
            self.command = h.encode(h.Command(self.name, self.number, self.number, operation))
        if self.command and now >= self.next:
            self._send(now)

    def _send(self, now: float) -> None:
        self.next = now + AGAIN
        self.copies.abandon(self.call)
        number, to = self.number, self.copies.leads(self.group)
        self.call = self.copies.call(self.group, self.command, to, lambda one: self._replied(number, one))

    def _replied(self, number: int, reply: wire.ClientResponse) -> None:
        if number != self.number or not self.command:
            return
        now = self.copies.now()
        if reply.how != "done":
            self.copies.learn(self.group, reply)
            self.next = min(self.next, now + EVERY / 2)
            return
        self.command, self.next = b"", now
        self._ended(decode_result(reply.data), now)
        self.tend(now)

    def _ended(self, result: Result, now: float) -> None:
        if not self.opened:
            self.opened = isinstance(result, Applied)
            self.next = now if self.opened else now + OPEN_RETRY_DELAY_S
        elif isinstance(result, Denied) and result.why == "session":
            self._begin_session()
        else:
            self.waiting.popleft().done(result)


@dataclass(slots=True, frozen=True)
class GatewayControls:
    """What a gateway lets be done to it: `sees` tells open requests, client connections, and whether it takes
    no clients; `load` its part of what it can do.
    """

    drain: Callable[[], None]
    resume: Callable[[], None]
    sees: Callable[[], tuple[int, int, bool]]
    load: Callable[[], float]


class MaintenanceHost:
    def __init__(
        self, copies: ReplicationHost, section: Section, hands: GatewayControls, counters: Counters
    ) -> None:
        self.copies, self.section, self.hands, self.counters = copies, section, hands, counters
        self.holder = MaintenanceAgent()
        self.lines: dict[int, ProposalSession] = {}
        self.place: MachineJob | None = None
        self.known = self.long = self.some = False  # is it known, for long work, and is there work at all
        self.asked = self.saw = float("-inf")
        self.leading = float("inf")  # since when it coordinates
        self.call = 0
        self.said = ""
        self.statuses: dict[str, tuple[float, Mapping[str, Any]]] = {}
        copies.serves = self.serves
        self.tick = PeriodicTask(self._tick, EVERY, counters.add)

    def start(self) -> None:
        self.tick.start()

    def close(self) -> None:
        self.tick.stop()

    def serves(self) -> dict[str, Any]:
        """For the gateway's status."""
        takes = not self.hands.sees()[2]
        return {"takes": takes, "load": self.hands.load(), "version": self.section.version}

    def reload(self, section: Section) -> None:
        """The operators' file was read again: a budget that is another becomes an agreed record."""
        if section.budget() != self.section.budget():
            self.line(0).propose(w.SetBudget(section.budget(), self.copies.name), self._budget_set)
        self.section = section

    def _budget_set(self, result: Result) -> None:
        log.log_event(
            "maintenance_budget",
            result="Denied" if isinstance(result, Denied) else "Done",
            why=getattr(result, "why", ""),
        )

    def line(self, group: int) -> ProposalSession:
        if group not in self.lines:
            self.lines[group] = ProposalSession(self.copies, group)
        return self.lines[group]

    def _tick(self) -> None:
        try:
            now = self.copies.now()
            for line in self.lines.values():
                line.tend(now)
            if now - self.asked >= (EVERY if self.some else IDLE):
                self._ask(now)
            if self.known:
                self._hold(now)
            host = self.copies.hosts.get(0)
            if host is not None and host.leads():
                self._coordinate(now, host.holdings.works)
            else:
                self.leading = float("inf")
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("maintenance_exception")

    # As a machine

    def _ask(self, now: float) -> None:
        self.asked = now
        self.copies.abandon(self.call)
        read = f"place {self.copies.name}"
        self.call = self.copies.call(0, b"", self.copies.leads(0), lambda one: self._told(now, one), read)

    def _told(self, asked: float, reply: wire.ClientResponse) -> None:
        if reply.how != "done":
            self.copies.learn(0, reply)
            self.asked = min(self.asked, self.copies.now() - IDLE + EVERY / 2)  # soon again
            return
        stamp, place, self.long, self.some = TOLD.decode(reply.data)
        if place is not None and (self.place is None or self.place.state != place.state):
            log.log_event("maintenance_place", request=place.request, state=place.state, fence=place.fence)
        self.place, self.known = place, True
        self.holder.told(asked, stamp, place)

    def _hold(self, now: float) -> None:
        open_, clients, drained = self.hands.sees()
        hosts = list(self.copies.hosts.values())
        leads = sum(one.leads() for one in hosts)
        held = sum(self.copies.me in one.node.members().voters for one in hosts)
        for act in self.holder.step(
            now, self.place, self.long, RemainingWork(open_, clients, leads, held, drained)
        ):
            self._do(act)
        if self.place is not None and self.place.state == "returning" and self.long:
            self._mark("", BY_WORK)

    def _do(self, act: AgentAction) -> None:
        match act.how:
            case "drain":
                log.log_event("maintenance_drains", fence=self.holder.fence)
                self.hands.drain()
            case "resume":
                log.log_event("maintenance_resumes", fence=self.holder.fence)
                self.hands.resume()
            case "hand_over":
                for host in self.copies.hosts.values():
                    if host.leads():
                        host.step(m.TransferLeadership())
                if act.what == "copies":
                    self._mark(BY_WORK, "")
            case "take_back":
                self._mark("", BY_WORK)
            case "tell" if not self.line(0).busy():
                told = w.ReportProgress(self.copies.name, act.fence, act.what, act.why)
                self.line(0).propose(told, lambda _: self._ask(self.copies.now()))

    def _mark(self, value: str, before: str) -> None:
        """Let groups leave this gateway, or come back, where the mark is still as it was `before`."""
        key = f"{EVACUATED_PREFIX}{self.copies.name}"
        for group in range(self.copies.section.groups):
            if not self.line(group).busy():
                self.copies.call(
                    group, b"", self.copies.leads(group), lambda one, group=group: read(group, one),  # type: ignore[misc]
                    f"record {key}",
                )  # fmt: skip

        def read(group: int, reply: wire.ClientResponse) -> None:
            if reply.how == "done" and not self.line(group).busy():
                known: Record | None = msgspec.msgpack.decode(reply.data, type=Record | None)
                if (known.value if known is not None else "") == before:
                    put = h.SetRecord(key, value, known.version if known is not None else 0)
                    self.line(group).propose(put, lambda _: None)

    # As the coordinator

    def _coordinate(self, now: float, works: Any) -> None:
        if works.budget != self.section.budget() and not works.chosen and not self.line(0).busy():
            self.line(0).propose(w.SetBudget(self.section.budget(), self.copies.name), self._budget_set)
        if not works.open() or now - self.saw < SEE:
            return
        self.saw = now
        for peer in self.copies.links.links:
            self.copies.ask(peer, "status", lambda one, peer=peer: self._status(peer, one))  # type: ignore[misc]
        told = {name: one for name, (at, one) in self.statuses.items() if now - at <= FRESH}
        told = {name: one for name, one in told.items() if name in self.copies.links.links}
        self.leading = min(self.leading, now)
        if now - self.leading < FRESH and len(told) < len(self.copies.links.links):
            return  # it has just begun to lead: who has not answered yet is not lost
        told[self.copies.name] = self.copies.status()
        found = sight.build_fleet_view(
            time.time(), self.copies.zones, self.copies.section.groups, told, works
        )
        if not self.line(0).busy():
            self.line(0).propose(found, lambda _: None)
        if works.blocked != self.said:
            self.said = works.blocked
            log.log_event("maintenance_waits", why=works.blocked or "no more")

    def _status(self, peer: str, reply: wire.ClientResponse) -> None:
        if reply.how == "done":
            self.statuses[peer] = (self.copies.now(), msgspec.msgpack.decode(reply.data))
