"""The memory that this process holds for its peers, as one budget.

Commands that await their response, responses that wait for their turn or for their client to read, and the
buffers that peers are read into are counted here by their owners. What may be taken from a client follows
from what is free in all, not from a limit of each connection: hundreds of connections within their limits
would exceed the memory together.
"""

from __future__ import annotations

import os
from pathlib import Path

from .protocol import resp

UNLIMITED_BYTES = 1 << 62
# A response of the longest value with its framing: reserved for each command, whatever its response will be.
MAX_RESPONSE_BYTES = resp.MAX_VALUE_BYTES + 16
# Objects and timers of an open request, without its message.
REQUEST_BYTES = 8192
# A connection may hold as much as this fraction of what is free. So a single one gets a ninth of the budget,
# and however many are greedy, a part of it stays free for others (dynamic thresholds of shared buffers).
FREE_FRACTION = 1 / 8
# Of the memory that the process does not use at rest. The rest is for what is not counted: fragmentation,
# copies that exist for a moment, growth of the policy's state, lists of endpoints.
BUDGET_FRACTION = 1 / 2
MIN_BUDGET_BYTES = 16 * MAX_RESPONSE_BYTES  # also where the process uses its limit up at rest
STATM_PATH = Path("/proc/self/statm")
RESIDENT_FIELD, SHARED_FIELD = 1, 2  # of statm, in pages
ASSUMED_RESIDENT_BYTES = 32 << 20  # where the kernel does not tell


def resident_bytes() -> int:
    """Return the memory that this process uses now, the files that it maps included."""
    try:
        return int(STATM_PATH.read_text().split()[RESIDENT_FIELD]) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return ASSUMED_RESIDENT_BYTES


def private_bytes() -> int:
    """Return the memory that this process uses now, without the files that it maps."""
    try:
        fields = STATM_PATH.read_text().split()
        return (int(fields[RESIDENT_FIELD]) - int(fields[SHARED_FIELD])) * os.sysconf("SC_PAGE_SIZE")
    except (OSError, ValueError, IndexError):
        return ASSUMED_RESIDENT_BYTES


class MemoryBudget:
    """What may be held, and what is.

    Attributes:
        limit_bytes: What may be held and reserved.
        held_bytes: What is held now.
        reserved_bytes: What the responses may need that open requests still await.
        peak_bytes: The most that was held since the start.
    """

    __slots__ = (
        "_processes",
        "_undivided_bytes",
        "held_bytes",
        "limit_bytes",
        "peak_bytes",
        "reserved_bytes",
    )

    def __init__(self, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Hold nothing yet."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.peak_bytes = 0
        self._undivided_bytes = limit_bytes  # for all processes of this gateway
        self._processes = 1

    def set_limit_at_rest(self, memory_bytes: int, at_rest_bytes: int) -> None:
        """Set the limit from the memory of the process, and what it uses before it serves clients."""
        free_bytes = memory_bytes - at_rest_bytes
        self._undivided_bytes = max(MIN_BUDGET_BYTES, int(free_bytes * BUDGET_FRACTION))
        self.divide(self._processes)

    def divide(self, processes: int) -> None:
        """Divide the limit between so many processes of this gateway."""
        self._processes = processes
        self.limit_bytes = self._undivided_bytes // processes

    def hold(self, size: int) -> None:
        """Count `size` bytes as held; a negative size releases them."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes; a negative size ends a reservation."""
        self.reserved_bytes += size


class MemoryAccount:
    """The part of a budget that one client connection holds. Changes after `close` have no effect."""

    __slots__ = ("_budget", "_is_closed", "held_bytes", "reserved_bytes")

    def __init__(self, budget: MemoryBudget) -> None:
        """Open an account that holds nothing."""
        self._budget = budget
        self._is_closed = False
        self.held_bytes = 0
        self.reserved_bytes = 0

    def hold(self, size: int) -> None:
        """Count `size` bytes as held; a negative size releases them."""
        if not self._is_closed:
            self.held_bytes += size
            self._budget.hold(size)

    def release(self, size: int) -> None:
        """Count `size` bytes as not held any more."""
        self.hold(-size)

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes; a negative size ends a reservation."""
        if not self._is_closed:
            self.reserved_bytes += size
            self._budget.reserve(size)

    def admits_first(self, size: int) -> bool:
        """Return whether a command of `size` bytes may be taken that no other of its connection precedes.

        Its response needs no place: it is written at once. Reservations of others do not count, so that short
        requests are served while pipelines fill the budget.
        """
        budget = self._budget
        return size + REQUEST_BYTES <= FREE_FRACTION * (budget.limit_bytes - budget.held_bytes)

    def admits_further(self, size: int) -> bool:
        """Return whether a command may be taken behind others, with a place for its response."""
        budget = self._budget
        free_bytes = budget.limit_bytes - budget.held_bytes - budget.reserved_bytes
        needed_bytes = self.held_bytes + self.reserved_bytes + size + REQUEST_BYTES + MAX_RESPONSE_BYTES
        return needed_bytes <= FREE_FRACTION * free_bytes

    def close(self) -> None:
        """Release everything."""
        self.hold(-self.held_bytes)
        self.reserve(-self.reserved_bytes)
        self._is_closed = True
