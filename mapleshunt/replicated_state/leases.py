"""The lease holder: decides how many units to lease for which customer, and returns them. No I/O, no clock.

`request_units`, `apply_result` and `tick` take the time `now` (ms, of a monotonic clock) and return actions.
A lease may be used here for its term from when it was proposed, less the drift of clocks; by the log's time
it lasts longer. It is returned `RETURN_MARGIN_TERMS` earlier, with its unused units: together with the next
lease request, or alone if there is none.

Each operation costs all replicas a write, so a lease is for as long as its units are likely to last, from
`term_ms` to `max_term_ms`: the lower the demand, the longer.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from . import commands
from .results import DenialReason, Denied, LeaseGranted, Result

MAX_CLOCK_DRIFT = 0.01  # part of a term by which the rates of two clocks may differ
RETURN_MARGIN_TERMS = 0.25  # times `term_ms` before its end, when a lease is returned
SPENT_FRACTION = 0.01  # part of a lease's units below which it counts as used up
PREFETCH_TERMS = 1.5  # times `term_ms` of demand to lease: more would idle here while others reject
PREFETCH_THRESHOLD = 0.25  # part of the units to lease, below which a request is made
IDLE_TERMS = 2.0  # times `max_term_ms` without requests, after which a customer is removed
EMPTY_BACKOFF_TERMS = 0.02  # times `term_ms` until the next lease request after an unsuccessful one


@dataclass(slots=True, frozen=True)
class ProposeOperation:
    """Propose the operation; its result goes to `LeaseHolder.apply_result` with this action."""

    customer: str
    operation: commands.Operation
    proposed_at: float  # ms


@dataclass(slots=True, frozen=True)
class LeaseUpdate:
    """Let the decisions use `units` of the customer until `usable_until`.

    Lease 0 has no units: while it is in force, only the units of other leases may be used. Each answer renews
    it, so that the customer's fallback bucket does not apply as long as answers arrive.
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
    return_at: float


@dataclass(slots=True)
class CustomerDemand:
    """The demand and the leases of one customer. Times in ms."""

    rate: float  # units per second
    burst: float
    max_outstanding: float  # units of the burst that one holder may lease ahead at once
    units_per_ms: float = 0.0  # smoothed demand
    smoothed_at: float = 0.0
    last_request_at: float = 0.0
    is_proposing: bool = False
    retry_at: float = -math.inf
    bucket_level: float = math.inf  # when the bucket last had too few units
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
        """Start without leases; the callables query the decisions.

        Args:
            term_ms: the shortest term of a lease.
            max_term_ms: the longest.
            remaining: unspent units of a customer's lease.
            take_remaining: the same, and the decisions may no longer use that lease.
            usable: unspent units of a customer's leases that are in force at that time.
            take_debt: units that a customer spent without a lease since the last call.
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
        """Lease for a request that needs units; `gateway_set_size` gateways share the customer's quota."""
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
        """Lease for a request that has waited for a lease and still finds too few units."""
        demand = self.customers.get(customer)
        return self._acquire(now, customer, demand, units) if demand is not None else []

    def is_waiting(self, now: float, customer: str, units: float) -> bool:
        """Return whether a pending lease request decides if `units` may be used."""
        demand = self.customers.get(customer)
        return demand is not None and demand.is_proposing and self._usable(customer, now) < units

    def _acquire(self, now: float, customer: str, demand: CustomerDemand, min_units: float) -> list[Action]:
        """Request the likely demand of `PREFETCH_TERMS`, if too little of it is left."""
        max_level = demand.bucket_level + demand.rate / 1000 * (now - demand.bucket_level_at)
        if demand.is_proposing or now < demand.retry_at or max_level < min_units:
            return []
        likely = demand.units_per_ms * PREFETCH_TERMS * self._term_ms
        units = max(min_units, min(demand.max_outstanding, likely))
        # Leases that end soon do not count.
        usable = self._usable(customer, now + RETURN_MARGIN_TERMS * self._term_ms)
        if usable >= max(min_units, PREFETCH_THRESHOLD * units):
            return []
        demand.is_proposing = True
        # Leases that are too small are returned: outstanding units, spent or not, limit the bucket's refill.
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
        """Return the term of a lease, ms: twice as long as the units should last, since demand may fall."""
        lifetime_ms = 2 * units / demand.units_per_ms if demand.units_per_ms > 0 else self._max_term_ms
        return max(self._term_ms, min(self._max_term_ms, lifetime_ms))

    def _end(self, customer: str, demand: CustomerDemand, lease_id: int, return_by: float) -> None:
        """End a lease here; it is returned with the next lease request, or alone at `return_by`."""
        lease = demand.leases.pop(lease_id)
        # Below 0 where actual costs exceeded the estimate: the excess comes off the bucket too.
        used_units = lease.units - min(lease.units, self._take_remaining(customer, lease_id))
        demand.to_return.append((lease_id, used_units))
        demand.return_by = min(demand.return_by, return_by)

    def apply_result(self, now: float, proposal: ProposeOperation, result: Result | None) -> list[Action]:
        """Process a proposal's result; None if unknown: a lease that was granted nevertheless expires."""
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
        if result.reason == DenialReason.STORE:  # the rest may suffice for a smaller request, and refills
            demand.bucket_level = result.value
            demand.bucket_level_at = now
        return [self._keepalive_update(now, proposal.customer)]

    def _granted(
        self, now: float, customer: str, demand: CustomerDemand, lease: LeaseGranted, usable_until: float
    ) -> list[Action]:
        return_at = usable_until - RETURN_MARGIN_TERMS * self._term_ms
        demand.leases[lease.lease_id] = HeldLease(lease.units, usable_until, return_at)
        actions: list[Action] = [
            LeaseUpdate(customer, lease.lease_id, lease.units, return_at),
            self._keepalive_update(now, customer),
        ]
        debt = self._take_debt(customer)
        if debt > 0:
            actions.append(ProposeOperation(customer, commands.SettleUsage(customer, debt), now))
        return actions

    def _keepalive_update(self, now: float, customer: str) -> LeaseUpdate:
        return LeaseUpdate(customer, 0, 0.0, now + self._term_ms)

    def tick(self, now: float) -> list[Action]:
        """Return leases that are near their end, with a new request or alone. Call it often in a term."""
        actions: list[Action] = []
        for customer, demand in list(self.customers.items()):
            self._end_due_leases(now, customer, demand)
            if demand.to_return and now - demand.last_request_at < self._term_ms:
                actions += self._acquire(now, customer, demand, 1.0)  # its request includes the returns
            if now >= demand.return_by:
                actions += [
                    ProposeOperation(customer, commands.ReturnLease(customer, *returned), now)
                    for returned in demand.to_return
                ]
                demand.to_return = []
                demand.return_by = math.inf
            is_idle = not demand.leases and not demand.is_proposing and not demand.to_return
            if is_idle and now - demand.last_request_at > IDLE_TERMS * self._max_term_ms:
                del self.customers[customer]
        return actions

    def _end_due_leases(self, now: float, customer: str, demand: CustomerDemand) -> None:
        for lease_id, lease in list(demand.leases.items()):
            if now >= lease.return_at:
                return_by = lease.usable_until - RETURN_MARGIN_TERMS * self._term_ms / 2
                self._end(customer, demand, lease_id, return_by)
            elif self._remaining(customer, lease_id) < SPENT_FRACTION * lease.units:
                self._end(customer, demand, lease_id, now + self._term_ms / 2)
