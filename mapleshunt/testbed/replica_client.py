"""Clients of the copies: they call until they are answered, through whichever gateway, and write it down."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ..replicated_state import commands as words
from ..replicated_state.results import Result, decode_result
from ..replicated_state.state_machine import Record, TokenBucket
from ..replication import wire
from ..simulation.history_checker import HistoryEvent

Address = tuple[str, int]

REPLY_TIMEOUT_S = 0.7  # s for an answer, after which another gateway is asked


class ReplicaConnection:
    """One connection to one gateway's port."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.reader, self.writer = reader, writer
        self.data = bytearray()

    @classmethod
    async def open(cls, where: Address, fleet: str) -> ReplicaConnection:
        reader, writer = await asyncio.open_connection(*where)
        line = cls(reader, writer)
        writer.write(
            wire.encode_frame(
                wire.Handshake(fleet, wire.MIN_VERSION, wire.MAX_VERSION, "client", "", 0, {}, 0)
            )
        )
        await line.next(wire.Handshake)
        return line

    async def next(self, kind: type[Any]) -> Any:
        while True:
            while found := wire.decode_frame(self.data, 0, len(self.data)):
                self.data = self.data[found[1] :]
                if isinstance(found[0], kind):
                    return found[0]
            more = await self.reader.read(65536)
            if not more:
                raise ConnectionResetError
            self.data += more

    def close(self) -> None:
        self.writer.close()


async def query_operator_port(
    where: Address, fleet: str, what: str, group: int = -1, copy: str = ""
) -> wire.ClientResponse | None:
    """An operator's question; None if nobody answers."""
    with contextlib.suppress(OSError, TimeoutError, wire.ProtocolError):
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            line = await ReplicaConnection.open(where, fleet)
            try:
                line.writer.write(wire.encode_frame(wire.AdminRequest(1, what, group, copy)))
                reply: wire.ClientResponse = await line.next(wire.ClientResponse)
                return reply
            finally:
                line.close()
    return None


async def gateway_statuses(where: Mapping[str, Address], fleet: str) -> dict[str, dict[str, Any] | None]:
    """What each gateway tells of itself; None of one that does not answer."""
    replies = await asyncio.gather(*(query_operator_port(one, fleet, "status") for one in where.values()))
    told = (msgspec.msgpack.decode(one.data) if one is not None else None for one in replies)
    return dict(zip(where, told, strict=True))


def leader_status(told: Mapping[str, dict[str, Any] | None], group: int) -> dict[str, Any] | None:
    """The group as it is told by who leads it, in the highest term; None if nobody does."""
    groups = (one for status in told.values() if status is not None for one in status["groups"])
    leads = (one for one in groups if one["group"] == group and one["role"] == "leader")
    return max(leads, key=lambda one: one["term"], default=None)


class ReplicaClient:
    """One session: its operations, each repeated until its answer has come."""

    def __init__(
        self, name: str, gateways: Mapping[str, Address], fleet: str, group: int,
        history: list[HistoryEvent], now: Callable[[], float], chance: random.Random,
    ) -> None:  # fmt: skip
        self.name, self.gateways, self.fleet, self.group = name, gateways, fleet, group
        self.history, self.now, self.chance = history, now, chance
        self.number = 0
        self.line: ReplicaConnection | None = None
        self.at = chance.choice(list(gateways))
        self.repeats = 0

    async def _once(self, call: wire.ClientRequest) -> wire.ClientResponse | None:
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                if self.line is None:
                    self.line = await ReplicaConnection.open(self.gateways[self.at], self.fleet)
                self.line.writer.write(wire.encode_frame(call))
                while True:
                    reply: wire.ClientResponse = await self.line.next(wire.ClientResponse)
                    if reply.number == call.number:
                        return reply
        except (OSError, TimeoutError, wire.ProtocolError):
            self._leave()
            return None

    def _leave(self) -> None:
        if self.line is not None:
            self.line.close()
        self.line = None
        self.at = self.chance.choice(list(self.gateways))

    async def _until(self, make: Callable[[int], wire.ClientRequest]) -> bytes:
        """Call until it is done: the same operation by the same number, wherever it goes."""
        number = 0
        while True:
            number += 1
            reply = await self._once(make(number + 1000 * self.number))
            if reply is not None and reply.how == "done":
                return reply.data
            self.repeats += 1
            if reply is not None and reply.hint in self.gateways:
                self._leave()
                self.at = reply.hint
            elif reply is not None:
                self._leave()
            await asyncio.sleep(self.chance.uniform(0.01, 0.1))

    async def do(self, operation: words.Operation) -> Result:
        self.number += 1
        mine = self.number
        command = words.Command(self.name, mine, mine, operation)
        data = words.encode(command)
        event = HistoryEvent(self.name, mine, operation, self.now())
        self.history.append(event)
        result = decode_result(await self._until(lambda n: wire.ClientRequest(n, self.group, data)))
        event.result, event.ended = result, self.now()
        return result

    async def read(self, kind: str, name: str, type: Any = None) -> Any:
        """What the group's leader holds, of that type; a store or a record, or None, if none is named."""
        self.number += 1
        event = HistoryEvent(self.name, self.number, f"{kind} {name}", self.now())
        self.history.append(event)
        data = await self._until(lambda n: wire.ClientRequest(n, self.group, read=f"{kind} {name}"))
        found = msgspec.msgpack.decode(data, type=type or (TokenBucket if kind == "store" else Record) | None)
        event.result, event.ended = found, self.now()
        return found

    def close(self) -> None:
        self._leave()
