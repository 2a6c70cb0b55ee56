"""Till servers on sockets: RESP2 before the world's state machine, and what arrives at them on record."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError
from tornado.netutil import add_accept_handler

from ..fleet.backend import Backend, BackendRequest
from ..net.protocol import resp
from ..net.protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..simulation.records import ClientAttempt, UpstreamAttempt
from .ports import HOST

if TYPE_CHECKING:
    from .fleet import LoopbackFleet


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt that is out, on the connection it came by."""

    one: ClientAttempt
    attempt: UpstreamAttempt
    stream: IOStream
    done: asyncio.Future[str] = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class SocketBackend:
    """One till server. Its address stays the same when its process comes back."""

    def __init__(self, machine: Backend, fleet: LoopbackFleet) -> None:
        self.machine, self.fleet = machine, fleet
        self.listener = bound(0)
        self.port: int = self.listener.getsockname()[1]
        self.tasks: set[asyncio.Task[None]] = set()
        self.listening: Callable[[], None] | None = None
        self.listen()
        self.streams: set[IOStream] = set()
        self.held: dict[BackendRequest, InFlightAttempt] = {}
        self.alarm: asyncio.TimerHandle | None = None
        self.alarm_at = float("inf")

    # Life

    def listen(self) -> None:
        self.listener.listen(512)
        self.listening = add_accept_handler(self.listener, self._accept)

    def stop(self) -> None:
        """Take no more connections: new ones are refused."""
        if self.listening is not None:
            self.listening()
            self.listening = None
        self.listener.close()

    def _accept(self, connection: socket.socket, address: object) -> None:
        task = asyncio.get_running_loop().create_task(self.handle_stream(IOStream(connection)))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def close_all(self) -> None:
        """Connections break as when a process dies: whoever is out on them gets a reset."""
        self.held = {}
        for stream in list(self.streams):
            raw = stream.socket
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\0\0\0\0\0\0\0")
            stream.close()
        self.streams.clear()

    def die(self) -> None:
        self._ended(self.machine.advance(self.fleet.clock.now()))
        self.stop()
        self.listener = bound(self.port)  # held and not listening: whoever comes is refused
        self.machine.crash(self.fleet.clock.now())
        self.close_all()

    def fall_silent(self) -> None:
        self._ended(self.machine.advance(self.fleet.clock.now()))
        self.machine.silent, self.machine.next_event_at = True, float("inf")

    def come_back(self) -> None:
        if self.machine.silent:
            self.die()
        self.listen()
        self.machine.start(self.fleet.clock.now())

    # Connections

    async def handle_stream(self, stream: IOStream) -> None:
        machine, clock = self.machine, self.fleet.clock
        if len(self.streams) >= machine.max_connections:
            stream.close()
            return
        self.streams.add(stream)
        machine.connections = len(self.streams)
        machine.add_connection_work(clock.now(), self.fleet.handshake_work)
        self._plan()
        buffer, current = ReadBuffer(resp.MAX_MESSAGE_BYTES), list[InFlightAttempt]()
        stream.set_close_callback(lambda: self._closed(stream, current))
        try:
            while True:
                while found := resp.parse_command(buffer.data, buffer.start, buffer.end):
                    buffer.consume(found[1])
                    await self._command(stream, found[0], current)
                await buffer.fill(stream)
        except (StreamClosedError, resp.ProtocolError, MessageTooLongError):
            stream.close()

    def _closed(self, stream: IOStream, current: list[InFlightAttempt]) -> None:
        self.streams.discard(stream)
        self.machine.connections = len(self.streams)
        for out in current:
            self.give_up(out)

    def give_up(self, out: InFlightAttempt) -> None:
        """Its gateway has ended the connection."""
        if out.attempt.status is None:
            out.attempt.status = "cancelled"
            out.attempt.backend_request.cancelled = True
            self.machine.cancel(out.attempt.backend_request)
            self.held.pop(out.attempt.backend_request, None)
            if not out.done.done():
                out.done.set_result("cancelled")

    async def _command(
        self, stream: IOStream, words: list[memoryview], current: list[InFlightAttempt]
    ) -> None:
        if bytes(words[0]) not in (b"SVC.QUERY", b"SVC.SUBMIT") or len(words) < 4:
            await stream.write(
                b"+PONG\r\n" if bytes(words[0]) == b"PING" else resp.encode_error("ERR unknown command")
            )
            return
        fleet, clock = self.fleet, self.fleet.clock
        found = fleet.by_id.get(bytes(words[2]).decode("latin-1"))
        if found is None:
            fleet.unknown_requests += 1
            await stream.write(resp.encode_error("SYNTAX no client sent this"))
            return
        one, now = found[0], clock.now()
        for earlier in fleet.in_flight.get(one.request_id, ()):
            if gone(earlier.stream):  # it has ended before this one came, though its end is not yet read
                fleet.give_up(earlier)
        work = fleet.backend_request(one, len(one.attempts), one.sent_at + one.timeout_ms)
        attempt = UpstreamAttempt(self.machine.number, self.machine.cell, now, work, now)
        fleet.rule_checker.attempt_sent(one, attempt, one.gateway, fleet.sent_at(now))
        one.attempts.append(attempt)
        fleet.quota_accounting.record_arrival(one, now)
        out = InFlightAttempt(one, attempt, stream)
        fleet.in_flight.setdefault(one.request_id, []).append(out)
        current[:] = [out]
        word: str | None
        if self.machine.silent:
            word = None
        else:
            fallen = self.machine.collapsed
            told = fleet.rule_checker.knows_start(one.gateway, self.machine.number, self.machine.started_at)
            word, ended = self.machine.offer(now, work, told)
            self._ended(ended)
            if self.machine.collapsed and not fallen:
                fleet.backend_collapsed(self.machine)
                return
        if word is None:
            self.held[work] = out
            self._plan()
            word = await out.done
            if word == "cancelled":
                return
        out.attempt.status = word
        fleet.ended(out)
        current.clear()
        if word == "full":
            await stream.write(resp.encode_error("BUSY"))
        elif word == "error":
            await stream.write(resp.encode_error("ERR failed"))
        else:
            fleet.quota_accounting.record_settlement(one, clock.now())
            await self._answer(stream, out, self._good_answer(one, bytes(words[2])))

    def _good_answer(self, one: ClientAttempt, name: bytes) -> bytes:
        report = self.machine.load_report(self.fleet.clock.now())
        load = f"qps={report.qps:.0f},latency_ms={report.latency:.0f},inflight={report.inflight:.0f}"
        value = b"%s by %d" % (name, self.machine.number)
        cost = f"cost={one.request.units:.0f}".encode()
        return b"*3\r\n" + resp.encode_bulk(value) + resp.encode_bulk(cost) + resp.encode_bulk(load.encode())

    async def _answer(self, stream: IOStream, out: InFlightAttempt, data: bytes) -> None:
        """Write a good answer."""
        await stream.write(data)

    # The machine's time

    def _ended(self, works: list[BackendRequest]) -> None:
        for work in works:
            if work.took_effect:
                self.fleet.rule_checker.effect_ran(work)
            out = self.held.pop(work, None)
            if out is not None and not work.cancelled and not out.done.done():
                self.machine.latency_since_report += self.fleet.clock.now() - (out.attempt.arrived_at or 0.0)
                out.done.set_result(self.machine.draw_status())

    def _plan(self) -> None:
        if self.machine.next_event_at < self.alarm_at:
            if self.alarm is not None:
                self.alarm.cancel()
            self.alarm_at = self.machine.next_event_at
            self.alarm = self.fleet.clock.at(self.machine.next_event_at, self._due)

    def _due(self) -> None:
        self.alarm, self.alarm_at = None, float("inf")
        if self.machine.up and not self.machine.silent:
            self._ended(self.machine.advance(self.fleet.clock.now()))
            self._plan()


def gone(stream: IOStream) -> bool:
    """Has the other side ended this connection, whether or not that has been read?"""
    raw: socket.socket | None = stream.socket
    if stream.closed() or raw is None:
        return True
    try:
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def bound(port: int) -> socket.socket:
    """A socket that holds a port of the loopback, 0 for a new one."""
    one = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    one.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    one.setblocking(False)
    one.bind((HOST, port))
    return one
