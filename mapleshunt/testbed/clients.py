"""Clients and front on sockets: each ask of the day in its time, its answers and repeats on record."""

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

IDLE = 1.5  # s for which a client uses a connection again


class ClientConnection:
    """A client connection, one request at a time."""

    def __init__(self, fleet: LoopbackFleet, gateway: int) -> None:
        self.stream = IOStream(socket.socket())
        self.buffer = ReadBuffer(resp.MAX_MESSAGE_BYTES)
        self.fleet, self.gateway = fleet, gateway
        self.used, self.at = False, 0.0

    async def connect(self) -> None:
        await self.stream.connect((HOST, self.fleet.gateways[self.gateway].port))

    async def ask(self, command: bytes) -> resp.Reply:
        """Raises StreamClosedError, `resp.ProtocolError`; bytes that belong to no request are one."""
        if waiting(self.stream):
            raise resp.ProtocolError("an answer that nobody asked for")
        await self.stream.write(command)
        while not (found := resp.parse_reply(self.buffer.data, self.buffer.start, self.buffer.end)):
            await self.buffer.fill(self.stream)
        self.buffer.consume(found[1])
        if self.buffer.start != self.buffer.end:
            raise resp.ProtocolError("more than one answer")
        return found[0]


def waiting(stream: IOStream) -> bool:
    """Has something come that nobody has read?"""
    try:
        raw: socket.socket | None = stream.socket
        return raw is not None and bool(raw.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT))
    except OSError:
        return False


class SocketClients:
    """All clients of a day, behind the front."""

    def __init__(self, fleet: LoopbackFleet) -> None:
        self.fleet = fleet
        self.idle: list[list[ClientConnection]] = [[] for _ in fleet.gateways]
        self.tasks: set[asyncio.Task[None]] = set()
        self.wrong_values = self.strange = 0

    def _go(self, record: RequestRecord, number: int) -> None:
        task = asyncio.get_running_loop().create_task(self._try(record, number))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def run(self) -> None:
        """All asks, and on until each has its end."""
        clock, asks = self.fleet.clock, self.fleet.requests
        for record in asks:
            wait = record.request.arrives_at - clock.now()
            if wait > 0.5:
                await asyncio.sleep(wait / 1000)
            self._go(record, 1)
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    def _link(self, gateway: int) -> ClientConnection:
        pool, now = self.idle[gateway], asyncio.get_running_loop().time()
        while pool:
            link = pool.pop()
            if now - link.at < IDLE and not link.stream.closed():
                return link
            link.stream.close()
        return ClientConnection(self.fleet, gateway)

    def drop(self, gateway: int) -> None:
        for link in self.idle[gateway]:
            link.stream.close()
        self.idle[gateway] = []

    async def _try(self, record: RequestRecord, number: int) -> None:
        fleet, clock = self.fleet, self.fleet.clock
        one = fleet.start_attempt(record, number)
        if one is None:
            return
        name = f"{fleet.request_id_base + one.request_id:016x}"
        fleet.by_id[name] = (one, record)
        told, wait = await self._send(one, name)
        pause = fleet.notify_client(record, one, told, wait)
        if pause is not None:
            clock.at(clock.now() + pause, self._go, record, number + 1)
            # The day is not over while a client waits to come back.
            self.tasks.add(task := asyncio.get_running_loop().create_task(asyncio.sleep((pause + 5) / 1000)))
            task.add_done_callback(self.tasks.discard)

    async def _send(self, one: ClientAttempt, name: str) -> tuple[ClientResult, float]:
        """Send a try and wait for its end as its client sees it, and the advised wait.

        By the protocol its patience counts from the sending: for how long the connection came up is nothing
        that a gateway could know. It listens for as much longer as every limit is on sockets, since a machine
        that stands still for some ms is no gateway that does not answer; such an answer earns nothing.
        """
        fleet = self.fleet
        command, longer = (
            fleet.command(one, name),
            fleet.scenario_run.rules.answer_slack_ms - RuleLimits().answer_slack_ms,
        )
        for last in (False, True):
            link = self._link(one.gateway)
            try:
                if not link.used:
                    async with asyncio.timeout(one.timeout_ms / 1000):
                        await link.connect()
            except (StreamClosedError, TimeoutError):
                link.stream.close()
                return "unreachable", 0.0
            one.accepted, one.sent_at = True, fleet.clock.now()
            try:
                async with asyncio.timeout((one.timeout_ms + longer) / 1000):
                    reply = await link.ask(command)
            except TimeoutError:
                link.stream.close()
                fleet.timed_out.append(one)
                return "late", 0.0
            except StreamClosedError:
                link.stream.close()
                if link.used and not one.attempts and not last:
                    continue  # it was closed between two requests: once more on a new one
                if fleet.unwell(one.gateway) or not link.used:
                    return "failed", 0.0
                fleet.rule_checker.request_lost(one)
                return "failed", 0.0
            except (resp.ProtocolError, MessageTooLongError):
                link.stream.close()
                self.strange += 1
                fleet.rule_checker.request_lost(one)
                return "failed", 0.0
            link.used, link.at = True, asyncio.get_running_loop().time()
            self.idle[one.gateway].append(link)
            told, wait = self._read(one, name, reply)
            return (told, wait) if one.answered_at - one.sent_at <= one.timeout_ms else ("late", 0.0)
        return "failed", 0.0

    def _read(self, one: ClientAttempt, name: str, reply: resp.Reply) -> tuple[ClientResult, float]:
        fleet, now = self.fleet, self.fleet.clock.now()
        one.answered_at = now
        if isinstance(reply, memoryview):
            one.result = "served"
            if not bytes(reply).startswith(name.encode()) or not any(a.status == "ok" for a in one.attempts):
                self.wrong_values += 1
                fleet.rule_checker.request_lost(one)
        elif isinstance(reply, resp.ErrorReply) and reply.text.split(" ")[0] == "BUSY":
            one.result = "refused"
        else:
            one.result = "failed"
        fleet.rule_checker.client_answered(one, one.result, now)
        wait = 0.0
        if one.result == "refused" and isinstance(reply, resp.ErrorReply):
            words = reply.text.split(" ")
            wait = float(words[1]) if len(words) > 1 and words[1].isdigit() else 0.0
        return one.result, wait
