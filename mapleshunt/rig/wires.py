"""Wires between gateways: every byte of a pair passes through a relay that can fail each way by itself."""

from __future__ import annotations

import asyncio
import contextlib
from dataclasses import dataclass, field

CHUNK = 65536


@dataclass
class Way:
    """One direction of a pair. What is held is delivered, late, once it is let go."""

    open: asyncio.Event = field(default_factory=asyncio.Event)
    delay: float = 0.0  # s
    left: int | None = None  # bytes until the connection is reset, within a frame as likely as not
    carried: int = 0

    def __post_init__(self) -> None:
        self.open.set()


class Wire:
    """Listens for one gateway's connections to another, and carries them there."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.there, self.back = Way(), Way()
        self.writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self._carry, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def _carry(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await asyncio.wait_for(self.there.open.wait(), 5)  # a connection does not come up on a cut wire
            onward = await asyncio.open_connection("127.0.0.1", self.target)
        except (OSError, TimeoutError):
            writer.close()
            return
        pair = {writer, onward[1]}
        self.writers |= pair
        both = [
            asyncio.create_task(self._pump(reader, onward[1], self.there)),
            asyncio.create_task(self._pump(onward[0], writer, self.back)),
        ]
        with contextlib.suppress(asyncio.CancelledError):  # the play is over
            await asyncio.wait(both, return_when=asyncio.FIRST_COMPLETED)
        for one in both:
            one.cancel()
        for end in pair:
            end.close()
        self.writers -= pair

    async def _pump(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter, way: Way) -> None:
        with contextlib.suppress(OSError):
            while data := await reader.read(CHUNK):
                if way.delay:
                    await asyncio.sleep(way.delay)
                await way.open.wait()
                if way.left is not None and len(data) >= way.left:
                    writer.write(data[: way.left])
                    way.left = None
                    return
                if way.left is not None:
                    way.left -= len(data)
                writer.write(data)
                way.carried += len(data)
                await writer.drain()

    def reset(self) -> None:
        for writer in list(self.writers):
            writer.transport.abort()

    async def close(self) -> None:
        self.server.close()
        self.reset()
