"""Client connections: RESP commands in, answers out in the order of the commands."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
import socket
from collections import deque
from collections.abc import Callable

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from . import log, resp, svc
from .buffer import CHUNK, ReadBuffer, TooLong
from .context import RequestContext
from .counters import Counters
from .driver import Driver
from .stages.admit import admit
from .stages.take_in import Unacceptable, take_in

MOST_PENDING = 32  # commands of a connection that wait for their answer before reading pauses
MOST_UNWRITTEN = MOST_PENDING * (resp.MAX_VALUE + 64)  # bytes
LINGER = 1.0  # s for which a client that got its last line may still end the connection itself
IDLE = 2.0  # s that a connection may stand with nothing owed on it, or with a command begun and not ended
SILENT = 0.2  # s after which a connection that has brought nothing is the first to make room
UNREAD = 10.0  # s that an answer may wait for its client to read it
STRIKES = 10  # commands that ask for nothing to be had, after which their connection ends
PACE = 0.05  # s before the next command is read after such a one
WASTE = bytearray(16 * CHUNK)  # where bytes go that nobody will read; shared, for they are never looked at


class Service:
    """What all client connections share."""

    def __init__(self, driver: Driver, counters: Counters, seed: int, max_open: int) -> None:
        self.driver, self.counters, self.max_open = driver, counters, max_open
        # Peers name a request by a part of its number: one that begins anew after a restart must not meet
        # the answers to questions from before.
        self.refs = itertools.count(random.Random(seed).getrandbits(40))
        self.connections: dict[ClientConnection, None] = {}  # the oldest first
        self.ids: set[str] = set()  # of the requests that are open
        self.ready: Callable[[], bool] = lambda: True
        self.draining = False  # a connection ends as soon as nothing is owed on it
        self.deaf = False  # one with an answer owed is not read any further
        self.ended: Callable[[], None] = lambda: None  # told of each connection that ends

    def serve(self, stream: IOStream) -> None:
        connection = ClientConnection(stream, self)
        self.connections[connection] = None
        self.counters.add("client_connections")
        connection.task = asyncio.get_running_loop().create_task(connection.run())

    def make_room(self, rested: float = 0.0) -> bool:
        """End a connection with nothing owed on it for `rested` s, but for the newest; False if none is.

        Those that have brought nothing go first: clients that connect by hundreds and say nothing must not
        take the places of those that ask.
        """
        newest, now = next(reversed(self.connections), None), asyncio.get_running_loop().time()
        best: ClientConnection | None = None
        for one in self.connections:
            if one is newest or now - one.since < rested or one.busy():
                continue
            if not one.commands and now - one.since > SILENT and not one.unread():
                best = one
                break
            if (best is None or one.since < best.since) and not one.unread():
                best = one
        if best is not None:
            best.end("made_room")
        return best is not None

    def sweep(self, many: int, rested: float) -> None:
        """End what stands idle, stops in the middle of a command, or does not read its answers; and of
        more than `many` those that have rested.
        """
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections):
            connection.end_if_overdue(now)
        while len(self.connections) > many and self.make_room(rested):
            pass

    def tend(self, draining: bool, deaf: bool) -> None:
        """Close, while draining, every connection on which nothing is owed; new ones may ask first."""
        self.draining, self.deaf = draining, deaf
        now = asyncio.get_running_loop().time()
        for connection in list(self.connections) if draining else ():
            if connection.commands or now - connection.since > SILENT:
                connection.close_if_done()


class Slot:
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
        self.put(resp.bulk(value))

    def reject(self, wait: float) -> None:
        self.put(svc.rejection(wait))

    def fail(self) -> None:
        self.put(svc.FAILURE)


class ClientConnection:
    def __init__(self, stream: IOStream, service: Service) -> None:
        self.stream, self.service = stream, service
        self.buffer = ReadBuffer(resp.MAX_MESSAGE)
        self.slots: deque[Slot] = deque()
        self.written: asyncio.Future[None] | None = None
        self.room: asyncio.Future[None] | None = None  # what a paused reader waits for
        self.last = False  # no further command is read
        self.commands, self.strikes, self.reason = 0, 0, ""
        # When it was opened, last written to, or, once it has brought a command, when the next was begun.
        self.since = asyncio.get_running_loop().time()
        self.task: asyncio.Task[None] | None = None
        self.lingering: asyncio.TimerHandle | None = None
        stream.set_nodelay(True)

    async def run(self) -> None:
        """Read commands until the connection ends; one line in the log says why it did."""
        try:
            while not self.last:
                await self._take_whole()
                if self.last:
                    return await self._throw_away(self.reason)
                begun = self.buffer.start != self.buffer.end
                await self.buffer.fill(self.stream)
                if self.commands and not begun:
                    self.since = asyncio.get_running_loop().time()
        except StreamClosedError as closed:
            self.end("client_reset" if closed.real_error else "client_closed")
        except (resp.ProtocolError, TooLong) as error:
            self.service.counters.add("malformed_commands")
            await self._last(resp.error(f"ERR {error}"), "malformed_command")
        except Exception:
            self._trouble()
            await self._last(svc.FAILURE, "exception")

    async def _last(self, data: bytes, reason: str) -> None:
        """Take no more; end once what is owed and this last line are written."""
        self.last, self.reason = True, reason
        self._slot().put(data)
        await self._throw_away(reason)

    async def _throw_away(self, reason: str) -> None:
        """What still comes is read and thrown away: closing over unread bytes resets the connection, and a
        reset can take the last line from the client.
        """
        try:
            while True:
                await self.stream.read_into(WASTE, partial=True)
                await asyncio.sleep(PACE / 10)  # it may go on at full speed: the others come first
        except StreamClosedError:
            self.end(reason)

    def _trouble(self) -> None:
        self.service.counters.add("exceptions")
        log.trouble("client_connection_exception")

    async def _take_whole(self) -> None:
        """Take every whole command that has been read, no faster than answers go out."""
        while found := resp.parse_command(self.buffer.data, self.buffer.start, self.buffer.end):
            if self.last:  # it was ended while this waited
                return
            if self.service.deaf and self.slots:  # else one that always asks on would never end
                self.last, self.reason = True, "last_call"
                return
            self.buffer.consume(found[1])
            self.commands += 1
            if not self._take(found[0]):
                self.strikes += 1
                if self.strikes == STRIKES:
                    raise resp.ProtocolError("too many commands that cannot be served")
                await asyncio.sleep(PACE)
            # What a client that does not read can make the gateway hold is bounded here.
            while len(self.slots) >= MOST_PENDING:
                self.room = asyncio.get_running_loop().create_future()
                await self.room
            if self.written is not None and not self.written.done():
                await self.written
            if self.buffer.start != self.buffer.end:
                await asyncio.sleep(0)  # hundreds at once must not hold up other connections

    def _slot(self) -> Slot:
        slot = Slot(self)
        self.slots.append(slot)
        return slot

    def _take(self, words: list[memoryview]) -> bool:
        """False if the command asks for what is not to be had."""
        slot, driver = self._slot(), self.service.driver
        if bytes(words[0]).upper() == b"PING":
            slot.put(b"+PONG\r\n" if self.service.ready() else resp.error("ERR not ready"))
            return True
        try:
            intake = svc.intake(words)
            ref, ids = next(self.service.refs), self.service.ids
            context = take_in(intake, slot, driver.settings, ref, driver.now(), ids)
        except (svc.BadCommand, Unacceptable) as error:
            self.service.counters.add("commands_unacceptable")
            slot.put(resp.error(f"ERR {error}"))
            return False
        except Exception:
            self._trouble()  # a defect met by one command: the others on this connection go on
            slot.put(svc.FAILURE)
            return True
        slot.context = context
        admit(context, driver, self.service.max_open)
        return True

    def flush(self) -> None:
        """Write the answers that are next in order."""
        ready: list[bytes] = []
        while self.slots and (data := self.slots[0].data) is not None:
            ready.append(data)
            self.slots.popleft()
        if ready and not self.stream.closed():
            self.since = asyncio.get_running_loop().time()
            try:
                self.written = self.stream.write(b"".join(ready))
            except StreamBufferFullError:
                self.end("slow_client")
            except StreamClosedError:
                self.end("client_reset")
        if self.room is not None and not self.room.done() and len(self.slots) < MOST_PENDING:
            self.room.set_result(None)
        if self.last or self.service.draining:
            self.close_if_done()

    def busy(self) -> bool:
        """Is an answer owed or not yet written, or has part of a command come?"""
        part = self.buffer.start != self.buffer.end and not self.last
        return bool(self.slots) or part or (self.written is not None and not self.written.done())

    def unread(self) -> bool:
        """Has something come that is not read yet? It may be a request, which closing over it would lose."""
        try:
            return bool(self.stream.socket.recv(1, socket.MSG_PEEK))
        except OSError:
            return False

    def end_if_overdue(self, now: float) -> None:
        """Its client is owed an answer to what it asks, and no more than some time to ask it."""
        if self.last or self.slots or now - self.since < IDLE:
            return
        if self.written is not None and not self.written.done():
            if now - self.since > UNREAD:
                self.end("slow_client")
        elif not self.unread():
            if self.buffer.start == self.buffer.end:
                self.end("idle")
            else:
                self.last, self.reason = True, "half_a_command"
                self._slot().put(resp.error("ERR a command was begun and not ended"))

    def close_if_done(self) -> None:
        """Close a connection that is to end, once nothing is owed on it and all is written."""
        if not self.busy():
            if not self.last:
                if not self.unread():
                    self.end("drained")
            elif self.lingering is None:
                with contextlib.suppress(OSError):
                    self.stream.socket.shutdown(socket.SHUT_WR)
                self.lingering = asyncio.get_running_loop().call_later(LINGER, self.end, self.reason)
        elif not self.slots and self.written is not None and not self.written.done():
            self.written.add_done_callback(lambda _: self.close_if_done())

    def end(self, reason: str) -> None:
        if self not in self.service.connections:
            return
        del self.service.connections[self]
        self.last = True
        if self.lingering is not None:
            self.lingering.cancel()
        self.stream.close()
        log.say("client_connection_ended", reason=reason, commands=self.commands, owed=len(self.slots))
        for slot in self.slots:
            if slot.context is not None and slot.context.open:
                self.service.driver.gone(slot.context)
        self.slots.clear()
        if self.room is not None and not self.room.done():
            self.room.set_result(None)
        self.service.ended()
