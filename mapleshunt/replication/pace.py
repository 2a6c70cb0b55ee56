"""Pieces of snapshots, held back so that copies that are made anew leave room for answers. Pure.

A token bucket over all that a gateway sends. Of each copy that is sent to there is at most one piece, the
latest: its sender makes it again from the same place, so what is held is bounded by groups and members.
"""

from __future__ import annotations

from typing import Generic, TypeVar

Key = TypeVar("Key")
What = TypeVar("What")


class SnapshotPacer(Generic[Key, What]):
    """`rate` in bytes a second, `burst` in bytes: how much may go at once after a pause."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate, self.burst, self.level, self.at = rate, burst, burst, now
        self.held: dict[Key, tuple[int, What]] = {}

    def offer(self, key: Key, size: int, what: What) -> None:
        self.held[key] = (size, what)  # in the place of the one before, if that has not gone

    def drop(self, key: Key) -> None:
        self.held.pop(key, None)

    def take(self, now: float) -> list[tuple[Key, What]]:
        """What may go now, the longest held first."""
        self.level = min(self.burst, self.level + (now - self.at) * self.rate)
        self.at = now
        out = []
        while self.held and self.level > 0:
            key = next(iter(self.held))
            size, what = self.held.pop(key)
            self.level -= size  # below 0 by a piece: a large one is paid for afterwards
            out.append((key, what))
        return out

    def wait(self) -> float | None:
        """s until there is something to take; None if nothing is held."""
        return max(0.0, -self.level / self.rate) if self.held else None
