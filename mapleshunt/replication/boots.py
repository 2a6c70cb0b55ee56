"""Boot numbers of stores, which reveal a disk that was restored from an older copy. Pure.

Each opening of a store makes its next boot number: a count in the upper bits, and 32 random bits. Gateways
exchange the highest boot number that they have seen of each incarnation.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_KNOWN_INCARNATIONS = 1024  # in a gateway's memory, and in a handshake
RANDOM_BITS = 32  # the lower part of a boot number


def newer_boot(boot: int, known: int) -> int:
    """Return the boot number with the higher count.

    Of two with the same count the known one stays: the other is of a restored disk.
    """
    return boot if boot >> RANDOM_BITS > known >> RANDOM_BITS else known


def merge_known_boots(known: Mapping[str, int], received: Mapping[str, int]) -> dict[str, int]:
    """Return the newest boot of each incarnation, adding another gateway's up to the limit."""
    merged = dict(known)
    for incarnation, boot in received.items():
        if incarnation in merged:
            merged[incarnation] = newer_boot(boot, merged[incarnation])
        elif len(merged) < MAX_KNOWN_INCARNATIONS:
            merged[incarnation] = boot
    return merged


def remember_boot(known: Mapping[str, int], incarnation: str, boot: int) -> dict[str, int]:
    """Return the known boots with one that this gateway has seen itself, as the last.

    At the limit it replaces the one that was seen longest ago: otherwise incarnations that are gone for
    good would fill the limit.
    """
    others = {name: newest for name, newest in known.items() if name != incarnation}
    while len(others) >= MAX_KNOWN_INCARNATIONS:
        del others[next(iter(others))]
    return {**others, incarnation: newer_boot(boot, known.get(incarnation, boot))}


def is_store_outdated(boot: int, known: int) -> bool:
    """Return whether others know a boot of this store's incarnation that the store, in `boot`, lacks."""
    return known != boot and known >> RANDOM_BITS >= boot >> RANDOM_BITS
