"""A holder's side of leases: how many units are drawn for whom and when they go back. No I/O, no clock.

`demand`, `answered` and `tick` take what happened at `now` (ms, a clock that never goes back) and return what
to do. A lease may be spent here until `term` after it was asked for, less what clocks may drift apart; the
log's time counts it for longer. It goes back a part of its term before that, with what was not spent.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from . import words as w

DRIFT = 0.01  # part of a term by which two clocks may differ in their rates
BACK = 0.25  # part of a term before its end at which a lease goes back
AHEAD = 0.5  # part of a term's demand, below which more is drawn
IDLE = 2.0  # terms without demand after which a customer is forgotten
NONE_LEFT = 0.1  # part of a term for which a store that had nothing is not asked again, at least


@dataclass(slots=True, frozen=True)
class Ask:
    """Propose the operation; what comes of it goes to `answered` with `asked`."""

    customer: str
    operation: w.Operation
    asked: float


@dataclass(slots=True, frozen=True)
class Use:
    """To the decisions: so many units of that customer may be used here until then. Lease 0 has none: while
    it is in force only what other leases hold may be used. It holds for a term from each answer on: as long
    as answers come, nothing else does.
    """

    customer: str
    lease: int
    units: float
    until: float


Action = Ask | Use


@dataclass(slots=True)
class Customer:
    rate: float  # units a second
    burst: float
    part: float  # of the burst that one holder may have out at once
    demand: float = 0.0  # units a ms of late
    at: float = 0.0
    last: float = 0.0  # when something was last wanted
    asking: bool = False
    pause: float = -math.inf  # not asked again before
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)  # units and end here, by number


class Leaser:
    """`left(customer, lease)` takes a lease away from the decisions and tells what of it was not spent;
    `level(customer, at)` is what they may still spend of leases in force at that time; `owed(customer)` what
    they spent without a lease since it was last asked.
    """

    def __init__(
        self, term: float, largest: float, left: Callable[[str, int], float],
        level: Callable[[str, float], float], owed: Callable[[str], float],
    ) -> None:  # fmt: skip
        self.term, self.largest = term, largest
        self.left, self.level, self.owed = left, level, owed
        self.customers: dict[str, Customer] = {}

    def demand(
        self, now: float, customer: str, rate: float, burst: float, spread: int, units: float
    ) -> list[Action]:
        """A request of that customer wants units; `spread` gateways share what it may use."""
        if not rate:
            return []
        part = max(self.largest, burst / max(1, min(spread, int(burst / max(self.largest, 1e-9)) or 1)))
        one = self.customers.setdefault(customer, Customer(rate, burst, part, at=now))
        one.rate, one.burst, one.part, one.last = rate, burst, min(burst, part), now
        one.demand = one.demand * math.exp((one.at - now) / self.term) + units / self.term
        one.at = now
        return self._draw(now, customer, one, units)

    def _draw(self, now: float, customer: str, one: Customer, least: float) -> list[Action]:
        """Ask for a term's demand where less than a part of that is left."""
        if one.asking or now < one.pause:
            return []
        want = min(one.part, max(self.largest, least, one.demand * self.term))
        level = self.level(customer, now + BACK * self.term)  # what ends soon is as good as gone
        if level >= min(one.part, max(least, AHEAD * want)):
            return []
        one.asking = True
        ask = w.Lease(customer, one.rate, one.burst, want, min(least, want), self.term)
        return [Ask(customer, ask, now)]

    def answered(self, now: float, ask: Ask, result: w.Result | None) -> list[Action]:
        """`None`: nobody could tell in time; it may have been done, and runs out by itself."""
        one = self.customers.get(ask.customer)
        if not isinstance(ask.operation, w.Lease) or one is None:
            return []
        one.asking = False
        match result:
            case w.Granted(number, units):
                until = ask.asked + self.term * (1 - DRIFT)
                one.leases[number] = (units, until)
                use: list[Action] = [
                    Use(ask.customer, number, units, until - BACK * self.term),
                    Use(ask.customer, 0, 0.0, now + self.term),
                ]
                if (owed := self.owed(ask.customer)) > 0:
                    use.append(Ask(ask.customer, w.Settle(ask.customer, owed), now))
                return use
            case w.Denied(why, level):
                short = max(0.0, ask.operation.least - level) / one.rate * 1000 if why == "store" else 0.0
                one.pause = now + min(self.term, max(NONE_LEFT * self.term, short))
                return [Use(ask.customer, 0, 0.0, now + self.term)]
        one.pause = now + NONE_LEFT * self.term
        return []

    def tick(self, now: float) -> list[Action]:
        """Give back what is near its end or idle, and draw anew for whoever goes on. Call often in a term."""
        actions: list[Action] = []
        for customer, one in list(self.customers.items()):
            for number, (units, until) in list(one.leases.items()):
                idle = now - one.last > self.term / 2
                if now >= until - BACK * self.term or idle:
                    del one.leases[number]
                    rest = max(0.0, min(units, self.left(customer, number)))
                    actions.append(Ask(customer, w.Return(customer, number, units - rest), now))
            if not one.leases and not one.asking and now - one.last > IDLE * self.term:
                del self.customers[customer]
        return actions
