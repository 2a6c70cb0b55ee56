"""Boot numbers of stores, by which a disk that was put back from an older copy is recognised. Pure.

Each opening of a store makes its next boot number: a count in the upper bits, and 32 random bits. Gateways
tell each other the highest boot number that they met of each incarnation.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_KNOWN_INCARNATIONS = 1024  # that a gateway remembers, and that a handshake may hold
RANDOM_BITS = 32  # the lower part of a boot number


def newer_boot(boot: int, known: int) -> int:
    """The boot number with the higher count.

    Of two with the same count the known one stays: the other is of a disk that was put back.
    """
    return boot if boot >> RANDOM_BITS > known >> RANDOM_BITS else known


def merge_known_boots(known: Mapping[str, int], received: Mapping[str, int]) -> dict[str, int]:
    """The newest boot of each incarnation, with those of another gateway as far as there is room."""
    merged = dict(known)
    for incarnation, boot in received.items():
        if incarnation in merged:
            merged[incarnation] = newer_boot(boot, merged[incarnation])
        elif len(merged) < MAX_KNOWN_INCARNATIONS:
            merged[incarnation] = boot
    return merged


def remember_boot(known: Mapping[str, int], incarnation: str, boot: int) -> dict[str, int]:
    """The same with one that this gateway met itself, as the last.

    It takes the place of the one that was met longest ago, where there is no room: incarnations that are
    gone for good would fill it up.
    """
    rest = {name: newest for name, newest in known.items() if name != incarnation}
    while len(rest) >= MAX_KNOWN_INCARNATIONS:
        del rest[next(iter(rest))]
    return {**rest, incarnation: newer_boot(boot, known.get(incarnation, boot))}


def is_store_outdated(boot: int, known: int) -> bool:
    """Whether others know of a boot of this store's incarnation that the store, in `boot`, does not."""
    return known != boot and known >> RANDOM_BITS >= boot >> RANDOM_BITS
