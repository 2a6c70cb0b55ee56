"""Selection of the gateways that own a customer's quota, and the division of ceilings."""

from __future__ import annotations

import math

from .gossip import WRITERS_PER_PEER
from .settings import Plan, Settings
from .token_bucket import TokenBucket

# Fraction of a gateway's message intake that gossip about one customer may use.
CUSTOMER_PART_OF_INTAKE = 0.25
# Messages for the units of a largest request: for each quarter of it the owner is asked and replies.
MESSAGES_PER_LARGEST_REQUEST = 8
# Fraction of a ceiling's rate that the primary owner grants from; the others divide the remainder evenly.
OWNER_PART_OF_CEILING = 0.7


def primary_owner_count(plan: Plan, settings: Settings) -> int:
    """Return the number of gateways that each own a part of a customer's quota.

    A single owner could not receive all messages about a large quota. A ceiling has one owner: several
    might exceed it together.
    """
    largest = settings.max_request_units
    owners_for_messages = (
        MESSAGES_PER_LARGEST_REQUEST
        * plan.rate
        / largest
        / (CUSTOMER_PART_OF_INTAKE * settings.gossip_intake_per_s)
    )
    max_owners = min(plan.burst / (2 * largest), (settings.gateway_count - 1) / WRITERS_PER_PEER)
    if not settings.gossip_enabled or plan.ceiling_rate:
        return 1
    return max(1, min(math.ceil(owners_for_messages), int(max_owners)))


def choose_owners(
    tag: int, plan: Plan, set_size: int, set_offset: int, settings: Settings
) -> tuple[int, int, int]:
    """Return the owners of a customer's quota in the order to ask: primary, primary again, backup.

    A ceiling has no backup owner: two owners might exceed it.
    """
    count, index = settings.gateway_count, settings.gateway_index
    gateways = [(set_offset + (tag + place) % set_size) % count for place in range(set_size)]
    parts = primary_owner_count(plan, settings)
    primaries = [gateways[part * set_size // parts] for part in range(parts)]
    part = primaries.index(index) if index in primaries else (index + tag) % parts
    primary = primaries[part]
    backup = gateways[(part * set_size // parts + (set_size // 2 | 1)) % set_size]
    return primary, primary, primary if plan.ceiling_rate else backup


def ceiling_bucket(plan: Plan, now: float) -> TokenBucket:
    """Return a primary owner's part of a ceiling; it starts empty, so that no restart exceeds the ceiling."""
    rate = OWNER_PART_OF_CEILING * plan.ceiling_rate / 1000
    return TokenBucket(rate, plan.ceiling_burst / 2, 0.0, now)


def member_ceiling_bucket(owner_part: TokenBucket, set_size: int) -> TokenBucket:
    """Return the part of a ceiling that each gateway other than its owner has."""
    return owner_part.scaled((1 / OWNER_PART_OF_CEILING - 1) / set_size, 1 / set_size)
