"""The memory that this process holds for its peers, as one budget.

Commands that are not complete, commands that await their response, responses that wait for their turn or for
their client to read, and the buffers that peers are read into are counted here by their owners. What may be
taken from a client follows from what is free in all, not from a limit of each connection: hundreds of
connections within their limits would exceed the memory together.
"""

from __future__ import annotations

import os
from collections.abc import Callable

from .protocol import resp

UNLIMITED_BYTES = 1 << 62
# A response of the longest value with its framing: reserved for each command, whatever its response will be.
MAX_RESPONSE_BYTES = resp.MAX_VALUE_BYTES + 16
REPLY_COPIES = 3  # as it is read, as its value waits for its task, and as it is written
# Objects and timers of an open request, without its message.
REQUEST_BYTES = 8192
# What an open connection costs while nothing long is read or written: its objects and its first read buffer.
CONNECTION_BYTES = 8 << 10
# What a customer costs in the policy's tables.
CUSTOMER_BYTES = 2 << 10
# A connection may hold as much as this fraction of what is free. So a single one gets a ninth of the budget,
# and however many are greedy, a part of it stays free for others (dynamic thresholds of shared buffers).
FREE_FRACTION = 1 / 8
# Of the process's limit. The rest is for samples that come late and for the kernel's accounting.
USABLE_FRACTION = 0.86
# Of the memory that the process does not use at rest: at most this for connections, and of what they leave
# this for the budget and this for customers. The rest is for what is not counted: fragmentation, copies that
# exist for a moment, lists of endpoints.
MAX_CONNECTIONS_FRACTION = 0.6
BUDGET_FRACTION = 0.6
CUSTOMERS_FRACTION = 0.2
KEPT_FRACTION = 1 / 4  # of the budget: never lent to commands that are longer than the first read buffer
OBSERVED_STEP_BYTES = 128 << 10
MIN_BUDGET_BYTES = 16 * MAX_RESPONSE_BYTES  # also where the process uses its limit up at rest
MIN_CONNECTIONS = 64
MIN_CUSTOMERS = 512
# What may be taken even if the process uses up its memory: short requests, a few at a time.
MIN_HEADROOM_BYTES = 256 << 10
STATM_PATH = "/proc/self/statm"
MAX_STATM_BYTES = 256
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
RESIDENT_FIELD, SHARED_FIELD = 1, 2  # of statm, in pages
ASSUMED_AT_REST_BYTES = 20 << 20  # where the kernel does not tell


def private_bytes() -> int | None:
    """Return the memory that this process uses now, without the files that it maps; None if not known."""
    try:
        descriptor = os.open(STATM_PATH, os.O_RDONLY)  # a file object would need 16 KB at each call
        try:
            fields = os.read(descriptor, MAX_STATM_BYTES).split()
        finally:
            os.close(descriptor)
        return (int(fields[RESIDENT_FIELD]) - int(fields[SHARED_FIELD])) * PAGE_BYTES
    except (OSError, ValueError, IndexError):
        return None


class MemoryPlan:
    """How the memory of one process is divided.

    Attributes:
        usable_bytes: What the process may use in all.
        budget_bytes: What may be held for peers.
        max_connections: How many connections it may have open, to clients and endpoints together.
        max_customers: How many customers the policy may know.
    """

    __slots__ = ("budget_bytes", "max_connections", "max_customers", "usable_bytes")

    def __init__(
        self, usable_bytes: int, budget_bytes: int, max_connections: int, max_customers: int
    ) -> None:
        """Store the parts."""
        self.usable_bytes, self.budget_bytes = usable_bytes, budget_bytes
        self.max_connections, self.max_customers = max_connections, max_customers


def plan_memory(memory_bytes: int, at_rest_bytes: int, max_connections: int, processes: int) -> MemoryPlan:
    """Divide the memory of one of `processes` processes of a gateway.

    Args:
        memory_bytes: the limit of the gateway, over which it is killed.
        at_rest_bytes: what a process uses before it serves clients.
        max_connections: what the descriptors allow.
        processes: how many processes share the limit.
    """
    usable_bytes = int(USABLE_FRACTION * memory_bytes) // processes
    free_bytes = max(0, usable_bytes - at_rest_bytes)
    allowed = int(MAX_CONNECTIONS_FRACTION * free_bytes / CONNECTION_BYTES)
    max_connections = min(max_connections, max(MIN_CONNECTIONS, allowed))
    left_bytes = free_bytes - max_connections * CONNECTION_BYTES
    return MemoryPlan(
        usable_bytes=usable_bytes,
        budget_bytes=max(MIN_BUDGET_BYTES // processes, int(BUDGET_FRACTION * left_bytes)),
        max_connections=max_connections,
        max_customers=max(MIN_CUSTOMERS, int(CUSTOMERS_FRACTION * left_bytes / CUSTOMER_BYTES)),
    )


def fits_processes(memory_bytes: int, at_rest_bytes: int, processes: int) -> bool:
    """Return whether so many processes can serve clients within the limit of a gateway."""
    usable_bytes = int(USABLE_FRACTION * memory_bytes) // processes
    return usable_bytes - at_rest_bytes >= MIN_BUDGET_BYTES + MIN_CONNECTIONS * CONNECTION_BYTES


class MemoryBudget:
    """What may be held, and what is.

    Attributes:
        limit_bytes: What may be held and reserved.
        held_bytes: What is held now.
        reserved_bytes: What the responses may need that open requests still await.
        peak_bytes: The most that was held since the start.
        on_released: Called when something is released, while somebody waits for that.
        on_grown: Called when what is held has grown by `OBSERVED_STEP_BYTES` since the last observation.
    """

    __slots__ = (
        "_headroom_bytes",
        "_observed_held_bytes",
        "held_bytes",
        "limit_bytes",
        "on_grown",
        "on_released",
        "peak_bytes",
        "reserved_bytes",
    )

    def __init__(self, limit_bytes: int = UNLIMITED_BYTES) -> None:
        """Hold nothing yet."""
        self.limit_bytes = limit_bytes
        self.held_bytes = 0
        self.reserved_bytes = 0
        self.peak_bytes = 0
        self.on_released: Callable[[], None] | None = None
        self.on_grown: Callable[[], None] | None = None
        # How much more the process may use, and what was held when that was observed.
        self._headroom_bytes = UNLIMITED_BYTES
        self._observed_held_bytes = 0

    def observe(self, headroom_bytes: int) -> None:
        """Take in how much more memory this process may use, whatever holds what it uses."""
        self._headroom_bytes = max(MIN_HEADROOM_BYTES, headroom_bytes)
        self._observed_held_bytes = self.held_bytes

    def free_bytes(self) -> int:
        """Return what may still be held."""
        grown_bytes = max(0, self.held_bytes - self._observed_held_bytes)  # released memory is used again
        return min(self.limit_bytes - self.held_bytes, self._headroom_bytes - grown_bytes)

    def hold(self, size: int) -> None:
        """Count `size` bytes as held; a negative size releases them."""
        self.held_bytes += size
        self.peak_bytes = max(self.peak_bytes, self.held_bytes)
        if size < 0 and self.on_released is not None:
            self.on_released()
        elif self.held_bytes - self._observed_held_bytes > OBSERVED_STEP_BYTES and self.on_grown is not None:
            self.on_grown()

    def reserve(self, size: int) -> None:
        """Reserve `size` bytes; a negative size ends a reservation."""
        self.reserved_bytes += size

    def admits_reply(self, size: int) -> bool:
        """Return whether a reply may be read into `size` further bytes, and copied for its client."""
        return REPLY_COPIES * size <= self.free_bytes()

    def admits_long(self, size: int) -> bool:
        """Return whether a connection may read a command of `size` bytes, longer than its first buffer.

        Short commands keep their part, and reservations do not count: they are served while others fill the
        budget.
        """
        return size <= FREE_FRACTION * (self.free_bytes() - KEPT_FRACTION * self.limit_bytes)


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
        return size + REQUEST_BYTES <= FREE_FRACTION * self._budget.free_bytes()

    def admits_further(self, size: int) -> bool:
        """Return whether a command may be taken behind others, with a place for its response."""
        budget = self._budget
        needed_bytes = self.held_bytes + self.reserved_bytes + size + REQUEST_BYTES + MAX_RESPONSE_BYTES
        return needed_bytes <= FREE_FRACTION * (budget.free_bytes() - budget.reserved_bytes)

    def close(self) -> None:
        """Release everything."""
        self.hold(-self.held_bytes)
        self.reserve(-self.reserved_bytes)
        self._is_closed = True
