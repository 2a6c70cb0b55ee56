"""Clients on sockets, behind the front: sends each request at its time, and records replies and retries."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

from tornado.iostream import IOStream, StreamClosedError

from ..fleet.clients import ClientResult
from ..net.protocol import resp
from ..net.protocol.read_buffer import MessageTooLongError, ReadBuffer
from ..simulation.day import RuleLimits
from ..simulation.records import ClientAttempt, RequestRecord
from .ports import HOST

if TYPE_CHECKING:
    from .fleet import LoopbackFleet

IDLE_TIMEOUT_S = 1.5  # after which a client does not use a connection again


class ClientConnection:
    """A connection to a gateway, for one request at a time."""

    def __init__(self, fleet: LoopbackFleet, gateway: int) -> None:
        self.stream = IOStream(socket.socket())
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        self.fleet, self.gateway = fleet, gateway
        self.used, self.last_used_at = False, 0.0

    async def connect(self) -> None:
        """Connect. Raises StreamClosedError."""
        await self.stream.connect((HOST, self.fleet.gateways[self.gateway].port))

    async def call(self, command: bytes) -> resp.Reply:
        """Send a command and return its reply.

        Raises StreamClosedError, and `resp.ProtocolError` also for bytes that belong to no request.
        """
        if has_unread_data(self.stream):
            raise resp.ProtocolError("received bytes before the request was sent")
        await self.stream.write(command)
        while not (parsed := resp.parse_reply(self.buffer.data, self.buffer.start, self.buffer.end)):
            await self.buffer.fill(self.stream)
        self.buffer.consume(parsed[1])
        if self.buffer.start != self.buffer.end:
            raise resp.ProtocolError("received bytes after the reply")
        return parsed[0]


def has_unread_data(stream: IOStream) -> bool:
    """Return whether data has arrived that has not been read."""
    try:
        raw: socket.socket | None = stream.socket
        return raw is not None and bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class SocketClients:
    """All clients of a run, behind the front."""

    def __init__(self, fleet: LoopbackFleet) -> None:
        self.fleet = fleet
        self.idle: list[list[ClientConnection]] = [[] for _ in fleet.gateways]
        self.tasks: set[asyncio.Task[None]] = set()
        self.wrong_values = self.unexpected_replies = 0

    def _begin_attempt(self, record: RequestRecord, number: int) -> None:
        task = asyncio.get_running_loop().create_task(self._make_attempt(record, number))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """Send all requests, each at its time, and wait until their last attempts have ended."""
        clock, records = self.fleet.clock, self.fleet.requests
        for record in records:
            wait = record.request.arrives_at - clock.now()
            if wait > 0.5:
                await asyncio.sleep(wait / 1000)
            self._begin_attempt(record, 1)
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def _take_connection(self, gateway: int) -> ClientConnection:
        pool, now = self.idle[gateway], asyncio.get_running_loop().time()
        while pool:
            connection = pool.pop()
            if now - connection.last_used_at < IDLE_TIMEOUT_S and not connection.stream.closed():
                return connection
            connection.stream.close()
        return ClientConnection(self.fleet, gateway)

    def close_idle_connections(self, gateway: int) -> None:
        """Close the idle connections to a gateway."""
        for connection in self.idle[gateway]:
            connection.stream.close()
        self.idle[gateway] = []

    async def _make_attempt(self, record: RequestRecord, number: int) -> None:
        fleet, clock = self.fleet, self.fleet.clock
        attempt = fleet.start_attempt(record, number)
        if attempt is None:
            return
        wire_id = f"{fleet.request_id_base + attempt.request_id:016x}"
        fleet.attempts_by_wire_id[wire_id] = (attempt, record)
        result, retry_after = await self._send(attempt, wire_id)
        delay = fleet.notify_client(record, attempt, result, retry_after)
        if delay is not None:
            clock.at(clock.now() + delay, self._begin_attempt, record, number + 1)
            # The run is not over while a client waits to retry.
            self.tasks.add(task := asyncio.get_running_loop().create_task(asyncio.sleep((delay + 5) / 1000)))
            task.add_done_callback(self.tasks.discard)

    async def _send(self, attempt: ClientAttempt, wire_id: str) -> tuple[ClientResult, float]:
        """Send an attempt; return its result as the client sees it, and the Retry-After (ms).

        By the protocol the timeout counts from the sending: a gateway cannot know how long the connection
        took. The client listens longer by the slack that every limit has on sockets, since a machine that
        stalls for some ms is not a gateway that does not answer; such an answer still counts as late.
        """
        fleet = self.fleet
        command, slack_ms = (
            fleet.command(attempt, wire_id),
            fleet.scenario_run.rules.answer_slack_ms - RuleLimits().answer_slack_ms,
        )
        for resent in (False, True):
            connection = self._take_connection(attempt.gateway)
            try:
                if not connection.used:
                    async with asyncio.timeout(attempt.timeout_ms / 1000):
                        await connection.connect()
            except (StreamClosedError, TimeoutError):
                connection.stream.close()
                return "unreachable", 0.0
            attempt.accepted, attempt.sent_at = True, fleet.clock.now()
            try:
                async with asyncio.timeout((attempt.timeout_ms + slack_ms) / 1000):
                    reply = await connection.call(command)
            except TimeoutError:
                connection.stream.close()
                fleet.timed_out.append(attempt)
                return "late", 0.0
            except StreamClosedError:
                connection.stream.close()
                if connection.used and not attempt.attempts and not resent:
                    continue  # closed between two requests: send once more on another connection
                if fleet.is_gateway_down(attempt.gateway) or not connection.used:
                    return "failed", 0.0
                fleet.rule_checker.request_lost(attempt)
                return "failed", 0.0
            except (resp.ProtocolError, MessageTooLongError):
                connection.stream.close()
                self.unexpected_replies += 1
                fleet.rule_checker.request_lost(attempt)
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

    def _record_reply(
        self, attempt: ClientAttempt, wire_id: str, reply: resp.Reply
    ) -> tuple[ClientResult, float]:
        """Record a reply; return its result and the Retry-After (ms)."""
        fleet, now = self.fleet, self.fleet.clock.now()
        attempt.answered_at = now
        if isinstance(reply, memoryview):
            attempt.result = "served"
            if not bytes(reply).startswith(wire_id.encode()) or not any(
                upstream.status == "ok" for upstream in attempt.attempts
            ):
                self.wrong_values += 1
                fleet.rule_checker.request_lost(attempt)
        elif isinstance(reply, resp.ErrorReply) and reply.text.split(" ")[0] == "BUSY":
            attempt.result = "refused"
        else:
            attempt.result = "failed"
        fleet.rule_checker.client_answered(attempt, attempt.result, now)
        retry_after = 0.0
        if attempt.result == "refused" and isinstance(reply, resp.ErrorReply):
            words = reply.text.split(" ")
            retry_after = float(words[1]) if len(words) > 1 and words[1].isdigit() else 0.0
        return attempt.result, retry_after
