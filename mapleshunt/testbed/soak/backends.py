"""Misbehaving backends of the soak test: resets, truncated or duplicate answers, forgotten connections."""

from __future__ import annotations

import asyncio
import random
import socket
from dataclasses import dataclass
from typing import TYPE_CHECKING, cast

from tornado.iostream import IOStream, StreamClosedError

from ...fleet.backend import Backend
from ...net.protocol import resp
from ..backends import InFlightAttempt, SocketBackend
from ..fault_proxy import RESET_ON_CLOSE
from ..ports import HOST

if TYPE_CHECKING:
    from .fleet import SoakFleet

MAX_RESET_DELAY_S = 0.15  # the reset follows the request within this time
BACKLOG_FILLERS = 3  # connections; a backlog of 0 accepts one, and one more may be under way
DUPLICATE_DELAY_S = 0.006  # from a good answer to the duplicate
DEADLINE_SLACK_MS = 150.0  # tolerance for the deadline that a gateway passes on
MAX_LAG_S = 0.05  # above this lateness of the soak's own process its timestamps are too inexact to judge by
CLIENT_LEFT_SLACK_MS = 100.0  # an attempt may still start this long after its client has disconnected


@dataclass
class Misbehaviour:
    """Probabilities for each request, and the idle time in s after which a connection is forgotten."""

    reset: float = 0.0
    truncated: float = 0.0  # only the first half of the answer is sent
    duplicate: float = 0.0  # an answer to no request follows the good one
    forget_after_s: float | None = None


class SoakBackend(SocketBackend):
    """A backend that misbehaves as set and checks arriving attempts against the clients' deadlines."""

    def __init__(self, machine: Backend, fleet: SoakFleet) -> None:
        self.misbehaviour = Misbehaviour()
        self.random = random.Random(f"{fleet.scenario_run.seed} backend {machine.number}")
        self.fillers: list[socket.socket] = []  # connections that fill the listen backlog
        self.last_active_at: dict[IOStream, float] = {}  # loop time of the last command or answer
        super().__init__(machine, fleet)

    @property
    def soak(self) -> SoakFleet:
        """The fleet, whose report collects the violations."""
        return cast("SoakFleet", self.fleet)

    async def _handle_command(
        self, stream: IOStream, words: list[memoryview], current: list[InFlightAttempt]
    ) -> None:
        loop = asyncio.get_running_loop()
        idle_s, self.last_active_at[stream] = (
            loop.time() - self.last_active_at.get(stream, loop.time()),
            loop.time(),
        )
        forget = self.misbehaviour.forget_after_s
        if forget is not None and idle_s > forget:
            return  # a half-open connection: the gateway still holds it and gets no answer
        self._check_deadline(words)
        if self.random.random() < self.misbehaviour.reset:
            loop.call_later(self.random.uniform(0.0, MAX_RESET_DELAY_S), reset, stream)
        await super()._handle_command(stream, words, current)

    def _check_deadline(self, words: list[memoryview]) -> None:
        """Check the deadline that was passed on, and that the client was still connected."""
        known = (
            self.fleet.attempts_by_wire_id.get(bytes(words[2]).decode("latin-1")) if len(words) > 3 else None
        )
        if known is None:
            return
        if self.soak.lag() > MAX_LAG_S:
            self.soak.report.unjudged += 1
            return
        request, now = known[0], self.fleet.sent_at(self.fleet.clock.now())
        fields = dict(pair.partition("=")[::2] for pair in bytes(words[3]).decode().split(","))
        deadline_ms, remaining_ms = float(fields["d"]), request.sent_at + request.timeout_ms - now
        if deadline_ms > remaining_ms + DEADLINE_SLACK_MS:
            where = (
                f"request {request.request_id} at gateway {request.gateway}, "
                f"sent at {request.sent_at:.0f}, now {now:.0f} ms"
            )
            description = (
                f"{where}, attempt {len(request.attempts)}: "
                f"deadline of {deadline_ms:.0f} ms passed on, {remaining_ms:.0f} ms remain"
            )
            self.soak.record_violation("deadline", description)
        if request.client_left_at is not None and now > request.client_left_at + CLIENT_LEFT_SLACK_MS:
            delay_ms = now - request.client_left_at
            self.soak.record_violation(
                "sent_after_leaving",
                f"request {request.request_id}, {delay_ms:.0f} ms after its client disconnected",
            )

    async def _write_result(self, stream: IOStream, data: bytes) -> None:
        draw = self.random.random()
        if draw < self.misbehaviour.truncated:
            await stream.write(data[: len(data) // 2])
            return
        await stream.write(data)
        self.last_active_at[stream] = asyncio.get_running_loop().time()
        if draw < self.misbehaviour.truncated + self.misbehaviour.duplicate:
            unrequested_answer = (
                b"*3\r\n"
                + resp.encode_bulk(b"an answer nobody asked for")
                + resp.encode_bulk(b"")
                + resp.encode_bulk(b"")
            )
            asyncio.get_running_loop().call_later(
                DUPLICATE_DELAY_S, write_if_open, stream, unrequested_answer
            )

    def close_idle(self) -> None:
        """Close all connections without an attempt, as a backend does after its idle timeout."""
        busy = {in_flight.stream for in_flight in self._waiting.values()}
        for stream in [idle for idle in self.streams if idle not in busy]:
            stream.close()

    def stop_accepting(self) -> None:
        """Stop accepting and fill the backlog, so that new connections are not established."""
        if self.remove_accept_handler is None:
            return
        self.remove_accept_handler()
        self.remove_accept_handler = None
        self.listener.listen(0)
        for _ in range(BACKLOG_FILLERS):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def accept_again(self) -> None:
        """Empty the backlog and accept connections again after `stop_accepting`."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.machine.up and self.remove_accept_handler is None:
            self.listen()

    def hang(self) -> None:
        """Accept and read, but answer nothing."""
        self.stop_responding()

    def resume(self) -> None:
        """End a hang: finish the accepted work, and answer where the gateway still waits."""
        if self.machine.silent and self.machine.up:
            self.machine.silent = False
            self.machine.advanced_to = self.fleet.clock.now()
            self.machine.reschedule(self.fleet.clock.now())
            self._schedule()


def reset(stream: IOStream) -> None:
    """Reset a connection if it is open."""
    raw: socket.socket | None = stream.socket
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.close()


def write_if_open(stream: IOStream, data: bytes) -> None:
    """Write to a connection if it is open."""
    if not stream.closed():
        try:
            stream.write(data)
        except StreamClosedError:
            return
