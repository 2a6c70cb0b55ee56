"""Ways in which discovery's agent answers calls: at once, late, in parts, one at a time, or not at all."""

from __future__ import annotations

import asyncio
import contextlib
import enum
from collections.abc import Callable
from typing import cast
from weakref import WeakSet

from tornado.http1connection import HTTP1Connection
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler

LATE_ANSWER_S = 2.5  # of an answer that is late, or of all parts of one
DRIPPED_PARTS = 10
TURN_S = 0.8  # of each call where discovery takes one call at a time
HEAD_WITHOUT_LENGTH = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"


class AnswerMode(enum.Enum):
    """How calls are answered."""

    PROMPT = "prompt"
    LATE = "late"  # with the list as of the answer
    LATE_AS_OF_CALL = "late as of call"  # with the list as of the call
    DRIPPING = "dripping"  # from the first byte at once to the last one late
    LOSING_CALLS = "losing calls"  # every other call is never answered, the rest at once
    SILENT_CONNECTIONS = "silent connections"  # calls on connections of before are never answered
    ONE_AT_A_TIME = "one at a time"  # also the calls that were given up meanwhile
    WITHOUT_LENGTH = "without length"  # late, without a length, ended by the connection

    @property
    def loses_calls(self) -> bool:
        """Whether some calls are never answered."""
        return self in (AnswerMode.LOSING_CALLS, AnswerMode.SILENT_CONNECTIONS)


class AnswerSender:
    """Sends the answers of one agent in the mode that is set."""

    def __init__(self, turn: asyncio.Lock | None = None) -> None:
        """Answer at once; agents with the same `turn` take one call at a time between them."""
        self.mode = AnswerMode.PROMPT
        self._turn = turn or asyncio.Lock()
        self._connections: WeakSet[IOStream] = WeakSet()
        self._silent_connections: WeakSet[IOStream] = WeakSet()
        self._call_count = 0

    def set_mode(self, mode: AnswerMode) -> None:
        """Answer in this mode from now on. Connections that have fallen silent stay so."""
        self.mode = mode
        if mode is AnswerMode.SILENT_CONNECTIONS:
            self._silent_connections = WeakSet(self._connections)

    async def send(self, handler: RequestHandler, list_body: Callable[[], bytes]) -> None:
        """Answer a call; `list_body` returns the body with the list as of now.

        A call that is never answered stays open until its connection ends or it is cancelled.
        """
        stream = cast(HTTP1Connection, handler.request.connection).stream
        self._connections.add(stream)
        self._call_count += 1
        if self._is_never_answered(stream):
            await _until_closed(stream)
            return
        with contextlib.suppress(StreamClosedError):  # the call was given up
            await self._send_in_mode(handler, list_body)

    def _is_never_answered(self, stream: IOStream) -> bool:
        is_lost = self.mode is AnswerMode.LOSING_CALLS and self._call_count % 2 == 1
        return is_lost or stream in self._silent_connections

    async def _send_in_mode(self, handler: RequestHandler, list_body: Callable[[], bytes]) -> None:
        match self.mode:
            case AnswerMode.LATE:
                await asyncio.sleep(LATE_ANSWER_S)
                handler.write(list_body())
            case AnswerMode.LATE_AS_OF_CALL:
                body = list_body()
                await asyncio.sleep(LATE_ANSWER_S)
                handler.write(body)
            case AnswerMode.DRIPPING:
                await _drip(handler, list_body())
            case AnswerMode.ONE_AT_A_TIME:
                async with self._turn:
                    await asyncio.sleep(TURN_S)
                    handler.write(list_body())
            case AnswerMode.WITHOUT_LENGTH:
                await asyncio.sleep(LATE_ANSWER_S)
                await _send_without_length(handler, list_body())
            case _:
                handler.write(list_body())


async def _drip(handler: RequestHandler, body: bytes) -> None:
    """Send the body in parts, the first at once and the last late."""
    handler.set_header("Content-Length", len(body))
    part_bytes = -(-len(body) // DRIPPED_PARTS)
    for start in range(0, len(body), part_bytes):
        if start:
            await asyncio.sleep(LATE_ANSWER_S / (DRIPPED_PARTS - 1))
        handler.write(body[start : start + part_bytes])
        await handler.flush()


async def _send_without_length(handler: RequestHandler, body: bytes) -> None:
    """Send a response whose end is the end of its connection (RFC 9112, 6.3)."""
    stream = handler.detach()
    await stream.write(HEAD_WITHOUT_LENGTH + body)
    stream.close()


async def _until_closed(stream: IOStream) -> None:
    """Wait until a connection has ended."""
    closed = asyncio.Event()
    stream.set_close_callback(closed.set)
    await closed.wait()
