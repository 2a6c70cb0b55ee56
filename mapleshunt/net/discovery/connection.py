"""A connection to the discovery agent, on which calls follow each other."""

from __future__ import annotations

import socket
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError

from ..config import Address, address_family
from ..protocol import http
from ..protocol.read_buffer import ReadBuffer

MAX_STREAM_BUFFER_BYTES = 2 * http.MAX_MESSAGE_BYTES  # a response, and what may follow it


class DiscoveryConnection:
    """A connection that carries one call at a time. It has no time limits of its own."""

    def __init__(self, agent: Address, hold: Callable[[int], None]) -> None:
        """Create a connection that is not established.

        Args:
            agent: the address of the discovery agent.
            hold: called with the bytes that a list that is being read holds, negative when they are released.

        Raises:
            OSError: no descriptor is left.
        """
        self.agent = agent
        raw = socket.socket(address_family(agent))
        self._stream = IOStream(raw, max_buffer_size=MAX_STREAM_BUFFER_BYTES)
        self._buffer = ReadBuffer(http.MAX_MESSAGE_BYTES, hold)

    async def connect(self) -> None:
        """Establish the connection. Raises `StreamClosedError` if that fails."""
        await self._stream.connect(self.agent)

    async def call(self, path: str) -> http.Response:
        """Make a call; the body of its response is a slice of the buffer, valid until the next call.

        Cancelling it leaves the connection unusable.

        Raises:
            StreamClosedError: the connection has ended.
            ProtocolError: what was received is no response.
            MessageTooLongError: the response is too long.
        """
        buffer = self._buffer
        await self._stream.write(http.encode_get(path, f"{self.agent[0]}:{self.agent[1]}"))
        while not (parsed := http.parse_response(buffer.data, buffer.start, buffer.end)):
            try:
                await buffer.fill(self._stream)
            except StreamClosedError as closed:
                is_reset = closed.real_error is not None
                parsed = http.parse_response(buffer.data, buffer.start, buffer.end, not is_reset)
                if parsed is None:
                    raise
                break
        buffer.consume(parsed[1])
        return parsed[0]

    def received_bytes(self) -> int:
        """Return the number of bytes that have come of the response that is awaited."""
        return self._buffer.unprocessed_bytes()

    def close(self) -> None:
        """Close the connection and release its buffer."""
        self._buffer.release()
        self._stream.close()
