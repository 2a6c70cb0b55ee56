"""The set of all client connections, and the choice of those to close when capacity is needed."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterator

from tornado.iostream import IOStream

from ...lifecycle.lifecycle import DrainStage
from ..counters import Counters
from ..memory import MemoryBudget
from ..policy_driver import PolicyDriver
from ..reasons import ClientCloseReason
from ..request.client_ids import ClientRequestIds
from . import limits
from .connection import ClientConnection
from .read_grants import ReadGrants

EVICTED = ClientCloseReason.EVICTED
REQUEST_ID_BITS = 40  # random bits of the first request ID


class ClientConnections:
    """Owns the client connections and the state they share."""

    def __init__(
        self,
        driver: PolicyDriver,
        counters: Counters,
        seed: int,
        max_open_requests: int,
        memory: MemoryBudget | None = None,
    ) -> None:
        """Create an empty set.

        Args:
            driver: receives the requests.
            counters: the gateway's counters.
            seed: seeds the first request ID.
            max_open_requests: limit on requests that await a response, over all connections.
            memory: limits what all connections may hold; without it nothing is limited.
        """
        self.memory = memory or MemoryBudget()
        self.read_grants = ReadGrants(self.memory, counters)
        self.driver, self.counters = driver, counters
        self.max_open_requests = max_open_requests
        # Gateways identify a request in gossip by part of this ID: with the same IDs after a restart, a
        # process would accept replies to requests of its previous incarnation.
        self.request_ids: Iterator[int] = itertools.count(random.Random(seed).getrandbits(REQUEST_ID_BITS))
        self.connections: dict[ClientConnection, None] = {}  # oldest first
        self.client_ids = ClientRequestIds()
        self.is_ready: Callable[[], bool] = lambda: True
        self.lingering_count = 0  # connections that only wait for the client to close
        # Seconds on the loop's clock: every request received from now on gets its response before then.
        self.final_deadline = math.inf
        self.drain_stage = DrainStage.NONE
        # Called when a connection frees its capacity.
        self.on_connection_ended: Callable[[], None] = lambda: None

    def add(self, stream: IOStream) -> None:
        """Serve a connection."""
        connection = ClientConnection(stream, self)
        self.connections[connection] = None
        self.counters.add("client_connections")
        connection.task = asyncio.get_running_loop().create_task(connection.run())

    def remove(self, connection: ClientConnection) -> None:
        """Remove a connection that is being closed."""
        del self.connections[connection]

    def command_bytes(self) -> int:
        """Return what open requests hold, in bytes."""
        return sum(
            slot.held_bytes
            for connection in self.connections
            for slot in connection.slots
            if slot.data is None
        )

    def read_buffer_bytes(self) -> int:
        """Return what the buffers hold that commands are read into, in bytes."""
        return sum(len(connection.buffer.data) for connection in self.connections)

    def partial_commands(self) -> int:
        """Return how many connections have read a part of a command and none of it is processed."""
        return sum(connection.buffer.start != connection.buffer.end for connection in self.connections)

    def response_bytes(self) -> int:
        """Return what responses hold that wait for their turn or for their client to read, in bytes."""
        return sum(
            connection.output.unwritten_bytes + sum(len(slot.data or b"") for slot in connection.slots)
            for connection in self.connections
        )

    def evict_idle(self, idle_s: float = 0.0) -> bool:
        """Close one connection that is at rest; return whether one was.

        The newest is kept until it has sent a command, which may be in transit.
        Connections that have sent nothing are evicted first: clients that open hundreds of connections and
        send nothing must not displace those that send requests. Next come those that sent a single command,
        since their clients may never send another. Of these and of the others the one that has been idle
        longest is evicted, if it has been so for `idle_s`.
        """
        now = asyncio.get_running_loop().time()
        newest = next(reversed(self.connections), None)
        candidates = [
            connection
            for connection in self.connections
            if connection is not newest or connection.command_count
        ]
        for connection in candidates:
            is_silent = now - connection.last_activity_at > limits.EVICT_SILENT_AFTER_S
            if is_silent and not connection.command_count and connection.end_if_at_rest(EVICTED):
                return True
        candidates.sort(key=lambda connection: (connection.command_count > 1, connection.last_activity_at))
        return any(
            connection.end_if_at_rest(EVICTED)
            for connection in candidates
            if now - connection.last_activity_at >= idle_s
        )

    def end_unfinished(self, count: int, at_once: bool = False) -> int:
        """End up to `count` connections whose command is not complete, to make room for others.

        Those come first whose bytes do not come, then those whose command was begun first. Commands that were
        begun just now are left, unless `at_once` is set. Returns how many were ended.
        """
        now = asyncio.get_running_loop().time()
        unfinished = [
            connection
            for connection in self.connections
            if connection.has_partial_command() and (at_once or connection.is_slow(now))
        ]
        unfinished.sort(
            key=lambda connection: (not connection.is_stalled(now), connection.command_started_at)
        )
        ended = 0
        for connection in unfinished:
            if ended >= count:
                break
            ended += connection.give_way()
        self.counters.add("unfinished_commands_ended", ended)
        return ended

    def close_lingering(self, max_lingering: int) -> None:
        """Close the oldest lingering connections beyond `max_lingering`."""
        for connection in list(self.connections) if self.lingering_count > max_lingering else ():
            if connection.linger_timer is not None and self.lingering_count > max_lingering:
                connection.close_lingering()

    def reap_overdue(self, max_connections: int, idle_s: float) -> None:
        """Close connections that are idle, stall within a command or do not read their responses.

        While there are more than `max_connections`, silent ones and those idle for `idle_s` are evicted.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.close_if_overdue(now)
        while len(self.connections) - self.lingering_count > max_connections and self.evict_idle(idle_s):
            pass

    def apply_drain_stage(self, stage: DrainStage) -> None:
        """Set the stage of the drain, and end the connections that it wants ended now.

        New connections whose client has yet to send are kept for a moment.
        """
        if stage is DrainStage.NONE and self.drain_stage is not stage:
            for connection in self.connections:
                connection.answered_in_drain = False
        self.drain_stage = stage
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections) if stage >= DrainStage.END_AT_REST else ():
            if connection.command_count or now - connection.last_activity_at > limits.EVICT_SILENT_AFTER_S:
                connection.continue_close()
