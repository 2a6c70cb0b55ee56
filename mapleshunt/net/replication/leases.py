"""Leases for this gateway's decisions, drawn from the copies: sessions that call until they are answered."""

from __future__ import annotations

import asyncio
import math
from dataclasses import dataclass

from ...policy import QuotaLeaseGranted, RequestReceived
from ...policy.gossip_codec import tag_of
from ...policy.state import Customer
from ...replicated_state import commands as w
from ...replicated_state.leases import Action, LeaseHolder, LeaseUpdate, ProposeOperation
from ...replicated_state.results import Applied, Denied, Result, decode_result
from ...replication import wire
from ...replication.placement import group_of_customer
from .. import log
from ..counters import Counters
from ..periodic import PeriodicTask
from ..policy_driver import PolicyDriver
from .host import ReplicationHost
from .local_calls import OPEN_RETRY_DELAY_S

TERM, LONGEST = 2000.0, 10_000.0  # ms of a lease
HOLD = 100.0  # ms that a request waits at most for a lease that is being asked for
EVERY = 50  # ms between two looks at what is due
AGAIN = 0.25  # s after which a call is made again, through whoever leads then
PATIENCE = {
    w.AcquireLease: 0.5,
    w.ReturnLease: 1.0,
    w.SettleUsage: 30.0,
}  # terms after which nobody waits for an answer
MOST_OPEN = 32  # operations of a session that wait; more than that are not begun


@dataclass(slots=True)
class Operation:
    """One that is not answered yet. Without `ask` it opens the session."""

    command: bytes
    ask: ProposeOperation | None
    until: float  # s
    next: float  # s, when it is sent again
    call: int = 0


class Session:
    """This gateway's operations at one group, each by a number of its own."""

    def __init__(self, leases: LeaseClient, group: int) -> None:
        self.leases, self.group = leases, group
        self.name = leases.copies.session_name("lease")
        self.number, self.hint = 0, ""
        self.operations: dict[int, Operation] = {}
        self.begun = False
        self._propose(w.OpenSession(), None, math.inf)

    def do(self, ask: ProposeOperation) -> None:
        if len(self.operations) >= MOST_OPEN:
            self.leases.counters.add("leases_crowded")
            self.leases.come(ask, None)
        else:
            self._propose(ask.operation, ask, PATIENCE.get(type(ask.operation), 1.0) * TERM / 1000)

    def _propose(self, operation: w.Operation, ask: ProposeOperation | None, patience: float) -> None:
        self.number += 1
        low = min(self.operations, default=self.number)
        now = asyncio.get_running_loop().time()
        data = w.encode(w.Command(self.name, self.number, low, operation))
        self.operations[self.number] = Operation(data, ask, now + patience, now)
        if self.begun or ask is None:
            self._send(self.number)

    def _send(self, number: int) -> None:
        one, copies = self.operations[number], self.leases.copies
        copies.abandon(one.call)
        one.next = asyncio.get_running_loop().time() + AGAIN
        to = self.hint or copies.leads(self.group)
        self.hint = ""
        one.call = copies.call(self.group, one.command, to, lambda reply: self._replied(number, reply))

    def _replied(self, number: int, reply: wire.ClientResponse) -> None:
        one = self.operations.get(number)
        if one is None:
            return
        now = asyncio.get_running_loop().time()
        if reply.how != "done":
            self.hint = reply.hint
            one.next = min(one.next, now + EVERY / 1000)
            return
        result = decode_result(reply.data)
        if one.ask is None:
            self._opened(number, result, now)
        elif isinstance(result, Denied) and result.why == "session":
            self.leases.forget(self)
        else:
            del self.operations[number]
            self.leases.come(one.ask, result)

    def _opened(self, number: int, result: Result, now: float) -> None:
        """The group has the session, or has no room for it now and is asked again later."""
        if isinstance(result, Applied):
            self.begun = True
            del self.operations[number]
        else:
            self.leases.counters.add("leases_session_denied")
            self.operations[number].next = now + OPEN_RETRY_DELAY_S

    def tend(self, now: float) -> None:
        for number, one in list(self.operations.items()):
            if number not in self.operations:
                continue  # it ended meanwhile, with its session
            if now >= one.until and one.ask is not None:
                del self.operations[number]
                self.leases.copies.abandon(one.call)
                self.leases.counters.add("leases_unanswered")
                self.leases.come(one.ask, None)
            elif now >= one.next and (self.begun or one.ask is None):
                self._send(number)

    def abandon(self) -> list[ProposeOperation]:
        """Wait for no answer any more; what was asked and is not answered."""
        operations, self.operations = self.operations, {}
        for one in operations.values():
            self.leases.copies.abandon(one.call)
        return [one.ask for one in operations.values() if one.ask is not None]


class LeaseClient:
    def __init__(self, copies: ReplicationHost, driver: PolicyDriver, counters: Counters) -> None:
        self.copies, self.driver, self.counters = copies, driver, counters
        self.leaser = LeaseHolder(TERM, LONGEST, self._rest, self._left, self._level, self._owed)
        # By customer, in their order: until when, which request, and what it needs.
        self.waiting: dict[str, list[tuple[float, int, float]]] = {}
        self.plans: dict[str, str] = {}  # of customers that are leased for
        self.sessions: dict[int, Session] = {}
        self.sound = True  # some group answers
        driver.delay_admission = self._asked
        self.tick = PeriodicTask(self._tick, EVERY / 1000, counters.add)

    def start(self) -> None:
        self.tick.start()

    def close(self) -> None:
        self.tick.stop()

    # What the decisions hold

    def _held(self, customer: str) -> Customer | None:
        return self.driver.gateway.customers.get(tag_of(customer))

    def _rest(self, customer: str, lease: int) -> float:
        one = self._held(customer)
        return one.leases.get(lease, (0.0, 0.0))[0] if one is not None else 0.0

    def _left(self, customer: str, lease: int) -> float:
        one = self._held(customer)
        return one.leases.pop(lease, (0.0, 0.0))[0] if one is not None else 0.0

    def _level(self, customer: str, at: float) -> float:
        one = self._held(customer)
        return (one.leased(at) or 0.0) if one is not None else 0.0

    def _owed(self, customer: str) -> float:
        one = self._held(customer)
        if one is None:
            return 0.0
        owed, one.owed = one.owed, 0.0
        return owed

    # Requests, answers, time

    def _asked(self, request: RequestReceived) -> bool:
        """Draw what it needs; it waits while the copies answer and its answer is on the way."""
        plan = self.driver.settings.plans[request.plan]
        if plan.rate and (len(self.plans) < 100_000 or request.customer in self.plans):
            self.plans[request.customer] = request.plan
            now, burst = self.driver.now(), plan.burst
            actions = self.leaser.demand(
                now, request.customer, plan.rate, burst, request.gateway_set_size, request.units
            )
            self._do(actions)
            if self.sound and request.remaining_time > 2 * HOLD:
                waiting = self.waiting.get(request.customer)
                if waiting is not None or self.leaser.waits(now, request.customer, request.units):
                    one = (now + HOLD, request.request_id, request.units)
                    self.waiting.setdefault(request.customer, []).append(one)
                    return True
        return False

    def _resume(self, customer: str) -> None:
        """Let those go on that waited for this customer's lease, but for those worth asking again."""
        now = self.driver.now()
        waiting = self.waiting.pop(customer, [])
        while waiting:
            end, ref, units = waiting[0]
            if now < end and self._level(customer, now) < units:
                self._do(self.leaser.more(now, customer, units))
                if self.leaser.waits(now, customer, units):
                    self.waiting[customer] = waiting + self.waiting.pop(customer, [])
                    return
            del waiting[0]
            self.driver.resume(ref)

    def come(self, ask: ProposeOperation, result: Result | None) -> None:
        self._say_if_changed(result is not None)
        self.counters.add("leases_denied", int(isinstance(result, Denied)))
        self._do(self.leaser.answered(self.driver.now(), ask, result))
        if isinstance(ask.operation, w.AcquireLease):
            self._resume(ask.customer)

    def _say_if_changed(self, sound: bool) -> None:
        if sound != self.sound:
            self.sound = sound
            log.log_event("leases_sound" if sound else "leases_alone", customers=len(self.plans))

    def _do(self, actions: list[Action]) -> None:
        for action in actions:
            if isinstance(action, LeaseUpdate):
                plan = self.plans.get(action.customer)
                if plan is not None:
                    self.counters.add("leases_had", int(action.lease > 0))
                    self.driver.apply_event(
                        QuotaLeaseGranted(action.customer, plan, action.lease, action.units, action.until)
                    )
            else:
                group = group_of_customer(action.customer, self.copies.section.groups)
                if group not in self.sessions:
                    self.sessions[group] = Session(self, group)
                self.sessions[group].do(action)

    def forget(self, session: Session) -> None:
        """Its group knows the session no more: of what is open in it nobody can tell whether it was done. The
        next operation begins another session, by another name.
        """
        self.counters.add("leases_sessions_forgotten")
        if self.sessions.get(session.group) is session:
            del self.sessions[session.group]
        for ask in session.abandon():
            self.come(ask, None)

    def _tick(self) -> None:
        try:
            self._do(self.leaser.tick(self.driver.now()))
            now = self.driver.now()
            for customer in [one for one, waiting in self.waiting.items() if waiting[0][0] <= now]:
                self._resume(customer)
            for customer in [one for one in self.plans if one not in self.leaser.customers]:
                del self.plans[customer]
            now = asyncio.get_running_loop().time()
            for session in list(self.sessions.values()):
                session.tend(now)
        except Exception:
            self.counters.add("exceptions")
            log.log_exception("leases_exception")
