"""Which gateways hold a group's copies: rendezvous hashing, spread over zones. Pure.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): each gateway's weight for a
group is a hash of both; the highest win. When a gateway comes or goes only groups that it wins or held move.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence

import xxhash


def rank_gateways(group: int, gateways: Mapping[str, str]) -> Sequence[str]:
    """All gateways (name to zone), the best first: one of each zone before a second of any."""
    return _rank(group, tuple(sorted(gateways.items())))


@functools.lru_cache(256)  # a leader asks several times a second, and the fleet hardly ever changes
def _rank(group: int, fleet: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    gateways = dict(fleet)

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{group}/{name}".encode()), name

    counts = dict.fromkeys(gateways.values(), 0)
    levels: list[tuple[int, str]] = []
    for name in sorted(gateways, key=weight, reverse=True):
        levels.append((counts[gateways[name]], name))
        counts[gateways[name]] += 1
    return tuple(name for _, name in sorted(levels, key=lambda one: one[0]))  # it keeps the order by weight


def place_replicas(group: int, gateways: Mapping[str, str], size: int) -> Sequence[str]:
    return rank_gateways(group, gateways)[:size]


def group_of_customer(customer: str, groups: int) -> int:
    return int(xxhash.xxh3_64_intdigest(customer.encode()) % groups)
