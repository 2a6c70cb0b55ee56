"""Admission by quota: by leases, by this gateway's view of the bucket, or by the quota's owner."""

from __future__ import annotations

import math
import random

from .actions import RejectReason
from .bounded_table import insert_bounded
from .customers import Customer, PendingRequest
from .gossip import GossipQueue
from .gossip_codec import REQUEST_NUMBERS, EntryKind, GossipEntry, decode_use
from .latency import ESTIMATE_SMOOTHING
from .quota import QuotaLedger
from .requests import RequestTable
from .scheduler import Scheduler
from .settings import Settings
from .timers import TimerKind, TimerQueue

# A reply is overdue after this many mean reply waits; then the next owner is asked, if there is one.
OVERDUE_REPLY_WAITS = 2.0
# ms for which an owner whose reply is overdue is not asked again.
SILENT_OWNER_MS = 1000.0
# Factor on the other gateways' use, as an owner reported it, while the reply ages: it allows for bursts.
STALE_USE_FACTOR = 2.0
# Fraction of the rate that other gateways may use though no use was reported.
UNTOLD_USE_PART = 0.25
# Fraction of a customer's gateways that may admit at the same time, before gossip about it arrives.
SIMULTANEOUS_PART = 0.25
# Maximum age of an owner's report that a bucket is empty and demand exceeds its rate.
DEMAND_RATIO_MAX_AGE_MS = 10_000.0
# At least one request in 2 to this power asks its owner.
MAX_THINNING = 5
# Values of a gossip entry's code; each step of thinning takes one for each plan.
ENTRY_CODES = 63
# Fraction of requests that owners are assumed to grant before any reply.
INITIAL_GRANTED_PART = 0.5
# Before any reply, the reply wait is the shortest mean latency of a class divided by this.
INITIAL_REPLY_WAIT_PART = 3


class QuotaCheck:
    """Admits or rejects requests by their customers' quotas.

    Attributes:
        reply_wait: Smoothed ms until an owner's reply arrives.
        granted_parts: Smoothed fraction of a plan's requests that owners granted, by the plan's number.
        silent_since: When an owner was first asked since its last message, by owner.
        asked_units: Units that a primary owner was asked for without a reply yet, by request number.
    """

    __slots__ = (
        "_gossip",
        "_quota",
        "_random",
        "_requests",
        "_scheduler",
        "_settings",
        "_timers",
        "asked_units",
        "granted_parts",
        "reply_wait",
        "silent_since",
    )

    def __init__(
        self,
        settings: Settings,
        requests: RequestTable,
        quota: QuotaLedger,
        gossip: GossipQueue,
        scheduler: Scheduler,
        timers: TimerQueue,
        rng: random.Random,
        initial_latency: float,
    ) -> None:
        self._settings, self._requests = settings, requests
        self._quota, self._gossip, self._scheduler = quota, gossip, scheduler
        self._timers, self._random = timers, rng
        self.reply_wait = initial_latency / INITIAL_REPLY_WAIT_PART
        self.granted_parts = [INITIAL_GRANTED_PART] * len(settings.plans)
        self.silent_since: dict[int, float] = {}
        self.asked_units: dict[int, float] = {}
        timers.on(TimerKind.OWNER_REPLY_OVERDUE, self._handle_overdue_reply)

    def check(self, request: PendingRequest, now: float) -> None:
        """Admit or reject a request if this view of its quota suffices for that, else ask an owner."""
        customer, units = request.customer, request.units
        plan, index = customer.plan, self._settings.gateway_index
        owners, asked = customer.quota_owners, self._skip_silent_owners(request, now)
        owner = owners[asked] if asked < len(owners) else index
        leased = customer.leases.available(now)
        is_own_decision = leased is not None or not self._settings.gossip_enabled or owner == index
        over_budget = not is_own_decision and self._is_over_send_budget(owner, now)
        view = customer.bucket.refill(now)
        ceiling = customer.ceiling_bucket.refill(now) if plan.ceiling_rate else math.inf
        if leased is not None:
            view = leased
        is_own_decision = is_own_decision or over_budget
        without_owner = is_own_decision and leased is None and owners[0] != index
        if without_owner and (over_budget or not self._would_be_granted(customer, now)):
            # The view is an upper bound of the bucket, so a shortfall in it is certain.
            view = min(view, customer.fallback_bucket.refill(now))
        shortfall = max(units - view if plan.rate else 0.0, units - ceiling if is_own_decision else 0.0)
        thinning = self._thinning(customer, now)
        if not (is_own_decision or asked) and self._random.random() * 2**thinning > 1:
            shortfall = units  # most would be denied, and asking would overload the owner
        certain = is_own_decision or units <= min(self._certain_units(customer, view, now), ceiling)
        if shortfall > 0 or self._has_too_many_open(customer):
            wait = shortfall / customer.bucket.rate if plan.rate else customer.cost_estimate
            self._requests.reject(request.request_id, wait, RejectReason.OVER_QUOTA, now)
        elif certain or not plan.rate:
            self._quota.charge(customer, units, now)
            if is_own_decision:
                customer.fallback_bucket.level -= units
            customer.ceiling_bucket.level -= units
            self._admit(request)
        else:
            self._ask_owner(request, owner, view, thinning, now)

    def _is_over_send_budget(self, owner: int, now: float) -> bool:
        """Return whether the owner may not be asked: the send budget is used up, or its queue is full."""
        gossip = self._gossip
        if owner in gossip.outbox:
            return not gossip.may_ask(owner)
        return gossip.send_budget.refill(now) < 1

    @staticmethod
    def _has_too_many_open(customer: Customer) -> bool:
        limit = customer.plan.max_open_requests
        return 0 < limit < customer.open_requests * max(1, min(customer.gateway_set_size, limit))

    def _certain_units(self, customer: Customer, view: float, now: float) -> float:
        """Return the units that the bucket still has, allowing for use elsewhere since the last reply."""
        recent, rate = customer.recent_use, customer.bucket.rate
        use_rate = STALE_USE_FACTOR * recent.value / recent.time_constant + UNTOLD_USE_PART * rate
        age = now - customer.owner_replied_at + self._gossip.send_interval
        simultaneous = max(1.0, SIMULTANEOUS_PART * customer.gateway_set_size)  # as if each admitted one
        return (view - use_rate * age) / simultaneous

    def _thinning(self, customer: Customer, now: float) -> int:
        """Return n so that one request in 2^n asks the owner, for a total of one to two times the rate."""
        is_recent = now - customer.owner_replied_at < DEMAND_RATIO_MAX_AGE_MS
        ratio = max(1.0, customer.demand_ratio) if is_recent else 1.0
        max_thinning = ENTRY_CODES // len(self._settings.plans) - 1
        return min(int(math.log2(ratio)), max_thinning, MAX_THINNING)

    def _would_be_granted(self, customer: Customer, now: float) -> bool:
        """Return at random whether an owner would have granted a request, at the recent granted fraction."""
        thinning = self._thinning(customer, now)
        part = 0.5**thinning if thinning else self.granted_parts[customer.plan_code]
        return self._settings.gossip_enabled and self._random.random() < part

    def _admit(self, request: PendingRequest) -> None:
        request.admitted = True
        self._scheduler.enqueue(request)

    def _ask_owner(self, request: PendingRequest, owner: int, view: float, thinning: int, now: float) -> None:
        customer, number = request.customer, request.request_id % REQUEST_NUMBERS
        self._requests.awaiting_owner[number] = request
        if owner == customer.quota_owners[0]:
            insert_bounded(self.asked_units, number, request.units)
        code = customer.plan_code + thinning * len(self._settings.plans)
        left = view / customer.bucket.burst
        entry = GossipEntry(EntryKind.ASK, customer.tag, number, request.units, left, code)
        self._gossip.queue(owner, entry, now)
        request.owners_asked += 1
        request.owner_asked_at = now
        self.silent_since.setdefault(owner, now)
        overdue_at = min(now + OVERDUE_REPLY_WAITS * self.reply_wait, request.send_by - 1)
        self._timers.set(overdue_at, TimerKind.OWNER_REPLY_OVERDUE, request.request_id)

    def _handle_overdue_reply(self, request_id: int, now: float) -> None:
        """Ask the next owner, or decide without one if no time is left for its reply."""
        request = self._requests.open.get(request_id)
        if request is None or request.admitted:
            return
        if now + OVERDUE_REPLY_WAITS * self.reply_wait > request.send_by:
            request.owners_asked = len(request.customer.quota_owners)
        self.check(request, now)

    def _skip_silent_owners(self, request: PendingRequest, now: float) -> int:
        """Return the index of the owner to ask next, past those that are silent."""
        owners = request.customer.quota_owners
        if self.silent_since:
            while request.owners_asked < len(owners):
                if not self.is_silent(owners[request.owners_asked], now):
                    break
                request.owners_asked += 1
        return request.owners_asked

    def is_silent(self, owner: int, now: float) -> bool:
        """Return whether an owner's reply is long overdue; after `SILENT_OWNER_MS` it is asked again."""
        silent_for = now - self.silent_since.get(owner, now)
        if silent_for > SILENT_OWNER_MS:
            del self.silent_since[owner]
        return 2 * OVERDUE_REPLY_WAITS * self.reply_wait < silent_for <= SILENT_OWNER_MS

    def apply_owner_reply(self, customer: Customer, entry: GossipEntry, sender: int, now: float) -> None:
        """Apply an owner's view of a bucket, and admit or reject the request that waited for it."""
        is_primary = sender == customer.quota_owners[0]
        if is_primary:
            self._apply_level(customer, entry, now)
        if entry.kind == EntryKind.LEVEL:
            return
        number = entry.request_number
        request = self._requests.awaiting_owner.pop(number, None)
        asked_units = self.asked_units.pop(number, 0.0) if is_primary else 0.0
        granted = entry.kind == EntryKind.GRANTED
        if request is None or request.customer is not customer or not self._is_undecided(request):
            if asked_units and granted:  # too late: decided without the owner, so the grant is returned
                self._quota.charge(customer, -asked_units, now)
            return
        code = customer.plan_code
        self.reply_wait += ESTIMATE_SMOOTHING * (now - request.owner_asked_at - self.reply_wait)
        self.granted_parts[code] += ESTIMATE_SMOOTHING * (granted - self.granted_parts[code])
        if granted:
            if not is_primary:
                self._quota.charge(customer, request.units, now)
            self._admit(request)
        else:
            wait = max(0.0, request.units - customer.bucket.level) / customer.bucket.rate
            self._requests.reject(request.request_id, wait, RejectReason.OVER_QUOTA, now)

    def _is_undecided(self, request: PendingRequest) -> bool:
        return request.request_id in self._requests.open and not request.admitted

    def _apply_level(self, customer: Customer, entry: GossipEntry, now: float) -> None:
        bucket, recent = customer.bucket, customer.recent_use
        bucket.level, bucket.updated_at = entry.bucket_left * bucket.burst, now
        customer.owner_replied_at = now
        recent.value = decode_use(entry.code) * bucket.burst
        customer.demand_ratio = 0.0
        if bucket.level < self._settings.max_request_units and bucket.rate:
            customer.demand_ratio = recent.value / recent.time_constant / bucket.rate
