"""A TCP proxy on loopback that injects faults in each direction: delays, cuts, resets, small pieces."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

CHUNK_BYTES = 65536
ACCEPT_WAIT_S = 5.0  # for which a connection through a cut proxy is held before it is closed
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


@dataclass
class Direction:
    """One direction of a proxy. What is held while it is cut is delivered, late, once it is open again."""

    open: asyncio.Event = field(default_factory=asyncio.Event)
    delay: float = 0.0  # s
    piece: int = CHUNK_BYTES  # bytes written at once
    left: int | None = None  # bytes until the connection is reset, within a message as likely as not
    carried: int = 0  # bytes

    def __post_init__(self) -> None:
        self.open.set()


class FaultProxy:
    """Listens on a port of its own and carries connections to a port of this machine."""

    def __init__(self, port: int) -> None:
        self.target = port
        self.there, self.back = Direction(), Direction()
        self.pairs: set[tuple[socket.socket, socket.socket]] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.listener = self._listen(0)
        self.port: int = self.listener.getsockname()[1]
        self.accepting: asyncio.Task[None] | None = None

    @staticmethod
    def _listen(port: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind(("127.0.0.1", port))
        listener.listen(512)
        return listener

    async def start(self) -> None:
        """Begin to accept: until then connections wait in the backlog."""
        self.accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(self.listener)
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._carry(client))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _carry(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = socket.socket()
        server.setblocking(False)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self.pairs.add(pair)
        try:
            # A connection does not come up through a cut proxy.
            await asyncio.wait_for(self.there.open.wait(), ACCEPT_WAIT_S)
            await loop.sock_connect(server, ("127.0.0.1", self.target))
            await self._pump_both(client, server)
        except (OSError, TimeoutError):
            self._reset_pair(pair)
        finally:
            self.pairs.discard(pair)
            for end in pair:
                end.close()

    async def _pump_both(self, client: socket.socket, server: socket.socket) -> None:
        """Carry both directions until both have ended. Neither waits on a socket once this returns or raises:
        closed under a pending read, its descriptor would be another connection's.
        """
        pumps = [
            asyncio.create_task(self._pump(client, server, self.there)),
            asyncio.create_task(self._pump(server, client, self.back)),
        ]
        try:
            await asyncio.gather(*pumps)
        finally:
            for pump in pumps:
                pump.cancel()
            await asyncio.gather(*pumps, return_exceptions=True)

    async def _pump(self, source: socket.socket, target: socket.socket, way: Direction) -> None:
        """Carry bytes until the source ends its side, which is passed on. Raises OSError for a reset."""
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, CHUNK_BYTES):
            if way.delay:
                await asyncio.sleep(way.delay)
            await way.open.wait()
            if way.left is not None and len(data) >= way.left:
                await loop.sock_sendall(target, data[: way.left])
                way.left = None
                raise ConnectionResetError
            if way.left is not None:
                way.left -= len(data)
            for start in range(0, len(data), way.piece):
                await loop.sock_sendall(target, data[start : start + way.piece])
            way.carried += len(data)
        target.shutdown(socket.SHUT_WR)

    def cut(self) -> None:
        """Carry nothing from now on; nobody is told."""
        self.there.open.clear()
        self.back.open.clear()

    def heal(self) -> None:
        """Carry all bytes again, at once and whole."""
        for way in (self.there, self.back):
            way.delay, way.left, way.piece = 0.0, None, CHUNK_BYTES
            way.open.set()

    def refuse(self) -> None:
        """Refuse new connections."""
        if self.accepting is not None:
            self.accepting.cancel()
            self.accepting = None
        self.listener.close()

    async def accept_again(self) -> None:
        if self.accepting is None:
            self.listener = self._listen(self.port)
            await self.start()

    def reset(self) -> None:
        """Reset all connections, at both ends."""
        for pair in list(self.pairs):
            self._reset_pair(pair)

    @staticmethod
    def _reset_pair(pair: tuple[socket.socket, socket.socket]) -> None:
        for end in pair:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                end.shutdown(socket.SHUT_RD)  # wakes whoever waits for bytes, who closes both

    async def close(self) -> None:
        self.refuse()
        for task in list(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
