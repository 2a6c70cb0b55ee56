"""One connection between gateways, or from a client of replication: handshake, frames, batches of messages.

A connection may lose frames: a full one drops them, a broken one forgets. Replicas repeat what matters.
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

MAX_BATCH_BYTES = 192 * 1024  # of messages in one frame, about
MESSAGE_OVERHEAD_BYTES = 64  # that a message counts beside its data
HANDSHAKE_TIMEOUT_S = 2.0
READ_BUFFER_BYTES = wire.MAX_FRAME_BYTES + wire.FRAME_HEADER.size


@dataclass(slots=True, frozen=True)
class ConnectionHandlers:
    """What a connection calls. A `wire.ProtocolError` that a handler raises ends the connection."""

    handshake: Callable[[], wire.Handshake]  # that this gateway sends, as of now
    on_handshake: Callable[[PeerConnection], None]  # before anything else of the other end
    on_message: Callable[[wire.Handshake, int, Message], None]
    on_request: Callable[[PeerConnection, wire.ClientRequest | wire.AdminRequest], None]
    on_response: Callable[[wire.ClientResponse], None]


class PeerConnection:
    """One connection, to a gateway or from a client."""

    def __init__(
        self,
        stream: IOStream,
        fleet: str,
        handlers: ConnectionHandlers,
        counters: Counters,
        dialed_peer: str = "",
    ) -> None:
        """Wire it. `dialed_peer` is the gateway that was dialed, empty for an accepted connection."""
        self.stream = stream
        self.dialed_peer = dialed_peer
        self.remote_handshake: wire.Handshake | None = None  # of the other end, once it has come
        self._fleet = fleet
        self._handlers = handlers
        self._counters = counters
        self._queue: list[tuple[int, Message]] = []
        self._ended = False
        self._sent_incarnation = ""  # as which this end introduced itself
        stream.set_nodelay(True)

    async def run(self) -> str:
        """Read until the connection ends, and return why it did. Cancelling it closes the connection."""
        loop = asyncio.get_running_loop()
        handshake_timer = loop.call_later(HANDSHAKE_TIMEOUT_S, self._handshake_overdue)
        try:
            handshake = self._handlers.handshake()
            self._sent_incarnation = handshake.incarnation
            self.write(handshake)
            return await self._read_frames()
        except StreamClosedError:
            return "closed"
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
            while found := wire.decode_frame(buffer.data, buffer.start, buffer.end):
                frame, end = found
                buffer.consume(end)
                self._receive(frame)
                if self._ended:
                    return "ended"
            await buffer.fill(self.stream)

    def _handshake_overdue(self) -> None:
        if self.remote_handshake is None:
            self.stream.close()

    def is_stale(self) -> bool:
        """Tell whether the other end takes this one for an incarnation that it is no more.

        Nothing may pass then: what this one sends would count as sent by the lost incarnation.
        """
        return self._sent_incarnation != self._handlers.handshake().incarnation

    def _receive(self, frame: wire.Frame) -> None:
        if self.is_stale():
            raise wire.ProtocolError("greeted as another incarnation")
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
            raise wire.ProtocolError("a frame out of place")

    def _receive_handshake(self, frame: wire.Frame) -> None:
        if not isinstance(frame, wire.Handshake):
            raise wire.ProtocolError("no greeting")
        wire.check_handshake(frame, self._fleet)
        self.remote_handshake = frame
        self._handlers.on_handshake(self)

    def write(self, frame: wire.Frame) -> None:
        """Send a frame; dropped if the connection has ended or holds too much that is unsent."""
        if not self._ended and not self.stream.closed():
            try:
                self.stream.write(wire.encode_frame(frame))
            except (StreamClosedError, StreamBufferFullError):
                self._counters.add("copies_dropped")

    def queue(self, group: int, message: Message) -> None:
        """Send the message with the next batch."""
        self._queue.append((group, message))

    def has_queued(self) -> bool:
        """Tell whether messages wait for the next batch."""
        return bool(self._queue)

    def flush(self) -> None:
        """Send what is queued, in batches."""
        waiting, self._queue = self._queue, []
        while waiting:
            count = _batch_length(waiting)
            self.write(wire.MessageBatch(tuple(waiting[:count])))
            waiting = waiting[count:]

    def close(self) -> None:
        """Close the connection; `run` ends."""
        self.stream.close()


def _batch_length(messages: list[tuple[int, Message]]) -> int:
    """Return how many of the messages go into one batch: one at least."""
    size = count = 0
    while count < len(messages) and (not count or size < MAX_BATCH_BYTES):
        message = messages[count][1]
        size += MESSAGE_OVERHEAD_BYTES + sum(len(entry.data) for entry in getattr(message, "entries", ()))
        size += len(getattr(message, "data", b""))
        count += 1
    return count
