"""Slots that keep the responses of a connection in the order of its commands."""

from __future__ import annotations

from typing import Protocol

from ..protocol import command_protocol, resp
from ..request.context import RequestContext


class ResponseWriter(Protocol):
    """The connection that writes the responses."""

    def flush(self) -> None:
        """Write the completed responses at the head of the queue."""


class ResponseSlot:
    """Response sink of a request: holds its response until those of earlier commands are written."""

    __slots__ = ("connection", "context", "data")

    def __init__(self, connection: ResponseWriter) -> None:
        """Create a slot of `connection`, which is flushed when the response is set."""
        self.connection = connection
        self.context: RequestContext | None = None
        self.data: bytes | None = None

    def put(self, data: bytes) -> None:
        """Set the response, and write it if all earlier ones are complete."""
        self.data = data
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
