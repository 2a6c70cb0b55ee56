"""A gateway's idle connections to the backends."""

from __future__ import annotations

from collections.abc import Mapping

from ..fleet.backend import Backend

REUSE_DELAY_MS = 10.0  # after a response, in which the program does not reuse its connection


class IdleConnections:
    """Idle connections of one gateway, by backend: since when each is idle (ms), the oldest first."""

    __slots__ = ("by_backend", "timeout_ms")

    def __init__(self, timeout_ms: float) -> None:
        self.timeout_ms = timeout_ms
        self.by_backend: dict[int, list[float]] = {}

    def take(self, backend: Backend, at: float) -> bool:
        """Close the expired connections to a backend and take the last used; return whether there is one."""
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

    def put(self, server: int, now: float) -> None:
        """Keep a connection to a backend that is idle from now on."""
        self.by_backend.setdefault(server, []).append(now)

    def drop(self, server: int) -> None:
        """Forget the connections to a backend, which broke."""
        self.by_backend.pop(server, None)

    def close_all(self, backends: Mapping[int, Backend]) -> None:
        """Close all connections; the backends no longer count them."""
        for server, idle in self.by_backend.items():
            backend = backends[server]
            backend.connections = max(0, backend.connections - len(idle))
        self.by_backend = {}
