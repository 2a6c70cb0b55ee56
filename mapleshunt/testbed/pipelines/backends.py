"""Backends whose values have a given length."""

from __future__ import annotations

import asyncio
import random

from ...net.protocol import resp
from ..ports import HOST
from .parameters import PipelineParameters

SLOTS = 8  # requests that a backend works on at once
MAX_WAITING = 34  # further requests that wait for a slot; a backend rejects those beyond
MAX_WORK_MULTIPLE = 5.0  # of the mean work
BACKLOG = 1024


async def read_command(reader: asyncio.StreamReader) -> list[bytes]:
    """Read a command. Raises `asyncio.IncompleteReadError` at the end of the stream."""
    count = int((await reader.readuntil(resp.CRLF))[1:])
    words = []
    for _ in range(count):
        size = int((await reader.readuntil(resp.CRLF))[1:])
        words.append((await reader.readexactly(size + len(resp.CRLF)))[: -len(resp.CRLF)])
    return words


class LongValueBackend:
    """Answers each command, after random work, with a value that begins with the request's id."""

    def __init__(self, number: int, parameters: PipelineParameters) -> None:
        """Prepare a backend; `start` begins to listen."""
        self._parameters = parameters
        self._random = random.Random(f"{parameters.seed}/{number}")
        self._slots = asyncio.Semaphore(SLOTS)
        self._admitted = 0
        self._server: asyncio.Server | None = None
        self.port = 0

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, HOST, 0, backlog=BACKLOG)
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                words = await read_command(reader)
                writer.write(await self._answer(words[2]))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass  # the gateway closed the connection, or the run has ended
        finally:
            writer.close()

    async def _answer(self, request_id: bytes) -> bytes:
        if self._admitted >= SLOTS + MAX_WAITING:
            return resp.encode_error("BUSY")
        self._admitted += 1
        try:
            async with self._slots:
                await asyncio.sleep(self._work_s())
        finally:
            self._admitted -= 1
        value = request_id.ljust(self._parameters.value_bytes, b".")
        return b"*3\r\n" + resp.encode_bulk(value) + b"$-1\r\n$-1\r\n"

    def _work_s(self) -> float:
        mean_s = self._parameters.work_ms / 1000
        if self._parameters.is_work_constant:
            return mean_s
        return min(MAX_WORK_MULTIPLE * mean_s, self._random.expovariate(1 / mean_s))
