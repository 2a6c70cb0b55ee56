"""The shared counter of customers' usage, as one gateway sees it on a socket."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from ..fleet.counter import SharedCounter
from ..net.protocol import resp
from ..net.protocol.read_buffer import MessageTooLongError, ReadBuffer
from .clock import RunClock
from .ports import HOST

MAX_CONNECTIONS = 32  # of one gateway
ADD_WORDS = 4  # CNT.ADD, name, amount and lifetime in ms
MAX_DELAY_MS = 1e6  # stands for a response that never comes


class CounterServer(TCPServer):
    """The server of one gateway; all servers share one counter."""

    def __init__(
        self, counter: SharedCounter, clock: RunClock, gateway: int, on_add: Callable[[], None]
    ) -> None:
        """`on_add` is called at each addition."""
        super().__init__()
        self._counter, self._clock, self._gateway, self._on_add = counter, clock, gateway, on_add
        (listener,) = bind_sockets(0, HOST)
        self.port: int = listener.getsockname()[1]
        self.add_socket(listener)
        self._streams: set[IOStream] = set()

    def close_connections(self) -> None:
        """Close all connections that are open."""
        for stream in list(self._streams):
            stream.close()

    async def handle_stream(self, stream: IOStream, _address: object) -> None:
        """Answer commands until the connection ends."""
        if self._counter.outage == "refusing" or len(self._streams) >= MAX_CONNECTIONS:
            stream.close()
            return
        self._streams.add(stream)
        buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        try:
            while True:
                await buffer.fill(stream)
                while parsed := resp.parse_command(buffer.data, buffer.start, buffer.end):
                    buffer.consume(parsed[1])
                    await stream.write(await self._respond([bytes(word) for word in parsed[0]]))
        except (StreamClosedError, resp.ProtocolError, MessageTooLongError, ValueError):
            stream.close()
        finally:
            self._streams.discard(stream)

    async def _respond(self, words: list[bytes]) -> bytes:
        """Return the response once it is due. Raises ValueError for a malformed number."""
        if words[0] == b"PING":
            return b"+PONG\r\n"
        if words[0] != b"CNT.ADD" or len(words) != ADD_WORDS:
            return resp.encode_error("ERR unknown command")
        name, amount, lifetime_ms = words[1], float(words[2]), float(words[3])
        self._on_add()
        status, at, total = self._counter.call(
            self._clock.now(), hash(name), amount, lifetime_ms, self._gateway
        )
        await asyncio.sleep(max(0.0, min(at - self._clock.now(), MAX_DELAY_MS)) / 1000)
        return resp.encode_bulk(f"{total:.7g}".encode()) if status == "ok" else resp.encode_error("BUSY")
