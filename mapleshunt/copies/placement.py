"""Which gateways hold a group's copies: rendezvous hashing, spread over zones. Pure.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): each gateway's weight for a
group is a hash of both; the highest win. When a gateway comes or goes only groups that it wins or held move.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence

import xxhash


def rank(group: int, gateways: Mapping[str, str]) -> list[str]:
    """All gateways (name to zone), the best first: one of each zone before a second of any."""

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{group}/{name}".encode()), name

    left, order = sorted(gateways, key=weight, reverse=True), list[str]()
    counts = dict.fromkeys(gateways.values(), 0)
    while left:
        best = min(left, key=lambda name: counts[gateways[name]])  # the first of those: highest weight
        left.remove(best)
        counts[gateways[best]] += 1
        order.append(best)
    return order


def place(group: int, gateways: Mapping[str, str], size: int) -> Sequence[str]:
    return rank(group, gateways)[:size]


def group_of(customer: str, groups: int) -> int:
    return int(xxhash.xxh3_64_intdigest(customer.encode()) % groups)
