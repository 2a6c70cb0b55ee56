"""Clients of the replicas: they repeat calls until they are answered, and record a history."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable, Mapping
from typing import Any

import msgspec

from ..replicated_state import commands
from ..replicated_state.results import Result, decode_result
from ..replicated_state.state_machine import Record, TokenBucket
from ..replication import wire
from ..simulation.history_checker import HistoryEvent

Address = tuple[str, int]  # host and port

REPLY_TIMEOUT_S = 0.7  # after which another gateway is tried
RETRY_PAUSE_RANGE_S = (0.01, 0.1)  # before a call is repeated
READ_BYTES = 65536
FRAMES_PER_CALL = 1000  # frame numbers for one operation, far more than its repeats use


class ReplicaConnection:
    """A connection to the replication port of one gateway."""

    def __init__(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self._reader, self._writer = reader, writer
        self._received = bytearray()

    @classmethod
    async def open(cls, address: Address, fleet: str) -> ReplicaConnection:
        """Connect and exchange handshakes.

        Raises `OSError` and `wire.ProtocolError`. If cancelled, the socket is closed when it is freed.
        """
        connection = cls(*await asyncio.open_connection(*address))
        connection.send(
            wire.Handshake(fleet, wire.MIN_VERSION, wire.MAX_VERSION, "client", "", 0, {}, 0),
        )
        await connection.receive(wire.Handshake)
        return connection

    def send(self, message: wire.Frame) -> None:
        """Write a frame without waiting until it is sent."""
        self._writer.write(wire.encode_frame(message))

    async def receive(self, kind: type[Any]) -> Any:
        """Return the next message of that type; others are dropped.

        Raises `ConnectionResetError` at the stream's end and `wire.ProtocolError`. If it is cancelled, what
        has arrived is kept for the next call.
        """
        while True:
            while decoded := wire.decode_frame(self._received, 0, len(self._received)):
                self._received = self._received[decoded[1] :]
                if isinstance(decoded[0], kind):
                    return decoded[0]
            data = await self._reader.read(READ_BYTES)
            if not data:
                raise ConnectionResetError
            self._received += data

    def close(self) -> None:
        """Close the connection without waiting."""
        self._writer.close()


async def query_operator_port(
    address: Address, fleet: str, operation: str, group: int = -1, replica: str = ""
) -> wire.ClientResponse | None:
    """Send an operator's request; return None if there is no response within 0.7 s."""
    with contextlib.suppress(OSError, TimeoutError, wire.ProtocolError):
        async with asyncio.timeout(REPLY_TIMEOUT_S):
            connection = await ReplicaConnection.open(address, fleet)
            try:
                connection.send(wire.AdminRequest(1, operation, group, replica))
                response: wire.ClientResponse = await connection.receive(wire.ClientResponse)
                return response
            finally:
                connection.close()
    return None


async def gateway_statuses(addresses: Mapping[str, Address], fleet: str) -> dict[str, dict[str, Any] | None]:
    """Return the status (decoded msgpack) of each gateway by name; None for one that does not answer."""
    queries = (query_operator_port(address, fleet, "status") for address in addresses.values())
    responses = await asyncio.gather(*queries)
    statuses = (
        msgspec.msgpack.decode(response.data) if response is not None else None for response in responses
    )
    return dict(zip(addresses, statuses, strict=True))


def leader_status(statuses: Mapping[str, dict[str, Any] | None], group: int) -> dict[str, Any] | None:
    """Return the group's status from its leader in the highest term; None if no gateway leads it."""
    entries = (entry for status in statuses.values() if status is not None for entry in status["groups"])
    led = (entry for entry in entries if entry["group"] == group and entry["role"] == "leader")
    return max(led, key=lambda entry: entry["term"], default=None)


class ReplicaClient:
    """A client of one group with its own session; each operation is repeated until it is answered."""

    def __init__(
        self,
        name: str,
        gateways: Mapping[str, Address],
        fleet: str,
        group: int,
        history: list[HistoryEvent],
        now: Callable[[], float],
        rng: random.Random,
    ) -> None:
        """`history` gets an event for each operation, with times from `now` (s)."""
        self.name, self.rng = name, rng
        self.history = history
        self.operations = 0  # begun so far; also the number of the last one
        self.repeats = 0
        self._gateways, self._fleet, self._group, self._now = gateways, fleet, group, now
        self._connection: ReplicaConnection | None = None
        self._gateway = rng.choice(list(gateways))

    async def execute(self, operation: commands.Operation) -> Result:
        """Return the result of an operation, which is applied once, however often it is sent.

        If cancelled, the operation may have been applied; the event in the history has no end.
        """
        self.operations += 1
        number = self.operations
        data = commands.encode(commands.Command(self.name, number, number, operation))
        event = self._record(operation)
        answer = await self._call_until_done(lambda frame: wire.ClientRequest(frame, self._group, data))
        result = decode_result(answer)
        event.result, event.ended_at = result, self._now()
        return result

    # Without `result_type` the result is a bucket or a record, or None if there is none of that name.
    async def read(self, kind: str, name: str, result_type: Any = None) -> Any:
        """Return what the group's leader has under that name, decoded as `result_type`.

        If cancelled, the event in the history has no end.
        """
        self.operations += 1
        query = f"{kind} {name}"
        event = self._record(query)
        answer = await self._call_until_done(
            lambda frame: wire.ClientRequest(frame, self._group, query=query)
        )
        default_type = TokenBucket if kind == "store" else Record
        value = msgspec.msgpack.decode(answer, type=result_type or default_type | None)
        event.result, event.ended_at = value, self._now()
        return value

    def close(self) -> None:
        """Close the connection; the session stays open."""
        self._disconnect()

    def _record(self, operation: commands.Operation | str) -> HistoryEvent:
        event = HistoryEvent(self.name, self.operations, operation, self._now())
        self.history.append(event)
        return event

    async def _call_until_done(self, make: Callable[[int], wire.ClientRequest]) -> bytes:
        """Send an operation to one gateway after another until it is done, in frames of different numbers."""
        attempt = 0
        while True:
            attempt += 1
            response = await self._call_once(make(attempt + FRAMES_PER_CALL * self.operations))
            if response is not None and response.status == "done":
                return response.data
            self.repeats += 1
            if response is not None:
                self._disconnect()
                if response.leader_hint in self._gateways:
                    self._gateway = response.leader_hint
            await asyncio.sleep(self.rng.uniform(*RETRY_PAUSE_RANGE_S))

    async def _call_once(self, request: wire.ClientRequest) -> wire.ClientResponse | None:
        """Return the response; without one in time, close the connection and return None."""
        try:
            async with asyncio.timeout(REPLY_TIMEOUT_S):
                if self._connection is None:
                    self._connection = await ReplicaConnection.open(
                        self._gateways[self._gateway], self._fleet
                    )
                self._connection.send(request)
                while True:
                    response: wire.ClientResponse = await self._connection.receive(wire.ClientResponse)
                    if response.number == request.number:
                        return response
        except (OSError, TimeoutError, wire.ProtocolError):
            self._disconnect()
            return None

    def _disconnect(self) -> None:
        """Close the connection and draw the gateway for the next one."""
        if self._connection is not None:
            self._connection.close()
        self._connection = None
        self._gateway = self.rng.choice(list(self._gateways))
