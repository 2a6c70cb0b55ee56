"""Emulated backends on sockets: RESP2 in front of the state machine; arriving attempts are recorded."""

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
from .fault_proxy import RESET_ON_CLOSE
from .ports import HOST

if TYPE_CHECKING:
    from .fleet import LoopbackFleet


BACKLOG = 512  # connections that wait to be accepted
CANCELLED = "cancelled"  # status of an attempt whose gateway closed the connection
REQUEST_VERBS = (b"SVC.QUERY", b"SVC.SUBMIT")
REQUEST_WORDS = 4  # verb, customer, request id and pairs


@dataclass(slots=True, eq=False)
class InFlightAttempt:
    """An attempt without a response yet, and the connection it arrived on."""

    request: ClientAttempt
    attempt: UpstreamAttempt
    stream: IOStream
    done: asyncio.Future[str] = field(default_factory=lambda: asyncio.get_running_loop().create_future())


class SocketBackend:
    """An emulated backend. Its address stays the same when its process restarts."""

    def __init__(self, machine: Backend, fleet: LoopbackFleet) -> None:
        self.machine, self.fleet = machine, fleet
        self.listener = _bind(0)
        self.port: int = self.listener.getsockname()[1]
        self._tasks: set[asyncio.Task[None]] = set()
        self.remove_accept_handler: Callable[[], None] | None = None  # None: not accepting
        self.listen()
        self.streams: set[IOStream] = set()
        self._waiting: dict[BackendRequest, InFlightAttempt] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._timer_at = float("inf")

    # The process

    def listen(self) -> None:
        """Start accepting connections."""
        self.listener.listen(BACKLOG)
        self.remove_accept_handler = add_accept_handler(self.listener, self._accept)

    def stop(self) -> None:
        """Stop accepting connections: new ones are refused."""
        if self.remove_accept_handler is not None:
            self.remove_accept_handler()
            self.remove_accept_handler = None
        self.listener.close()

    def _accept(self, connection: socket.socket, _address: object) -> None:
        task = asyncio.get_running_loop().create_task(self.handle_stream(IOStream(connection)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reset_connections(self) -> None:
        """Reset all connections, as when a process is killed."""
        self._waiting = {}
        for stream in list(self.streams):
            raw = stream.socket
            if raw is not None:
                raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            stream.close()
        self.streams.clear()

    def crash(self) -> None:
        """End the process: connections are reset, and new ones are refused."""
        self._finish_requests(self.machine.advance(self.fleet.clock.now()))
        self.stop()
        self.listener = _bind(self.port)  # not listening: the port stays taken, connections are refused
        self.machine.crash(self.fleet.clock.now())
        self.reset_connections()

    def stop_responding(self) -> None:
        """Keep accepting and reading without responding."""
        self._finish_requests(self.machine.advance(self.fleet.clock.now()))
        self.machine.silent, self.machine.next_event_at = True, float("inf")

    def restart(self) -> None:
        """Start a new process, which warms up; one that does not respond is ended first."""
        if self.machine.silent:
            self.crash()
        self.listen()
        self.machine.start(self.fleet.clock.now())

    # Connections

    async def handle_stream(self, stream: IOStream) -> None:
        """Handle a connection's commands one at a time until it ends."""
        machine, clock = self.machine, self.fleet.clock
        if len(self.streams) >= machine.max_connections:
            stream.close()
            return
        self.streams.add(stream)
        machine.connections = len(self.streams)
        machine.add_connection_work(clock.now(), self.fleet.handshake_work)
        self._schedule()
        buffer, current = ReadBuffer(resp.MAX_MESSAGE_BYTES), list[InFlightAttempt]()
        stream.set_close_callback(lambda: self._closed(stream, current))
        try:
            while True:
                while parsed := resp.parse_command(buffer.data, buffer.start, buffer.end):
                    buffer.consume(parsed[1])
                    await self._handle_command(stream, parsed[0], current)
                await buffer.fill(stream)
        except (StreamClosedError, resp.ProtocolError, MessageTooLongError):
            stream.close()

    def _closed(self, stream: IOStream, current: list[InFlightAttempt]) -> None:
        self.streams.discard(stream)
        self.machine.connections = len(self.streams)
        for in_flight in current:
            self.cancel(in_flight)

    def cancel(self, in_flight: InFlightAttempt) -> None:
        """Cancel an attempt whose gateway closed the connection, unless the attempt has ended."""
        if in_flight.attempt.status is None:
            in_flight.attempt.status = CANCELLED
            in_flight.attempt.backend_request.cancelled = True
            self.machine.cancel(in_flight.attempt.backend_request)
            self._waiting.pop(in_flight.attempt.backend_request, None)
            if not in_flight.done.done():
                in_flight.done.set_result(CANCELLED)

    async def _handle_command(
        self, stream: IOStream, words: list[memoryview], current: list[InFlightAttempt]
    ) -> None:
        """Respond to a command; `current` holds the attempt that the connection waits for."""
        verb = bytes(words[0])
        if verb not in REQUEST_VERBS or len(words) < REQUEST_WORDS:
            await stream.write(b"+PONG\r\n" if verb == b"PING" else resp.encode_error("ERR unknown command"))
            return
        wire_id = bytes(words[2])
        known = self.fleet.attempts_by_wire_id.get(wire_id.decode("latin-1"))
        if known is None:
            self.fleet.unknown_requests += 1
            await stream.write(resp.encode_error("SYNTAX no client sent this"))
            return
        in_flight = self._begin_attempt(known[0], stream)
        current[:] = [in_flight]
        status = await self._wait_for_status(in_flight)
        if status is None:
            return
        in_flight.attempt.status = status
        self.fleet.remove_in_flight(in_flight)
        current.clear()
        await self._respond(in_flight, status, wire_id)

    def _begin_attempt(self, request: ClientAttempt, stream: IOStream) -> InFlightAttempt:
        """Record an attempt that has arrived."""
        fleet, now = self.fleet, self.fleet.clock.now()
        for earlier in fleet.in_flight.get(request.request_id, ()):
            # The gateway closed it before it sent this one; the close has not been read yet.
            if is_closed_by_peer(earlier.stream):
                fleet.cancel(earlier)
        backend_request = fleet.backend_request(
            request, len(request.attempts), request.sent_at + request.timeout_ms
        )
        attempt = UpstreamAttempt(self.machine.number, self.machine.cell, now, backend_request, now)
        fleet.rule_checker.attempt_sent(request, attempt, request.gateway, fleet.sent_at(now))
        request.attempts.append(attempt)
        fleet.quota_accounting.record_arrival(request, now)
        in_flight = InFlightAttempt(request, attempt, stream)
        fleet.in_flight.setdefault(request.request_id, []).append(in_flight)
        return in_flight

    async def _wait_for_status(self, in_flight: InFlightAttempt) -> str | None:
        """Return how the attempt ended; None without a response: cancelled, or the backend collapsed."""
        status: str | None = None
        if not self.machine.silent:
            collapsed_before = self.machine.collapsed
            status = self._offer(in_flight)
            if self.machine.collapsed and not collapsed_before:
                self.fleet.backend_collapsed(self.machine)
                return None
        if status is None:
            self._waiting[in_flight.attempt.backend_request] = in_flight
            self._schedule()
            status = await in_flight.done
            if status == CANCELLED:
                return None
        return status

    def _offer(self, in_flight: InFlightAttempt) -> str | None:
        """Offer an attempt's work to the machine; return its status if it ended at once."""
        gateway, attempt = in_flight.request.gateway, in_flight.attempt
        knows_start = self.fleet.rule_checker.knows_start(
            gateway, self.machine.number, self.machine.started_at
        )
        status, finished = self.machine.offer(attempt.sent_at, attempt.backend_request, knows_start)
        self._finish_requests(finished)
        return status

    async def _respond(self, in_flight: InFlightAttempt, status: str, wire_id: bytes) -> None:
        if status == "full":
            await in_flight.stream.write(resp.encode_error("BUSY"))
        elif status == "error":
            await in_flight.stream.write(resp.encode_error("ERR failed"))
        else:
            self.fleet.quota_accounting.record_settlement(in_flight.request, self.fleet.clock.now())
            await self._write_result(in_flight.stream, self._result(in_flight.request, wire_id))

    def _result(self, request: ClientAttempt, wire_id: bytes) -> bytes:
        report = self.machine.load_report(self.fleet.clock.now())
        load = f"qps={report.qps:.0f},latency_ms={report.latency:.0f},inflight={report.inflight:.0f}"
        value = b"%s by %d" % (wire_id, self.machine.number)
        cost = f"cost={request.request.units:.0f}".encode()
        return b"*3\r\n" + resp.encode_bulk(value) + resp.encode_bulk(cost) + resp.encode_bulk(load.encode())

    async def _write_result(self, stream: IOStream, data: bytes) -> None:
        await stream.write(data)

    # The machine's progress

    def _finish_requests(self, finished: list[BackendRequest]) -> None:
        for request in finished:
            if request.took_effect:
                self.fleet.rule_checker.effect_ran(request)
            in_flight = self._waiting.pop(request, None)
            if in_flight is not None and not request.cancelled and not in_flight.done.done():
                self.machine.latency_since_report += self.fleet.clock.now() - (
                    in_flight.attempt.arrived_at or 0.0
                )
                in_flight.done.set_result(self.machine.draw_status())

    def _schedule(self) -> None:
        if self.machine.next_event_at < self._timer_at:
            if self._timer is not None:
                self._timer.cancel()
            self._timer_at = self.machine.next_event_at
            self._timer = self.fleet.clock.at(self.machine.next_event_at, self._run_due)

    def _run_due(self) -> None:
        self._timer, self._timer_at = None, float("inf")
        if self.machine.up and not self.machine.silent:
            self._finish_requests(self.machine.advance(self.fleet.clock.now()))
            self._schedule()


def is_closed_by_peer(stream: IOStream) -> bool:
    """Return whether the peer has closed this connection, even if that has not been read yet."""
    raw: socket.socket | None = stream.socket
    if stream.closed() or raw is None:
        return True
    try:
        return raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT) == b""
    except BlockingIOError:
        return False
    except OSError:
        return True


def _bind(port: int) -> socket.socket:
    """Return a socket bound to that loopback port; 0 picks a free one."""
    bound = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    bound.setblocking(False)
    bound.bind((HOST, port))
    return bound
