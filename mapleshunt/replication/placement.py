"""Placement of a group's replicas on gateways: rendezvous hashing, spread over zones. Pure.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): each gateway's weight for a
group is a hash of both; the highest win. When a gateway joins or leaves, only groups that it wins or held are
moved.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence

import xxhash


def rank_gateways(group: int, gateways: Mapping[str, str]) -> Sequence[str]:
    """Order all gateways (name to zone) for a group: one per zone before a second of any zone."""
    return _rank(group, tuple(sorted(gateways.items())))


@functools.lru_cache(256)  # leaders call it several times a second, and the fleet rarely changes
def _rank(group: int, fleet: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    gateways = dict(fleet)

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{group}/{name}".encode()), name

    zone_counts = dict.fromkeys(gateways.values(), 0)
    ranks: list[tuple[int, str]] = []  # how many gateways of its zone rank higher
    for name in sorted(gateways, key=weight, reverse=True):
        ranks.append((zone_counts[gateways[name]], name))
        zone_counts[gateways[name]] += 1
    return tuple(name for _, name in sorted(ranks, key=lambda rank: rank[0]))  # stable: keeps weight order


def place_replicas(group: int, gateways: Mapping[str, str], size: int) -> Sequence[str]:
    """Return the gateways that hold a group of `size` replicas if all gateways are present."""
    return rank_gateways(group, gateways)[:size]


def group_of_customer(customer: str, groups: int) -> int:
    """Return which of `groups` groups holds a customer's quota."""
    return int(xxhash.xxh3_64_intdigest(customer.encode()) % groups)
