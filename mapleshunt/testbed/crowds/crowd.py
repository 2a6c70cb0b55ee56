"""The clients of a crowd, in a process of their own: `python -m mapleshunt.testbed.crowds.crowd`.

It takes a port, a kind, a number of clients, a duration in seconds and a seed, and prints how many
connections it has opened.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import resource
import sys
from collections.abc import AsyncIterator, Awaitable, Callable

from ...net.protocol import resp
from ..pipelines.clients import draw_command
from ..pipelines.parameters import PLAN_NAME, READ_CLASS
from ..ports import HOST
from .parameters import MIXED_KINDS, CrowdKind

LONG_BODY_BYTES = 64000
LONGEST_BODY_BYTES = 65536
# Lengths at which clients stopped within a long command, and when they left, in the operators' logs.
STOP_LENGTHS = (2112, 8115, 16113, 32113, 48116, 65654)
STOP_S = 0.45
PIECE_BYTES = 2200
PIECE_INTERVAL_S = 0.05
FIELD = b"a%d=1"
FIELDS = 8000  # some 65,000 bytes
DEADLINE_MS = 4500.0
UNREAD_COMMANDS = 40
FLOOD_DEADLINE_MS = 500.0
FLOOD_BATCH = 16  # commands that are written together
RECONNECT_PAUSE_S = 0.005  # after a connection that was refused or reset at once
CONNECT_SPREAD_S = 0.2  # over which the clients of a crowd come first

Stream = tuple[asyncio.StreamReader, asyncio.StreamWriter]
Behaviour = Callable[[asyncio.StreamReader, asyncio.StreamWriter, random.Random], Awaitable[None]]


def _long_command(rng: random.Random, body_bytes: int = LONG_BODY_BYTES) -> bytes:
    return draw_command(rng, DEADLINE_MS, body_bytes).encode()


def _sound_pairs(deadline_ms: float) -> bytes:
    return f"c={READ_CLASS},t={PLAN_NAME},units=1,spread=1,first=0,d={deadline_ms:.0f}".encode()


def _query(rng: random.Random, pairs: bytes) -> bytes:
    """Return a query with those pairs, of a new customer."""
    customer, request_id = b"%016x" % rng.getrandbits(32), b"%016x" % rng.getrandbits(64)
    return resp.encode_command([b"SVC.QUERY", customer, request_id, pairs])


def _command_of_many_fields(rng: random.Random) -> bytes:
    fields = [FIELD % number for number in range(FIELDS)]
    return _query(rng, b",".join([_sound_pairs(DEADLINE_MS), *fields]))


async def _read_until_end(reader: asyncio.StreamReader) -> None:
    while await reader.read(65536):
        pass


async def _stay_silent(
    reader: asyncio.StreamReader, _writer: asyncio.StreamWriter, _rng: random.Random
) -> None:
    await _read_until_end(reader)


async def _stop_and_close(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    writer.write(_long_command(rng, LONGEST_BODY_BYTES)[: rng.choice(STOP_LENGTHS)])
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(STOP_S):
            await _read_until_end(reader)


async def _stop(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random) -> None:
    writer.write(_long_command(rng, LONGEST_BODY_BYTES)[:-2])
    await _read_until_end(reader)


async def _send_slowly(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    command = _long_command(rng)
    reading = asyncio.get_running_loop().create_task(reader.readline())
    try:
        for start in range(0, len(command), PIECE_BYTES):
            if reading.done():
                return
            writer.write(command[start : start + PIECE_BYTES])
            await asyncio.sleep(PIECE_INTERVAL_S)
        await reading
    finally:
        reading.cancel()


async def _exchange(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, command: bytes) -> None:
    writer.write(command)
    await writer.drain()
    if not await reader.readline():
        raise ConnectionError("the gateway closed the connection")


async def _send_many_fields(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    command = _command_of_many_fields(rng)
    while True:
        await _exchange(reader, writer, command)


async def _send_long(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random) -> None:
    while True:
        await _exchange(reader, writer, _long_command(rng))


async def _ask(reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random) -> None:
    """Send short queries, one after the answer of the other."""
    while True:
        writer.write(draw_command(rng, DEADLINE_MS, 0).encode())
        line = await reader.readline()
        if not line:
            raise ConnectionError("the gateway closed the connection")
        if line.startswith(b"$"):
            await reader.readexactly(int(line[1:]) + len(resp.CRLF))


async def _send_without_reading(
    _reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    for _ in range(UNREAD_COMMANDS):
        writer.write(draw_command(rng, DEADLINE_MS, 100).encode())
    await asyncio.sleep(DEADLINE_MS / 1000)


async def _flood(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, batches: AsyncIterator[bytes]
) -> None:
    reading = asyncio.get_running_loop().create_task(_read_until_end(reader))
    try:
        async for batch in batches:
            if reading.done():
                return
            writer.write(batch)
            await writer.drain()
    finally:
        reading.cancel()


async def _batches(make: Callable[[], bytes]) -> AsyncIterator[bytes]:
    while True:
        yield b"".join([make() for _ in range(FLOOD_BATCH)])


async def _flood_unsound(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    kinds = (b"*1\r\n$4\r\nNOPE\r\n", b"*2\r\n$9\r\nSVC.QUERY\r\n$1\r\n0\r\n", _query(rng, b"t=none,d=100"))
    await _flood(reader, writer, _batches(lambda: rng.choice(kinds)))


async def _flood_pings(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, _rng: random.Random
) -> None:
    await _flood(reader, writer, _batches(lambda: resp.encode_command([b"PING"])))


async def _flood_new_names(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, rng: random.Random
) -> None:
    await _flood(reader, writer, _batches(lambda: _query(rng, _sound_pairs(FLOOD_DEADLINE_MS))))


BEHAVIOURS: dict[CrowdKind, Behaviour] = {
    CrowdKind.SILENT: _stay_silent,
    CrowdKind.STOPPED_CLOSING: _stop_and_close,
    CrowdKind.STOPPED: _stop,
    CrowdKind.SLOW: _send_slowly,
    CrowdKind.MANY_FIELDS: _send_many_fields,
    CrowdKind.LONG: _send_long,
    CrowdKind.ASKING: _ask,
    CrowdKind.NOT_READING: _send_without_reading,
    CrowdKind.FLOOD_UNSOUND: _flood_unsound,
    CrowdKind.FLOOD_PINGS: _flood_pings,
    CrowdKind.FLOOD_NEW_NAMES: _flood_new_names,
}


class Crowd:
    """Clients that come again as soon as their connection has ended."""

    def __init__(self, port: int, kind: CrowdKind, seed: int) -> None:
        """Prepare clients of the gateway at `port`."""
        self._port, self._kind, self._seed = port, kind, seed
        self.connections = 0

    async def run(self, clients: int, seconds: float) -> None:
        """Run so many clients for that long; their connections are reset at the end."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds), asyncio.TaskGroup() as group:
                for number in range(clients):
                    group.create_task(self._come_again_and_again(number))

    async def _come_again_and_again(self, number: int) -> None:
        rng = random.Random(f"{self._seed}/{number}")
        kind = MIXED_KINDS[number % len(MIXED_KINDS)] if self._kind is CrowdKind.MIXED else self._kind
        await asyncio.sleep(rng.uniform(0, CONNECT_SPREAD_S))
        while True:
            try:
                await self._connect_once(BEHAVIOURS[kind], rng)
            except OSError:
                await asyncio.sleep(RECONNECT_PAUSE_S)

    async def _connect_once(self, behave: Behaviour, rng: random.Random) -> None:
        reader, writer = await asyncio.open_connection(HOST, self._port)
        self.connections += 1
        try:
            await behave(reader, writer, rng)
        finally:
            writer.transport.abort()


def main() -> None:
    """Run a crowd, as the arguments say."""
    import uvloop

    port, kind, clients, seconds, seed = sys.argv[1:]
    _soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (hard, hard))
    crowd = Crowd(int(port), CrowdKind(kind), int(seed))
    uvloop.run(crowd.run(int(clients), float(seconds)))
    print(crowd.connections)


if __name__ == "__main__":
    main()
