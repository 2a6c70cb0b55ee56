"""Charges to customers' quotas, and the reports of use to their owners."""

from __future__ import annotations

import math
import random

from .customers import Customer
from .gossip import WRITERS_PER_PEER, GossipQueue
from .gossip_codec import EntryKind, GossipEntry
from .settings import Settings

# Fraction of a largest request below which use is reported at random, as this amount: the sum is the same
# on average.
COARSE_UNITS_PART = 1 / 4


class QuotaLedger:
    """Charges units to customers' quotas."""

    __slots__ = ("_coarse_units", "_gossip", "_random", "_settings")

    def __init__(self, settings: Settings, gossip: GossipQueue, rng: random.Random) -> None:
        self._settings, self._gossip, self._random = settings, gossip, rng
        self._coarse_units = settings.max_request_units * COARSE_UNITS_PART

    def charge(self, customer: Customer, units: float, now: float) -> None:
        """Charge units (below 0: return them), and report them to the quota's owner."""
        if customer.leases.spend(now, units):
            return
        bucket = customer.bucket
        bucket.level = bucket.refill(now) - units
        owners = customer.quota_owners
        if not owners or owners[0] == self._settings.gateway_index:
            customer.recent_use.add(now, units)
        elif self._settings.gossip_enabled and customer.plan.rate and units:
            self._report_to_owner(customer, units, now)

    def settle(self, customer: Customer, units: float, cost: float, now: float) -> None:
        """Charge the difference between a request's actual cost, if known, and the units already charged."""
        if cost and self._settings.cost_known_after:
            self.charge(customer, cost - units, now)

    def _report_to_owner(self, customer: Customer, units: float, now: float) -> None:
        kind = EntryKind.NOTE
        if customer.gateway_set_size > WRITERS_PER_PEER + 1:
            # In a large gateway set each report would take a message of its own: the owner sends no reply,
            # and small amounts are reported at random.
            kind, coarse = EntryKind.USED, self._coarse_units
            if abs(units) < coarse:
                units = math.copysign(coarse * (self._random.random() * coarse < abs(units)), units)
        if units:
            bucket = customer.bucket
            left = bucket.level / bucket.burst
            entry = GossipEntry(kind, customer.tag, 0, units, left, customer.plan_code)
            self._gossip.queue(customer.quota_owners[0], entry, now)
