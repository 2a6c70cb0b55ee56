"""Generations of groups: a group that was recovered by hand goes on in a later one. Pure."""

from __future__ import annotations

MAX_GROUPS = 64
RANDOM_BITS = 16  # the lower part of a generation


def channel_of(group: int, generation: int) -> int:
    """The number that a group's messages carry; those of an earlier generation carry another."""
    return group + MAX_GROUPS * generation


def group_and_generation(channel: int) -> tuple[int, int]:
    """The group and the generation of a message's channel."""
    return channel % MAX_GROUPS, channel // MAX_GROUPS


def next_generation(generation: int, random_bits: int) -> int:
    """The generation after a recovery: a count, and 16 random bits.

    Of a group that was recovered twice apart, one generation is the later for all.
    """
    return ((generation >> RANDOM_BITS) + 1) << RANDOM_BITS | random_bits & 0xFFFF
