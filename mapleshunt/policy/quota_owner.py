"""The owner of customers' quotas: records the use of their units, and grants units."""

from __future__ import annotations

import math

from .bounded_table import insert_bounded
from .customers import Customer, CustomerTable
from .gossip import GossipQueue
from .gossip_codec import EntryKind, GossipEntry, encode_use
from .quota_check import MAX_THINNING

# Minimum burst, in units, that levels and use are measured against.
MIN_BURST_UNITS = 1.0


class QuotaOwner:
    """Grants units of the quotas that this gateway owns to members that ask.

    Attributes:
        granted_units: Units granted, by member, customer tag and request number.
    """

    __slots__ = ("_customers", "_gossip", "granted_units")

    def __init__(self, customers: CustomerTable, gossip: GossipQueue) -> None:
        self._customers, self._gossip = customers, gossip
        self.granted_units: dict[tuple[int, int, int], float] = {}

    def handle_member_entry(self, peer: int, entry: GossipEntry, now: float) -> None:
        """Record a member's use, or grant the units that it asks for if the bucket suffices, and reply."""
        plan_count = len(self._customers.plan_names)
        code, weight = entry.code % plan_count, 1 << min(MAX_THINNING, entry.code // plan_count)
        customer = self._customers.get_or_add(entry.customer_tag, code, now)
        if customer is None:
            return  # the member decides without this owner's reply
        bucket, kind = customer.bucket, EntryKind.LEVEL
        level, burst = bucket.refill(now), max(bucket.burst, MIN_BURST_UNITS)
        if entry.kind != EntryKind.ASK:
            # Use beyond an empty bucket exceeds the quota and is not charged.
            level = max(level - entry.units, min(level, 0.0))
            customer.recent_use.add(now, entry.units)
        # After a restart of this gateway the members' view is more accurate.
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
        if key in self.granted_units:  # asked again: the grant was lost
            return EntryKind.GRANTED
        if enough:
            insert_bounded(self.granted_units, key, entry.units)
            customer.bucket.level = level - entry.units
            customer.ceiling_bucket.level -= entry.units
        customer.recent_use.add(now, entry.units * weight)  # the units asked for, granted or not
        return EntryKind.GRANTED if enough else EntryKind.DENIED
