"""A gateway's idle connections to the backends."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.backend import Backend

REUSE_DELAY_MS = 25.0  # after a response, a gateway does not reuse the connection for this time


class IdleConnections:
    """Idle connections of one gateway, by backend: the times since which they are idle (ms), oldest first."""

    __slots__ = ("by_backend", "timeout_ms")

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = timeout_ms
        self.by_backend: dict[int, list[float]] = {}

    def take(self, backend: Backend, at: float) -> bool:
        """Close expired connections to a backend; take the last used reusable one if there is one."""
        pool = self.by_backend.get(backend.number)
        if not pool:
            return False
        while pool and pool[0] < at - self.timeout_ms:
            del pool[0]
            backend.connections -= 1
        index = len(pool) - 1
        while index >= 0 and pool[index] > at - REUSE_DELAY_MS:
            index -= 1
        if index < 0:
            return False
        del pool[index]
        return True

    def put(self, number: int, now: float) -> None:
        """Add a connection to a backend that is idle from now on."""
        self.by_backend.setdefault(number, []).append(now)

    def drop(self, number: int) -> None:
        """Remove the connections to a backend after they broke."""
        self.by_backend.pop(number, None)

    def close_all(self, backends: Mapping[int, Backend]) -> None:
        """Close all connections; the backends no longer count them."""
        for number, idle in self.by_backend.items():
            backend = backends[number]
            backend.connections = max(0, backend.connections - len(idle))
        self.by_backend = {}
