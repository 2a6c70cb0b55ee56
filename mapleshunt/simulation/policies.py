"""Baseline policies with which the decision module is compared.

They have its interface and receive its events, and differ in how they admit requests: all of them, by an even
part or the whole of each quota, or by a call to the shared counter for each. They choose endpoints at random,
without slow start and without a limit on attempts in flight.
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
DEADLINE_MARGIN_MS = 8.0  # before a request's timeout, at which it is rejected or failed


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request without a result. Times are in ms."""

    request: RequestReceived
    ends_at: float
    attempted: list[int] = field(default_factory=list)  # endpoints
    may_have_run: bool = False


class AdmitAll:
    """Forwards every request to an endpoint drawn at random."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        self.settings, self.random, self.now = settings, random.Random(seed), now
        self.ready: dict[int, EndpointInfo] = {}
        self.pending: dict[int, PendingRequest] = {}
        self.actions: list[Any] = []

    def start(self) -> list[Any]:
        """Return no actions."""
        return []

    def handle(self, now: float, event: Any) -> list[Any]:
        """Return the actions that follow from an event at `now` (ms)."""
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
                self.pending[event.request_id] = PendingRequest(
                    event, now + event.remaining_time - DEADLINE_MARGIN_MS
                )
                self.actions.append(
                    SetTimer(now + event.remaining_time - DEADLINE_MARGIN_MS, event.request_id)
                )
                self.admit(event)
            case AttemptEnded():
                self.attempt_ended(event)
            case TimerFired(pending_id) if pending_id in self.pending:
                self.finish(pending_id)
            case ClientDisconnected(pending_id):
                self.pending.pop(pending_id, None)
            case CounterReply():
                self.counter_replied(event)
        return self.actions

    def admit(self, request: RequestReceived) -> None:
        """Forward or reject a new request."""
        self.send(request.request_id)

    def counter_replied(self, event: CounterReply) -> None:
        """Handle a counter's reply; only a policy that calls the counter gets one."""

    def send(self, request_id: int) -> None:
        """Send an attempt, to an endpoint not yet attempted if there is one."""
        pending = self.pending[request_id]
        candidates = [endpoint for endpoint in self.ready if endpoint not in pending.attempted] or list(
            self.ready
        )
        if not candidates:
            self.finish(request_id)
            return
        endpoint = self.random.choice(candidates)
        pending.attempted.append(endpoint)
        self.actions.append(StartAttempt(request_id, endpoint))

    def attempt_ended(self, event: AttemptEnded) -> None:
        """Retry a request whose attempt failed, or end it."""
        pending = self.pending.get(event.request_id)
        if pending is None:
            return
        if event.request_completed:
            del self.pending[event.request_id]
            return
        pending.may_have_run = pending.may_have_run or event.status not in NEVER_RAN
        safe = self.settings.classes[pending.request.request_class].effect == "safe"
        if (
            len(pending.attempted) < MAX_ATTEMPTS
            and (safe or not pending.may_have_run)
            and self.now < pending.ends_at
        ):
            self.send(event.request_id)
        else:
            self.finish(event.request_id)

    def finish(self, request_id: int) -> None:
        """Reject a request that is safe or has not been attempted, else fail it."""
        pending = self.pending.pop(request_id)
        rejectable = (
            self.settings.classes[pending.request.request_class].effect == "safe" or not pending.attempted
        )
        if rejectable:
            self.actions.append(RejectRequest(request_id, self.settings.max_retry_after))
        else:
            self.actions.append(FailRequest(request_id))


class EvenSplit(AdmitAll):
    """Each gateway grants a customer its quota divided by the size of its gateway set."""

    divides_quota = True

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.buckets: dict[str, TokenBucket] = {}

    def admit(self, request: RequestReceived) -> None:
        """Forward a request if its customer's bucket holds its units, else reject it."""
        bucket = self.buckets.get(request.customer)
        if bucket is None:
            plan, divisor = (
                self.settings.plans[request.plan],
                request.gateway_set_size if self.divides_quota else 1,
            )
            bucket = TokenBucket(
                plan.rate / divisor, max(plan.burst / divisor, self.settings.max_request_units)
            )
            bucket.refilled_at, self.buckets[request.customer] = self.now, bucket
        if bucket.try_take(self.now, request.units):
            self.send(request.request_id)
        else:
            self.finish(request.request_id)


class WholeQuota(EvenSplit):
    """Each gateway grants a customer its whole quota, independently of the others."""

    divides_quota = False


class CountEach(AdmitAll):
    """Calls the shared counter for each request, and admits the request if the call fails."""

    def __init__(self, settings: Settings, seed: int, now: float) -> None:
        super().__init__(settings, seed, now)
        self.calls: dict[int, list[int]] = {}  # by value name: requests that wait for replies, in order

    def admit(self, request: RequestReceived) -> None:
        """Call the counter of the customer's current window."""
        plan = self.settings.plans[request.plan]
        window = 1000 * plan.burst / plan.rate
        name = zlib.crc32(f"{request.customer} {int(self.now // window)}".encode())
        self.calls.setdefault(name, []).append(request.request_id)
        self.actions.append(CounterCall(name, request.units, 2 * window))

    def counter_replied(self, event: CounterReply) -> None:
        """Admit or reject the request that made the call."""
        waiting = self.calls[event.name]
        request_id = waiting.pop(0)
        if not waiting:
            del self.calls[event.name]
        if request_id not in self.pending:
            return
        plan = self.settings.plans[self.pending[request_id].request.plan]
        # A window's rate amounts to the burst; a quarter more stands for stored units.
        if event.status != "ok" or event.total <= 1.25 * plan.burst:
            self.send(request_id)
        else:
            self.finish(request_id)


POLICIES: dict[str, type[AdmitAll]] = {
    "let-all": AdmitAll, "even-split": EvenSplit, "whole-quota": WholeQuota, "count-each": CountEach,
}  # fmt: skip
