"""The buffer that a connection is read into and messages are sliced from."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import cast

from tornado.iostream import IOStream

CHUNK_BYTES = 2048  # initial buffer size; most messages are shorter
MIN_FREE_BYTES = CHUNK_BYTES // 4  # with less free, the buffer is replaced to avoid tiny reads


class MessageTooLongError(Exception):
    """A message exceeds the buffer's limit. The text may be sent to the client."""


def ignore_size(_change: int) -> None:
    """Count nothing: the buffer is in no budget."""


class ReadBuffer:
    """Bytes that were read and not yet consumed: `data[start:end]`.

    Bytes once read are never overwritten: a full buffer is replaced by a new one that begins with the
    unconsumed bytes. Slices of the old one stay valid for as long as they are referenced.
    """

    def __init__(self, max_bytes: int, on_resize: Callable[[int], None] = ignore_size) -> None:
        """Create an empty buffer that holds at most `max_bytes` unconsumed bytes.

        `on_resize` is called with the change of its size beyond `CHUNK_BYTES`, at each replacement and at
        `release`: the first chunk is a part of what a connection costs.
        """
        self.max_bytes = max_bytes
        self.data = bytearray(CHUNK_BYTES)
        self.start = self.end = 0
        self._on_resize = on_resize
        self._pending_read: asyncio.Future[int] | None = None

    def size_to_read(self, message_bytes: int | None) -> int:
        """Return the size that the buffer needs to read on; its own size if it has room.

        `message_bytes` is what the message takes at least that the unconsumed bytes begin; None if they begin
        none, or complete ones.

        Raises:
            MessageTooLongError: the message exceeds the limit.
        """
        unconsumed_bytes = self.end - self.start
        if message_bytes is None:
            if len(self.data) - self.end >= MIN_FREE_BYTES:
                return len(self.data)
            return min(self.max_bytes, max(CHUNK_BYTES, 2 * unconsumed_bytes))
        if max(message_bytes, unconsumed_bytes + 1) > self.max_bytes:
            raise MessageTooLongError(f"a message of more than {self.max_bytes} bytes")
        if self.start + message_bytes <= len(self.data) and self.end < len(self.data):
            return len(self.data)
        return max(CHUNK_BYTES, message_bytes, unconsumed_bytes + 1)

    def make_room(self, size: int) -> None:
        """Replace the buffer by one of that size, unless it has that size and room."""
        has_room = len(self.data) - self.end >= MIN_FREE_BYTES or not self.start
        if size != len(self.data) or not has_room:
            self._replace(size)

    def free_space(self) -> memoryview:
        """Return the free part of the buffer, to be read into.

        Raises:
            MessageTooLongError: the buffer is full of unconsumed bytes.
        """
        unconsumed_bytes = self.end - self.start
        if len(self.data) - self.end < MIN_FREE_BYTES:
            if unconsumed_bytes >= self.max_bytes:
                raise MessageTooLongError(f"a message of more than {self.max_bytes} bytes")
            self._replace(min(self.max_bytes, max(CHUNK_BYTES, 2 * unconsumed_bytes)))
        return memoryview(self.data)[self.end :]

    def _replace(self, size: int) -> None:
        unconsumed_bytes = self.end - self.start
        data = bytearray(size)
        data[:unconsumed_bytes] = memoryview(self.data)[self.start : self.end]
        change = len(data) - len(self.data)
        self.data, self.start, self.end = data, 0, unconsumed_bytes
        self._on_resize(change)

    async def fill(self, stream: IOStream) -> None:
        """Read the available bytes, waiting for at least one; a full buffer is replaced by a longer one.

        Cancelling it may lose bytes of the stream.

        Raises:
            StreamClosedError: the stream has ended.
            MessageTooLongError: as `free_space`.
        """
        # `end` is added to afterwards: `self.end += await ...` would load it before `free_space` replaces it.
        free_space = self.free_space()
        await self._read(stream, free_space)

    async def fill_room(self, stream: IOStream) -> None:
        """Read what is available into the room that the buffer has, waiting for at least one byte.

        Cancelling it may lose bytes of the stream. Raises `StreamClosedError` if the stream has ended.
        """
        await self._read(stream, memoryview(self.data)[self.end :])

    async def _read(self, stream: IOStream, free_space: memoryview) -> None:
        # IOStream reads into any writable buffer; its annotation names only bytearray.
        self._pending_read = cast(
            "asyncio.Future[int]", stream.read_into(cast(bytearray, free_space), partial=True)
        )
        try:
            count = await self._pending_read
        finally:
            self._pending_read = None
        self.end += count

    def has_completed_read(self) -> bool:
        """Return whether the stream has completed a read, or has ended, and `fill` has not resumed yet."""
        return self._pending_read is not None and self._pending_read.done()

    def unprocessed_bytes(self) -> int:
        """Return the number of bytes that were read and not consumed, those of a completed read included."""
        ahead, read = 0, self._pending_read
        if read is not None and read.done() and not read.cancelled() and read.exception() is None:
            ahead = read.result()
        return self.end - self.start + ahead

    def consume(self, end: int) -> None:
        """Discard the bytes before `end`, an index of `data`.

        A buffer that was replaced by a longer one shrinks again once all is consumed.
        """
        self.start = end
        if end == self.end and len(self.data) > CHUNK_BYTES and self._pending_read is None:
            self._replace(CHUNK_BYTES)

    def detach(self, words: list[memoryview], size: int) -> list[memoryview]:
        """Return words of a message of `size` bytes, to be kept after it is consumed.

        Words of a short message in a long buffer are copied: a slice would keep the whole buffer.
        """
        if size >= len(self.data) // 2 or len(self.data) <= CHUNK_BYTES:
            return words
        return [memoryview(bytes(word)) for word in words]

    def release(self) -> None:
        """Stop counting the buffer: its owner reads no more."""
        self._on_resize(CHUNK_BYTES - len(self.data))
        self._on_resize = ignore_size
