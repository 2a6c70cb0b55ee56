"""Clients of the soak test: most are well-behaved, some leave, write in pieces, rest, flood, or stop halfway.

A request whose answer does not come is judged here: lost, unless its client left or its gateway was killed.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from typing import TYPE_CHECKING, Literal, cast

from tornado.iostream import IOStream, StreamClosedError

from ...fleet.clients import ClientResult
from ...net.protocol import resp
from ...net.protocol.read_buffer import MessageTooLongError
from ...simulation.records import ClientAttempt
from ..clients import ClientConnection, SocketClients
from ..ports import HOST
from .backends import MAX_LAG_S

if TYPE_CHECKING:
    from .fleet import SoakFleet

Habit = Literal["plain", "fresh", "leaves", "pieces", "pipelines"]
HABITS: tuple[Habit, ...] = ("plain", "fresh", "leaves", "pieces", "pipelines")
HABIT_WEIGHTS = (60, 20, 10, 5, 5)
LATEST_MS = 550.0  # after its time, until which an answer only earns nothing
MAX_IDLE_S = 4.0  # for which a client uses a connection again: past the gateway's own limit, to cross it
MAX_PIECES = 4
MAX_PIECE_PAUSE_S = 0.1
PINGS = 3  # written before a request by one that pipelines
TO_LEAVING = 0.3  # chance that a request goes to a gateway that was told to end, where a connection is open
BAD_CLIENT_S = 3.0  # within which a bad client is owed its error or its close
BAD_CLIENT_SLACK_S = 0.5
PING = resp.encode_command([b"PING"])


class SoakClients(SocketClients):
    """All clients of a soak, each request with a habit drawn by seed."""

    def __init__(self, fleet: SoakFleet) -> None:
        super().__init__(fleet)
        self.random = random.Random(f"{fleet.scenario_run.seed} clients")
        self.habits: dict[str, int] = dict.fromkeys(HABITS, 0)
        self.left = 0
        self.resent = 0  # after a close that crossed them, on used and on new connections

    @property
    def soak(self) -> SoakFleet:
        return cast("SoakFleet", self.fleet)

    def _take_connection(self, gateway: int) -> ClientConnection:
        pool, now = self.idle[gateway], asyncio.get_running_loop().time()
        while pool:
            link = pool.pop(0)
            if now - link.last_used_at < MAX_IDLE_S and not link.stream.closed():
                return link
            link.stream.close()
        return ClientConnection(self.fleet, gateway)

    def _leaving(self) -> int | None:
        """A gateway that was told to end and to which a connection is open."""
        there = [one for one in self.soak.leaving if self.idle[one]]
        return self.random.choice(there) if there and self.random.random() < TO_LEAVING else None

    async def _send(self, one: ClientAttempt, name: str) -> tuple[ClientResult, float]:
        leaving = self._leaving()
        if leaving is not None:
            one.gateway = leaving
        habit: Habit = self.random.choices(HABITS, HABIT_WEIGHTS)[0]
        self.habits[habit] += 1
        for last in (False, True):
            fresh = habit == "fresh" or last
            link = ClientConnection(self.fleet, one.gateway) if fresh else self._take_connection(one.gateway)
            used = link.used
            try:
                if not used:
                    async with asyncio.timeout(one.timeout_ms / 1000):
                        await link.connect()
            except (StreamClosedError, TimeoutError, OSError):
                link.stream.close()
                return "unreachable", 0.0
            one.accepted, one.sent_at = True, self.fleet.clock.now()
            try:
                reply = await self._exchange(link, one, name, habit)
            except TimeoutError:
                link.stream.close()
                self.soak.unanswered(one, f"no answer on a {'used' if used else 'new'} connection")
                return "late", 0.0
            except StreamClosedError:
                link.stream.close()
                if not one.attempts and not last and not self.soak.killed_since(one.gateway, one.sent_at):
                    # The close crossed it: once more on a new connection. Had the gateway read it, its own
                    # guard would have counted a violation, which fails the soak too.
                    self.resent += 1
                    continue
                if not one.attempts and self.soak.lag() > MAX_LAG_S:
                    # This process stood still between connecting and writing: the gateway saw a client
                    # that said nothing, and may have closed on it twice.
                    self.soak.report.unjudged += 1
                    return "failed", 0.0
                self.soak.unanswered(one, f"closed on a {'used' if used else 'new'} connection")
                return "failed", 0.0
            except (resp.ProtocolError, MessageTooLongError) as error:
                link.stream.close()
                self.unexpected_replies += 1
                self.soak.break_rule("strange_answer", f"request {one.request_id}: {error}")
                return "failed", 0.0
            if reply is None:  # it has left
                return "failed", 0.0
            link.used, link.last_used_at = True, asyncio.get_running_loop().time()
            self.idle[one.gateway].append(link)
            told, wait = self._record_reply(one, name, reply)
            return (told, wait) if one.answered_at - one.sent_at <= one.timeout_ms else ("late", 0.0)
        return "failed", 0.0

    async def _exchange(
        self, link: ClientConnection, one: ClientAttempt, name: str, habit: Habit
    ) -> resp.Reply | None:
        """The answer; None if the client left before it came."""
        command = self.fleet.command(one, name)
        if habit == "pieces":
            command = await self._write_first_pieces(link, command)
            one.sent_at = self.fleet.clock.now()  # its time counts from its last byte
        if habit == "leaves":
            return await self._leave(link, one, command)
        async with asyncio.timeout((one.timeout_ms + LATEST_MS) / 1000):
            if habit == "pipelines":
                await link.stream.write(PING * PINGS + command)
                for _ in range(PINGS):
                    await self._next(link)
                return await self._next(link)
            return await link.call(command)

    async def _write_first_pieces(self, link: ClientConnection, command: bytes) -> bytes:
        """Write all but the last piece; what is left."""
        for _ in range(self.random.randint(1, MAX_PIECES - 1)):
            size = self.random.randint(0, len(command) // 2)
            await link.stream.write(command[:size])
            command = command[size:]
            await asyncio.sleep(self.random.uniform(0.0, MAX_PIECE_PAUSE_S))
        return command

    async def _leave(self, link: ClientConnection, one: ClientAttempt, command: bytes) -> resp.Reply | None:
        try:
            async with asyncio.timeout(self.random.uniform(0.0, one.timeout_ms / 2000)):
                return await link.call(command)
        except TimeoutError:
            link.stream.close()
            one.client_left_at = self.fleet.clock.now()
            self.left += 1
            return None

    async def _next(self, link: ClientConnection) -> resp.Reply:
        while not (found := resp.parse_reply(link.buffer.data, link.buffer.start, link.buffer.end)):
            await link.buffer.fill(link.stream)
        link.buffer.consume(found[1])
        return found[0]

    # Clients that ask for nothing to be had

    async def stop_halfway(self, gateway: int, data: bytes) -> None:
        """Send part of a command and stay: an error or a close is owed within 3 s."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, StreamClosedError):
            stream = IOStream(socket.socket())
            await stream.connect((HOST, self.fleet.gateways[gateway].port))
            await stream.write(data)
            begun = loop.time()
            try:
                async with asyncio.timeout(2 * BAD_CLIENT_S):
                    await stream.read_bytes(1)
            except (TimeoutError, StreamClosedError):
                pass
            took = loop.time() - begun
            stream.close()
            if took > BAD_CLIENT_S + BAD_CLIENT_SLACK_S + self.soak.lag() and not self.soak.killed_since(
                gateway, self.fleet.clock.now() - 1000 * took
            ):
                self.soak.break_rule("bad_client_kept", f"gateway {gateway} took {took:.1f} s for its close")

    async def flood(self, gateway: int, commands: int) -> None:
        """Send many commands at once, read nothing, and go."""
        with contextlib.suppress(OSError, StreamClosedError):
            stream = IOStream(socket.socket())
            await stream.connect((HOST, self.fleet.gateways[gateway].port))
            stream.write(PING * commands)
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            stream.close()

    async def rest(self, gateway: int, seconds: float) -> None:
        """Connect and say nothing."""
        with contextlib.suppress(OSError, StreamClosedError):
            stream = IOStream(socket.socket())
            await stream.connect((HOST, self.fleet.gateways[gateway].port))
            await asyncio.sleep(seconds)
            stream.close()
