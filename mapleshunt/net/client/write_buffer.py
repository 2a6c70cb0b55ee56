"""The responses that are written to one client, and those of them that the kernel has not taken yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from ..reasons import ClientCloseReason


class WriteError(Exception):
    """Responses cannot be written: the connection has to be closed for `reason`."""

    def __init__(self, reason: ClientCloseReason) -> None:
        """Store the reason."""
        super().__init__(reason)
        self.reason = reason


class WriteBuffer:
    """Writes complete responses to a client's stream.

    Attributes:
        unwritten_bytes: Bytes that the stream has accepted and the kernel has not taken.
        refused_bytes: Bytes that the stream has refused, so that they are lost.
        last_write_at: When a response was last written, in s on the loop's clock; 0 if none was.
    """

    def __init__(self, stream: IOStream) -> None:
        """Write to `stream`."""
        self._stream = stream
        self._pending: asyncio.Future[None] | None = None  # the last write
        self.unwritten_bytes = 0
        self.refused_bytes = 0
        self.last_write_at = 0.0

    def write(self, responses: list[bytes], now: float) -> None:
        """Write responses, in order.

        Raises:
            WriteError: the stream is closed, or refuses them.
        """
        self.last_write_at = now
        data = b"".join(responses)
        try:
            self._pending = self._stream.write(data)
        except StreamBufferFullError:
            self.refused_bytes += len(data)
            raise WriteError(ClientCloseReason.SLOW_CLIENT) from None
        except StreamClosedError:
            raise WriteError(ClientCloseReason.CLIENT_RESET) from None
        if not self._pending.done():
            self.unwritten_bytes += len(data)
            self._pending.add_done_callback(lambda _: self._written(len(data)))

    def _written(self, size: int) -> None:
        self.unwritten_bytes -= size

    def is_writing(self) -> bool:
        """Return whether the kernel has yet to take a part of a response."""
        return self._pending is not None and not self._pending.done()

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the responses written so far are in the kernel, or their stream has closed."""
        assert self._pending is not None
        self._pending.add_done_callback(lambda _: callback())

    def unsent_for(self, now: float) -> float | None:
        """Return for how many seconds a response is not completely in the kernel; None if all are."""
        return now - self.last_write_at if self.is_writing() or self.refused_bytes else None
