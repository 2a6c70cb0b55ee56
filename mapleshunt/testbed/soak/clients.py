"""Clients of the soak test: most behave well; some disconnect early, write in pieces, idle, flood or stall.

A request that gets no answer counts as lost, unless its client disconnected, its gateway was killed, or the
gateway ended its connection in the moment in which it was sent: then the client sends it once more.
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
LATE_ANSWER_LIMIT_MS = 550.0  # after a request's timeout an answer counts as late, not as lost, for this long
MAX_IDLE_S = 4.0  # a connection idle for less is reused
# A request sent at most this long before the end of its connection crossed that end.
CROSSING_LIMIT_MS = 100.0
MAX_PIECES = 4
MAX_PIECE_INTERVAL_S = 0.1
PIPELINED_PINGS = 3  # written before a request by a client that pipelines
TERMINATING_GATEWAY_CHANCE = 0.3  # of a request to go to a terminating gateway with an open connection
PARTIAL_COMMAND_TIMEOUT_S = 3.0  # a gateway must answer or close a partial command within this time
PARTIAL_COMMAND_SLACK_S = 0.5
PING = resp.encode_command([b"PING"])


class SoakClients(SocketClients):
    """All clients of a soak; the habit of each attempt is drawn by seed."""

    def __init__(self, fleet: SoakFleet) -> None:
        super().__init__(fleet)
        self.random = random.Random(f"{fleet.scenario_run.seed} clients")
        self.habits: dict[str, int] = dict.fromkeys(HABITS, 0)
        self.left = 0
        self.crossings = 0  # requests that the end of their connection crossed, on reused and new ones
        self.excused_crossings = 0  # of these, those within the limit only by this process's own lateness

    @property
    def soak(self) -> SoakFleet:
        """The fleet, whose report collects the violations."""
        return cast("SoakFleet", self.fleet)

    def _take_connection(self, gateway: int) -> ClientConnection:
        pool, now = self.idle[gateway], asyncio.get_running_loop().time()
        while pool:
            connection = pool.pop(0)
            if now - connection.last_used_at < MAX_IDLE_S and not connection.stream.closed():
                return connection
            connection.stream.close()
        return ClientConnection(self.fleet, gateway)

    def _draw_terminating_gateway(self) -> int | None:
        """Return, with a certain probability, a terminating gateway with an open connection, else None."""
        connected = [gateway for gateway in self.soak.terminating if self.idle[gateway]]
        return (
            self.random.choice(connected)
            if connected and self.random.random() < TERMINATING_GATEWAY_CHANCE
            else None
        )

    async def _send(self, attempt: ClientAttempt, wire_id: str) -> tuple[ClientResult, float]:
        terminating = self._draw_terminating_gateway()
        if terminating is not None:
            attempt.gateway = terminating
        habit: Habit = self.random.choices(HABITS, HABIT_WEIGHTS)[0]
        self.habits[habit] += 1
        for is_resend in (False, True):
            needs_new = habit == "fresh" or is_resend
            connection = (
                ClientConnection(self.fleet, attempt.gateway)
                if needs_new
                else self._take_connection(attempt.gateway)
            )
            reused = connection.used
            try:
                if not reused:
                    async with asyncio.timeout(attempt.timeout_ms / 1000):
                        await connection.connect()
            except (StreamClosedError, TimeoutError, OSError):
                connection.stream.close()
                return "unreachable", 0.0
            attempt.accepted, attempt.sent_at = True, self.fleet.clock.now()
            try:
                reply = await self._send_with_habit(connection, attempt, wire_id, habit)
            except TimeoutError:
                connection.stream.close()
                self.soak.record_unanswered(
                    attempt, f"no answer on a {'reused' if reused else 'new'} connection"
                )
                return "late", 0.0
            except StreamClosedError:
                connection.stream.close()
                if not attempt.attempts and not is_resend and self._has_crossed(attempt):
                    continue
                if not attempt.attempts and self.soak.lag() > MAX_LAG_S:
                    # This process stalled between connecting and writing: the gateway saw an idle client and
                    # may have closed its connection twice.
                    self.soak.report.unjudged += 1
                    return "failed", 0.0
                waited_ms = self.fleet.clock.now() - attempt.sent_at
                self.soak.record_unanswered(
                    attempt,
                    f"closed after {waited_ms:.0f} ms on a {'reused' if reused else 'new'} connection",
                )
                return "failed", 0.0
            except (resp.ProtocolError, MessageTooLongError) as error:
                connection.stream.close()
                self.unexpected_replies += 1
                self.soak.record_violation("strange_answer", f"request {attempt.request_id}: {error}")
                return "failed", 0.0
            if reply is None:  # the client disconnected
                return "failed", 0.0
            connection.used, connection.last_used_at = True, asyncio.get_running_loop().time()
            self.idle[attempt.gateway].append(connection)
            result, retry_after = self._record_reply(attempt, wire_id, reply)
            return (
                (result, retry_after)
                if attempt.answered_at - attempt.sent_at <= attempt.timeout_ms
                else ("late", 0.0)
            )
        return "failed", 0.0

    def _has_crossed(self, attempt: ClientAttempt) -> bool:
        """Count a request whose connection ended, and return whether it has to be sent again."""
        waited_ms = self.fleet.clock.now() - attempt.sent_at
        if self.soak.was_killed_since(attempt.gateway, attempt.sent_at):
            return False
        if waited_ms > CROSSING_LIMIT_MS + 1000 * self.soak.lag():
            return False
        self.crossings += 1
        self.excused_crossings += waited_ms > CROSSING_LIMIT_MS
        return True

    async def _send_with_habit(
        self, connection: ClientConnection, attempt: ClientAttempt, wire_id: str, habit: Habit
    ) -> resp.Reply | None:
        """Send a command in the way of the habit; return the answer, or None if the client disconnected."""
        command = self.fleet.command(attempt, wire_id)
        if habit == "pieces":
            command = await self._write_first_pieces(connection, command)
            attempt.sent_at = self.fleet.clock.now()  # the timeout counts from the last byte
        if habit == "leaves":
            return await self._disconnect_early(connection, attempt, command)
        async with asyncio.timeout((attempt.timeout_ms + LATE_ANSWER_LIMIT_MS) / 1000):
            if habit == "pipelines":
                await connection.stream.write(PING * PIPELINED_PINGS + command)
                for _ in range(PIPELINED_PINGS):
                    await self._read_reply(connection)
                return await self._read_reply(connection)
            return await connection.call(command)

    async def _write_first_pieces(self, connection: ClientConnection, command: bytes) -> bytes:
        """Write all but the last piece, with pauses; return the unwritten bytes."""
        for _ in range(self.random.randint(1, MAX_PIECES - 1)):
            size = self.random.randint(0, len(command) // 2)
            await connection.stream.write(command[:size])
            command = command[size:]
            await asyncio.sleep(self.random.uniform(0.0, MAX_PIECE_INTERVAL_S))
        return command

    async def _disconnect_early(
        self, connection: ClientConnection, attempt: ClientAttempt, command: bytes
    ) -> resp.Reply | None:
        try:
            async with asyncio.timeout(self.random.uniform(0.0, attempt.timeout_ms / 2000)):
                return await connection.call(command)
        except TimeoutError:
            connection.stream.close()
            attempt.client_left_at = self.fleet.clock.now()
            self.left += 1
            return None

    async def _read_reply(self, connection: ClientConnection) -> resp.Reply:
        while not (
            found := resp.parse_reply(connection.buffer.data, connection.buffer.start, connection.buffer.end)
        ):
            await connection.buffer.fill(connection.stream)
        connection.buffer.consume(found[1])
        return found[0]

    # Misbehaving clients

    async def send_partial_command(self, gateway: int, data: bytes) -> None:
        """Send part of a command and wait: the gateway must answer or close within 3 s."""
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError, StreamClosedError):
            stream = IOStream(socket.socket())
            await stream.connect((HOST, self.fleet.gateways[gateway].port))
            await stream.write(data)
            started_at = loop.time()
            try:
                async with asyncio.timeout(2 * PARTIAL_COMMAND_TIMEOUT_S):
                    await stream.read_bytes(1)
            except (TimeoutError, StreamClosedError):
                pass
            elapsed_s = loop.time() - started_at
            stream.close()
            if (
                elapsed_s > PARTIAL_COMMAND_TIMEOUT_S + PARTIAL_COMMAND_SLACK_S + self.soak.lag()
                and not self.soak.killed_since(gateway, self.fleet.clock.now() - 1000 * elapsed_s)
            ):
                self.soak.record_violation(
                    "bad_client_kept", f"gateway {gateway} took {elapsed_s:.1f} s to close a partial command"
                )

    async def flood(self, gateway: int, commands: int) -> None:
        """Send many commands at once, read nothing and disconnect."""
        with contextlib.suppress(OSError, StreamClosedError):
            stream = IOStream(socket.socket())
            await stream.connect((HOST, self.fleet.gateways[gateway].port))
            stream.write(PING * commands)
            await asyncio.sleep(self.random.uniform(0.0, 0.3))
            stream.close()

    async def stay_idle(self, gateway: int, seconds: float, calls: bool = False) -> None:
        """Connect, send nothing or, with `calls`, one PING, and disconnect after some seconds."""
        with contextlib.suppress(OSError, StreamClosedError):
            stream = IOStream(socket.socket())
            await stream.connect((HOST, self.fleet.gateways[gateway].port))
            if calls:
                await stream.write(PING)
            await asyncio.sleep(seconds)
            stream.close()
