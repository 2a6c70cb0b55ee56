"""One client connection: RESP commands in, responses out in the order of the commands."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import functools
import socket
from collections import deque
from collections.abc import Callable
from typing import Protocol

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from ...invariants import Guard, violations_of_close
from .. import log
from ..protocol import command_protocol, resp
from ..protocol.read_buffer import CHUNK_BYTES, MessageTooLongError, ReadBuffer
from ..reasons import ClientCloseReason
from ..request.parse import UnacceptableRequestError
from . import limits, socket_state
from .requests import RequestRegistry, admit_request, parse_command
from .response_slot import ResponseSlot

PONG = b"+PONG\r\n"


@functools.cache
def _discard_buffer() -> bytearray:
    """Return the buffer for bytes that are thrown away: one for all connections, made at the first flood."""
    return bytearray(limits.DISCARD_BYTES)


class PauseReason(enum.Enum):
    """What the next command of a connection waits for."""

    PIPELINE_FULL = "pipeline full"  # an earlier command's response
    WRITING = "writing"  # the client to read the responses that are being written
    TURN = "turn"  # other connections, which have their turn first


class ConnectionRegistry(RequestRegistry, Protocol):
    """What a connection needs of the group of all client connections."""

    is_ready: Callable[[], bool]
    connections: dict[ClientConnection, None]
    lingering_count: int
    draining: bool
    on_connection_ended: Callable[[], None]

    def remove(self, connection: ClientConnection) -> None:
        """Give up the place of a connection that is closed."""


class ClientConnection:
    """Serves one client, in the order of its commands.

    It reads at all times, so that a disconnect is seen at once, and takes commands no faster than it
    responds. An orderly close takes no further command, writes what is owed, ends this side and discards
    what still comes until the client has closed its own: closing over unread bytes would reset the
    connection, and a reset can take the last response from the client.
    """

    def __init__(self, stream: IOStream, registry: ConnectionRegistry, backlog_wait_s: float = 0.0) -> None:
        """Take over an accepted stream, which may have waited in the backlog for `backlog_wait_s` at most."""
        self.stream, self.registry = stream, registry
        self.backlog_wait_s = backlog_wait_s
        self.loop = asyncio.get_running_loop()
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        self.consumed_bytes = 0  # of all that were read
        self.arrivals: deque[tuple[int, float]] = deque()  # how many bytes had been read, and when
        self.slots: deque[ResponseSlot] = deque()  # of the commands that wait for their response, in order
        self.pending_write: asyncio.Future[None] | None = None
        self.pause_reason: PauseReason | None = None
        self.closing = False  # no further command is taken
        self.close_reason: ClientCloseReason | None = None
        self.command_count = 0
        self.unacceptable_count = 0
        # s, on the loop's clock, as the times below: when it was opened, or a byte was last read or written.
        self.last_activity_at = self.loop.time()
        self.command_started_at = self.last_activity_at  # when the first byte of the next command came
        self.last_write_at = 0.0  # when a response was last written
        self.task: asyncio.Task[None] | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        stream.set_nodelay(True)

    # Reading

    async def run(self) -> None:
        """Read until the connection is closed. It is never cancelled: `close` ends it."""
        while self in self.registry.connections:
            try:
                if self.closing:
                    await self._discard_input()
                elif self.pause_reason and self._is_buffer_full():
                    await self._wait_with_full_buffer()
                else:
                    await self._read()
                    self._process_commands()
            except StreamClosedError as closed:
                by_client = ClientCloseReason.CLIENT_CLOSED
                if closed.real_error:
                    by_client = ClientCloseReason.CLIENT_RESET
                self.close(self.close_reason or by_client)
            except MessageTooLongError as error:
                self._reject_malformed(error)
            except Exception:
                self._log_exception()
                if self.closing:
                    self.close(ClientCloseReason.EXCEPTION)
                else:
                    self._reply_and_close(command_protocol.FAILURE_REPLY, ClientCloseReason.EXCEPTION)

    def _is_buffer_full(self) -> bool:
        return self.buffer.end - self.buffer.start >= self.buffer.max_bytes - CHUNK_BYTES

    async def _wait_with_full_buffer(self) -> None:
        """Read no further for a moment. The end of a client that has gone is behind unread bytes."""
        if socket_state.has_hung_up(self._raw_socket()):
            self.close(ClientCloseReason.CLIENT_CLOSED)
            return
        consumed_before = self.consumed_bytes
        if self.pause_reason is PauseReason.PIPELINE_FULL:
            self._reject_flood()
        goes_on = self.pause_reason is PauseReason.TURN or self.consumed_bytes > consumed_before
        await asyncio.sleep(limits.FLOOD_READ_PAUSE_S if goes_on else limits.HANG_UP_CHECK_INTERVAL_S)

    async def _read(self) -> None:
        was_empty = self.buffer.start == self.buffer.end
        age_s = self._age_of_first_bytes()
        await self.buffer.fill(self.stream)
        self.last_activity_at = self.loop.time()
        if was_empty:
            self.command_started_at = self.last_activity_at
        read_bytes = self.consumed_bytes + self.buffer.end - self.buffer.start
        self.arrivals.append((read_bytes, self.last_activity_at - age_s))
        if len(self.arrivals) > 4 * limits.MAX_PIPELINED_COMMANDS:
            self.arrivals.popleft()

    def _age_of_first_bytes(self) -> float:
        """Return the s since the last unread byte came, on a connection that waited to be accepted; else 0.

        Its client has been waiting since. Everywhere else bytes are read as they come.
        """
        waited_s, self.backlog_wait_s = self.backlog_wait_s, 0.0
        if not waited_s or not self.has_unread_bytes():
            return 0.0
        return min(waited_s, socket_state.seconds_since_last_data(self.stream.socket))

    async def _discard_input(self) -> None:
        await self.stream.read_into(_discard_buffer(), partial=True)
        await asyncio.sleep(limits.FLOOD_READ_PAUSE_S)  # it may go on at full speed: the others come first

    # Commands

    def _process_commands(self) -> None:
        """Process the complete commands that have been read, until the next one has to wait."""
        buffer = self.buffer
        try:
            while not (self.pause_reason or self.closing) and (
                found := resp.parse_command(buffer.data, buffer.start, buffer.end)
            ):
                # What a client that does not read can make the gateway hold is bounded here.
                if len(self.slots) >= limits.MAX_PIPELINED_COMMANDS:
                    self.pause_reason = PauseReason.PIPELINE_FULL
                elif self.pending_write is not None and not self.pending_write.done():
                    self.pause_reason = PauseReason.WRITING
                    self.pending_write.add_done_callback(lambda _: self._resume())
                else:
                    self.consumed_bytes += found[1] - buffer.start
                    buffer.consume(found[1])
                    self._process_command(found[0])
                    self.command_started_at = self.loop.time()
        except resp.ProtocolError as error:
            self._reject_malformed(error)
        except Exception:
            self._log_exception()
            self._reply_and_close(command_protocol.FAILURE_REPLY, ClientCloseReason.EXCEPTION)
        if not self.pause_reason:
            self.arrivals.clear()  # what is left is part of a command: its last byte is still to come

    def _process_command(self, words: list[memoryview]) -> None:
        self.command_count += 1
        if not self._handle_command(words, self._command_arrived_at()):
            self.unacceptable_count += 1
            if self.unacceptable_count == limits.MAX_UNACCEPTABLE_COMMANDS:
                raise resp.ProtocolError("too many commands that cannot be served")
            self.pause_reason = PauseReason.TURN
            self.loop.call_later(limits.UNACCEPTABLE_COMMAND_DELAY_S, self._resume)
        elif self.buffer.start != self.buffer.end:
            self.pause_reason = PauseReason.TURN
            self.loop.call_soon(self._resume)  # hundreds at once must not hold up other connections

    def _resume(self) -> None:
        self.pause_reason = None
        if self in self.registry.connections and not self.stream.closed():
            self._process_commands()

    def _command_arrived_at(self) -> float:
        """Return when the last byte of the command that was consumed last was read."""
        while len(self.arrivals) > 1 and self.arrivals[0][0] < self.consumed_bytes:
            self.arrivals.popleft()
        return self.arrivals[0][1] if self.arrivals else self.loop.time()

    def _handle_command(self, words: list[memoryview], arrived_at: float) -> bool:
        """Respond to a command or admit its request; False if it cannot be served."""
        slot = self._new_slot()
        if bytes(words[0]).upper() == b"PING":
            slot.put(PONG if self.registry.is_ready() else resp.encode_error("ERR not ready"))
            return True
        try:
            slot.context = parse_command(self.registry, words, slot, arrived_at, self.loop.time())
        except (command_protocol.InvalidCommandError, UnacceptableRequestError) as error:
            self.registry.counters.add("commands_unacceptable")
            slot.put(resp.encode_error(f"ERR {error}"))
            return False
        except Exception:
            self._log_exception()  # a defect met by one command: the others on this connection go on
            slot.put(command_protocol.FAILURE_REPLY)
            return True
        admit_request(self.registry, slot.context, is_first=self.command_count == 1)
        return True

    def _reject_flood(self) -> None:
        """Reject the commands that were read ahead, with more behind them in the kernel.

        Only by reading on is it seen that the client of a flood has gone. If it does not stop, the
        connection is closed.
        """
        if len(self.slots) >= limits.MAX_REJECTED_COMMANDS:
            self.registry.counters.add("floods_ended")
            self._reply_and_close(resp.encode_error("ERR too many commands at once"), ClientCloseReason.FLOOD)
            return
        try:
            while found := resp.parse_command(self.buffer.data, self.buffer.start, self.buffer.end):
                self.consumed_bytes += found[1] - self.buffer.start
                self.buffer.consume(found[1])
                self.command_count += 1
                self.registry.counters.add("rejected_flood")
                self._new_slot().put(command_protocol.encode_rejection(limits.IMMEDIATE_RETRY_AFTER_MS))
        except resp.ProtocolError as error:
            self._reject_malformed(error)

    def _reject_malformed(self, error: Exception) -> None:
        self.registry.counters.add("malformed_commands")
        self._reply_and_close(resp.encode_error(f"ERR {error}"), ClientCloseReason.MALFORMED_COMMAND)

    def _log_exception(self) -> None:
        self.registry.counters.add("exceptions")
        log.log_exception("client_connection_exception")

    # Responses

    def _new_slot(self) -> ResponseSlot:
        slot = ResponseSlot(self)
        self.slots.append(slot)
        return slot

    def flush(self) -> None:
        """Write the responses that are next in order."""
        ready: list[bytes] = []
        while self.slots and (data := self.slots[0].data) is not None:
            ready.append(data)
            self.slots.popleft()
        if ready and not self.stream.closed():
            self._write(b"".join(ready))
        is_pipeline_open = len(self.slots) < limits.MAX_PIPELINED_COMMANDS
        if self.pause_reason is PauseReason.PIPELINE_FULL and is_pipeline_open:
            self.pause_reason = PauseReason.TURN
            self.loop.call_soon(self._resume)
        if self.closing or self.registry.draining:
            self.continue_close()

    def _write(self, data: bytes) -> None:
        self.last_activity_at = self.last_write_at = self.loop.time()
        try:
            self.pending_write = self.stream.write(data)
        except StreamBufferFullError:
            self.close(ClientCloseReason.SLOW_CLIENT)
        except StreamClosedError:
            self.close(ClientCloseReason.CLIENT_RESET)

    # State

    def is_writing(self) -> bool:
        """Tell whether a response is not yet written whole."""
        return self.pending_write is not None and not self.pending_write.done()

    def is_busy(self) -> bool:
        """Tell whether a response is owed or not yet written, or part of a command has come."""
        has_part = self.buffer.start != self.buffer.end and not self.closing
        if has_part and self.registry.rejecting_new_requests and self.command_count:
            # A client that goes on sending would never be done: only complete commands count, which wait.
            has_part = self.pause_reason is not None
        return bool(self.slots) or has_part or self.is_writing()

    def has_unread_bytes(self) -> bool:
        """Tell whether bytes have come that are not read yet, perhaps a request to be taken first."""
        return socket_state.has_unread_bytes(self._raw_socket())

    def _raw_socket(self) -> socket.socket | None:
        """Return the stream's socket; None if the stream has closed and `run` has not seen it yet."""
        raw: socket.socket | None = self.stream.socket
        return raw

    # Closing

    def close_if_overdue(self, now: float) -> None:
        """Close the connection if its client does not read, stalls in a command, or has long been idle."""
        if self.slots:
            return
        if self.is_writing():
            if now - self.last_write_at > limits.RESPONSE_READ_TIMEOUT_S:
                self.close(ClientCloseReason.SLOW_CLIENT)
            return
        has_part = self.buffer.start != self.buffer.end
        if self.closing or self.pause_reason or not self._is_overdue(now, has_part):
            return
        if self.has_unread_bytes():
            return
        if has_part:
            text = resp.encode_error("ERR a command was begun and not ended")
            self._reply_and_close(text, ClientCloseReason.INCOMPLETE_COMMAND)
        else:
            self.start_close(ClientCloseReason.IDLE)

    def _is_overdue(self, now: float, has_part: bool) -> bool:
        is_command_late = has_part and now - self.command_started_at > limits.COMMAND_READ_TIMEOUT_S
        return is_command_late or now - self.last_activity_at >= limits.IDLE_TIMEOUT_S

    def _reply_and_close(self, data: bytes, reason: ClientCloseReason) -> None:
        """Take no further command; close once what is owed and this last line are written."""
        self.closing, self.close_reason = True, reason
        self._new_slot().put(data)

    def start_close(self, reason: ClientCloseReason) -> None:
        """Begin the orderly close. A request that crosses it is unread when the client sees the close."""
        if not self.closing:
            self.closing, self.close_reason = True, reason
            self.continue_close()

    def continue_close(self) -> None:
        """Go on with the close that has begun, or begin it while draining, once nothing is owed."""
        if self.is_busy():
            if not self.slots and self.is_writing() and self.pending_write is not None:
                self.pending_write.add_done_callback(lambda _: self.continue_close())
        elif not self.closing:
            self._close_drained()
        elif not self.last_write_at:  # no response is on its way that a reset could take along
            self.close_lingering()
        elif self.linger_timer is None and self in self.registry.connections:
            self._linger()

    def _close_drained(self) -> None:
        if self.registry.rejecting_new_requests:
            self.start_close(ClientCloseReason.DRAINED_WHILE_REQUESTING)
        elif not self.has_unread_bytes():
            self.start_close(ClientCloseReason.DRAINED)

    def _linger(self) -> None:
        """End this side, and leave the client some time to close its own."""
        raw = self._raw_socket()
        if raw is None:
            return  # `run` closes it
        with contextlib.suppress(OSError):
            raw.shutdown(socket.SHUT_WR)
        self.linger_timer = self.loop.call_later(limits.LINGER_TIMEOUT_S, self.close_lingering)
        self.registry.lingering_count += 1
        self.registry.on_connection_ended()  # as good as closed: its place may be another's

    def close_lingering(self) -> None:
        """Close now what `start_close` has begun to close."""
        if self.close_reason is not None:
            self.close(self.close_reason)

    def close(self, reason: ClientCloseReason) -> None:
        """Close the connection at once; its open requests are released. A second call does nothing."""
        if self not in self.registry.connections:
            return
        self.registry.remove(self)
        self.closing = True
        self._check_close(reason)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.registry.lingering_count -= 1
        self.stream.close()
        log.log_event(
            "client_connection_ended", reason=reason, commands=self.command_count, owed=len(self.slots)
        )
        for slot in self.slots:
            if slot.context is not None and slot.context.awaiting_response:
                self.registry.driver.client_disconnected(slot.context)
        self.slots.clear()
        self.registry.on_connection_ended()

    def _check_close(self, reason: ClientCloseReason) -> None:
        trace = self.registry.counters.trace
        trace.count_close("client_connections", reason)
        contexts = [slot.context for slot in self.slots if slot.context and slot.context.awaiting_response]
        # Where no response was written the reset can take none along: the request crossed the close unread.
        is_unread = bool(self.last_write_at) and self.linger_timer is None and self.has_unread_bytes()
        subject = contexts[0].client_request_id if contexts else "connection"
        broken = violations_of_close(reason, len(contexts), is_unread)
        trace.report_violations(Guard.CLOSE, broken, subject)
