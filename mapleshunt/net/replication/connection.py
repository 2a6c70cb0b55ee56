"""A connection between two gateways, or from a client of replication: handshake, frames, message batches.

Frames may be lost, if the write buffer is full or the connection breaks. Replicas send again what matters.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from tornado.iostream import IOStream, StreamBufferFullError, StreamClosedError

from ...replication import wire
from ...replication.messages import Message
from .. import log
from ..counters import Counters
from ..protocol.read_buffer import MessageTooLongError, ReadBuffer

MAX_BATCH_BYTES = 192 * 1024  # approximate size of the messages in one frame
MESSAGE_OVERHEAD_BYTES = 64  # counted for each message in addition to its data
HANDSHAKE_TIMEOUT_S = 2.0
# Checks without a received byte after which a response is asked for, repeatedly, and the connection ends.
# No time is measured: a process that was held up itself has heard nothing either.
SILENT_CHECKS_PER_PROBE = 4
MAX_SILENT_CHECKS = 16
UNAWAITED_CALL = 0  # number of a request whose response only has to be heard
READ_BUFFER_BYTES = wire.MAX_FRAME_BYTES + wire.FRAME_HEADER.size


@dataclass(slots=True, frozen=True)
class ConnectionHandlers:
    """Callbacks of a connection; it ends if one raises `wire.ProtocolError`."""

    handshake: Callable[[], wire.Handshake]  # returns the current handshake of this gateway
    on_handshake: Callable[[PeerConnection], None]  # called before the other callbacks
    on_message: Callable[[wire.Handshake, int, Message], None]
    on_request: Callable[[PeerConnection, wire.ClientRequest | wire.AdminRequest], None]
    on_response: Callable[[wire.ClientResponse], None]


class PeerConnection:
    """A connection to or from a gateway, or from a client."""

    def __init__(
        self,
        stream: IOStream,
        fleet: str,
        handlers: ConnectionHandlers,
        counters: Counters,
        dialed_peer: str = "",
    ) -> None:
        """Initialize; `dialed_peer` is the gateway that was dialed, empty for an accepted connection."""
        self.stream = stream
        self.dialed_peer = dialed_peer
        self.remote_handshake: wire.Handshake | None = None  # of the other end, once received
        self._fleet = fleet
        self._handlers = handlers
        self._counters = counters
        self._queue: list[tuple[int, Message]] = []
        self._ended = False
        self._silent_checks = 0  # since the last received byte
        self._close_reason = "closed"
        self._sent_incarnation = ""  # in the handshake that this end sent
        stream.set_nodelay(True)

    async def run(self) -> str:
        """Read until the connection ends, and return the reason. Cancellation closes the connection."""
        loop = asyncio.get_running_loop()
        handshake_timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._handshake_timed_out)
        try:
            handshake = self._handlers.handshake()
            self._sent_incarnation = handshake.incarnation
            self.write(handshake)
            return await self._read_frames()
        except StreamClosedError:
            return self._close_reason
        except (wire.ProtocolError, MessageTooLongError) as error:
            self._counters.add("copies_strange")
            return str(error)
        except Exception:
            self._counters.add("exceptions")
            log.log_exception("link_exception")
            return "exception"
        finally:
            handshake_timer.cancel()
            self._ended = True
            self.stream.close()

    async def _read_frames(self) -> str:
        buffer = ReadBuffer(READ_BUFFER_BYTES)
        while True:
            while decoded := wire.decode_frame(buffer.data, buffer.start, buffer.end):
                frame, end = decoded
                buffer.consume(end)
                self._receive(frame)
                if self._ended:
                    return "ended"
            await buffer.fill(self.stream)
            self._silent_checks = 0

    def check_silence(self) -> None:
        """Ask for a response if nothing was heard for some checks, and end the connection after more.

        Where a machine vanishes, its connections stay open.
        """
        self._silent_checks += 1
        if self._silent_checks >= MAX_SILENT_CHECKS:
            self._close_reason = "silent"
            self.close()
        elif self._silent_checks % SILENT_CHECKS_PER_PROBE == 0:
            self.write(wire.AdminRequest(UNAWAITED_CALL, "status"))

    def _handshake_timed_out(self) -> None:
        if self.remote_handshake is None:
            self.stream.close()

    def is_stale(self) -> bool:
        """Return whether this gateway has changed its incarnation since it sent its handshake.

        Nothing may pass then: what it sends would count as sent by its earlier incarnation.
        """
        return self._sent_incarnation != self._handlers.handshake().incarnation

    def _receive(self, frame: wire.Frame) -> None:
        if self.is_stale():
            raise wire.ProtocolError("this gateway's incarnation has changed since its handshake")
        if self.remote_handshake is None:
            self._receive_handshake(frame)
        elif isinstance(frame, wire.MessageBatch) and self.remote_handshake.incarnation:
            for group, message in frame.messages:
                self._handlers.on_message(self.remote_handshake, group, message)
        elif isinstance(frame, wire.ClientRequest | wire.AdminRequest):
            self._handlers.on_request(self, frame)
        elif isinstance(frame, wire.ClientResponse):
            self._handlers.on_response(frame)
        else:
            raise wire.ProtocolError("unexpected kind of frame after the handshake")

    def _receive_handshake(self, frame: wire.Frame) -> None:
        if not isinstance(frame, wire.Handshake):
            raise wire.ProtocolError("the first frame must be a handshake")
        wire.check_handshake(frame, self._fleet)
        self.remote_handshake = frame
        self._handlers.on_handshake(self)

    def write(self, frame: wire.Frame) -> None:
        """Send a frame; it is dropped if the connection has ended or its write buffer is full."""
        if not self._ended and not self.stream.closed():
            try:
                self.stream.write(wire.encode_frame(frame))
            except (StreamClosedError, StreamBufferFullError):
                self._counters.add("copies_dropped")

    def queue(self, group: int, message: Message) -> None:
        """Add a message to the next batch."""
        self._queue.append((group, message))

    def has_queued(self) -> bool:
        """Return whether messages wait for the next batch."""
        return bool(self._queue)

    def flush(self) -> None:
        """Send the queued messages in batches."""
        unsent, self._queue = self._queue, []
        while unsent:
            count = _batch_length(unsent)
            self.write(wire.MessageBatch(tuple(unsent[:count])))
            unsent = unsent[count:]

    def close(self) -> None:
        """Close the connection; `run` ends."""
        self.stream.close()


def _batch_length(messages: list[tuple[int, Message]]) -> int:
    """Return how many of the messages fit into one batch, at least one."""
    size = count = 0
    while count < len(messages) and (not count or size < MAX_BATCH_BYTES):
        message = messages[count][1]
        size += MESSAGE_OVERHEAD_BYTES + sum(len(entry.data) for entry in getattr(message, "entries", ()))
        size += len(getattr(message, "data", b""))
        count += 1
    return count
