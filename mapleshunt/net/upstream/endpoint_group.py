"""The upstream group: the till servers that discovery names, and the connections to them.

A connection carries one try at a time. Answers come in the order of commands, so a try that is given up
ends its connection.
"""

from __future__ import annotations

import asyncio
import errno
import math
import socket
import zlib
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from tornado.iostream import IOStream, StreamClosedError

from ...policy import Endpoint, EndpointState, EndpointUpdate, UpdateKind
from .. import log
from ..config import Address, family_of
from ..counters import Counters
from ..protocol import command_protocol as svc
from ..protocol import resp
from ..protocol.read_buffer import ReadBuffer, TooLong
from ..request.context import AttemptResult

STALL = 0.1  # s that a reply that has begun may stand still
SETTLE = 0.01  # s before a connection that has answered carries the next try
AT_ONCE = 0.02  # s: a kept connection that is reset so soon under a try had ended before
REGAIN = 5.0  # s in which the time that a connection may stand idle and be used again doubles


ENDED = "server_closed", "server_reset"  # by the till server


class NoRoom(Exception):
    """No descriptor is left, or the server is not known: nothing was sent."""


# Errors of connect that come of this machine alone and tell nothing about the server.
LOCAL_CONNECT_ERRORS = frozenset(
    {
        errno.EADDRNOTAVAIL,
        errno.EAGAIN,
        errno.EINTR,
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
    }
)


class DialFailed(Exception):
    """The connection never came up. `local`: for a lack of this machine's, whatever the server is like."""

    def __init__(self, local: bool) -> None:
        super().__init__()
        self.local = local


class ConnectionLost(Exception):
    """The connection ended under a try. `written`: after the try's last byte was written."""

    def __init__(self, written: bool) -> None:
        super().__init__()
        self.written = written


def _tell(written: asyncio.Future[None], whole: Callable[[], None]) -> None:
    if not written.cancelled() and written.exception() is None:
        whole()


@dataclass(slots=True, frozen=True)
class Member:
    """A till server in discovery's list."""

    id: str
    address: Address
    zone: str
    cell: int
    state: EndpointState
    started: float  # ms, Unix time; 0 for long ago

    @property
    def number(self) -> int:
        """Peers tell each other of servers by number: it comes from the id alone, alike at every gateway."""
        return zlib.crc32(self.id.encode())


class ServerConnection:
    """A connection to a till server."""

    def __init__(self, server: TillServer, group: UpstreamGroup) -> None:
        self.server, self.member, self.group = server, server.member, group
        self.stream = IOStream(socket.socket(family_of(server.address)), max_buffer_size=4 * resp.MAX_MESSAGE)
        self.buffer = ReadBuffer(resp.MAX_MESSAGE)
        self.waiting: asyncio.Future[AttemptResult] | None = None
        self.tries, self.reason = 0, ""
        self.idle_since = 0.0
        self.stall: asyncio.TimerHandle | None = None
        self.longest = self.whole_by = math.inf  # s for the reply now awaited, and when it has to be whole
        self.reader: asyncio.Task[None] | None = None
        group.connections.add(self)

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.call_later(self.group.dial_timeout / 1000, self.close, "dial_timeout")
        self.group.counters.add("dials")
        try:
            await self.stream.connect(self.server.address)
        except (StreamClosedError, OSError) as failure:
            error = failure.real_error if isinstance(failure, StreamClosedError) else failure
            self.close(self.reason or "dial_failed")
            raise DialFailed(isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS) from None
        finally:
            limit.cancel()
        self.stream.set_nodelay(True)
        self.reader = loop.create_task(self._read())

    def alive(self) -> bool:
        """Has nothing come on an idle connection, its end above all?

        A command written behind an unread end is lost as one that may have run, so the end is looked for.
        """
        if self.stream.closed():
            return False
        try:
            self.stream.socket.recv(1, socket.MSG_PEEK)
        except OSError as error:
            return error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
        return False

    async def exchange(
        self, data: bytes, whole: Callable[[], None] = lambda: None, longest: float = math.inf
    ) -> AttemptResult:
        """Write a command and wait for how it ends; `whole` is called once its last byte is written, and a
        reply that has begun has `longest` s to come whole. Raises `ConnectionLost`.
        """
        if self.stream.closed():
            raise ConnectionLost(written=False)
        loop = asyncio.get_running_loop()
        self.waiting, begun = loop.create_future(), loop.time()
        self.longest, self.whole_by = longest, math.inf
        self.tries += 1
        written = self.stream.write(data)
        if written.done():
            _tell(written, whole)
        else:
            written.add_done_callback(lambda one: _tell(one, whole))
        try:
            return await self.waiting
        except StreamClosedError:
            if self.reason in ENDED and self.tries > 1 and loop.time() - begun < AT_ONCE:
                self.group.distrust(begun - self.idle_since)
            raise ConnectionLost(written.done() and written.exception() is None) from None
        finally:
            self.waiting = None

    async def _read(self) -> None:
        reason = "server_closed"
        try:
            while True:
                await self.buffer.fill(self.stream)
                self._take_reply()
        except StreamClosedError as closed:
            reason = "server_reset" if closed.real_error else reason
        except (resp.ProtocolError, TooLong) as error:
            return self._spoilt(error)
        except Exception:
            reason = "exception"
            self.group.counters.add("exceptions")
            log.log_exception("server_connection_exception", server=self.server.member.id)
        self.close(reason)

    def _take_reply(self) -> None:
        found = resp.parse_reply(self.buffer.data, self.buffer.start, self.buffer.end)
        if self.waiting is None or self.waiting.done():
            raise resp.ProtocolError("bytes that belong to no try")
        if found is None:
            # A long answer may come slowly, in small pieces; one that does not go on, or never ends, is
            # spoilt while there is time left for another try.
            loop = asyncio.get_running_loop()
            self.whole_by = min(self.whole_by, loop.time() + self.longest)
            self._stop_stall()
            at = min(self.whole_by, loop.time() + STALL)
            self.stall = loop.call_at(at, self._spoilt, "a reply that does not end")
            return
        self.buffer.consume(found[1])
        self._stop_stall()
        self.waiting.set_result(svc.ending(found[0]))
        if self.buffer.start != self.buffer.end:  # the answer is good; what follows would spoil the next one
            raise resp.ProtocolError("bytes behind a reply")

    def _stop_stall(self) -> None:
        if self.stall is not None:
            self.stall.cancel()
            self.stall = None

    def _spoilt(self, why: object) -> None:
        """What came is no reply: the try may have run, but its till server lives. Nothing more is read here.

        Ended as "reset" it had the decisions take the till server for dead and move all that was out there.
        """
        self.group.counters.add("malformed_replies")
        log.log_event("malformed_reply", server=self.server.member.id, why=why)
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_result(AttemptResult("error"))
        self.close("malformed_reply")

    def close(self, reason: str) -> None:
        if self not in self.group.connections:
            return
        self.group.connections.discard(self)
        self.reason = reason
        self._stop_stall()
        if self in self.server.idle:
            self.server.idle.remove(self)
        self.stream.close()
        if self.waiting is not None and not self.waiting.done():
            self.waiting.set_exception(StreamClosedError())
        self.group.counters.trace.closed("server_connections", reason)
        log.log_event(
            "server_connection_ended", server=self.server.member.id, reason=reason, tries=self.tries
        )


@dataclass(slots=True, eq=False)
class TillServer:
    member: Member
    idle: list[ServerConnection] = field(default_factory=list)  # the last one used at the end

    @property
    def address(self) -> Address:
        return self.member.address


class UpstreamGroup:
    def __init__(self, counters: Counters, dial_timeout: float, idle_limit: float, most: int) -> None:
        self.counters, self.most = counters, most
        self.dial_timeout, self.idle_limit = dial_timeout, idle_limit  # ms
        self.servers: dict[int, TillServer] = {}
        self.connections: set[ServerConnection] = set()
        self.trust, self.trust_at = idle_limit / 1000, 0.0  # s of idleness after which one is used again

    # Members

    def update(
        self,
        kind: UpdateKind,
        members: Sequence[Member],
        age: Callable[[float], float | None] = lambda started: None,
    ) -> EndpointUpdate:
        """Take over a list or a change of it, and word it for the decisions. `age` tells for how many ms a
        server that started then, in Unix ms, has been up.
        """
        for member in members:
            server = self.servers.setdefault(member.number, TillServer(member))
            moved = server.member.address != member.address or server.member.started != member.started
            server.member = member
            if moved:
                self._drop_idle(server, "server_moved")
        listed = {member.number for member in members}
        for number, server in list(self.servers.items()):
            if server.member.state == "gone" or (kind != "partial" and number not in listed):
                self._drop_idle(server, "server_gone")
                del self.servers[number]  # new ones come under new ids all day
        entries = tuple(
            Endpoint(m.number, m.zone, m.cell, m.state, m.started, age(m.started)) for m in members
        )
        return EndpointUpdate(kind, entries)

    # Connections

    def limit(self, most: int) -> None:
        """Hold no more than `most` connections; idle ones beyond it end now."""
        self.most = most
        idle = sorted((c for s in self.servers.values() for c in s.idle), key=lambda one: one.idle_since)
        for connection in idle[: max(0, len(self.connections) - most)]:
            connection.close("made_room")

    def idle(self, number: int) -> ServerConnection | None:
        """An idle connection to a server, the one used last.

        But for those that have only just answered: what follows right behind an answer would be taken for
        the next try's.
        """
        server = self.servers.get(number)
        now = asyncio.get_running_loop().time()
        oldest = now - self.trusted(now)
        for connection in reversed(list(server.idle)) if server is not None else ():
            if oldest <= connection.idle_since <= now - SETTLE:
                if connection.alive():
                    connection.server.idle.remove(connection)
                    return connection
                connection.close("server_closed")
        return None

    def connection(self, number: int) -> ServerConnection:
        """A new connection to a server, to be connected. Raises `NoRoom`."""
        server = self.servers.get(number)
        if server is None:
            raise NoRoom
        if len(self.connections) >= self.most:
            idle = [one for other in self.servers.values() for one in other.idle[:1]]
            if not idle:
                raise NoRoom
            min(idle, key=lambda one: one.idle_since).close("made_room")
        try:
            return ServerConnection(server, self)
        except OSError:
            self.counters.add("out_of_descriptors")
            raise NoRoom from None

    def wanted(self, number: int) -> bool:
        """Does the list name it as one that takes new requests?"""
        server = self.servers.get(number)
        return server is not None and server.member.state == "ready"

    def current(self, connection: ServerConnection) -> bool:
        """Does it lead to its till server as the list has it now, at this address and since this start?"""
        server, member = connection.server, connection.member
        same = server.member.address == member.address and server.member.started == member.started
        return same and self.servers.get(member.number) is server

    def release(self, connection: ServerConnection) -> None:
        """A try has ended and its connection may carry the next."""
        if connection not in self.connections:
            return
        if not self.current(connection):
            connection.close("server_moved")  # or gone: none that the list does not name is kept
        else:
            connection.idle_since = asyncio.get_running_loop().time()
            connection.server.idle.append(connection)

    def trusted(self, now: float) -> float:
        """s for which an idle connection is taken to stand at the till server too."""
        grown = self.trust * 2 ** min(60.0, (now - self.trust_at) / REGAIN)
        return min(self.idle_limit / 1000, grown)

    def distrust(self, idle: float) -> None:
        """One that stood idle for so long was reset by the next try, which may have run for all we know.

        Till servers may end connections without a word and sooner than the settings say. Dialling anew
        costs far less than such a try.
        """
        now = asyncio.get_running_loop().time()
        self.counters.add("stale_connections")
        self.trust, self.trust_at = max(SETTLE, min(self.trusted(now), idle) / 2), now

    def sweep(self) -> None:
        """Close what has been idle for long, well before the till server does."""
        now = asyncio.get_running_loop().time()
        oldest = now - self.trusted(now)
        for connection in [c for s in self.servers.values() for c in s.idle if c.idle_since < oldest]:
            connection.close("idle")

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close("shutdown")

    def _drop_idle(self, server: TillServer, reason: str) -> None:
        for connection in list(server.idle):
            connection.close(reason)
