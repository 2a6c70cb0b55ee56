"""One connection to the admin endpoint: it reads a call, writes the response and closes."""

from __future__ import annotations

import asyncio
import enum
import socket
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamClosedError

from .. import log
from ..client.socket_state import has_unread_bytes
from ..counters import Counters
from ..protocol import http
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer

CALL_TIMEOUT_S = 6.0  # from the start of the connection to the last byte of the response
LINGER_TIMEOUT_S = 0.5  # time for a client that has its response to close the connection itself
LINGER_READ_BYTES = 1024


@dataclass(slots=True, frozen=True)
class AdminResponse:
    """The response to a call: an HTTP status and a plain-text body."""

    status: int
    body: str = ""


class CloseReason(enum.StrEnum):
    """Why a connection was closed, as logged."""

    ANSWERED = "answered"
    CLIENT_CLOSED = "caller_closed"  # before it had a response
    NO_CALL = "no_call"  # no complete call came in time
    EVICTED = "made_room"  # for a newer connection
    EXCEPTION = "exception"  # a defect
    SHUTDOWN = "shutdown"


class AdminConnection:
    """A connection that serves one call. The code that accepts it runs `run` as a task."""

    def __init__(
        self,
        stream: IOStream,
        respond: Callable[[str, str], AdminResponse],
        on_close: Callable[[AdminConnection], None],
        counters: Counters,
    ) -> None:
        """Initialize the connection. `on_close` is called once, when it closes."""
        self.answered = False
        self.task: asyncio.Task[None] | None = None
        self._stream = stream
        self._respond = respond
        self._on_close = on_close
        self._counters = counters
        self._buffer = ReadBuffer(http.MAX_HEAD_BYTES)
        self._call = "none"  # method and path, for the log
        self._closed = False

    def has_new_input(self) -> bool:
        """Return whether input, perhaps a call, has arrived that the task has not seen yet."""
        return self._buffer.has_completed_read() or has_unread_bytes(self._stream.socket)

    async def run(self) -> None:
        """Serve the call and close the connection. Cancelling it leaves the connection open."""
        reason = CloseReason.CLIENT_CLOSED
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                await self._serve()
            await self._linger()
            reason = CloseReason.ANSWERED
        except TimeoutError:
            reason = CloseReason.ANSWERED if self.answered else CloseReason.NO_CALL
        except (StreamClosedError, OSError):
            reason = CloseReason.ANSWERED if self.answered else reason
        except Exception:
            reason = CloseReason.EXCEPTION
            self._counters.add("exceptions")
            log.log_exception("door_exception")
        self.close(reason)

    async def _serve(self) -> None:
        response = await self._read_and_respond()
        self.answered = True
        await self._stream.write(http.encode_response(response.status, response.body.encode()))

    async def _linger(self) -> None:
        """Wait until the client closes: a close over unread bytes may discard the response."""
        if self._stream.closed():
            return
        self._stream.socket.shutdown(socket.SHUT_WR)
        async with asyncio.timeout(LINGER_TIMEOUT_S):
            while True:
                await self._stream.read_into(bytearray(LINGER_READ_BYTES), partial=True)

    async def _read_and_respond(self) -> AdminResponse:
        buffer = self._buffer
        try:
            while not (request := http.parse_request(buffer.data, buffer.start, buffer.end)):
                await buffer.fill(self._stream)
        except (http.ProtocolError, MessageTooLongError) as error:
            self._counters.add("door_malformed")
            return AdminResponse(400, f"{error}\n")
        self._call = f"{request.method} {request.path}"
        self._counters.add("door_calls")
        try:
            return self._respond(request.method, request.path)
        except Exception:
            self._counters.add("exceptions")
            log.log_exception("door_exception", call=self._call)
            return AdminResponse(500, "failed\n")

    def close(self, reason: CloseReason) -> None:
        """Close the connection at once; do nothing if it is already closed."""
        if self._closed:
            return
        self._closed = True
        self._on_close(self)
        self._stream.close()
        log.log_event("door_caller_ended", reason=reason, call=self._call)
