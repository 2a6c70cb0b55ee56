"""A TCP proxy on loopback that injects faults in each direction: delays, cuts, resets, small pieces."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
from dataclasses import dataclass, field

from .ports import HOST

CHUNK_BYTES = 65536
BACKLOG = 512
ACCEPT_WAIT_S = 5.0  # for which a connection through a cut proxy waits before it is closed
RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # SO_LINGER: on, 0 s


@dataclass
class Direction:
    """One direction of a proxy. Bytes that arrive while it is cut are delivered once it is open again."""

    open: asyncio.Event = field(default_factory=asyncio.Event)
    delay_s: float = 0.0
    piece_bytes: int = CHUNK_BYTES  # written at once
    bytes_to_reset: int | None = None  # left until a reset, which may fall within a message

    def __post_init__(self) -> None:
        self.open.set()

    def heal(self) -> None:
        """Copy all bytes again, without delay and in whole chunks."""
        self.delay_s, self.bytes_to_reset, self.piece_bytes = 0.0, None, CHUNK_BYTES
        self.open.set()


class FaultProxy:
    """A proxy that listens on a port of its own and forwards connections to a port of this machine."""

    def __init__(self, port: int) -> None:
        """`port` is the port that connections are forwarded to."""
        self.to_target, self.from_target = Direction(), Direction()
        self._target_port = port
        self._pairs: set[tuple[socket.socket, socket.socket]] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._listener = self._listen(0)
        self.port: int = self._listener.getsockname()[1]
        self._accepting: asyncio.Task[None] | None = None

    @staticmethod
    def _listen(port: int) -> socket.socket:
        listener = socket.socket()
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listener.setblocking(False)
        listener.bind((HOST, port))
        listener.listen(BACKLOG)
        return listener

    async def start(self) -> None:
        """Start accepting; until then connections wait in the backlog."""
        self._accepting = asyncio.create_task(self._accept())

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            client, _ = await loop.sock_accept(self._listener)
            client.setblocking(False)
            client.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            task = loop.create_task(self._forward(client))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, client: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        server = socket.socket()
        server.setblocking(False)
        server.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        pair = (client, server)
        self._pairs.add(pair)
        try:
            # No connection is made through a cut proxy.
            await asyncio.wait_for(self.to_target.open.wait(), ACCEPT_WAIT_S)
            await loop.sock_connect(server, (HOST, self._target_port))
            await self._copy_both(client, server)
        except (OSError, TimeoutError):
            self._reset_pair(pair)
        finally:
            self._pairs.discard(pair)
            for end in pair:
                end.close()

    async def _copy_both(self, client: socket.socket, server: socket.socket) -> None:
        """Copy both directions until both have ended.

        Neither copy uses a socket once this returns, raises or is cancelled: a descriptor that is closed
        during a pending read could be reused by another connection.
        """
        copies = [
            asyncio.create_task(self._copy(client, server, self.to_target)),
            asyncio.create_task(self._copy(server, client, self.from_target)),
        ]
        try:
            await asyncio.gather(*copies)
        finally:
            for copy in copies:
                copy.cancel()
            await asyncio.gather(*copies, return_exceptions=True)

    async def _copy(self, source: socket.socket, target: socket.socket, direction: Direction) -> None:
        """Copy bytes until the source closes its side, then close the target's. Raises OSError on a reset."""
        loop = asyncio.get_running_loop()
        while data := await loop.sock_recv(source, CHUNK_BYTES):
            if direction.delay_s:
                await asyncio.sleep(direction.delay_s)
            await direction.open.wait()
            if direction.bytes_to_reset is not None and len(data) >= direction.bytes_to_reset:
                await loop.sock_sendall(target, data[: direction.bytes_to_reset])
                direction.bytes_to_reset = None
                raise ConnectionResetError
            if direction.bytes_to_reset is not None:
                direction.bytes_to_reset -= len(data)
            for start in range(0, len(data), direction.piece_bytes):
                await loop.sock_sendall(target, data[start : start + direction.piece_bytes])
        target.shutdown(socket.SHUT_WR)

    def cut(self) -> None:
        """Deliver nothing from now on; connections stay open."""
        self.to_target.open.clear()
        self.from_target.open.clear()

    def heal(self) -> None:
        """End the faults of both directions."""
        self.to_target.heal()
        self.from_target.heal()

    def refuse(self) -> None:
        """Refuse new connections."""
        if self._accepting is not None:
            self._accepting.cancel()
            self._accepting = None
        self._listener.close()

    async def accept_again(self) -> None:
        """Accept new connections again after `refuse`."""
        if self._accepting is None:
            self._listener = self._listen(self.port)
            await self.start()

    def reset(self) -> None:
        """Reset all connections, at both ends."""
        for pair in list(self._pairs):
            self._reset_pair(pair)

    @staticmethod
    def _reset_pair(pair: tuple[socket.socket, socket.socket]) -> None:
        for end in pair:
            with contextlib.suppress(OSError):
                end.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
                end.shutdown(socket.SHUT_RD)  # wakes the task that waits for bytes; it closes both

    async def close(self) -> None:
        """Refuse new connections and close all, without a reset."""
        self.refuse()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
