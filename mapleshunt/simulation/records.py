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
    sent: float
    work: BackendRequest
    arrived: float | None = None  # whole at its till server
    status: str | None = None
    connection: bool = False  # it holds one


@dataclass(slots=True, eq=False)
class ClientAttempt:
    """One request as a client sent it to a gateway; `ask` is the first try that it belongs to."""

    ref: int
    ask: ClientRequest
    number: int  # of the client's tries, from 1
    gateway: int
    sent: float
    patience: float
    taken: bool = False
    answer: ClientResult | None = None  # as the gateway gave it
    answered: float = 0.0  # when it left the gateway
    known: bool = False  # the client has had its end
    left: float | None = None  # when its client closed its connection without an answer
    inside: bool | None = None  # its first attempt was inside the quota; None: none arrived
    attempts: list[UpstreamAttempt] = field(default_factory=list)


@dataclass(slots=True, eq=False)
class RequestRecord:
    """What became of a first try and its repeats."""

    ask: ClientRequest
    served: float | None = None  # when the client had its answer
    inside: bool = False
    tries: int = 0
    ended: float = 0.0
    last: ClientResult | None = None


class QuotaLedger:
    """The quotas as one that sees every arrival at a till server holds them."""

    def __init__(self, day: Day) -> None:
        self.day = day
        self.plans = day.settings()[0].plans
        self.stores: dict[int, TokenBucket] = {}
        self.ceilings: dict[int, TokenBucket] = {}
        self.passed: Callable[[ClientAttempt, float], None] = lambda one, below: None  # told of broken ones

    def store(self, customer: int) -> TokenBucket:
        found = self.stores.get(customer)
        if found is None:
            name = self.day.figures.plans[self.day.traffic.customers[customer].plan].name
            found = self.stores[customer] = TokenBucket(self.plans[name].rate, self.plans[name].burst)
        return found

    def arrived(self, one: ClientAttempt, now: float) -> None:
        """An attempt is whole at a till server: the first one takes the try's units.

        A plan's ceiling is a second store, which the guess is taken from, inside the quota or not.
        """
        if one.inside is not None:
            return
        one.inside = self.store(one.ask.customer).take(now, one.ask.guess)
        name = self.day.figures.plans[self.day.traffic.customers[one.ask.customer].plan].name
        plan = self.plans[name]
        if plan.ceiling_rate:
            held = self.ceilings.get(one.ask.customer)
            if held is None:
                held = self.ceilings[one.ask.customer] = TokenBucket(plan.ceiling_rate, plan.ceiling_burst)
            held.fill(now)
            held.level -= one.ask.guess
            slack = max(CEILING_SLACK * plan.ceiling_burst, self.day.figures["most_units"])
            if held.level < -slack:
                self.passed(one, -held.level)

    def settled(self, one: ClientAttempt, now: float) -> None:
        """Its first good answer told the true units."""
        if one.inside and one.answer is None:
            self.store(one.ask.customer).settle(now, one.ask.units - one.ask.guess)
