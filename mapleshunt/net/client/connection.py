"""Client connections: RESP commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import math
import random
import select
import socket
import struct
from collections import deque
from collections.abc import Callable
from dataclasses import replace

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from ...invariants import Guard, broken_by_closing
from .. import log
from ..counters import Counters
from ..policy_driver import PolicyDriver
from ..protocol import command_protocol as svc
from ..protocol import resp
from ..protocol.read_buffer import CHUNK_BYTES, MessageTooLongError, ReadBuffer
from ..request.admit import admit
from ..request.context import RequestContext
from ..request.parse import UnacceptableRequestError, parse

MAX_PIPELINED_COMMANDS = 32  # commands of a connection that wait for their answer before reading pauses
MAX_REFUSED_COMMANDS = 4096  # of such a connection that wait to be told that they are refused
MAX_UNWRITTEN_BYTES = MAX_PIPELINED_COMMANDS * (resp.MAX_VALUE_BYTES + 64)  # bytes
LINGER_TIMEOUT_S = 1.0  # s for which a client that got its last line may still end the connection itself
IDLE_TIMEOUT_S = (
    2.0  # s that a connection may stand with nothing owed on it, or with a command that does not go on
)
COMMAND_READ_TIMEOUT_S = 10.0  # s that a command which goes on may take from its first byte to its last
EVICT_SILENT_AFTER_S = 0.2  # s after which a connection that has brought nothing is the first to make room
RESPONSE_READ_TIMEOUT_S = 10.0  # s that an answer may wait for its client to read it
MAX_UNACCEPTABLE_COMMANDS = 10  # commands that ask for nothing to be had, after which their connection ends
UNACCEPTABLE_COMMAND_DELAY_S = 0.05  # s before the next command is taken after such a one
IMMEDIATE_RETRY_AFTER_MS = (
    1.0  # ms after which one that is turned away by this connection's state may ask on another
)
HANG_UP_CHECK_INTERVAL_S = (
    0.05  # s between two looks whether a client is still there that sent more than is read ahead
)
FLOOD_READ_PAUSE_S = (
    0.001  # s for the others between two reads of what is refused or thrown away, however much it is
)
TCP_INFO_BYTES = 104  # of Linux's struct tcp_info that are asked for
TCP_LAST_DATA_RECEIVED = 52  # where in it the ms are since data last came
DISCARD_BUFFER = bytearray(
    16 * CHUNK_BYTES
)  # where bytes go that nobody will read; shared, for they are never looked at


class ClientConnections:
    """What all client connections share."""

    def __init__(self, driver: PolicyDriver, counters: Counters, seed: int, max_open: int) -> None:
        self.driver, self.counters, self.max_open_requests = driver, counters, max_open
        # Peers name a request by a part of its number: one that begins anew after a restart must not meet
        # the answers to questions from before.
        self.request_ids = itertools.count(random.Random(seed).getrandbits(40))
        self.connections: dict[ClientConnection, None] = {}  # the oldest first
        self.open_client_ids: set[str] = set()  # of the requests that are open
        self.is_ready: Callable[[], bool] = lambda: True
        self.lingering_count = 0  # of the connections: those that only wait for their clients to end them
        self.final_deadline = (
            math.inf
        )  # on the loop's clock: by then all that is taken from now on has its answer
        self.draining = False  # a connection ends as soon as nothing is owed on it
        self.rejecting_new_requests = False  # what comes on one behind its first command is refused
        self.on_connection_ended: Callable[[], None] = (
            lambda: None
        )  # told of each connection that gives up its place

    def add(self, stream: IOStream, waited: float = 0.0) -> None:
        """Take the connection; what it brought may have waited in the backlog for so many s at most."""
        connection = ClientConnection(stream, self, waited)
        self.connections[connection] = None
        self.counters.add("client_connections")
        connection.task = asyncio.get_running_loop().create_task(connection.run())

    def evict_idle(self, rested: float = 0.0) -> bool:
        """End a connection with nothing owed on it for `rested` s, but for the newest; False if none is.

        Those that have brought nothing go first: clients that connect by hundreds and say nothing must not
        take the places of those that ask.
        """
        newest, now = next(reversed(self.connections), None), asyncio.get_running_loop().time()
        best: ClientConnection | None = None
        for one in self.connections:
            if one is newest or one.closing or now - one.last_activity_at < rested or one.is_busy():
                continue
            if (
                not one.command_count
                and now - one.last_activity_at > EVICT_SILENT_AFTER_S
                and not one.has_unread_bytes()
            ):
                best = one
                break
            if (best is None or one.last_activity_at < best.last_activity_at) and not one.has_unread_bytes():
                best = one
        if best is not None:
            best.start_close("made_room")
        return best is not None

    def close_lingering(self, most: int) -> None:
        """End what has lingered longest, so that no more than `most` do."""
        for connection in list(self.connections) if self.lingering_count > most else ():
            if connection.linger_timer is not None and self.lingering_count > most:
                connection.close(connection.close_reason)

    def reap_overdue(self, many: int, rested: float) -> None:
        """End what stands idle, stops in the middle of a command, or does not read its answers; and of
        more than `many` those that have rested.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.close_if_overdue(now)
        while len(self.connections) - self.lingering_count > many and self.evict_idle(rested):
            pass

    def close_idle(self, draining: bool, rejecting_new_requests: bool) -> None:
        """Close, while draining, every connection on which nothing is owed; new ones may ask first."""
        self.draining, self.rejecting_new_requests = draining, rejecting_new_requests
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections) if draining else ():
            if connection.command_count or now - connection.last_activity_at > EVICT_SILENT_AFTER_S:
                connection.continue_close()


class ResponseSlot:
    """The place of one answer in a connection's order."""

    __slots__ = ("connection", "context", "data")

    def __init__(self, connection: ClientConnection) -> None:
        self.connection = connection
        self.context: RequestContext | None = None
        self.data: bytes | None = None

    def put(self, data: bytes) -> None:
        self.data = data
        self.connection.flush()

    def serve(self, value: memoryview) -> None:
        self.put(resp.encode_bulk(value))

    def reject(self, wait: float) -> None:
        self.put(svc.encode_rejection(wait))

    def fail(self) -> None:
        self.put(svc.FAILURE_REPLY)


class ClientConnection:
    """Reads at all times, so that its client's leaving is seen at once, and takes commands no faster than
    answers go out. What comes once its end has begun is thrown away.
    """

    def __init__(self, stream: IOStream, service: ClientConnections, waited: float = 0.0) -> None:
        self.stream, self.registry = stream, service
        self.backlog_wait_s = (
            waited  # s that its first bytes may have stood in the kernel before it was accepted
        )
        self.loop = asyncio.get_running_loop()
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        self.consumed_bytes = 0  # bytes, of all that were read
        self.arrivals: deque[tuple[int, float]] = deque()  # how many bytes had been read, and when
        self.slots: deque[ResponseSlot] = deque()
        self.pending_write: asyncio.Future[None] | None = None
        self.pause_reason = ""  # what the next command waits for: "room", "writing" or "turn"
        self.closing = False  # no further command is taken
        self.command_count, self.unacceptable_count, self.close_reason = 0, 0, ""
        self.last_activity_at = self.command_started_at = (
            self.loop.time()
        )  # of: opening, last byte read or written; next command
        self.last_write_at = 0.0  # when an answer was last written
        self.task: asyncio.Task[None] | None = None
        self.linger_timer: asyncio.TimerHandle | None = None
        stream.set_nodelay(True)

    async def run(self) -> None:
        """Read until the connection ends; one line in the log says why it did."""
        while self in self.registry.connections:
            try:
                if self.closing:
                    await self._discard_input()
                elif (
                    self.pause_reason
                    and self.buffer.end - self.buffer.start >= self.buffer.max_bytes - CHUNK_BYTES
                ):
                    if self._has_hung_up():  # its end stands behind what is not read
                        return self.close("client_closed")
                    before = self.consumed_bytes
                    if self.pause_reason == "room":
                        self._reject_flood()
                    goes_on = self.pause_reason == "turn" or self.consumed_bytes > before
                    await asyncio.sleep(FLOOD_READ_PAUSE_S if goes_on else HANG_UP_CHECK_INTERVAL_S)
                else:
                    await self._read()
                    self._process_commands()
            except StreamClosedError as closed:
                return self.close(
                    self.close_reason or ("client_reset" if closed.real_error else "client_closed")
                )
            except MessageTooLongError as error:
                self._reject_malformed(error)
            except Exception:
                self._log_exception()
                if self.closing:
                    return self.close("exception")
                self._reply_and_close(svc.FAILURE_REPLY, "exception")

    async def _read(self) -> None:
        empty = self.buffer.start == self.buffer.end
        age = self._age_of_first_bytes()
        await self.buffer.fill(self.stream)
        self.last_activity_at = self.loop.time()
        self.command_started_at = self.last_activity_at if empty else self.command_started_at
        self.arrivals.append(
            (self.consumed_bytes + self.buffer.end - self.buffer.start, self.last_activity_at - age)
        )
        if len(self.arrivals) > 4 * MAX_PIPELINED_COMMANDS:
            self.arrivals.popleft()

    def _age_of_first_bytes(self) -> float:
        """s since the last unread byte came, on a connection which had to wait to be accepted; else 0.

        The client's patience has run since. Everywhere else bytes are read as they come.
        """
        waited, self.backlog_wait_s = self.backlog_wait_s, 0.0
        if not waited or not self.has_unread_bytes():
            return 0.0
        try:
            info = self.stream.socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
        except OSError:
            return 0.0
        if len(info) < TCP_INFO_BYTES:
            return 0.0
        age_ms: int = struct.unpack_from("=I", info, TCP_LAST_DATA_RECEIVED)[0]
        return min(waited, age_ms / 1000)

    def _reject_flood(self) -> None:
        """More came than is read ahead. What was read of it is refused: only by reading on is it seen that
        the client of a flood has gone. Of one that does not stop nothing further is taken.
        """
        if len(self.slots) >= MAX_REFUSED_COMMANDS:
            self.registry.counters.add("floods_ended")
            return self._reply_and_close(resp.encode_error("ERR too many commands at once"), "flood")
        try:
            while found := resp.parse_command(self.buffer.data, self.buffer.start, self.buffer.end):
                self.consumed_bytes += found[1] - self.buffer.start
                self.buffer.consume(found[1])
                self.command_count += 1
                self.registry.counters.add("rejected_flood")
                self._new_slot().put(svc.encode_rejection(IMMEDIATE_RETRY_AFTER_MS))
        except resp.ProtocolError as error:
            self._reject_malformed(error)

    async def _discard_input(self) -> None:
        """What still comes is read and thrown away: closing over unread bytes resets the connection, and a
        reset can take the last answer from the client.
        """
        await self.stream.read_into(DISCARD_BUFFER, partial=True)
        await asyncio.sleep(FLOOD_READ_PAUSE_S)  # it may go on at full speed: the others come first

    def _has_hung_up(self) -> bool:
        """Has the client ended its side, whatever stands unread before that?"""
        raw = self._raw_socket()
        if raw is None:
            return True
        poller = select.poll()
        poller.register(raw.fileno(), select.POLLRDHUP)
        return bool(poller.poll(0))

    def _reject_malformed(self, error: Exception) -> None:
        self.registry.counters.add("malformed_commands")
        self._reply_and_close(resp.encode_error(f"ERR {error}"), "malformed_command")

    def _reply_and_close(self, data: bytes, reason: str) -> None:
        """Take no more; end once what is owed and this last line are written."""
        self.closing, self.close_reason = True, reason
        self._new_slot().put(data)

    def _log_exception(self) -> None:
        self.registry.counters.add("exceptions")
        log.log_exception("client_connection_exception")

    def _process_commands(self) -> None:
        """Take the whole commands that have been read, until the next one has to wait."""
        buffer = self.buffer
        try:
            while not (self.pause_reason or self.closing) and (
                found := resp.parse_command(buffer.data, buffer.start, buffer.end)
            ):
                # What a client that does not read can make the gateway hold is bounded here.
                if len(self.slots) >= MAX_PIPELINED_COMMANDS:
                    self.pause_reason = "room"
                elif self.pending_write is not None and not self.pending_write.done():
                    self.pause_reason = "writing"
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
            self._reply_and_close(svc.FAILURE_REPLY, "exception")
        if not self.pause_reason:
            self.arrivals.clear()  # what is left is part of a command: its last byte is still to come

    def _process_command(self, words: list[memoryview]) -> None:
        self.command_count += 1
        if not self._handle_command(words, self._command_arrived_at()):
            self.unacceptable_count += 1
            if self.unacceptable_count == MAX_UNACCEPTABLE_COMMANDS:
                raise resp.ProtocolError("too many commands that cannot be served")
            self.pause_reason = "turn"
            self.loop.call_later(UNACCEPTABLE_COMMAND_DELAY_S, self._resume)
        elif self.buffer.start != self.buffer.end:
            self.pause_reason = "turn"
            self.loop.call_soon(self._resume)  # hundreds at once must not hold up other connections

    def _resume(self) -> None:
        self.pause_reason = ""
        if self in self.registry.connections and not self.stream.closed():
            self._process_commands()

    def _command_arrived_at(self) -> float:
        """When the last byte of the command that was consumed last was read."""
        while len(self.arrivals) > 1 and self.arrivals[0][0] < self.consumed_bytes:
            self.arrivals.popleft()
        return self.arrivals[0][1] if self.arrivals else self.loop.time()

    def _new_slot(self) -> ResponseSlot:
        slot = ResponseSlot(self)
        self.slots.append(slot)
        return slot

    def _handle_command(self, words: list[memoryview], arrived: float) -> bool:
        """False if the command asks for what is not to be had."""
        slot, driver = self._new_slot(), self.registry.driver
        if bytes(words[0]).upper() == b"PING":
            slot.put(b"+PONG\r\n" if self.registry.is_ready() else resp.encode_error("ERR not ready"))
            return True
        try:
            intake = svc.parse_request(words)
            # Behind others its time runs already, and it ends with the process.
            now = self.loop.time()
            left = min(
                intake.timeout_ms - (now - arrived) * 1000, (self.registry.final_deadline - now) * 1000
            )
            if left <= intake.timeout_ms - 1:
                intake = replace(intake, timeout_ms=max(1.0, left))
            ref, ids = next(self.registry.request_ids), self.registry.open_client_ids
            context = parse(intake, slot, driver.settings, ref, driver.now(), ids)
        except (svc.InvalidCommandError, UnacceptableRequestError) as error:
            self.registry.counters.add("commands_unacceptable")
            slot.put(resp.encode_error(f"ERR {error}"))
            return False
        except Exception:
            self._log_exception()  # a defect met by one command: the others on this connection go on
            slot.put(svc.FAILURE_REPLY)
            return True
        slot.context = context
        last_call = (
            self.registry.rejecting_new_requests and self.command_count > 1
        )  # else one that always asks on would never end
        if last_call:
            self.registry.counters.add("rejected_last_call")
        admit(
            context, driver, self.registry.max_open_requests, IMMEDIATE_RETRY_AFTER_MS if last_call else 0.0
        )
        return True

    def flush(self) -> None:
        """Write the answers that are next in order."""
        ready: list[bytes] = []
        while self.slots and (data := self.slots[0].data) is not None:
            ready.append(data)
            self.slots.popleft()
        if ready and not self.stream.closed():
            self.last_activity_at = self.last_write_at = self.loop.time()
            try:
                self.pending_write = self.stream.write(b"".join(ready))
            except StreamBufferFullError:
                self.close("slow_client")
            except StreamClosedError:
                self.close("client_reset")
        if self.pause_reason == "room" and len(self.slots) < MAX_PIPELINED_COMMANDS:
            self.pause_reason = "turn"
            self.loop.call_soon(self._resume)
        if self.closing or self.registry.draining:
            self.continue_close()

    def _check_close(self, reason: str) -> None:
        trace = self.registry.counters.trace
        trace.count_close("client_connections", reason)
        open_contexts = [
            slot.context for slot in self.slots if slot.context and slot.context.awaiting_response
        ]
        # Where no answer was written the reset can take none along: the request crossed the close unread.
        unread = bool(self.last_write_at) and self.linger_timer is None and self.has_unread_bytes()
        subject = open_contexts[0].client_request_id if open_contexts else "connection"
        trace.report_violations(Guard.CLOSE, broken_by_closing(reason, len(open_contexts), unread), subject)

    def is_writing(self) -> bool:
        return self.pending_write is not None and not self.pending_write.done()

    def is_busy(self) -> bool:
        """Is an answer owed or not yet written, or has part of a command come?"""
        part = self.buffer.start != self.buffer.end and not self.closing
        if (
            part and self.registry.rejecting_new_requests and self.command_count
        ):  # one that goes on writing would never end
            part = bool(self.pause_reason)  # only what was read whole waits
        return bool(self.slots) or part or self.is_writing()

    def has_unread_bytes(self) -> bool:
        """Has something come that is not read yet? It may be a request: it is taken before an end begins."""
        raw = self._raw_socket()
        if raw is None:
            return False
        try:
            return bool(raw.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def _raw_socket(self) -> socket.socket | None:
        """The stream's socket; None if the stream has closed and this connection's task has not run since."""
        raw: socket.socket | None = self.stream.socket
        return raw

    def close_if_overdue(self, now: float) -> None:
        """Its client is owed an answer to what it asks, and no more than some time to ask it."""
        part = self.buffer.start != self.buffer.end
        if self.slots:
            return
        if self.is_writing():
            if now - self.last_write_at > RESPONSE_READ_TIMEOUT_S:
                self.close("slow_client")
        elif (
            self.closing
            or self.pause_reason
            or (
                now - self.last_activity_at < IDLE_TIMEOUT_S
                and not (part and now - self.command_started_at > COMMAND_READ_TIMEOUT_S)
            )
            or self.has_unread_bytes()
        ):
            return
        elif part:
            self._reply_and_close(
                resp.encode_error("ERR a command was begun and not ended"), "half_a_command"
            )
        else:
            self.start_close("idle")

    def start_close(self, reason: str) -> None:
        """The one orderly end: take no more, write what is owed, end this side, then read on until the
        client has ended its own. A request that crosses it was not read before the client could see it.
        """
        if not self.closing:
            self.closing, self.close_reason = True, reason
            self.continue_close()

    def continue_close(self) -> None:
        """Go on with the end that has begun, or begin it where all are to end, once nothing is owed."""
        if self.is_busy():
            if not self.slots and self.is_writing() and self.pending_write is not None:
                self.pending_write.add_done_callback(lambda _: self.continue_close())
        elif not self.closing:
            if self.registry.rejecting_new_requests or not self.has_unread_bytes():
                self.start_close("last_call" if self.registry.rejecting_new_requests else "drained")
        elif not self.last_write_at:  # no answer is on its way that a reset could take along
            self.close(self.close_reason)
        elif self.linger_timer is None and self in self.registry.connections:
            if (raw := self._raw_socket()) is None:
                return  # the task of this connection ends it
            with contextlib.suppress(OSError):
                raw.shutdown(socket.SHUT_WR)
            self.linger_timer = self.loop.call_later(LINGER_TIMEOUT_S, self.close, self.close_reason)
            self.registry.lingering_count += 1
            self.registry.on_connection_ended()  # as good as ended: its place may be another's

    def close(self, reason: str) -> None:
        if self not in self.registry.connections:
            return
        del self.registry.connections[self]
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
