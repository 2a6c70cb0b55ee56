"""What the gateway remembers of customers and of their requests, and for how long."""

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

# ms over which the use of a customer without a quota is summed.
USE_SPAN_WITHOUT_RATE_MS = 1000.0
# Idle customers are looked for once there are this many more than twice those that the last look left.
MIN_CUSTOMERS_TO_SWEEP = 64


@dataclass(slots=True, eq=False)
class Customer:
    """A customer's quota, queue and account.

    Attributes:
        tag: The tag of its name.
        plan: Its plan.
        plan_code: The plan's number in gossip.
        bucket: Its quota, exact at its owner, at most this elsewhere.
        fallback_bucket: Even share of the quota, for when no owner replies.
        ceiling_bucket: Part of the hard ceiling that is this gateway's to use.
        recent_use: Units used of late: all that an owner heard of, or what it reported.
        leases: Units that were leased for it.
        quota_owners: Whom to ask: its primary owner, that again, and the backup owner; empty until it is met.
        gateway_set_size: Gateways that its requests are spread over.
        owner_replied_at: When another gateway last reported the bucket's level.
        demand_ratio: Times its rate that its owner was asked for of late, when it reported the bucket empty.
        open_requests: Its requests that are open.
        cost_estimate: Smoothed cost of a request, ms (k in the design note).
        excess: What it was served beyond its turns (s in the design note).
        active: It is in the scheduler's rounds.
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
        """Return whether it has nothing open, and time has refilled its bucket for long."""
        rate = self.bucket.rate
        refill_time = 2 * self.bucket.burst / rate if rate else 0.0
        return not self.open_requests and not self.leases and now - self.bucket.updated_at > refill_time


@dataclass(slots=True, eq=False)
class Attempt:
    """An attempt of a request; `status` is None while it is in flight."""

    endpoint: Endpoint
    sent_at: float
    status: AttemptStatus | None = None


@dataclass(slots=True, eq=False)
class PendingRequest:
    """A request that is owed a final answer.

    Attributes:
        request_id: The host's number for it.
        request_class: Its class.
        customer: Its customer.
        units: What it is expected to cost.
        objective_at: Until when an answer earns its full value.
        deadline: When it is answered at the latest.
        send_by: If it is not sent by then it is rejected.
        attempts: Its attempts, by number.
        owners_asked: How many owners of its customer's quota were asked, or passed over.
        owner_asked_at: When the last one was asked.
        admitted: Its units are charged, and it waits for a slot or was sent.
        retry_pending: It waits for a slot for a retry.
        hedged: A second attempt was sent beside one in flight.
        response_started: Its client has the beginning of the answer.
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
        """Return the attempts that may have run, or may yet."""
        return [one for one in self.attempts if one.status not in NEVER_RAN]

    def has_attempt_in_flight(self) -> bool:
        """Return whether an attempt has not ended."""
        return any(one.status is None for one in self.attempts)

    def idempotency_window_end(self) -> float:
        """Return until when a repeat may arrive: counted from the first attempt that may have run."""
        may_have_run = self.may_have_run() if self.request_class.effect == "keyed" else ()
        if not may_have_run:
            return math.inf
        return may_have_run[0].sent_at + self.request_class.idempotency_window


# Chance that a gateway with no peer to ask admits a new customer: more is beyond the quota.
ADMIT_ALONE_CHANCE = 0.75


class CustomerTable:
    """Customers by tag; those that are idle with a full bucket are forgotten, which refills nothing.

    Attributes:
        by_tag: The customers.
        plan_names: The plans' names, sorted; a plan's number in gossip is its place here.
    """

    __slots__ = ("_after_sweep", "_latency", "_random", "_settings", "by_tag", "plan_names")

    def __init__(self, settings: Settings, latency: LatencyEstimates, rng: random.Random) -> None:
        self._settings, self._latency, self._random = settings, latency, rng
        self.by_tag: dict[int, Customer] = {}
        self.plan_names = sorted(settings.plans)
        self._after_sweep = 0  # customers left when idle ones were last forgotten

    def customer_of(self, event: RequestReceived, now: float) -> Customer:
        """Return a request's customer; when it is first met its quota's owners are chosen."""
        plan_code = self.plan_names.index(event.plan)
        customer = self.get_or_add(tag_of(event.customer), plan_code, now)
        if not customer.quota_owners:
            size = min(max(event.gateway_set_size, 1), self._settings.gateway_count)
            self._assign_owners(customer, size, event.gateway_set_offset, now)
        return customer

    def _assign_owners(self, customer: Customer, size: int, offset: int, now: float) -> None:
        settings, plan = self._settings, customer.plan
        customer.gateway_set_size = size
        customer.quota_owners = choose_owners(customer.tag, plan, size, offset, settings)
        share = plan.burst / size
        burst = max(share, settings.max_request_units)  # an even share covers one request at least
        alone = (not settings.gossip_enabled) * ADMIT_ALONE_CHANCE * burst
        is_full = self._random.random() * burst < max(share, alone)
        rate = customer.bucket.rate * primary_owner_count(plan, settings) / size
        customer.fallback_bucket = TokenBucket(rate, burst, burst * is_full, now)
        if customer.quota_owners[0] != settings.gateway_index:
            customer.ceiling_bucket = member_ceiling_bucket(customer.ceiling_bucket, size)

    def get_or_add(self, tag: int, plan_code: int, now: float) -> Customer:
        """Return a customer, which is new if it is not known."""
        customer = self.by_tag.get(tag)
        if customer is None:
            self._forget_idle(now)
            customer = self.by_tag[tag] = self._new(tag, plan_code, now)
        return customer

    def _new(self, tag: int, plan_code: int, now: float) -> Customer:
        """Make a customer; its bucket is the part of one of its owners."""
        plan = self._settings.plans[self.plan_names[plan_code]]
        owners = primary_owner_count(plan, self._settings)
        rate, burst = plan.rate / 1000 / owners, plan.burst / owners
        span = 1000 * plan.burst / plan.rate if plan.rate else USE_SPAN_WITHOUT_RATE_MS
        bucket = TokenBucket(rate, burst, burst, now)
        return Customer(
            tag=tag,
            plan=plan,
            plan_code=plan_code,
            bucket=bucket,
            fallback_bucket=TokenBucket(rate, burst, burst, now),
            ceiling_bucket=ceiling_bucket(plan, now),
            recent_use=ExponentialDecay(span, 0.0, now),
            leases=QuotaLeases(bucket),
            cost_estimate=self._latency.mean,
        )

    def _forget_idle(self, now: float) -> None:
        if len(self.by_tag) > 2 * self._after_sweep + MIN_CUSTOMERS_TO_SWEEP:
            for tag, customer in list(self.by_tag.items()):
                if customer.is_idle(now):
                    del self.by_tag[tag]
            self._after_sweep = len(self.by_tag)
