"""Slots that keep the responses of a connection in the order of its commands."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

from ..memory import MAX_RESPONSE_BYTES, REQUEST_BYTES, MemoryAccount
from ..protocol import command_protocol, resp
from ..request.context import RequestContext

if TYPE_CHECKING:  # a protocol class costs memory in every gateway

    class ResponseWriter(Protocol):
        """The connection that writes the responses."""

        memory: MemoryAccount

        def flush(self) -> None:
            """Write the completed responses at the head of the queue."""


class ResponseSlot:
    """Response sink of a request: holds its response until those of earlier commands are written.

    Attributes:
        context: The request that awaits the response; None if none does.
        data: The response, or None until it is set.
        commands: Number of commands that the response answers.
        held_bytes: What the slot's command or response holds of the connection's memory.
        reserved_bytes: What is reserved for the response.
    """

    __slots__ = ("commands", "connection", "context", "data", "held_bytes", "reserved_bytes")

    def __init__(self, connection: ResponseWriter, commands: int = 1) -> None:
        """Create a slot of `connection`, which is flushed when the response is set."""
        self.connection = connection
        self.context: RequestContext | None = None
        self.data: bytes | None = None
        self.commands = commands
        self.held_bytes = self.reserved_bytes = 0

    def hold_request(self, message_bytes: int) -> None:
        """Count an open request with a message of that size, and reserve a place for its response."""
        self.held_bytes, self.reserved_bytes = message_bytes + REQUEST_BYTES, MAX_RESPONSE_BYTES
        self.connection.memory.hold(self.held_bytes)
        self.connection.memory.reserve(MAX_RESPONSE_BYTES)

    def put(self, data: bytes) -> None:
        """Set the response, and write it if all earlier ones are complete.

        The request and its message are not needed any more. The response counts until it is written.
        """
        self.data, self.context = data, None
        memory, size = self.connection.memory, len(data)
        memory.hold(size - self.held_bytes)
        memory.reserve(-self.reserved_bytes)
        self.held_bytes, self.reserved_bytes = size, 0
        self.connection.flush()

    def serve(self, value: memoryview) -> None:
        """Respond with a value."""
        self.put(resp.encode_bulk(value))

    def reject(self, retry_after_ms: float) -> None:
        """Respond that the request is rejected."""
        self.put(command_protocol.encode_rejection(retry_after_ms))

    def fail(self) -> None:
        """Respond that the request failed."""
        self.put(command_protocol.FAILURE_REPLY)
