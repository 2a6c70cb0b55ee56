"""Plain policies that run beside the decision module, to say what the design is worth.

They have its `start` and `handle` and see what it sees, and differ in how they let requests in: all of them,
an even slice of each quota, or by a call to the shared counter for each. Servers they choose at random, with
no ramp for cold ones and no bound on what is out.
"""

from __future__ import annotations

import random
import zlib
from dataclasses import dataclass, field
from typing import Any

from ..fleet.quota import TokenBucket
from ..policy import (
    AttemptEnded,
    ClientDisconnected,
    EndpointInfo,
    EndpointUpdate,
    FailRequest,
    RejectRequest,
    RequestReceived,
    SetTimer,
    Settings,
    StartAttempt,
    TimerFired,
)
from .gateway_policy import CounterCall, CounterReply
from .rule_checker import NEVER_RAN

MAX_ATTEMPTS = 3
DEADLINE_MARGIN_MS = 8.0  # ms before a request's patience ends at which it is answered


@dataclass(slots=True, eq=False)
class PendingRequest:
    request: RequestReceived
    due: float
    tried: list[int] = field(default_factory=list)
    risky: bool = False  # an attempt may have run


class AdmitAll:
    """Every request is sent on, to a till server drawn at random."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.set, self.random, self.now = settings, random.Random(seed), now
        self.ready: dict[int, EndpointInfo] = {}
        self.held: dict[int, PendingRequest] = {}
        self.actions: list[Any] = []

    def start(self) -> list[Any]:
        return []

    def handle(self, now: float, event: Any) -> list[Any]:
        self.now, self.actions = now, []
        match event:
            case EndpointUpdate():
                if event.kind != "partial":
                    self.ready = {}
                for entry in event.endpoints:
                    if entry.state == "ready":
                        self.ready[entry.endpoint] = entry
                    else:
                        self.ready.pop(entry.endpoint, None)
            case RequestReceived():
                self.held[event.request_id] = PendingRequest(
                    event, now + event.remaining_time - DEADLINE_MARGIN_MS
                )
                self.actions.append(
                    SetTimer(now + event.remaining_time - DEADLINE_MARGIN_MS, event.request_id)
                )
                self.admit(event)
            case AttemptEnded():
                self.outcome(event)
            case TimerFired(ref) if ref in self.held:
                self.finish(ref)
            case ClientDisconnected(ref):
                self.held.pop(ref, None)
            case CounterReply():
                self.counted(event)
        return self.actions

    def admit(self, request: RequestReceived) -> None:
        self.send(request.request_id)

    def counted(self, event: CounterReply) -> None:
        """Only those that call the counter hear of it."""

    def send(self, ref: int) -> None:
        held = self.held[ref]
        pool = [server for server in self.ready if server not in held.tried] or list(self.ready)
        if not pool:
            self.finish(ref)
            return
        server = self.random.choice(pool)
        held.tried.append(server)
        self.actions.append(StartAttempt(ref, server))

    def outcome(self, event: AttemptEnded) -> None:
        held = self.held.get(event.request_id)
        if held is None:
            return
        if event.request_completed:
            del self.held[event.request_id]
            return
        held.risky = held.risky or event.status not in NEVER_RAN
        safe = self.set.classes[held.request.request_class].effect == "safe"
        if len(held.tried) < MAX_ATTEMPTS and (safe or not held.risky) and self.now < held.due:
            self.send(event.request_id)
        else:
            self.finish(event.request_id)

    def finish(self, ref: int) -> None:
        held = self.held.pop(ref)
        refusable = self.set.classes[held.request.request_class].effect == "safe" or not held.tried
        if refusable:
            self.actions.append(RejectRequest(ref, self.set.max_retry_after))
        else:
            self.actions.append(FailRequest(ref))


class EvenSplit(AdmitAll):
    """Each gateway grants a customer its quota over the gateways of the customer's set."""

    part = True

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.stores: dict[str, TokenBucket] = {}

    def admit(self, request: RequestReceived) -> None:
        store = self.stores.get(request.customer)
        if store is None:
            plan, parts = self.set.plans[request.plan], request.gateway_set_size if self.part else 1
            store = TokenBucket(plan.rate / parts, max(plan.burst / parts, self.set.max_request_units))
            store.refilled_at, self.stores[request.customer] = self.now, store
        if store.try_take(self.now, request.units):
            self.send(request.request_id)
        else:
            self.finish(request.request_id)


class WholeQuota(EvenSplit):
    """Each gateway grants a customer its whole quota, and knows nothing of the others."""

    part = False


class CountEach(AdmitAll):
    """A call to the shared counter for each request; let in when there is no answer."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.calls: dict[int, list[int]] = {}  # by name: those that wait for its answers, in their order

    def admit(self, request: RequestReceived) -> None:
        plan = self.set.plans[request.plan]
        window = 1000 * plan.burst / plan.rate
        name = zlib.crc32(f"{request.customer} {int(self.now // window)}".encode())
        self.calls.setdefault(name, []).append(request.request_id)
        self.actions.append(CounterCall(name, request.units, 2 * window))

    def counted(self, event: CounterReply) -> None:
        waiting = self.calls[event.name]
        ref = waiting.pop(0)
        if not waiting:
            del self.calls[event.name]
        if ref not in self.held:
            return
        plan = self.set.plans[self.held[ref].request.plan]
        if event.status != "ok" or event.total <= 1.25 * plan.burst:  # a window's rate, and part of the store
            self.send(ref)
        else:
            self.finish(ref)


POLICIES: dict[str, type[AdmitAll]] = {
    "let-all": AdmitAll, "even-split": EvenSplit, "whole-quota": WholeQuota, "count-each": CountEach,
}  # fmt: skip
