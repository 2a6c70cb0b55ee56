"""The lease holder: decides how many units to lease for whom, and when leases go back. No I/O, no clock.

`request_units`, `apply_result` and `tick` take what happened at `now` (ms, a clock that never goes back) and
return actions. A lease may be spent here until its term after it was asked for, less the drift of clocks; the
log's time counts it for longer. It goes back a part of its term before that, with what was not spent: along
with the next lease that is asked for, or by itself if none is.

Each operation costs all replicas a write, so a lease is for as long as its units are likely to last, from
`term_ms` to `max_term_ms`: the less is asked for, the longer.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from . import commands
from .results import DenialReason, Denied, LeaseGranted, Result

MAX_CLOCK_DRIFT = 0.01  # part of a term by which two clocks may differ in their rates
RETURN_MARGIN_TERMS = 0.25  # terms before its end at which a lease goes back
SPENT_FRACTION = 0.01  # part of a lease that is as good as nothing
PREFETCH_TERMS = 1.5  # terms for whose demand is leased: more would idle here while others refuse
PREFETCH_THRESHOLD = 0.25  # part of what is leased at a time, below which more is
IDLE_TERMS = 2.0  # longest terms without demand after which a customer is forgotten
EMPTY_BACKOFF_TERMS = 0.02  # terms for which a bucket that had nothing is not asked again, at least


@dataclass(slots=True, frozen=True)
class ProposeOperation:
    """Propose the operation; its result goes to `LeaseHolder.apply_result` with this action."""

    customer: str
    operation: commands.Operation
    proposed_at: float  # ms


@dataclass(slots=True, frozen=True)
class LeaseUpdate:
    """Tell the decisions that so many units of the customer may be used until then.

    Lease 0 has no units: while it is in force, only what other leases hold may be used. It is renewed by each
    answer, so that nothing else applies as long as answers come.
    """

    customer: str
    lease_id: int
    units: float
    usable_until: float  # ms


Action = ProposeOperation | LeaseUpdate


@dataclass(slots=True)
class HeldLease:
    """A lease as its holder sees it. Times in ms."""

    units: float
    usable_until: float
    returned_at: float


@dataclass(slots=True)
class CustomerDemand:
    """What is known of a customer that is leased for. Times in ms."""

    rate: float  # units a second
    burst: float
    max_outstanding: float  # part of the burst that one holder may have leased at once
    units_per_ms: float = 0.0  # smoothed demand
    smoothed_at: float = 0.0
    last_request_at: float = 0.0
    is_proposing: bool = False
    retry_at: float = -math.inf
    bucket_level: float = math.inf  # when the bucket last had too little
    bucket_level_at: float = 0.0
    leases: dict[int, HeldLease] = field(default_factory=dict)
    to_return: list[tuple[int, float]] = field(default_factory=list)  # ended here: lease id and used units
    return_by: float = math.inf


class LeaseHolder:
    """Leases units ahead of demand for a gateway's decisions."""

    def __init__(
        self,
        term_ms: float,
        max_term_ms: float,
        remaining: Callable[[str, int], float],
        take_remaining: Callable[[str, int], float],
        usable: Callable[[str, float], float],
        take_debt: Callable[[str], float],
    ) -> None:
        """Start without leases; the callables ask the decisions.

        Args:
            term_ms: the shortest term of a lease.
            max_term_ms: the longest.
            remaining: units of a customer's lease that are not spent.
            take_remaining: the same, and the decisions may not use that lease any more.
            usable: units of a customer that may still be spent of leases in force at that time.
            take_debt: units that a customer spent without a lease since this was last asked.
        """
        self._term_ms = term_ms
        self._max_term_ms = max_term_ms
        self._remaining = remaining
        self._take_remaining = take_remaining
        self._usable = usable
        self._take_debt = take_debt
        self.customers: dict[str, CustomerDemand] = {}

    def request_units(
        self, now: float, customer: str, rate: float, burst: float, gateway_set_size: int, units: float
    ) -> list[Action]:
        """A request of that customer needs units; `gateway_set_size` gateways share its quota."""
        if not rate:
            return []
        max_outstanding = burst / max(1, gateway_set_size)
        demand = self.customers.setdefault(
            customer, CustomerDemand(rate, burst, max_outstanding, smoothed_at=now)
        )
        demand.rate = rate
        demand.burst = burst
        demand.max_outstanding = max_outstanding
        demand.last_request_at = now
        decay = math.exp((demand.smoothed_at - now) / self._max_term_ms)
        demand.units_per_ms = demand.units_per_ms * decay + units / self._max_term_ms
        demand.smoothed_at = now
        return self._acquire(now, customer, demand, units)

    def request_more(self, now: float, customer: str, units: float) -> list[Action]:
        """A request that has waited for a lease still finds too few units."""
        demand = self.customers.get(customer)
        return self._acquire(now, customer, demand, units) if demand is not None else []

    def is_waiting(self, now: float, customer: str, units: float) -> bool:
        """Whether the answer is outstanding that decides if so many units may be used."""
        demand = self.customers.get(customer)
        return demand is not None and demand.is_proposing and self._usable(customer, now) < units

    def _acquire(self, now: float, customer: str, demand: CustomerDemand, min_units: float) -> list[Action]:
        """Ask for the likely demand of `PREFETCH_TERMS`, where little of that is left."""
        max_level = demand.bucket_level + demand.rate / 1000 * (now - demand.bucket_level_at)
        if demand.is_proposing or now < demand.retry_at or max_level < min_units:
            return []
        likely = demand.units_per_ms * PREFETCH_TERMS * self._term_ms
        units = max(min_units, min(demand.max_outstanding, likely))
        # What ends soon is as good as gone.
        usable = self._usable(customer, now + RETURN_MARGIN_TERMS * self._term_ms)
        if usable >= max(min_units, PREFETCH_THRESHOLD * units):
            return []
        demand.is_proposing = True
        # What is too little goes back: a bucket earns nothing while its units are out, spent or not.
        too_small = [
            lease_id for lease_id in demand.leases if self._remaining(customer, lease_id) < min_units
        ]
        for lease_id in too_small:
            self._end(customer, demand, lease_id, math.inf)
        request = commands.AcquireLease(
            customer,
            demand.rate,
            demand.burst,
            units,
            min(min_units, units),
            self._term_of(demand, units),
            tuple(demand.to_return),
        )
        demand.to_return = []
        demand.return_by = math.inf
        return [ProposeOperation(customer, request, now)]

    def _term_of(self, demand: CustomerDemand, units: float) -> float:
        """For twice as long as the units should last, since demand may fall; ms."""
        lasts = 2 * units / demand.units_per_ms if demand.units_per_ms > 0 else self._max_term_ms
        return max(self._term_ms, min(self._max_term_ms, lasts))

    def _end(self, customer: str, demand: CustomerDemand, lease_id: int, return_by: float) -> None:
        """End a lease here; it goes back with the next request, or alone at `return_by`."""
        lease = demand.leases.pop(lease_id)
        # Below 0 where true costs were above the estimate: that comes off the bucket too.
        used_units = lease.units - min(lease.units, self._take_remaining(customer, lease_id))
        demand.to_return.append((lease_id, used_units))
        demand.return_by = min(demand.return_by, return_by)

    def apply_result(self, now: float, proposal: ProposeOperation, result: Result | None) -> list[Action]:
        """The result of a proposal. `None`: unknown; it may have been applied, and then it expires."""
        demand = self.customers.get(proposal.customer)
        if not isinstance(proposal.operation, commands.AcquireLease) or demand is None:
            return []
        demand.is_proposing = False
        if isinstance(result, LeaseGranted):
            usable_until = proposal.proposed_at + proposal.operation.term_ms * (1 - MAX_CLOCK_DRIFT)
            return self._granted(now, proposal.customer, demand, result, usable_until)
        demand.retry_at = now + EMPTY_BACKOFF_TERMS * self._term_ms
        if not isinstance(result, Denied):
            return []
        if result.reason == DenialReason.STORE:  # what is left may do for a smaller request, and fills up
            demand.bucket_level = result.value
            demand.bucket_level_at = now
        return [self._answered(now, proposal.customer)]

    def _granted(
        self, now: float, customer: str, demand: CustomerDemand, lease: LeaseGranted, usable_until: float
    ) -> list[Action]:
        returned_at = usable_until - RETURN_MARGIN_TERMS * self._term_ms
        demand.leases[lease.lease_id] = HeldLease(lease.units, usable_until, returned_at)
        actions: list[Action] = [
            LeaseUpdate(customer, lease.lease_id, lease.units, returned_at),
            self._answered(now, customer),
        ]
        debt = self._take_debt(customer)
        if debt > 0:
            actions.append(ProposeOperation(customer, commands.SettleUsage(customer, debt), now))
        return actions

    def _answered(self, now: float, customer: str) -> LeaseUpdate:
        return LeaseUpdate(customer, 0, 0.0, now + self._term_ms)

    def tick(self, now: float) -> list[Action]:
        """Return leases that are near their end, with a new request or alone. Call often in a term."""
        actions: list[Action] = []
        for customer, demand in list(self.customers.items()):
            self._end_due_leases(now, customer, demand)
            if demand.to_return and now - demand.last_request_at < self._term_ms:
                actions += self._acquire(now, customer, demand, 1.0)  # it takes the returns along
            if now >= demand.return_by:
                actions += [
                    ProposeOperation(customer, commands.ReturnLease(customer, *returned), now)
                    for returned in demand.to_return
                ]
                demand.to_return = []
                demand.return_by = math.inf
            is_done = not demand.leases and not demand.is_proposing and not demand.to_return
            if is_done and now - demand.last_request_at > IDLE_TERMS * self._max_term_ms:
                del self.customers[customer]
        return actions

    def _end_due_leases(self, now: float, customer: str, demand: CustomerDemand) -> None:
        for lease_id, lease in list(demand.leases.items()):
            if now >= lease.returned_at:
                return_by = lease.usable_until - RETURN_MARGIN_TERMS * self._term_ms / 2
                self._end(customer, demand, lease_id, return_by)
            elif self._remaining(customer, lease_id) < SPENT_FRACTION * lease.units:
                self._end(customer, demand, lease_id, now + self._term_ms / 2)
