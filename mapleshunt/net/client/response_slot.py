"""The place of one response in the order of a connection's commands."""

from __future__ import annotations

from typing import Protocol

from ..protocol import command_protocol, resp
from ..request.context import RequestContext


class ResponseWriter(Protocol):
    """The connection that the responses go out on."""

    def flush(self) -> None:
        """Write the responses that are next in order."""


class ResponseSlot:
    """Keeps a response until those to earlier commands are written. It is the request's response sink."""

    __slots__ = ("connection", "context", "data")

    def __init__(self, connection: ResponseWriter) -> None:
        """Take the next place on `connection`, which is flushed once the response is known."""
        self.connection = connection
        self.context: RequestContext | None = None
        self.data: bytes | None = None

    def put(self, data: bytes) -> None:
        """Set the response, and write it if it is next."""
        self.data = data
        self.connection.flush()

    def serve(self, value: memoryview) -> None:
        """Respond with a value."""
        self.put(resp.encode_bulk(value))

    def reject(self, retry_after_ms: float) -> None:
        """Respond that the request is declined."""
        self.put(command_protocol.encode_rejection(retry_after_ms))

    def fail(self) -> None:
        """Respond that the request failed."""
        self.put(command_protocol.FAILURE_REPLY)
