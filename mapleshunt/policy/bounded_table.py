"""A table that keeps its newest entries only."""

from __future__ import annotations

from typing import TypeVar

# Entries of a table at most: a reply comes within a second or not at all, and fewer are awaited in that time.
MAX_ENTRIES = 512

Key = TypeVar("Key")


def remember(table: dict[Key, float], key: Key, value: float) -> None:
    """Set an entry, and drop the oldest ones beyond `MAX_ENTRIES`."""
    table[key] = value
    while len(table) > MAX_ENTRIES:
        del table[next(iter(table))]
