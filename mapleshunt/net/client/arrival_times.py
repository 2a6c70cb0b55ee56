"""When the bytes of a connection arrived: a request's time counts from the arrival of its last byte."""

from __future__ import annotations

from collections import deque

from . import limits

MAX_STORED_READS = 4 * limits.MAX_PIPELINED_COMMANDS


class ArrivalTimes:
    """The last reads of a connection, and how much of what was read has been consumed.

    Attributes:
        consumed_bytes: Total that was consumed, as commands or by discarding it.
    """

    __slots__ = ("_reads", "consumed_bytes")

    def __init__(self) -> None:
        """Start before the first read."""
        self.consumed_bytes = 0
        self._reads: deque[tuple[int, float]] = deque()  # total bytes read so far, and when

    def add_read(self, unconsumed_bytes: int, arrived_at: float) -> None:
        """Add a read after which so many bytes are not consumed; the time is s on the loop's clock."""
        self._reads.append((self.consumed_bytes + unconsumed_bytes, arrived_at))
        if len(self._reads) > MAX_STORED_READS:
            self._reads.popleft()

    def consume(self, size: int) -> None:
        """Count bytes as consumed."""
        self.consumed_bytes += size

    def last_consumed_at(self) -> float | None:
        """Return when the last byte arrived that was consumed; None if that is not known."""
        while len(self._reads) > 1 and self._reads[0][0] < self.consumed_bytes:
            self._reads.popleft()
        return self._reads[0][1] if self._reads else None

    def clear(self) -> None:
        """Forget the reads: what follows is a command whose last byte has not arrived."""
        self._reads.clear()
