"""Insertion into tables that keep only their newest entries."""

from __future__ import annotations

from typing import TypeVar

# Maximum entries of a table: a reply arrives within a second or never, and fewer are pending in that time.
MAX_ENTRIES = 512

Key = TypeVar("Key")


def insert_bounded(table: dict[Key, float], key: Key, value: float) -> None:
    """Set an entry, and evict the oldest ones beyond `MAX_ENTRIES`."""
    table[key] = value
    while len(table) > MAX_ENTRIES:
        del table[next(iter(table))]
