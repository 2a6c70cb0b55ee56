"""One connection to an endpoint. It carries one attempt at a time.

Replies come in the order of commands, so an attempt that is cancelled closes its connection: the reply
still to come would be taken for that of the next attempt.
"""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Protocol

from tornado.iostream import IOStream, StreamClosedError

from .. import log
from ..config import Address, address_family
from ..counters import Counters
from ..memory import MemoryBudget
from ..messages import AttemptResult
from ..protocol import command_protocol, resp
from ..protocol.read_buffer import CHUNK_BYTES, MessageTooLongError, ReadBuffer
from ..reasons import AttemptStatus, UpstreamCloseReason
from .dial import dial_error
from .endpoint import Endpoint
from .errors import ConnectionLostError

# Time without a new byte after which an incomplete reply is rejected, early enough for a retry.
REPLY_STALL_TIMEOUT_S = 0.1
MEMORY_POLL_S = 0.005  # between two looks for the memory of a long reply
# A reused connection that ends this soon after a command counts as closed by the endpoint before it.
STALE_RESET_WITHIN_S = 0.02
CLOSED_BY_ENDPOINT = (UpstreamCloseReason.ENDPOINT_CLOSED, UpstreamCloseReason.ENDPOINT_RESET)
# Between a reply and the next attempt on its connection: a second copy of a reply may come milliseconds late,
# and nothing in the protocol ties a reply to its command.
REUSE_DELAY_S = 0.025
REUSE_DELAY_FACTOR = 2.0  # of the longest time from a reply to bytes behind it that an endpoint has shown
MAX_REUSE_DELAY_S = 1.0  # bytes that come later have another cause, such as the end of the connection
# Four of the longest replies: no well-formed reply overruns the stream's own buffer.
MAX_STREAM_BUFFER_BYTES = 4 * resp.MAX_MESSAGE_BYTES

if TYPE_CHECKING:  # a protocol class costs memory in every gateway

    class ConnectionOwner(Protocol):
        """The part of an endpoint group that its connections use."""

        counters: Counters
        memory: MemoryBudget
        connections: set[UpstreamConnection]
        dial_timeout_ms: float

        def reduce_max_idle(self, idle_s: float) -> None:
            """Lower the maximum idle time after a connection idle for `idle_s` was found closed."""


@dataclass(slots=True, eq=False)
class EndpointPool:
    """An endpoint and the idle connections to it.

    Attributes:
        endpoint: The endpoint as listed last.
        idle: Its idle connections, the most recently used last.
        listed_as: Number of the update in which its process, by address and start, was first listed.
        is_replaced: Whether another process has come up at its address since then.
        longest_extra_s: Longest time in s seen from a reply of this process to bytes behind it; None if there
            were none.
    """

    endpoint: Endpoint
    idle: list[UpstreamConnection] = field(default_factory=list)
    listed_as: int = 0
    is_replaced: bool = False
    longest_extra_s: float | None = None

    def reuse_delay_s(self) -> float:
        """Return how long after a reply its connection is not reused, in s."""
        seen_s = self.longest_extra_s or 0.0
        return max(REUSE_DELAY_S, min(MAX_REUSE_DELAY_S, REUSE_DELAY_FACTOR * seen_s))

    def extra_bytes_seen(self, since_reply_s: float) -> None:
        """Record bytes that followed a reply after so many s."""
        self.longest_extra_s = max(self.longest_extra_s or 0.0, since_reply_s)

    @property
    def address(self) -> Address:
        """Return the endpoint's address in the current endpoint list."""
        return self.endpoint.address

    def came_before(self, other: EndpointPool) -> bool:
        """Return whether this endpoint's process is older than the other's, as far as the lists tell."""
        own_start, other_start = self.endpoint.started_at_ms, other.endpoint.started_at_ms
        return (own_start, self.listed_as) < (other_start, other.listed_as)


class UpstreamConnection:
    """A connection to an endpoint, from the creation of its socket to its close."""

    def __init__(self, pool: EndpointPool, group: ConnectionOwner) -> None:
        """Create the socket and register with the group.

        Raises:
            OSError: no descriptor is left.
        """
        self.pool, self.endpoint, self.group = pool, pool.endpoint, group
        family = address_family(pool.address)
        self.stream = IOStream(
            socket.socket(family), max_buffer_size=MAX_STREAM_BUFFER_BYTES, read_chunk_size=CHUNK_BYTES
        )
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES, group.memory.hold)
        self.pending_result: asyncio.Future[AttemptResult] | None = None
        self.value_bytes = 0  # of a reply that its attempt's task has not taken yet
        self.attempts = 0
        self.close_reason: UpstreamCloseReason | None = None
        self.idle_since = 0.0  # s, on the loop's clock
        self.stall_timer: asyncio.TimerHandle | None = None
        self.max_reply_s = math.inf  # for the awaited reply, from its first byte
        self.reply_deadline = math.inf  # s, on the loop's clock: when the awaited reply must be complete
        self.reader: asyncio.Task[None] | None = None
        group.connections.add(self)

    async def connect(self) -> None:
        """Dial the endpoint and start reading.

        Cancelling it leaves the connection for its owner to close.

        Raises:
            DialError: the connection was not established, or not in time; it is closed.
        """
        loop = asyncio.get_running_loop()
        timeout_s = self.group.dial_timeout_ms / 1000
        timer = loop.call_later(timeout_s, self.close, UpstreamCloseReason.DIAL_TIMEOUT)
        self.group.counters.add("dials")
        try:
            await self.stream.connect(self.pool.address)
        except (StreamClosedError, OSError) as failure:
            self.close(self.close_reason or UpstreamCloseReason.DIAL_FAILED)
            raise dial_error(failure) from None
        finally:
            timer.cancel()
        self.stream.set_nodelay(True)
        self.reader = loop.create_task(self._read())

    def is_reusable(self) -> bool:
        """Return whether an idle connection is open and has no unread bytes.

        A command written after the endpoint's close is lost and counts as one that may have run, so a peek
        looks for the close first. Bytes that the stream has read ahead of its task would be taken for the
        next attempt's reply.
        """
        if self.stream.closed() or self.buffer.has_completed_read():
            return False
        try:
            has_extra_bytes = bool(self.stream.socket.recv(1, socket.MSG_PEEK))
        except OSError as error:
            return error.errno in (errno.EAGAIN, errno.EWOULDBLOCK)
        if has_extra_bytes:
            self._record_extra_bytes()
        return False

    def _record_extra_bytes(self) -> float:
        """Record bytes that belong to no attempt; return the s since the last reply."""
        is_idle = self in self.pool.idle
        since_reply_s = asyncio.get_running_loop().time() - self.idle_since if is_idle else 0.0
        self.pool.extra_bytes_seen(since_reply_s)
        return since_reply_s

    async def exchange(
        self, data: bytes, on_written: Callable[[], None] = lambda: None, max_reply_s: float = math.inf
    ) -> AttemptResult:
        """Write a command and wait for its reply.

        Cancelling it leaves the command in flight on the connection, which the caller then has to close.

        Args:
            data: the encoded command.
            on_written: called once its last byte is written.
            max_reply_s: time limit of the reply, from its first byte to its last.

        Raises:
            ConnectionLostError: the connection was closed, by either side, before the reply was complete.
        """
        if self.stream.closed():
            raise ConnectionLostError(was_written=False)
        loop = asyncio.get_running_loop()
        self.pending_result = loop.create_future()
        started_at = loop.time()
        self.max_reply_s, self.reply_deadline = max_reply_s, math.inf
        self.attempts += 1
        written = self.stream.write(data)
        if written.done():
            _call_if_written(written, on_written)
        else:
            self._hold_until_done(written, len(data))
            written.add_done_callback(lambda future: _call_if_written(future, on_written))
        del data  # the stream has it until it is written; the reply may take long
        try:
            return await self.pending_result
        except StreamClosedError:
            closed_by_endpoint = self.close_reason in CLOSED_BY_ENDPOINT
            if closed_by_endpoint and self.attempts > 1 and loop.time() - started_at < STALE_RESET_WITHIN_S:
                self.group.reduce_max_idle(started_at - self.idle_since)
            was_written = written.done() and written.exception() is None
            raise ConnectionLostError(was_written) from None
        finally:
            self.pending_result = None
            self._hold_value(0)

    def _hold_value(self, size: int) -> None:
        """Count a value of `size` bytes until its attempt's task goes on and responds with it."""
        self.group.memory.hold(size - self.value_bytes)
        self.value_bytes = size

    def _hold_until_done(self, written: asyncio.Future[None], size: int) -> None:
        memory = self.group.memory
        memory.hold(size)
        written.add_done_callback(lambda _: memory.hold(-size))

    def close(self, reason: UpstreamCloseReason) -> None:
        """Close the connection; an attempt on it ends as lost. A second call does nothing."""
        if self not in self.group.connections:
            return
        self.group.connections.discard(self)
        self.close_reason = reason
        self._stop_stall_timer()
        if self in self.pool.idle:
            self.pool.idle.remove(self)
        self.stream.close()
        self.buffer.release()
        if self.pending_result is not None and not self.pending_result.done():
            self.pending_result.set_exception(StreamClosedError())
        self.group.counters.trace.count_close("server_connections", reason)
        log.log_event(
            "server_connection_ended", server=self.pool.endpoint.id, reason=reason, tries=self.attempts
        )

    async def _read(self) -> None:
        """Read replies until the connection is closed."""
        reason = UpstreamCloseReason.ENDPOINT_CLOSED
        try:
            while True:
                await self._make_room()
                await self.buffer.fill(self.stream)
                self._process_reply()
        except StreamClosedError as closed:
            if closed.real_error:
                reason = UpstreamCloseReason.ENDPOINT_RESET
        except (resp.ProtocolError, MessageTooLongError) as error:
            self._reject_reply(error)
            return
        except Exception:
            reason = UpstreamCloseReason.EXCEPTION
            self.group.counters.add("exceptions")
            log.log_exception("server_connection_exception", server=self.pool.endpoint.id)
        self.close(reason)

    async def _make_room(self) -> None:
        """Make room for a reply whose length is known, and wait until there is memory for it.

        Until then it is not read, and TCP holds the endpoint back; the attempt's deadline ends the wait.
        """
        buffer = self.buffer
        value_end = resp.value_end(buffer.data, buffer.start, buffer.end)
        if value_end is None or value_end <= len(buffer.data):
            return
        size = min(buffer.max_bytes, value_end - buffer.start + CHUNK_BYTES)
        if not self.group.memory.admits_reply(size):
            self._stop_stall_timer()
            self.group.counters.add("replies_waited_for_memory")
        while not (self.group.memory.admits_reply(size) or self.stream.closed()):  # noqa: ASYNC110 - see below
            # Memory is released at every response, and none of those that wait has to be the first.
            await asyncio.sleep(MEMORY_POLL_S)
        buffer.make_room(size)

    def _process_reply(self) -> None:
        parsed = resp.parse_reply(self.buffer.data, self.buffer.start, self.buffer.end)
        if self.pending_result is None or self.pending_result.done():
            age_ms = 1000 * self._record_extra_bytes()
            raise resp.ProtocolError(f"bytes received while no attempt awaits a reply, {age_ms:.1f} ms late")
        if parsed is None:
            self._restart_stall_timer()
            return
        self.buffer.consume(parsed[1])
        self._stop_stall_timer()
        result = command_protocol.parse_attempt_result(parsed[0])
        self._hold_value(len(result.value or b""))
        self.pending_result.set_result(result)
        if self.buffer.start != self.buffer.end:  # the next attempt would read them as its reply
            self._record_extra_bytes()
            raise resp.ProtocolError("unexpected bytes after a complete reply")

    def _restart_stall_timer(self) -> None:
        """Restart the time limit of an incomplete reply after new bytes.

        A long reply may come slowly, in small pieces; one that stalls or never ends is rejected while there
        is time left for a retry.
        """
        loop = asyncio.get_running_loop()
        self.reply_deadline = min(self.reply_deadline, loop.time() + self.max_reply_s)
        self._stop_stall_timer()
        stalled_at = min(self.reply_deadline, loop.time() + REPLY_STALL_TIMEOUT_S)
        self.stall_timer = loop.call_at(stalled_at, self._reject_stalled_reply)

    def _reject_stalled_reply(self) -> None:
        if not self.buffer.has_completed_read():  # else the reading task goes on with it
            self._reject_reply("reply stalled or not complete in time")

    def _stop_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def _reject_reply(self, cause: object) -> None:
        """Close the connection on a malformed reply and end its attempt with `ERROR`.

        The attempt may have run, but the endpoint is alive: with `RESET` the policy took it for dead and
        migrated all attempts from it.
        """
        self.group.counters.add("malformed_replies")
        log.log_event("malformed_reply", server=self.pool.endpoint.id, why=cause)
        if self.pending_result is not None and not self.pending_result.done():
            self.pending_result.set_result(AttemptResult(AttemptStatus.ERROR))
        self.close(UpstreamCloseReason.MALFORMED_REPLY)


def _call_if_written(written: asyncio.Future[None], callback: Callable[[], None]) -> None:
    if not written.cancelled() and written.exception() is None:
        callback()
