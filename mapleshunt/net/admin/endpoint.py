"""The admin endpoint: an address for operators, HTTP/1.1, one call on each connection.

A client may keep its connection open without a complete call. Connections are therefore limited: at the limit
the one open longest without a response is closed for a new one. A complete call is answered at once.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable

from tornado.iostream import IOStream

from ..client.listener import Acceptor, bind_socket
from ..config import Address
from ..counters import Counters
from ..protocol import http
from .connection import AdminConnection, AdminResponse, CloseReason

MAX_CONNECTIONS = 16
MAX_DESCRIPTORS = MAX_CONNECTIONS + 1  # of the endpoint, its listener included
MAX_UNREAD_BYTES = 2 * http.MAX_HEAD_BYTES  # buffered per connection
BACKLOG = 64  # connections that wait in the kernel to be accepted


class AdminEndpoint:
    """Accepts connections, and answers each call with what `respond(method, path)` returns."""

    def __init__(
        self, address: Address, respond: Callable[[str, str], AdminResponse], counters: Counters
    ) -> None:
        """Bind the address; connections are refused until `open`.

        Raises:
            OSError: the address cannot be bound.
        """
        self._respond = respond
        self._counters = counters
        self._connections: dict[AdminConnection, None] = {}  # the oldest first
        self._listener = bind_socket(address)
        self._acceptor = Acceptor(
            self._listener,
            self._accept,
            counters,
            "door_",
            max_accepts_per_turn=lambda: MAX_CONNECTIONS // 2,
        )

    def open(self) -> None:
        """Listen and accept connections."""
        self._listener.listen(BACKLOG)
        self._acceptor.start()

    def _accept(self, client: socket.socket) -> None:
        if len(self._connections) >= MAX_CONNECTIONS:
            self._evict()
        stream = IOStream(client, max_buffer_size=MAX_UNREAD_BYTES)
        connection = AdminConnection(stream, self._respond, self._remove, self._counters)
        self._connections[connection] = None
        connection.task = asyncio.get_running_loop().create_task(connection.run())

    def _evict(self) -> None:
        """Close the oldest connection without a response or new input, or the oldest of all."""
        unanswered = (
            connection
            for connection in self._connections
            if not connection.answered and not connection.has_new_input()
        )
        oldest = next(iter(self._connections))
        next(unanswered, oldest).close(CloseReason.EVICTED)

    def _remove(self, connection: AdminConnection) -> None:
        del self._connections[connection]

    def close(self) -> None:
        """Close the listener and all connections."""
        self._acceptor.stop()
        self._listener.close()
        for connection in list(self._connections):
            connection.close(CloseReason.SHUTDOWN)
