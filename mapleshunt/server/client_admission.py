"""When client connections are accepted.

At the limit an idle connection is evicted for a new one, and with none idle new ones wait in the kernel: one
that was accepted and closed might have carried a request, which would be lost.
"""

from __future__ import annotations

import asyncio
import socket

from tornado.iostream import IOStream

from ..lifecycle.lifecycle import Lifecycle
from ..net import log
from ..net.client.connections import ClientConnections
from ..net.client.listener import Acceptor
from ..net.counters import Counters
from .descriptor_budget import DescriptorBudget

BACKLOG = 512  # connections that wait in the kernel to be accepted
MAX_LINGERING = 8  # connections that only wait for their clients to close, beside those that are served
EVICT_RESTED_AFTER_S = 0.1  # without a pending response, where there are many connections


class ClientAdmission:
    """Accepts client connections while the life cycle and the descriptor budget allow it."""

    def __init__(
        self,
        connections: ClientConnections,
        budget: DescriptorBudget,
        lifecycle: Lifecycle,
        counters: Counters,
        max_unwritten_bytes: int,
    ) -> None:
        """Wire it, without a listener. A client that does not read holds `max_unwritten_bytes` at most."""
        self.connections = connections
        self.budget = budget
        self.max_unwritten_bytes = max_unwritten_bytes
        self.accepting = False
        self.listeners: list[socket.socket] = []
        self.acceptors: list[Acceptor] = []
        self._lifecycle = lifecycle
        self._counters = counters
        connections.on_connection_ended = self.resume_accepting

    def add_listener(self, listener: socket.socket, inherited: bool) -> None:
        """Accept from this socket too. An inherited one listened before this process began."""
        acceptor = Acceptor(
            listener,
            self._accept,
            self._counters,
            on_descriptors_exhausted=self.free_descriptors,
            inherited=inherited,
        )
        self.listeners.append(listener)
        self.acceptors.append(acceptor)

    def start_listening(self) -> None:
        """Let the kernel queue connections; refused until now."""
        for listener in self.listeners:
            listener.listen(BACKLOG)

    def _accept(self, connection: socket.socket) -> None:
        waited = max(acceptor.max_backlog_wait_s() for acceptor in self.acceptors)
        self.connections.add(IOStream(connection, max_write_buffer_size=self.max_unwritten_bytes), waited)
        if not self.has_room() and not self.connections.evict_idle():
            log.log_event("accepting_paused", client_connections=len(self.connections.connections))
            self.stop_accepting()
        if not self.has_room():
            self.connections.close_lingering(MAX_LINGERING)

    def free_descriptors(self) -> None:
        """Close what can be closed in good order: no descriptor is left."""
        self.connections.evict_idle()
        self.connections.close_lingering(0)

    def has_room(self) -> bool:
        """Tell whether one more connection may be accepted. A few that only linger are not counted."""
        lingering = min(self.connections.lingering_count, MAX_LINGERING)
        return len(self.connections.connections) - lingering < self.budget.max_clients

    def reap_overdue(self) -> None:
        """Close connections that are overdue, and rested ones where there are many. Called periodically."""
        self.connections.reap_overdue(self.budget.many_clients, EVICT_RESTED_AFTER_S)

    def resume_accepting(self) -> None:
        """Accept again, if accepting was paused and there is room by now."""
        now = asyncio.get_running_loop().time()
        if not self.accepting and self._lifecycle.accepts_connections(now) and self.has_room():
            log.log_event("accepting_resumed", client_connections=len(self.connections.connections))
            self.start_accepting()

    def start_accepting(self) -> None:
        """Accept connections from all listeners."""
        self.accepting = True
        for acceptor in self.acceptors:
            acceptor.start()

    def stop_accepting(self) -> None:
        """Leave new connections in the kernel's queue."""
        self.accepting = False
        for acceptor in self.acceptors:
            acceptor.stop()

    async def accept_backlog(self) -> None:
        """Accept what the kernel has queued, as long as there is room.

        Cancelling it leaves the rest in the queue.
        """
        for acceptor in self.acceptors:
            await acceptor.accept_backlog(self.has_room)

    def close_listeners(self) -> None:
        """Stop accepting, and close the sockets: the kernel resets what is still queued."""
        self.stop_accepting()
        for listener in self.listeners:
            listener.close()
