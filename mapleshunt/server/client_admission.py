"""Admission of client connections.

At the limit an idle connection is evicted for each new one. If none is idle, new connections wait in the
kernel's backlog: one that is accepted and closed may have carried a request, which would be lost.
"""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream

from ..lifecycle.lifecycle import Lifecycle
from ..net import log
from ..net.client.connections import ClientConnections
from ..net.client.listener import MAX_ACCEPTS_PER_TURN, Acceptor
from ..net.counters import Counters
from ..net.protocol.read_buffer import CHUNK_BYTES
from .descriptor_budget import DescriptorBudget

BACKLOG = 512  # connections that the kernel queues until they are accepted
MAX_LINGERING = 8  # connections that only wait for the client to close, beyond those that are served
CROWDED_IDLE_TIMEOUT_S = 0.1  # idle time allowed between commands above the eviction threshold
# At the limit each new connection evicts another, which may be about to send: between a few of them the loop
# reads what has arrived.
MAX_EVICTIONS_PER_TURN = 8
RETRY_INTERVAL_S = 0.02  # between two looks for connections to end while accepting is paused


class ClientAdmission:
    """Accepts client connections while the lifecycle and the descriptor budget allow it."""

    def __init__(
        self,
        connections: ClientConnections,
        budget: DescriptorBudget,
        lifecycle: Lifecycle,
        counters: Counters,
    ) -> None:
        """Start without a listener."""
        self.connections = connections
        self.budget = budget
        self.accepting = False
        self.listeners: list[socket.socket] = []
        self.acceptors: list[Acceptor] = []
        self._lifecycle = lifecycle
        self._counters = counters
        self._retry_timer: asyncio.TimerHandle | None = None  # while accepting is paused for lack of room
        connections.on_connection_ended = self.resume_accepting

    def add_listener(self, listener: socket.socket) -> None:
        """Accept from this socket too."""
        acceptor = Acceptor(
            listener,
            self._accept,
            self._counters,
            on_descriptors_exhausted=self.free_descriptors,
            max_accepts_per_turn=self.max_accepts_per_turn,
        )
        self.listeners.append(listener)
        self.acceptors.append(acceptor)

    def start_listening(self) -> None:
        """Let the kernel queue connections, which it refuses until now."""
        for listener in self.listeners:
            listener.listen(BACKLOG)

    def _accept(self, connection: socket.socket) -> None:
        self.connections.add(IOStream(connection, read_chunk_size=CHUNK_BYTES))
        if not self.has_capacity() and not self._make_room():
            log.log_event("accepting_paused", client_connections=len(self.connections.connections))
            self.stop_accepting()
            self._retry_timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._retry)
        if not self.has_capacity():
            self.connections.close_lingering(MAX_LINGERING)

    def _make_room(self) -> bool:
        """End connections whose commands do not come, or evict an idle one; return whether there is room.

        Clients at rest have done nothing wrong: they give way last.
        """
        return self.connections.end_unfinished(MAX_EVICTIONS_PER_TURN) > 0 or self.connections.evict_idle()

    def _retry(self) -> None:
        """While accepting is paused, end connections whose commands have not come meanwhile."""
        self._retry_timer = None
        if not self.accepting and not self.has_capacity():
            self.connections.end_unfinished(MAX_ACCEPTS_PER_TURN)
            if not self.accepting:
                self._retry_timer = asyncio.get_running_loop().call_later(RETRY_INTERVAL_S, self._retry)

    def free_descriptors(self) -> None:
        """Close an idle connection and all lingering ones, because no descriptor is left."""
        self.connections.evict_idle()
        self.connections.close_lingering(0)

    def has_capacity(self) -> bool:
        """Return whether one more connection may be accepted."""
        return self._capacity() > 0

    def _capacity(self) -> int:
        """Return how many more connections there is room for; `MAX_LINGERING` lingering ones do not count."""
        lingering = min(self.connections.lingering_count, MAX_LINGERING)
        return self.budget.max_clients - (len(self.connections.connections) - lingering)

    def max_accepts_per_turn(self) -> int:
        """Return how many connections a turn accepts: those that have room, or a few that evict others."""
        return max(MAX_EVICTIONS_PER_TURN, min(MAX_ACCEPTS_PER_TURN, self._capacity()))

    def reap_overdue(self) -> None:
        """Close overdue connections, and idle ones above the eviction threshold. Called periodically."""
        self.connections.reap_overdue(self.budget.eviction_threshold, CROWDED_IDLE_TIMEOUT_S)

    def resume_accepting(self) -> None:
        """Resume accepting if it is paused and the lifecycle and the descriptor budget allow it."""
        now = asyncio.get_running_loop().time()
        if not self.accepting and self._lifecycle.accepts_connections(now) and self.has_capacity():
            log.log_event("accepting_resumed", client_connections=len(self.connections.connections))
            self.start_accepting()

    def start_accepting(self) -> None:
        """Accept connections from all listeners."""
        self.accepting = True
        for acceptor in self.acceptors:
            acceptor.start()

    def stop_accepting(self) -> None:
        """Leave new connections in the kernel's backlog."""
        self.accepting = False
        if self._retry_timer is not None:
            self._retry_timer.cancel()
            self._retry_timer = None
        for acceptor in self.acceptors:
            acceptor.stop()

    async def accept_backlog(self) -> None:
        """Accept the connections that the kernel has queued, in place of idle and unfinished ones.

        Cancelling it leaves the others in the backlog.
        """
        for acceptor in self.acceptors:
            await acceptor.accept_backlog(self._has_room_for_backlog)

    def _has_room_for_backlog(self) -> bool:
        if self.has_capacity() or self.connections.evict_idle():
            return True
        return self.connections.end_unfinished(MAX_ACCEPTS_PER_TURN, at_once=True) > 0

    def close_listeners(self) -> None:
        """Stop accepting and close the sockets. Connections queued on an unshared socket are reset."""
        self.stop_accepting()
        for listener in self.listeners:
            listener.close()
