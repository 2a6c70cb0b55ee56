"""A client connection: reads RESP commands and writes the responses in the order of the commands."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import functools
import socket
import time
from collections import deque
from collections.abc import Callable
from typing import TYPE_CHECKING, Protocol, cast

from tornado.iostream import IOStream, StreamClosedError

from ...lifecycle.lifecycle import DrainStage
from .. import log
from ..memory import MemoryAccount, MemoryBudget
from ..protocol import command_protocol, resp
from ..protocol.read_buffer import CHUNK_BYTES, MessageTooLongError, ReadBuffer
from ..reasons import ClientCloseReason
from ..request.parse import UnacceptableRequestError
from . import limits, socket_state
from .arrival_times import ArrivalTimes
from .close_report import check_close, log_close, report_crossing
from .read_grants import ReadGrants
from .requests import admit_request, parse_command
from .response_slot import ResponseSlot
from .skipped_command import SkippedCommand
from .write_buffer import WriteBuffer

PONG = b"+PONG\r\n"
INCOMPLETE_COMMAND_REPLY = resp.encode_error("ERR a command was begun and not ended")


@functools.cache
def _discard_buffer() -> bytearray:
    """Return the buffer for discarded bytes, shared by all connections and allocated at its first use."""
    return bytearray(limits.DISCARD_BYTES)


class PauseReason(enum.Enum):
    """Why a connection processes no further command for now."""

    PIPELINE_FULL = "pipeline full"  # too many earlier commands await their response
    MEMORY = "memory"  # the responses of earlier commands may need the memory that is left
    WRITING = "writing"  # the client has not yet read the responses written so far
    TURN = "turn"  # other connections are served first


# While paused so, with a full read buffer, further commands are rejected.
FLOOD_REASONS = (PauseReason.PIPELINE_FULL, PauseReason.MEMORY)

if TYPE_CHECKING:  # a protocol class costs memory in every gateway
    from .requests import RequestRegistry

    class ConnectionRegistry(RequestRegistry, Protocol):
        """The state and callbacks that a connection uses of the group of all client connections."""

        is_ready: Callable[[], bool]
        memory: MemoryBudget
        read_grants: ReadGrants
        connections: dict[ClientConnection, None]
        lingering_count: int
        on_connection_ended: Callable[[], None]

        def remove(self, connection: ClientConnection) -> None:
            """Remove a connection that is being closed."""


class ClientConnection:
    """Serves one client, in the order of its commands.

    It reads continuously, so that a disconnect is detected at once, but bounds the commands that await a
    response. A graceful close processes no further command, writes the pending responses, shuts down the
    write side and discards input until the client closes: closing a socket with unread bytes would reset
    the connection, and a reset can destroy the last response before the client reads it. The last response
    and the end leave in one segment: no request can follow the one and be crossed by the other.
    """

    def __init__(self, stream: IOStream, registry: ConnectionRegistry) -> None:
        """Serve an accepted stream."""
        self.stream, self.registry = stream, registry
        self.loop = asyncio.get_running_loop()
        self.memory = MemoryAccount(registry.memory)
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES, self.memory.hold)
        self.arrivals = ArrivalTimes()
        self.slots: deque[ResponseSlot] = deque()  # commands that await their response, in order
        self.output = WriteBuffer(stream, self.memory.release)
        self.pause_reason: PauseReason | None = None
        self.skipped: SkippedCommand | None = None  # the command whose body is being discarded
        self.closing = False  # no further command is processed
        self.answered_in_drain = False  # a response was written while the gateway was draining
        self.close_reason: ClientCloseReason | None = None
        self.command_count = 0
        self.unacceptable_count = 0
        # The times are seconds on the loop's clock: when it was opened, or bytes were last read or written.
        self.opened_at = self.last_activity_at = self.last_read_at = self.loop.time()
        self.command_started_at = self.last_activity_at  # when the next command's first byte was read
        self.ended_at = 0.0  # s, monotonic: when our side was shut down
        self.crossing_reported = False
        self.task: asyncio.Task[None] | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        self.hang_up_timer: asyncio.TimerHandle | None = None  # while it waits for memory
        stream.set_nodelay(True)

    # Reading

    async def run(self) -> None:
        """Read until the connection is closed. The task is never cancelled: `close` ends it."""
        while self in self.registry.connections:
            try:
                await self._read_on()
            except StreamClosedError as closed:
                reason = ClientCloseReason.CLIENT_CLOSED
                if closed.real_error:
                    reason = ClientCloseReason.CLIENT_RESET
                self.close(self.close_reason or reason)
            except (MessageTooLongError, resp.ProtocolError) as error:
                self._reject_malformed(error)
            except Exception:
                self._log_exception()
                if self.closing:
                    self.close(ClientCloseReason.EXCEPTION)
                else:
                    self._reply_and_close(command_protocol.FAILURE_REPLY, ClientCloseReason.EXCEPTION)

    async def _read_on(self) -> None:
        """Read once, as the state of the connection asks for, and process what has come."""
        if self.closing:
            await self._discard_input()
        elif self.skipped is not None:
            await self._skip(self.skipped)
        elif self.pause_reason and not self._make_room_to_read_ahead():
            await self._wait_with_full_buffer()
        elif self.pause_reason or await self._make_room_for_command():
            await self._read()
            if self.closing:
                self._report_crossing(memoryview(self.buffer.data)[self.buffer.start : self.buffer.end])
            self._process_commands()

    def _make_room_to_read_ahead(self) -> bool:
        """Make room for what follows commands that wait; return whether there is some."""
        buffer = self.buffer
        if buffer.end - buffer.start >= buffer.max_bytes - CHUNK_BYTES:
            return False
        size = buffer.size_to_read(None)
        if size > max(CHUNK_BYTES, len(buffer.data)):
            return self.registry.read_grants.try_take(self, size)
        buffer.make_room(size)
        return True

    async def _make_room_for_command(self) -> bool:
        """Make room for the rest of a command, or begin to discard it; return whether there is room.

        Waits for a grant of memory if the command is longer than the first buffer. Cancelling it withdraws
        the request.

        Raises:
            MessageTooLongError: the command exceeds the limit.
        """
        buffer = self.buffer
        command = resp.scan_command(buffer.data, buffer.start, buffer.end)
        size = buffer.size_to_read(None if command is None else command.end - buffer.start)
        if size <= max(CHUNK_BYTES, len(buffer.data)):
            buffer.make_room(size)
            return True
        if await self._take_grant(size):
            return not self.closing
        if not self.closing and self in self.registry.connections:
            self._begin_skip()
        return False

    async def _take_grant(self, size: int) -> bool:
        """Wait for a grant of memory, and check for a disconnect meanwhile: nothing is read."""
        if self.registry.read_grants.try_take(self, size):
            return True
        self._check_hang_up_later()
        try:
            return await self.registry.read_grants.take(self, size)
        finally:
            if self.hang_up_timer is not None:
                self.hang_up_timer.cancel()

    def _check_hang_up_later(self) -> None:
        self.hang_up_timer = self.loop.call_later(limits.HANG_UP_CHECK_INTERVAL_S, self._check_hang_up)

    def _check_hang_up(self) -> None:
        if socket_state.has_hung_up(self._raw_socket()):
            self.close(ClientCloseReason.CLIENT_CLOSED)
        else:
            self._check_hang_up_later()

    def grant_bytes(self, size: int) -> None:
        """Replace the read buffer by one of that size; it counts as held from now on."""
        self.buffer.make_room(size)

    def has_grant(self) -> bool:
        """Return whether its read buffer is longer than the first one."""
        return len(self.buffer.data) > CHUNK_BYTES and self in self.registry.connections

    def give_way(self) -> bool:
        """End the connection because its command does not come; return whether it was ended.

        One that was answered nothing yet is closed at once: while it lingered, it would keep its buffer.
        """
        is_owed_nothing = not (self.slots or self.closing or self.pause_reason or self.output.is_writing())
        if not is_owed_nothing or not self.has_partial_command() or self._has_new_input():
            return False
        if self.output.last_write_at:
            self._reply_and_close(INCOMPLETE_COMMAND_REPLY, ClientCloseReason.INCOMPLETE_COMMAND)
        else:
            self.close(ClientCloseReason.INCOMPLETE_COMMAND)
        return True

    def _begin_skip(self) -> None:
        """Discard the rest of a command for which there is no memory, and reject it once it is complete."""
        command = resp.scan_command(self.buffer.data, self.buffer.start, self.buffer.end)
        if command is None or command.is_complete:
            return  # it was consumed meanwhile
        if not command.lacks_only_body():
            raise resp.ProtocolError("the words ahead of the body are too long")
        self.registry.counters.add("commands_skipped")
        read_bytes = self.buffer.end - self.buffer.start
        self.skipped = SkippedCommand(command, self.buffer.start, read_bytes)
        self.arrivals.clear()
        self.arrivals.consume(read_bytes)
        self.buffer.consume(self.buffer.end)

    async def _skip(self, skipped: SkippedCommand) -> None:
        """Discard what has come of a skipped command; reject it at its end."""
        target = memoryview(_discard_buffer())[: skipped.missing_bytes]
        count = await self.stream.read_into(cast(bytearray, target), partial=True)
        self.last_activity_at = self.last_read_at = self.loop.time()
        self.arrivals.consume(count)
        skipped.missing_bytes -= count
        if skipped.missing_bytes or self.closing:
            return
        self.skipped = None
        self.command_count += 1
        arrived_at = self.last_activity_at - self._age_of_last_data()
        self._handle_command(skipped.words_without_body(), skipped.size, arrived_at, has_memory=False)
        self.command_started_at = self.loop.time()

    async def _wait_with_full_buffer(self) -> None:
        """Pause reading, and check for a disconnect, which unread bytes hide from reads."""
        if socket_state.has_hung_up(self._raw_socket()):
            self.close(ClientCloseReason.CLIENT_CLOSED)
            return
        consumed_before = self.arrivals.consumed_bytes
        if self.pause_reason in FLOOD_REASONS:
            self._reject_flood()
        has_progress = self.pause_reason is PauseReason.TURN or self.arrivals.consumed_bytes > consumed_before
        await asyncio.sleep(limits.FLOOD_READ_PAUSE_S if has_progress else limits.HANG_UP_CHECK_INTERVAL_S)

    async def _read(self) -> None:
        was_empty = self.buffer.start == self.buffer.end
        await self.buffer.fill_room(self.stream)
        self.last_activity_at = self.last_read_at = self.loop.time()
        if was_empty:
            self.command_started_at = self.last_activity_at
        unconsumed_bytes = self.buffer.end - self.buffer.start
        self.arrivals.add_read(unconsumed_bytes, self.last_activity_at - self._age_of_last_data())

    def _age_of_last_data(self) -> float:
        """Return how many seconds ago the kernel received the last bytes; their client waits since then."""
        sock = self._raw_socket()
        return 0.0 if sock is None else socket_state.seconds_since_last_data(sock)

    async def _discard_input(self) -> None:
        count = await self.stream.read_into(_discard_buffer(), partial=True)
        self._report_crossing(memoryview(_discard_buffer())[:count])
        await asyncio.sleep(limits.FLOOD_READ_PAUSE_S)  # yield to other connections during a flood

    def _report_crossing(self, data: memoryview) -> None:
        """Report the first bytes that are discarded because our side has ended."""
        if self.crossing_reported or not self.ended_at or not data:
            return
        self.crossing_reported = True
        age_s = self._age_of_last_data()
        report_crossing(self.close_reason, data, self.ended_at, age_s, self.registry.counters)

    # Commands

    def _process_commands(self) -> None:
        """Process the complete commands that have been read, until a limit pauses the connection."""
        buffer = self.buffer
        try:
            while not (self.pause_reason or self.closing) and (
                parsed := resp.parse_command(buffer.data, buffer.start, buffer.end)
            ):
                # Bounds the memory that a client which does not read its responses can occupy.
                if len(self.slots) >= limits.MAX_PIPELINED_COMMANDS:
                    self.pause_reason = PauseReason.PIPELINE_FULL
                elif self.slots and not self.memory.admits_further(parsed[1] - buffer.start):
                    self.pause_reason = PauseReason.MEMORY
                    self.registry.counters.add("pauses_for_memory")
                elif self.output.is_writing():
                    self.pause_reason = PauseReason.WRITING
                    self.output.call_when_written(self._resume)
                else:
                    size = parsed[1] - buffer.start
                    words = buffer.detach(parsed[0], size)
                    self.arrivals.consume(size)
                    buffer.consume(parsed[1])
                    self._process_command(words, size)
                    self.command_started_at = self.loop.time()
        except resp.ProtocolError as error:
            self._reject_malformed(error)
        except Exception:
            self._log_exception()
            self._reply_and_close(command_protocol.FAILURE_REPLY, ClientCloseReason.EXCEPTION)
        if not self.pause_reason:
            self.arrivals.clear()  # only a partial command is left, whose last byte has not arrived

    def _process_command(self, words: list[memoryview], size: int) -> None:
        self.command_count += 1
        arrived_at = self._command_arrived_at()
        if self._has_left(arrived_at):
            self.close(ClientCloseReason.CLIENT_CLOSED)
            return
        if not self._handle_command(words, size, arrived_at, self._has_memory(size)):
            self.unacceptable_count += 1
            if self.unacceptable_count == limits.MAX_UNACCEPTABLE_COMMANDS:
                raise resp.ProtocolError("too many commands that cannot be served")
            self.pause_reason = PauseReason.TURN
            self.loop.call_later(limits.UNACCEPTABLE_COMMAND_DELAY_S, self._resume)
        elif self.buffer.start != self.buffer.end:
            self.pause_reason = PauseReason.TURN
            self.loop.call_soon(self._resume)  # a long pipeline must not delay other connections

    def _resume(self) -> None:
        self.pause_reason = None
        if self in self.registry.connections and not self.stream.closed():
            self._process_commands()

    def _command_arrived_at(self) -> float:
        """Return when the last byte of the command consumed last arrived."""
        arrived_at = self.arrivals.last_consumed_at()
        return self.loop.time() if arrived_at is None else arrived_at

    def _has_left(self, arrived_at: float) -> bool:
        """Return whether the client has closed its side after a command that waited since `arrived_at`.

        A close is seen in the reading, but the task may read it only after the commands before it.
        """
        has_waited = self.loop.time() - arrived_at > limits.HANG_UP_CHECK_INTERVAL_S
        return has_waited and socket_state.has_hung_up(self._raw_socket())

    def _has_memory(self, size: int) -> bool:
        """Return whether there is memory for a command of `size` bytes that has been read.

        Further commands have waited for it, and long ones are read with a grant.
        """
        return bool(self.slots) or size > CHUNK_BYTES or self.memory.admits_first(size)

    def _handle_command(
        self, words: list[memoryview], size: int, arrived_at: float, has_memory: bool
    ) -> bool:
        """Respond to a command or admit its request; return False if the command is unacceptable.

        `size` is the command's length in bytes. Without memory a request is rejected.
        """
        slot = self._new_slot()
        if bytes(words[0]).upper() == b"PING":
            slot.put(PONG if self.registry.is_ready() else resp.encode_error("ERR not ready"))
            return True
        try:
            context = slot.context = parse_command(self.registry, words, slot, arrived_at, self.loop.time())
        except (command_protocol.InvalidCommandError, UnacceptableRequestError) as error:
            self.registry.counters.add("commands_unacceptable")
            slot.put(resp.encode_error(f"ERR {error}"))
            return False
        except Exception:
            self._log_exception()  # fails only this command, not its connection
            slot.put(command_protocol.FAILURE_REPLY)
            return True
        is_first = len(self.slots) == 1 and not self.answered_in_drain
        if has_memory:
            slot.hold_request(size)
        admit_request(self.registry, context, is_first, has_memory)
        return True

    def _reject_flood(self) -> None:
        """Reject the buffered commands of a client that fills both its pipeline and the read buffer.

        Only further reading reveals a disconnect behind the bytes still queued in the kernel. At
        `MAX_REJECTED_COMMANDS` the connection is closed.
        """
        if sum(slot.commands for slot in self.slots) >= limits.MAX_REJECTED_COMMANDS:
            self.registry.counters.add("floods_ended")
            self._reply_and_close(resp.encode_error("ERR too many commands at once"), ClientCloseReason.FLOOD)
            return
        rejected = 0
        try:
            while parsed := resp.parse_command(self.buffer.data, self.buffer.start, self.buffer.end):
                self.arrivals.consume(parsed[1] - self.buffer.start)
                self.buffer.consume(parsed[1])
                rejected += 1
        except resp.ProtocolError as error:
            self._reject_buffered(rejected)
            self._reject_malformed(error)
        else:
            self._reject_buffered(rejected)

    def _reject_buffered(self, commands: int) -> None:
        """Respond to so many commands, in one slot: a client may send thousands."""
        if commands:
            self.command_count += commands
            self.registry.counters.add("rejected_flood", commands)
            rejection = command_protocol.encode_rejection(limits.IMMEDIATE_RETRY_AFTER_MS)
            self._new_slot(commands).put(commands * rejection)

    def _reject_malformed(self, error: Exception) -> None:
        self.registry.counters.add("malformed_commands")
        self._reply_and_close(resp.encode_error(f"ERR {error}"), ClientCloseReason.MALFORMED_COMMAND)

    def _log_exception(self) -> None:
        self.registry.counters.add("exceptions")
        log.log_exception("client_connection_exception")

    # Responses

    def _new_slot(self, commands: int = 1) -> ResponseSlot:
        slot = ResponseSlot(self, commands)
        self.slots.append(slot)
        return slot

    def flush(self) -> None:
        """Write the completed responses at the head of the queue."""
        ready: list[bytes] = []
        while self.slots and (data := self.slots[0].data) is not None:
            ready.append(data)
            self.slots.popleft()
        if ready and not self.stream.closed():
            self._end_with_response_if_draining()
            if self.closing and not self.slots:
                socket_state.hold_back_last_segment(self._raw_socket())
            self._write(ready)
        is_pipeline_open = len(self.slots) < limits.MAX_PIPELINED_COMMANDS
        if self.pause_reason in FLOOD_REASONS and is_pipeline_open:
            self.pause_reason = PauseReason.TURN
            self.loop.call_soon(self._resume)
        if self.closing or self.registry.drain_stage >= DrainStage.END_AT_REST:
            self.continue_close()

    def _end_with_response_if_draining(self) -> None:
        """Process no further command if the gateway drains and the response to be written is the last one."""
        if self.closing or self.registry.drain_stage < DrainStage.END_WITH_RESPONSE:
            return
        self.answered_in_drain = True
        has_input = self.buffer.start != self.buffer.end or self._has_new_input()
        if not self.slots and not has_input:
            self.closing, self.close_reason = True, ClientCloseReason.DRAINED

    def _write(self, responses: list[bytes]) -> None:
        self.last_activity_at = self.loop.time()
        try:
            self.output.write(responses, self.last_activity_at)
        except StreamClosedError:
            self.close(ClientCloseReason.CLIENT_RESET)

    # State

    def is_busy(self) -> bool:
        """Return whether a response is pending or being written, or a command is partly read."""
        has_partial_command = self.has_partial_command() and not self.closing
        if has_partial_command and self._must_end() and self.command_count:
            # A client that keeps sending would never become idle, so only paused complete commands count.
            has_partial_command = self.pause_reason is not None
        return bool(self.slots) or has_partial_command or self.output.is_writing()

    def has_partial_command(self) -> bool:
        """Return whether a command is partly read, or partly discarded."""
        return self.buffer.start != self.buffer.end or self.skipped is not None

    def is_stalled(self, now: float) -> bool:
        """Return whether no byte has come for `STALL_TIMEOUT_S`; `now` is s on the loop's clock."""
        return now - self.last_read_at >= limits.STALL_TIMEOUT_S

    def is_slow(self, now: float) -> bool:
        """Return whether a partly read command is stalled, or takes long; `now` is s on the loop's clock."""
        return self.is_stalled(now) or now - self.command_started_at >= limits.CROWDED_COMMAND_TIMEOUT_S

    def _must_end(self) -> bool:
        return self.registry.drain_stage >= DrainStage.FORCE_END

    def has_unread_bytes(self) -> bool:
        """Return whether the socket holds unread bytes, which may be a request."""
        return socket_state.has_unread_bytes(self._raw_socket())

    def _raw_socket(self) -> socket.socket | None:
        """Return the stream's socket, or None if the stream has closed and `run` has not handled it yet."""
        sock: socket.socket | None = self.stream.socket
        return sock

    # Closing

    def close_if_overdue(self, now: float) -> None:
        """Close the connection if its client does not read, stalls within a command or is idle too long."""
        if self.slots:
            return
        if self.output.is_writing():
            if now - self.output.last_write_at > limits.RESPONSE_READ_TIMEOUT_S:
                self.close(ClientCloseReason.SLOW_CLIENT)
            return
        has_partial_command = self.has_partial_command()
        if self.closing or self.pause_reason or not self._is_overdue(now, has_partial_command):
            return
        if has_partial_command and not self._has_new_input():
            self._reply_and_close(INCOMPLETE_COMMAND_REPLY, ClientCloseReason.INCOMPLETE_COMMAND)
        elif not has_partial_command:
            self.end_if_at_rest(ClientCloseReason.IDLE)

    def _is_overdue(self, now: float, has_partial_command: bool) -> bool:
        is_command_late = (
            has_partial_command and now - self.command_started_at > limits.COMMAND_READ_TIMEOUT_S
        )
        is_between_commands = self.command_count > 0 and not has_partial_command
        timeout_s = limits.IDLE_TIMEOUT_S if is_between_commands else limits.RECEIVE_TIMEOUT_S
        return is_command_late or now - self.last_activity_at >= timeout_s

    def _reply_and_close(self, data: bytes, reason: ClientCloseReason) -> None:
        """Process no further command; close once the pending responses and then `data` are written."""
        self.closing, self.close_reason = True, reason
        self._new_slot().put(data)

    def end_if_at_rest(self, reason: ClientCloseReason) -> bool:
        """Start the graceful close unless a command is pending or may have arrived; return whether it did.

        Every close that the gateway chooses for a connection at rest goes through here.
        """
        if self.closing or self.is_busy() or self._has_new_input():
            return False
        self.start_close(reason)
        return True

    def _has_new_input(self) -> bool:
        """Return whether input has arrived that this connection's task has not seen yet.

        The loop runs the stream's reads first, then timers, then tasks: a timer must look at both.
        """
        return self.buffer.has_completed_read() or self.has_unread_bytes()

    def start_close(self, reason: ClientCloseReason) -> None:
        """Start the graceful close. A request that crosses it is discarded, not served."""
        if not self.closing:
            self.closing, self.close_reason = True, reason
            self.continue_close()

    def continue_close(self) -> None:
        """Continue a started close, or start one while draining, once the connection is not busy."""
        if self.is_busy():
            if not self.slots and self.output.is_writing():
                self.output.call_when_written(self.continue_close)
        elif not self.closing:
            self._close_drained()
        elif not self.output.last_write_at:  # no response was written that a reset could destroy
            self.close_lingering()
        elif self.linger_timer is None and self in self.registry.connections:
            self._linger()

    def _close_drained(self) -> None:
        if not self._must_end():
            self.end_if_at_rest(ClientCloseReason.DRAINED)
        elif not self.buffer.has_completed_read():
            self.start_close(ClientCloseReason.DRAINED_WHILE_REQUESTING)

    def _linger(self) -> None:
        """Shut down the write side, and give the client `LINGER_TIMEOUT_S` to close."""
        sock = self._raw_socket()
        if sock is None:
            return  # `run` closes it
        with contextlib.suppress(OSError):
            sock.shutdown(socket.SHUT_WR)
        self.ended_at = time.monotonic()
        self.linger_timer = self.loop.call_later(limits.LINGER_TIMEOUT_S, self.close_lingering)
        self.registry.lingering_count += 1
        self.registry.on_connection_ended()  # a lingering connection frees capacity for another

    def close_lingering(self) -> None:
        """Complete a started close without waiting for the client."""
        if self.close_reason is not None:
            self.close(self.close_reason)

    def close(self, reason: ClientCloseReason) -> None:
        """Close the connection at once and release its open requests. A second call does nothing."""
        if self not in self.registry.connections:
            return
        self.registry.remove(self)
        self.closing = True
        has_unread_bytes = self.linger_timer is None and self.has_unread_bytes()
        check_close(self, reason, has_unread_bytes, self.registry.counters.trace)
        if self.linger_timer is not None:
            self.linger_timer.cancel()
            self.registry.lingering_count -= 1
        self.stream.close()
        log_close(self, reason, has_unread_bytes)
        for slot in self.slots:
            if slot.context is not None and slot.context.awaiting_response:
                self.registry.driver.client_disconnected(slot.context)
        self.slots.clear()
        self.memory.close()
        self.registry.read_grants.forget(self)
        self.registry.on_connection_ended()
