"""The endpoints that discovery lists, and the pools of connections to them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence

from ...policy import EndpointInfo, EndpointState, EndpointUpdate, UpdateKind
from ..config import Address
from ..counters import Counters
from ..memory import MemoryBudget
from ..reasons import UpstreamCloseReason
from .connection import REUSE_DELAY_S, EndpointPool, UpstreamConnection
from .endpoint import Endpoint
from .errors import NoConnectionAvailableError

# Time in which a reduced maximum idle time doubles.
MAX_IDLE_DOUBLING_S = 5.0
MAX_DOUBLINGS = 60.0  # keeps the power of 2 within a float after days without a reduction


def _unknown_age(_started_at_ms: float) -> float | None:
    return None


class EndpointGroup:
    """The owner of the endpoint list and of all connections to endpoints."""

    def __init__(
        self,
        counters: Counters,
        dial_timeout_ms: float,
        idle_timeout_ms: float,
        max_connections: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Start without endpoints.

        Args:
            counters: the gateway's counters.
            dial_timeout_ms: limit on the time of a dial.
            idle_timeout_ms: limit on the time for which an idle connection is kept.
            max_connections: limit on the open connections to all endpoints together.
            memory: counts what the connections hold; without it nothing is limited.
        """
        self.counters = counters
        self.memory = memory or MemoryBudget()
        self.dial_timeout_ms = dial_timeout_ms
        self.idle_timeout_ms = idle_timeout_ms
        self.max_connections = max_connections
        self.pools: dict[int, EndpointPool] = {}  # by the endpoint's number
        self.connections: set[UpstreamConnection] = set()
        self.reduced_max_idle_s = idle_timeout_ms / 1000
        self.reduced_at = 0.0  # s, on the loop's clock
        self._updates = 0  # lists and changes of it that were applied

    # The endpoint list

    def apply_endpoint_list(
        self,
        kind: UpdateKind,
        endpoints: Sequence[Endpoint],
        age: Callable[[float], float | None] = _unknown_age,
    ) -> EndpointUpdate:
        """Apply a list or a change of it, and return the policy's event.

        Args:
            kind: any kind but "partial" replaces the list.
            endpoints: the endpoints that discovery sent.
            age: returns for how many ms an endpoint started at a Unix time, in ms, is up; None if unknown.
        """
        self._updates += 1
        for endpoint in endpoints:
            pool = self.pools.setdefault(endpoint.number, EndpointPool(endpoint, listed_as=self._updates))
            if not pool.endpoint.is_same_process(endpoint):
                pool.listed_as, pool.longest_extra_s = self._updates, None
                _close_idle(pool, UpstreamCloseReason.ENDPOINT_REPLACED)
            pool.endpoint = endpoint
        self._remove_unlisted(kind, endpoints)
        listed = {endpoint.number: endpoint for endpoint in endpoints}
        listed.update({pool.endpoint.number: pool.endpoint for pool in self._mark_replaced()})
        entries = tuple(
            EndpointInfo(
                entry.number,
                entry.zone,
                entry.cell,
                self._state(entry),
                entry.started_at_ms,
                age(entry.started_at_ms),
            )
            for entry in listed.values()
        )
        return EndpointUpdate(kind, entries)

    def _state(self, endpoint: Endpoint) -> EndpointState:
        pool = self.pools.get(endpoint.number)
        return "gone" if pool is not None and pool.is_replaced else endpoint.state

    def _mark_replaced(self) -> list[EndpointPool]:
        """Mark endpoints at whose address another process has come up, and return those that changed.

        An address has one process: the one that started last, or else was listed last. The list may still
        have the other one.
        """
        latest: dict[Address, EndpointPool] = {}
        for pool in self.pools.values():
            if latest.setdefault(pool.address, pool).came_before(pool):
                latest[pool.address] = pool
        changed = []
        for pool in self.pools.values():
            is_replaced = latest[pool.address] is not pool
            if is_replaced != pool.is_replaced:
                pool.is_replaced = is_replaced
                changed.append(pool)
            if is_replaced:
                _close_idle(pool, UpstreamCloseReason.ENDPOINT_REPLACED)
        return changed

    def _remove_unlisted(self, kind: UpdateKind, endpoints: Sequence[Endpoint]) -> None:
        """Remove endpoints that are gone or unlisted: new ones have new ids, so the pools would grow."""
        listed = {endpoint.number for endpoint in endpoints}
        for number, pool in list(self.pools.items()):
            if pool.endpoint.state == "gone" or (kind != "partial" and number not in listed):
                _close_idle(pool, UpstreamCloseReason.ENDPOINT_REMOVED)
                del self.pools[number]

    def may_send(self, number: int) -> bool:
        """Return whether the list has the endpoint as ready for new requests."""
        pool = self.pools.get(number)
        return pool is not None and pool.endpoint.state == "ready" and not pool.is_replaced

    # Connections

    def set_connection_limit(self, max_connections: int) -> None:
        """Set the limit of connections; idle ones beyond it are closed now, the longest idle first."""
        self.max_connections = max_connections
        idle = [connection for pool in self.pools.values() for connection in pool.idle]
        idle.sort(key=lambda connection: connection.idle_since)
        for connection in idle[: max(0, len(self.connections) - max_connections)]:
            connection.close(UpstreamCloseReason.EVICTED)

    def take_idle(self, number: int, is_at_most_once: bool = False) -> UpstreamConnection | None:
        """Take the most recently used reusable connection out of the endpoint's pool, or return None.

        An attempt that must not run twice gets none of a process that has sent bytes behind a reply: what
        comes later than any time that was seen would be taken for its reply.
        """
        pool = self.pools.get(number)
        if pool is None or (is_at_most_once and pool.longest_extra_s is not None):
            return None
        now = asyncio.get_running_loop().time()
        min_idle_since, max_idle_since = now - self.max_idle_s(now), now - pool.reuse_delay_s()
        for connection in reversed(list(pool.idle)):
            if min_idle_since <= connection.idle_since <= max_idle_since:
                if connection.is_reusable():
                    connection.pool.idle.remove(connection)
                    return connection
                connection.close(UpstreamCloseReason.ENDPOINT_CLOSED)
        return None

    def new_connection(self, number: int) -> UpstreamConnection:
        """Create a connection to an endpoint, still to be dialled; at the limit an idle one is closed for it.

        Raises:
            NoConnectionAvailableError: the endpoint is not listed, or the limit or descriptors are used up.
        """
        pool = self.pools.get(number)
        if pool is None:
            raise NoConnectionAvailableError(f"endpoint {number} is not listed")
        if len(self.connections) >= self.max_connections:
            self._evict_idle()
        try:
            return UpstreamConnection(pool, self)
        except OSError as error:
            self.counters.add("out_of_descriptors")
            raise NoConnectionAvailableError(f"cannot create a socket: {error}") from None

    def _evict_idle(self) -> None:
        longest_idle = [pool.idle[0] for pool in self.pools.values() if pool.idle]
        if not longest_idle:
            raise NoConnectionAvailableError("connection limit reached and no connection is idle")
        min(longest_idle, key=lambda connection: connection.idle_since).close(UpstreamCloseReason.EVICTED)

    def is_current(self, connection: UpstreamConnection) -> bool:
        """Return whether the connection's endpoint is still listed with the same address and start."""
        pool, endpoint = connection.pool, connection.endpoint
        is_listed = self.pools.get(endpoint.number) is pool and not pool.is_replaced
        return is_listed and pool.endpoint.is_same_process(endpoint)

    def release(self, connection: UpstreamConnection) -> None:
        """Return a connection to its pool after an attempt, or close it if it is no longer current."""
        if connection not in self.connections:
            return
        if not self.is_current(connection):
            connection.close(UpstreamCloseReason.ENDPOINT_REPLACED)
        else:
            connection.idle_since = asyncio.get_running_loop().time()
            connection.pool.idle.append(connection)

    # Idle connections

    def max_idle_s(self, now: float) -> float:
        """Return for how many s an idle connection is trusted to be still open at the endpoint.

        `now` is s on the loop's clock.
        """
        doublings = min(MAX_DOUBLINGS, (now - self.reduced_at) / MAX_IDLE_DOUBLING_S)
        return min(self.idle_timeout_ms / 1000, self.reduced_max_idle_s * 2**doublings)

    def reduce_max_idle(self, idle_s: float) -> None:
        """Lower the maximum idle time: a connection idle for `idle_s` was found closed by its next attempt.

        That attempt counts as one that may have run. Endpoints may close connections without notice and
        sooner than the settings say; dialling again costs far less than such an attempt.
        """
        now = asyncio.get_running_loop().time()
        self.counters.add("stale_connections")
        self.reduced_max_idle_s = max(REUSE_DELAY_S, min(self.max_idle_s(now), idle_s) / 2)
        self.reduced_at = now

    def close_stale_idle(self) -> None:
        """Close connections that were idle for too long, before the endpoint does."""
        now = asyncio.get_running_loop().time()
        min_idle_since = now - self.max_idle_s(now)
        for pool in self.pools.values():
            for connection in [idle for idle in pool.idle if idle.idle_since < min_idle_since]:
                connection.close(UpstreamCloseReason.IDLE)

    def close(self) -> None:
        """Close all connections, when the gateway shuts down."""
        for connection in list(self.connections):
            connection.close(UpstreamCloseReason.SHUTDOWN)


def _close_idle(pool: EndpointPool, reason: UpstreamCloseReason) -> None:
    for connection in list(pool.idle):
        connection.close(reason)
