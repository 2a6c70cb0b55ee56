"""The responses that are written to one client, and those of them that the kernel has not taken yet."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable, Iterator

from tornado.iostream import IOStream

MAX_JOINED_BYTES = 16384  # short responses share a write up to this size; longer ones are not copied


class WriteBuffer:
    """Writes complete responses to a client's stream.

    The stream must have no limit of its own: it would refuse a response whose request has run. What can be
    unwritten is bounded by the commands that are taken from the client.

    Attributes:
        unwritten_bytes: Bytes that the kernel has not taken.
        last_write_at: When a response was last written, in s on the loop's clock; 0 if none was.
    """

    def __init__(self, stream: IOStream, on_written: Callable[[int], None]) -> None:
        """Write to `stream`; `on_written` is called with the bytes that the kernel has taken.

        It is called at the end of each write, also if that fails because the stream is closed.
        """
        self._stream, self._on_written = stream, on_written
        self._pending: asyncio.Future[None] | None = None  # the last write
        self.unwritten_bytes = 0
        self.last_write_at = 0.0

    def write(self, responses: Iterable[bytes], now: float) -> None:
        """Write responses, in order.

        Raises:
            StreamClosedError: the stream is closed.
        """
        self.last_write_at = now
        for data in join_short(responses):
            self._write(data)

    def _write(self, data: bytes) -> None:
        size = len(data)
        self._pending = self._stream.write(data)
        if self._pending.done():
            self._on_written(size)
        else:
            self.unwritten_bytes += size
            self._pending.add_done_callback(lambda _: self._written(size))

    def _written(self, size: int) -> None:
        self.unwritten_bytes -= size
        self._on_written(size)

    def is_writing(self) -> bool:
        """Return whether the kernel has yet to take a part of a response."""
        return self._pending is not None and not self._pending.done()

    def call_when_written(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the responses written so far are in the kernel, or their stream has closed."""
        assert self._pending is not None
        self._pending.add_done_callback(lambda _: callback())

    def unsent_for(self, now: float) -> float | None:
        """Return for how many seconds a response is not completely in the kernel; None if all are."""
        return now - self.last_write_at if self.is_writing() else None


def join_short(responses: Iterable[bytes]) -> Iterator[bytes]:
    """Join neighbouring responses of at most `MAX_JOINED_BYTES` together; the others pass as they are."""
    joined: list[bytes] = []
    size = 0
    for data in responses:
        if joined and size + len(data) > MAX_JOINED_BYTES:
            yield b"".join(joined)
            joined, size = [], 0
        joined.append(data)
        size += len(data)
    if joined:
        yield b"".join(joined)
