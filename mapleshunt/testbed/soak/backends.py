"""Backends of the soak test that misbehave: resets, spoilt answers, idle connections forgotten."""

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

MAX_RESET_DELAY_S = 0.15  # after a request has come, within which its connection is reset
BACKLOG_FILLERS = 3  # connections: a backlog of 0 takes one, and one more is on its way
LATE_ANSWER_S = 0.006  # after a good answer, at which a second one comes
DEADLINE_SLACK_MS = 150.0  # of the time that a request is passed on with
MAX_LAG_S = 0.05  # of the soak's own process, beyond which its clock says too little to judge by
CLIENT_LEFT_MS = 100.0  # after its client has left, at which an attempt may still begin


@dataclass
class Misbehaviour:
    """Chances for each request, and s for which a connection may stand idle before it is forgotten."""

    reset: float = 0.0
    truncated: float = 0.0  # half of an answer, and then nothing
    second: float = 0.0  # a second answer, a little later
    forget_after: float | None = None


class SoakBackend(SocketBackend):
    """A backend that misbehaves as it is told, and that judges what comes by the deadlines of clients."""

    def __init__(self, machine: Backend, fleet: SoakFleet) -> None:
        self.misbehaviour = Misbehaviour()
        self.random = random.Random(f"{fleet.scenario_run.seed} backend {machine.number}")
        self.fillers: list[socket.socket] = []  # connections that fill the backlog
        self.used: dict[IOStream, float] = {}  # when something last crossed each connection
        super().__init__(machine, fleet)

    @property
    def soak(self) -> SoakFleet:
        """The fleet, which has the report that violations go into."""
        return cast("SoakFleet", self.fleet)

    async def _handle_command(
        self, stream: IOStream, words: list[memoryview], current: list[InFlightAttempt]
    ) -> None:
        loop = asyncio.get_running_loop()
        since, self.used[stream] = loop.time() - self.used.get(stream, loop.time()), loop.time()
        forget = self.misbehaviour.forget_after
        if forget is not None and since > forget:
            return  # swallowed: the connection is known at one end only
        self._judge(words)
        if self.random.random() < self.misbehaviour.reset:
            loop.call_later(self.random.uniform(0.0, MAX_RESET_DELAY_S), reset, stream)
        await super()._handle_command(stream, words, current)

    def _judge(self, words: list[memoryview]) -> None:
        """Look at the deadline passed on, and whether the client was still there when this began."""
        found = (
            self.fleet.attempts_by_wire_id.get(bytes(words[2]).decode("latin-1")) if len(words) > 3 else None
        )
        if found is None:
            return
        if self.soak.lag() > MAX_LAG_S:
            self.soak.report.unjudged += 1
            return
        one, now = found[0], self.fleet.sent_at(self.fleet.clock.now())
        pairs = dict(pair.partition("=")[::2] for pair in bytes(words[3]).decode().split(","))
        told, left = float(pairs["d"]), one.sent_at + one.timeout_ms - now
        if told > left + DEADLINE_SLACK_MS:
            where = (
                f"request {one.request_id} at gateway {one.gateway}, sent at {one.sent_at:.0f}, now {now:.0f}"
            )
            story = f"{where}, attempt {len(one.attempts)}: told {told:.0f} ms with {left:.0f} ms left"
            self.soak.break_rule("deadline", story)
        if one.client_left_at is not None and now > one.client_left_at + CLIENT_LEFT_MS:
            late = now - one.client_left_at
            self.soak.break_rule(
                "sent_after_leaving", f"request {one.request_id}, {late:.0f} ms after its client"
            )

    async def _write_result(self, stream: IOStream, data: bytes) -> None:
        chance = self.random.random()
        if chance < self.misbehaviour.truncated:
            await stream.write(data[: len(data) // 2])
            return
        await stream.write(data)
        self.used[stream] = asyncio.get_running_loop().time()
        if chance < self.misbehaviour.truncated + self.misbehaviour.second:
            late = (
                b"*3\r\n"
                + resp.encode_bulk(b"an answer nobody asked for")
                + resp.encode_bulk(b"")
                + resp.encode_bulk(b"")
            )
            asyncio.get_running_loop().call_later(LATE_ANSWER_S, write_if_open, stream, late)

    def close_idle(self) -> None:
        """Close all connections without an attempt, as a server does after its idle limit."""
        busy = {out.stream for out in self._waiting.values()}
        for stream in [one for one in self.streams if one not in busy]:
            stream.close()

    def stop_accepting(self) -> None:
        """Let no new connections be made: the backlog is full, and stays so."""
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
        """End what `stop_accepting` began."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        if self.machine.up and self.remove_accept_handler is None:
            self.listen()

    def hang(self) -> None:
        """Go on to accept and read, and answer nothing."""
        self.stop_responding()

    def resume(self) -> None:
        """End a hang: accepted work is done, and answered if its gateway still waits."""
        if self.machine.silent and self.machine.up:
            self.machine.silent = False
            self.machine.advanced_to = self.fleet.clock.now()
            self.machine.reschedule(self.fleet.clock.now())
            self._schedule()


def reset(stream: IOStream) -> None:
    """Reset a connection, if it is open."""
    raw: socket.socket | None = stream.socket
    if raw is not None:
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        stream.close()


def write_if_open(stream: IOStream, data: bytes) -> None:
    """Write to a connection; nothing if it has ended."""
    if not stream.closed():
        try:
            stream.write(data)
        except StreamClosedError:
            return
