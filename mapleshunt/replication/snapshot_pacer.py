"""Pacing of snapshot chunks, so that transfers to new replicas leave bandwidth for responses. Pure.

One token bucket limits all chunks of a gateway. For each replica at most one chunk waits, the latest: its
sender creates it again from the same offset, so the waiting chunks are bounded by groups and members.
"""

from __future__ import annotations

from typing import Generic, TypeVar

Key = TypeVar("Key")
Chunk = TypeVar("Chunk")


class SnapshotPacer(Generic[Key, Chunk]):
    """A token bucket in bytes, and the chunks that wait for tokens."""

    def __init__(self, rate: float, burst: float, now: float) -> None:
        """Start with a full bucket.

        Args:
            rate: Bytes per second.
            burst: Bytes that may be sent at once after a pause.
            now: The time in s, of a monotonic clock.
        """
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = now
        self._waiting: dict[Key, tuple[int, Chunk]] = {}

    def offer(self, key: Key, size: int, chunk: Chunk) -> None:
        """Queue a chunk of `size` bytes, in place of an earlier one with that key."""
        self._waiting[key] = (size, chunk)

    def discard(self, key: Key) -> None:
        """Remove the chunk with that key, if one waits."""
        self._waiting.pop(key, None)

    def take_ready(self, now: float) -> list[tuple[Key, Chunk]]:
        """Return the chunks that may be sent now, the longest waiting first."""
        self._tokens = min(self._burst, self._tokens + (now - self._refilled_at) * self._rate)
        self._refilled_at = now
        ready = []
        while self._waiting and self._tokens > 0:
            key = next(iter(self._waiting))
            size, chunk = self._waiting.pop(key)
            self._tokens -= size  # may go below 0 by a chunk, which is paid for afterwards
            ready.append((key, chunk))
        return ready

    def delay_s(self) -> float | None:
        """Return the time until a chunk may be sent, s; None if none waits."""
        return max(0.0, -self._tokens / self._rate) if self._waiting else None
