"""The buffer that a connection is read into, and out of which messages are sliced."""

from __future__ import annotations

from typing import cast

from tornado.iostream import IOStream

CHUNK_BYTES = 4096  # of the first buffer: most messages are shorter
MIN_FREE_BYTES = CHUNK_BYTES // 4  # with less the buffer counts as full, or reads would become tiny


class MessageTooLongError(Exception):
    """A message does not fit in what a connection may hold."""


class ReadBuffer:
    """Bytes that were read and not yet consumed: `data[start:end]`.

    Bytes once read are never written over: a full buffer is replaced by a fresh one that begins with
    what is left. A slice stays as it is for as long as somebody holds it.
    """

    def __init__(self, max_bytes: int) -> None:
        """Begin empty. `max_bytes` bounds the bytes held that are not yet consumed."""
        self.max_bytes = max_bytes
        self.data = bytearray(CHUNK_BYTES)
        self.start = self.end = 0

    def free_space(self) -> memoryview:
        """Return where the next bytes go.

        Raises:
            MessageTooLongError: the buffer is full of bytes that were not consumed.
        """
        if len(self.data) - self.end < MIN_FREE_BYTES:
            self._replace()
        return memoryview(self.data)[self.end :]

    def _replace(self) -> None:
        left = self.end - self.start
        if left >= self.max_bytes:
            raise MessageTooLongError(f"a message of more than {self.max_bytes} bytes")
        data = bytearray(min(self.max_bytes, max(CHUNK_BYTES, 2 * left)))
        data[:left] = memoryview(self.data)[self.start : self.end]
        self.data, self.start, self.end = data, 0, left

    async def fill(self, stream: IOStream) -> None:
        """Read what has come, at least a byte. Cancelling it may lose bytes of the stream.

        Raises:
            StreamClosedError: the stream has ended.
            MessageTooLongError: as `free_space`.
        """
        # IOStream reads into any writable buffer; its annotation names only bytearray. Only now add to
        # `end`: `self.end += await ...` would read it before `free_space` has replaced the buffer.
        count = await stream.read_into(cast(bytearray, self.free_space()), partial=True)
        self.end += count

    def consume(self, end: int) -> None:
        """Drop the bytes before `end`, an index of `data`."""
        self.start = end
