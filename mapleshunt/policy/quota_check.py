"""Whether a customer's quota admits a request: by leases, by this gateway's view, or by the quota's owner."""

from __future__ import annotations

import math
import random

from .actions import RejectReason
from .bounded_table import remember
from .customers import Customer, PendingRequest
from .gossip import GossipQueue
from .gossip_codec import REQUEST_NUMBERS, EntryKind, GossipEntry, decode_use
from .latency import ESTIMATE_SMOOTHING
from .quota import QuotaLedger
from .requests import RequestTable
from .scheduler import Scheduler
from .settings import Settings
from .timers import TimerKind, TimerQueue

# Mean waits for an owner's reply after which the next owner is asked, or none.
OVERDUE_REPLY_WAITS = 2.0
# ms for which an owner that owes a reply is not asked again.
SILENT_OWNER_MS = 1000.0
# The others' use that an owner reported counts this many times while its reply ages, for bursts.
STALE_USE_FACTOR = 2.0
# Part of the rate that the others may use though none was reported.
UNTOLD_USE_PART = 0.25
# Part of a customer's gateways that may decide alike before they hear of each other.
SIMULTANEOUS_PART = 0.25
# ms for which an owner's reply is relied on that a bucket is empty and far more is demanded of it.
DEMAND_RATIO_MAX_AGE_MS = 10_000.0
# One request in 2 to this power at least asks its owner.
MAX_THINNING = 5
# Values of a gossip entry's code, of which the plans take one each for each step of thinning.
ENTRY_CODES = 63
# Part of requests that owners are expected to grant, before any reply.
INITIAL_GRANTED_PART = 0.5
# A reply is first expected within this part of the shortest mean latency of a class.
INITIAL_REPLY_WAIT_PART = 3


class QuotaCheck:
    """Admits or rejects requests by their customers' quotas.

    Attributes:
        reply_wait: Mean ms until an owner's reply is here.
        granted_parts: Part of a plan's requests that owners granted of late, by the plan's number.
        silent_since: Owners that were asked and not heard since, and from when on.
        asked_units: Units by request number: what a primary owner was asked and has not answered.
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
        timers.on(TimerKind.OWNER_REPLY_OVERDUE, self._reply_overdue)

    def check(self, request: PendingRequest, now: float) -> None:
        """Admit or reject a request where this view of the quota is sound, else ask an owner."""
        customer, units = request.customer, request.units
        plan, index = customer.plan, self._settings.gateway_index
        owners, asked = customer.quota_owners, self._skip_silent_owners(request, now)
        owner = owners[asked] if asked < len(owners) else index
        leased = customer.leases.available(now)
        alone = leased is not None or not self._settings.gossip_enabled or owner == index
        muted = not alone and self._is_muted(owner, now)
        view = customer.bucket.refill(now)
        ceiling = customer.ceiling_bucket.refill(now) if plan.ceiling_rate else math.inf
        if leased is not None:
            view = leased
        alone = alone or muted
        by_guess = alone and leased is None and owners[0] != index
        if by_guess and (muted or not self._would_be_granted(customer, now)):
            # The bucket never holds more than this view of it: a lack is certain.
            view = min(view, customer.fallback_bucket.refill(now))
        lack = max(units - view if plan.rate else 0.0, units - ceiling if alone else 0.0)
        thinning = self._thinning(customer, now)
        if not (alone or asked) and self._random.random() * 2**thinning > 1:
            lack = units  # most would ask the owner in vain, and drown it
        certain = alone or units <= min(self._certain_units(customer, view, now), ceiling)
        if lack > 0 or self._has_too_many_open(customer):
            wait = lack / customer.bucket.rate if plan.rate else customer.cost_estimate
            self._requests.reject(request.request_id, wait, RejectReason.OVER_QUOTA, now)
        elif certain or not plan.rate:
            self._quota.charge(customer, units, now)
            if alone:
                customer.fallback_bucket.level -= units
            customer.ceiling_bucket.level -= units
            self._admit(request)
        else:
            self._ask_owner(request, owner, view, thinning, now)

    def _is_muted(self, owner: int, now: float) -> bool:
        """Return whether nothing may be sent to the owner: the send budget is used up."""
        gossip = self._gossip
        return owner not in gossip.outbox and gossip.send_budget.refill(now) < 1

    @staticmethod
    def _has_too_many_open(customer: Customer) -> bool:
        limit = customer.plan.max_open_requests
        return 0 < limit < customer.open_requests * max(1, min(customer.gateway_set_size, limit))

    def _certain_units(self, customer: Customer, view: float, now: float) -> float:
        """Return the units that the bucket has for sure, whatever the others used since the last reply."""
        recent, rate = customer.recent_use, customer.bucket.rate
        use_rate = STALE_USE_FACTOR * recent.value / recent.time_constant + UNTOLD_USE_PART * rate
        age = now - customer.owner_replied_at + self._gossip.send_interval
        simultaneous = max(1.0, SIMULTANEOUS_PART * customer.gateway_set_size)  # as if all admit one each
        return (view - use_rate * age) / simultaneous

    def _thinning(self, customer: Customer, now: float) -> int:
        """Return n if one request in 2^n asks the owner, which is asked for one to two times the rate."""
        fresh = now - customer.owner_replied_at < DEMAND_RATIO_MAX_AGE_MS
        ratio = max(1.0, customer.demand_ratio) if fresh else 1.0
        most = ENTRY_CODES // len(self._settings.plans) - 1
        return min(int(math.log2(ratio)), most, MAX_THINNING)

    def _would_be_granted(self, customer: Customer, now: float) -> bool:
        """Return whether an owner would have granted a request, by chance: as many as before are admitted."""
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
            remember(self.asked_units, number, request.units)
        code = customer.plan_code + thinning * len(self._settings.plans)
        left = view / customer.bucket.burst
        entry = GossipEntry(EntryKind.ASK, customer.tag, number, request.units, left, code)
        self._gossip.queue(owner, entry, now)
        request.owners_asked += 1
        request.owner_asked_at = now
        self.silent_since.setdefault(owner, now)
        overdue_at = min(now + OVERDUE_REPLY_WAITS * self.reply_wait, request.send_by - 1)
        self._timers.set(overdue_at, TimerKind.OWNER_REPLY_OVERDUE, request.request_id)

    def _reply_overdue(self, request_id: int, now: float) -> None:
        """Ask the next owner, or decide alone if no time is left for it."""
        request = self._requests.open.get(request_id)
        if request is None or request.admitted:
            return
        if now + OVERDUE_REPLY_WAITS * self.reply_wait > request.send_by:
            request.owners_asked = len(request.customer.quota_owners)
        self.check(request, now)

    def _skip_silent_owners(self, request: PendingRequest, now: float) -> int:
        """Return the place of the owner to ask next."""
        owners = request.customer.quota_owners
        if self.silent_since:
            while request.owners_asked < len(owners):
                if not self.is_silent(owners[request.owners_asked], now):
                    break
                request.owners_asked += 1
        return request.owners_asked

    def is_silent(self, owner: int, now: float) -> bool:
        """Return whether an owner has owed a reply for longer than usual; after a while it is asked again."""
        silent_for = now - self.silent_since.get(owner, now)
        if silent_for > SILENT_OWNER_MS:
            del self.silent_since[owner]
        return 2 * OVERDUE_REPLY_WAITS * self.reply_wait < silent_for <= SILENT_OWNER_MS

    def apply_owner_reply(self, customer: Customer, entry: GossipEntry, sender: int, now: float) -> None:
        """Take over an owner's view of a bucket, and admit or reject the request that waited for it."""
        is_primary = sender == customer.quota_owners[0]
        if is_primary:
            self._take_over_level(customer, entry, now)
        if entry.kind == EntryKind.LEVEL:
            return
        number = entry.request_number
        request = self._requests.awaiting_owner.pop(number, None)
        asked_units = self.asked_units.pop(number, 0.0) if is_primary else 0.0
        granted = entry.kind == EntryKind.GRANTED
        if request is None or request.customer is not customer or not self._still_waits(request):
            if asked_units and granted:  # too late: it was decided without the owner, which has it back
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

    def _still_waits(self, request: PendingRequest) -> bool:
        return request.request_id in self._requests.open and not request.admitted

    def _take_over_level(self, customer: Customer, entry: GossipEntry, now: float) -> None:
        bucket, recent = customer.bucket, customer.recent_use
        bucket.level, bucket.updated_at = entry.bucket_left * bucket.burst, now
        customer.owner_replied_at = now
        recent.value = decode_use(entry.code) * bucket.burst
        customer.demand_ratio = 0.0
        if bucket.level < self._settings.max_request_units and bucket.rate:
            customer.demand_ratio = recent.value / recent.time_constant / bucket.rate
