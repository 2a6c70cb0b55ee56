"""What this gateway does as the owner of customers' quotas: it takes in their use, and grants."""

from __future__ import annotations

import math

from .bounded_table import remember
from .customers import Customer, CustomerTable
from .gossip import GossipQueue
from .gossip_codec import EntryKind, GossipEntry, encode_use
from .quota_check import MAX_THINNING

# Units that a bucket's burst counts for at least.
MIN_BURST_UNITS = 1.0


class QuotaOwner:
    """Grants what the quotas hold to the members that ask.

    Attributes:
        granted_units: Units granted, by member, customer tag and request number.
    """

    __slots__ = ("_customers", "_gossip", "granted_units")

    def __init__(self, customers: CustomerTable, gossip: GossipQueue) -> None:
        self._customers, self._gossip = customers, gossip
        self.granted_units: dict[tuple[int, int, int], float] = {}

    def grant_as_owner(self, peer: int, entry: GossipEntry, now: float) -> None:
        """Take in a member's use, or grant what it asks for as far as the bucket suffices, and reply."""
        plans = len(self._customers.plan_names)
        code, weight = entry.code % plans, 1 << min(MAX_THINNING, entry.code // plans)
        customer = self._customers.get_or_add(entry.customer_tag, code, now)
        bucket, kind = customer.bucket, EntryKind.LEVEL
        level, burst = bucket.refill(now), max(bucket.burst, MIN_BURST_UNITS)
        if entry.kind != EntryKind.ASK:
            # What passes an empty bucket is beyond the quota and takes nothing.
            level = max(level - entry.units, min(level, 0.0))
            customer.recent_use.add(now, entry.units)
        # After a restart members have the truer view.
        bucket.level = level = min(level, entry.bucket_left * burst)
        if entry.kind == EntryKind.ASK:
            kind = self._grant(customer, peer, entry, level, weight, now)
        if entry.kind != EntryKind.USED:
            use = encode_use(customer.recent_use.add(now) / burst)
            left = max(0.0, bucket.level) / burst
            reply = GossipEntry(kind, customer.tag, entry.request_number, 0.0, left, use)
            self._gossip.queue(peer, reply, now)

    def _grant(
        self, customer: Customer, peer: int, entry: GossipEntry, level: float, weight: int, now: float
    ) -> EntryKind:
        ceiling = customer.ceiling_bucket.refill(now) if customer.plan.ceiling_rate else math.inf
        enough = entry.units <= min(level, ceiling)
        key = (peer, entry.customer_tag, entry.request_number)
        if key in self.granted_units:  # it asks again: the grant was lost
            return EntryKind.GRANTED
        if enough:
            remember(self.granted_units, key, entry.units)
            customer.bucket.level = level - entry.units
            customer.ceiling_bucket.level -= entry.units
        customer.recent_use.add(now, entry.units * weight)  # what is asked for, granted or not
        return EntryKind.GRANTED if enough else EntryKind.DENIED
