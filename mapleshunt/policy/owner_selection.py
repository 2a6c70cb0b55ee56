"""Which gateways own a customer's quota, and what parts of it the others have."""

from __future__ import annotations

import math

from .gossip import WRITERS_PER_PEER
from .settings import Plan, Settings
from .token_bucket import TokenBucket

# Part of a gateway's message intake that gossip on one customer may take.
CUSTOMER_PART_OF_INTAKE = 0.25
# Messages for each quarter of a largest request that a customer uses: its owner is asked, and replies.
MESSAGES_PER_LARGEST_REQUEST = 8
# Part of a ceiling's rate that the primary owner grants from; even shares of the others have the rest.
OWNER_PART_OF_CEILING = 0.7


def primary_owner_count(plan: Plan, settings: Settings) -> int:
    """Return how many gateways own a part each of a customer's quota.

    One alone could not take in all the messages on a large quota. A ceiling has one owner: several might
    exceed it together.
    """
    largest = settings.max_request_units
    messages = (
        MESSAGES_PER_LARGEST_REQUEST
        * plan.rate
        / largest
        / (CUSTOMER_PART_OF_INTAKE * settings.gossip_intake_per_s)
    )
    most = min(plan.burst / (2 * largest), (settings.gateway_count - 1) / WRITERS_PER_PEER)
    if not settings.gossip_enabled or plan.ceiling_rate:
        return 1
    return max(1, min(math.ceil(messages), int(most)))


def choose_owners(
    tag: int, plan: Plan, set_size: int, set_offset: int, settings: Settings
) -> tuple[int, int, int]:
    """Return whom to ask for a customer's quota, in order: the primary owner, that again, and the backup.

    A ceiling has no backup owner: two might exceed it.
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
    """Return a primary owner's part of a ceiling, empty: no restart exceeds it."""
    rate = OWNER_PART_OF_CEILING * plan.ceiling_rate / 1000
    return TokenBucket(rate, plan.ceiling_burst / 2, 0.0, now)


def member_ceiling_bucket(owner_part: TokenBucket, set_size: int) -> TokenBucket:
    """Return the part of a ceiling of a gateway that does not own it."""
    return owner_part.scaled((1 / OWNER_PART_OF_CEILING - 1) / set_size, 1 / set_size)
