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

from ...policy import EndpointInfo, EndpointState, EndpointUpdate, UpdateKind
from .. import log
from ..config import Address, address_family
from ..counters import Counters
from ..protocol import command_protocol as svc
from ..protocol import resp
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..request.context import AttemptResult

REPLY_STALL_TIMEOUT_S = 0.1  # s that a reply that has begun may stand still
REUSE_DELAY_S = 0.01  # s before a connection that has answered carries the next try
STALE_RESET_WITHIN_S = 0.02  # s: a kept connection that is reset so soon under a try had ended before
IDLE_TRUST_DOUBLING_S = 5.0  # s in which the time that a connection may stand idle and be used again doubles


PEER_CLOSE_REASONS = "server_closed", "server_reset"  # by the till server


class NoConnectionAvailableError(Exception):
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


class DialError(Exception):
    """The connection never came up. `local`: for a lack of this machine's, whatever the server is like."""

    def __init__(self, local: bool) -> None:
        super().__init__()
        self.local = local


class ConnectionLostError(Exception):
    """The connection ended under a try. `written`: after the try's last byte was written."""

    def __init__(self, written: bool) -> None:
        super().__init__()
        self.written = written


def _tell(written: asyncio.Future[None], whole: Callable[[], None]) -> None:
    if not written.cancelled() and written.exception() is None:
        whole()


@dataclass(slots=True, frozen=True)
class Endpoint:
    """A till server in discovery's list."""

    id: str
    address: Address
    zone: str
    cell: int
    state: EndpointState
    started_at_ms: float  # ms, Unix time; 0 for long ago

    @property
    def number(self) -> int:
        """Peers tell each other of servers by number: it comes from the id alone, alike at every gateway."""
        return zlib.crc32(self.id.encode())


class UpstreamConnection:
    """A connection to a till server."""

    def __init__(self, server: EndpointPool, group: EndpointGroup) -> None:
        self.pool, self.endpoint, self.group = server, server.endpoint, group
        self.stream = IOStream(
            socket.socket(address_family(server.address)), max_buffer_size=4 * resp.MAX_MESSAGE_BYTES
        )
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        self.pending_result: asyncio.Future[AttemptResult] | None = None
        self.attempts, self.close_reason = 0, ""
        self.idle_since = 0.0
        self.stall_timer: asyncio.TimerHandle | None = None
        self.max_reply_s = self.reply_deadline = (
            math.inf
        )  # s for the reply now awaited, and when it has to be whole
        self.reader: asyncio.Task[None] | None = None
        group.connections.add(self)

    async def connect(self) -> None:
        loop = asyncio.get_running_loop()
        limit = loop.call_later(self.group.dial_timeout_ms / 1000, self.close, "dial_timeout")
        self.group.counters.add("dials")
        try:
            await self.stream.connect(self.pool.address)
        except (StreamClosedError, OSError) as failure:
            error = failure.real_error if isinstance(failure, StreamClosedError) else failure
            self.close(self.close_reason or "dial_failed")
            raise DialError(isinstance(error, OSError) and error.errno in LOCAL_CONNECT_ERRORS) from None
        finally:
            limit.cancel()
        self.stream.set_nodelay(True)
        self.reader = loop.create_task(self._read())

    def is_reusable(self) -> bool:
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
            raise ConnectionLostError(written=False)
        loop = asyncio.get_running_loop()
        self.pending_result, begun = loop.create_future(), loop.time()
        self.max_reply_s, self.reply_deadline = longest, math.inf
        self.attempts += 1
        written = self.stream.write(data)
        if written.done():
            _tell(written, whole)
        else:
            written.add_done_callback(lambda one: _tell(one, whole))
        try:
            return await self.pending_result
        except StreamClosedError:
            if (
                self.close_reason in PEER_CLOSE_REASONS
                and self.attempts > 1
                and loop.time() - begun < STALE_RESET_WITHIN_S
            ):
                self.group.reduce_max_idle(begun - self.idle_since)
            raise ConnectionLostError(written.done() and written.exception() is None) from None
        finally:
            self.pending_result = None

    async def _read(self) -> None:
        reason = "server_closed"
        try:
            while True:
                await self.buffer.fill(self.stream)
                self._take_reply()
        except StreamClosedError as closed:
            reason = "server_reset" if closed.real_error else reason
        except (resp.ProtocolError, MessageTooLongError) as error:
            return self._reply_malformed(error)
        except Exception:
            reason = "exception"
            self.group.counters.add("exceptions")
            log.log_exception("server_connection_exception", server=self.pool.endpoint.id)
        self.close(reason)

    def _take_reply(self) -> None:
        found = resp.parse_reply(self.buffer.data, self.buffer.start, self.buffer.end)
        if self.pending_result is None or self.pending_result.done():
            raise resp.ProtocolError("bytes that belong to no try")
        if found is None:
            # A long answer may come slowly, in small pieces; one that does not go on, or never ends, is
            # spoilt while there is time left for another try.
            loop = asyncio.get_running_loop()
            self.reply_deadline = min(self.reply_deadline, loop.time() + self.max_reply_s)
            self._stop_stall()
            at = min(self.reply_deadline, loop.time() + REPLY_STALL_TIMEOUT_S)
            self.stall_timer = loop.call_at(at, self._reply_malformed, "a reply that does not end")
            return
        self.buffer.consume(found[1])
        self._stop_stall()
        self.pending_result.set_result(svc.parse_attempt_result(found[0]))
        if self.buffer.start != self.buffer.end:  # the answer is good; what follows would spoil the next one
            raise resp.ProtocolError("bytes behind a reply")

    def _stop_stall(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def _reply_malformed(self, why: object) -> None:
        """What came is no reply: the try may have run, but its till server lives. Nothing more is read here.

        Ended as "reset" it had the decisions take the till server for dead and move all that was out there.
        """
        self.group.counters.add("malformed_replies")
        log.log_event("malformed_reply", server=self.pool.endpoint.id, why=why)
        if self.pending_result is not None and not self.pending_result.done():
            self.pending_result.set_result(AttemptResult("error"))
        self.close("malformed_reply")

    def close(self, reason: str) -> None:
        if self not in self.group.connections:
            return
        self.group.connections.discard(self)
        self.close_reason = reason
        self._stop_stall()
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.stream.close()
        if self.pending_result is not None and not self.pending_result.done():
            self.pending_result.set_exception(StreamClosedError())
        self.group.counters.trace.count_close("server_connections", reason)
        log.log_event(
            "server_connection_ended", server=self.pool.endpoint.id, reason=reason, tries=self.attempts
        )


@dataclass(slots=True, eq=False)
class EndpointPool:
    endpoint: Endpoint
    idle: list[UpstreamConnection] = field(default_factory=list)  # the last one used at the end

    @property
    def address(self) -> Address:
        return self.endpoint.address


class EndpointGroup:
    def __init__(self, counters: Counters, dial_timeout: float, idle_limit: float, most: int) -> None:
        self.counters, self.max_connections = counters, most
        self.dial_timeout_ms, self.idle_timeout_ms = dial_timeout, idle_limit  # ms
        self.pools: dict[int, EndpointPool] = {}
        self.connections: set[UpstreamConnection] = set()
        self.trusted_idle_s, self.trusted_idle_set_at = (
            idle_limit / 1000,
            0.0,
        )  # s of idleness after which one is used again

    # Members

    def apply_endpoint_list(
        self,
        kind: UpdateKind,
        members: Sequence[Endpoint],
        age: Callable[[float], float | None] = lambda started: None,
    ) -> EndpointUpdate:
        """Take over a list or a change of it, and word it for the decisions. `age` tells for how many ms a
        server that started then, in Unix ms, has been up.
        """
        for member in members:
            server = self.pools.setdefault(member.number, EndpointPool(member))
            moved = (
                server.endpoint.address != member.address
                or server.endpoint.started_at_ms != member.started_at_ms
            )
            server.endpoint = member
            if moved:
                self._drop_idle(server, "server_moved")
        listed = {member.number for member in members}
        for number, server in list(self.pools.items()):
            if server.endpoint.state == "gone" or (kind != "partial" and number not in listed):
                self._drop_idle(server, "server_gone")
                del self.pools[number]  # new ones come under new ids all day
        entries = tuple(
            EndpointInfo(m.number, m.zone, m.cell, m.state, m.started_at_ms, age(m.started_at_ms))
            for m in members
        )
        return EndpointUpdate(kind, entries)

    # Connections

    def set_connection_limit(self, most: int) -> None:
        """Hold no more than `most` connections; idle ones beyond it end now."""
        self.max_connections = most
        idle = sorted((c for s in self.pools.values() for c in s.idle), key=lambda one: one.idle_since)
        for connection in idle[: max(0, len(self.connections) - most)]:
            connection.close("made_room")

    def take_idle(self, number: int) -> UpstreamConnection | None:
        """An idle connection to a server, the one used last.

        But for those that have only just answered: what follows right behind an answer would be taken for
        the next try's.
        """
        server = self.pools.get(number)
        now = asyncio.get_running_loop().time()
        oldest = now - self.max_idle_s(now)
        for connection in reversed(list(server.idle)) if server is not None else ():
            if oldest <= connection.idle_since <= now - REUSE_DELAY_S:
                if connection.is_reusable():
                    connection.pool.idle.remove(connection)
                    return connection
                connection.close("server_closed")
        return None

    def new_connection(self, number: int) -> UpstreamConnection:
        """A new connection to a server, to be connected. Raises `NoRoom`."""
        server = self.pools.get(number)
        if server is None:
            raise NoConnectionAvailableError
        if len(self.connections) >= self.max_connections:
            idle = [one for other in self.pools.values() for one in other.idle[:1]]
            if not idle:
                raise NoConnectionAvailableError
            min(idle, key=lambda one: one.idle_since).close("made_room")
        try:
            return UpstreamConnection(server, self)
        except OSError:
            self.counters.add("out_of_descriptors")
            raise NoConnectionAvailableError from None

    def may_send(self, number: int) -> bool:
        """Does the list name it as one that takes new requests?"""
        server = self.pools.get(number)
        return server is not None and server.endpoint.state == "ready"

    def is_current(self, connection: UpstreamConnection) -> bool:
        """Does it lead to its till server as the list has it now, at this address and since this start?"""
        server, member = connection.pool, connection.endpoint
        same = (
            server.endpoint.address == member.address
            and server.endpoint.started_at_ms == member.started_at_ms
        )
        return same and self.pools.get(member.number) is server

    def release(self, connection: UpstreamConnection) -> None:
        """A try has ended and its connection may carry the next."""
        if connection not in self.connections:
            return
        if not self.is_current(connection):
            connection.close("server_moved")  # or gone: none that the list does not name is kept
        else:
            connection.idle_since = asyncio.get_running_loop().time()
            connection.pool.idle.append(connection)

    def max_idle_s(self, now: float) -> float:
        """s for which an idle connection is taken to stand at the till server too."""
        grown = self.trusted_idle_s * 2 ** min(60.0, (now - self.trusted_idle_set_at) / IDLE_TRUST_DOUBLING_S)
        return min(self.idle_timeout_ms / 1000, grown)

    def reduce_max_idle(self, idle: float) -> None:
        """One that stood idle for so long was reset by the next try, which may have run for all we know.

        Till servers may end connections without a word and sooner than the settings say. Dialling anew
        costs far less than such a try.
        """
        now = asyncio.get_running_loop().time()
        self.counters.add("stale_connections")
        self.trusted_idle_s, self.trusted_idle_set_at = (
            max(REUSE_DELAY_S, min(self.max_idle_s(now), idle) / 2),
            now,
        )

    def close_stale_idle(self) -> None:
        """Close what has been idle for long, well before the till server does."""
        now = asyncio.get_running_loop().time()
        oldest = now - self.max_idle_s(now)
        for connection in [c for s in self.pools.values() for c in s.idle if c.idle_since < oldest]:
            connection.close("idle")

    def close(self) -> None:
        for connection in list(self.connections):
            connection.close("shutdown")

    def _drop_idle(self, server: EndpointPool, reason: str) -> None:
        for connection in list(server.idle):
            connection.close(reason)
