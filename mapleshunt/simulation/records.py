"""What crossed the model's wire, for score and rules: never what a gateway believes."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Literal

from ..fleet.backend import BackendRequest
from ..fleet.clients import ClientRequest
from ..fleet.quota import TokenBucket
from .day import Day

CEILING_SLACK = 0.1  # of a ceiling's burst by which its store may go below 0; the largest request at least
ClientResult = Literal["served", "refused", "failed", "unreachable", "late"]


@dataclass(slots=True, eq=False)
class UpstreamAttempt:
    server: int
    cell: int
    sent_at: float
    backend_request: BackendRequest
    arrived_at: float | None = None  # whole at its till server
    status: str | None = None
    holds_connection: bool = False  # it holds one


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One request as a client sent it to a gateway; `ask` is the first try that it belongs to."""

    request_id: int
    request: ClientRequest
    number: int  # of the client's tries, from 1
    gateway: int
    sent_at: float
    timeout_ms: float
    accepted: bool = False
    result: ClientResult | None = None  # as the gateway gave it
    answered_at: float = 0.0  # when it left the gateway
    client_notified: bool = False  # the client has had its end
    client_left_at: float | None = None  # when its client closed its connection without an answer
    inside_quota: bool | None = None  # its first attempt was inside the quota; None: none arrived
    attempts: list[UpstreamAttempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class RequestRecord:
    """What became of a first try and its repeats."""

    request: ClientRequest
    served_at: float | None = None  # when the client had its answer
    inside_quota: bool = False
    attempt_count: int = 0
    ended_at: float = 0.0
    last_result: ClientResult | None = None


class QuotaLedger:
    """The quotas as one that sees every arrival at a till server holds them."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.plans = day.settings()[0].plans
        self.buckets: dict[int, TokenBucket] = {}
        self.ceilings: dict[int, TokenBucket] = {}
        self.on_ceiling_exceeded: Callable[[ClientAttempt, float], None] = (
            lambda one, below: None
        )  # told of broken ones

    def bucket(self, customer: int) -> TokenBucket:
        found = self.buckets.get(customer)
        if found is None:
            name = self.day.parameters.plans[self.day.traffic.customers[customer].plan].name
            found = self.buckets[customer] = TokenBucket(self.plans[name].rate, self.plans[name].burst)
        return found

    def record_arrival(self, one: ClientAttempt, now: float) -> None:
        """An attempt is whole at a till server: the first one takes the try's units.

        A plan's ceiling is a second store, which the guess is taken from, inside the quota or not.
        """
        if one.inside_quota is not None:
            return
        one.inside_quota = self.bucket(one.request.customer).try_take(now, one.request.estimated_units)
        name = self.day.parameters.plans[self.day.traffic.customers[one.request.customer].plan].name
        plan = self.plans[name]
        if plan.ceiling_rate:
            held = self.ceilings.get(one.request.customer)
            if held is None:
                held = self.ceilings[one.request.customer] = TokenBucket(
                    plan.ceiling_rate, plan.ceiling_burst
                )
            held.refill(now)
            held.level -= one.request.estimated_units
            slack = max(CEILING_SLACK * plan.ceiling_burst, self.day.parameters["most_units"])
            if held.level < -slack:
                self.on_ceiling_exceeded(one, -held.level)

    def record_settlement(self, one: ClientAttempt, now: float) -> None:
        """Its first good answer told the true units."""
        if one.inside_quota and one.result is None:
            self.bucket(one.request.customer).settle(now, one.request.units - one.request.estimated_units)
