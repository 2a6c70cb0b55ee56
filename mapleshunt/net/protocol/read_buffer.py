"""The buffer that a connection is read into, and out of which messages are sliced."""

from __future__ import annotations

from typing import cast

from tornado.iostream import IOStream

CHUNK_BYTES = 4096


class MessageTooLongError(Exception):
    """A message does not fit in what a connection may hold."""


class ReadBuffer:
    """Bytes that were read and not yet consumed: `data[start:end]`.

    Bytes once read are never written over: a full buffer is replaced by a fresh one that begins with
    what is left. A slice stays as it is for as long as somebody holds it.
    """

    def __init__(self, limit: int) -> None:
        self.max_bytes = limit
        self.data = bytearray(CHUNK_BYTES)
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Where the next bytes go."""
        if len(self.data) - self.end < CHUNK_BYTES // 4:
            left = self.end - self.start
            if left >= self.max_bytes:
                raise MessageTooLongError(f"a message of more than {self.max_bytes} bytes")
            data = bytearray(min(self.max_bytes, max(CHUNK_BYTES, 2 * left)))
            data[:left] = memoryview(self.data)[self.start : self.end]
            self.data, self.start, self.end = data, 0, left
        return memoryview(self.data)[self.end :]

    async def fill(self, stream: IOStream) -> None:
        """Read what has come, at least a byte. Raises StreamClosedError at the end."""
        # IOStream reads into any writable buffer; its annotation names only bytearray.
        # Only now add to `end`: `self.end += await ...` would read it before `room` has replaced the buffer.
        count = await stream.read_into(cast(bytearray, self.free_space()), partial=True)
        self.end += count

    def consume(self, end: int) -> None:
        self.start = end
