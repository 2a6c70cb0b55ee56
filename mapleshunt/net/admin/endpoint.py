"""The operators' door: a second address, HTTP/1.1, one call on each connection.

A caller may hold on without a whole call: there are places for a few, and at the limit the one that has
waited longest for its own last byte makes room. A call that has come whole is answered at once.
"""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from .. import log
from ..client.listener import Acceptor, bind_socket
from ..config import Address
from ..counters import Counters
from ..protocol import http
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer

MAX_CONNECTIONS = 16  # connections held at once
DESCRIPTORS = MAX_CONNECTIONS + 1  # that it may hold in all
PATIENCE = 6.0  # s that a caller may take for its call
LINGER = 0.5  # s for which a caller that has its answer may end the connection itself
BACKLOG = 64


@dataclass(slots=True, frozen=True)
class AdminResponse:
    status: int
    body: str = ""


class AdminEndpoint:
    """Answers calls with what `call(method, path)` returns."""

    def __init__(
        self, listen: Address, call: Callable[[str, str], AdminResponse], counters: Counters
    ) -> None:
        """Raises OSError if the address cannot be had."""
        self.call, self.counters = call, counters
        self.callers: dict[AdminConnection, None] = {}  # the oldest first
        self.listener = bind_socket(listen)
        self.acceptor = Acceptor(self.listener, self._take, counters, "door_")

    def open(self) -> None:
        self.listener.listen(BACKLOG)
        self.acceptor.start()

    def _take(self, connection: socket.socket) -> None:
        if len(self.callers) >= MAX_CONNECTIONS:
            waiting = (one for one in self.callers if not one.answered)
            next(waiting, next(iter(self.callers))).end("made_room")
        caller = AdminConnection(IOStream(connection, max_buffer_size=2 * http.MAX_HEAD_BYTES), self)
        self.callers[caller] = None
        caller.task = asyncio.get_running_loop().create_task(caller.run())

    def close(self) -> None:
        self.acceptor.stop()
        self.listener.close()
        for caller in list(self.callers):
            caller.end("shutdown")


class AdminConnection:
    """One connection to the door."""

    def __init__(self, stream: IOStream, door: AdminEndpoint) -> None:
        self.stream, self.door = stream, door
        self.answered, self.said = False, "none"
        self.task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        reason = "caller_closed"
        try:
            async with asyncio.timeout(PATIENCE):
                reply = await self._reply()
                self.answered = True
                await self.stream.write(http.encode_response(reply.status, reply.body.encode()))
            if self.stream.closed():
                return self.end("answered")
            self.stream.socket.shutdown(socket.SHUT_WR)
            async with asyncio.timeout(LINGER):  # closing over unread bytes may take the answer away
                while True:
                    await self.stream.read_into(bytearray(1024), partial=True)
        except TimeoutError:
            reason = "answered" if self.answered else "no_call"
        except (StreamClosedError, OSError):
            reason = "answered" if self.answered else reason
        except Exception:
            reason = "exception"
            self.door.counters.add("exceptions")
            log.log_exception("door_exception")
        self.end(reason)

    async def _reply(self) -> AdminResponse:
        buffer = ReadBuffer(http.MAX_HEAD_BYTES)
        try:
            while not (found := http.parse_request(buffer.data, buffer.start, buffer.end)):
                await buffer.fill(self.stream)
        except (http.ProtocolError, MessageTooLongError) as error:
            self.door.counters.add("door_malformed")
            return AdminResponse(400, f"{error}\n")
        self.said = f"{found.method} {found.path}"
        self.door.counters.add("door_calls")
        try:
            return self.door.call(found.method, found.path)
        except Exception:
            self.door.counters.add("exceptions")
            log.log_exception("door_exception", call=self.said)
            return AdminResponse(500, "failed\n")

    def end(self, reason: str) -> None:
        if self in self.door.callers:
            del self.door.callers[self]
            self.stream.close()
            log.log_event("door_caller_ended", reason=reason, call=self.said)
