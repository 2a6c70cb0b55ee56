"""Generations of groups: a group that an operator recovered continues in a later one. Pure."""

from __future__ import annotations

MAX_GROUPS = 64
RANDOM_BITS = 16  # the lower part of a generation


def channel_of(group: int, generation: int) -> int:
    """Return the channel number of a group's messages, which differs between generations."""
    return group + MAX_GROUPS * generation


def group_and_generation(channel: int) -> tuple[int, int]:
    """Return the group and the generation of a message's channel."""
    return channel % MAX_GROUPS, channel // MAX_GROUPS


def next_generation(generation: int, random_bits: int) -> int:
    """Return the generation after a recovery: the next count, and 16 random bits.

    If a group is recovered twice independently, the random bits decide for all which generation is later.
    """
    return ((generation >> RANDOM_BITS) + 1) << RANDOM_BITS | random_bits & 0xFFFF
