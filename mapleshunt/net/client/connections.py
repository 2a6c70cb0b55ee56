"""All client connections: the places they take, and which of them are closed to make room."""

from __future__ import annotations

import asyncio
import itertools
import math
import random
from collections.abc import Callable, Iterator

from tornado.iostream import IOStream

from ..counters import Counters
from ..policy_driver import PolicyDriver
from ..reasons import ClientCloseReason
from . import limits
from .connection import ClientConnection

REQUEST_ID_BITS = 40  # of the first request's number


class ClientConnections:
    """Owns the client connections and what they share."""

    def __init__(self, driver: PolicyDriver, counters: Counters, seed: int, max_open_requests: int) -> None:
        """Begin without connections.

        Args:
            driver: takes the requests.
            counters: the gateway's counters.
            seed: of the first request's number.
            max_open_requests: bound on the requests of all connections that await a response.
        """
        self.driver, self.counters = driver, counters
        self.max_open_requests = max_open_requests
        # Gateways name a request to each other by a part of its number: a process that began with the same
        # numbers after a restart would meet the replies to questions from before.
        self.request_ids: Iterator[int] = itertools.count(random.Random(seed).getrandbits(REQUEST_ID_BITS))
        self.connections: dict[ClientConnection, None] = {}  # the oldest first
        self.open_client_ids: set[str] = set()  # the clients' ids of the requests that await a response
        self.is_ready: Callable[[], bool] = lambda: True
        self.lingering_count = 0  # of the connections: those that only wait for their clients to close them
        # s, on the loop's clock: by then every request taken from now on has its response.
        self.final_deadline = math.inf
        self.draining = False  # a connection is closed as soon as nothing is owed on it
        self.rejecting_new_requests = False  # all but the first request of a connection are rejected
        self.on_connection_ended: Callable[[], None] = (
            lambda: None
        )  # called as a connection gives up its place

    def add(self, stream: IOStream, backlog_wait_s: float = 0.0) -> None:
        """Serve a connection; what it brought may have waited in the backlog for so long at most."""
        connection = ClientConnection(stream, self, backlog_wait_s)
        self.connections[connection] = None
        self.counters.add("client_connections")
        connection.task = asyncio.get_running_loop().create_task(connection.run())

    def remove(self, connection: ClientConnection) -> None:
        """Give up the place of a connection that is closed."""
        del self.connections[connection]

    def evict_idle(self, idle_s: float = 0.0) -> bool:
        """Close a connection with nothing owed on it for `idle_s`, but for the newest; False if none is.

        Those that have brought nothing go first: clients that connect by hundreds and send nothing must not
        take the places of those that do.
        """
        now = asyncio.get_running_loop().time()
        newest = next(reversed(self.connections), None)
        longest_idle: ClientConnection | None = None
        for one in self.connections:
            if one is newest or one.closing or now - one.last_activity_at < idle_s or one.is_busy():
                continue
            is_silent = not one.command_count and now - one.last_activity_at > limits.EVICT_SILENT_AFTER_S
            if is_silent and not one.has_unread_bytes():
                longest_idle = one
                break
            is_longer = longest_idle is None or one.last_activity_at < longest_idle.last_activity_at
            if is_longer and not one.has_unread_bytes():
                longest_idle = one
        if longest_idle is not None:
            longest_idle.start_close(ClientCloseReason.EVICTED)
        return longest_idle is not None

    def close_lingering(self, max_lingering: int) -> None:
        """Close those that have lingered longest, so that no more than `max_lingering` do."""
        for connection in list(self.connections) if self.lingering_count > max_lingering else ():
            if connection.linger_timer is not None and self.lingering_count > max_lingering:
                connection.close_lingering()

    def reap_overdue(self, max_connections: int, idle_s: float) -> None:
        """Close connections that are idle, stall in a command, or do not read their responses.

        Of more than `max_connections` those with nothing owed for `idle_s` are closed too.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.close_if_overdue(now)
        while len(self.connections) - self.lingering_count > max_connections and self.evict_idle(idle_s):
            pass

    def close_idle(self, draining: bool, rejecting_new_requests: bool) -> None:
        """Close, while draining, connections on which nothing is owed; new ones may send a request first.

        Args:
            draining: connections are closed as soon as nothing is owed on them, now and from now on.
            rejecting_new_requests: all but a connection's first request are rejected.
        """
        self.draining, self.rejecting_new_requests = draining, rejecting_new_requests
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections) if draining else ():
            if connection.command_count or now - connection.last_activity_at > limits.EVICT_SILENT_AFTER_S:
                connection.continue_close()
