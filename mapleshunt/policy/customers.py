"""The state of customers and of their pending requests, and the eviction of idle customers."""

from __future__ import annotations

import math
import random
from collections import deque
from dataclasses import dataclass, field

from .endpoints import Endpoint
from .events import NEVER_RAN, AttemptStatus, RequestReceived
from .exponential_decay import ExponentialDecay
from .gossip_codec import tag_of
from .latency import LatencyEstimates
from .leases import QuotaLeases
from .owner_selection import ceiling_bucket, choose_owners, member_ceiling_bucket, primary_owner_count
from .settings import Plan, RequestClass, Settings
from .token_bucket import TokenBucket

# Time constant of the recent use of a customer whose plan has no rate.
USE_SPAN_WITHOUT_RATE_MS = 1000.0
UNLIMITED_CUSTOMERS = 1 << 31
# Least ms between two sweeps for customers whose quota is unused, while the table is full.
FULL_SWEEP_INTERVAL_MS = 50.0
# Idle customers are evicted above twice the number of customers after the last sweep plus this.
MIN_CUSTOMERS_TO_SWEEP = 64


@dataclass(slots=True, eq=False)
class Customer:
    """A customer's quota, queue and scheduling state.

    Attributes:
        tag: Tag of its name.
        plan: Its plan.
        plan_code: Number of the plan in gossip.
        bucket: Its quota: exact at its owner, an upper bound at other gateways.
        fallback_bucket: Even part of the quota, used when no owner replies.
        ceiling_bucket: This gateway's part of the hard ceiling.
        recent_use: Units used recently: at an owner all that it knows of, elsewhere as the owner reported.
        leases: Units leased for it.
        quota_owners: Owners in asking order: primary, primary again, backup; empty until its first request.
        gateway_set_size: Number of gateways that its requests are spread over.
        owner_replied_at: When the primary owner last reported the bucket's level.
        demand_ratio: Demand over the rate, if its owner last reported less than a largest request, else 0.
        open_requests: Number of its open requests.
        cost_estimate: Smoothed cost of a request, ms (k in the design note).
        excess: Service received beyond its turns (s in the design note).
        active: Whether it is in the scheduler's rounds.
        queue: Its requests that wait for a slot.
    """

    tag: int
    plan: Plan
    plan_code: int
    bucket: TokenBucket
    fallback_bucket: TokenBucket
    ceiling_bucket: TokenBucket
    recent_use: ExponentialDecay
    leases: QuotaLeases
    cost_estimate: float
    quota_owners: tuple[int, ...] = ()
    gateway_set_size: int = 1
    owner_replied_at: float = -math.inf
    demand_ratio: float = 0.0
    open_requests: int = 0
    excess: float = 0.0
    active: bool = False
    queue: deque[PendingRequest] = field(default_factory=deque)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is open or leased and its bucket is untouched for twice its refill time."""
        rate = self.bucket.rate
        refill_time = 2 * self.bucket.burst / rate if rate else 0.0
        return not self.open_requests and not self.leases and now - self.bucket.updated_at > refill_time

    def is_unused(self, now: float) -> bool:
        """Return whether nothing is open or leased and its buckets hold no less than a new customer's."""
        if self.open_requests or self.leases:
            return False
        if self.plan.ceiling_rate and self.ceiling_bucket.refill(now) < 0.0:  # it starts empty
            return False
        return all(bucket.refill(now) >= bucket.burst for bucket in (self.bucket, self.fallback_bucket))


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of a request; `status` is None while it is in flight."""

    endpoint: Endpoint
    sent_at: float
    status: AttemptStatus | None = None


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that has no final answer yet.

    Attributes:
        request_id: The host's number for it.
        request_class: Its class.
        customer: Its customer.
        units: Its expected cost.
        objective_at: Time until which an answer earns its full value.
        deadline: Latest time for its final answer.
        send_by: Time at which it is rejected if it is still unsent.
        attempts: Its attempts, by number.
        owners_asked: Number of its customer's quota owners that were asked or skipped.
        owner_asked_at: When the last of them was asked.
        admitted: Whether its units are charged; it then waits for a slot or was sent.
        retry_pending: Whether a retry of it waits for a slot.
        hedged: Whether a second attempt was queued beside one in flight.
        response_started: Whether its response has started to stream.
    """

    request_id: int
    request_class: RequestClass
    customer: Customer
    units: float
    objective_at: float
    deadline: float
    send_by: float = 0.0
    attempts: list[Attempt] = field(default_factory=list)
    owners_asked: int = 0
    owner_asked_at: float = 0.0
    admitted: bool = False
    retry_pending: bool = False
    hedged: bool = False
    response_started: bool = False

    def may_have_run(self) -> list[Attempt]:
        """Return the attempts that may have run or may still run."""
        return [attempt for attempt in self.attempts if attempt.status not in NEVER_RAN]

    def has_attempt_in_flight(self) -> bool:
        """Return whether any attempt is still in flight."""
        return any(attempt.status is None for attempt in self.attempts)

    def idempotency_window_end(self) -> float:
        """Return until when a repeat may arrive, counted from the first attempt that may have run."""
        may_have_run = self.may_have_run() if self.request_class.effect == "keyed" else ()
        if not may_have_run:
            return math.inf
        return may_have_run[0].sent_at + self.request_class.idempotency_window


# Probability, without gossip, that a new customer's fallback bucket starts full: more exceeds the quota.
ADMIT_ALONE_CHANCE = 0.75


class CustomerTable:
    """Customers by tag. Idle ones with a full bucket are evicted, so that no eviction refills a bucket.

    A full table takes no new customer: to forget one whose quota is in use would be a way round it.

    Attributes:
        by_tag: The customers.
        max_customers: How many there may be.
        plan_names: Sorted names of the plans; a plan's number in gossip is its index here.
    """

    __slots__ = (
        "_full_swept_at",
        "_latency",
        "_random",
        "_settings",
        "_size_after_sweep",
        "by_tag",
        "max_customers",
        "plan_names",
    )

    def __init__(self, settings: Settings, latency: LatencyEstimates, rng: random.Random) -> None:
        self._settings, self._latency, self._random = settings, latency, rng
        self.by_tag: dict[int, Customer] = {}
        self.plan_names = sorted(settings.plans)
        self._size_after_sweep = 0  # number of customers after the last sweep
        self._full_swept_at = -math.inf
        self.max_customers = UNLIMITED_CUSTOMERS

    def customer_of(self, event: RequestReceived, now: float) -> Customer | None:
        """Return a request's customer, None if it is new and the table is full.

        At its first request the owners of its quota are chosen.
        """
        plan_code = self.plan_names.index(event.plan)
        customer = self.get_or_add(tag_of(event.customer), plan_code, now)
        if customer is None:
            return None
        if not customer.quota_owners:
            size = min(max(event.gateway_set_size, 1), self._settings.gateway_count)
            self._assign_owners(customer, size, event.gateway_set_offset, now)
        return customer

    def _assign_owners(self, customer: Customer, size: int, offset: int, now: float) -> None:
        settings, plan = self._settings, customer.plan
        customer.gateway_set_size = size
        customer.quota_owners = choose_owners(customer.tag, plan, size, offset, settings)
        even_part = plan.burst / size
        burst = max(even_part, settings.max_request_units)  # a part covers at least one request
        level_without_gossip = (not settings.gossip_enabled) * ADMIT_ALONE_CHANCE * burst
        is_full = self._random.random() * burst < max(even_part, level_without_gossip)
        rate = customer.bucket.rate * primary_owner_count(plan, settings) / size
        customer.fallback_bucket = TokenBucket(rate, burst, burst * is_full, now)
        if customer.quota_owners[0] != settings.gateway_index:
            customer.ceiling_bucket = member_ceiling_bucket(customer.ceiling_bucket, size)

    def get_or_add(self, tag: int, plan_code: int, now: float) -> Customer | None:
        """Return a customer; an unknown one is added, unless the table is full."""
        customer = self.by_tag.get(tag)
        if customer is None:
            self._evict_idle(now)
            if len(self.by_tag) >= self.max_customers and not self._evict_unused(now):
                return None
            customer = self.by_tag[tag] = self._create(tag, plan_code, now)
        return customer

    def _create(self, tag: int, plan_code: int, now: float) -> Customer:
        """Return a new customer, whose bucket is one primary owner's part of its quota."""
        plan = self._settings.plans[self.plan_names[plan_code]]
        owners = primary_owner_count(plan, self._settings)
        rate, burst = plan.rate / 1000 / owners, plan.burst / owners
        time_constant = 1000 * plan.burst / plan.rate if plan.rate else USE_SPAN_WITHOUT_RATE_MS
        bucket = TokenBucket(rate, burst, burst, now)
        return Customer(
            tag=tag,
            plan=plan,
            plan_code=plan_code,
            bucket=bucket,
            fallback_bucket=TokenBucket(rate, burst, burst, now),
            ceiling_bucket=ceiling_bucket(plan, now),
            recent_use=ExponentialDecay(time_constant, 0.0, now),
            leases=QuotaLeases(bucket),
            cost_estimate=self._latency.mean,
        )

    def _evict_idle(self, now: float) -> None:
        if len(self.by_tag) > 2 * self._size_after_sweep + MIN_CUSTOMERS_TO_SWEEP:
            for tag, customer in list(self.by_tag.items()):
                if customer.is_idle(now):
                    del self.by_tag[tag]
            self._size_after_sweep = len(self.by_tag)

    def _evict_unused(self, now: float) -> bool:
        """Make room in a full table, at most every `FULL_SWEEP_INTERVAL_MS`; return whether there is some."""
        if now - self._full_swept_at < FULL_SWEEP_INTERVAL_MS:
            return False
        self._full_swept_at = now
        for tag, customer in list(self.by_tag.items()):
            if customer.is_unused(now):
                del self.by_tag[tag]
        return len(self.by_tag) < self.max_customers
