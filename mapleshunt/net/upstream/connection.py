"""One connection to an endpoint. It carries one attempt at a time.

Replies come in the order of commands, so that an attempt that is cancelled ends its connection: the reply
still to come on it would be taken for that of the next attempt.
"""

from __future__ import annotations

import asyncio
import errno
import math
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

from tornado.iostream import IOStream, StreamClosedError

from .. import log
from ..config import Address, address_family
from ..counters import Counters
from ..messages import AttemptResult
from ..protocol import command_protocol, resp
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..reasons import AttemptStatus, UpstreamCloseReason
from .dial import dial_error
from .endpoint import Endpoint
from .errors import ConnectionLostError

# For which a reply that has begun may bring nothing: one that stalls is given up while there is time for a
# retry.
REPLY_STALL_TIMEOUT_S = 0.1
# A kept connection that is reset so soon under an attempt had been closed by the endpoint before.
STALE_RESET_WITHIN_S = 0.02
CLOSED_BY_ENDPOINT = (UpstreamCloseReason.ENDPOINT_CLOSED, UpstreamCloseReason.ENDPOINT_RESET)
# Four of the longest replies: none that is in good form overruns the stream's own buffer.
MAX_STREAM_BUFFER_BYTES = 4 * resp.MAX_MESSAGE_BYTES


class ConnectionOwner(Protocol):
    """What a connection needs of the group that it belongs to."""

    counters: Counters
    connections: set[UpstreamConnection]
    dial_timeout_ms: float

    def reduce_max_idle(self, idle_s: float) -> None:
        """Note that a connection was found closed after it had been idle for so long."""


@dataclass(slots=True, eq=False)
class EndpointPool:
    """An endpoint and the idle connections to it."""

    endpoint: Endpoint
    idle: list[UpstreamConnection] = field(default_factory=list)  # the last one used at the end

    @property
    def address(self) -> Address:
        """Return the endpoint's address as the list has it now."""
        return self.endpoint.address


class UpstreamConnection:
    """A connection to an endpoint, from its socket to its end."""

    def __init__(self, pool: EndpointPool, group: ConnectionOwner) -> None:
        """Make the socket and enter the group. Raises OSError if no descriptor is left."""
        self.pool, self.endpoint, self.group = pool, pool.endpoint, group
        family = address_family(pool.address)
        self.stream = IOStream(socket.socket(family), max_buffer_size=MAX_STREAM_BUFFER_BYTES)
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        self.pending_result: asyncio.Future[AttemptResult] | None = None
        self.attempts = 0
        self.close_reason: UpstreamCloseReason | None = None
        self.idle_since = 0.0  # s, on the loop's clock
        self.stall_timer: asyncio.TimerHandle | None = None
        self.max_reply_s = math.inf  # for the awaited reply, from its first byte
        self.reply_deadline = math.inf  # s, on the loop's clock: when the awaited reply has to be complete
        self.reader: asyncio.Task[None] | None = None
        group.connections.add(self)

    async def connect(self) -> None:
        """Dial, and begin to read.

        Cancelling it leaves the connection to be closed by its owner.

        Raises:
            DialError: the connection was not established in time; it is closed.
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
        """Tell whether nothing has come on an idle connection, its end above all.

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
        self, data: bytes, on_written: Callable[[], None] = lambda: None, max_reply_s: float = math.inf
    ) -> AttemptResult:
        """Write a command and wait for its reply.

        Cancelling it leaves the command on the connection, which the caller then has to close.

        Args:
            data: the command.
            on_written: called once its last byte is written.
            max_reply_s: in which a reply that has begun must be complete.

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
            written.add_done_callback(lambda future: _call_if_written(future, on_written))
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
        if self.pending_result is not None and not self.pending_result.done():
            self.pending_result.set_exception(StreamClosedError())
        self.group.counters.trace.count_close("server_connections", reason)
        log.log_event(
            "server_connection_ended", server=self.pool.endpoint.id, reason=reason, tries=self.attempts
        )

    async def _read(self) -> None:
        """Read replies until the connection ends."""
        reason = UpstreamCloseReason.ENDPOINT_CLOSED
        try:
            while True:
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

    def _process_reply(self) -> None:
        found = resp.parse_reply(self.buffer.data, self.buffer.start, self.buffer.end)
        if self.pending_result is None or self.pending_result.done():
            raise resp.ProtocolError("bytes that belong to no attempt")
        if found is None:
            self._restart_stall_timer()
            return
        self.buffer.consume(found[1])
        self._stop_stall_timer()
        self.pending_result.set_result(command_protocol.parse_attempt_result(found[0]))
        if self.buffer.start != self.buffer.end:  # the reply is good; what follows would spoil the next one
            raise resp.ProtocolError("bytes behind a reply")

    def _restart_stall_timer(self) -> None:
        """Give the rest of a reply its time.

        A long reply may come slowly, in small pieces; one that stalls, or never ends, is given up while
        there is time left for a retry.
        """
        loop = asyncio.get_running_loop()
        self.reply_deadline = min(self.reply_deadline, loop.time() + self.max_reply_s)
        self._stop_stall_timer()
        stalled_at = min(self.reply_deadline, loop.time() + REPLY_STALL_TIMEOUT_S)
        self.stall_timer = loop.call_at(stalled_at, self._reject_reply, "a reply that does not end")

    def _stop_stall_timer(self) -> None:
        if self.stall_timer is not None:
            self.stall_timer.cancel()
            self.stall_timer = None

    def _reject_reply(self, why: object) -> None:
        """Close on what is no reply. The attempt may have run, but its endpoint lives.

        Reported as "reset" it had the policy take the endpoint for dead and migrate all attempts from it.
        """
        self.group.counters.add("malformed_replies")
        log.log_event("malformed_reply", server=self.pool.endpoint.id, why=why)
        if self.pending_result is not None and not self.pending_result.done():
            self.pending_result.set_result(AttemptResult(AttemptStatus.ERROR))
        self.close(UpstreamCloseReason.MALFORMED_REPLY)


def _call_if_written(written: asyncio.Future[None], callback: Callable[[], None]) -> None:
    if not written.cancelled() and written.exception() is None:
        callback()
