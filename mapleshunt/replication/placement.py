"""Which gateways hold a group's replicas: rendezvous hashing, spread over zones. Pure.

Thaler and Ravishankar, "Using name-based mappings to increase hit rates" (1998): each gateway's weight for a
group is a hash of both; the highest win. When a gateway comes or goes only groups that it wins or held move.
"""

from __future__ import annotations

import functools
from collections.abc import Mapping, Sequence

import xxhash


def rank_gateways(group: int, gateways: Mapping[str, str]) -> Sequence[str]:
    """Order all gateways (name to zone) for a group: one of each zone before a second of any."""
    return _rank(group, tuple(sorted(gateways.items())))


@functools.lru_cache(256)  # a leader needs it several times a second, and the fleet hardly ever changes
def _rank(group: int, fleet: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    gateways = dict(fleet)

    def weight(name: str) -> tuple[int, str]:
        return xxhash.xxh3_64_intdigest(f"{group}/{name}".encode()), name

    counts = dict.fromkeys(gateways.values(), 0)
    levels: list[tuple[int, str]] = []  # how many of its zone come before a gateway
    for name in sorted(gateways, key=weight, reverse=True):
        levels.append((counts[gateways[name]], name))
        counts[gateways[name]] += 1
    return tuple(name for _, name in sorted(levels, key=lambda level: level[0]))  # stable: keeps the weights


def place_replicas(group: int, gateways: Mapping[str, str], size: int) -> Sequence[str]:
    """The gateways that are to hold a group of `size` replicas, if all are present."""
    return rank_gateways(group, gateways)[:size]


def group_of_customer(customer: str, groups: int) -> int:
    """The group, of so many, that holds a customer's quota."""
    return int(xxhash.xxh3_64_intdigest(customer.encode()) % groups)
