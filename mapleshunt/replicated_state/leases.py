"""A holder's side of leases: how many units are drawn for whom and when they go back. No I/O, no clock.

`demand`, `answered` and `tick` take what happened at `now` (ms, a clock that never goes back) and return what
to do. A lease may be spent here until its term after it was asked for, less what clocks may drift apart; the
log's time counts it for longer. It goes back a part of its term before that, with what was not spent: along
with the next one that is asked for, or by itself if none is.

Each operation costs all copies a write, so a lease is for as long as its units are likely to last, `term` to
`longest`: the less is asked for, the longer.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from . import commands as w
from .results import Denied, LeaseGranted, Result

MAX_CLOCK_DRIFT = 0.01  # part of a term by which two clocks may differ in their rates
RETURN_MARGIN_TERMS = 0.25  # part of a term before its end at which a lease goes back
SPENT_FRACTION = 0.01  # part of a lease that is as good as none
PREFETCH_TERMS = 1.5  # terms for whose demand is drawn: more lies idle here while other gateways refuse
PREFETCH_THRESHOLD = 0.25  # part of what is drawn at a time, below which more is
IDLE_TERMS = 2.0  # longest terms without demand after which a customer is forgotten
EMPTY_BACKOFF_TERMS = 0.02  # part of a term for which a store that had nothing is not asked again, at least


@dataclass(slots=True, frozen=True)
class ProposeOperation:
    """Propose the operation; what comes of it goes to `answered` with `asked`."""

    customer: str
    operation: w.Operation
    proposed_at: float


@dataclass(slots=True, frozen=True)
class LeaseUpdate:
    """To the decisions: so many units of that customer may be used here until then. Lease 0 has none: while
    it is in force only what other leases hold may be used. It holds for a term from each answer on: as long
    as answers come, nothing else does.
    """

    customer: str
    lease_id: int
    units: float
    usable_until: float


Action = ProposeOperation | LeaseUpdate


@dataclass(slots=True)
class CustomerDemand:
    rate: float  # units a second
    burst: float
    part: float  # of the burst that one holder may have out at once
    demand: float = 0.0  # units a ms of late
    at: float = 0.0
    last: float = 0.0  # when something was last wanted
    asking: bool = False
    pause: float = -math.inf  # not asked again before
    told: float = math.inf  # what the store had when it last had too little
    told_at: float = 0.0
    # Units, end here and when it goes back, by number.
    leases: dict[int, tuple[float, float, float]] = field(default_factory=dict)
    back: list[tuple[int, float]] = field(default_factory=list)  # ended here: to be told with what was used
    back_by: float = math.inf


class LeaseHolder:
    """`rest(customer, lease)` is what of a lease is not spent; `left` tells that and takes the lease away
    from the decisions; `level(customer, at)` is what they may still spend of leases in force at that time;
    `owed(customer)` what they spent without a lease since it was last asked.
    """

    def __init__(
        self, term: float, longest: float, rest: Callable[[str, int], float],
        left: Callable[[str, int], float], level: Callable[[str, float], float], owed: Callable[[str], float],
    ) -> None:  # fmt: skip
        self.term, self.longest = term, longest
        self.rest, self.left, self.level, self.owed = rest, left, level, owed
        self.customers: dict[str, CustomerDemand] = {}

    def request_units(
        self, now: float, customer: str, rate: float, burst: float, spread: int, units: float
    ) -> list[Action]:
        """A request of that customer wants units; `spread` gateways share what it may use."""
        if not rate:
            return []
        part = burst / max(1, spread)
        one = self.customers.setdefault(customer, CustomerDemand(rate, burst, part, at=now))
        one.rate, one.burst, one.part, one.last = rate, burst, part, now
        one.demand = one.demand * math.exp((one.at - now) / self.longest) + units / self.longest
        one.at = now
        return self._draw(now, customer, one, units)

    def request_more(self, now: float, customer: str, units: float) -> list[Action]:
        """A request that has waited finds too little: it may ask on."""
        one = self.customers.get(customer)
        return self._draw(now, customer, one, units) if one is not None else []

    def is_waiting(self, now: float, customer: str, units: float) -> bool:
        """Is the answer on its way that says whether so many units may be used?"""
        one = self.customers.get(customer)
        return one is not None and one.asking and self.level(customer, now) < units

    def _draw(self, now: float, customer: str, one: CustomerDemand, least: float) -> list[Action]:
        """Ask for what is likely to be wanted in the time `AHEAD_FOR`, where little of that is left."""
        there = one.told + one.rate / 1000 * (now - one.told_at)  # of the store, at most
        if one.asking or now < one.pause or there < least:
            return []
        want = max(least, min(one.part, one.demand * PREFETCH_TERMS * self.term))
        lasts = 2 * want / one.demand if one.demand > 0 else self.longest  # twice: it may come slower
        term = max(self.term, min(self.longest, lasts))
        level = self.level(
            customer, now + RETURN_MARGIN_TERMS * self.term
        )  # what ends soon is as good as gone
        if level >= max(least, PREFETCH_THRESHOLD * want):
            return []
        one.asking = True
        # What is too little goes back: a store earns nothing behind units that are out, spent or not.
        for number in [number for number in one.leases if self.rest(customer, number) < least]:
            self._end(customer, one, number, math.inf)
        ask = w.AcquireLease(customer, one.rate, one.burst, want, min(least, want), term, tuple(one.back))
        one.back, one.back_by = [], math.inf
        return [ProposeOperation(customer, ask, now)]

    def _end(self, customer: str, one: CustomerDemand, number: int, back_by: float) -> None:
        """A lease is over here; it goes back with what is asked for next, or alone by then."""
        units, _, _ = one.leases.pop(number)
        # Below 0 where true costs were above what was guessed: that comes off the store too.
        one.back.append((number, units - min(units, self.left(customer, number))))
        one.back_by = min(one.back_by, back_by)

    def apply_result(self, now: float, ask: ProposeOperation, result: Result | None) -> list[Action]:
        """`None`: nobody could tell in time; it may have been done, and runs out by itself."""
        one = self.customers.get(ask.customer)
        if not isinstance(ask.operation, w.AcquireLease) or one is None:
            return []
        one.asking = False
        match result:
            case LeaseGranted(number, units):
                term = ask.operation.term_ms
                until = ask.proposed_at + term * (1 - MAX_CLOCK_DRIFT)
                one.leases[number] = (units, until, until - RETURN_MARGIN_TERMS * self.term)
                use: list[Action] = [
                    LeaseUpdate(ask.customer, number, units, until - RETURN_MARGIN_TERMS * self.term),
                    LeaseUpdate(ask.customer, 0, 0.0, now + self.term),
                ]
                if (owed := self.owed(ask.customer)) > 0:
                    use.append(ProposeOperation(ask.customer, w.SettleUsage(ask.customer, owed), now))
                return use
            case Denied(why, level):
                one.pause = now + EMPTY_BACKOFF_TERMS * self.term
                if why == "store":  # what is left may do for a smaller request, and fills up
                    one.told, one.told_at = level, now
                return [LeaseUpdate(ask.customer, 0, 0.0, now + self.term)]
        one.pause = now + EMPTY_BACKOFF_TERMS * self.term
        return []

    def tick(self, now: float) -> list[Action]:
        """Give back what is near its end, with what is drawn anew or by itself. Call often in a term."""
        actions: list[Action] = []
        for customer, one in list(self.customers.items()):
            for number, (units, until, goes_back) in list(one.leases.items()):
                if now >= goes_back:
                    self._end(customer, one, number, until - RETURN_MARGIN_TERMS * self.term / 2)
                elif self.rest(customer, number) < SPENT_FRACTION * units:
                    self._end(customer, one, number, now + self.term / 2)
            if one.back and now - one.last < self.term:  # it goes on: what comes next takes this along
                actions += self._draw(now, customer, one, 1.0)
            if now >= one.back_by:
                actions += [
                    ProposeOperation(customer, w.ReturnLease(customer, *back), now) for back in one.back
                ]
                one.back, one.back_by = [], math.inf
            done = not one.leases and not one.asking and not one.back
            if done and now - one.last > IDLE_TERMS * self.longest:
                del self.customers[customer]
        return actions
